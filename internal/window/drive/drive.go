// Package drive carries windows out: it reads the list service and the sidecars' reports, has the pure core decide and
// writes what it says, for as long as the duty of windows is held.
package drive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"milldeck/internal/collect"
	"milldeck/internal/disruption"
	"milldeck/internal/duty"
	"milldeck/internal/registry"
	"milldeck/internal/window"
)

const (
	stepEvery  = 500 * time.Millisecond // between two looks while a window is out or about to be
	restEvery  = 2 * time.Second        // and while none is: a halt or a contract is acted on after this long
	callWait   = 3 * time.Second        // for one look or write; an election of the list service takes about two
	probeWait  = time.Second            // for one server
	mostCalls  = 16                     // writes at a time, and looks at servers of one window
	firstPause = 500 * time.Millisecond
	mostPause  = 5 * time.Second
)

// Store is the list service; registry.Client is one.
type Store interface {
	Windows(ctx context.Context, fresh bool) (*registry.WindowsView, error)
	WriteWindow(ctx context.Context, w registry.Write, at window.Stamp, op window.Op) (registry.Result, error)
	Ledger(ctx context.Context, w registry.Write, op disruption.Op) (registry.LedgerResult, error)
}

// Reports is where sidecars' reports come from; collect.Collector is one.
type Reports interface {
	SetAccepting(open bool)
	Snapshot() ([]collect.ReceivedReport, time.Duration)
}

// Driver carries windows out. Its Work is what duty.Run calls for the duty window.Duty.
type Driver struct {
	Store       Store
	Reports     Reports
	Uncertainty time.Duration                                   // that this machine's wall clock may be off
	Ready       func(ctx context.Context, endpoint string) bool // whether a server that comes back serves
	Now         func() time.Time                                // nil: time.Now
}

// tenure is one holding of the duty. What it keeps is soft: the next holder begins from the log.
type tenure struct {
	*Driver
	core  *window.Core
	guard *registry.Guard
	began time.Time
}

// Work carries windows out until ctx ends.
func (d *Driver) Work(ctx context.Context, l *duty.Lease) error {
	d.Reports.SetAccepting(true)
	defer d.Reports.SetAccepting(false)
	t := &tenure{d, window.NewCore(l.Token), l.Guard(), time.Now()}
	pause := time.Duration(0)
	for {
		wait, err := t.step(ctx)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case err != nil:
			pause = min(max(2*pause, firstPause), mostPause)
			wait = pause/2 + rand.N(pause/2)
			slog.Warn("windows wait", "again_in", wait, "error", err)
		default:
			pause = 0
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(wait):
		}
	}
}

// now reads both clocks.
func (t *tenure) now() window.Now {
	wall := time.Now()
	if t.Now != nil {
		wall = t.Now()
	}
	return window.Now{MonoMS: time.Since(t.began).Milliseconds() + 1, WallMS: wall.UnixMilli(), UncertaintyMS: t.Uncertainty.Milliseconds()}
}

// step reads, decides and writes, and says how long there is nothing to do.
func (t *tenure) step(ctx context.Context) (time.Duration, error) {
	read, stop := context.WithTimeout(ctx, callWait)
	defer stop()
	state, err := t.Store.Windows(read, true)
	if err != nil {
		return 0, err
	}
	v := state.View()
	seen, at := t.Reports.Snapshot()
	for i := range seen {
		heard := t.now()
		heard.MonoMS -= (at - seen[i].ReceivedAt).Milliseconds()
		t.core.Heard(heard, seen[i].LoadReport)
	}
	now := t.now()
	effects, wake := t.core.Step(now, v)
	// At a time, each on its own window: one that waits for servers that are silent keeps none from being prolonged.
	answers := make([]answer, len(effects))
	each(len(effects), func(i int) { answers[i] = t.do(ctx, v, effects[i]) })
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	for i, e := range effects {
		a := &answers[i]
		t.core.Answered(t.now(), e, a.outcome, a.why, a.rev)
		if e.Op != nil && e.Op.Kind != window.OpTell || a.outcome != window.Applied {
			slog.Info("window", "window", e.Window, "step", name(e), "outcome", a.outcome, "why", a.why)
		}
	}
	if len(effects) > 0 {
		return 0, nil // an answer may have the next step follow at once
	}
	wait := min(time.Duration(wake-now.MonoMS)*time.Millisecond, restEvery)
	if wait <= time.Second {
		wait = stepEvery
	}
	return wait, nil
}

// each calls do for 0 to n-1, some at a time.
func each(n int, do func(int)) {
	var around sync.WaitGroup
	room := make(chan struct{}, mostCalls)
	for i := range n {
		room <- struct{}{}
		around.Go(func() {
			defer func() { <-room }()
			do(i)
		})
	}
	around.Wait()
}

// answer is what became of an effect, and the revision that has it.
type answer struct {
	outcome window.Outcome
	why     string
	rev     uint64
}

func name(e window.Effect) string {
	if e.Op != nil {
		return string(e.Op.Kind)
	}
	return "permit " + string(e.Act.Kind)
}

// do writes one effect. Without an answer it is not known whether it was taken: the core looks again.
func (t *tenure) do(ctx context.Context, v *window.View, e window.Effect) answer {
	ctx, stop := context.WithTimeout(ctx, callWait)
	defer stop()
	var res registry.Result
	var err error
	w := registry.Write{Guard: t.guard}
	switch {
	case e.Op != nil:
		res, err = t.Store.WriteWindow(ctx, w, t.now().Stamp(), *e.Op)
	case e.Act.Kind == disruption.OpObserve:
		op := t.found(ctx, v, e.Act)
		var out registry.LedgerResult
		out, err = t.Store.Ledger(ctx, w, *op)
		res = out.Result
	default:
		var out registry.LedgerResult
		out, err = t.Store.Ledger(ctx, w, *e.Act.Op())
		res = out.Result
	}
	if err == nil {
		return answer{window.Applied, res.Why, res.Rev}
	}
	var status *registry.StatusError
	outcome := window.Held
	switch {
	case !errors.As(err, &status):
	case e.Op != nil && strings.Contains(status.Error(), string(window.Doubt)+": "):
		outcome = window.Doubt
	case e.Act != nil && e.Act.Kind == disruption.OpRequest && (status.Status == http.StatusConflict || status.Status == http.StatusNotFound):
		outcome = window.Bad // it can never be granted
	}
	return answer{outcome, err.Error(), 0}
}

// found looks at an act's servers and says what there is.
func (t *tenure) found(ctx context.Context, v *window.View, a *window.Act) *disruption.Op {
	conditions := make([]disruption.Condition, len(a.Servers))
	each(len(a.Servers), func(i int) { conditions[i] = t.look(ctx, v.Out[a.Servers[i]]) })
	next := 0
	return a.Found(v, func(window.Server) disruption.Condition {
		next++
		return conditions[next-1]
	})
}

// look tells whether a server serves.
func (t *tenure) look(ctx context.Context, s window.Server) disruption.Condition {
	ctx, stop := context.WithTimeout(ctx, probeWait)
	defer stop()
	if s.Endpoint != "" && t.Ready(ctx, s.Endpoint) {
		return disruption.ConditionUp
	}
	return disruption.ConditionUnready
}

// Ready asks a server over HTTP whether it is ready: 200 at the path.
func Ready(path string) func(context.Context, string) bool {
	client := &http.Client{Timeout: probeWait}
	return func(ctx context.Context, endpoint string) bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", endpoint, path), nil)
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}
