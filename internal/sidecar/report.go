package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
	"milldeck/internal/spread/summary"
)

const (
	reportEvery = time.Second
	heatKeys    = 64  // counted at a time: half of them are reported, the colder half is what the next hot key comes from
	heatHalf    = 0.7 // s in which a load is half forgotten: an onset has to show within a second
	workOf      = 50  // answers over which the mean work of a class is taken
)

// gather counts what the next report says. It is the loop's alone.
type gather struct {
	cfg    *Config
	heat   *summary.Sketch
	work   []meanWork // by class
	counts map[countOf]*placement.ClassCount
	since  float64
}

// meanWork is what answers of a class took of late, ms; what took longer than the class's aim waited.
type meanWork struct{ n, ms float64 }

type countOf struct {
	class        int
	zone, cohort string
}

func newGather(cfg *Config, now float64) *gather {
	return &gather{
		cfg: cfg, heat: summary.New(heatKeys, heatHalf), work: make([]meanWork, len(cfg.balance.Classes)),
		counts: map[countOf]*placement.ClassCount{}, since: now,
	}
}

// arrived counts a request into its key's heat, also one that is refused later: so much is asked for. Its work is what
// the client expects, or else what its class's answers take.
func (g *gather) arrived(now float64, r *balance.Request) {
	if r.Key == 0 {
		return
	}
	work := r.ExpectedWork
	if !(work > 0) {
		work = g.work[r.Class].ms
	}
	g.heat.Add(now/1e3, r.Key, work)
}

// ended counts what became of an attempt at a server. What was cancelled or never left says nothing of the server.
func (g *gather) ended(now float64, a *attempt, result balance.Result, cohort string) {
	if result == balance.Cancelled || result == balance.Obsolete {
		return
	}
	class := a.call.ev.Class
	of := countOf{class, a.up.zone, cohort}
	c := g.counts[of]
	if c == nil {
		if len(g.counts) >= placement.MaxClassCounts {
			return
		}
		c = &placement.ClassCount{Zone: of.zone, Cohort: of.cohort, LatencyHistogram: make([]uint32, len(placement.LatencyBucketBounds)+1)}
		g.counts[of] = c
	}
	if result != balance.OK {
		c.Failed++
		return
	}
	took, aim := now-a.from, g.cfg.balance.Classes[class].LatencyObjective
	c.Succeeded++
	if took > aim {
		c.Late++
	}
	c.LatencyHistogram[sort.SearchFloat64s(placement.LatencyBucketBounds, took)]++
	w := &g.work[class]
	w.n = math.Min(w.n+1, workOf)
	w.ms += (math.Min(took, aim) - w.ms) / w.n
}

// into writes what was counted since the last time into a report and begins anew.
func (g *gather) into(r *placement.LoadReport, now float64) {
	r.IntervalMS, g.since = math.Max(now-g.since, 0), now
	top := g.heat.Top(now/1e3, placement.MaxHotKeys)
	r.TotalKeyLoad = top.Total
	for _, f := range top.Keys {
		r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: fmt.Sprintf("%016x", f.Key), Load: f.Load, ErrorBound: f.Error})
	}
	for of, c := range g.counts {
		for name, i := range g.cfg.classes {
			if i == of.class {
				c.Class = name
			}
		}
		for len(c.LatencyHistogram) > 0 && c.LatencyHistogram[len(c.LatencyHistogram)-1] == 0 {
			c.LatencyHistogram = c.LatencyHistogram[:len(c.LatencyHistogram)-1]
		}
		r.ClassCounts = append(r.ClassCounts, *c)
	}
	slices.SortFunc(r.ClassCounts, func(a, b placement.ClassCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cohort, b.Cohort))
	})
	clear(g.counts)
}

// report reports once a second until ctx ends, as soon as a placement is known: an agent that knows of none takes no
// reports. One that is not taken is dropped and its counts with it: told again, they might count twice.
func (p *placing) report(ctx context.Context) {
	pause := rand.N(p.every) // sidecars that started together report apart
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		began := time.Now()
		if p.known() {
			due := make(chan *placement.LoadReport, 1)
			p.post(p.now(due))
			select {
			case <-ctx.Done():
				return
			case r := <-due:
				if err := p.tell(ctx, r); err != nil {
					slog.Debug("report not taken", "error", err)
				}
			}
		}
		pause = max(p.every-time.Since(began), p.every/10)
	}
}

// tell posts a report within the time to the next. One that is too large goes without counts, then without heat; what
// is open is told whole or not at all, as none told means none open.
func (p *placing) tell(ctx context.Context, r *placement.LoadReport) error {
	data, err := json.Marshal(r)
	for _, drop := range []func(){func() { r.ClassCounts = nil }, func() { r.HotKeys, r.TotalKeyLoad = nil, 0 }} {
		if err == nil && len(data) > placement.MaxReportBytes {
			drop()
			data, err = json.Marshal(r)
		}
	}
	if err != nil {
		return err
	}
	if len(data) > placement.MaxReportBytes {
		return fmt.Errorf("%d bytes, at most %d", len(data), placement.MaxReportBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, p.every)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.base+"report", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.CopyN(io.Discard, resp.Body, maxHeader); err != nil && err != io.EOF { // so that its connection is kept
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the agent answers %s", resp.Status)
	}
	return nil
}
