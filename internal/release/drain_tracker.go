package release

// DrainTracker proves that draining servers have no open request. A sidecar with an endpoint list in which a server is
// Terminating sends it no further request, and those that it sent before end within the longest duration of a request. So a
// server is drained once every live sidecar has reported, without a break for that long, that it has such a list. A
// sidecar that reports nothing proves nothing. The tracker is not stored: a successor starts over.
type DrainTracker struct {
	maxRequestMS int64 // the longest that a request may take, from when it is sent until it ends
	proofs       map[string]*drainProof
}

// drainProof is what is known of one draining server.
type drainProof struct {
	listRevision     uint64 // of the first list in which it is Terminating
	confirmedSinceMS int64  // since when all live sidecars have such a list; 0: not all do
}

// maxTrackedServers bounds the servers that are tracked at a time.
const maxTrackedServers = 10_000

// NewDrainTracker makes a tracker for requests that take at most maxRequestMS.
func NewDrainTracker(maxRequestMS int64) *DrainTracker {
	return &DrainTracker{maxRequestMS: maxRequestMS, proofs: map[string]*drainProof{}}
}

// Update takes an observation: the servers that are Terminating in the endpoint list of a revision, the live sidecars, and
// the revision of the list that each sidecar reported to have. The time is monotonic and above 0.
func (t *DrainTracker) Update(
	nowMS int64, terminating []string, listRevision uint64, liveSidecars []string, sidecarRevisions map[string]uint64,
) {
	stillTerminating := make(map[string]bool, len(terminating))
	for _, id := range terminating {
		stillTerminating[id] = true
		if t.proofs[id] == nil && len(t.proofs) < maxTrackedServers {
			t.proofs[id] = &drainProof{listRevision: listRevision}
		}
	}
	oldest := oldestRevision(liveSidecars, sidecarRevisions)
	for id, proof := range t.proofs {
		switch {
		case !stillTerminating[id]:
			delete(t.proofs, id) // it is ready again or removed: its next drain needs a proof of its own
		case len(liveSidecars) > 0 && oldest < proof.listRevision:
			proof.confirmedSinceMS = 0
		case proof.confirmedSinceMS == 0:
			proof.confirmedSinceMS = nowMS
		}
	}
}

// oldestRevision is the oldest list that a live sidecar has, 0 where one has reported none or there is none.
func oldestRevision(liveSidecars []string, sidecarRevisions map[string]uint64) uint64 {
	oldest := uint64(0)
	for i, name := range liveSidecars {
		if revision := sidecarRevisions[name]; i == 0 || revision < oldest {
			oldest = revision
		}
	}
	return oldest
}

// Drained reports whether a server is proved to have no open request. Without live sidecars no request is sent to it.
func (t *DrainTracker) Drained(nowMS int64, id string) bool {
	proof := t.proofs[id]
	return proof != nil && proof.confirmedSinceMS != 0 && nowMS-proof.confirmedSinceMS >= t.maxRequestMS
}
