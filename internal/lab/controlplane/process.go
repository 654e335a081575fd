package controlplane

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/leaderelection/leasetable"
)

const (
	leaderLeaseMS     = 3000 // duration of a leader's lease
	leaseMarginMS     = 500  // a leader steps down this long before its lease expires
	processRestartMS  = 6000 // minimum time from the crash of a process to its restart
	maxPendingEffects = 512  // effects that a paused process retains
)

// controller makes the decisions of a process while the process is the leader.
type controller interface {
	// becomeLeader starts a term with a fencing token. It discards the state of earlier terms.
	becomeLeader(token uint64)
	// reconcile takes one step towards the desired state.
	reconcile()
}

// process is a process of the control plane that campaigns for a lease. The controller makes all writes and platform
// calls through the process, so that the process can crash, pause or be partitioned before and after every effect.
type process struct {
	cluster      *cluster
	name         string
	leaseName    string
	incarnation  int
	controller   controller
	token        uint64 // 0: not the leader
	leaseUntilMS int64  // expiry of its lease, as the process believes
	writeCount   int

	down               bool
	pausedUntilMS      int64
	partitionedUntilMS int64
	staleState         *registryState // state of the stale replica that a partitioned process reads
	scheduledFault     *processFault
	pendingEffects     []func() // effects that a pause interrupted
}

// processFault is a crash or a pause at a later effect of a process.
type processFault struct {
	skipEffects int   // number of effects before the fault
	pauseMS     int64 // 0 for a crash
	afterEffect bool  // the crash comes after the effect instead of before it
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// addProcess adds a process that runs the controller.
func (c *cluster) addProcess(name, leaseName string, newController func(*process) controller) {
	added := &process{cluster: c, name: name, leaseName: leaseName}
	added.controller = newController(added)
	c.processes = append(c.processes, added)
}

// candidateID identifies the current incarnation in the election.
func (p *process) candidateID() string { return fmt.Sprintf("%s.%d", p.name, p.incarnation) }

// holdsLease reports whether the process believes that it is the leader.
func (p *process) holdsLease() bool { return p.token != 0 && p.cluster.nowMS < p.leaseUntilMS }

func (p *process) paused() bool { return p.pausedUntilMS > p.cluster.nowMS }

// partitioned reports whether the process reaches only a minority of the registry.
func (p *process) partitioned() bool { return p.partitionedUntilMS > p.cluster.nowMS }

// readState returns the state that the process reads: a stale state during a partition, nil if the registry has no leader.
func (p *process) readState() *registryState {
	switch {
	case p.partitioned():
		return p.staleState
	case !p.cluster.registry.available():
		return nil
	default:
		return p.cluster.registry.registryState
	}
}

// tick advances the process by one tick.
func (p *process) tick() {
	if p.down || p.paused() {
		return
	}
	p.resume()
	if !p.partitioned() {
		p.staleState = nil
	}
	p.campaign()
	if p.holdsLease() && p.readState() != nil {
		p.controller.reconcile()
	}
}

// resume executes the effects that a pause interrupted, before the process reads its clock again.
func (p *process) resume() {
	for len(p.pendingEffects) > 0 && !p.down {
		effect := p.pendingEffects[0]
		p.pendingEffects = p.pendingEffects[1:]
		effect()
	}
}

// campaign renews the lease or, if the process is no candidate yet, joins the queue for the lease.
func (p *process) campaign() {
	registry := p.cluster.registry
	if p.partitioned() || !registry.available() {
		return
	}
	lease, _ := registry.leases.Get(p.leaseName)
	switch {
	case lease.Holder == p.candidateID():
		registry.renewedMS[p.leaseName] = p.cluster.nowMS
		p.leaseUntilMS = p.cluster.nowMS + leaderLeaseMS - leaseMarginMS
		if p.token != lease.Token {
			p.token = lease.Token
			p.controller.becomeLeader(p.token)
		}
	case !slices.Contains(lease.Queue, p.candidateID()):
		p.token = 0
		registry.revision++
		// A campaign is rejected only if a limit is reached. The process tries again at its next tick.
		_ = registry.leases.Apply(registry.revision, &leasetable.Operation{
			Kind:      leasetable.Campaign,
			Name:      p.leaseName,
			Candidate: p.candidateID(),
			TTLMS:     leaderLeaseMS,
		})
		registry.renewedMS[p.leaseName] = p.cluster.nowMS
	default:
		p.token = 0
	}
}

// crash ends the process, which restarts later as a new candidate.
func (p *process) crash() {
	if p.down {
		return
	}
	p.down, p.pendingEffects, p.token = true, nil, 0
	candidateID := p.candidateID()
	p.cluster.schedule(processRestartMS+p.cluster.random.Int64N(4000), func() {
		p.cluster.registry.expireCandidate(p.leaseName, candidateID, 0) // removes a candidate that waits in the queue
		p.down, p.incarnation = false, p.incarnation+1
	})
}

// execute executes an effect, unless a scheduled fault prevents it. It reports whether the process has not crashed. A
// paused process executes the effect when it resumes.
func (p *process) execute(effect func()) bool {
	if p.down {
		return false
	}
	if p.paused() {
		if len(p.pendingEffects) < maxPendingEffects {
			p.pendingEffects = append(p.pendingEffects, effect)
		}
		return true
	}
	if fault := p.popDueFault(); fault != nil {
		return p.applyFault(fault, effect)
	}
	effect()
	return !p.down
}

// popDueFault counts an effect, and returns the scheduled fault if it is due at this effect.
func (p *process) popDueFault() *processFault {
	fault := p.scheduledFault
	if fault == nil {
		return nil
	}
	fault.skipEffects--
	if fault.skipEffects >= 0 {
		return nil
	}
	p.scheduledFault = nil
	return fault
}

// applyFault pauses or crashes the process at an effect, and reports whether it has not crashed.
func (p *process) applyFault(fault *processFault, effect func()) bool {
	if fault.pauseMS > 0 {
		p.pausedUntilMS = p.cluster.nowMS + fault.pauseMS
		p.pendingEffects = append(p.pendingEffects, effect)
		return true
	}
	if fault.afterEffect {
		effect()
	}
	p.crash()
	return false
}

// write writes to the registry with a fencing token. Like a real client it retries once with the same ID. If neither try
// gets a response, known is false.
func (p *process) write(token uint64, apply func() writeResult) (result writeResult, known bool) {
	if p.partitioned() {
		return writeResult{}, false // a minority of replicas cannot write
	}
	p.writeCount++
	p.cluster.writeCount++
	id := fmt.Sprintf("%s/%d", p.candidateID(), p.writeCount)
	if result, known = p.cluster.registry.write(id, p.leaseName, token, apply); known {
		return result, true
	}
	return p.cluster.registry.write(id, p.leaseName, token, apply)
}
