package lab

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"milldeck/balance"
)

// Plan is an experiment with all random values that are drawn before the run. An experiment and a seed always give the same
// plan, in a simulation as with real processes.
type Plan struct {
	Experiment *Experiment
	Seed       uint64
	DurationMS float64 // duration of the load
	Servers    []ServerPlan
	Sidecars   []SidecarPlan
	Classes    []ClassPlan
	Faults     []Fault // ordered by start
}

// ServerPlan is a server. Servers that a rolling replacement adds start during the run.
type ServerPlan struct {
	UID         string
	Spec        *ServerSpec
	KindIndex   int
	Zone        int
	Cell        int
	Speed       float64   // of a core; 1 is the speed of a standard core
	SlowStartMS float64   // length of the slow start
	StartMS     float64   // 0: the server runs from the beginning, without slow start
	ReplacedMS  float64   // when the server is replaced; 0: never
	AddressSlot int       // servers that never run at the same time may share a slot
	DelayByZone []float64 // one-way delay in ms
}

// SidecarPlan is a sidecar with its application.
type SidecarPlan struct {
	Name                string
	Zone                int
	TrafficShare        float64 // share of the fleet's traffic
	Seed                uint64
	NotificationDelayMS float64 // delay from a change of the endpoint list until the sidecar is notified
}

// ClassPlan is a class of requests with its values decoded.
type ClassPlan struct {
	*ClassSpec
	Idempotency        balance.Idempotency
	DeduplicationScope balance.DeduplicationScope
	cumulativeShare    float64 // share of the requests that are of this class or an earlier class
}

// addressReuseGapMS is the time between the end of a server and the start of another at its address.
const addressReuseGapMS = 200

// NewPlan draws the plan of a seed; 0 means the experiment's own seed.
func (e *Experiment) NewPlan(seed uint64) *Plan {
	if seed == 0 {
		seed = e.Seed
	}
	p := &Plan{Experiment: e, Seed: seed, DurationMS: 1000 * e.DurationS}
	p.drawServers()
	p.drawSidecars()
	p.Classes = NewClassPlans(e.Classes)
	p.drawFaults()
	return p
}

// NewClassPlans decodes classes of requests.
func NewClassPlans(specs []ClassSpec) []ClassPlan {
	var plans []ClassPlan
	sum := 0.0
	for i := range specs {
		spec := &specs[i]
		sum += spec.Share
		plans = append(plans, ClassPlan{
			ClassSpec: spec, Idempotency: idempotencyByName[spec.Idempotency],
			DeduplicationScope: scopeByName[spec.DeduplicationScope], cumulativeShare: sum,
		})
	}
	return plans
}

var idempotencyByName = map[string]balance.Idempotency{
	idempotencySafe: balance.Idempotent, idempotencyKeyed: balance.IdempotentWithKey, idempotencyUnsafe: balance.NonIdempotent,
}

var scopeByName = map[string]balance.DeduplicationScope{
	scopeAll: balance.ScopeAll, scopeZone: balance.ScopeZone, scopePod: balance.ScopeCell,
}

func (p *Plan) drawServers() {
	rng := p.rng(streamServers)
	for kindIndex := range p.Experiment.Servers {
		spec := &p.Experiment.Servers[kindIndex]
		for number := range spec.Count.drawInt(rng) {
			p.addServer(kindIndex, number%len(p.Experiment.Zones), rng)
		}
	}
	// A cell consists of servers of one zone, whatever their kind.
	cellSize := p.Experiment.Servers[0].CellSize
	zoneCounts := make([]int, len(p.Experiment.Zones))
	for i := range p.Servers {
		server := &p.Servers[i]
		server.Cell = server.Zone + len(p.Experiment.Zones)*(zoneCounts[server.Zone]/cellSize)
		zoneCounts[server.Zone]++
	}
}

// addServer draws a server. The pointer is valid until the next call.
func (p *Plan) addServer(kindIndex, zone int, rng *rand.Rand) *ServerPlan {
	spec := &p.Experiment.Servers[kindIndex]
	server := ServerPlan{
		UID: fmt.Sprintf("s-%08x", rng.Uint32()), Spec: spec, KindIndex: kindIndex, Zone: zone,
		Speed: spec.Speed.draw(rng), SlowStartMS: 1000 * spec.SlowStartS.draw(rng), AddressSlot: len(p.Servers),
	}
	for otherZone := range p.Experiment.Zones {
		delay := p.Experiment.Network.LocalMS
		if otherZone != zone {
			delay = p.Experiment.Network.CrossZoneMS
		}
		server.DelayByZone = append(server.DelayByZone, delay.draw(rng))
	}
	p.Servers = append(p.Servers, server)
	return &p.Servers[len(p.Servers)-1]
}

func (p *Plan) drawSidecars() {
	rng := p.rng(streamSidecars)
	count := p.Experiment.Sidecars.Count.drawInt(rng)
	sum := 0.0
	for i := range count {
		weight := math.Pow(float64(i+1), -p.Experiment.Sidecars.Skew)
		sum += weight
		p.Sidecars = append(p.Sidecars, SidecarPlan{
			Name: fmt.Sprintf("n%d", i), TrafficShare: weight, Seed: rng.Uint64(),
			NotificationDelayMS: p.Experiment.Discovery.PropagationMS.draw(rng),
		})
	}
	// Zones are assigned in random order, so that the largest shares are not all in the first zone.
	for i, order := range rng.Perm(count) {
		p.Sidecars[i].Zone = order % len(p.Experiment.Zones)
		p.Sidecars[i].TrafficShare /= sum
	}
}

func (p *Plan) drawFaults() {
	rng := p.rng(streamFaults)
	for i := range p.Experiment.Faults {
		spec := &p.Experiment.Faults[i]
		fault := spec.resolve(p, rng)
		switch fault.Kind {
		case FaultRollingReplacement:
			p.replaceServers(&fault, spec, rng)
			p.Faults = append(p.Faults, fault)
		case FaultRestart:
			p.Faults = append(p.Faults, splitIntoSteps(&fault, spec.Steps)...)
		default:
			p.Faults = append(p.Faults, fault)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.StartMS, b.StartMS) })
}

// replaceServers plans a rolling replacement: in each step new servers start, and the old ones drain and end.
func (p *Plan) replaceServers(fault *Fault, spec *FaultSpec, rng *rand.Rand) {
	count := len(fault.Servers)
	steps := max(1, min(spec.Steps, count))
	durationMS := fault.EndMS - fault.StartMS
	for i, oldIndex := range fault.Servers {
		at := fault.StartMS + durationMS*float64(i*steps/count)/float64(steps)
		p.Servers[oldIndex].ReplacedMS = at
		replacement := p.addServer(p.Servers[oldIndex].KindIndex, p.Servers[oldIndex].Zone, rng)
		old := &p.Servers[oldIndex]
		replacement.Cell, replacement.StartMS = old.Cell, at
		if spec.ReuseAddresses { // the replacement cannot start before the old server has ended
			replacement.AddressSlot = old.AddressSlot
			replacement.StartMS = at + p.DrainDurationMS() + addressReuseGapMS
		}
	}
}

// DrainDurationMS returns how long a server that drains continues to serve: until the change has reached every sidecar, and
// the grace and the longest deadline have passed.
func (p *Plan) DrainDurationMS() float64 {
	longest := 0.0
	for i := range p.Experiment.Classes {
		longest = max(longest, p.Experiment.Classes[i].DeadlineMS)
	}
	return p.Experiment.Discovery.PropagationMS.Max + p.Experiment.Rules.DrainGraceMS + longest
}

// splitIntoSteps splits a fault into one fault for each step, with the targets divided among the steps.
func splitIntoSteps(fault *Fault, steps int) []Fault {
	ofSidecars := len(fault.Sidecars) > 0
	targets := fault.Servers
	if ofSidecars {
		targets = fault.Sidecars
	}
	intervalMS := 0.0
	if fault.EndMS > 0 {
		intervalMS = fault.EndMS - fault.StartMS
	}
	steps = max(1, min(steps, len(targets)))
	var faults []Fault
	for index := range steps {
		step := *fault
		part := targets[index*len(targets)/steps : (index+1)*len(targets)/steps]
		if ofSidecars {
			step.Sidecars = part
		} else {
			step.Servers = part
		}
		step.StartMS = fault.StartMS + intervalMS*float64(index)/float64(steps)
		step.EndMS = 0
		faults = append(faults, step)
	}
	return faults
}

// initialServers returns the indexes of the servers that run from the beginning.
func (p *Plan) initialServers() []int {
	var indexes []int
	for i := range p.Servers {
		if p.Servers[i].StartMS == 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Capacity returns the work that a server can do at full capacity, in ms of standard work a second.
func (s *ServerPlan) Capacity() float64 { return 1000 * s.Speed * float64(s.Spec.Cores) }

// MeanServerCapacity returns the mean capacity of the initial servers, in ms of standard work a second.
func (p *Plan) MeanServerCapacity() float64 {
	sum := 0.0
	initial := p.initialServers()
	for _, i := range initial {
		sum += p.Servers[i].Capacity()
	}
	return sum / float64(max(len(initial), 1))
}

// MeanWork returns the mean work of a request in ms of standard work.
func (p *Plan) MeanWork() float64 {
	sum, shares := 0.0, 0.0
	for i := range p.Classes {
		class := &p.Classes[i]
		sum += class.Share * (class.WorkMS.Min + class.WorkMS.Max) / 2
		shares += class.Share
	}
	return sum / max(shares, 1e-9)
}
