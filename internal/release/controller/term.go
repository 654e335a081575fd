package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// Errors that end a step. The next step starts over from the log.
var (
	errNoRelease     = errors.New("the release is not in the registry")
	errOtherWriter   = errors.New("the release was written by another controller")
	errReplicaBehind = errors.New("the registry replica is behind")
	errLedgerBehind  = errors.New("the ledger view is older than a previous one")
	errDivergedState = errors.New("the written change does not apply to the known state")
)

// leaseTerm is the time during which a controller holds the release's lease, with the data that it keeps between two steps.
// None of the data is stored: the next lease holder starts from the log.
type leaseTerm struct {
	*Controller
	logger    *slog.Logger
	guard     *registry.Guard
	startedAt time.Time

	state          *release.State // as last written; nil: has to be read from the log
	commands       []release.Command
	ledgerRevision uint64 // newest revision read or written; older views are rejected

	outcomes      map[string]supervisor.Outcome // of platform requests, by request ID
	deniedPermits map[string]string             // reasons of the ledger, by permit ID
	prepared      map[string]bool               // by unit ID

	drains               *release.DrainTracker
	analysis             *release.WaveAnalysis
	previousIntervalAt   time.Time                // end of the judge's previous interval
	previousPlatformList *supervisor.List         // platform list of the judge's previous interval
	reportTimes          map[string]time.Duration // when the reports of the previous interval were received, by sidecar

	cohortServers  []string
	cohortPlacedAt time.Time
}

// finished reports whether the release is finished and every command to it is handled.
func (t *leaseTerm) finished() bool {
	if t.state == nil {
		return false
	}
	return t.state.Status.Phase.Finished() && t.state.Status.HandledCommands == len(t.commands)
}

// elapsedMS returns a monotonic time in ms, always above 0.
func (t *leaseTerm) elapsedMS() int64 { return time.Since(t.startedAt).Milliseconds() + 1 }

func (t *leaseTerm) writeOptions() registry.WriteOptions {
	return registry.WriteOptions{Guard: t.guard}
}

// reconcile executes one step: it observes, decides and executes the effects, and reports whether it wrote a next state. The
// next step detects failed effects.
func (t *leaseTerm) reconcile(ctx context.Context) (wrote bool, err error) {
	if err := t.loadRelease(ctx); err != nil {
		return false, err
	}
	view, err := t.observe(ctx)
	if err != nil {
		return false, err
	}
	wrote, err = t.execute(ctx, t.state.Reconcile(view))
	if err != nil {
		return wrote, err
	}
	t.placeCohort(ctx)
	return wrote, nil
}

func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}

// loadRelease reads the commands to the release, and the state of the release if it is not known.
func (t *leaseTerm) loadRelease(ctx context.Context) error {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	knownState := t.state
	stored, err := t.Store.Release(ctx, t.Name, knownState != nil, true)
	if err != nil {
		return fmt.Errorf("read release: %w", err)
	}
	if stored.State == nil {
		return errNoRelease
	}
	t.commands = stored.Commands
	switch {
	case knownState == nil:
		t.state = stored.State
	case stored.StartRevision == knownState.StartRevision && stored.Sequence < knownState.Sequence:
		return fmt.Errorf("%w: its sequence is %d, the known one is %d", errReplicaBehind, stored.Sequence, knownState.Sequence)
	case stored.StartRevision != knownState.StartRevision || stored.Sequence != knownState.Sequence:
		t.state = nil // a controller with another token has written, or the log was restored
		return errOtherWriter
	}
	return nil
}

// writeDelta writes the next state to the log. If the outcome of the write is unknown, the next step reads the log again.
func (t *leaseTerm) writeDelta(ctx context.Context, delta release.Delta) error {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	if _, err := t.Store.WriteRelease(ctx, t.writeOptions(), t.Name, release.Operation{Delta: &delta}); err != nil {
		t.state = nil
		return fmt.Errorf("write sequence %d: %w", delta.Sequence, err)
	}
	if err := t.state.Apply(delta); err != nil {
		t.state = nil
		return fmt.Errorf("%w: %w", errDivergedState, err)
	}
	if status := delta.Status; status != nil {
		t.logger.Info("release progressed", "phase", status.Phase, "wave", status.Wave, "halt_reason", status.HaltReason)
	}
	return nil
}
