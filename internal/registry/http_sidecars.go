package registry

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"milldeck/internal/validation"
)

// SidecarRequest is the body of a request that registers new sidecars, renews the leases of registered ones, and
// deregisters sidecars by name.
type SidecarRequest struct {
	ID           string    `json:"id"`     // idempotency key
	TTLMS        int64     `json:"ttl_ms"` // for all sidecars of the request
	Sidecars     []Sidecar `json:"sidecars"`
	Deregistered []string  `json:"gone,omitempty"` // names
}

// validate returns a *validation.Error for the first invalid field, and sets the TTL of each sidecar.
func (s *SidecarRequest) validate() error {
	if err := checkWriteID(s.ID); err != nil {
		return err
	}
	if entries := len(s.Sidecars) + len(s.Deregistered); entries == 0 || entries > maxBatchSize {
		return validation.Errorf("sidecars", "%d entries, wanted 1 to %d", entries, maxBatchSize)
	}
	for i := range s.Sidecars {
		s.Sidecars[i].TTLMS = s.TTLMS
		if err := s.Sidecars[i].validate(); err != nil {
			return fmt.Errorf("sidecars[%d].%w", i, err)
		}
	}
	return nil
}

// names returns the names of the sidecars that the request registers or renews.
func (s *SidecarRequest) names() []string {
	names := make([]string, 0, len(s.Sidecars))
	for i := range s.Sidecars {
		names = append(names, s.Sidecars[i].Name)
	}
	return names
}

// record returns the log record of the changes that a request makes to the state. Renewals change no state, so the record
// does not contain them.
func (s *SidecarRequest) record(state *StateMachine) *Record {
	record := &Record{Op: OpSidecars, ID: s.ID}
	for i := range s.Sidecars {
		sidecar := &s.Sidecars[i]
		var existing *Sidecar
		if state.ledger != nil {
			existing = state.ledger.sidecars[sidecar.Name]
		}
		if existing == nil || existing.Suspect || existing.storedFields() != sidecar.storedFields() {
			record.Sidecars = append(record.Sidecars, sidecar.storedFields())
		}
	}
	for _, name := range s.Deregistered {
		record.Refs, record.State = append(record.Refs, InstanceRef{UID: name}), sidecarDeregistered
	}
	return record
}

func (r *Replica) serveRegisterSidecars(w http.ResponseWriter, request *http.Request) {
	var body SidecarRequest
	if !readJSON(w, request, &body) {
		return
	}
	if err := body.validate(); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	// A leader that was paused may have been replaced. It must not grant leases that its successor does not know of.
	if r.stateAge() > maxFreshAge {
		r.writeNoLeader(w)
		return
	}
	names := body.names()
	var record *Record
	r.hub.Read(func(state *StateMachine) {
		record = body.record(state)
		r.sidecarRegistrations.renew(time.Now(), sidecarSource{state}, names)
	})
	r.sidecarRegistrations.recordRevisions(body.Sidecars, body.Deregistered)
	if len(record.Sidecars)+len(record.Refs) == 0 { // renewals alone are not written to the log
		writeJSON(w, http.StatusOK, Result{Outcome: OutcomeDone})
		return
	}
	result, err := r.propose(record)
	if err != nil {
		r.writeNoLeader(w)
		return
	}
	r.refreshSidecars(append(names, body.Deregistered...))
	if result.Outcome != OutcomeDone {
		writeJSON(w, http.StatusInsufficientStorage, result)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// serveListSidecars lists the sidecars, sorted by name, with the revisions that each sidecar reported last.
func (r *Replica) serveListSidecars(w http.ResponseWriter, _ *http.Request) {
	sidecars := []Sidecar{}
	r.hub.Read(func(state *StateMachine) {
		if state.ledger == nil {
			return
		}
		byName := func(a, b *Sidecar) int { return strings.Compare(a.Name, b.Name) }
		for _, sidecar := range slices.SortedFunc(maps.Values(state.ledger.sidecars), byName) {
			sidecars = append(sidecars, *sidecar)
		}
	})
	r.sidecarRegistrations.fillRevisions(sidecars)
	writeJSON(w, http.StatusOK, sidecars)
}
