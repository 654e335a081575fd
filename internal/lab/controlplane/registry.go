package controlplane

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// registryState is what the replicas agree on: the tables themselves, and of the list only who drains.
type registryState struct {
	revision       uint64
	epoch          uint64
	ledger         *disruption.Ledger
	releases       *release.Table
	windows        *maintenance.Table
	placements     *placement.Table
	leases         *leasetable.Table
	drainRevisions map[string]uint64      // servers that are Terminating, by unit: the revision that says so
	writeResults   map[string]writeResult // of writes, by id
}

// writeResult is what became of a write.
type writeResult struct{ outcome, reason string }

// Outcomes of writes beside those of the tables.
const (
	outcomeDone       = "done"
	outcomeStaleToken = "stale"
)

func newRegistryState() *registryState {
	state := &registryState{ledger: disruption.NewLedger(), releases: release.NewTable(), windows: maintenance.New(), placements: placement.NewTable(),
		leases: leasetable.New(), drainRevisions: map[string]uint64{}, writeResults: map[string]writeResult{}, epoch: 1}
	state.placements.StartEpoch(0, 1)
	state.connectTables()
	return state
}

// connectTables lets the tables see each other as the list service does.
func (s *registryState) connectTables() {
	s.windows.LookupPermit = func(id string) (disruption.Stage, bool) {
		permit, ok := s.ledger.Permit(id)
		return permit.Stage, ok
	}
}

// stateSnapshot is a state as a backup or a replica that is left behind has it. Duties are no part of it: tokens never run back.
type stateSnapshot struct {
	Revision       uint64                `json:"Rev"`
	Epoch          uint64                `json:"Epoch"`
	Ledger         disruption.Snapshot   `json:"Ledger"`
	Releases       *release.Snapshot     `json:"Releases"`
	Windows        *maintenance.Snapshot `json:"Windows"`
	Placements     *placement.Snapshot   `json:"Places"`
	DrainRevisions map[string]uint64     `json:"Drains"`
}

// clone is a state of its own, equal to this one.
func (s *registryState) clone() *registryState {
	data, err := json.Marshal(&stateSnapshot{s.revision, s.epoch, s.ledger.Snapshot(), s.releases.Snapshot(), s.windows.Snapshot(), s.placements.Snapshot(), s.drainRevisions})
	if err != nil {
		panic(err) // all of it is made for snapshots
	}
	var snapshot stateSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		panic(err)
	}
	ledger, err := disruption.Restore(snapshot.Ledger)
	if err != nil {
		panic(fmt.Sprintf("a ledger that was saved: %v", err))
	}
	clone := &registryState{revision: snapshot.Revision, epoch: snapshot.Epoch, ledger: ledger, releases: release.Restore(snapshot.Releases), windows: maintenance.Restore(snapshot.Windows),
		placements: placement.Restore(snapshot.Placements, snapshot.Epoch), leases: s.leases, drainRevisions: snapshot.DrainRevisions, writeResults: maps.Clone(s.writeResults)}
	if clone.drainRevisions == nil {
		clone.drainRevisions = map[string]uint64{}
	}
	clone.connectTables()
	return clone
}

// registry is the list service: a log whose leader may be gone, and may go between an entry and its answer.
type registry struct {
	*registryState
	cluster           *cluster
	leaderClock       wallClock // of whoever leads
	leaderlessUntilMS int64     // ms: until then there is no leader
	leaderSinceMS     int64     // ms: since when there is one
	dropNextResponse  bool      // the next write is applied, and the leader dies before it answers
	backup            *registryState

	renewedMS       map[string]int64 // by duty: when its holder last showed
	forgedPermits   map[string]*disruption.Permit
	permitByUnit    map[string]disruption.Permit // by unit: the permit that it is under, as of indexedRevision
	newGrants       []disruption.Permit          // granted since they were last taken
	seenGrants      map[string]uint64            // by permit: the grant that was seen
	indexedRevision uint64
}

// wallClock is a wall clock: how far it is off, and what it owns up to, in ms.
type wallClock struct{ offsetMS, uncertaintyMS int64 }

func newRegistry(cluster *cluster) *registry {
	return &registry{registryState: newRegistryState(), cluster: cluster, renewedMS: map[string]int64{}, forgedPermits: map[string]*disruption.Permit{},
		permitByUnit: map[string]disruption.Permit{}, seenGrants: map[string]uint64{}}
}

// hasLeader tells whether anything can be written or read.
func (r *registry) hasLeader() bool { return r.cluster.nowMS >= r.leaderlessUntilMS }

// crashLeader ends the leader; another leads after some ms. Leases begin anew with it.
func (r *registry) crashLeader(durationMS int64) {
	r.leaderlessUntilMS = r.cluster.nowMS + durationMS
	r.leaderSinceMS = r.leaderlessUntilMS
	for duty := range r.renewedMS {
		r.renewedMS[duty] = r.leaderlessUntilMS
	}
}

// write has a record applied, once for each id. Known is false where no answer came: it may have been applied or not.
func (r *registry) write(id, leaseName string, token uint64, apply func() (string, string)) (result writeResult, known bool) {
	if !r.hasLeader() {
		return writeResult{}, false
	}
	if earlier, ok := r.writeResults[id]; ok {
		return earlier, true
	}
	r.revision++
	if leaseName != "" && !r.cluster.options.Defects.IgnoreFencingTokens && !r.leases.TokenValid(leaseName, token) {
		result = writeResult{outcomeStaleToken, fmt.Sprintf("token %d of %s counts no more", token, leaseName)}
	} else {
		result.outcome, result.reason = apply()
	}
	r.writeResults[id] = result
	if r.dropNextResponse {
		r.dropNextResponse = false
		r.crashLeader(1500 + r.cluster.random.Int64N(4000))
		return writeResult{}, false
	}
	return result, true
}

// applyLedgerOp applies an operation to the ledger; a planted fault may stand in for it.
func (r *registry) applyLedgerOp(op *disruption.Op) (string, string) {
	if r.cluster.options.Defects.StaleReads && r.applyStaleGrant(op) {
		return outcomeDone, ""
	}
	result := r.ledger.Apply(r.revision, op)
	return string(result.Outcome), result.Reason
}

// permit is the ledger's word on a permit.
func (r *registry) permit(id string) (disruption.Permit, bool) {
	if forged := r.forgedPermits[id]; forged != nil {
		return *forged, true
	}
	return r.ledger.Permit(id)
}

// applyStaleGrant is the planted fault of a grant that is not atomic: what there is room for is looked up in the ledger as it was a
// second ago, and written now. The permits live beside the table.
func (r *registry) applyStaleGrant(op *disruption.Op) bool {
	if op.Permit == nil {
		return false
	}
	forged := r.forgedPermits[op.Permit.ID]
	switch {
	case op.Kind == disruption.OpRequest && forged == nil && r.cluster.hadCapacity(op.Permit):
		grant := *op.Permit
		grant.Stage, grant.GrantRevision = disruption.StageGranted, r.revision
		r.forgedPermits[grant.ID] = &grant
		return true
	case forged == nil:
		return false
	case op.Kind == disruption.OpBegin && forged.Stage == disruption.StageGranted:
		forged.Stage, forged.BeginRevision = disruption.StageActive, r.revision
	case op.Kind == disruption.OpReturn && forged.Stage == disruption.StageActive:
		forged.Stage, forged.ReturnRevision = disruption.StageReturning, r.revision
	case op.Kind == disruption.OpCancel:
		forged.Stage = disruption.StageCancelled
	case op.Kind == disruption.OpComplete:
		for _, unitID := range forged.Units {
			if member, _ := r.ledger.Unit(unitID); member.Condition != disruption.ConditionUp {
				return true
			}
		}
		forged.Stage = disruption.StageCompleted
	}
	return true
}

// timestamp is a controller's time with the leader's.
func (r *registry) timestamp(stamp maintenance.Timestamp) maintenance.Timestamp {
	stamp.LeaderMS, stamp.LeaderUncertaintyMS = r.cluster.nowMS+r.leaderClock.offsetMS, r.leaderClock.uncertaintyMS
	if r.cluster.options.Defects.UseControllerClock { // the hours were looked up by the controller; the log takes its word
		stamp.LeaderMS, stamp.LeaderUncertaintyMS = stamp.ControllerMS, stamp.UncertaintyMS
	}
	return stamp
}

// applyMaintenanceOp applies an operation of windows, with what sidecars are told in the same entry.
func (r *registry) applyMaintenanceOp(op *maintenance.Operation, stamp maintenance.Timestamp) (string, string) {
	stamp = r.timestamp(stamp)
	if r.cluster.options.Defects.IgnoreFencingTokens && op.Token != 0 {
		retokened := *op
		retokened.Token = max(op.Token, r.cluster.highestToken)
		r.cluster.highestToken = retokened.Token
		op = &retokened
	}
	result, err := r.windows.Apply(r.revision, op, stamp)
	if len(result.SetDirectives) > 0 || len(result.DeleteDirectiveIDs) > 0 {
		nowMS := r.cluster.nowMS + r.leaderClock.offsetMS
		if r.cluster.options.Defects.ExcludePastClose {
			for index := range result.SetDirectives {
				result.SetDirectives[index].ExpiresAtMS = nowMS + maintenance.ExclusionTTLMS
			}
		}
		result.SetDirectives = slices.DeleteFunc(result.SetDirectives, func(directive placement.Directive) bool { return directive.ExpiresAtMS <= nowMS })
		if len(result.SetDirectives)+len(result.DeleteDirectiveIDs) > 0 {
			r.placements.Apply(r.revision, "window", &placement.Op{LeaderTimeMS: nowMS, Set: result.SetDirectives, Delete: result.DeleteDirectiveIDs})
		}
	}
	if err != nil {
		return string(maintenance.OutcomeOf(err)), err.Error()
	}
	r.cluster.simulateWork(op)
	return string(maintenance.OutcomeApplied), ""
}

// restoreBackup puts the backup back: an epoch of its own, and doubt until an operator has looked.
func (r *registry) restoreBackup() {
	revision, leases, writeResults := r.revision, r.leases, r.writeResults
	r.registryState = r.backup
	r.backup = nil
	r.revision, r.leases, r.writeResults, r.epoch = revision+1, leases, writeResults, r.epoch+1
	r.placements.StartEpoch(r.revision, r.epoch)
	r.ledger.HaltForUncertainty(r.revision, "the list was restored from a backup")
	r.seenGrants, r.permitByUnit, r.indexedRevision = map[string]uint64{}, map[string]disruption.Permit{}, 0
	r.indexPermits()
	r.newGrants = nil // what was granted before the backup is not granted anew
}

// permitFinished tells whether a permit holds nothing any more.
func permitFinished(stage disruption.Stage) bool {
	return stage == disruption.StageCompleted || stage == disruption.StageCancelled
}

// indexPermits brings up to date which unit is under which permit, and which grants are new.
func (r *registry) indexPermits() {
	if r.indexedRevision == r.revision && r.indexedRevision != 0 {
		return
	}
	r.indexedRevision = r.revision
	clear(r.permitByUnit)
	permits := r.ledger.OpenPermits()
	for _, id := range slices.Sorted(maps.Keys(r.forgedPermits)) {
		permits = append(permits, *r.forgedPermits[id])
	}
	for _, permit := range permits {
		if permit.Stage == disruption.StageRequested || permitFinished(permit.Stage) {
			continue
		}
		for _, unitID := range permit.Units {
			if !slices.Contains(permit.CompletedUnits, unitID) {
				r.permitByUnit[unitID] = permit
			}
		}
		if r.seenGrants[permit.ID] != permit.GrantRevision {
			r.seenGrants[permit.ID] = permit.GrantRevision
			r.newGrants = append(r.newGrants, permit)
		}
	}
}
