package registry

import "fmt"

// applyRegister registers new instances, and new incarnations of registered ones. It applies the whole batch or
// nothing.
func (s *StateMachine) applyRegister(index uint64, record *Record) Result {
	added := 0
	for i := range record.Instances {
		instance := &record.Instances[i]
		existing := s.instances[instance.UID]
		if existing == nil {
			added++
		}
		if rejection, ok := checkRegister(instance, existing, record.IfRevision); !ok {
			return rejection
		}
	}
	if len(s.instances)+added > maxInstances {
		return Result{OutcomeLimitExceeded, s.revision, fmt.Sprintf("the list holds %d instances", len(s.instances))}
	}
	for i := range record.Instances {
		s.registerInstance(index, record.Instances[i])
	}
	return doneResult(index)
}

// checkRegister checks a registration against the existing entry (nil: none). If the registration must be rejected, ok
// is false and rejection is the result of the write.
func checkRegister(instance, existing *Instance, ifRevision *uint64) (rejection Result, ok bool) {
	switch {
	case existing == nil && ifRevision != nil && *ifRevision != 0:
		return notRegisteredResult(instance.UID), false
	case existing == nil:
		return Result{}, true
	case ifRevision != nil && *ifRevision != existing.Revision:
		return conflictResult(existing.Revision, "%s has revision %d", instance.UID, existing.Revision), false
	case existing.Endpoint != instance.Endpoint && instance.BootMS <= existing.BootMS:
		// Two processes use the same uid. The one that started later wins, and the earlier one cannot register again.
		const reason = "%s is registered by %s, which started no earlier"
		return conflictResult(existing.Revision, reason, instance.UID, existing.Endpoint), false
	case instance.BootMS < existing.BootMS:
		return conflictResult(existing.Revision, "%s has restarted since", instance.UID), false
	}
	return Result{}, true
}

// registerInstance adds or updates an entry. The entry keeps its revision if the registration changes nothing in the
// endpoint list.
func (s *StateMachine) registerInstance(index uint64, instance Instance) {
	instance.Suspect = false
	if existing := s.instances[instance.UID]; existing != nil && existing.Target == instance.Target {
		existing.Version, existing.TTLMS, existing.Suspect = instance.Version, instance.TTLMS, false
		return
	}
	s.setInstance(index, instance)
}

// applyInstanceChange sets the state of instances or removes them: all of the instances in the record or none.
func (s *StateMachine) applyInstanceChange(index uint64, record *Record) Result {
	for _, ref := range record.Refs {
		instance := s.instances[ref.UID]
		switch {
		case instance == nil && record.Op == OpDeregister && ref.Revision == 0:
			// The instance is already removed, so the request succeeds without a change.
		case instance == nil:
			return notRegisteredResult(ref.UID)
		case ref.Revision != 0 && ref.Revision != instance.Revision:
			return conflictResult(instance.Revision, "%s has revision %d", ref.UID, instance.Revision)
		}
	}
	for _, ref := range record.Refs {
		instance := s.instances[ref.UID]
		switch {
		case instance == nil:
		case record.Op == OpDeregister:
			s.removeInstance(index, instance)
		case instance.State != record.State:
			updated := *instance
			updated.State = record.State
			s.setInstance(index, updated)
		}
	}
	return doneResult(index)
}

// applyExpire removes instances whose leases have expired. It keeps an instance that has changed since the record was
// proposed, or whose expiry is held back.
func (s *StateMachine) applyExpire(index uint64, record *Record) Result {
	for _, ref := range record.Refs {
		if instance := s.instances[ref.UID]; instance != nil && instance.Revision == ref.Revision && !instance.Suspect {
			s.removeInstance(index, instance)
		}
	}
	return doneResult(index)
}

// applySuspect marks instances whose expiry is held back, or clears the mark. The endpoint list does not contain the
// mark.
func (s *StateMachine) applySuspect(index uint64, record *Record) Result {
	for _, ref := range record.Refs {
		if instance := s.instances[ref.UID]; instance != nil {
			instance.Suspect = record.Suspected
		}
	}
	return doneResult(index)
}

// applyMirror sets and removes entries without checks: an agent copies them from the registry that it mirrors.
func (s *StateMachine) applyMirror(index uint64, record *Record) Result {
	for i := range record.Instances {
		instance := record.Instances[i]
		if existing := s.instances[instance.UID]; existing == nil || existing.Target != instance.Target {
			s.setInstance(index, instance)
		}
	}
	for _, ref := range record.Refs {
		if instance := s.instances[ref.UID]; instance != nil {
			s.removeInstance(index, instance)
		}
	}
	return doneResult(index)
}

func (s *StateMachine) setInstance(index uint64, instance Instance) {
	instance.Revision = index
	s.instances[instance.UID] = &instance
	s.recordChange(index, instance.Target)
}

func (s *StateMachine) removeInstance(index uint64, instance *Instance) {
	delete(s.instances, instance.UID)
	target := instance.Target
	target.State = InstanceRemoved
	s.recordChange(index, target)
}
