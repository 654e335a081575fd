package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/registry"
)

// write writes one effect to the registry. Without an answer it is not known whether the write was applied: the
// reconciler looks at the state again.
func (t *leaderTerm) write(ctx context.Context, view *maintenance.View, effect maintenance.Effect) maintenance.EffectResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	options := registry.WriteOptions{Guard: t.guard}
	switch action := effect.Action.(type) {
	case *maintenance.Operation:
		result, err := t.Registry.WriteWindow(ctx, options, t.readClock().Timestamp(), *action)
		return effectResult(result, err, operationOutcome)
	case *maintenance.LedgerAction:
		op := action.Operation()
		if action.Kind == disruption.OpObserve {
			op = action.ObservationOperation(view, t.checkServers(ctx, view, action.ServerUIDs))
		}
		result, err := t.Registry.ApplyLedgerOp(ctx, options, *op)
		return effectResult(result.Result, err, func(status *registry.StatusError) maintenance.Outcome {
			return ledgerOutcome(action.Kind, status)
		})
	}
	panic(fmt.Sprintf("unknown action %T", effect.Action))
}

// effectResult is the result of a write. An error other than the registry's answer may pass: the outcome is
// OutcomeBlocked.
func effectResult(result registry.Result, err error, outcomeOf func(*registry.StatusError) maintenance.Outcome) maintenance.EffectResult {
	if err == nil {
		return maintenance.EffectResult{Outcome: maintenance.OutcomeApplied, Reason: result.Reason, Revision: result.Revision}
	}
	outcome := maintenance.OutcomeBlocked
	var status *registry.StatusError
	if errors.As(err, &status) {
		outcome = outcomeOf(status)
	}
	return maintenance.EffectResult{Outcome: outcome, Reason: err.Error()}
}

// operationOutcome tells a clock fault, which the registry's message begins with, from all that may be retried sooner.
func operationOutcome(status *registry.StatusError) maintenance.Outcome {
	if strings.Contains(status.Error(), string(maintenance.OutcomeClockFault)+": ") {
		return maintenance.OutcomeClockFault
	}
	return maintenance.OutcomeBlocked
}

// ledgerOutcome tells a permit that can never be granted from an operation that may be retried.
func ledgerOutcome(kind disruption.OpKind, status *registry.StatusError) maintenance.Outcome {
	infeasible := status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound
	if kind == disruption.OpRequest && infeasible {
		return maintenance.OutcomeInvalid
	}
	return maintenance.OutcomeBlocked
}

// checkServers runs a health check of each server.
func (t *leaderTerm) checkServers(ctx context.Context, view *maintenance.View, uids []string) []disruption.Condition {
	conditions := make([]disruption.Condition, len(uids))
	forEachConcurrently(len(uids), func(i int) { conditions[i] = t.checkServer(ctx, view.OutOfService[uids[i]]) })
	return conditions
}

func (t *leaderTerm) checkServer(ctx context.Context, server maintenance.ServerStatus) disruption.Condition {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	if server.Endpoint != "" && t.CheckReady(ctx, server.Endpoint) {
		return disruption.ConditionUp
	}
	return disruption.ConditionUnready
}

// HTTPReadyCheck returns a health check for Controller.CheckReady: a server is ready that answers GET path with 200.
func HTTPReadyCheck(path string) func(context.Context, string) bool {
	client := &http.Client{Timeout: healthCheckTimeout}
	return func(ctx context.Context, endpoint string) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", endpoint, path), nil)
		if err != nil {
			return false // an endpoint that is no address serves nothing
		}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}
