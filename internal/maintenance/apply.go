package maintenance

import (
	"fmt"
	"slices"
	"strings"

	"milldeck/internal/maintenance/contract"
	"milldeck/internal/placement"
)

// Result is what became of an operation, and what sidecars are told in the same entry of the log.
type Result struct {
	Outcome      Outcome
	Reason       string
	SetEntries   []placement.Directive
	DropEntryIDs []string // ids of entries
}

// Validate tells what cannot be, before the operation goes into the log.
func (op *Operation) Validate() error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
	namesWindow := op.Kind != OpSetContract && op.Kind != OpWithdrawContract && op.Kind != OpHalt && op.Kind != OpResume && op.Kind != OpResetEstimates
	switch {
	case namesWindow && (op.Window == "" || len(op.Window) > maxNameLength || strings.Contains(op.Window, "/")):
		return invalid("name", "%q is not 1 to %d characters without a slash", op.Window, maxNameLength)
	case op.Kind == OpSetContract && op.Contract == nil:
		return invalid("contract", "none")
	case op.Kind == OpSetContract:
		return op.Contract.Validate()
	case op.Kind == OpWithdrawContract && op.Tenant == "":
		return invalid("tenant", "none")
	case op.Kind == OpPropose && (len(op.ServerUIDs) == 0 || len(op.ServerUIDs) > MaxServersPerWindow):
		return invalid("servers", "%d, wanted 1 to %d", len(op.ServerUIDs), MaxServersPerWindow)
	case op.Kind == OpPropose && (op.WorkMS <= 0 || op.WorkMS > maxWorkMS):
		return invalid("work_ms", "%d is not within 1 to %d", op.WorkMS, maxWorkMS)
	case (op.Kind == OpHalt || op.Kind == OpResume) && op.Scope != "" && !strings.HasPrefix(op.Scope, "tenant/") && !strings.HasPrefix(op.Scope, "window/"):
		return invalid("scope", "%q is not empty, tenant/NAME or window/NAME", op.Scope)
	case len(op.Scope) > maxNameLength+len("tenant/"):
		return invalid("scope", "over %d characters", maxNameLength+len("tenant/"))
	case len(op.Reason) > maxReasonLength:
		return invalid("why", "%d bytes, at most %d", len(op.Reason), maxReasonLength)
	case op.Kind.RequiresToken() && op.Token == 0:
		return invalid("token", "none")
	}
	return nil
}

// Apply takes in an operation of the log. Rev is its revision, which only grows; stamp its time. Whatever is not
// applied changes nothing but the note of doubt.
func (t *Table) Apply(revision uint64, op *Operation, timestamp Timestamp) Result {
	t.setEntries, t.dropEntryIDs = nil, nil
	if op.Kind.RequiresToken() && (op.Token == 0 || op.Token < t.token) {
		return Result{Outcome: OutcomeStale, Reason: fmt.Sprintf("token %d counts no more, %d has written since", op.Token, t.token)}
	}
	now := t.boundTime(timestamp)
	if now.clockFault != t.clockFault {
		t.clockFault, t.modRevision = now.clockFault, revision
	}
	if now.clockFault != "" && (op.Kind.advances() || op.Kind == OpMarkOverrun) {
		return Result{Outcome: OutcomeClockFault, Reason: now.clockFault}
	}
	outcome, reason := t.execute(revision, op, now)
	if outcome != OutcomeApplied {
		return Result{Outcome: outcome, Reason: reason}
	}
	if op.Kind.RequiresToken() {
		t.token = op.Token
	}
	if now.clockFault == "" {
		t.logTimeMS = now.earliest
	}
	t.modRevision = revision
	t.evictFinished()
	return Result{Outcome: OutcomeApplied, SetEntries: t.setEntries, DropEntryIDs: t.dropEntryIDs}
}

// timeBounds is the time of a step: surely not before lo, surely not after hi (Unix ms), unless there is doubt.
type timeBounds struct {
	earliest, latest int64
	uncertainty      int64 // ms that the clocks may be off
	timestamp        Timestamp
	clockFault       string
}

// boundTime reads a stamp against the logged time, which never runs back.
func (t *Table) boundTime(timestamp Timestamp) timeBounds {
	earliest, latest := timestamp.bounds()
	now := timeBounds{earliest: max(earliest, t.logTimeMS), latest: max(latest, t.logTimeMS), uncertainty: max(timestamp.UncertaintyMS, timestamp.LeaderUncertaintyMS),
		timestamp: timestamp, clockFault: timestamp.clockFault()}
	if now.clockFault == "" && latest < t.logTimeMS {
		now.clockFault = fmt.Sprintf("the time is %d ms before what is logged", t.logTimeMS-latest)
	}
	if now.clockFault != "" {
		now.earliest = t.logTimeMS
	}
	return now
}

func (t *Table) execute(revision uint64, op *Operation, now timeBounds) (Outcome, string) {
	switch op.Kind {
	case OpSetContract:
		return t.setContract(revision, op, now)
	case OpWithdrawContract:
		return t.withdrawContract(revision, op.Tenant, now)
	case OpHalt, OpResume:
		return t.applyHalt(revision, op, now)
	case OpPropose:
		return t.propose(revision, op, now)
	case OpResetEstimates:
		t.drainSamplesMS, t.returnSamplesMS = nil, nil
		return OutcomeApplied, ""
	}
	previous := t.windows[op.Window]
	if previous == nil {
		return OutcomeNotFound, "there is no window " + op.Window
	}
	window := *previous // copied, so that who has read the old one keeps it as it was
	outcome, reason := t.transition(&window, revision, op, now)
	if outcome == OutcomeApplied {
		t.store(revision, previous, &window)
	}
	return outcome, reason
}

// store keeps a window's new form and works out what sidecars are told.
func (t *Table) store(revision uint64, previous, window *Window) {
	window.ModRevision = revision
	t.publishExclusions(previous, window)
	t.windows[window.Name] = window
}

func (t *Table) propose(revision uint64, op *Operation, now timeBounds) (Outcome, string) {
	serverUIDs := slices.Compact(slices.Sorted(slices.Values(op.ServerUIDs)))
	if existing := t.windows[op.Window]; existing != nil {
		if slices.Equal(existing.ServerUIDs, serverUIDs) && existing.WorkMS == op.WorkMS && existing.Operator == op.Operator && existing.NotBeforeMS == op.NotBeforeMS {
			return OutcomeApplied, "" // a repeat
		}
		return OutcomeInvalid, "there is another window " + op.Window
	}
	if len(t.windows) >= MaxWindows {
		return OutcomeLimitExceeded, fmt.Sprintf("there are %d windows", len(t.windows))
	}
	t.store(revision, nil, &Window{Name: op.Window, Operator: op.Operator, ServerUIDs: serverUIDs, WorkMS: op.WorkMS, NotBeforeMS: op.NotBeforeMS,
		Stage: StageProposed, ProposedAtMS: now.latest})
	return OutcomeApplied, ""
}

// setContract brings a contract into force. It acts at once on windows under way: whom it approves now goes on under
// it, for whom it does not the tenant is told nothing any more.
func (t *Table) setContract(revision uint64, op *Operation, now timeBounds) (Outcome, string) {
	newContract := op.Contract
	if newContract == nil || newContract.Tenant == "" || (op.CurrentApproval != nil && op.CurrentApproval.Tenant != newContract.Tenant) {
		return OutcomeInvalid, "no contract, or a grant of another tenant"
	}
	if t.contracts[newContract.Tenant] == nil && len(t.contracts) >= MaxContracts {
		return OutcomeLimitExceeded, fmt.Sprintf("there are %d contracts", len(t.contracts))
	}
	t.changeContract(revision, now, newContract.Tenant, func() { t.contracts[newContract.Tenant] = &ActiveContract{Contract: *newContract, Version: revision} }, func(approval *Approval) {
		if op.CurrentApproval != nil && len(op.CurrentApproval.Months) > 0 {
			serverCount := approval.ServerCount
			*approval = *op.CurrentApproval
			approval.ContractVersion, approval.ServerCount = revision, serverCount
		}
	})
	return OutcomeApplied, ""
}

func (t *Table) withdrawContract(revision uint64, tenant string, now timeBounds) (Outcome, string) {
	if t.contracts[tenant] == nil {
		return OutcomeNotFound, "there is no contract of " + tenant
	}
	t.changeContract(revision, now, tenant, func() { delete(t.contracts, tenant) }, func(*Approval) {})
	return OutcomeApplied, ""
}

// changeContract carries out a change of a tenant's contract, and regrants the tenant's windows that are out.
func (t *Table) changeContract(revision uint64, now timeBounds, tenant string, apply func(), reapprove func(*Approval)) {
	type affectedWindow struct {
		previous *Window
		entryIDs []string
	}
	var affected []affectedWindow
	for _, window := range t.Windows() {
		if i := slices.IndexFunc(window.Approvals, func(approval Approval) bool { return approval.Tenant == tenant }); i >= 0 && window.OutOfService() {
			var entryIDs []string
			for _, entry := range t.ExclusionEntries(window) {
				entryIDs = append(entryIDs, entry.ID)
			}
			affected = append(affected, affectedWindow{window, entryIDs})
		}
	}
	apply()
	for _, item := range affected {
		window := *item.previous
		window.Approvals = slices.Clone(window.Approvals)
		for i := range window.Approvals {
			if approval := &window.Approvals[i]; approval.Tenant == tenant {
				reapprove(approval)
			}
		}
		window.ClosesAtMS = earliestClose(window.Approvals)
		window.ModRevision = revision
		shortened := false
		if latestEnd := window.ClosesAtMS - CloseGuardMS - now.uncertainty; window.ExcludedUntilMS > latestEnd { // an earlier close: tenants keep off until that
			if window.ExcludedUntilMS = latestEnd; latestEnd <= now.latest || now.clockFault != "" {
				window.ExcludedUntilMS = 0
			}
			shortened = true
		}
		t.windows[window.Name] = &window
		remaining := t.ExclusionEntries(&window)
		for _, id := range item.entryIDs {
			if !slices.ContainsFunc(remaining, func(entry placement.Directive) bool { return entry.ID == id }) {
				t.dropEntryIDs = append(t.dropEntryIDs, id)
			}
		}
		for _, entry := range remaining { // a changed least share is told too
			if (entry.Tenant == tenant || shortened) && entry.ExpiresAtMS > now.latest && now.clockFault == "" {
				t.setEntries = append(t.setEntries, entry)
			}
		}
	}
}

func earliestClose(approvals []Approval) int64 {
	earliest := approvals[0].ClosesAtMS
	for _, approval := range approvals {
		earliest = min(earliest, approval.ClosesAtMS)
	}
	return earliest
}

// applyHalt holds windows back, or lets them go on. A window by name that is out comes back.
func (t *Table) applyHalt(revision uint64, op *Operation, now timeBounds) (Outcome, string) {
	name, named := strings.CutPrefix(op.Scope, "window/")
	if !named {
		if op.Kind == OpResume {
			delete(t.halts, op.Scope)
			return OutcomeApplied, ""
		}
		if _, exists := t.halts[op.Scope]; !exists && len(t.halts) >= MaxHalts {
			return OutcomeLimitExceeded, fmt.Sprintf("there are %d halts", len(t.halts))
		}
		t.halts[op.Scope] = op.Reason
		return OutcomeApplied, ""
	}
	previous := t.windows[name]
	if previous == nil {
		return OutcomeNotFound, "there is no window " + name
	}
	window := *previous
	switch {
	case op.Kind == OpResume && window.Stage == StageHalted:
		window.Stage, window.Reason = StageProposed, ""
	case op.Kind == OpResume && window.StageAfterReturn == StageHalted && window.OutOfService():
		window.StageAfterReturn = StageProposed
	case op.Kind == OpHalt && beforeDrain(window.Stage):
		window.Stage, window.Reason = StageHalted, op.Reason
	case op.Kind == OpHalt && (window.Stage == StageDraining || window.Stage == StageDrained):
		window.beginReturn(StageHalted, op.Reason, now)
	default:
		return OutcomeApplied, "" // over, or on its way back already
	}
	t.store(revision, previous, &window)
	return OutcomeApplied, ""
}

// beforeDrain tells whether nothing has been taken out yet.
func beforeDrain(stage Stage) bool {
	return stage == StageProposed || stage == StageApproved || stage == StageAwaitingPermit
}

// beginReturn begins the way back.
func (w *Window) beginReturn(stageAfter Stage, reason string, now timeBounds) {
	w.Stage, w.StageAfterReturn, w.Reason, w.ReturnStartedAtMS = StageReturning, stageAfter, reason, now.earliest
}

// applyOverrunPolicy acts on an overrun as the contracts ask for.
func (t *Table) applyOverrunPolicy(window *Window) {
	for _, approval := range window.Approvals {
		scope := "tenant/" + approval.Tenant
		active := t.contracts[approval.Tenant]
		if _, halted := t.halts[scope]; !halted && active != nil && active.OverrunPolicy == contract.OverrunHaltsTenant && len(t.halts) < MaxHalts {
			t.halts[scope] = "window " + window.Name + " was not over at the close"
		}
	}
}
