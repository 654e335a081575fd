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

// Errors of a step. Each ends the step; the next one starts over from the log.
var (
	errNoRelease     = errors.New("the registry has no such release")
	errOtherWriter   = errors.New("the release was written by another controller")
	errReplicaBehind = errors.New("the registry replica is behind")
	errLedgerBehind  = errors.New("the ledger is older than one that was read before")
	errDivergedState = errors.New("the written state does not follow from the known one")
)

// leaseTerm is one holding of the release's lease, and what it keeps between two steps. Nothing of it is stored: the next
// holder starts from the log.
type leaseTerm struct {
	*Controller
	logger    *slog.Logger
	guard     *registry.Guard
	startedAt time.Time

	state          *release.State // as written; nil: to be read from the log
	commands       []release.Command
	ledgerRevision uint64 // the newest that was read or written; an older view is no observation

	outcomes      map[string]supervisor.Outcome // of platform requests, by request ID
	deniedPermits map[string]string             // by permit ID, why the ledger denied it
	prepared      map[string]bool               // by unit ID

	drains       *release.DrainTracker
	analysis     *release.WaveAnalysis
	judgedAt     time.Time
	previousList *supervisor.List         // of the judge's previous interval
	reportTimes  map[string]time.Duration // by sidecar, when the report of the previous interval was received

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

// elapsedMS is a monotonic time in ms, above 0.
func (t *leaseTerm) elapsedMS() int64 { return time.Since(t.startedAt).Milliseconds() + 1 }

func (t *leaseTerm) writeOptions() registry.WriteOptions {
	return registry.WriteOptions{Guard: t.guard}
}

// reconcile is one step: it observes, decides and executes, and reports whether it has written a next state. An effect that
// fails is found to be missing by the next step.
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

// loadRelease reads the commands to the release, and the release itself where it is not known.
func (t *leaseTerm) loadRelease(ctx context.Context) error {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	known := t.state
	stored, err := t.Store.Release(ctx, t.Name, known != nil, true)
	if err != nil {
		return fmt.Errorf("read release: %w", err)
	}
	if stored.State == nil {
		return errNoRelease
	}
	t.commands = stored.Commands
	switch {
	case known == nil:
		t.state = stored.State
	case stored.StartRevision == known.StartRevision && stored.Sequence < known.Sequence:
		return fmt.Errorf("%w: it is at sequence %d of %d", errReplicaBehind, stored.Sequence, known.Sequence)
	case stored.StartRevision != known.StartRevision || stored.Sequence != known.Sequence:
		t.state = nil // another token is valid, or the log was restored
		return errOtherWriter
	}
	return nil
}

// writeDelta writes the next state to the log. Where it is not known whether it was written, the log is read again.
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
