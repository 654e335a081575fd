package controlplane

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/leaderelection/leasetable"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// leaderLeaseMS is the lease of a duty, and shutdownMS before its end a holder stops by itself.
const (
	leaderLeaseMS     = 3000
	leaseMarginMS     = 500
	processRestartMS  = 6000 // from a controller's death to its next life
	maxPendingEffects = 512
)

// controller is what a process does while it holds its duty. Take has it begin anew under a token.
type controller interface {
	becomeLeader(token uint64)
	reconcile()
}

// newProcess is one process of the program that is a candidate for a duty. Its controller writes and calls through it, so
// that it can be killed, frozen or cut off at any of these.
type process struct {
	cluster            *cluster
	name               string
	leaseName          string
	incarnation        int // life
	controller         controller
	token              uint64
	leaseUntilMS       int64 // its own belief of the end of its lease
	down               bool
	pausedUntilMS      int64 // until
	partitionedUntilMS int64 // until: it meets a replica that is left behind
	staleState         *registryState
	plannedFault       *processFault
	pendingEffects     []func() // what it had still to do when it was frozen
	writeCount         int
}

// processFault is what becomes of a process at its next steps.
type processFault struct {
	effectsUntil int // effects from now
	pauseMS      int64
	afterEffect  bool // killed after the effect, before its answer
}

func (c *cluster) newProcess(name, leaseName string, newController func(p *process) controller) *process {
	p := &process{cluster: c, name: name, leaseName: leaseName}
	p.controller = newController(p)
	c.processes = append(c.processes, p)
	return p
}

// holdsLease tells whether the process believes that it holds its duty.
func (p *process) holdsLease() bool { return p.token != 0 && p.cluster.nowMS < p.leaseUntilMS }

// readState is the state that it reads; nil: nobody answers.
func (p *process) readState() *registryState {
	switch {
	case p.partitionedUntilMS > p.cluster.nowMS:
		return p.staleState
	case !p.cluster.registry.hasLeader():
		return nil
	}
	return p.cluster.registry.registryState
}

func (p *process) step() {
	cluster := p.cluster
	if p.down || p.pausedUntilMS > cluster.nowMS {
		return
	}
	for len(p.pendingEffects) > 0 && !p.down { // it goes on where it was frozen, before it looks at any clock
		effect := p.pendingEffects[0]
		p.pendingEffects = p.pendingEffects[1:]
		effect()
	}
	if p.partitionedUntilMS <= cluster.nowMS {
		p.staleState = nil
	}
	p.campaign()
	if p.holdsLease() && p.readState() != nil {
		p.controller.reconcile()
	}
}

// expireLeases is the leader's part: a holder that has not shown for the length of its lease loses the duty.
func (r *registry) expireLeases() {
	if !r.hasLeader() {
		return
	}
	for _, name := range sortedKeys(r.renewedMS) {
		lease, ok := r.leases.Get(name)
		if !ok || lease.Holder == "" || r.cluster.nowMS-r.renewedMS[name] < leaderLeaseMS {
			continue
		}
		r.revision++
		// An expiry is never rejected.
		_ = r.leases.Apply(r.revision, &leasetable.Operation{Kind: leasetable.Expire, Name: name, Candidate: lease.Holder, Token: lease.Token})
		if r.cluster.options.Defects.CompletePermitsOnLeaseExpiry {
			r.cluster.completePermitsOf(name)
		}
		r.renewedMS[name] = r.cluster.nowMS
	}
}

func (p *process) candidateID() string { return fmt.Sprintf("%s.%d", p.name, p.incarnation) }

// campaign asks for the duty, and renews it.
func (p *process) campaign() {
	registry := p.cluster.registry
	if p.partitionedUntilMS > p.cluster.nowMS || !registry.hasLeader() {
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
		// Rejected only where a limit is reached; it campaigns again at its next step.
		_ = registry.leases.Apply(registry.revision, &leasetable.Operation{Kind: leasetable.Campaign, Name: p.leaseName, Candidate: p.candidateID(), TTLMS: leaderLeaseMS})
		registry.renewedMS[p.leaseName] = p.cluster.nowMS
	default:
		p.token = 0
	}
}

// crash ends the process; it is started again later, as another candidate.
func (p *process) crash() {
	if p.down {
		return
	}
	p.down, p.pendingEffects, p.token = true, nil, 0
	candidateID := p.candidateID()
	p.cluster.schedule(processRestartMS+p.cluster.random.Int64N(4000), func() {
		registry := p.cluster.registry
		// Its place in the queue, if it has one; an expiry is never rejected.
		_ = registry.leases.Apply(registry.revision, &leasetable.Operation{Kind: leasetable.Expire, Name: p.leaseName, Candidate: candidateID})
		p.down, p.incarnation = false, p.incarnation+1
	})
}

// execute does one effect, unless the process meets its doom there. It tells whether the process goes on.
func (p *process) execute(effect func()) bool {
	if p.down {
		return false
	}
	if p.pausedUntilMS > p.cluster.nowMS {
		if len(p.pendingEffects) < maxPendingEffects {
			p.pendingEffects = append(p.pendingEffects, effect)
		}
		return true
	}
	if fault := p.plannedFault; fault != nil {
		if fault.effectsUntil--; fault.effectsUntil < 0 {
			p.plannedFault = nil
			switch {
			case fault.pauseMS > 0:
				p.pausedUntilMS = p.cluster.nowMS + fault.pauseMS
				p.pendingEffects = append(p.pendingEffects, effect)
				return true
			case fault.afterEffect:
				effect()
			}
			p.crash()
			return false
		}
	}
	effect()
	return !p.down
}

// write has a record written under the duty's token. It is tried again by its id once, as a client does; an answer may be
// missing all the same.
func (p *process) write(token uint64, apply func() (string, string)) (result writeResult, known bool) {
	if p.partitionedUntilMS > p.cluster.nowMS {
		return writeResult{}, false // nobody there can write
	}
	p.writeCount++
	p.cluster.writeCount++
	id := fmt.Sprintf("%s/%d", p.candidateID(), p.writeCount)
	if result, known = p.cluster.registry.write(id, p.leaseName, token, apply); known {
		return result, true
	}
	return p.cluster.registry.write(id, p.leaseName, token, apply)
}
