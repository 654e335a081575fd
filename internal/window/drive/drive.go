// Package drive carries maintenance windows out: it looks at the list service and the sidecars' reports, has the pure core
// decide, and writes what that says under the duty's token, for as long as the duty is held.
package drive

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/collect"
	"milldeck/internal/disruption"
	"milldeck/internal/duty"
	"milldeck/internal/registry"
	"milldeck/internal/window"
)

const (
	lookEvery  = 500 * time.Millisecond // a look of which nothing has changed is some bytes
	leastWait  = 20 * time.Millisecond  // between two steps that have something to do
	callWait   = 3 * time.Second        // for one look or write; an election of the list service takes about two
	firstPause = 250 * time.Millisecond
	mostPause  = 2 * time.Second // tellings are due every 10 s, and hold for 30
	mostCalls  = 16              // writes, or looks at servers, at a time
)

// Store is the list service; registry.Client is one.
type Store interface {
	LookAtWindows(ctx context.Context, mark uint64) (registry.WindowLook, error)
	WriteWindow(ctx context.Context, w registry.Write, op window.Op, at window.Stamp) (window.Outcome, string, uint64, error)
	Ledger(ctx context.Context, w registry.Write, op disruption.Op) (registry.LedgerResult, error)
}

// Reports is where sidecars' reports come from; collect.Collector is one.
type Reports interface {
	SetOpen(open bool)
	Snapshot() ([]collect.Seen, time.Duration)
}

// Driver carries all windows out. Its Work is what duty.Run calls for the duty window.Duty.
type Driver struct {
	Store   Store
	Reports Reports
	// Wall is the wall clock; nil: the machine's. Off is what it may be off: more than 5 s, and no step forward counts.
	Wall func() time.Time
	Off  time.Duration
	// Answers tells whether a server answers at its endpoint that it lives; nil: HTTP, GET /health/live.
	Answers func(ctx context.Context, endpoint string) bool
	// Warm is how long after its start a server that comes back counts as cold.
	Warm time.Duration
}

// tenure is one holding of the duty. What it keeps is soft: the next holder begins from the log.
type tenure struct {
	*Driver
	guard *registry.Guard
	core  *window.Core
	began time.Time
	mark  uint64
	view  *window.View
	units map[string]disruption.Unit // servers of windows that are out, as of the view
	heard map[string]time.Duration   // of each sidecar, when its newest report came, by the collector's clock
}

// Work carries windows out until ctx ends.
func (d *Driver) Work(ctx context.Context, l *duty.Lease) error {
	d.Reports.SetOpen(true)
	defer d.Reports.SetOpen(false)
	t := &tenure{Driver: d, guard: l.Guard(), core: window.NewCore(l.Token), began: time.Now(), heard: map[string]time.Duration{}}
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

// now is the time by both clocks; the monotonic one is above 0.
func (t *tenure) now() window.Now {
	wall := time.Now()
	if t.Wall != nil {
		wall = t.Wall()
	}
	return window.Now{MonoMS: time.Since(t.began).Milliseconds() + 1, WallMS: wall.UnixMilli(), UncertaintyMS: t.Off.Milliseconds()}
}

// step looks, decides and writes, and says how long to wait then. What fails of the writing is found undone by a later
// step.
func (t *tenure) step(ctx context.Context) (time.Duration, error) {
	if err := t.look(ctx); err != nil {
		return 0, err
	}
	t.hear()
	now := t.now()
	effects, wake := t.core.Step(now, t.view)
	if len(effects) == 0 {
		return min(lookEvery, max(leastWait, time.Duration(wake-now.MonoMS)*time.Millisecond)), nil
	}
	var around sync.WaitGroup
	room := make(chan struct{}, mostCalls)
	answers := make([]answer, len(effects))
	for i := range effects {
		room <- struct{}{}
		around.Go(func() {
			defer func() { <-room }()
			ctx, stop := context.WithTimeout(ctx, callWait)
			defer stop()
			answers[i] = t.do(ctx, &effects[i])
		})
	}
	around.Wait()
	var failed error
	for i, a := range answers {
		if a.err != nil {
			failed = errors.Join(failed, a.err)
			continue
		}
		t.core.Answered(t.now(), effects[i], a.outcome, a.why, a.rev)
	}
	return leastWait, failed
}

// look reads the state, where it has changed.
func (t *tenure) look(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, callWait)
	defer stop()
	l, err := t.Store.LookAtWindows(ctx, t.mark)
	if err != nil {
		return err
	}
	if l.Table == nil {
		if t.view == nil || l.Mark != t.mark {
			return errors.New("the list service tells nothing of windows")
		}
		t.view.Rev = l.Rev
		return nil
	}
	t.mark = l.Mark
	t.view = &window.View{Rev: l.Rev, Table: window.Load(l.Table), Permits: l.Permits, Up: l.Up, Fleet: l.Fleet, Sidecars: l.Sidecars}
	t.units = make(map[string]disruption.Unit, len(l.Servers))
	for _, u := range l.Servers {
		t.units[u.ID] = u
	}
	return nil
}

// hear hands reports that have come since to the core.
func (t *tenure) hear() {
	seen, at := t.Reports.Snapshot()
	now := t.now()
	heard := make(map[string]time.Duration, len(seen))
	for i := range seen {
		r := &seen[i]
		if last, known := t.heard[r.Name]; !known || last != r.At {
			t.core.Heard(window.Now{MonoMS: now.MonoMS - (at - r.At).Milliseconds()}, r.Report)
		}
		heard[r.Name] = r.At
	}
	t.heard = heard
}

// answer is what became of an effect; an error: it is not known.
type answer struct {
	outcome window.Outcome
	why     string
	rev     uint64
	err     error
}

func (t *tenure) do(ctx context.Context, e *window.Effect) (a answer) {
	w := registry.Write{Guard: t.guard}
	if e.Op != nil {
		a.outcome, a.why, a.rev, a.err = t.Store.WriteWindow(ctx, w, *e.Op, t.now().Stamp())
		note(e.Window, string(e.Op.Kind), e.Op.Kind != window.OpTell, &a)
		return a
	}
	op := e.Act.Op()
	if e.Act.Kind == disruption.OpSee {
		if op = t.found(ctx, e.Act); op == nil {
			return answer{outcome: window.NotFound, why: "no server of it is in the list"}
		}
	}
	res, err := t.Store.Ledger(ctx, w, *op)
	a = answer{outcome: window.Applied, why: res.Why, rev: res.Rev, err: err}
	var status *registry.StatusError
	if errors.As(err, &status) {
		a = answer{outcome: window.Held, why: status.Text}
		if e.Act.Kind == disruption.OpAsk && (status.Status == http.StatusConflict || status.Status == http.StatusNotFound) {
			a.outcome = window.Bad // asked as it is, it can never be granted
		}
	}
	note(e.Window, "permit "+string(e.Act.Kind), e.Act.Kind != disruption.OpSee, &a)
	return a
}

// note logs a step; one that comes back every few seconds is for debugging, as long as it is applied.
func note(name, step string, once bool, a *answer) {
	switch {
	case a.err != nil:
		slog.Debug("window", "window", name, "step", step, "error", a.err)
	case a.outcome != window.Applied:
		slog.Warn("window", "window", name, "step", step, "outcome", a.outcome, "why", a.why)
	case once:
		slog.Info("window", "window", name, "step", step, "rev", a.rev)
	}
}
