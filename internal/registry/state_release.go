package registry

import "milldeck/internal/release"

// Releases returns the table of releases, for reading.
func (s *StateMachine) Releases() *release.Table { return s.releases }

func (s *StateMachine) applyRelease(index uint64, record *Record) Result {
	op := record.Release
	if op != nil && op.RequiresToken() && (record.Guard == nil || record.Guard.Lease != release.Owner(op.Name)) {
		return conflictResult(index, "a step of a release needs the token of the release's lease")
	}
	if err := s.releases.Apply(index, op); err != nil {
		return conflictResult(index, "%s", err)
	}
	return doneResult(index)
}
