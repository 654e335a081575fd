package registry

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"

	"milldeck/internal/disruption"
)

// ledger is the part of the state that says what is out. It is begun by the first record about it, from the list as
// it then is: until then replicas of an earlier version, which know no such records, can be among the others. From
// then on all have to be of this one.
type ledger struct {
	table    *disruption.Ledger
	sidecars map[string]*Sidecar
}

// savedLedger is the ledger in a snapshot; an older one has none.
type savedLedger struct {
	Table    disruption.Snapshot `json:"table"`
	Sidecars []*Sidecar          `json:"sidecars"`
}

func (l *ledger) save() *savedLedger {
	if l == nil {
		return nil
	}
	out := &savedLedger{Table: l.table.Snapshot(), Sidecars: []*Sidecar{}}
	for _, name := range slices.Sorted(maps.Keys(l.sidecars)) {
		out.Sidecars = append(out.Sidecars, l.sidecars[name])
	}
	return out
}

func loadLedger(saved *savedLedger) (*ledger, error) {
	if saved == nil {
		return nil, nil
	}
	t, err := disruption.Restore(saved.Table)
	if err != nil {
		return nil, fmt.Errorf("snapshot: ledger: %w", err)
	}
	l := &ledger{table: t, sidecars: map[string]*Sidecar{}}
	for _, s := range saved.Sidecars {
		if s == nil {
			return nil, fmt.Errorf("snapshot: ledger: an empty sidecar")
		}
		l.sidecars[s.Name] = s
	}
	return l, nil
}

// unit is an instance as the ledger counts it; whether it is warm is not in the list.
func (i *Instance) unit() disruption.Unit {
	u := disruption.Unit{
		ID: disruption.UnitID(disruption.KindServer, i.UID), Kind: disruption.KindServer, Zone: i.Zone, Model: i.Model, PodGroup: i.Pod,
		Version: i.Version, Capacity: i.Capacity, Endpoint: i.Endpoint, BootMS: i.BootMS, Condition: disruption.ConditionUp,
	}
	switch {
	case i.Suspect:
		u.Condition = disruption.ConditionUnknown
	case i.State == Terminating:
		u.Condition = disruption.ConditionDraining
	}
	return u
}

// units makes a ledger of the list as it is.
func (s *State) units(index uint64) *ledger {
	l := &ledger{table: disruption.NewLedger(), sidecars: map[string]*Sidecar{}}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		l.table.Register(index, s.instances[uid].unit())
	}
	return l
}

// begin gives the ledger, which begins now if it has not.
func (s *State) begin(index uint64) *ledger {
	if s.ledger == nil {
		s.ledger = s.units(index)
	}
	return s.ledger
}

// feed tells the ledger what a record has done to the list.
func (s *State) feed(index uint64, r *Record, res Result) {
	if s.ledger == nil || res.Outcome != Done {
		return
	}
	t := s.ledger.table
	for k := range r.Instances {
		if i := s.instances[r.Instances[k].UID]; i != nil && r.Op == OpRegister {
			t.Register(index, i.unit())
		}
	}
	for _, ref := range r.Refs {
		id, i := disruption.UnitID(disruption.KindServer, ref.UID), s.instances[ref.UID]
		u, _ := t.Unit(id)
		switch {
		case i == nil && r.Op == OpDeregister && u.Condition != disruption.ConditionUnknown:
			t.Deregister(index, id)
		case i == nil && (r.Op == OpDeregister || r.Op == OpExpire): // what was held back did not leave: it was given up
			t.MarkLost(index, id)
		case i != nil && r.Op == OpSuspect && r.On:
			t.MarkUnknown(index, id)
		case i != nil && (r.Op == OpSuspect || r.Op == OpState):
			t.Register(index, i.unit())
		}
	}
	if r.Op == OpEpoch {
		t.HaltForUncertainty(index, "the list was restored from a backup: what is out since is not in it")
	}
}

// doLedger applies an operation of the ledger. Its guard was tested already; here it has to be the owner's.
func (s *State) doLedger(index uint64, r *Record) Result {
	op := r.Ledger
	if op == nil {
		return Result{Conflict, s.rev, "no operation"}
	}
	if op.Kind != disruption.OpObserve && !disruption.IsOperator(op.Owner) && (r.Guard == nil || r.Guard.Duty != op.Owner) {
		return Result{Conflict, s.rev, fmt.Sprintf("no token of %q", op.Owner)}
	}
	outcome, why := s.begin(index).table.Apply(index, op)
	of := map[disruption.Outcome]Outcome{
		disruption.OutcomeApplied: Done, disruption.OutcomeRejected: Conflict, disruption.OutcomeNotFound: NotFound, disruption.OutcomeLimitReached: TooMany,
	}
	return Result{of[outcome], index, why}
}

// Ledger is the ledger, for reading: of the list as it is where none was begun.
func (s *State) Ledger() *disruption.Ledger {
	if s.ledger == nil {
		return s.units(s.rev).table
	}
	return s.ledger.table
}

// LedgerCall is an operation of the ledger as it is sent: its kind is in the path.
type LedgerCall struct {
	ID    string `json:"id"` // of the write: a repeat after a lost answer is not done twice
	Guard *Guard `json:"guard,omitempty"`
	disruption.Op
}

// LedgerResult answers an operation: with the permit, where it is about one, as it is then.
type LedgerResult struct {
	Result
	Permit *disruption.Permit `json:"permit,omitempty"`
}

func (r *Replica) serveLedger(w http.ResponseWriter, req *http.Request) {
	var in LedgerCall
	if !body(w, req, &in) {
		return
	}
	in.Kind = disruption.OpKind(req.PathValue("op"))
	err := writeID(in.ID)
	if err == nil {
		err = in.Validate()
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	res, err := r.write(&Record{Op: OpLedger, ID: in.ID, Guard: in.Guard, Ledger: &in.Op})
	if err != nil {
		r.noLeader(w)
		return
	}
	if res.Outcome != Done {
		status := map[Outcome]int{Conflict: http.StatusConflict, NotFound: http.StatusNotFound, TooMany: http.StatusInsufficientStorage}
		answer(w, status[res.Outcome], res)
		return
	}
	out := LedgerResult{Result: res}
	if in.Permit != nil {
		r.hub.Read(func(s *State) {
			if p, is := s.Ledger().Permit(in.Permit.ID); is {
				out.Permit = &p
			}
		})
	}
	if in.Kind == disruption.OpHalt || in.Kind == disruption.OpResume || in.Kind == disruption.OpForceComplete || in.Kind == disruption.OpForget {
		slog.Warn("ledger", "op", in.Kind, "owner", in.Owner, "rev", res.Rev, "why", res.Why)
	}
	answer(w, http.StatusOK, out)
}

func (r *Replica) serveLedgerView(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var v disruption.View
	r.hub.Read(func(s *State) { v = s.Ledger().View(req.URL.Query().Get("units") != "") })
	r.mark(w)
	answer(w, http.StatusOK, v)
}

func (r *Replica) servePermit(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var p disruption.Permit
	var is bool
	r.hub.Read(func(s *State) { p, is = s.Ledger().Permit(req.PathValue("id")) })
	r.mark(w)
	if !is {
		refuse(w, http.StatusNotFound, fmt.Errorf("there is no permit %s", req.PathValue("id")))
		return
	}
	answer(w, http.StatusOK, p)
}
