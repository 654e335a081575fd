package registry

import (
	"cmp"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
)

// contractBudgetOwner owns the budgets of contracts in the ledger. It is an operator because only operators set
// contracts.
const contractBudgetOwner = "operator/contract"

// Windows returns the table of contracts and maintenance windows, for reading.
func (s *StateMachine) Windows() *maintenance.Table { return s.windows }

// setWindowTable sets the table, and makes it look up permits in the ledger.
func (s *StateMachine) setWindowTable(windows *maintenance.Table) {
	s.windows = windows
	windows.LookupPermit = func(id string) (disruption.Stage, bool) {
		if s.ledger == nil {
			return "", false
		}
		permit, ok := s.ledger.table.Permit(id)
		return permit.Stage, ok
	}
}

// applyWindow applies an operation to contracts and windows. The same record updates the budgets of the ledger and the
// placement to match.
func (s *StateMachine) applyWindow(index uint64, record *Record) Result {
	if record.Window == nil || record.Timestamp == nil {
		return conflictResult(index, "no operation, or no time")
	}
	op := *record.Window
	if op.Kind.RequiresToken() {
		if record.Guard == nil || record.Guard.Lease != maintenance.LeaseName {
			return conflictResult(index, "a step of a window needs the token of lease %s", maintenance.LeaseName)
		}
		op.Token = record.Guard.Token
	}
	changes, err := s.windows.Apply(index, &op, *record.Timestamp)
	if err != nil {
		// The controller reads the outcome of the table from the beginning of the text.
		return Result{windowOutcome(maintenance.OutcomeOf(err)), index, err.Error()}
	}
	budgetFailure := s.applyContractBudget(index, &op)
	placementFailure := s.publishWindow(index, record.Timestamp.LeaderMS, changes.SetDirectives, changes.DeleteDirectiveIDs)
	return Result{OutcomeDone, index, cmp.Or(budgetFailure, placementFailure)}
}

func windowOutcome(outcome maintenance.Outcome) Outcome {
	switch outcome {
	case maintenance.OutcomeNotFound:
		return OutcomeNotFound
	case maintenance.OutcomeLimitExceeded:
		return OutcomeLimitExceeded
	default:
		return OutcomeConflict
	}
}

// publishWindow sets and removes the directives of a window. If the placement rejects the change, for example because it
// is full, publishWindow only removes directives, and returns the reason. A window whose directives are not set never
// drains, and its servers return.
func (s *StateMachine) publishWindow(index uint64, nowMS int64, set []placement.Directive, remove []string) (failure string) {
	if len(set)+len(remove) == 0 {
		return ""
	}
	op := &placement.Op{LeaderTimeMS: nowMS, Set: set, Delete: remove}
	result := s.placement.Apply(index, maintenance.LeaseName, op)
	if result.Outcome != placement.OutcomeApplied && len(set) > 0 && len(remove) > 0 {
		s.placement.Apply(index, maintenance.LeaseName, &placement.Op{LeaderTimeMS: nowMS, Delete: remove})
	}
	return result.Reason
}

// applyContractBudget sets the ledger budget of a contract, or deletes it when the contract is withdrawn. The budget
// bounds the servers of the contract that are out for any reason. It returns the reason if the ledger rejects the
// change.
func (s *StateMachine) applyContractBudget(index uint64, op *maintenance.Operation) (failure string) {
	budgetOp := &disruption.Op{Kind: disruption.OpSetBudget, Owner: contractBudgetOwner}
	switch op.Kind {
	case maintenance.OpSetContract:
		budgetOp.Budget = maintenance.ContractBudget(op.Contract)
	case maintenance.OpWithdrawContract:
		budgetOp.Budget, budgetOp.Delete = &disruption.Budget{Name: maintenance.ContractBudgetName(op.Tenant)}, true
	default:
		return ""
	}
	if result := s.ensureLedger(index).table.Apply(index, budgetOp); result.Outcome != disruption.OutcomeApplied {
		return "no budget of the ledger goes with it: " + result.Reason // the text is stored with the write and must not change
	}
	return ""
}
