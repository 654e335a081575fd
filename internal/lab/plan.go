package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"milldeck/balance"
	"milldeck/internal/wire"
)

// Plan is one draw of an experiment: all that chance decides ahead of the run. The same file and seed give the
// same plan, and the modes share it.
type Plan struct {
	Experiment *Experiment
	Seed       uint64
	DurationMS float64 // ms of load
	Servers    []ServerPlan
	Sidecars   []SidecarPlan
	Classes    []ClassPlan
	Faults     []Fault
}

// ServerPlan is one server, of which those that come by a roll are born later.
type ServerPlan struct {
	UID         string
	Spec        *ServerSpec
	KindIndex   int
	Zone        int
	Cell        int
	Speed       float64
	SlowStartMS float64
	StartMS     float64   // ms; 0: there from the start, and warm
	ReplacedMS  float64   // ms at which a roll replaces it; 0: never
	AddressSlot int       // the address that it has; two that never run together may share one
	DelayByZone []float64 // ms one way, by zone
}

// SidecarPlan is one sidecar with its application.
type SidecarPlan struct {
	Name                string
	Zone                int
	TrafficShare        float64 // of the traffic, of all sidecars together 1
	Seed                uint64
	NotificationDelayMS float64 // ms from a change to its hearing of it
}

// ClassPlan is one class as it is played.
type ClassPlan struct {
	*ClassSpec
	Idempotency        balance.Idempotency
	DeduplicationScope balance.DeduplicationScope
	cumulativeShare    float64 // cumulated
}

// Streams of random numbers, one for each purpose, so that one more draw for one does not move the others.
const (
	streamServers uint64 = iota + 1
	streamSidecars
	streamFaults
	streamArrivals
	streamNetwork
)

func (p *Plan) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

func (r Range) draw(rng *rand.Rand) float64 { return r.Min + (r.Max-r.Min)*rng.Float64() }

func (r Range) drawInt(rng *rand.Rand) int {
	return int(r.Min) + rng.IntN(int(r.Max)-int(r.Min)+1)
}

// NewPlan makes the plan of a seed; 0 takes the file's.
func (f *Experiment) NewPlan(seed uint64) *Plan {
	if seed == 0 {
		seed = f.Seed
	}
	p := &Plan{Experiment: f, Seed: seed, DurationMS: 1000 * f.DurationS}
	p.drawServers()
	p.drawSidecars()
	p.Classes = NewClassPlans(f.Classes)
	rng := p.rng(streamFaults)
	for i := range f.Faults {
		fault := f.Faults[i].resolve(p, rng)
		switch fault.Kind {
		case FaultRollingReplacement:
			p.replaceServers(&fault, f.Faults[i].Steps, f.Faults[i].ReuseAddresses, rng)
			p.Faults = append(p.Faults, fault)
		case FaultRestart:
			p.Faults = append(p.Faults, splitIntoSteps(fault, f.Faults[i].Steps)...)
		default:
			p.Faults = append(p.Faults, fault)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int {
		return int(math.Copysign(1, a.StartMS-b.StartMS)) * boolToInt(a.StartMS != b.StartMS)
	})
	return p
}

// NewClassPlans are classes as they are played.
func NewClassPlans(specs []ClassSpec) []ClassPlan {
	var plans []ClassPlan
	sum := 0.0
	for i := range specs {
		spec := &specs[i]
		sum += spec.Share
		plans = append(plans, ClassPlan{ClassSpec: spec, Idempotency: idempotencyByName[spec.Idempotency], DeduplicationScope: scopeByName[spec.DeduplicationScope], cumulativeShare: sum})
	}
	return plans
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

var idempotencyByName = map[string]balance.Idempotency{"safe": balance.Idempotent, "keyed": balance.IdempotentWithKey, "unsafe": balance.NonIdempotent}
var scopeByName = map[string]balance.DeduplicationScope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "pod": balance.ScopeCell}

func (p *Plan) drawServers() {
	rng := p.rng(streamServers)
	for kindIndex := range p.Experiment.Servers {
		spec := &p.Experiment.Servers[kindIndex]
		for number := range spec.Count.drawInt(rng) {
			p.addServer(kindIndex, number%len(p.Experiment.Zones), rng)
		}
	}
	// Pods hold servers of one zone, whatever their kind.
	cellSize := p.Experiment.Servers[0].CellSize
	zoneCounts := make([]int, len(p.Experiment.Zones))
	for i := range p.Servers {
		server := &p.Servers[i]
		server.Cell = server.Zone + len(p.Experiment.Zones)*(zoneCounts[server.Zone]/cellSize)
		zoneCounts[server.Zone]++
	}
}

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
			Name: fmt.Sprintf("n%d", i), TrafficShare: weight, Seed: rng.Uint64(), NotificationDelayMS: p.Experiment.Discovery.PropagationMS.draw(rng),
		})
	}
	// Zones are dealt after the weights, so that the largest are not all in the first zone.
	for i, order := range rng.Perm(count) {
		p.Sidecars[i].Zone = order % len(p.Experiment.Zones)
		p.Sidecars[i].TrafficShare /= sum
	}
}

// replaceServers replaces servers in steps: each step's new servers are born, the old ones drain and go.
func (p *Plan) replaceServers(fault *Fault, steps int, reuse bool, rng *rand.Rand) {
	count := len(fault.Servers)
	steps = max(1, min(steps, count))
	durationMS := fault.EndMS - fault.StartMS
	for i, oldIndex := range fault.Servers {
		at := fault.StartMS + durationMS*float64(i*steps/count)/float64(steps)
		p.Servers[oldIndex].ReplacedMS = at
		replacement := p.addServer(p.Servers[oldIndex].KindIndex, p.Servers[oldIndex].Zone, rng)
		replacement.Cell, replacement.StartMS = p.Servers[oldIndex].Cell, at
		if reuse { // it can only start where the old one has gone
			replacement.AddressSlot, replacement.StartMS = p.Servers[oldIndex].AddressSlot, at+p.DrainDurationMS()+addressReuseGapMS
		}
	}
}

// addressReuseGapMS is the time in ms between the end of a server and the start of another at its address.
const addressReuseGapMS = 200

// DrainDurationMS is how long in ms a server that is told to end serves on: a change reaches every sidecar, and the
// grace and the longest deadline pass.
func (p *Plan) DrainDurationMS() float64 {
	longest := 0.0
	for i := range p.Experiment.Classes {
		longest = max(longest, p.Experiment.Classes[i].DeadlineMS)
	}
	return p.Experiment.Discovery.PropagationMS.Max + p.Experiment.Rules.DrainGraceMS + longest
}

// splitIntoSteps makes a fault of several steps into one for each.
func splitIntoSteps(f Fault, steps int) []Fault {
	var faults []Fault
	all := f.Servers
	targetsOf := func(step *Fault) *[]int { return &step.Servers }
	if len(f.Sidecars) > 0 {
		all = f.Sidecars
		targetsOf = func(step *Fault) *[]int { return &step.Sidecars }
	}
	steps = max(1, min(steps, len(all)))
	for index := range steps {
		step := f
		*targetsOf(&step) = all[index*len(all)/steps : (index+1)*len(all)/steps]
		step.StartMS = f.StartMS + (f.EndMS-f.StartMS)*float64(index)/float64(steps)*boolToFloat(f.EndMS > 0)
		step.EndMS = 0
		faults = append(faults, step)
	}
	return faults
}

func boolToFloat(b bool) float64 { return float64(boolToInt(b)) }

// initialServers are the servers that are there from the start.
func (p *Plan) initialServers() []int {
	var indexes []int
	for i := range p.Servers {
		if p.Servers[i].StartMS == 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (p *Plan) matchServers(target target) []int {
	var indexes []int
	for _, i := range p.initialServers() {
		server := &p.Servers[i]
		if (target.zone < 0 || server.Zone == target.zone) && (target.kind == "" || server.Spec.Kind == target.kind) && (target.first < 0 || i >= target.first && i <= target.last) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (p *Plan) matchSidecars(target target) []int {
	var indexes []int
	for i := range p.Sidecars {
		if (target.zone < 0 || p.Sidecars[i].Zone == target.zone) && (target.first < 0 || i >= target.first && i <= target.last) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (p *Plan) endpointSet(text string) EndpointSet {
	target, _ := parseTarget(text, p.Experiment) // checked when the file was read
	endpoints := EndpointSet{Servers: map[int]bool{}, Sidecars: map[int]bool{}, Clients: target.clients, Discovery: target.discovery}
	if target.parties&partyServers != 0 {
		for _, i := range p.matchServers(target) {
			endpoints.Servers[i] = true
		}
	}
	if target.parties&partySidecars != 0 {
		for _, i := range p.matchSidecars(target) {
			endpoints.Sidecars[i] = true
		}
	}
	return endpoints
}

// Settings is the JSON object that sidecar n is told, in the form of the wire.
func (p *Plan) Settings(sidecar int) []byte {
	experiment := p.Experiment
	type m = map[string]any
	var classes []m
	for i := range experiment.Classes {
		spec := &experiment.Classes[i]
		class := m{
			"name": spec.Name, "effect": wireIdempotency[spec.Idempotency], "on_time_ms": spec.LatencyObjectiveMS, "hard_limit_ms": spec.DeadlineMS,
			"worth": spec.PriorityWeight, "late_worth": 0.0, "stream": false,
		}
		if spec.Idempotency == "keyed" {
			class["group"], class["window_ms"] = wireScopes[spec.DeduplicationScope], spec.IdempotencyWindowMS
		}
		classes = append(classes, class)
	}
	var kinds []string
	slowStartFrom, slowStartMS, idleCloseMS, hasCache := 1.0, 0.0, math.Inf(1), false
	for i := range experiment.Servers {
		spec := &experiment.Servers[i]
		kinds = append(kinds, spec.Kind)
		slowStartFrom = min(slowStartFrom, spec.SlowStartFrom)
		slowStartMS = max(slowStartMS, 1000*spec.SlowStartS.Max)
		idleCloseMS = min(idleCloseMS, spec.IdleCloseMS)
		hasCache = hasCache || spec.CacheGain > 0
	}
	discovery := "automatic"
	if experiment.Discovery.Mode == "subscribe" {
		discovery = "subscribe"
	}
	settings, err := json.Marshal(m{
		"classes": classes, "clients": m{"marks_retry": true}, "discovery": discovery,
		"family_info": m{"warm_keys": hasCache}, "kinds": kinds, "zones": experiment.Zones, "zone": p.Sidecars[sidecar].Zone,
		"my_number": sidecar, "peers_total": len(p.Sidecars), "quantum_ms": tickMS, "tenants": []string{},
		"report": m{"fields": []string{}, "via": "silent"}, "over_share_worth": 1.0,
		"result_mix": m{"whole": 1.0}, "value_by": "request", "weights": "silent",
		"limits": m{
			"cancel": experiment.Limits.AllowCancel, "conn_idle_ms": idleCloseMS, "connect_timeout_ms": experiment.Limits.ConnectTimeoutMS,
			"max_attempts": experiment.Limits.MaxAttempts, "max_retry_after_ms": experiment.Limits.MaxRetryAfterMS,
			"may_tell": experiment.Limits.AllowGossip, "parallel_tries": false, "probes": experiment.Limits.AllowHealthChecks,
			"retry_after": experiment.Limits.AllowRetryAfter, "streams_per_conn": 1,
		},
		"rules": m{
			"answer_slack_ms": experiment.Rules.AnswerSlackMS, "ask_within_ms": experiment.Rules.PollWithinMS, "cold_from": slowStartFrom,
			"cold_ms": slowStartMS, "drain_grace_ms": experiment.Rules.DrainGraceMS, "fall_ms": experiment.Rules.OverloadWindowMS,
			"fall_multiple": experiment.Rules.OverloadMultiple,
		},
		"penalties": m{
			"cross_zone": experiment.Costs.CrossZone, "waste": experiment.Costs.WastedWork, "handshake": experiment.Costs.Handshake,
			"probe": experiment.Costs.HealthCheck, "peer": experiment.Costs.PeerMessage, "late_fail": experiment.Costs.LateFailure,
		},
	})
	if err != nil {
		panic(err) // all of it is plain figures and names
	}
	return settings
}

// tickMS is the tick of the virtual clock and the least time between two timers of a live sidecar.
const tickMS = 2

// TickMS is the tick of the virtual clock in ms.
func (p *Plan) TickMS() float64 { return tickMS }

var wireIdempotency = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
var wireScopes = map[string]string{"all": "all", "zone": "zone", "pod": "cell"}

// Config is the module's configuration for sidecar n, read from the same settings that a real one gets. The
// seed is of its life'th start.
func (p *Plan) Config(sidecar, incarnation int) (balance.Config, error) {
	return wire.ParseSettings(p.IncarnationSeed(sidecar, incarnation), p.Settings(sidecar))
}

// IncarnationSeed is the seed of a sidecar's life'th start.
func (p *Plan) IncarnationSeed(sidecar, incarnation int) uint64 {
	return mixHash(p.Sidecars[sidecar].Seed, uint64(incarnation))
}

// mixHash mixes numbers into one; the lab's chances that must not depend on the order of events come from it.
func mixHash(parts ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, p := range parts {
		h ^= p
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// hashFraction is an even draw from 0 to 1 that follows from its parts alone.
func hashFraction(parts ...uint64) float64 { return float64(mixHash(parts...)>>11) / (1 << 53) }
