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

// Limits of a release controller.
const (
	// maxStepsPerTick bounds the steps of one tick. A controller takes the next step right after a write. In a real process
	// a write takes about 50 ms.
	maxStepsPerTick      = 4
	analysisPeriodMS     = 1000 // interval between two samples
	delayedWritePeriodMS = 3000 // interval between two writes with Defects.DelayReleaseWrites
)

// releaseController runs the reconciler of a release or a drain.
type releaseController struct {
	process       *process
	name          string
	token         uint64
	leaderSinceMS int64
	state         *release.State // nil until it is read from the registry
	outcomes      map[string]supervisor.Outcome
	deniedPermits map[string]string // reason of the denial, by permit ID
	drainTracker  *release.DrainTracker
	analysis      *release.WaveAnalysis
	sampledMS     int64           // time of the last sample of the analysis
	delayedDeltas []release.Delta // deltas that Defects.DelayReleaseWrites has delayed
}

// addReleaseController adds a candidate for the lease of a release or drain.
func (c *cluster) addReleaseController(name string, replica int) {
	c.addProcess(fmt.Sprintf("%s-%d", name, replica), release.Owner(name), func(p *process) controller {
		return &releaseController{process: p, name: name}
	})
}

func (c *releaseController) becomeLeader(token uint64) {
	c.token, c.state = token, nil
	c.leaderSinceMS = c.process.cluster.nowMS
	c.outcomes, c.deniedPermits, c.delayedDeltas = map[string]supervisor.Outcome{}, map[string]string{}, nil
	c.drainTracker = release.NewDrainTracker(maxRequestMS)
	c.analysis = release.NewWaveAnalysis(len(requestClasses) * len(zones))
}

// monotonicMS returns the controller's monotonic time. It is above 0, because release.DrainTracker treats 0 as unset.
func (c *releaseController) monotonicMS() int64 { return c.process.cluster.nowMS - c.leaderSinceMS + 1 }

// loadState reads the release if it is not loaded or if another controller has written it since. It reports whether the
// release exists.
func (c *releaseController) loadState(state *registryState) bool {
	stored, _ := state.releases.Get(c.name)
	if stored == nil {
		c.state = nil
		return false
	}
	if c.state == nil || c.outdated(stored) {
		clone := *stored
		clone.Units = slices.Clone(stored.Units)
		c.state = &clone
	}
	return true
}

// outdated reports whether another controller has written the release. While deltas are delayed, the stored release differs
// because of them, and outdated returns false.
func (c *releaseController) outdated(stored *release.State) bool {
	changed := c.state.Sequence != stored.Sequence || c.state.StartRevision != stored.StartRevision
	return changed && len(c.delayedDeltas) == 0
}

func (c *releaseController) reconcile() {
	cluster := c.process.cluster
	if cluster.nowMS%cluster.reconcilePeriodMS != 0 {
		return
	}
	for range maxStepsPerTick {
		if c.process.down || c.process.paused() || !c.reconcileOnce() {
			return
		}
	}
}

// reconcileOnce takes one step of the release. It reports whether it wrote a delta, after which the next step may follow at
// once.
func (c *releaseController) reconcileOnce() bool {
	cluster, state := c.process.cluster, c.process.readState()
	if state == nil || !c.loadState(state) {
		return false
	}
	_, commands := state.releases.Get(c.name)
	if c.state.Status.Phase.Finished() && c.state.Status.HandledCommands == len(commands) {
		return false
	}
	effects := c.state.Reconcile(c.view(state, commands))
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
	if cluster.nowMS%delayedWritePeriodMS == 0 {
		c.writeDelayedDeltas()
	}
	return wrote
}

// view returns the input of the reconciler for one step.
func (c *releaseController) view(state *registryState, commands []release.Command) *release.View {
	platformList := c.process.cluster.platformList()
	c.updateDrainTracker(state)
	return &release.View{
		NowMS:           c.process.cluster.nowMS,
		Token:           c.token,
		Platform:        platformList,
		Outcomes:        c.outcomes,
		DeniedPermits:   c.deniedPermits,
		Commands:        commands,
		Unit:            state.ledger.Unit,
		Permit:          func(id string) (disruption.Permit, bool) { return c.permit(state, id) },
		Prepared:        func(string) bool { return true },
		Drained:         func(id string) bool { return c.drainTracker.Drained(c.monotonicMS(), id) },
		ReportedImage:   func(string) (release.Image, bool) { return release.Image{}, false },
		ConfigRejection: func(string, string) string { return "" },
		Verdict:         c.verdict(),
	}
}

// permit looks up a permit in the state that was read. If that is the newest state, the permits of Defects.StaleReads are
// included.
func (c *releaseController) permit(state *registryState, id string) (disruption.Permit, bool) {
	registry := c.process.cluster.registry
	if state == registry.registryState {
		return registry.permit(id)
	}
	return state.ledger.Permit(id)
}

// updateDrainTracker records which servers are draining and which endpoint list each sidecar has.
func (c *releaseController) updateDrainTracker(state *registryState) {
	if !c.state.DrainOnly && c.state.Plan.Kind() != disruption.KindServer {
		return
	}
	draining := sortedKeys(state.drainRevisions)
	drainRevision := uint64(0)
	for _, revision := range state.drainRevisions {
		drainRevision = max(drainRevision, revision)
	}
	var sidecars []string
	endpointRevisions := make(map[string]uint64, len(c.process.cluster.sidecars))
	for _, member := range c.process.cluster.sidecars {
		known, ok := state.ledger.Unit(member.ID)
		if ok && known.Condition != disruption.ConditionLost {
			sidecars = append(sidecars, member.name)
			endpointRevisions[member.name] = member.sidecar.endpointRevision
		}
	}
	c.drainTracker.Update(c.monotonicMS(), draining, drainRevision, sidecars, endpointRevisions)
}

// verdict returns the verdict of the wave analysis on the new version, from samples of one second each. Without a model
// of requests the verdict is always a pass.
func (c *releaseController) verdict() judge.Verdict {
	cluster := c.process.cluster
	if cluster.traffic == nil || c.state.Plan.Change.ServerVersion == "" || c.state.DrainOnly {
		return judge.Verdict{Outcome: judge.Pass}
	}
	if cluster.nowMS-c.sampledMS >= analysisPeriodMS {
		c.sampledMS = cluster.nowMS
		c.analysis.Add(c.state, cluster.traffic.interval(c.state))
	}
	return c.analysis.Verdict(c.state)
}

// callPlatform sends the requests among the effects to the platform in one call. It reports whether the process has not
// crashed.
func (c *releaseController) callPlatform(effects []release.Effect) bool {
	requests := platformRequests(effects)
	if len(requests) == 0 {
		return true
	}
	cluster, outcomes := c.process.cluster, c.outcomes
	return c.process.execute(func() {
		cluster.checker.observeRequests(requests)
		responses, err := cluster.platform.Do(context.Background(), requests...)
		if err != nil {
			return // the outcomes are unknown; the reconciler retries the requests
		}
		for _, outcome := range responses {
			outcomes[outcome.ID] = outcome
		}
	})
}

// platformRequests returns the requests among the effects, up to the limit of one call.
func platformRequests(effects []release.Effect) []supervisor.Request {
	var requests []supervisor.Request
	for _, effect := range effects {
		call, ok := effect.(release.CallPlatform)
		if !ok || len(requests) == supervisor.MaxRequests {
			continue
		}
		request := call.Request
		if request.Op == supervisor.Start && request.ConfigName != "" {
			request.ConfigText = request.ConfigName
		}
		requests = append(requests, request)
	}
	return requests
}

// applyEffect executes an effect other than a platform call.
func (c *releaseController) applyEffect(effect release.Effect) {
	cluster := c.process.cluster
	switch effect := effect.(type) {
	case release.ApplyLedgerOp:
		c.writeLedgerOp(&effect.Op)
	case release.MarkTerminating:
		c.process.write(c.token, func() writeResult { return cluster.markTerminating(effect.Unit) })
	case release.MarkReady:
		c.process.write(c.token, func() writeResult { return cluster.markReady(effect.Unit) })
	case release.WriteDelta:
		switch {
		case !cluster.options.Defects.DelayReleaseWrites:
			c.writeDelta(effect.Delta)
		case c.state.Apply(effect.Delta) == nil:
			c.delayedDeltas = append(c.delayedDeltas, effect.Delta)
		}
	}
}

// writeLedgerOp writes a ledger operation, and stores the reason if a permit is denied.
func (c *releaseController) writeLedgerOp(op *disruption.Op) {
	registry := c.process.cluster.registry
	result, known := c.process.write(c.token, func() writeResult { return registry.applyLedgerOp(op) })
	if !known || op.Kind != disruption.OpRequest {
		return
	}
	delete(c.deniedPermits, op.Permit.ID)
	if result.outcome != string(disruption.OutcomeApplied) && result.outcome != outcomeStaleToken {
		c.deniedPermits[op.Permit.ID] = result.reason
	}
}

// writeDelta writes a delta of the release. If the delta may not have been applied, the release is read again.
func (c *releaseController) writeDelta(delta release.Delta) {
	result, known := c.writeReleaseOp(&release.Operation{Name: c.name, Delta: &delta})
	if !known || result.outcome != outcomeDone || c.state == nil || c.state.Apply(delta) != nil {
		c.state = nil
	}
}

func (c *releaseController) writeReleaseOp(op *release.Operation) (result writeResult, known bool) {
	registry := c.process.cluster.registry
	return c.process.write(c.token, func() writeResult { return registry.applyReleaseOp(op) })
}

// writeDelayedDeltas writes the deltas that Defects.DelayReleaseWrites has delayed.
func (c *releaseController) writeDelayedDeltas() {
	for _, delta := range c.delayedDeltas {
		c.writeReleaseOp(&release.Operation{Name: c.name, Delta: &delta})
	}
	c.delayedDeltas = nil
}

// markTerminating sets a ready server to Terminating in the endpoint list.
func (c *cluster) markTerminating(unitID string) writeResult {
	target := c.unitsByID[unitID]
	if c.registry.drainRevisions[unitID] == 0 && target.ready(c.nowMS) {
		c.checker.requirePermit(target, "set to Terminating")
		c.registry.drainRevisions[unitID] = c.registry.revision
		target.registrationPending = true
	}
	return writeResult{outcome: outcomeDone}
}

// markReady ends the Terminating state of a server.
func (c *cluster) markReady(unitID string) writeResult {
	delete(c.registry.drainRevisions, unitID)
	c.unitsByID[unitID].registrationPending = true
	return writeResult{outcome: outcomeDone}
}
