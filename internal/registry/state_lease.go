package registry

import "milldeck/internal/leaderelection/leasetable"

// Leases is the table of the leases of leader election, for reading.
func (s *StateMachine) Leases() *leasetable.Table { return s.leases }

func (s *StateMachine) applyLease(index uint64, op *leasetable.Operation) Result {
	if op == nil {
		return conflictResult(s.leases.Rev(), "no operation")
	}
	outcome, reason := s.leases.Apply(index, op)
	return Result{leaseOutcome(outcome), s.leases.Rev(), reason}
}

func leaseOutcome(outcome leasetable.Outcome) Outcome {
	switch outcome {
	case leasetable.Applied:
		return OutcomeDone
	case leasetable.NotFound:
		return OutcomeNotFound
	case leasetable.LimitExceeded:
		return OutcomeLimitExceeded
	default:
		return OutcomeConflict
	}
}
