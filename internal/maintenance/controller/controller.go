// Package drive carries windows out: it reads the list service and the sidecars' reports, has the pure core decide and
// writes what it says, for as long as the duty of windows is held.
package controller

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

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/maintenance"
	"milldeck/internal/registry"
)

const (
	activeInterval     = 500 * time.Millisecond // between two looks while a window is out or about to be
	idleInterval       = 2 * time.Second        // and while none is: a halt or a contract is acted on after this long
	callTimeout        = 3 * time.Second        // for one look or write; an election of the list service takes about two
	healthCheckTimeout = time.Second            // for one server
	maxConcurrentCalls = 16                     // writes at a time, and looks at servers of one window
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 5 * time.Second
)

// Registry is the list service; registry.Client is one.
type Registry interface {
	Windows(ctx context.Context, fresh bool) (*registry.WindowsView, error)
	WriteWindow(ctx context.Context, w registry.WriteOptions, at maintenance.Timestamp, op maintenance.Operation) (registry.Result, error)
	ApplyLedgerOp(ctx context.Context, w registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error)
}

// ReportSource is where sidecars' reports come from; collect.Collector is one.
type ReportSource interface {
	SetAccepting(open bool)
	Snapshot() ([]loadreport.ReceivedReport, time.Duration)
}

// Controller carries windows out. Its Work is what duty.Run calls for the duty window.Duty.
type Controller struct {
	Registry    Registry
	Reports     ReportSource
	Uncertainty time.Duration                                   // that this machine's wall clock may be off
	CheckReady  func(ctx context.Context, endpoint string) bool // whether a server that comes back serves
	Now         func() time.Time                                // nil: time.Now
}

// leaderTerm is one holding of the duty. What it keeps is soft: the next holder begins from the log.
type leaderTerm struct {
	*Controller
	reconciler *maintenance.Reconciler
	guard      *registry.Guard
	startedAt  time.Time
}

// Run carries windows out until ctx ends.
func (c *Controller) Run(ctx context.Context, lease *leaderelection.Lease) error {
	c.Reports.SetAccepting(true)
	defer c.Reports.SetAccepting(false)
	term := &leaderTerm{c, maintenance.NewReconciler(lease.Token), lease.Guard(), time.Now()}
	backoff := time.Duration(0)
	for {
		wait, err := term.reconcile(ctx)
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case err != nil:
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			wait = backoff/2 + rand.N(backoff/2)
			slog.Warn("windows wait", "again_in", wait, "error", err)
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

// readClock reads both clocks.
func (t *leaderTerm) readClock() maintenance.ClockReading {
	wall := time.Now()
	if t.Now != nil {
		wall = t.Now()
	}
	return maintenance.ClockReading{MonotonicMS: time.Since(t.startedAt).Milliseconds() + 1, WallMS: wall.UnixMilli(), UncertaintyMS: t.Uncertainty.Milliseconds()}
}

// reconcile reads, decides and writes, and says how long there is nothing to do.
func (t *leaderTerm) reconcile(ctx context.Context) (time.Duration, error) {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := t.Registry.Windows(readCtx, true)
	if err != nil {
		return 0, err
	}
	view := state.View()
	reports, snapshotAt := t.Reports.Snapshot()
	for i := range reports {
		receivedAt := t.readClock()
		receivedAt.MonotonicMS -= (snapshotAt - reports[i].ReceivedAt).Milliseconds()
		t.reconciler.ObserveReport(receivedAt, reports[i].LoadReport)
	}
	now := t.readClock()
	effects, nextRunMS := t.reconciler.Reconcile(now, view)
	// At a time, each on its own window: one that waits for servers that are silent keeps none from being prolonged.
	results := make([]writeResult, len(effects))
	forEachConcurrently(len(effects), func(i int) { results[i] = t.write(ctx, view, effects[i]) })
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	for i, effect := range effects {
		result := &results[i]
		t.reconciler.ObserveResult(t.readClock(), effect, result.outcome, result.reason, result.revision)
		if effect.Operation != nil && effect.Operation.Kind != maintenance.OpExtendExclusion || result.outcome != maintenance.OutcomeApplied {
			slog.Info("window", "window", effect.Window, "step", effectName(effect), "outcome", result.outcome, "why", result.reason)
		}
	}
	if len(effects) > 0 {
		return 0, nil // an answer may have the next step follow at once
	}
	wait := min(time.Duration(nextRunMS-now.MonotonicMS)*time.Millisecond, idleInterval)
	if wait <= time.Second {
		wait = activeInterval
	}
	return wait, nil
}

// forEachConcurrently calls do for 0 to n-1, some at a time.
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

// writeResult is what became of an effect, and the revision that has it.
type writeResult struct {
	outcome  maintenance.Outcome
	reason   string
	revision uint64
}

func effectName(effect maintenance.Effect) string {
	if effect.Operation != nil {
		return string(effect.Operation.Kind)
	}
	return "permit " + string(effect.LedgerAction.Kind)
}

// write writes one effect. Without an answer it is not known whether it was taken: the core looks again.
func (t *leaderTerm) write(ctx context.Context, view *maintenance.View, effect maintenance.Effect) writeResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result registry.Result
	var err error
	guarded := registry.WriteOptions{Guard: t.guard}
	switch {
	case effect.Operation != nil:
		result, err = t.Registry.WriteWindow(ctx, guarded, t.readClock().Timestamp(), *effect.Operation)
	case effect.LedgerAction.Kind == disruption.OpObserve:
		op := t.observeServers(ctx, view, effect.LedgerAction)
		var ledgerResult registry.LedgerResult
		ledgerResult, err = t.Registry.ApplyLedgerOp(ctx, guarded, *op)
		result = ledgerResult.Result
	default:
		var ledgerResult registry.LedgerResult
		ledgerResult, err = t.Registry.ApplyLedgerOp(ctx, guarded, *effect.LedgerAction.Operation())
		result = ledgerResult.Result
	}
	if err == nil {
		return writeResult{maintenance.OutcomeApplied, result.Reason, result.Revision}
	}
	var status *registry.StatusError
	outcome := maintenance.OutcomeBlocked
	switch {
	case !errors.As(err, &status):
	case effect.Operation != nil && strings.Contains(status.Error(), string(maintenance.OutcomeClockFault)+": "):
		outcome = maintenance.OutcomeClockFault
	case effect.LedgerAction != nil && effect.LedgerAction.Kind == disruption.OpRequest && (status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound):
		outcome = maintenance.OutcomeInvalid // it can never be granted
	}
	return writeResult{outcome, err.Error(), 0}
}

// observeServers looks at an act's servers and says what there is.
func (t *leaderTerm) observeServers(ctx context.Context, view *maintenance.View, action *maintenance.LedgerAction) *disruption.Op {
	conditions := make([]disruption.Condition, len(action.ServerUIDs))
	forEachConcurrently(len(action.ServerUIDs), func(i int) { conditions[i] = t.checkServer(ctx, view.OutOfService[action.ServerUIDs[i]]) })
	next := 0
	return action.ObservationOperation(view, func(maintenance.ServerStatus) disruption.Condition {
		next++
		return conditions[next-1]
	})
}

// checkServer tells whether a server serves.
func (t *leaderTerm) checkServer(ctx context.Context, server maintenance.ServerStatus) disruption.Condition {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	if server.Endpoint != "" && t.CheckReady(ctx, server.Endpoint) {
		return disruption.ConditionUp
	}
	return disruption.ConditionUnready
}

// HTTPReadyCheck asks a server over HTTP whether it is ready: 200 at the path.
func HTTPReadyCheck(path string) func(context.Context, string) bool {
	client := &http.Client{Timeout: healthCheckTimeout}
	return func(ctx context.Context, endpoint string) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", endpoint, path), nil)
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}
