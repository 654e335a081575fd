// Package drive carries a release out: it looks at the list service, the platform and the sidecars' reports, has the pure
// core decide, does what it says and writes its steps, for as long as the release's duty is held.
package drive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"milldeck/internal/collect"
	"milldeck/internal/disruption"
	"milldeck/internal/duty"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

const (
	stepEvery  = 500 * time.Millisecond // between two steps while nothing comes of them
	goOnAfter  = 50 * time.Millisecond  // a step that was written: a unit takes some ten of them
	callWait   = 3 * time.Second        // for one look or write; an election of the list service takes about two
	firstPause = 500 * time.Millisecond
	mostPause  = 5 * time.Second
	judgeEvery = time.Second      // an interval of the judge
	cohortFor  = 60 * time.Second // a cohort's entry ends so long after it was last placed
	placeEvery = 20 * time.Second // two placings of it may fail
)

// Store is the list service; registry.Client is one.
type Store interface {
	Release(ctx context.Context, name string, brief, fresh bool) (registry.ReleaseView, error)
	WriteRelease(ctx context.Context, w registry.WriteOptions, name string, op release.Op) (registry.Result, error)
	List(ctx context.Context, fresh bool) (registry.EndpointList, error)
	SetState(ctx context.Context, w registry.WriteOptions, uid, state string) (registry.Result, error)
	SetPlacement(ctx context.Context, w registry.WriteOptions, atMS int64, set []placement.Directive, drop ...string) (registry.Result, error)
	LedgerView(ctx context.Context, fresh, units bool) (disruption.View, error)
	Sidecars(ctx context.Context) ([]registry.Sidecar, error)
	ApplyLedgerOp(ctx context.Context, w registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error)
}

// Reports is where sidecars' reports come from; collect.Collector is one.
type Reports interface {
	SetAccepting(open bool)
	Snapshot() ([]collect.ReceivedReport, time.Duration)
}

// Driver carries out the release Name. Its Work is what duty.Run calls for the duty release.Owner(Name).
type Driver struct {
	Name     string
	Store    Store
	Platform supervisor.Supervisor
	Reports  Reports
	// Longest is the longest that a request may take at the servers: the largest hard limit of the settings.
	Longest time.Duration
	// Warm is how long after it is ready a server that comes back counts as warm; 0: somebody else finds that.
	Warm time.Duration
	// Strata is how many classes × zones there are, among which the judge's false alarms are shared.
	Strata int
	// File gives the text of a unit's configuration, which has to be the same each time.
	File func(unit, config string) (string, error)
	// Made has what stands only on a server made ready elsewhere, and tells whether it is; nil: nothing does.
	Made func(ctx context.Context, unit string) (bool, error)
}

// tenure is one holding of the duty. What it keeps is soft: the next holder begins from the log.
type tenure struct {
	*Driver
	guard   *registry.Guard
	state   *release.State
	told    []release.Command
	answers map[string]supervisor.Outcome
	denied  map[string]string
	made    map[string]bool
	watch   *release.Watch
	empty   *release.Emptiness
	began   time.Time
	judged  time.Time
	placed  time.Time
	cohort  []string
	before  *supervisor.List // of the last interval
	seen    map[string]time.Duration

	ledgerRev uint64 // the newest that is known: an older view is none
}

// Work carries the release out until it is over and nothing was told it since, or ctx ends.
func (d *Driver) Work(ctx context.Context, l *duty.Lease) error {
	d.Reports.SetAccepting(true)
	defer d.Reports.SetAccepting(false)
	t := &tenure{Driver: d, guard: l.Guard(), answers: map[string]supervisor.Outcome{}, denied: map[string]string{}, made: map[string]bool{},
		watch: release.NewWatch(d.Strata), empty: release.NewEmptiness(d.Longest.Milliseconds()), began: time.Now(), seen: map[string]time.Duration{}}
	pause := time.Duration(0)
	for {
		wrote, err := t.step(ctx)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case err != nil:
			pause = min(max(2*pause, firstPause), mostPause)
			slog.Warn("release waits", "release", d.Name, "again_in", pause, "error", err)
		default:
			pause = 0
		}
		if t.state != nil && t.state.Head.Phase.Over() && t.state.Head.Commands == len(t.told) {
			return nil
		}
		wait := stepEvery
		switch {
		case pause > 0:
			wait = pause/2 + rand.N(pause/2)
		case wrote:
			wait = goOnAfter
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(wait):
		}
	}
}

// step looks, decides, does and writes, and tells whether there was something to write. What fails of the doing is found
// undone by the next step.
func (t *tenure) step(ctx context.Context) (wrote bool, err error) {
	if err := t.load(ctx); err != nil {
		return false, err
	}
	v, err := t.look(ctx)
	if err != nil {
		return false, err
	}
	effects := t.state.Step(v)
	var calls []supervisor.Request
	for _, e := range effects {
		if do, is := e.(release.Do); is {
			calls = append(calls, do.Request)
		}
	}
	t.call(ctx, calls)
	for _, e := range effects {
		if ctx.Err() != nil {
			return wrote, ctx.Err()
		}
		switch e := e.(type) {
		case release.Ledger:
			t.ledger(ctx, e.Op)
		case release.Prepare:
			t.prepare(ctx, e.Unit)
		case release.Terminate:
			t.setState(ctx, e.Unit, registry.InstanceTerminating)
		case release.Restore:
			t.setState(ctx, e.Unit, registry.InstanceReady)
		case release.Write:
			if err := t.write(ctx, e.Delta); err != nil {
				return false, err
			}
			wrote = true
		}
	}
	t.place(ctx)
	return wrote, nil
}

func limited(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callWait)
}

// load reads the release whole where it is not known, and what operators have told it since.
func (t *tenure) load(ctx context.Context) error {
	ctx, stop := limited(ctx)
	defer stop()
	v, err := t.Store.Release(ctx, t.Name, t.state != nil, true)
	if err != nil {
		return fmt.Errorf("release %s: %w", t.Name, err)
	}
	if v.State == nil {
		return fmt.Errorf("release %s: there is none", t.Name)
	}
	t.told = v.Commands
	if t.state != nil && v.Run == t.state.Run && v.Seq < t.state.Seq {
		return fmt.Errorf("release %s: a replica is behind, at step %d of %d", t.Name, v.Seq, t.state.Seq)
	}
	if t.state != nil && (v.Seq != t.state.Seq || v.Run != t.state.Run) {
		t.state = nil // written by another: its token counts, not this one's, or the log has another history
		return fmt.Errorf("release %s: it was written by another", t.Name)
	}
	if t.state == nil {
		t.state = v.State
	}
	return nil
}

// write puts a step into the log. Where it is not known whether it got there, the log is read again.
func (t *tenure) write(ctx context.Context, d release.Delta) error {
	ctx, stop := limited(ctx)
	defer stop()
	if _, err := t.Store.WriteRelease(ctx, registry.WriteOptions{Guard: t.guard}, t.Name, release.Op{Step: &d}); err != nil {
		t.state = nil
		return fmt.Errorf("release %s: step %d: %w", t.Name, d.Seq, err)
	}
	if err := t.state.Apply(d); err != nil {
		t.state = nil
		return err
	}
	if d.Head != nil {
		slog.Info("release", "release", t.Name, "phase", d.Head.Phase, "wave", d.Head.Wave, "why", d.Head.Why)
	}
	return nil
}

// call asks the platform. Who has no configuration is not asked for: its step waits, and says why in the log.
func (t *tenure) call(ctx context.Context, calls []supervisor.Request) {
	var ready []supervisor.Request
	for _, r := range calls {
		if r.ConfigName != "" && t.File != nil {
			text, err := t.File(r.Unit, r.ConfigName)
			if err != nil {
				slog.Warn("no configuration", "release", t.Name, "unit", r.Unit, "error", err)
				continue
			}
			r.ConfigText = text
		}
		if ready = append(ready, r); len(ready) == supervisor.MaxRequests {
			break
		}
	}
	if len(ready) == 0 {
		return
	}
	ctx, stop := limited(ctx)
	defer stop()
	out, err := t.Platform.Do(ctx, ready...)
	if err != nil {
		slog.Warn("platform", "release", t.Name, "error", err)
		return
	}
	for _, o := range out {
		t.answers[o.ID] = o
	}
}

func (t *tenure) ledger(ctx context.Context, op disruption.Op) {
	ctx, stop := limited(ctx)
	defer stop()
	res, err := t.Store.ApplyLedgerOp(ctx, registry.WriteOptions{Guard: t.guard}, op)
	var status *registry.StatusError
	switch {
	case op.Permit == nil: // what was seen; it is told again where it has not got there
	case err == nil:
		t.ledgerRev = max(t.ledgerRev, res.Revision)
		delete(t.denied, op.Permit.ID)
	case op.Kind == disruption.OpRequest && errors.As(err, &status) && (status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound):
		t.denied[op.Permit.ID] = status.Message
	default:
		slog.Debug("ledger", "release", t.Name, "kind", op.Kind, "permit", op.Permit.ID, "error", err)
	}
}

func (t *tenure) setState(ctx context.Context, id, state string) {
	ctx, stop := limited(ctx)
	defer stop()
	if _, err := t.Store.SetState(ctx, registry.WriteOptions{Guard: t.guard}, uid(id), state); err != nil {
		slog.Debug("state not set", "release", t.Name, "unit", id, "state", state, "error", err)
	}
}

func (t *tenure) prepare(ctx context.Context, id string) {
	if t.Made == nil {
		return
	}
	ctx, stop := limited(ctx)
	defer stop()
	made, err := t.Made(ctx, uid(id))
	if err != nil {
		slog.Debug("not made ready elsewhere", "release", t.Name, "unit", id, "error", err)
	}
	t.made[id] = made && err == nil
}

// place has sidecars count the new version's servers apart, anew before the entry ends.
func (t *tenure) place(ctx context.Context) {
	moved := t.state.Moved()
	if len(moved) > placement.MaxServersPerDirective {
		moved = moved[:placement.MaxServersPerDirective]
	}
	same := len(moved) == len(t.cohort)
	for i := 0; same && i < len(moved); i++ {
		same = moved[i] == t.cohort[i]
	}
	if len(moved) == 0 || t.state.Plan.What.Server == "" || same && time.Since(t.placed) < placeEvery {
		return
	}
	ctx, stop := limited(ctx)
	defer stop()
	now := time.Now()
	e := placement.Directive{ID: t.state.CohortID(), Kind: placement.KindCohort, Cohort: t.Name, Servers: moved, ExpiresAtMS: now.Add(cohortFor).UnixMilli()}
	if _, err := t.Store.SetPlacement(ctx, registry.WriteOptions{Guard: t.guard}, now.UnixMilli(), []placement.Directive{e}); err != nil {
		slog.Debug("cohort not placed", "release", t.Name, "error", err)
		return
	}
	t.cohort, t.placed = moved, now
}
