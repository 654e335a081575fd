// Package controller runs the maintenance reconciler against a registry. While it holds the lease
// maintenance.LeaseName, it reads the replicated state and the sidecars' load reports, and writes what the
// reconciler decides.
//
// The package owns no durable state: the next leader continues from the registry. Decisions belong to package
// maintenance, the lease to package leaderelection.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/maintenance"
	"milldeck/internal/registry"
)

const (
	activeInterval     = 500 * time.Millisecond // between passes while a window is out of service or about to be
	idleInterval       = 2 * time.Second        // between passes otherwise; a halt or a contract takes effect within this time
	callTimeout        = 3 * time.Second        // for one read or write; an election among the replicas takes about two seconds
	healthCheckTimeout = time.Second            // for one server
	maxConcurrentCalls = 16                     // for the writes of one pass, and for the health checks of one window
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 5 * time.Second

	// If the reconciler wants its next pass within maxActiveWait, a window is out of service or about to be.
	maxActiveWait = time.Second
)

// Registry is the part of the registry's client that the controller uses; *registry.Client implements it.
type Registry interface {
	Windows(ctx context.Context, fresh bool) (*registry.WindowsView, error)
	WriteWindow(ctx context.Context, options registry.WriteOptions, at maintenance.Timestamp, op maintenance.Operation) (registry.Result, error)
	ApplyLedgerOp(ctx context.Context, options registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error)
}

// ReportSource collects the sidecars' load reports; *loadreport.Collector implements it. The times of a snapshot are
// monotonic.
type ReportSource interface {
	SetAccepting(open bool)
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller carries out maintenance windows. The holder of the lease maintenance.LeaseName calls Run.
type Controller struct {
	Registry    Registry
	Reports     ReportSource
	Uncertainty time.Duration                                   // of this machine's wall clock
	CheckReady  func(ctx context.Context, endpoint string) bool // reports whether a returning server accepts requests
	Now         func() time.Time                                // the wall clock; nil: time.Now
}

// leaderTerm is the state of one term of leadership. The next leader starts without it.
type leaderTerm struct {
	*Controller
	reconciler *maintenance.Reconciler
	guard      *registry.Guard
	startedAt  time.Time
	logger     *slog.Logger
}

// Run carries out maintenance windows until ctx ends, and returns the cause of ctx.
func (c *Controller) Run(ctx context.Context, lease *leaderelection.Lease) error {
	c.Reports.SetAccepting(true)
	defer c.Reports.SetAccepting(false)
	term := &leaderTerm{
		Controller: c,
		reconciler: maintenance.NewReconciler(lease.Token),
		guard:      lease.Guard(),
		startedAt:  time.Now(),
		logger:     slog.With("component", "maintenance"),
	}
	backoff := time.Duration(0)
	for {
		wait, err := term.reconcile(ctx)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case err != nil:
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			wait = backoff/2 + rand.N(backoff/2)
			term.logger.Warn("windows cannot be read from the registry", "error", err, "retry_in", wait)
		default:
			backoff = 0
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(wait):
		}
	}
}

// readClock reads the wall clock, and a monotonic clock that starts with the term.
func (t *leaderTerm) readClock() maintenance.ClockReading {
	wall := time.Now()
	if t.Now != nil {
		wall = t.Now()
	}
	return maintenance.ClockReading{
		MonotonicMS:   time.Since(t.startedAt).Milliseconds() + 1,
		WallMS:        wall.UnixMilli(),
		UncertaintyMS: t.Uncertainty.Milliseconds(),
	}
}

// reconcile runs one pass and returns the time to wait until the next.
func (t *leaderTerm) reconcile(ctx context.Context) (time.Duration, error) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	windowsView, err := t.Registry.Windows(readCtx, true)
	if err != nil {
		return 0, err
	}
	view := windowsView.View()
	t.observeReports()
	now := t.readClock()
	effects, nextRunMS := t.reconciler.Reconcile(now, view)
	// Each effect is one write to the registry, for a different window. The writes run concurrently: a write may wait
	// for health checks of the window's servers, and must not delay the exclusion of another window's servers.
	results := make([]maintenance.EffectResult, len(effects))
	forEachConcurrently(len(effects), func(i int) { results[i] = t.write(ctx, view, effects[i]) })
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	for i, effect := range effects {
		t.reconciler.ObserveResult(t.readClock(), effect, results[i])
		t.logEffect(effect, results[i])
	}
	if len(effects) > 0 {
		return 0, nil // a result may permit the next step at once
	}
	wait := min(time.Duration(nextRunMS-now.MonotonicMS)*time.Millisecond, idleInterval)
	if wait <= maxActiveWait {
		wait = activeInterval
	}
	return wait, nil
}

// observeReports passes the load reports to the reconciler, each with the time at which it was received.
func (t *leaderTerm) observeReports() {
	reports, snapshotAt := t.Reports.Snapshot()
	for i := range reports {
		receivedAt := t.readClock()
		receivedAt.MonotonicMS -= (snapshotAt - reports[i].ReceivedAt).Milliseconds()
		t.reconciler.ObserveReport(receivedAt, reports[i].LoadReport)
	}
}

// OutcomeLogKey is the attribute of an operation's outcome in the log. Operators and tests search for its values.
const OutcomeLogKey = "outcome"

// logEffect logs an effect that changed a window or was rejected. It skips routine effects that were applied:
// extensions of exclusions, which come every few seconds, and ledger operations.
func (t *leaderTerm) logEffect(effect maintenance.Effect, result maintenance.EffectResult) {
	var operation string
	routine := true
	switch action := effect.Action.(type) {
	case *maintenance.Operation:
		operation = string(action.Kind)
		routine = action.Kind == maintenance.OpExtendExclusion
	case *maintenance.LedgerAction:
		operation = "permit " + string(action.Kind)
	}
	if routine && result.Outcome == maintenance.OutcomeApplied {
		return
	}
	t.logger.Info("window operation", "window", effect.Window, "operation", operation, OutcomeLogKey, result.Outcome, "reason", result.Reason)
}

// forEachConcurrently calls work for 0 to count-1 in separate goroutines, at most maxConcurrentCalls at a time,
// and returns when all of them have ended.
func forEachConcurrently(count int, work func(int)) {
	var workers sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i := range count {
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			work(i)
		})
	}
	workers.Wait()
}
