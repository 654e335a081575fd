package controlplane

import (
	"fmt"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// registry models the replicated registry. Without a leader it serves neither reads nor writes. The leader may crash
// after it applies a write and before it responds.
type registry struct {
	*registryState
	cluster           *cluster
	leaderClock       wallClock // wall clock of the current leader
	leaderlessUntilMS int64
	leaderSinceMS     int64
	dropNextResponse  bool // the leader crashes after it applies the next write, before it responds
	backup            *registryState
	renewedMS         map[string]int64 // last renewal of each lease, by name

	// Index of the granted and unfinished permits, as of indexedRevision.
	indexedRevision uint64
	permitByUnit    map[string]disruption.Permit
	knownGrants     map[string]uint64   // revision of the grant, by permit ID
	newGrants       []disruption.Permit // grants that the checker has not processed yet

	staleGrants map[string]*disruption.Permit // permits that Defects.StaleReads granted, by ID
}

func newRegistry(cluster *cluster) *registry {
	return &registry{
		registryState: newRegistryState(),
		cluster:       cluster,
		renewedMS:     map[string]int64{},
		permitByUnit:  map[string]disruption.Permit{},
		knownGrants:   map[string]uint64{},
		staleGrants:   map[string]*disruption.Permit{},
	}
}

// available reports whether the registry has a leader and serves reads and writes.
func (r *registry) available() bool { return r.cluster.nowMS >= r.leaderlessUntilMS }

// leaderTimeMS returns the time by the leader's wall clock, in Unix ms.
func (r *registry) leaderTimeMS() int64 { return r.cluster.nowMS + r.leaderClock.offsetMS }

// crashLeader crashes the leader. A new leader is elected after electionMS, and treats every lease as renewed at that time.
func (r *registry) crashLeader(electionMS int64) {
	r.leaderlessUntilMS = r.cluster.nowMS + electionMS
	r.leaderSinceMS = r.leaderlessUntilMS
	for name := range r.renewedMS {
		r.renewedMS[name] = r.leaderlessUntilMS
	}
}

// write applies a write at most once per ID. Unless leaseName is empty, it checks the fencing token of that lease. known
// is false if there is no response: the write may have been applied or not.
func (r *registry) write(id, leaseName string, token uint64, apply func() writeResult) (result writeResult, known bool) {
	if !r.available() {
		return writeResult{}, false
	}
	if earlier, ok := r.writeResults[id]; ok {
		return earlier, true
	}
	r.revision++
	if r.fenced(leaseName, token) {
		result = writeResult{outcomeStaleToken, fmt.Sprintf("token %d of %s is stale", token, leaseName)}
	} else {
		result = apply()
	}
	r.writeResults[id] = result
	if r.dropNextResponse {
		r.dropNextResponse = false
		r.crashLeader(1500 + r.cluster.random.Int64N(4000))
		return writeResult{}, false
	}
	return result, true
}

// fenced reports whether the registry rejects a write because the write's fencing token is stale.
func (r *registry) fenced(leaseName string, token uint64) bool {
	return leaseName != "" && !r.cluster.options.Defects.IgnoreFencingTokens && !r.leases.TokenValid(leaseName, token)
}

// commitLedgerOp applies a ledger operation in its own revision.
func (r *registry) commitLedgerOp(op *disruption.Op) {
	r.revision++
	r.ledger.Apply(r.revision, op)
}

// commitReleaseOp applies a release operation in its own revision.
func (r *registry) commitReleaseOp(op *release.Operation) error {
	r.revision++
	return r.releases.Apply(r.revision, op)
}

// applyLedgerOp applies a ledger operation within a write.
func (r *registry) applyLedgerOp(op *disruption.Op) writeResult {
	if r.cluster.options.Defects.StaleReads && r.applyStaleGrant(op) {
		return writeResult{outcome: outcomeDone}
	}
	result := r.ledger.Apply(r.revision, op)
	return writeResult{string(result.Outcome), result.Reason}
}

// applyReleaseOp applies a release operation within a write.
func (r *registry) applyReleaseOp(op *release.Operation) writeResult {
	if err := r.releases.Apply(r.revision, op); err != nil {
		return writeResult{outcomeRejected, err.Error()}
	}
	return writeResult{outcome: outcomeDone}
}

// applyMaintenanceOp applies a maintenance operation within a write, together with the placement directives that result
// from it.
func (r *registry) applyMaintenanceOp(op *maintenance.Operation, stamp maintenance.Timestamp) writeResult {
	if r.cluster.options.Defects.IgnoreFencingTokens {
		op = r.withHighestToken(op)
	}
	changes, err := r.windows.Apply(r.revision, op, r.leaderStamped(stamp))
	r.applyDirectives(changes.SetDirectives, changes.DeleteDirectiveIDs)
	if err != nil {
		return writeResult{string(maintenance.OutcomeOf(err)), err.Error()}
	}
	r.cluster.simulateWork(op)
	return writeResult{outcome: string(maintenance.OutcomeApplied)}
}

// leaderStamped adds the leader's time to a controller's timestamp.
func (r *registry) leaderStamped(stamp maintenance.Timestamp) maintenance.Timestamp {
	stamp.LeaderMS, stamp.LeaderUncertaintyMS = r.leaderTimeMS(), r.leaderClock.uncertaintyMS
	if r.cluster.options.Defects.UseControllerClock {
		stamp.LeaderMS, stamp.LeaderUncertaintyMS = stamp.ControllerMS, stamp.UncertaintyMS
	}
	return stamp
}

// applyDirectives sets and deletes placement directives. It does not set expired directives.
func (r *registry) applyDirectives(set []placement.Directive, deleted []string) {
	if len(set) == 0 && len(deleted) == 0 {
		return
	}
	leaderMS := r.leaderTimeMS()
	if r.cluster.options.Defects.ExcludePastClose {
		for index := range set {
			set[index].ExpiresAtMS = leaderMS + maintenance.ExclusionTTLMS
		}
	}
	set = slices.DeleteFunc(set, func(directive placement.Directive) bool { return directive.ExpiresAtMS <= leaderMS })
	if len(set)+len(deleted) > 0 {
		r.placements.Apply(r.revision, maintenance.LeaseName, &placement.Op{LeaderTimeMS: leaderMS, Set: set, Delete: deleted})
	}
}

// expireLeases expires the leases that were not renewed within leaderLeaseMS.
func (r *registry) expireLeases() {
	if !r.available() {
		return
	}
	for _, name := range sortedKeys(r.renewedMS) {
		lease, ok := r.leases.Get(name)
		if !ok || lease.Holder == "" || r.cluster.nowMS-r.renewedMS[name] < leaderLeaseMS {
			continue
		}
		r.revision++
		r.expireCandidate(name, lease.Holder, lease.Token)
		if r.cluster.options.Defects.CompletePermitsOnLeaseExpiry {
			r.completePermitsOf(name)
		}
		r.renewedMS[name] = r.cluster.nowMS
	}
}

// expireCandidate removes a candidate from a lease: the holder under its token, or a queued candidate under token 0.
func (r *registry) expireCandidate(leaseName, candidateID string, token uint64) {
	// An expiry is never rejected.
	_ = r.leases.Apply(r.revision, &leasetable.Operation{
		Kind:      leasetable.Expire,
		Name:      leaseName,
		Candidate: candidateID,
		Token:     token,
	})
}

// restoreBackup restores the backup in a new epoch. It retains leases and the results of writes, and halts the ledger
// until an operator resumes it.
func (r *registry) restoreBackup() {
	current := r.registryState
	r.registryState, r.backup = r.backup, nil
	r.revision = current.revision + 1
	r.epoch = current.epoch + 1
	r.leases, r.writeResults = current.leases, current.writeResults
	r.placements.StartEpoch(r.revision, r.epoch)
	r.ledger.HaltForUncertainty(r.revision, "the list was restored from a backup")

	r.knownGrants, r.permitByUnit, r.indexedRevision = map[string]uint64{}, map[string]disruption.Permit{}, 0
	r.indexPermits()
	r.newGrants = nil // grants in the backup are not new
}

// permit looks up a permit by its ID, also among staleGrants.
func (r *registry) permit(id string) (disruption.Permit, bool) {
	if staleGrant := r.staleGrants[id]; staleGrant != nil {
		return *staleGrant, true
	}
	return r.ledger.Permit(id)
}

// permitFinished reports whether a permit in a stage no longer reserves any budget.
func permitFinished(stage disruption.Stage) bool {
	return stage == disruption.StageCompleted || stage == disruption.StageCancelled
}

// indexPermits updates the index of permits to the current revision.
func (r *registry) indexPermits() {
	if r.indexedRevision == r.revision && r.indexedRevision != 0 {
		return
	}
	r.indexedRevision = r.revision
	clear(r.permitByUnit)
	permits := r.ledger.OpenPermits()
	for _, id := range sortedKeys(r.staleGrants) {
		permits = append(permits, *r.staleGrants[id])
	}
	for _, permit := range permits {
		if permit.Stage != disruption.StageRequested && !permitFinished(permit.Stage) {
			r.indexPermit(permit)
		}
	}
}

func (r *registry) indexPermit(permit disruption.Permit) {
	for _, unitID := range permit.Units {
		if !slices.Contains(permit.CompletedUnits, unitID) {
			r.permitByUnit[unitID] = permit
		}
	}
	if r.knownGrants[permit.ID] != permit.GrantRevision {
		r.knownGrants[permit.ID] = permit.GrantRevision
		r.newGrants = append(r.newGrants, permit)
	}
}
