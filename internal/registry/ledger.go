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

// ledgerSnapshot is the ledger in a snapshot; an older one has none.
type ledgerSnapshot struct {
	Table    disruption.Snapshot `json:"table"`
	Sidecars []*Sidecar          `json:"sidecars"`
}

func (l *ledger) snapshot() *ledgerSnapshot {
	if l == nil {
		return nil
	}
	saved := &ledgerSnapshot{Table: l.table.Snapshot(), Sidecars: []*Sidecar{}}
	for _, name := range slices.Sorted(maps.Keys(l.sidecars)) {
		saved.Sidecars = append(saved.Sidecars, l.sidecars[name])
	}
	return saved
}

func restoreLedger(saved *ledgerSnapshot) (*ledger, error) {
	if saved == nil {
		return nil, nil
	}
	table, err := disruption.Restore(saved.Table)
	if err != nil {
		return nil, fmt.Errorf("snapshot: ledger: %w", err)
	}
	restored := &ledger{table: table, sidecars: map[string]*Sidecar{}}
	for _, sidecar := range saved.Sidecars {
		if sidecar == nil {
			return nil, fmt.Errorf("snapshot: ledger: an empty sidecar")
		}
		restored.sidecars[sidecar.Name] = sidecar
	}
	return restored, nil
}

// disruptionUnit is an instance as the ledger counts it; whether it is warm is not in the list.
func (i *Instance) disruptionUnit() disruption.Unit {
	unit := disruption.Unit{
		ID: disruption.UnitID(disruption.KindServer, i.UID), Kind: disruption.KindServer, Zone: i.Zone, Model: i.Model, PodGroup: i.PodGroup,
		Version: i.Version, Capacity: i.Capacity, Endpoint: i.Endpoint, BootMS: i.BootMS, Condition: disruption.ConditionUp,
	}
	switch {
	case i.Suspect:
		unit.Condition = disruption.ConditionUnknown
	case i.State == InstanceTerminating:
		unit.Condition = disruption.ConditionDraining
	}
	return unit
}

// newLedger makes a ledger of the list as it is.
func (s *StateMachine) newLedger(index uint64) *ledger {
	ledger := &ledger{table: disruption.NewLedger(), sidecars: map[string]*Sidecar{}}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		ledger.table.Register(index, s.instances[uid].disruptionUnit())
	}
	return ledger
}

// ensureLedger gives the ledger, which begins now if it has not.
func (s *StateMachine) ensureLedger(index uint64) *ledger {
	if s.ledger == nil {
		s.ledger = s.newLedger(index)
	}
	return s.ledger
}

// updateLedger tells the ledger what a record has done to the list.
func (s *StateMachine) updateLedger(index uint64, record *Record, result Result) {
	if s.ledger == nil || result.Outcome != OutcomeDone {
		return
	}
	ledger := s.ledger.table
	for k := range record.Instances {
		if instance := s.instances[record.Instances[k].UID]; instance != nil && record.Op == OpRegister {
			ledger.Register(index, instance.disruptionUnit())
		}
	}
	for _, ref := range record.Refs {
		id, instance := disruption.UnitID(disruption.KindServer, ref.UID), s.instances[ref.UID]
		unit, _ := ledger.Unit(id)
		switch {
		case instance == nil && record.Op == OpDeregister && unit.Condition != disruption.ConditionUnknown:
			ledger.Deregister(index, id)
		case instance == nil && (record.Op == OpDeregister || record.Op == OpExpire): // what was held back did not leave: it was given up
			ledger.MarkLost(index, id)
		case instance != nil && record.Op == OpSuspect && record.Suspected:
			ledger.MarkUnknown(index, id)
		case instance != nil && (record.Op == OpSuspect || record.Op == OpSetState):
			ledger.Register(index, instance.disruptionUnit())
		}
	}
	if record.Op == OpEpoch {
		ledger.HaltForUncertainty(index, "the list was restored from a backup: what is out since is not in it")
	}
}

// applyLedger applies an operation of the ledger. Its guard was tested already; here it has to be the owner's.
func (s *StateMachine) applyLedger(index uint64, record *Record) Result {
	op := record.Ledger
	if op == nil {
		return Result{OutcomeConflict, s.revision, "no operation"}
	}
	if op.Kind != disruption.OpObserve && !disruption.IsOperator(op.Owner) && (record.Guard == nil || record.Guard.Lease != op.Owner) {
		return Result{OutcomeConflict, s.revision, fmt.Sprintf("no token of %q", op.Owner)}
	}
	result := s.ensureLedger(index).table.Apply(index, op)
	outcomes := map[disruption.Outcome]Outcome{
		disruption.OutcomeApplied: OutcomeDone, disruption.OutcomeRejected: OutcomeConflict, disruption.OutcomeNotFound: OutcomeNotFound, disruption.OutcomeLimitReached: OutcomeLimitExceeded,
	}
	return Result{outcomes[result.Outcome], index, result.Reason}
}

// Ledger is the ledger, for reading: of the list as it is where none was begun.
func (s *StateMachine) Ledger() *disruption.Ledger {
	if s.ledger == nil {
		return s.newLedger(s.revision).table
	}
	return s.ledger.table
}

// LedgerRequest is an operation of the ledger as it is sent: its kind is in the path.
type LedgerRequest struct {
	ID    string `json:"id"` // of the write: a repeat after a lost answer is not done twice
	Guard *Guard `json:"guard,omitempty"`
	disruption.Op
}

// LedgerResult answers an operation: with the permit, where it is about one, as it is then.
type LedgerResult struct {
	Result
	Permit *disruption.Permit `json:"permit,omitempty"`
}

func (r *Replica) serveLedgerOp(w http.ResponseWriter, request *http.Request) {
	var body LedgerRequest
	if !readJSON(w, request, &body) {
		return
	}
	body.Kind = disruption.OpKind(request.PathValue("op"))
	err := checkWriteID(body.ID)
	if err == nil {
		err = body.Validate()
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	result, err := r.propose(&Record{Op: OpLedger, ID: body.ID, Guard: body.Guard, Ledger: &body.Op})
	if err != nil {
		r.writeNoLeader(w)
		return
	}
	if result.Outcome != OutcomeDone {
		statusCodes := map[Outcome]int{OutcomeConflict: http.StatusConflict, OutcomeNotFound: http.StatusNotFound, OutcomeLimitExceeded: http.StatusInsufficientStorage}
		writeJSON(w, statusCodes[result.Outcome], result)
		return
	}
	response := LedgerResult{Result: result}
	if body.Permit != nil {
		r.hub.Read(func(state *StateMachine) {
			if permit, ok := state.Ledger().Permit(body.Permit.ID); ok {
				response.Permit = &permit
			}
		})
	}
	if body.Kind == disruption.OpHalt || body.Kind == disruption.OpResume || body.Kind == disruption.OpForceComplete || body.Kind == disruption.OpRemoveLost {
		slog.Warn("ledger", "op", body.Kind, "owner", body.Owner, "rev", result.Revision, "why", result.Reason)
	}
	writeJSON(w, http.StatusOK, response)
}

func (r *Replica) serveLedgerView(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var view disruption.View
	r.hub.Read(func(state *StateMachine) { view = state.Ledger().View(request.URL.Query().Get("units") != "") })
	r.setFreshnessHeaders(w)
	writeJSON(w, http.StatusOK, view)
}

func (r *Replica) servePermit(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var permit disruption.Permit
	var ok bool
	r.hub.Read(func(state *StateMachine) { permit, ok = state.Ledger().Permit(request.PathValue("id")) })
	r.setFreshnessHeaders(w)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("there is no permit %s", request.PathValue("id")))
		return
	}
	writeJSON(w, http.StatusOK, permit)
}
