package registry

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"milldeck/internal/disruption"
)

// maxSidecars bounds the sidecars that may be registered.
const maxSidecars = 100_000

// Sidecar is a sidecar as its agent registers it, with a lease of its own and apart from the list that sidecars are
// told.
type Sidecar struct {
	Name     string  `json:"name"`
	Version  string  `json:"version,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Tenant   string  `json:"tenant,omitempty"`
	Ready    bool    `json:"ready"`             // it answers, and has the list
	Draining bool    `json:"ending,omitempty"`  // it was told to end
	BootMS   float64 `json:"boot_ms,omitempty"` // Unix ms of its last start
	TTLMS    int64   `json:"ttl_ms"`
	Revision uint64  `json:"rev"` // of its last change
	Suspect  bool    `json:"suspect,omitempty"`

	// What it has in force changes with each change of the list. It is kept by the leader alone and is not in the log.
	ListRevision      uint64 `json:"list_rev,omitempty"`
	PlacementRevision uint64 `json:"placement_rev,omitempty"`
}

func (s *Sidecar) validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameLength:
		return fieldErrorf("name", "%d characters, wanted 1 to %d", len(s.Name), maxNameLength)
	case len(s.Version) > maxNameLength || len(s.Zone) > maxNameLength || len(s.Tenant) > maxNameLength:
		return fieldErrorf("version, zone, tenant", "over %d characters", maxNameLength)
	case s.TTLMS < minTTLMS || s.TTLMS > maxTTLMS:
		return fieldErrorf("ttl_ms", "%d is not within %d to %d", s.TTLMS, minTTLMS, maxTTLMS)
	case !(s.BootMS >= 0 && s.BootMS < 1e15):
		return fieldErrorf("boot_ms", "%v is no time", s.BootMS)
	}
	return nil
}

// persisted is what of a sidecar is in the log.
func (s Sidecar) persisted() Sidecar {
	s.Revision, s.Suspect, s.ListRevision, s.PlacementRevision = 0, false, 0, 0
	return s
}

func (s *Sidecar) disruptionUnit() disruption.Unit {
	unit := disruption.Unit{
		ID: disruption.UnitID(disruption.KindSidecar, s.Name), Kind: disruption.KindSidecar, Zone: s.Zone, Version: s.Version,
		Capacity: 1, BootMS: s.BootMS, Condition: disruption.ConditionUnready,
	}
	if s.Tenant != "" {
		unit.Tenants = []string{s.Tenant}
	}
	switch {
	case s.Draining:
		unit.Condition = disruption.ConditionDraining
	case s.Ready:
		unit.Condition = disruption.ConditionUp
	}
	return unit
}

// applySidecars applies a record about sidecars: Sidecars are registered; of Refs is told, by State, that their leases
// have ended, that they leave, or that they are held back.
func (s *StateMachine) applySidecars(index uint64, record *Record) Result {
	ledger := s.ensureLedger(index)
	added := 0
	for k := range record.Sidecars {
		if ledger.sidecars[record.Sidecars[k].Name] == nil {
			added++
		}
	}
	if len(ledger.sidecars)+added > maxSidecars {
		return Result{OutcomeLimitExceeded, s.revision, fmt.Sprintf("%d sidecars are registered", len(ledger.sidecars))}
	}
	for _, sidecar := range record.Sidecars {
		sidecar.Revision = index
		ledger.sidecars[sidecar.Name] = &sidecar
		ledger.table.Register(index, sidecar.disruptionUnit())
	}
	for _, ref := range record.Refs {
		existing, id := ledger.sidecars[ref.UID], disruption.UnitID(disruption.KindSidecar, ref.UID)
		if existing == nil || ref.Revision != 0 && ref.Revision != existing.Revision {
			continue // it has registered anew since
		}
		switch record.State {
		case sidecarDeregistered:
			delete(ledger.sidecars, ref.UID)
			ledger.table.Deregister(index, id)
		case sidecarExpired:
			delete(ledger.sidecars, ref.UID)
			ledger.table.MarkLost(index, id)
		case sidecarHeldBack:
			updated := *existing
			updated.Suspect = true
			ledger.sidecars[ref.UID] = &updated
			ledger.table.MarkUnknown(index, id)
		}
	}
	return Result{Outcome: OutcomeDone, Revision: index}
}

// What is told of sidecars in a record.
const (
	sidecarDeregistered = "left"
	sidecarExpired      = "lost"
	sidecarHeldBack     = "held"
)

// sidecarSource shows the sidecars to their leases.
type sidecarSource struct{ state *StateMachine }

func (o sidecarSource) Get(name string) (Instance, bool) {
	if o.state.ledger == nil || o.state.ledger.sidecars[name] == nil {
		return Instance{}, false
	}
	return o.state.ledger.sidecars[name].asInstance(), true
}

func (o sidecarSource) ForEach(visit func(*Instance)) {
	if o.state.ledger == nil {
		return
	}
	for _, sidecar := range o.state.ledger.sidecars {
		instance := sidecar.asInstance()
		visit(&instance)
	}
}

func (s *Sidecar) asInstance() Instance {
	return Instance{Target: Target{UID: s.Name}, TTLMS: s.TTLMS, Revision: s.Revision, Suspect: s.Suspect}
}

// sidecarTracker are the leader's: when each was heard, and what it then had in force.
type sidecarTracker struct {
	*registrationTracker
	mu       sync.Mutex
	reported map[string][2]uint64 // revisions of the list and of the placement
}

func newSidecarTracker(policy ExpiryPolicy) *sidecarTracker {
	return &sidecarTracker{registrationTracker: newRegistrationTracker(policy), reported: map[string][2]uint64{}}
}

func (l *sidecarTracker) reset(now time.Time, state *StateMachine) {
	l.registrationTracker.reset(now, sidecarSource{state})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = map[string][2]uint64{}
}

// recordRevisions notes what registered sidecars have in force.
func (l *sidecarTracker) recordRevisions(sidecars []Sidecar, removed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range sidecars {
		l.reported[sidecars[k].Name] = [2]uint64{sidecars[k].ListRevision, sidecars[k].PlacementRevision}
	}
	for _, name := range removed {
		delete(l.reported, name)
	}
}

func (r *Replica) refreshSidecars(names []string) {
	r.hub.Read(func(state *StateMachine) { r.sidecarRegistrations.refresh(time.Now(), sidecarSource{state}, names) })
}

// expireSidecars ends the leases of sidecars, or holds them back when too many are missing at once.
func (r *Replica) expireSidecars() {
	now := time.Now()
	expire, holdBack := r.sidecarRegistrations.sweep(now)
	refs, state := expire, sidecarExpired
	if len(holdBack) > 0 {
		refs, state = holdBack, sidecarHeldBack
	}
	if len(refs) == 0 {
		return
	}
	if _, err := r.propose(&Record{Op: OpSidecars, Refs: refs, State: state}); err != nil {
		return // found again, by this leader or the next
	}
	slog.Warn("sidecars are silent", "sidecars", len(refs), "first", refs[0].UID, "now", state)
	var names []string
	for _, ref := range refs {
		names = append(names, ref.UID)
	}
	if state == sidecarExpired {
		r.sidecarRegistrations.recordExpired(now, len(refs))
		r.sidecarRegistrations.recordRevisions(nil, names)
	}
	r.refreshSidecars(names)
}

// SidecarRequest registers sidecars and renews their leases; Gone are those that end by their own word.
type SidecarRequest struct {
	ID           string    `json:"id"`
	TTLMS        int64     `json:"ttl_ms"`
	Sidecars     []Sidecar `json:"sidecars"`
	Deregistered []string  `json:"gone,omitempty"`
}

func (in *SidecarRequest) validate() error {
	if err := checkWriteID(in.ID); err != nil {
		return err
	}
	if entries := len(in.Sidecars) + len(in.Deregistered); entries == 0 || entries > maxBatchSize {
		return fieldErrorf("sidecars", "%d entries, wanted 1 to %d", entries, maxBatchSize)
	}
	for k := range in.Sidecars {
		sidecar := &in.Sidecars[k]
		sidecar.TTLMS = in.TTLMS
		if err := sidecar.validate(); err != nil {
			return fmt.Errorf("sidecars[%d].%w", k, err)
		}
	}
	return nil
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
	// A leader that was frozen must not promise a time that its successor does not know of.
	if r.listAge() > maxFreshAge {
		r.writeNoLeader(w)
		return
	}
	record := &Record{Op: OpSidecars, ID: body.ID}
	var names []string
	r.hub.Read(func(state *StateMachine) {
		for k := range body.Sidecars {
			sidecar := &body.Sidecars[k]
			var existing *Sidecar
			if state.ledger != nil {
				existing = state.ledger.sidecars[sidecar.Name]
			}
			if names = append(names, sidecar.Name); existing == nil || existing.Suspect || existing.persisted() != sidecar.persisted() {
				record.Sidecars = append(record.Sidecars, sidecar.persisted())
			}
		}
		r.sidecarRegistrations.renew(time.Now(), sidecarSource{state}, names)
	})
	for _, name := range body.Deregistered {
		record.Refs, record.State = append(record.Refs, InstanceRef{UID: name}), sidecarDeregistered
	}
	r.sidecarRegistrations.recordRevisions(body.Sidecars, body.Deregistered)
	if len(record.Sidecars)+len(record.Refs) == 0 { // a mere renewal is no write
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

// serveListSidecars lists the sidecars with what each had in force when it was last heard.
func (r *Replica) serveListSidecars(w http.ResponseWriter, _ *http.Request) {
	sidecars := []Sidecar{}
	r.hub.Read(func(state *StateMachine) {
		if state.ledger == nil {
			return
		}
		for _, sidecar := range slices.SortedFunc(maps.Values(state.ledger.sidecars), func(a, b *Sidecar) int { return strings.Compare(a.Name, b.Name) }) {
			sidecars = append(sidecars, *sidecar)
		}
	})
	r.sidecarRegistrations.mu.Lock()
	for k := range sidecars {
		revisions := r.sidecarRegistrations.reported[sidecars[k].Name]
		sidecars[k].ListRevision, sidecars[k].PlacementRevision = revisions[0], revisions[1]
	}
	r.sidecarRegistrations.mu.Unlock()
	writeJSON(w, http.StatusOK, sidecars)
}
