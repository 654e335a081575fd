// Package drive carries a release out: it looks at the list service, the platform and the sidecars' reports, has the pure
// core decide, does what it says and writes its steps, for as long as the release's duty is held.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

const (
	reconcileInterval     = 500 * time.Millisecond // between two steps while nothing comes of them
	writtenStepDelay      = 50 * time.Millisecond  // a step that was written: a unit takes some ten of them
	callTimeout           = 3 * time.Second        // for one look or write; an election of the list service takes about two
	minBackoff            = 500 * time.Millisecond
	maxBackoff            = 5 * time.Second
	judgeInterval         = time.Second      // an interval of the judge
	cohortTTL             = 60 * time.Second // a cohort's entry ends so long after it was last placed
	cohortRefreshInterval = 20 * time.Second // two placings of it may fail
)

// Store is the list service; registry.Client is one.
type Store interface {
	Release(ctx context.Context, name string, brief, fresh bool) (registry.ReleaseView, error)
	WriteRelease(ctx context.Context, w registry.WriteOptions, name string, op release.Operation) (registry.Result, error)
	List(ctx context.Context, fresh bool) (registry.EndpointList, error)
	SetState(ctx context.Context, w registry.WriteOptions, uid, state string) (registry.Result, error)
	SetPlacement(ctx context.Context, w registry.WriteOptions, atMS int64, set []placement.Directive, drop ...string) (registry.Result, error)
	LedgerView(ctx context.Context, fresh, units bool) (disruption.View, error)
	Sidecars(ctx context.Context) ([]registry.Sidecar, error)
	ApplyLedgerOp(ctx context.Context, w registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error)
}

// ReportSource is where sidecars' reports come from; collect.Collector is one.
type ReportSource interface {
	SetAccepting(open bool)
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller carries out the release Name. Its Work is what duty.Run calls for the duty release.Owner(Name).
type Controller struct {
	Name     string
	Store    Store
	Platform supervisor.Supervisor
	Reports  ReportSource
	// Longest is the longest that a request may take at the servers: the largest hard limit of the settings.
	MaxRequestDuration time.Duration
	// Warm is how long after it is ready a server that comes back counts as warm; 0: somebody else finds that.
	WarmUpTime time.Duration
	// Strata is how many classes × zones there are, among which the judge's false alarms are shared.
	Strata int
	// File gives the text of a unit's configuration, which has to be the same each time.
	ConfigText func(unit, config string) (string, error)
	// Made has what stands only on a server made ready elsewhere, and tells whether it is; nil: nothing does.
	PrepareUnit func(ctx context.Context, unit string) (bool, error)
}

// leaseTerm is one holding of the duty. What it keeps is soft: the next holder begins from the log.
type leaseTerm struct {
	*Controller
	guard          *registry.Guard
	state          *release.State
	commands       []release.Command
	outcomes       map[string]supervisor.Outcome
	deniedPermits  map[string]string
	prepared       map[string]bool
	analysis       *release.WaveAnalysis
	drains         *release.DrainTracker
	startedAt      time.Time
	judgedAt       time.Time
	cohortPlacedAt time.Time
	cohortServers  []string
	previousList   *supervisor.List // of the last interval
	reportTimes    map[string]time.Duration

	ledgerRevision uint64 // the newest that is known: an older view is none
}

// Run carries the release out until it is over and nothing was told it since, or ctx ends.
func (c *Controller) Run(ctx context.Context, lease *leaderelection.Lease) error {
	c.Reports.SetAccepting(true)
	defer c.Reports.SetAccepting(false)
	term := &leaseTerm{Controller: c, guard: lease.Guard(), outcomes: map[string]supervisor.Outcome{}, deniedPermits: map[string]string{}, prepared: map[string]bool{},
		analysis: release.NewWaveAnalysis(c.Strata), drains: release.NewDrainTracker(c.MaxRequestDuration.Milliseconds()), startedAt: time.Now(), reportTimes: map[string]time.Duration{}}
	backoff := time.Duration(0)
	for {
		wrote, err := term.reconcile(ctx)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case err != nil:
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			slog.Warn("release waits", "release", c.Name, "again_in", backoff, "error", err)
		default:
			backoff = 0
		}
		if term.state != nil && term.state.Status.Phase.Finished() && term.state.Status.HandledCommands == len(term.commands) {
			return nil
		}
		wait := reconcileInterval
		switch {
		case backoff > 0:
			wait = backoff/2 + rand.N(backoff/2)
		case wrote:
			wait = writtenStepDelay
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(wait):
		}
	}
}

// reconcile looks, decides, does and writes, and tells whether there was something to write. What fails of the doing is found
// undone by the next step.
func (t *leaseTerm) reconcile(ctx context.Context) (wrote bool, err error) {
	if err := t.loadRelease(ctx); err != nil {
		return false, err
	}
	view, err := t.observe(ctx)
	if err != nil {
		return false, err
	}
	effects := t.state.Reconcile(view)
	var requests []supervisor.Request
	for _, e := range effects {
		if call, ok := e.(release.CallPlatform); ok {
			requests = append(requests, call.Request)
		}
	}
	t.callPlatform(ctx, requests)
	for _, e := range effects {
		if ctx.Err() != nil {
			return wrote, ctx.Err()
		}
		switch e := e.(type) {
		case release.ApplyLedgerOp:
			t.applyLedgerOp(ctx, e.Op)
		case release.PrepareUnit:
			t.prepareUnit(ctx, e.Unit)
		case release.MarkTerminating:
			t.setServerState(ctx, e.Unit, registry.InstanceTerminating)
		case release.MarkReady:
			t.setServerState(ctx, e.Unit, registry.InstanceReady)
		case release.WriteDelta:
			if err := t.writeDelta(ctx, e.Delta); err != nil {
				return false, err
			}
			wrote = true
		}
	}
	t.placeCohort(ctx)
	return wrote, nil
}

func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}

// loadRelease reads the release whole where it is not known, and what operators have told it since.
func (t *leaseTerm) loadRelease(ctx context.Context) error {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	stored, err := t.Store.Release(ctx, t.Name, t.state != nil, true)
	if err != nil {
		return fmt.Errorf("release %s: %w", t.Name, err)
	}
	if stored.State == nil {
		return fmt.Errorf("release %s: there is none", t.Name)
	}
	t.commands = stored.Commands
	if t.state != nil && stored.StartRevision == t.state.StartRevision && stored.Sequence < t.state.Sequence {
		return fmt.Errorf("release %s: a replica is behind, at step %d of %d", t.Name, stored.Sequence, t.state.Sequence)
	}
	if t.state != nil && (stored.Sequence != t.state.Sequence || stored.StartRevision != t.state.StartRevision) {
		t.state = nil // written by another: its token counts, not this one's, or the log has another history
		return fmt.Errorf("release %s: it was written by another", t.Name)
	}
	if t.state == nil {
		t.state = stored.State
	}
	return nil
}

// writeDelta puts a step into the log. Where it is not known whether it got there, the log is read again.
func (t *leaseTerm) writeDelta(ctx context.Context, delta release.Delta) error {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	if _, err := t.Store.WriteRelease(ctx, registry.WriteOptions{Guard: t.guard}, t.Name, release.Operation{Delta: &delta}); err != nil {
		t.state = nil
		return fmt.Errorf("release %s: step %d: %w", t.Name, delta.Sequence, err)
	}
	if err := t.state.Apply(delta); err != nil {
		t.state = nil
		return err
	}
	if delta.Status != nil {
		slog.Info("release", "release", t.Name, "phase", delta.Status.Phase, "wave", delta.Status.Wave, "why", delta.Status.HaltReason)
	}
	return nil
}

// callPlatform asks the platform. Who has no configuration is not asked for: its step waits, and says why in the log.
func (t *leaseTerm) callPlatform(ctx context.Context, requests []supervisor.Request) {
	var ready []supervisor.Request
	for _, request := range requests {
		if request.ConfigName != "" && t.ConfigText != nil {
			text, err := t.ConfigText(request.Unit, request.ConfigName)
			if err != nil {
				slog.Warn("no configuration", "release", t.Name, "unit", request.Unit, "error", err)
				continue
			}
			request.ConfigText = text
		}
		if ready = append(ready, request); len(ready) == supervisor.MaxRequests {
			break
		}
	}
	if len(ready) == 0 {
		return
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	outcomes, err := t.Platform.Do(ctx, ready...)
	if err != nil {
		slog.Warn("platform", "release", t.Name, "error", err)
		return
	}
	for _, outcome := range outcomes {
		t.outcomes[outcome.ID] = outcome
	}
}

func (t *leaseTerm) applyLedgerOp(ctx context.Context, op disruption.Op) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	result, err := t.Store.ApplyLedgerOp(ctx, registry.WriteOptions{Guard: t.guard}, op)
	var status *registry.StatusError
	switch {
	case op.Permit == nil: // what was seen; it is told again where it has not got there
	case err == nil:
		t.ledgerRevision = max(t.ledgerRevision, result.Revision)
		delete(t.deniedPermits, op.Permit.ID)
	case op.Kind == disruption.OpRequest && errors.As(err, &status) && (status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound):
		t.deniedPermits[op.Permit.ID] = status.Message
	default:
		slog.Debug("ledger", "release", t.Name, "kind", op.Kind, "permit", op.Permit.ID, "error", err)
	}
}

func (t *leaseTerm) setServerState(ctx context.Context, id, state string) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	if _, err := t.Store.SetState(ctx, registry.WriteOptions{Guard: t.guard}, unitName(id), state); err != nil {
		slog.Debug("state not set", "release", t.Name, "unit", id, "state", state, "error", err)
	}
}

func (t *leaseTerm) prepareUnit(ctx context.Context, id string) {
	if t.PrepareUnit == nil {
		return
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	prepared, err := t.PrepareUnit(ctx, unitName(id))
	if err != nil {
		slog.Debug("not made ready elsewhere", "release", t.Name, "unit", id, "error", err)
	}
	t.prepared[id] = prepared && err == nil
}

// placeCohort has sidecars count the new version's servers apart, anew before the entry ends.
func (t *leaseTerm) placeCohort(ctx context.Context) {
	updated := t.state.UpdatedUnits()
	if len(updated) > placement.MaxServersPerDirective {
		updated = updated[:placement.MaxServersPerDirective]
	}
	unchanged := len(updated) == len(t.cohortServers)
	for i := 0; unchanged && i < len(updated); i++ {
		unchanged = updated[i] == t.cohortServers[i]
	}
	if len(updated) == 0 || t.state.Plan.Change.ServerVersion == "" || unchanged && time.Since(t.cohortPlacedAt) < cohortRefreshInterval {
		return
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	now := time.Now()
	entry := placement.Directive{ID: t.state.CohortID(), Kind: placement.KindCohort, Cohort: t.Name, Servers: updated, ExpiresAtMS: now.Add(cohortTTL).UnixMilli()}
	if _, err := t.Store.SetPlacement(ctx, registry.WriteOptions{Guard: t.guard}, now.UnixMilli(), []placement.Directive{entry}); err != nil {
		slog.Debug("cohort not placed", "release", t.Name, "error", err)
		return
	}
	t.cohortServers, t.cohortPlacedAt = updated, now
}
