package registry

import "milldeck/internal/placement"

// Placement returns the table of the placement, for reading.
func (s *StateMachine) Placement() *placement.Table { return s.placement }

func (s *StateMachine) applyPlacement(index uint64, record *Record) Result {
	if record.Placement == nil {
		return conflictResult(s.placement.Revision(), "no operation")
	}
	owner := ""
	if record.Guard != nil {
		owner = record.Guard.Lease
	}
	result := s.placement.Apply(index, owner, record.Placement)
	return Result{placementOutcome(result.Outcome), s.placement.Revision(), result.Reason}
}

func placementOutcome(outcome placement.Outcome) Outcome {
	switch outcome {
	case placement.OutcomeApplied:
		return OutcomeDone
	case placement.OutcomeLimitReached:
		return OutcomeLimitExceeded
	default:
		return OutcomeConflict
	}
}
