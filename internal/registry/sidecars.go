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
	Name    string  `json:"name"`
	Version string  `json:"version,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	Tenant  string  `json:"tenant,omitempty"`
	Ready   bool    `json:"ready"`             // it answers, and has the list
	Ending  bool    `json:"ending,omitempty"`  // it was told to end
	BootMS  float64 `json:"boot_ms,omitempty"` // Unix ms of its last start
	TTLMS   int64   `json:"ttl_ms"`
	Rev     uint64  `json:"rev"` // of its last change
	Suspect bool    `json:"suspect,omitempty"`

	// What it has in force changes with each change of the list. It is kept by the leader alone and is not in the log.
	ListRev      uint64 `json:"list_rev,omitempty"`
	PlacementRev uint64 `json:"placement_rev,omitempty"`
}

func (s *Sidecar) check() error {
	switch {
	case s.Name == "" || len(s.Name) > maxName:
		return bad("name", "%d characters, wanted 1 to %d", len(s.Name), maxName)
	case len(s.Version) > maxName || len(s.Zone) > maxName || len(s.Tenant) > maxName:
		return bad("version, zone, tenant", "over %d characters", maxName)
	case s.TTLMS < minTTLMS || s.TTLMS > maxTTLMS:
		return bad("ttl_ms", "%d is not within %d to %d", s.TTLMS, minTTLMS, maxTTLMS)
	case !(s.BootMS >= 0 && s.BootMS < 1e15):
		return bad("boot_ms", "%v is no time", s.BootMS)
	}
	return nil
}

// logged is what of a sidecar is in the log.
func (s Sidecar) logged() Sidecar {
	s.Rev, s.Suspect, s.ListRev, s.PlacementRev = 0, false, 0, 0
	return s
}

func (s *Sidecar) unit() disruption.Unit {
	u := disruption.Unit{
		ID: disruption.UnitID(disruption.KindSidecar, s.Name), Kind: disruption.KindSidecar, Zone: s.Zone, Version: s.Version,
		Capacity: 1, BootMS: s.BootMS, Condition: disruption.ConditionUnready,
	}
	if s.Tenant != "" {
		u.Tenants = []string{s.Tenant}
	}
	switch {
	case s.Ending:
		u.Condition = disruption.ConditionDraining
	case s.Ready:
		u.Condition = disruption.ConditionUp
	}
	return u
}

// doSidecars applies a record about sidecars: Sidecars are registered; of Refs is told, by State, that their leases
// have ended, that they leave, or that they are held back.
func (s *State) doSidecars(index uint64, r *Record) Result {
	l := s.begin(index)
	fresh := 0
	for k := range r.Sidecars {
		if l.sidecars[r.Sidecars[k].Name] == nil {
			fresh++
		}
	}
	if len(l.sidecars)+fresh > maxSidecars {
		return Result{TooMany, s.rev, fmt.Sprintf("%d sidecars are registered", len(l.sidecars))}
	}
	for _, n := range r.Sidecars {
		n.Rev = index
		l.sidecars[n.Name] = &n
		l.table.Register(index, n.unit())
	}
	for _, ref := range r.Refs {
		old, id := l.sidecars[ref.UID], disruption.UnitID(disruption.KindSidecar, ref.UID)
		if old == nil || ref.Rev != 0 && ref.Rev != old.Rev {
			continue // it has registered anew since
		}
		switch r.State {
		case sidecarLeft:
			delete(l.sidecars, ref.UID)
			l.table.Deregister(index, id)
		case sidecarLost:
			delete(l.sidecars, ref.UID)
			l.table.MarkLost(index, id)
		case sidecarHeld:
			next := *old
			next.Suspect = true
			l.sidecars[ref.UID] = &next
			l.table.MarkUnknown(index, id)
		}
	}
	return Result{Outcome: Done, Rev: index}
}

// What is told of sidecars in a record.
const (
	sidecarLeft = "left"
	sidecarLost = "lost"
	sidecarHeld = "held"
)

// sidecarsOf shows the sidecars to their leases.
type sidecarsOf struct{ s *State }

func (o sidecarsOf) Get(name string) (Instance, bool) {
	if o.s.ledger == nil || o.s.ledger.sidecars[name] == nil {
		return Instance{}, false
	}
	return o.s.ledger.sidecars[name].leased(), true
}

func (o sidecarsOf) All(do func(*Instance)) {
	if o.s.ledger == nil {
		return
	}
	for _, s := range o.s.ledger.sidecars {
		i := s.leased()
		do(&i)
	}
}

func (s *Sidecar) leased() Instance {
	return Instance{Target: Target{UID: s.Name}, TTLMS: s.TTLMS, Rev: s.Rev, Suspect: s.Suspect}
}

// sidecarLeases are the leader's: when each was heard, and what it then had in force.
type sidecarLeases struct {
	*leases
	mu   sync.Mutex
	soft map[string][2]uint64 // revisions of the list and of the placement
}

func newSidecarLeases(rules Expiry) *sidecarLeases {
	return &sidecarLeases{leases: newLeases(rules), soft: map[string][2]uint64{}}
}

func (l *sidecarLeases) reset(now time.Time, s *State) {
	l.leases.reset(now, sidecarsOf{s})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.soft = map[string][2]uint64{}
}

// keep notes what registered sidecars have in force.
func (l *sidecarLeases) keep(list []Sidecar, gone []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range list {
		l.soft[list[k].Name] = [2]uint64{list[k].ListRev, list[k].PlacementRev}
	}
	for _, name := range gone {
		delete(l.soft, name)
	}
}

func (r *Replica) followSidecars(names []string) {
	r.hub.Read(func(s *State) { r.sidecars.follow(time.Now(), sidecarsOf{s}, names) })
}

// expireSidecars ends the leases of sidecars, or holds them back when too many are missing at once.
func (r *Replica) expireSidecars() {
	now := time.Now()
	expire, hold := r.sidecars.sweep(now)
	refs, state := expire, sidecarLost
	if len(hold) > 0 {
		refs, state = hold, sidecarHeld
	}
	if len(refs) == 0 {
		return
	}
	if _, err := r.write(&Record{Op: OpSidecars, Refs: refs, State: state}); err != nil {
		return // found again, by this leader or the next
	}
	slog.Warn("sidecars are silent", "sidecars", len(refs), "first", refs[0].UID, "now", state)
	var names []string
	for _, ref := range refs {
		names = append(names, ref.UID)
	}
	if state == sidecarLost {
		r.sidecars.expired(now, len(refs))
		r.sidecars.keep(nil, names)
	}
	r.followSidecars(names)
}

// SidecarCall registers sidecars and renews their leases; Gone are those that end by their own word.
type SidecarCall struct {
	ID       string    `json:"id"`
	TTLMS    int64     `json:"ttl_ms"`
	Sidecars []Sidecar `json:"sidecars"`
	Gone     []string  `json:"gone,omitempty"`
}

func (in *SidecarCall) check() error {
	if err := writeID(in.ID); err != nil {
		return err
	}
	if n := len(in.Sidecars) + len(in.Gone); n == 0 || n > maxBatch {
		return bad("sidecars", "%d entries, wanted 1 to %d", n, maxBatch)
	}
	for k := range in.Sidecars {
		s := &in.Sidecars[k]
		s.TTLMS = in.TTLMS
		if err := s.check(); err != nil {
			return fmt.Errorf("sidecars[%d].%w", k, err)
		}
	}
	return nil
}

func (r *Replica) serveSidecars(w http.ResponseWriter, req *http.Request) {
	var in SidecarCall
	if !body(w, req, &in) {
		return
	}
	if err := in.check(); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	// A leader that was frozen must not promise a time that its successor does not know of.
	if r.age() > freshFor {
		r.noLeader(w)
		return
	}
	rec := &Record{Op: OpSidecars, ID: in.ID}
	var names []string
	r.hub.Read(func(s *State) {
		for k := range in.Sidecars {
			n := &in.Sidecars[k]
			var old *Sidecar
			if s.ledger != nil {
				old = s.ledger.sidecars[n.Name]
			}
			if names = append(names, n.Name); old == nil || old.Suspect || old.logged() != n.logged() {
				rec.Sidecars = append(rec.Sidecars, n.logged())
			}
		}
		r.sidecars.renew(time.Now(), sidecarsOf{s}, names)
	})
	for _, name := range in.Gone {
		rec.Refs, rec.State = append(rec.Refs, Ref{UID: name}), sidecarLeft
	}
	r.sidecars.keep(in.Sidecars, in.Gone)
	if len(rec.Sidecars)+len(rec.Refs) == 0 { // a mere renewal is no write
		answer(w, http.StatusOK, Result{Outcome: Done})
		return
	}
	res, err := r.write(rec)
	if err != nil {
		r.noLeader(w)
		return
	}
	r.followSidecars(append(names, in.Gone...))
	if res.Outcome != Done {
		answer(w, http.StatusInsufficientStorage, res)
		return
	}
	answer(w, http.StatusOK, res)
}

// serveSidecarList lists the sidecars with what each had in force when it was last heard.
func (r *Replica) serveSidecarList(w http.ResponseWriter, _ *http.Request) {
	out := []Sidecar{}
	r.hub.Read(func(s *State) {
		if s.ledger == nil {
			return
		}
		for _, c := range slices.SortedFunc(maps.Values(s.ledger.sidecars), func(a, b *Sidecar) int { return strings.Compare(a.Name, b.Name) }) {
			out = append(out, *c)
		}
	})
	r.sidecars.mu.Lock()
	for k := range out {
		revs := r.sidecars.soft[out[k].Name]
		out[k].ListRev, out[k].PlacementRev = revs[0], revs[1]
	}
	r.sidecars.mu.Unlock()
	answer(w, http.StatusOK, out)
}
