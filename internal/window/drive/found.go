package drive

import (
	"context"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/window"
)

// answerWait bounds a look at a server: one that lives answers within a fraction of it.
const answerWait = time.Second

// found looks at an act's servers and says what there is; nil: none of them is known.
func (t *tenure) found(ctx context.Context, a *window.Act) *disruption.Op {
	conditions := make(map[string]disruption.Condition, len(a.Servers))
	var mu sync.Mutex
	var around sync.WaitGroup
	room := make(chan struct{}, mostCalls)
	var known []disruption.Unit
	for _, uid := range a.Servers {
		u, is := t.units[disruption.UnitID(disruption.Server, uid)]
		if !is {
			continue
		}
		known = append(known, u)
		room <- struct{}{}
		around.Go(func() {
			defer func() { <-room }()
			c := t.condition(ctx, &u)
			mu.Lock()
			defer mu.Unlock()
			conditions[uid] = c
		})
	}
	around.Wait()
	if len(known) == 0 {
		return nil
	}
	led, err := disruption.Load(disruption.Saved{Units: known})
	if err != nil {
		return nil
	}
	return a.Found(led, func(uid string) disruption.Condition { return conditions[uid] })
}

func (t *tenure) condition(ctx context.Context, u *disruption.Unit) disruption.Condition {
	answers := t.Answers
	if answers == nil {
		answers = live
	}
	ctx, stop := context.WithTimeout(ctx, answerWait)
	defer stop()
	switch {
	case !answers(ctx, u.Endpoint):
		return disruption.Unready
	case float64(t.now().WallMS)-u.BootMS < float64(t.Warm.Milliseconds()):
		return disruption.Cold
	}
	return disruption.Up
}

// live asks a server over HTTP whether it lives.
func live(ctx context.Context, endpoint string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+"/health/live", nil)
	if err != nil {
		return false
	}
	req.Close = true // one look every few seconds needs no connection in between
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
