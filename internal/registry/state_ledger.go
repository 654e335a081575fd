package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/disruption"
)

// ledger is the part of the state that accounts for units that are out. The first record about it creates it from the
// endpoint list as it then is. Until then replicas of a version without the ledger may be members of the cluster; from
// then on they must not be.
type ledger struct {
	table    *disruption.Ledger
	sidecars map[string]*Sidecar // by name; replaced, not changed
}

// ledgerSnapshot is the ledger in a snapshot.
type ledgerSnapshot struct {
	Table    disruption.Snapshot `json:"table"`
	Sidecars []*Sidecar          `json:"sidecars"`
}

// snapshot returns the stored form of the ledger, nil for none.
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

// restore returns the ledger of a snapshot, nil where that has none.
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
			return nil, errors.New("ledger: an empty sidecar")
		}
		restored.sidecars[sidecar.Name] = sidecar
	}
	return restored, nil
}

// disruptionUnit is the instance as the ledger counts it. Whether it has warmed up is not known to the list.
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

// newLedger makes a ledger of the endpoint list as it is.
func (s *StateMachine) newLedger(index uint64) *ledger {
	created := &ledger{table: disruption.NewLedger(), sidecars: map[string]*Sidecar{}}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		created.table.Register(index, s.instances[uid].disruptionUnit())
	}
	return created
}

// ensureLedger returns the ledger, and creates it where there is none.
func (s *StateMachine) ensureLedger(index uint64) *ledger {
	if s.ledger == nil {
		s.ledger = s.newLedger(index)
	}
	return s.ledger
}

// Ledger returns the disruption ledger, for reading. Where there is none yet, it is that of the endpoint list as it is.
func (s *StateMachine) Ledger() *disruption.Ledger {
	if s.ledger == nil {
		return s.newLedger(s.revision).table
	}
	return s.ledger.table
}

// updateLedger carries what a record has changed in the endpoint list over to the ledger.
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
		table.HaltForUncertainty(index, "the list was restored from a backup: what is out since is not in it")
	}
}

// updateLedgerUnit carries over what a record has changed of an instance that it refers to.
func (s *StateMachine) updateLedgerUnit(index uint64, record *Record, uid string) {
	table, instance := s.ledger.table, s.instances[uid]
	id := disruption.UnitID(disruption.KindServer, uid)
	if instance == nil {
		unit, _ := table.Unit(id)
		switch {
		case record.Op == OpDeregister && unit.Condition != disruption.ConditionUnknown:
			table.Deregister(index, id)
		case record.Op == OpDeregister || record.Op == OpExpire:
			// A suspect that an operator expires has not deregistered itself: it is lost.
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

// applyLedger applies an operation of the ledger. That the guard's token is valid was checked already; here the guard
// has to be that of the operation's owner.
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
