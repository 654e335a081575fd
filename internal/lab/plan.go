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
	File     *File
	Seed     uint64
	Duration float64 // ms of load
	Servers  []ServerPlan
	Sidecars []SidecarPlan
	Classes  []ClassPlan
	Faults   []Fault
}

// ServerPlan is one server, of which those that come by a roll are born later.
type ServerPlan struct {
	UID    string
	Kind   *KindFile
	KindN  int
	Zone   int
	Pod    int
	Speed  float64
	ColdMS float64
	Born   float64   // ms; 0: there from the start, and warm
	Ends   float64   // ms at which a roll replaces it; 0: never
	Slot   int       // the address that it has; two that never run together may share one
	Delay  []float64 // ms one way, by zone
}

// SidecarPlan is one sidecar with its application.
type SidecarPlan struct {
	Name   string
	Zone   int
	Weight float64 // of the traffic, of all sidecars together 1
	Seed   uint64
	Notice float64 // ms from a change to its hearing of it
}

// ClassPlan is one class as it is played.
type ClassPlan struct {
	*ClassFile
	Effect balance.Idempotency
	Group  balance.DeduplicationScope
	share  float64 // cumulated
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

func (r Range) draw(rng *rand.Rand) float64 { return r.Least + (r.Most-r.Least)*rng.Float64() }

func (r Range) drawInt(rng *rand.Rand) int {
	return int(r.Least) + rng.IntN(int(r.Most)-int(r.Least)+1)
}

// Draw makes the plan of a seed; 0 takes the file's.
func (f *File) Draw(seed uint64) *Plan {
	if seed == 0 {
		seed = f.Seed
	}
	p := &Plan{File: f, Seed: seed, Duration: 1000 * f.DurationS}
	p.drawServers()
	p.drawSidecars()
	p.Classes = ClassPlans(f.Classes)
	rng := p.rng(streamFaults)
	for i := range f.Faults {
		fault := f.Faults[i].resolve(p, rng)
		switch fault.Kind {
		case Roll:
			p.roll(&fault, f.Faults[i].Steps, f.Faults[i].Reuse, rng)
			p.Faults = append(p.Faults, fault)
		case Restart:
			p.Faults = append(p.Faults, staggered(fault, f.Faults[i].Steps)...)
		default:
			p.Faults = append(p.Faults, fault)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(math.Copysign(1, a.At-b.At)) * btoi(a.At != b.At) })
	return p
}

// ClassPlans are classes as they are played.
func ClassPlans(files []ClassFile) []ClassPlan {
	var out []ClassPlan
	sum := 0.0
	for i := range files {
		k := &files[i]
		sum += k.Share
		out = append(out, ClassPlan{ClassFile: k, Effect: effects[k.Effect], Group: groups[k.Group], share: sum})
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

var effects = map[string]balance.Idempotency{"safe": balance.Idempotent, "keyed": balance.IdempotentWithKey, "unsafe": balance.NonIdempotent}
var groups = map[string]balance.DeduplicationScope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "pod": balance.ScopeCell}

func (p *Plan) drawServers() {
	rng := p.rng(streamServers)
	for k := range p.File.Servers {
		kind := &p.File.Servers[k]
		for n := range kind.Count.drawInt(rng) {
			p.addServer(k, n%len(p.File.Zones), rng)
		}
	}
	// Pods hold servers of one zone, whatever their kind.
	size := p.File.Servers[0].PodSize
	count := make([]int, len(p.File.Zones))
	for i := range p.Servers {
		s := &p.Servers[i]
		s.Pod = s.Zone + len(p.File.Zones)*(count[s.Zone]/size)
		count[s.Zone]++
	}
}

func (p *Plan) addServer(kind, zone int, rng *rand.Rand) *ServerPlan {
	k := &p.File.Servers[kind]
	s := ServerPlan{
		UID: fmt.Sprintf("s-%08x", rng.Uint32()), Kind: k, KindN: kind, Zone: zone,
		Speed: k.Speed.draw(rng), ColdMS: 1000 * k.ColdS.draw(rng), Slot: len(p.Servers),
	}
	for z := range p.File.Zones {
		d := p.File.Network.LocalMS
		if z != zone {
			d = p.File.Network.CrossMS
		}
		s.Delay = append(s.Delay, d.draw(rng))
	}
	p.Servers = append(p.Servers, s)
	return &p.Servers[len(p.Servers)-1]
}

func (p *Plan) drawSidecars() {
	rng := p.rng(streamSidecars)
	n := p.File.Sidecars.Count.drawInt(rng)
	sum := 0.0
	for i := range n {
		w := math.Pow(float64(i+1), -p.File.Sidecars.Skew)
		sum += w
		p.Sidecars = append(p.Sidecars, SidecarPlan{
			Name: fmt.Sprintf("n%d", i), Weight: w, Seed: rng.Uint64(), Notice: p.File.Discovery.NoticeMS.draw(rng),
		})
	}
	// Zones are dealt after the weights, so that the largest are not all in the first zone.
	for i, z := range rng.Perm(n) {
		p.Sidecars[i].Zone = z % len(p.File.Zones)
		p.Sidecars[i].Weight /= sum
	}
}

// roll replaces servers in steps: each step's new servers are born, the old ones drain and go.
func (p *Plan) roll(f *Fault, steps int, reuse bool, rng *rand.Rand) {
	n := len(f.Servers)
	steps = max(1, min(steps, n))
	length := f.End - f.At
	for i, old := range f.Servers {
		at := f.At + length*float64(i*steps/n)/float64(steps)
		p.Servers[old].Ends = at
		s := p.addServer(p.Servers[old].KindN, p.Servers[old].Zone, rng)
		s.Pod, s.Born = p.Servers[old].Pod, at
		if reuse { // it can only start where the old one has gone
			s.Slot, s.Born = p.Servers[old].Slot, at+p.GoneAfter()+reuseGap
		}
	}
}

// reuseGap is the time in ms between the end of a server and the start of another at its address.
const reuseGap = 200

// GoneAfter is how long in ms a server that is told to end serves on: a change reaches every sidecar, and the
// grace and the longest deadline pass.
func (p *Plan) GoneAfter() float64 {
	longest := 0.0
	for i := range p.File.Classes {
		longest = max(longest, p.File.Classes[i].DeadlineMS)
	}
	return p.File.Discovery.NoticeMS.Most + p.File.Rules.DrainGraceMS + longest
}

// staggered makes a fault of several steps into one for each.
func staggered(f Fault, steps int) []Fault {
	var out []Fault
	all := f.Servers
	of := func(g *Fault) *[]int { return &g.Servers }
	if len(f.Sidecars) > 0 {
		all = f.Sidecars
		of = func(g *Fault) *[]int { return &g.Sidecars }
	}
	steps = max(1, min(steps, len(all)))
	for s := range steps {
		g := f
		*of(&g) = all[s*len(all)/steps : (s+1)*len(all)/steps]
		g.At = f.At + (f.End-f.At)*float64(s)/float64(steps)*btof(f.End > 0)
		g.End = 0
		out = append(out, g)
	}
	return out
}

func btof(b bool) float64 { return float64(btoi(b)) }

// standing are the servers that are there from the start.
func (p *Plan) standing() []int {
	var out []int
	for i := range p.Servers {
		if p.Servers[i].Born == 0 {
			out = append(out, i)
		}
	}
	return out
}

func (p *Plan) matchServers(t target) []int {
	var out []int
	for _, i := range p.standing() {
		s := &p.Servers[i]
		if (t.zone < 0 || s.Zone == t.zone) && (t.kind == "" || s.Kind.Kind == t.kind) && (t.first < 0 || i >= t.first && i <= t.last) {
			out = append(out, i)
		}
	}
	return out
}

func (p *Plan) matchSidecars(t target) []int {
	var out []int
	for i := range p.Sidecars {
		if (t.zone < 0 || p.Sidecars[i].Zone == t.zone) && (t.first < 0 || i >= t.first && i <= t.last) {
			out = append(out, i)
		}
	}
	return out
}

func (p *Plan) parties(text string) Parties {
	t, _ := parseTarget(text, p.File) // checked when the file was read
	out := Parties{Servers: map[int]bool{}, Sidecars: map[int]bool{}, Clients: t.clients, Discovery: t.discovery}
	if t.who&servers != 0 {
		for _, i := range p.matchServers(t) {
			out.Servers[i] = true
		}
	}
	if t.who&sidecars != 0 {
		for _, i := range p.matchSidecars(t) {
			out.Sidecars[i] = true
		}
	}
	return out
}

// Settings is the JSON object that sidecar n is told, in the form of the wire.
func (p *Plan) Settings(n int) []byte {
	f := p.File
	type m = map[string]any
	var classes []m
	for i := range f.Classes {
		k := &f.Classes[i]
		c := m{
			"name": k.Name, "effect": wireEffects[k.Effect], "on_time_ms": k.AimMS, "hard_limit_ms": k.DeadlineMS,
			"worth": k.Worth, "late_worth": 0.0, "stream": false,
		}
		if k.Effect == "keyed" {
			c["group"], c["window_ms"] = wireGroups[k.Group], k.WindowMS
		}
		classes = append(classes, c)
	}
	var kinds []string
	coldFrom, coldMS, idle, warm := 1.0, 0.0, math.Inf(1), false
	for i := range f.Servers {
		k := &f.Servers[i]
		kinds = append(kinds, k.Kind)
		coldFrom = min(coldFrom, k.ColdFrom)
		coldMS = max(coldMS, 1000*k.ColdS.Most)
		idle = min(idle, k.IdleCloseMS)
		warm = warm || k.WarmGain > 0
	}
	discovery := "automatic"
	if f.Discovery.Mode == "subscribe" {
		discovery = "subscribe"
	}
	out, err := json.Marshal(m{
		"classes": classes, "clients": m{"marks_retry": true}, "discovery": discovery,
		"family_info": m{"warm_keys": warm}, "kinds": kinds, "zones": f.Zones, "zone": p.Sidecars[n].Zone,
		"my_number": n, "peers_total": len(p.Sidecars), "quantum_ms": quantumMS, "tenants": []string{},
		"report": m{"fields": []string{}, "via": "silent"}, "over_share_worth": 1.0,
		"result_mix": m{"whole": 1.0}, "value_by": "request", "weights": "silent",
		"limits": m{
			"cancel": f.Limits.Cancel, "conn_idle_ms": idle, "connect_timeout_ms": f.Limits.ConnectMS,
			"max_attempts": f.Limits.MaxAttempts, "max_retry_after_ms": f.Limits.MaxRetryAfterMS,
			"may_tell": f.Limits.MayTell, "parallel_tries": false, "probes": f.Limits.Probes,
			"retry_after": f.Limits.RetryAfter, "streams_per_conn": 1,
		},
		"rules": m{
			"answer_slack_ms": f.Rules.AnswerSlackMS, "ask_within_ms": f.Rules.AskWithinMS, "cold_from": coldFrom,
			"cold_ms": coldMS, "drain_grace_ms": f.Rules.DrainGraceMS, "fall_ms": f.Rules.FallMS,
			"fall_multiple": f.Rules.FallMultiple,
		},
		"penalties": m{
			"cross_zone": f.Prices.CrossZone, "waste": f.Prices.Waste, "handshake": f.Prices.Handshake,
			"probe": f.Prices.Probe, "peer": f.Prices.Peer, "late_fail": f.Prices.LateFail,
		},
	})
	if err != nil {
		panic(err) // all of it is plain figures and names
	}
	return out
}

// quantumMS is the tick of the virtual clock and the least time between two timers of a live sidecar.
const quantumMS = 2

// Quantum is the tick of the virtual clock in ms.
func (p *Plan) Quantum() float64 { return quantumMS }

var wireEffects = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
var wireGroups = map[string]string{"all": "all", "zone": "zone", "pod": "cell"}

// Config is the module's configuration for sidecar n, read from the same settings that a real one gets. The
// seed is of its life'th start.
func (p *Plan) Config(n, life int) (balance.Config, error) {
	return wire.ParseSettings(p.LifeSeed(n, life), p.Settings(n))
}

// LifeSeed is the seed of a sidecar's life'th start.
func (p *Plan) LifeSeed(n, life int) uint64 {
	return hash(p.Sidecars[n].Seed, uint64(life))
}

// hash mixes numbers into one; the lab's chances that must not depend on the order of events come from it.
func hash(parts ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, p := range parts {
		h ^= p
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// chance is an even draw from 0 to 1 that follows from its parts alone.
func chance(parts ...uint64) float64 { return float64(hash(parts...)>>11) / (1 << 53) }
