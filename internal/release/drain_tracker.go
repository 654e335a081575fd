package release

// DrainTracker proves that draining servers have no open request. A sidecar whose endpoint list has a server as
// Terminating sends the server no further request, and its earlier requests end within the maximum duration of a request.
// A server is therefore drained once every live sidecar has confirmed such a list continuously for that duration. A
// sidecar that reports no list revision confirms nothing. The tracker is not stored, so a succeeding controller starts
// with an empty one.
type DrainTracker struct {
	maxRequestMS int64 // maximum time from sending a request until it ends
	proofs       map[string]*drainProof
}

// drainProof is the evidence about one draining server.
type drainProof struct {
	listRevision     uint64 // revision of the first endpoint list that has the server as Terminating
	confirmedSinceMS int64  // since when all live sidecars have that list or a newer one; 0: not all do
}

// maxTrackedServers limits the number of servers that are tracked at a time.
const maxTrackedServers = 10_000

// NewDrainTracker returns a tracker for requests that take at most maxRequestMS.
func NewDrainTracker(maxRequestMS int64) *DrainTracker {
	return &DrainTracker{maxRequestMS: maxRequestMS, proofs: map[string]*drainProof{}}
}

// Update adds an observation: the servers that are Terminating in the endpoint list of listRevision, the live sidecars,
// and the revision of the endpoint list that each sidecar reported. nowMS is monotonic and greater than 0.
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
			delete(t.proofs, id) // the server is ready again or removed: another drain needs another proof
		case len(liveSidecars) > 0 && oldest < proof.listRevision:
			proof.confirmedSinceMS = 0
		case proof.confirmedSinceMS == 0:
			proof.confirmedSinceMS = nowMS
		}
	}
}

// oldestRevision returns the oldest revision of the endpoint list among the live sidecars. It is 0 if there is no live
// sidecar or one of them has reported no revision.
func oldestRevision(liveSidecars []string, sidecarRevisions map[string]uint64) uint64 {
	oldest := uint64(0)
	for i, name := range liveSidecars {
		if revision := sidecarRevisions[name]; i == 0 || revision < oldest {
			oldest = revision
		}
	}
	return oldest
}

// Drained reports whether a server is proved to have no open request. Time without live sidecars counts as confirmed,
// because no sidecar sends requests to the server then.
func (t *DrainTracker) Drained(nowMS int64, id string) bool {
	proof := t.proofs[id]
	return proof != nil && proof.confirmedSinceMS != 0 && nowMS-proof.confirmedSinceMS >= t.maxRequestMS
}
