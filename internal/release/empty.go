package release

// Emptiness is the proof that nothing is open on a server that drains. A sidecar that has the list in which the server is
// Terminating sends nothing more to it, and what it sent before ends within the longest request that there may be. So a
// server is empty once every sidecar that lives has said, without a break, for that long, that it has such a list. A
// sidecar that says nothing proves nothing.
type Emptiness struct {
	longestMS int64 // the longest that a request may take, from its sending to its end
	marks     map[string]*mark
}

// mark is a server that drains.
type mark struct {
	rev   uint64 // of the list that says so first
	since int64  // ms, from which on all have it; 0: not all
}

// maxDraining bounds the servers that are followed at a time.
const maxDraining = 10_000

// NewEmptiness makes a proof for requests of at most longestMS.
func NewEmptiness(longestMS int64) *Emptiness {
	return &Emptiness{longestMS: longestMS, marks: map[string]*mark{}}
}

// Look takes in the servers that are Terminating, the revision of the list that says so, the sidecars that live, and the
// revision of the list that each has reported of late. Now is monotonic, in ms, above 0.
func (e *Emptiness) Look(now int64, terminating []string, rev uint64, living []string, has map[string]uint64) {
	still := make(map[string]bool, len(terminating))
	for _, id := range terminating {
		still[id] = true
		if e.marks[id] == nil && len(e.marks) < maxDraining {
			e.marks[id] = &mark{rev: rev}
		}
	}
	least := uint64(0)
	for i, name := range living {
		if r := has[name]; i == 0 || r < least {
			least = r
		}
	}
	for id, m := range e.marks {
		switch {
		case !still[id]:
			delete(e.marks, id) // it was put back, or is gone: another drain is proved anew
		case len(living) > 0 && least < m.rev:
			m.since = 0
		case m.since == 0:
			m.since = now
		}
	}
}

// Empty tells whether a server is proved to be empty. Without any sidecar nobody sends to it.
func (e *Emptiness) Empty(now int64, id string) bool {
	m := e.marks[id]
	return m != nil && m.since != 0 && now-m.since >= e.longestMS
}
