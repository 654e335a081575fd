package registry

import (
	"maps"
	"slices"
)

// minRetainedChanges is how many changes the history retains at least, and up to twice as many, for watchers that
// reconnect: one that is further behind gets the complete list.
const minRetainedChanges = 8192

// Change is the change of one instance. Its target is as it was then, InstanceRemoved where it was removed.
type Change struct {
	Revision uint64
	Target   Target
}

// recordChange adds a change to the history. The changes of one record share its revision.
func (s *StateMachine) recordChange(index uint64, target Target) {
	s.revision = index
	s.history = append(s.history, Change{Revision: index, Target: target})
	if len(s.history) >= 2*minRetainedChanges {
		s.compactHistory()
	}
}

// compactHistory drops the older half of the history, at once so that the cost of a change stays constant. The changes
// of one revision are retained together or not at all.
func (s *StateMachine) compactHistory() {
	excess := len(s.history) - minRetainedChanges
	s.compactedRevision = s.history[excess-1].Revision
	for excess < len(s.history) && s.history[excess].Revision == s.compactedRevision {
		excess++
	}
	s.history = append(s.history[:0], s.history[excess:]...)
}

// CompleteList returns the endpoint list, ordered by uid.
func (s *StateMachine) CompleteList() EndpointList {
	list := EndpointList{Revision: s.revision, Complete: true, Epoch: s.epoch, Targets: make([]Target, 0, len(s.instances))}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		list.Targets = append(list.Targets, s.instances[uid].Target)
	}
	return list
}

// HasHistorySince reports whether the history has every change after a revision of an epoch (0: of the present one).
func (s *StateMachine) HasHistorySince(revision, epoch uint64) bool {
	return revision != 0 && revision >= s.compactedRevision && revision <= s.revision && (epoch == 0 || epoch == s.epoch)
}

// ChangesSince returns the newest state of each instance that changed after a revision of an epoch, or the complete list
// where the history does not reach back so far.
func (s *StateMachine) ChangesSince(revision, epoch uint64) EndpointList {
	if !s.HasHistorySince(revision, epoch) {
		return s.CompleteList()
	}
	list := EndpointList{Revision: s.revision, Epoch: s.epoch, Targets: []Target{}}
	positions := map[string]int{} // by uid, in list.Targets
	for i := s.firstChangeAfter(revision); i < len(s.history); i++ {
		target := s.history[i].Target
		if position, ok := positions[target.UID]; ok {
			list.Targets[position] = target
			continue
		}
		positions[target.UID] = len(list.Targets)
		list.Targets = append(list.Targets, target)
	}
	return list
}

// firstChangeAfter returns the position in the history of the first change after a revision.
func (s *StateMachine) firstChangeAfter(revision uint64) int {
	position, _ := slices.BinarySearchFunc(s.history, revision, func(change Change, revision uint64) int {
		if change.Revision <= revision {
			return -1
		}
		return 1
	})
	return position
}
