package controlplane

import (
	"context"
	"fmt"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// newReleaseController is the controller of a release or a drain.
type releaseController struct {
	process       *process
	name          string
	token         uint64
	state         *release.State
	outcomes      map[string]supervisor.Outcome
	deniedPermits map[string]string
	drainTracker  *release.DrainTracker
	analysis      *release.WaveAnalysis
	leaderSinceMS int64
	sampledMS     int64
	delayedDeltas []release.Delta // by a planted fault: not written yet
}

func (c *cluster) newReleaseController(name string, replica int) *process {
	return c.newProcess(fmt.Sprintf("%s-%d", name, replica), release.Owner(name), func(p *process) controller { return &releaseController{process: p, name: name} })
}

func (c *releaseController) becomeLeader(token uint64) {
	c.token, c.state = token, nil
	c.outcomes, c.deniedPermits, c.delayedDeltas = map[string]supervisor.Outcome{}, map[string]string{}, nil
	c.drainTracker, c.analysis, c.leaderSinceMS = release.NewDrainTracker(maxRequestMS), release.NewWaveAnalysis(8), c.process.cluster.nowMS
}

// loadState reads the release anew where it is not known, or was written by another.
func (c *releaseController) loadState(state *registryState) bool {
	stored, _ := state.releases.Get(c.name)
	if stored == nil {
		c.state = nil
		return false
	}
	if c.state == nil || len(c.delayedDeltas) == 0 && (c.state.Sequence != stored.Sequence || c.state.StartRevision != stored.StartRevision) {
		clone := *stored
		clone.Units = slices.Clone(stored.Units)
		c.state = &clone
	}
	return true
}

// maxStepsPerTick is how many steps a controller takes in a tick while each writes something: it goes on 50 ms after a write,
// and a write takes about as long.
const maxStepsPerTick = 4

func (c *releaseController) reconcile() {
	if c.process.cluster.nowMS%c.process.cluster.reconcilePeriodMS != 0 {
		return
	}
	for range maxStepsPerTick {
		if c.process.down || c.process.pausedUntilMS > c.process.cluster.nowMS || !c.reconcileOnce() {
			return
		}
	}
}

// reconcileOnce takes one step, and tells whether it was written.
func (c *releaseController) reconcileOnce() bool {
	cluster, state := c.process.cluster, c.process.readState()
	if state == nil || !c.loadState(state) {
		return false
	}
	_, commands := state.releases.Get(c.name)
	if c.state.Status.Phase.Finished() && c.state.Status.HandledCommands == len(commands) {
		return false
	}
	platformList := cluster.platformList()
	c.updateDrainTracker(state, platformList)
	nowMS := cluster.nowMS
	view := &release.View{
		NowMS: nowMS, Token: c.token, Platform: platformList, Outcomes: c.outcomes, DeniedPermits: c.deniedPermits, Commands: commands,
		Unit:            state.ledger.Unit,
		Permit:          func(id string) (disruption.Permit, bool) { return c.permit(state, id) },
		Prepared:        func(string) bool { return true },
		Drained:         func(id string) bool { return c.drainTracker.Drained(cluster.nowMS-c.leaderSinceMS+1, id) },
		Running:         func(string) (release.Image, bool) { return release.Image{}, false },
		ConfigRejection: func(string, string) string { return "" },
		Verdict:         c.verdict(platformList),
	}
	effects := c.state.Reconcile(view)
	if !c.callPlatform(effects) {
		return false
	}
	wrote := false
	for _, effect := range effects {
		if _, ok := effect.(release.CallPlatform); ok {
			continue
		}
		if !c.process.execute(func() { c.applyEffect(effect) }) || c.state == nil {
			return false
		}
		_, wrote = effect.(release.WriteDelta)
	}
	if cluster.nowMS%3000 == 0 {
		c.writeDelayedDeltas()
	}
	return wrote
}

func (c *releaseController) permit(state *registryState, id string) (disruption.Permit, bool) {
	if state == c.process.cluster.registry.registryState {
		return c.process.cluster.registry.permit(id)
	}
	return state.ledger.Permit(id)
}

// updateDrainTracker takes in which lists sidecars have.
func (c *releaseController) updateDrainTracker(state *registryState, _ *supervisor.List) {
	if !c.state.DrainOnly && c.state.Plan.Kind() != disruption.KindServer {
		return
	}
	var sidecars []string
	endpointRevisions := make(map[string]uint64, len(c.process.cluster.sidecars))
	var drains []string
	drainRevision := uint64(0)
	for _, id := range sortedKeys(state.drainRevisions) {
		drains = append(drains, id)
		drainRevision = max(drainRevision, state.drainRevisions[id])
	}
	for _, member := range c.process.cluster.sidecars {
		if ledgerUnit, ok := state.ledger.Unit(member.ID); ok && ledgerUnit.Condition != disruption.ConditionLost {
			sidecars = append(sidecars, member.name)
			endpointRevisions[member.name] = member.sidecar.endpointRevision
		}
	}
	c.drainTracker.Update(c.process.cluster.nowMS-c.leaderSinceMS+1, drains, drainRevision, sidecars, endpointRevisions)
}

// verdict is the watch's, of what requests met in the second before.
func (c *releaseController) verdict(platformList *supervisor.List) judge.Verdict {
	cluster := c.process.cluster
	if cluster.traffic == nil || c.state.Plan.Change.ServerVersion == "" || c.state.DrainOnly {
		return judge.Verdict{Outcome: judge.Pass}
	}
	if cluster.nowMS-c.sampledMS >= 1000 {
		c.sampledMS = cluster.nowMS
		c.analysis.Add(c.state, cluster.traffic.interval(c.state))
	}
	return c.analysis.Verdict(c.state)
}

// callPlatform asks the platform, all requests at once.
func (c *releaseController) callPlatform(effects []release.Effect) bool {
	cluster := c.process.cluster
	var requests []supervisor.Request
	for _, effect := range effects {
		if platformCall, ok := effect.(release.CallPlatform); ok && len(requests) < supervisor.MaxRequests {
			request := platformCall.Request
			if request.Op == supervisor.Start && request.ConfigName != "" {
				request.ConfigText = request.ConfigName
			}
			requests = append(requests, request)
		}
	}
	if len(requests) == 0 {
		return true
	}
	outcomes := c.outcomes
	return c.process.execute(func() {
		cluster.checker.observeRequests(requests)
		responses, err := cluster.platform.Do(context.Background(), requests...)
		if err != nil {
			return
		}
		for _, outcome := range responses {
			outcomes[outcome.ID] = outcome
		}
	})
}

// applyEffect does one effect but a call.
func (c *releaseController) applyEffect(effect release.Effect) {
	cluster, token := c.process.cluster, c.token
	switch effect := effect.(type) {
	case release.ApplyLedgerOp:
		op := effect.Op
		result, known := c.process.write(token, func() (string, string) { return cluster.registry.applyLedgerOp(&op) })
		if known && op.Kind == disruption.OpRequest {
			delete(c.deniedPermits, op.Permit.ID)
			if result.outcome != string(disruption.OutcomeApplied) && result.outcome != outcomeStaleToken {
				c.deniedPermits[op.Permit.ID] = result.reason
			}
		}
	case release.MarkTerminating:
		c.process.write(token, func() (string, string) { return cluster.markTerminating(effect.Unit), "" })
	case release.MarkReady:
		c.process.write(token, func() (string, string) {
			delete(cluster.registry.drainRevisions, effect.Unit)
			cluster.unitsByID[effect.Unit].changing = true
			return outcomeDone, ""
		})
	case release.WriteDelta:
		if cluster.options.Defects.DelayReleaseWrites {
			if c.state.Apply(effect.Delta) == nil {
				c.delayedDeltas = append(c.delayedDeltas, effect.Delta)
			}
			return
		}
		c.writeDelta(effect.Delta)
	}
}

// writeDelta writes a step. Where it is not known whether it got there, the log is read again.
func (c *releaseController) writeDelta(delta release.Delta) {
	cluster := c.process.cluster
	result, known := c.process.write(c.token, func() (string, string) {
		if err := cluster.registry.releases.Apply(cluster.registry.revision, &release.Operation{Name: c.name, Delta: &delta}); err != nil {
			return "refused", err.Error()
		}
		return outcomeDone, ""
	})
	if !known || result.outcome != outcomeDone || c.state == nil || c.state.Apply(delta) != nil {
		c.state = nil
	}
}

// writeDelayedDeltas writes what a planted fault has put off.
func (c *releaseController) writeDelayedDeltas() {
	cluster := c.process.cluster
	for _, delta := range c.delayedDeltas {
		c.process.write(c.token, func() (string, string) {
			if err := cluster.registry.releases.Apply(cluster.registry.revision, &release.Operation{Name: c.name, Delta: &delta}); err != nil {
				return "refused", err.Error()
			}
			return outcomeDone, ""
		})
	}
	c.delayedDeltas = nil
}

// markTerminating sets a server to Terminating in the list.
func (c *cluster) markTerminating(unitID string) string {
	target := c.unitsByID[unitID]
	if c.registry.drainRevisions[unitID] == 0 && target.alive && target.readyAtMS <= c.nowMS {
		c.checker.requirePermit(target, "set to Terminating")
		c.registry.drainRevisions[unitID] = c.registry.revision
		target.changing = true
	}
	return outcomeDone
}

// completePermitsOf is the planted fault of permits that end with their owner's lease.
func (c *cluster) completePermitsOf(owner string) {
	for _, permit := range c.registry.ledger.OpenPermits() {
		if permit.Owner == owner && !permitFinished(permit.Stage) && permit.Stage != disruption.StageRequested {
			c.registry.revision++
			c.registry.ledger.Apply(c.registry.revision, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops", Permit: &disruption.Permit{ID: permit.ID}})
		}
	}
}
