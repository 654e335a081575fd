package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// execute executes the effects of a step, and reports whether it wrote a next state. It sends the platform's requests first,
// in one call. A failed effect other than the write of the state is not an error: the next step repeats it.
func (t *leaseTerm) execute(ctx context.Context, effects []release.Effect) (wrote bool, err error) {
	var requests []supervisor.Request
	for _, effect := range effects {
		if call, ok := effect.(release.CallPlatform); ok {
			requests = append(requests, call.Request)
		}
	}
	t.callPlatform(ctx, requests)
	for _, effect := range effects {
		if ctx.Err() != nil {
			return wrote, ctx.Err()
		}
		switch effect := effect.(type) {
		case release.ApplyLedgerOp:
			t.applyLedgerOp(ctx, effect.Op)
		case release.PrepareUnit:
			t.prepareUnit(ctx, effect.Unit)
		case release.MarkTerminating:
			t.setServerState(ctx, effect.Unit, registry.InstanceTerminating)
		case release.MarkReady:
			t.setServerState(ctx, effect.Unit, registry.InstanceReady)
		case release.WriteDelta:
			if err := t.writeDelta(ctx, effect.Delta); err != nil {
				return false, err
			}
			wrote = true
		}
	}
	return wrote, nil
}

// callPlatform sends requests to the platform in one call. It omits a request whose configuration cannot be read; the unit
// stays in its stage until a later step.
func (t *leaseTerm) callPlatform(ctx context.Context, requests []supervisor.Request) {
	sendable := t.withConfigText(requests)
	if len(sendable) == 0 {
		return
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	outcomes, err := t.Platform.Do(ctx, sendable...)
	if err != nil {
		t.logger.Warn("platform request failed", "requests", len(sendable), "error", err)
		return
	}
	for _, outcome := range outcomes {
		t.outcomes[outcome.ID] = outcome
	}
}

// withConfigText adds the configuration texts to requests, and returns at most as many requests as one call may have.
func (t *leaseTerm) withConfigText(requests []supervisor.Request) []supervisor.Request {
	var sendable []supervisor.Request
	for _, request := range requests {
		if request.ConfigName != "" && t.ConfigText != nil {
			text, err := t.ConfigText(request.Unit, request.ConfigName)
			if err != nil {
				t.logger.Warn("configuration cannot be read", "unit", request.Unit, "config", request.ConfigName, "error", err)
				continue
			}
			request.ConfigText = text
		}
		sendable = append(sendable, request)
		if len(sendable) == supervisor.MaxRequests {
			break
		}
	}
	return sendable
}

// applyLedgerOp applies an operation to the ledger. It records the denial of a permit for the next step, which detects other
// failures itself.
func (t *leaseTerm) applyLedgerOp(ctx context.Context, op disruption.Op) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	result, err := t.Store.ApplyLedgerOp(ctx, t.writeOptions(), op)
	if op.Permit == nil {
		return // an observation: a later step reports it again if it was not applied
	}
	if err == nil {
		t.ledgerRevision = max(t.ledgerRevision, result.Revision)
		delete(t.deniedPermits, op.Permit.ID)
		return
	}
	if reason, denied := denial(err); denied && op.Kind == disruption.OpRequest {
		t.deniedPermits[op.Permit.ID] = reason
		return
	}
	t.logger.Debug("ledger operation failed", "kind", op.Kind, "permit", op.Permit.ID, "error", err)
}

// denial returns why the ledger denied an operation, and whether it did. Other errors say nothing about the permit.
func denial(err error) (reason string, denied bool) {
	var status *registry.StatusError
	if !errors.As(err, &status) {
		return "", false
	}
	if status.StatusCode != http.StatusConflict && status.StatusCode != http.StatusNotFound {
		return "", false
	}
	return status.Message, true
}

func (t *leaseTerm) setServerState(ctx context.Context, id, state string) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	if _, err := t.Store.SetState(ctx, t.writeOptions(), unitName(id), state); err != nil {
		t.logger.Debug("server state not written", "unit", id, "state", state, "error", err)
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
		t.logger.Debug("server not prepared", "unit", id, "error", err)
	}
	t.prepared[id] = prepared && err == nil
}

// placeCohort directs sidecars to count requests to updated servers separately. It renews the directive before it expires.
func (t *leaseTerm) placeCohort(ctx context.Context) {
	updated := t.state.UpdatedUnits()
	if len(updated) > placement.MaxServersPerDirective {
		updated = updated[:placement.MaxServersPerDirective]
	}
	if len(updated) == 0 || t.state.Plan.Change.ServerVersion == "" {
		return
	}
	if slices.Equal(updated, t.cohortServers) && time.Since(t.cohortPlacedAt) < cohortRefreshInterval {
		return
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	now := time.Now()
	directive := placement.Directive{
		ID:          t.state.CohortID(),
		Kind:        placement.KindCohort,
		Cohort:      t.Name,
		Servers:     updated,
		ExpiresAtMS: now.Add(cohortTTL).UnixMilli(),
	}
	_, err := t.Store.SetPlacement(ctx, t.writeOptions(), now.UnixMilli(), []placement.Directive{directive})
	if err != nil {
		t.logger.Debug("cohort not written", "servers", len(updated), "error", err)
		return
	}
	t.cohortServers = updated
	t.cohortPlacedAt = now
}
