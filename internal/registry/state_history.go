package registry

import (
	"maps"
	"slices"
)

// minRetainedChanges is the minimum number of changes that the history retains for watchers that reconnect; the maximum
// is twice as many. A watcher that is further behind receives the complete list.
const minRetainedChanges = 8192

// Change is a change of one instance. Target is the instance after the change; its state is InstanceRemoved if the
// change removed the instance.
type Change struct {
	Revision uint64
	Target   Target
}

// recordChange adds a change to the history. All changes of one record have the same revision.
func (s *StateMachine) recordChange(index uint64, target Target) {
	s.revision = index
	s.history = append(s.history, Change{Revision: index, Target: target})
	if len(s.history) >= 2*minRetainedChanges {
		s.compactHistory()
	}
}

// compactHistory drops the older half of the history in one step, so that the amortized cost of a change is constant.
// It keeps either all changes of a revision or none.
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

// HasHistorySince reports whether the history contains every change after a revision of an epoch. Epoch 0 stands for
// the current epoch.
func (s *StateMachine) HasHistorySince(revision, epoch uint64) bool {
	return revision != 0 && revision >= s.compactedRevision && revision <= s.revision && (epoch == 0 || epoch == s.epoch)
}

// ChangesSince returns the newest state of each instance that changed after a revision of an epoch. It returns the
// complete list if the history does not reach back to that revision.
func (s *StateMachine) ChangesSince(revision, epoch uint64) EndpointList {
	if !s.HasHistorySince(revision, epoch) {
		return s.CompleteList()
	}
	list := EndpointList{Revision: s.revision, Epoch: s.epoch, Targets: []Target{}}
	positions := map[string]int{} // index in list.Targets, by uid
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

// firstChangeAfter returns the index in history of the first change after a revision.
func (s *StateMachine) firstChangeAfter(revision uint64) int {
	position, _ := slices.BinarySearchFunc(s.history, revision, func(change Change, revision uint64) int {
		if change.Revision <= revision {
			return -1
		}
		return 1
	})
	return position
}
