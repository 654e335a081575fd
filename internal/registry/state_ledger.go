package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/disruption"
)

// ledger is the part of the state that accounts for units that are out of service. The first record that needs the
// ledger creates it from the current endpoint list. Replicas of a version without the ledger may be members of the
// cluster only until that record.
type ledger struct {
	table    *disruption.Ledger
	sidecars map[string]*Sidecar // by name; a change replaces the entry
}

// ledgerSnapshot is the stored form of the ledger.
type ledgerSnapshot struct {
	Table    disruption.Snapshot `json:"table"`
	Sidecars []*Sidecar          `json:"sidecars"`
}

// snapshot returns the stored form of the ledger, or nil if there is no ledger.
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

// restore returns the ledger of a snapshot, or nil if the snapshot has none.
func (saved *ledgerSnapshot) restore() (*ledger, error) {
	if saved == nil {
		return nil, nil
	}
	table, err := disruption.Restore(saved.Table)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	restored := &ledger{table: table, sidecars: map[string]*Sidecar{}}
	for _, sidecar := range saved.Sidecars {
		if sidecar == nil {
			return nil, errors.New("ledger: a sidecar entry is null")
		}
		restored.sidecars[sidecar.Name] = sidecar
	}
	return restored, nil
}

// disruptionUnit returns the instance as a unit of the disruption ledger. The endpoint list does not say whether the
// instance has warmed up.
func (i *Instance) disruptionUnit() disruption.Unit {
	unit := disruption.Unit{
		ID: disruption.UnitID(disruption.KindServer, i.UID), Kind: disruption.KindServer,
		Zone: i.Zone, Model: i.Model, PodGroup: i.PodGroup, Version: i.Version, Capacity: i.Capacity,
		Endpoint: i.Endpoint, BootMS: i.BootMS, Condition: disruption.ConditionUp,
	}
	switch {
	case i.Suspect:
		unit.Condition = disruption.ConditionUnknown
	case i.State == InstanceTerminating:
		unit.Condition = disruption.ConditionDraining
	}
	return unit
}

// newLedger creates a ledger from the current endpoint list.
func (s *StateMachine) newLedger(index uint64) *ledger {
	created := &ledger{table: disruption.NewLedger(), sidecars: map[string]*Sidecar{}}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		created.table.Register(index, s.instances[uid].disruptionUnit())
	}
	return created
}

// ensureLedger returns the ledger, and creates it if there is none.
func (s *StateMachine) ensureLedger(index uint64) *ledger {
	if s.ledger == nil {
		s.ledger = s.newLedger(index)
	}
	return s.ledger
}

// Ledger returns the disruption ledger, for reading. If there is none yet, Ledger derives one from the current endpoint
// list and does not store it.
func (s *StateMachine) Ledger() *disruption.Ledger {
	if s.ledger == nil {
		return s.newLedger(s.revision).table
	}
	return s.ledger.table
}

// updateLedger updates the ledger after a record has changed the endpoint list.
func (s *StateMachine) updateLedger(index uint64, record *Record, result Result) {
	if s.ledger == nil || result.Outcome != OutcomeDone {
		return
	}
	table := s.ledger.table
	if record.Op == OpRegister {
		for i := range record.Instances {
			if instance := s.instances[record.Instances[i].UID]; instance != nil {
				table.Register(index, instance.disruptionUnit())
			}
		}
	}
	for _, ref := range record.Refs {
		s.updateLedgerUnit(index, record, ref.UID)
	}
	if record.Op == OpEpoch {
		s.haltRestoredLedger(index)
	}
}

// updateLedgerUnit updates the unit of an instance that a record refers to.
func (s *StateMachine) updateLedgerUnit(index uint64, record *Record, uid string) {
	table, instance := s.ledger.table, s.instances[uid]
	id := disruption.UnitID(disruption.KindServer, uid)
	if instance == nil {
		unit, _ := table.Unit(id)
		switch {
		case record.Op == OpDeregister && unit.Condition != disruption.ConditionUnknown:
			table.Deregister(index, id)
		case record.Op == OpDeregister || record.Op == OpExpire:
			// A suspect that an operator removes has not deregistered itself, so it counts as lost.
			table.MarkLost(index, id)
		}
		return
	}
	switch {
	case record.Op == OpSuspect && record.Suspected:
		table.MarkUnknown(index, id)
	case record.Op == OpSuspect || record.Op == OpSetState:
		table.Register(index, instance.disruptionUnit())
	}
}

// applyLedger applies an operation on the ledger. applyOperation has already checked that the token of the guard is
// valid; applyLedger checks that the guard belongs to the owner of the operation.
func (s *StateMachine) applyLedger(index uint64, record *Record) Result {
	op := record.Ledger
	if op == nil {
		return conflictResult(s.revision, "no operation")
	}
	owned := record.Guard != nil && record.Guard.Lease == op.Owner
	if op.Kind != disruption.OpObserve && !disruption.IsOperator(op.Owner) && !owned {
		return conflictResult(s.revision, "no token of lease %q", op.Owner)
	}
	result := s.ensureLedger(index).table.Apply(index, op)
	return Result{ledgerOutcome(result.Outcome), index, result.Reason}
}

func ledgerOutcome(outcome disruption.Outcome) Outcome {
	switch outcome {
	case disruption.OutcomeApplied:
		return OutcomeDone
	case disruption.OutcomeNotFound:
		return OutcomeNotFound
	case disruption.OutcomeLimitReached:
		return OutcomeLimitExceeded
	default:
		return OutcomeConflict
	}
}
