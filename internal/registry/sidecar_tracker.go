package registry

import (
	"sync"
	"time"
)

// sidecarSource presents the registered sidecars as instances.
type sidecarSource struct{ state *StateMachine }

func (s sidecarSource) Get(name string) (Instance, bool) {
	if s.state.ledger == nil || s.state.ledger.sidecars[name] == nil {
		return Instance{}, false
	}
	return s.state.ledger.sidecars[name].asInstance(), true
}

func (s sidecarSource) ForEach(visit func(*Instance)) {
	if s.state.ledger == nil {
		return
	}
	for _, sidecar := range s.state.ledger.sidecars {
		instance := sidecar.asInstance()
		visit(&instance)
	}
}

func (s *Sidecar) asInstance() Instance {
	return Instance{Target: Target{UID: s.Name}, TTLMS: s.TTLMS, Revision: s.Revision, Suspect: s.Suspect}
}

// sidecarTracker tracks in the leader's memory the leases of sidecars, and the revisions that they have in force.
type sidecarTracker struct {
	*registrationTracker

	revisionsMu sync.Mutex
	revisions   map[string]sidecarRevisions // by name
}

// sidecarRevisions are the revisions that a sidecar has last reported as in force.
type sidecarRevisions struct{ list, placement uint64 }

func newSidecarTracker(policy ExpiryPolicy) *sidecarTracker {
	return &sidecarTracker{registrationTracker: newRegistrationTracker(policy), revisions: map[string]sidecarRevisions{}}
}

func (t *sidecarTracker) reset(now time.Time, state *StateMachine) {
	t.registrationTracker.reset(now, sidecarSource{state})
	t.revisionsMu.Lock()
	defer t.revisionsMu.Unlock()
	t.revisions = map[string]sidecarRevisions{}
}

// recordRevisions stores the revisions that sidecars report, and drops those of removed sidecars.
func (t *sidecarTracker) recordRevisions(sidecars []Sidecar, removed []string) {
	t.revisionsMu.Lock()
	defer t.revisionsMu.Unlock()
	for i := range sidecars {
		t.revisions[sidecars[i].Name] = sidecarRevisions{sidecars[i].ListRevision, sidecars[i].PlacementRevision}
	}
	for _, name := range removed {
		delete(t.revisions, name)
	}
}

// fillRevisions sets the revisions of sidecars to those that they last reported.
func (t *sidecarTracker) fillRevisions(sidecars []Sidecar) {
	t.revisionsMu.Lock()
	defer t.revisionsMu.Unlock()
	for i := range sidecars {
		reported := t.revisions[sidecars[i].Name]
		sidecars[i].ListRevision, sidecars[i].PlacementRevision = reported.list, reported.placement
	}
}

func (r *Replica) refreshSidecars(names []string) {
	r.hub.Read(func(state *StateMachine) { r.sidecarRegistrations.refresh(time.Now(), sidecarSource{state}, names) })
}

// expireSidecars removes the sidecars whose leases have expired. If too many sidecars are missing at once, it marks
// those with expired leases as suspects, which holds their expiry back. Only the leader loop calls it.
func (r *Replica) expireSidecars() {
	now := time.Now()
	expire, suspects := r.sidecarRegistrations.sweep(now)
	switch {
	case len(suspects) > 0:
		if _, err := r.propose(&Record{Op: OpSidecars, Refs: suspects, State: sidecarSuspected}); err != nil {
			return // the next sweep of this leader or its successor finds them again
		}
		r.logger.Warn("mass expiry of sidecars held back", "sidecars", len(suspects), "first", suspects[0].UID)
		r.refreshSidecars(refNames(suspects))
	case len(expire) > 0:
		if _, err := r.propose(&Record{Op: OpSidecars, Refs: expire, State: sidecarExpired}); err != nil {
			return // the next sweep of this leader or its successor finds them again
		}
		r.logger.Warn("sidecar registrations expired", "sidecars", len(expire), "first", expire[0].UID)
		names := refNames(expire)
		r.sidecarRegistrations.recordExpired(now, len(expire))
		r.sidecarRegistrations.recordRevisions(nil, names)
		r.refreshSidecars(names)
	}
}

// refNames returns the uids in references; in references to sidecars these are names.
func refNames(refs []InstanceRef) []string {
	names := make([]string, 0, len(refs))
	for _, ref := range refs {
		names = append(names, ref.UID)
	}
	return names
}
