package controlplane

import (
	"encoding/json"
	"fmt"
	"maps"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// registryState is the replicated state of the registry: the tables of the control plane and the set of Terminating
// servers. The rest of the endpoint list is not modelled.
type registryState struct {
	revision       uint64
	epoch          uint64
	ledger         *disruption.Ledger
	releases       *release.Table
	windows        *maintenance.Table
	placements     *placement.Table
	leases         *leasetable.Table
	drainRevisions map[string]uint64      // revision that set a server to Terminating, by unit ID
	writeResults   map[string]writeResult // by write ID
}

// writeResult is the result of a write: an outcome of the table that applied it, or one of the outcomes below.
type writeResult struct{ outcome, reason string }

// Outcomes of writes in addition to those of the tables.
const (
	outcomeDone       = "done"
	outcomeRejected   = "refused"
	outcomeStaleToken = "stale"
)

func newRegistryState() *registryState {
	state := &registryState{
		epoch:          1,
		ledger:         disruption.NewLedger(),
		releases:       release.NewTable(),
		windows:        maintenance.New(),
		placements:     placement.NewTable(),
		leases:         leasetable.New(),
		drainRevisions: map[string]uint64{},
		writeResults:   map[string]writeResult{},
	}
	state.placements.StartEpoch(0, 1)
	state.connectTables()
	return state
}

// connectTables lets the maintenance windows look up permits in the ledger, as the real registry does.
func (s *registryState) connectTables() {
	s.windows.LookupPermit = func(id string) (disruption.Stage, bool) {
		permit, ok := s.ledger.Permit(id)
		return permit.Stage, ok
	}
}

// stateSnapshot is the state that a backup or a partitioned replica retains. It has no leases, because fencing tokens must
// never decrease.
type stateSnapshot struct {
	Revision       uint64                `json:"Rev"`
	Epoch          uint64                `json:"Epoch"`
	Ledger         disruption.Snapshot   `json:"Ledger"`
	Releases       *release.Snapshot     `json:"Releases"`
	Windows        *maintenance.Snapshot `json:"Windows"`
	Placements     *placement.Snapshot   `json:"Places"`
	DrainRevisions map[string]uint64     `json:"Drains"`
}

// clone returns an independent copy that shares only the leases.
func (s *registryState) clone() *registryState {
	snapshot := s.snapshot()
	ledger, err := disruption.Restore(snapshot.Ledger)
	if err != nil {
		panic(fmt.Sprintf("restoring a ledger snapshot: %v", err)) // the ledger itself has encoded it
	}
	clone := &registryState{
		revision:       snapshot.Revision,
		epoch:          snapshot.Epoch,
		ledger:         ledger,
		releases:       release.Restore(snapshot.Releases),
		windows:        maintenance.Restore(snapshot.Windows),
		placements:     placement.Restore(snapshot.Placements, snapshot.Epoch),
		leases:         s.leases,
		drainRevisions: snapshot.DrainRevisions,
		writeResults:   maps.Clone(s.writeResults),
	}
	if clone.drainRevisions == nil {
		clone.drainRevisions = map[string]uint64{}
	}
	clone.connectTables()
	return clone
}

// snapshot returns an encoded and decoded snapshot, so that it shares no memory with the state.
func (s *registryState) snapshot() *stateSnapshot {
	data, err := json.Marshal(&stateSnapshot{
		Revision:       s.revision,
		Epoch:          s.epoch,
		Ledger:         s.ledger.Snapshot(),
		Releases:       s.releases.Snapshot(),
		Windows:        s.windows.Snapshot(),
		Placements:     s.placements.Snapshot(),
		DrainRevisions: s.drainRevisions,
	})
	if err != nil {
		panic(err) // every table's snapshot can be encoded
	}
	var decoded stateSnapshot
	if err := json.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	return &decoded
}
