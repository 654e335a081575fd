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

// write writes one effect to the registry. Without an answer it is unknown whether the write was applied, and the
// reconciler decides from the state that it reads next.
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

// effectResult converts the answer to a write. An error that is not an answer of the registry may be temporary
// and gives OutcomeBlocked.
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

// operationOutcome distinguishes a clock fault, which it recognizes by the registry's message, from rejections
// that may be retried sooner.
func operationOutcome(status *registry.StatusError) maintenance.Outcome {
	if strings.Contains(status.Error(), string(maintenance.OutcomeClockFault)+": ") {
		return maintenance.OutcomeClockFault
	}
	return maintenance.OutcomeBlocked
}

// ledgerOutcome distinguishes a permit that can never be granted from an operation that may be retried.
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

// HTTPReadyCheck returns a health check for Controller.CheckReady. A server is ready if it answers GET path with
// status 200.
func HTTPReadyCheck(path string) func(context.Context, string) bool {
	client := &http.Client{Timeout: healthCheckTimeout}
	return func(ctx context.Context, endpoint string) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", endpoint, path), nil)
		if err != nil {
			return false // no server is reachable at an endpoint that gives no valid URL
		}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}
