package registry

import (
	"errors"

	"milldeck/internal/leaderelection/leasetable"
)

// Leases returns the table of the leases of leader election, for reading.
func (s *StateMachine) Leases() *leasetable.Table { return s.leases }

func (s *StateMachine) applyLease(index uint64, op *leasetable.Operation) Result {
	if op == nil {
		return conflictResult(s.leases.Revision(), "no operation")
	}
	err := s.leases.Apply(index, op)
	var rejected *leasetable.RejectedError
	if errors.As(err, &rejected) {
		return Result{leaseOutcome(rejected.Rejection), s.leases.Revision(), rejected.Reason}
	}
	return Result{OutcomeDone, s.leases.Revision(), ""}
}

func leaseOutcome(rejection leasetable.Rejection) Outcome {
	switch rejection {
	case leasetable.NotFound:
		return OutcomeNotFound
	case leasetable.LimitExceeded:
		return OutcomeLimitExceeded
	default:
		return OutcomeConflict
	}
}
