package release

// DrainTracker is the proof that nothing is open on a server that drains. A sidecar that has the list in which the server is
// Terminating sends nothing more to it, and what it sent before ends within the longest request that there may be. So a
// server is empty once every sidecar that lives has said, without a break, for that long, that it has such a list. A
// sidecar that says nothing proves nothing.
type DrainTracker struct {
	maxRequestMS int64 // the longest that a request may take, from its sending to its end
	proofs       map[string]*drainProof
}

// drainProof is a server that drains.
type drainProof struct {
	listRevision     uint64 // of the list that says so first
	confirmedSinceMS int64  // ms, from which on all have it; 0: not all
}

// maxTrackedServers bounds the servers that are followed at a time.
const maxTrackedServers = 10_000

// NewDrainTracker makes a proof for requests of at most maxRequestMS.
func NewDrainTracker(maxRequestMS int64) *DrainTracker {
	return &DrainTracker{maxRequestMS: maxRequestMS, proofs: map[string]*drainProof{}}
}

// Update takes in the servers that are Terminating, the revision of the list that says so, the sidecars that live, and the
// revision of the list that each has reported of late. Now is monotonic, in ms, above 0.
func (t *DrainTracker) Update(nowMS int64, terminating []string, listRevision uint64, liveSidecars []string, sidecarRevisions map[string]uint64) {
	stillTerminating := make(map[string]bool, len(terminating))
	for _, id := range terminating {
		stillTerminating[id] = true
		if t.proofs[id] == nil && len(t.proofs) < maxTrackedServers {
			t.proofs[id] = &drainProof{listRevision: listRevision}
		}
	}
	oldest := uint64(0)
	for i, name := range liveSidecars {
		if revision := sidecarRevisions[name]; i == 0 || revision < oldest {
			oldest = revision
		}
	}
	for id, proof := range t.proofs {
		switch {
		case !stillTerminating[id]:
			delete(t.proofs, id) // it was put back, or is gone: another drain is proved anew
		case len(liveSidecars) > 0 && oldest < proof.listRevision:
			proof.confirmedSinceMS = 0
		case proof.confirmedSinceMS == 0:
			proof.confirmedSinceMS = nowMS
		}
	}
}

// Drained tells whether a server is proved to be empty. Without any sidecar nobody sends to it.
func (t *DrainTracker) Drained(nowMS int64, id string) bool {
	proof := t.proofs[id]
	return proof != nil && proof.confirmedSinceMS != 0 && nowMS-proof.confirmedSinceMS >= t.maxRequestMS
}
