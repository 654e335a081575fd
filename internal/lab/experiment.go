// Package lab is the project's own emulator of the fleets that it serves: clients, servers, discovery and the
// network between them, with scheduled faults and a judge. This package is its pure part: the experiment as
// written (File) and as drawn from its seed (Plan), the model of a server, the clients, the judge and the
// measurements. It has no sockets and no clock; times are milliseconds from the start of the run. Package sim
// plays a Plan on a virtual clock, package live with real processes.
package lab

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"milldeck/internal/config"
)

// Range is a number or a pair [least, most] from which the seed draws one, evenly.
type Range struct{ Min, Max float64 }

// fixedRange is the range of one number.
func fixedRange(v float64) Range { return Range{v, v} }

// UnmarshalTOML reads a number or an array of two.
func (r *Range) UnmarshalTOML(data []byte) error {
	text := strings.TrimSpace(string(data))
	parts := []string{text}
	if inner, ok := strings.CutPrefix(text, "["); ok {
		parts = strings.Split(strings.TrimSuffix(inner, "]"), ",")
	}
	var values []float64
	for _, part := range parts {
		value, err := strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(part), "_", ""), 64)
		if err != nil {
			return fmt.Errorf("%s is no number and no pair [least, most]", text)
		}
		values = append(values, value)
	}
	if len(values) > 2 || values[0] > values[len(values)-1] || math.IsNaN(values[0]+values[len(values)-1]) || math.IsInf(values[0]+values[len(values)-1], 0) {
		return fmt.Errorf("%s is no pair [least, most]", text)
	}
	r.Min, r.Max = values[0], values[len(values)-1]
	return nil
}

// Experiment is an experiment as written. Durations carry their unit in the key. All that is left out has the default
// that defaults gives; settings that sidecars are told are those of PROTOCOL.
type Experiment struct {
	Name      string   `toml:"name"`
	Seed      uint64   `toml:"seed"`
	DurationS float64  `toml:"duration_s"` // of the load; the run ends once all is answered
	Zones     []string `toml:"zones"`

	Network      NetworkSpec       `toml:"network"`
	Discovery    DiscoverySpec     `toml:"discovery"`
	Sidecars     SidecarSpec       `toml:"sidecars"`
	Limits       LimitsSpec        `toml:"limits"`
	Rules        RulesSpec         `toml:"rules"`
	Costs        CostSpec          `toml:"prices"`
	Clients      ClientSpec        `toml:"clients"`
	Servers      []ServerSpec      `toml:"server"`
	Classes      []ClassSpec       `toml:"class"`
	Phases       []PhaseSpec       `toml:"phase"`
	Faults       []FaultSpec       `toml:"fault"`
	HotKeys      *HotKeySpec       `toml:"spread"`  // nil: no figures of hot keys, and nobody spreads them in sim
	ControlPlane *ControlPlaneSpec `toml:"control"` // nil: there is no control plane
}

// NetworkSpec holds one-way delays.
type NetworkSpec struct {
	LocalMS     Range   `toml:"local_ms"` // within a zone
	CrossZoneMS Range   `toml:"cross_ms"` // between zones
	Jitter      float64 `toml:"jitter"`   // a delay varies by this part of itself, evenly
}

// DiscoverySpec says how sidecars learn of servers.
type DiscoverySpec struct {
	Source             string `toml:"source"`    // "lab": its stand-in; "registry": the project's own list service, with agents
	LeaseMS            int64  `toml:"lease_ms"`  // registry: of servers
	Mode               string `toml:"mode"`      // "push" or "subscribe"
	PropagationMS      Range  `toml:"notice_ms"` // from a change to each sidecar's hearing of it
	FailureDetectionMS Range  `toml:"silent_ms"` // from a server's silence to its being listed as gone
}

// SidecarSpec describes the sidecars and their share of the traffic.
type SidecarSpec struct {
	Count    Range   `toml:"count"`
	Skew     float64 `toml:"skew"` // the n-th sidecar's share is proportional to 1/n^skew; 0: all alike
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Cores    float64 `toml:"cores"`
}

// LimitsSpec is what the site permits; see the settings of the wire.
type LimitsSpec struct {
	MaxAttempts       int     `toml:"max_attempts"`
	ConnectTimeoutMS  float64 `toml:"connect_timeout_ms"`
	AllowHealthChecks bool    `toml:"probes"`
	AllowGossip       bool    `toml:"may_tell"`
	AllowCancel       bool    `toml:"cancel"`
	AllowRetryAfter   bool    `toml:"retry_after"`
	MaxRetryAfterMS   float64 `toml:"max_retry_after_ms"`
}

// RulesSpec holds the figures of the rules.
type RulesSpec struct {
	DrainGraceMS     float64 `toml:"drain_grace_ms"`
	AnswerSlackMS    float64 `toml:"answer_slack_ms"`
	OverloadMultiple float64 `toml:"fall_multiple"`
	OverloadWindowMS float64 `toml:"fall_ms"`
	PollWithinMS     float64 `toml:"ask_within_ms"`
}

// CostSpec is what the settings say that things cost; the lab only tells them to sidecars.
type CostSpec struct {
	CrossZone   float64 `toml:"cross_zone"`
	WastedWork  float64 `toml:"waste"`
	Handshake   float64 `toml:"handshake"`
	HealthCheck float64 `toml:"probe"`
	PeerMessage float64 `toml:"peer"`
	LateFailure float64 `toml:"late_fail"`
}

// ClientSpec says how clients behave.
type ClientSpec struct {
	Retries               int     `toml:"retries"`   // tries after the first
	RetryBackoffMS        Range   `toml:"wait_ms"`   // before the first retry; doubled before each further one
	AttemptTimeoutShare   Range   `toml:"give_up"`   // part of the class's deadline that one try waits
	DisconnectShare       float64 `toml:"leave"`     // part of the clients that go away early
	HonourRetryAfterShare float64 `toml:"honour"`    // part of the clients that heed Retry-After
	Keys                  int     `toml:"keys"`      // distinct keys; 0: requests carry none
	KeySkew               float64 `toml:"key_skew"`  // the n-th key's share is proportional to 1/n^key_skew
	WorkEstimateError     float64 `toml:"hint_part"` // the hint of the work is off by up to this part of it
}

// ServerSpec describes servers that are alike.
type ServerSpec struct {
	Kind        string `toml:"kind"`
	Count       Range  `toml:"count"` // spread over the zones in turn
	Cores       int    `toml:"cores"`
	Speed       Range  `toml:"speed"`    // of a core; 1 is the standard one
	QueueLength int    `toml:"queue"`    // requests that may wait
	CellSize    int    `toml:"pod_size"` // servers that share the memory of what they have done (group "pod")

	SlowStartFrom float64 `toml:"cold_from"` // part of its capacity at the start
	SlowStartS    Range   `toml:"cold_s"`    // until it is warm; the capacity grows evenly

	CongestionQueuePerCore float64 `toml:"choke_at"`      // requests waiting per core at which it slows down; 0: never
	CongestionAfterMS      float64 `toml:"choke_for_ms"`  // ... after so long
	CongestionSlowdown     float64 `toml:"choke_slower"`  // by this factor
	CongestionIdleMS       float64 `toml:"choke_idle_ms"` // until so long no more than half of its cores are busy
	CongestionMaxMS        float64 `toml:"choke_most_ms"` // or for so long

	CacheGain  float64 `toml:"warm_gain"` // part of the work spared by a key met lately; 0: keys do not matter
	CacheTTLMS float64 `toml:"warm_ms"`   // how long ago "lately" is
	CacheKeys  int     `toml:"warm_keys"` // how many keys it remembers

	MaxConnections int     `toml:"connections"` // at most
	IdleCloseMS    float64 `toml:"idle_close_ms"`
	HandshakeMS    float64 `toml:"handshake_ms"` // work for a new connection
	ErrorRate      float64 `toml:"error_rate"`
}

// ClassSpec is one class of requests.
type ClassSpec struct {
	Name                string  `toml:"name"`
	Share               float64 `toml:"share"`
	WorkMS              Range   `toml:"work_ms"` // each request draws its own
	LatencyObjectiveMS  float64 `toml:"aim_ms"`
	DeadlineMS          float64 `toml:"deadline_ms"`
	PriorityWeight      float64 `toml:"worth"`
	Idempotency         string  `toml:"effect"`    // "safe", "keyed" or "unsafe"
	DeduplicationScope  string  `toml:"group"`     // of "keyed": "all", "zone" or "pod"
	IdempotencyWindowMS float64 `toml:"window_ms"` // how long a group remembers
}

// PhaseSpec is a stretch of load. The last one lasts to the end.
type PhaseSpec struct {
	Kind      string  `toml:"kind"` // "steady", "ramp" (to another rate), "burst" (times the rate), "shift" (to a zone), "hot" (one key)
	DurationS float64 `toml:"for_s"`
	Rate      float64 `toml:"rate"` // requests a second over the fleet; 0: as before
	EndRate   float64 `toml:"to"`   // ramp: the rate at its end
	Factor    float64 `toml:"by"`   // burst: factor
	Zone      string  `toml:"zone"` // shift: where the traffic goes
	Share     float64 `toml:"part"` // shift: part of the other zones' traffic that goes there at its end; hot: of all requests

	KeyChangeS float64 `toml:"every_s"` // hot: after so long another key is hot; 0: one
}

// FaultSpec is one fault. Which fields a kind wants is said at its entry in requirementsByFault.
type FaultSpec struct {
	Kind           string   `toml:"kind"`
	AtS            float64  `toml:"at_s"`
	DurationS      float64  `toml:"for_s"`
	Target         string   `toml:"target"`
	Between        []string `toml:"between"`
	Direction      string   `toml:"direction"` // "both" (default), "there" or "back"
	Share          float64  `toml:"share"`     // of the targets, drawn from the seed; 0: all
	Probability    float64  `toml:"part"`      // of the requests, by chance
	Factor         float64  `toml:"by"`        // factor
	DelayMS        float64  `toml:"ms"`
	Steps          int      `toml:"steps"`
	ReuseAddresses bool     `toml:"reuse"` // roll: new servers take the addresses of those that went
	Misbehaviour   string   `toml:"what"`  // platform: what it does
	Operation      string   `toml:"on"`    // platform: the calls that it is about, "do" or "list"; "": both
	CallCount      int      `toml:"count"` // platform: how many calls; 0: all for DurationS, or one
}

// Load reads an experiment. Errors name file, line and key.
func Load(path string) (*Experiment, error) {
	f := defaultExperiment()
	c, err := config.Load(path, f)
	if err != nil {
		return nil, err
	}
	return f, f.validate(c)
}

// Parse is Load for bytes at hand.
func Parse(path string, data []byte) (*Experiment, error) {
	f := defaultExperiment()
	c, err := config.Parse(path, data, f)
	if err != nil {
		return nil, err
	}
	return f, f.validate(c)
}

func defaultExperiment() *Experiment {
	return &Experiment{
		Seed: 1, Zones: []string{"a"},
		Network:   NetworkSpec{LocalMS: fixedRange(0.2), CrossZoneMS: fixedRange(1.5), Jitter: 0.2},
		Discovery: DiscoverySpec{Source: "lab", LeaseMS: 3000, Mode: "push", PropagationMS: Range{200, 800}, FailureDetectionMS: Range{4000, 6000}},
		Sidecars:  SidecarSpec{Count: fixedRange(3), MemoryMB: 128, Sockets: 1024, Cores: 1},
		Limits: LimitsSpec{MaxAttempts: 3, ConnectTimeoutMS: 250, AllowHealthChecks: true, AllowCancel: true, AllowRetryAfter: true,
			MaxRetryAfterMS: 2000},
		Rules:   RulesSpec{DrainGraceMS: 750, AnswerSlackMS: 20, OverloadMultiple: 4, OverloadWindowMS: 2000, PollWithinMS: 10000},
		Costs:   CostSpec{CrossZone: 0.01, WastedWork: 0.1, HealthCheck: 0.002, PeerMessage: 0.06, LateFailure: 0.035},
		Clients: ClientSpec{AttemptTimeoutShare: fixedRange(1), Keys: 0, KeySkew: 0.7},
	}
}

// Default figures of a kind of servers, where the file gives none: a small machine of today.
const (
	defaultCores       = 4
	defaultQueue       = 64
	defaultConnections = 1000
	defaultIdleCloseMS = 15000
	defaultCellSize    = 8
)

// Bounds of what one experiment may ask for: beyond them it is a slip of the pen, or no machine plays it.
const (
	maxSidecars  = 5000
	maxServers   = 5000
	maxRate      = 1e6 // requests a second
	maxDurationS = 24 * 3600
	maxClasses   = 64
	maxZones     = 64
)

// validate refuses what cannot be, with the line and the key, and fills in what depends on other figures.
func (f *Experiment) validate(c *config.File) error {
	var errs []error
	bad := func(key, format string, args ...any) { errs = append(errs, c.Errorf(key, format, args...)) }
	inside := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "%v is not within %v to %v", v, least, most)
		}
	}
	within := func(key string, r Range, least, most float64) {
		if !(r.Min >= least && r.Max <= most) {
			bad(key, "[%v, %v] is not within %v to %v", r.Min, r.Max, least, most)
		}
	}
	if f.Name == "" {
		bad("name", "an experiment needs a name")
	}
	inside("duration_s", f.DurationS, 1, maxDurationS)
	f.validateZones(bad)
	within("network.local_ms", f.Network.LocalMS, 0, 1e4)
	within("network.cross_ms", f.Network.CrossZoneMS, 0, 1e4)
	inside("network.jitter", f.Network.Jitter, 0, 1)
	if m := f.Discovery.Mode; m != "push" && m != "subscribe" {
		bad("discovery.mode", "%q is not push or subscribe", m)
	}
	if src := f.Discovery.Source; src != "lab" && src != "registry" {
		bad("discovery.source", "%q is not lab or registry", src)
	}
	inside("discovery.lease_ms", float64(f.Discovery.LeaseMS), 100, 3.6e6)
	within("discovery.notice_ms", f.Discovery.PropagationMS, 0, 6e4)
	within("discovery.silent_ms", f.Discovery.FailureDetectionMS, 0, 6e5)
	within("sidecars.count", f.Sidecars.Count, 1, maxSidecars)
	inside("sidecars.skew", f.Sidecars.Skew, 0, 5)
	inside("sidecars.memory_mb", float64(f.Sidecars.MemoryMB), 16, 1<<20)
	inside("sidecars.sockets", float64(f.Sidecars.Sockets), 128, 1<<20)
	inside("sidecars.cores", f.Sidecars.Cores, 0.05, 1024)
	inside("limits.max_attempts", float64(f.Limits.MaxAttempts), 1, 100)
	inside("limits.connect_timeout_ms", f.Limits.ConnectTimeoutMS, 1, 6e4)
	inside("limits.max_retry_after_ms", f.Limits.MaxRetryAfterMS, 0, 6e5)
	for key, v := range map[string]float64{
		"rules.drain_grace_ms": f.Rules.DrainGraceMS, "rules.answer_slack_ms": f.Rules.AnswerSlackMS,
		"rules.fall_multiple": f.Rules.OverloadMultiple, "rules.fall_ms": f.Rules.OverloadWindowMS, "rules.ask_within_ms": f.Rules.PollWithinMS,
		"prices.cross_zone": f.Costs.CrossZone, "prices.waste": f.Costs.WastedWork, "prices.handshake": f.Costs.Handshake,
		"prices.probe": f.Costs.HealthCheck, "prices.peer": f.Costs.PeerMessage, "prices.late_fail": f.Costs.LateFailure,
	} {
		inside(key, v, 0, 1e6)
	}
	inside("clients.retries", float64(f.Clients.Retries), 0, 100)
	within("clients.wait_ms", f.Clients.RetryBackoffMS, 0, 6e4)
	within("clients.give_up", f.Clients.AttemptTimeoutShare, 0.01, 1)
	inside("clients.leave", f.Clients.DisconnectShare, 0, 1)
	inside("clients.honour", f.Clients.HonourRetryAfterShare, 0, 1)
	inside("clients.keys", float64(f.Clients.Keys), 0, 1e7)
	inside("clients.key_skew", f.Clients.KeySkew, 0, 5)
	inside("clients.hint_part", f.Clients.WorkEstimateError, 0, 1)
	f.validateServers(bad, inside, within)
	f.validateClasses(bad, inside, within)
	f.validatePhases(bad, inside)
	f.validateHotKeys(bad, inside, within)
	f.validateControlPlane(bad, inside)
	for i := range f.Faults {
		f.Faults[i].validate(f, fmt.Sprintf("fault[%d]", i), bad)
	}
	if len(errs) > 0 {
		return errs[0] // one clear line
	}
	return nil
}

// ValidateServer is the part of an experiment's check that is about servers, for one kind in a file of its own, under the
// key "kind", with its classes.
func (f *Experiment) ValidateServer(c *config.File) error {
	var first error
	bad := func(key, format string, args ...any) {
		if first == nil {
			first = c.Errorf(strings.Replace(key, "server[0]", "kind", 1), format, args...)
		}
	}
	inside := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "%v is not within %v to %v", v, least, most)
		}
	}
	f.validateServers(bad, inside, func(key string, r Range, least, most float64) {
		inside(key, r.Min, least, most)
		inside(key, r.Max, least, most)
	})
	f.validateClasses(bad, inside, func(key string, r Range, least, most float64) {
		inside(key, r.Min, least, most)
		inside(key, r.Max, least, most)
	})
	return first
}

type reportFunc func(key, format string, args ...any)

func (f *Experiment) validateZones(bad reportFunc) {
	seen := map[string]bool{}
	for _, z := range f.Zones {
		if z == "" || seen[z] {
			bad("zones", "%q is empty or stands twice", z)
		}
		seen[z] = true
	}
	if len(f.Zones) == 0 || len(f.Zones) > maxZones {
		bad("zones", "%d zones, wanted 1 to %d", len(f.Zones), maxZones)
	}
}

func (f *Experiment) validateServers(bad reportFunc, inside func(string, float64, float64, float64), within func(string, Range, float64, float64)) {
	if len(f.Servers) == 0 {
		bad("server", "no kind of servers")
	}
	seen := map[string]bool{}
	for i := range f.Servers {
		k, at := &f.Servers[i], fmt.Sprintf("server[%d].", i)
		if k.Kind == "" || seen[k.Kind] {
			bad(at+"kind", "%q is empty or stands twice", k.Kind)
		}
		seen[k.Kind] = true
		if k.Cores == 0 {
			k.Cores = defaultCores
		}
		if k.QueueLength == 0 {
			k.QueueLength = defaultQueue
		}
		if k.MaxConnections == 0 {
			k.MaxConnections = defaultConnections
		}
		if k.IdleCloseMS == 0 {
			k.IdleCloseMS = defaultIdleCloseMS
		}
		if k.CellSize == 0 {
			k.CellSize = defaultCellSize
		}
		if k.Speed == (Range{}) {
			k.Speed = fixedRange(1)
		}
		if k.SlowStartFrom == 0 {
			k.SlowStartFrom = 1
		}
		if k.CongestionSlowdown == 0 {
			k.CongestionSlowdown = 1
		}
		within(at+"count", k.Count, 1, maxServers)
		inside(at+"cores", float64(k.Cores), 1, 1024)
		within(at+"speed", k.Speed, 0.01, 100)
		inside(at+"queue", float64(k.QueueLength), 1, 1e6)
		inside(at+"pod_size", float64(k.CellSize), 1, maxServers)
		inside(at+"cold_from", k.SlowStartFrom, 0.01, 1)
		within(at+"cold_s", k.SlowStartS, 0, 3600)
		inside(at+"choke_at", k.CongestionQueuePerCore, 0, 1e6)
		inside(at+"choke_slower", k.CongestionSlowdown, 1, 1000)
		for key, v := range map[string]float64{
			"choke_for_ms": k.CongestionAfterMS, "choke_idle_ms": k.CongestionIdleMS, "choke_most_ms": k.CongestionMaxMS,
			"warm_ms": k.CacheTTLMS, "idle_close_ms": k.IdleCloseMS, "handshake_ms": k.HandshakeMS,
		} {
			inside(at+key, v, 0, 3.6e6)
		}
		inside(at+"warm_gain", k.CacheGain, 0, 0.99)
		inside(at+"warm_keys", float64(k.CacheKeys), 0, 1e7)
		inside(at+"connections", float64(k.MaxConnections), 1, 1e6)
		inside(at+"error_rate", k.ErrorRate, 0, 1)
	}
}

func (f *Experiment) validateClasses(bad reportFunc, inside func(string, float64, float64, float64), within func(string, Range, float64, float64)) {
	if len(f.Classes) == 0 || len(f.Classes) > maxClasses {
		bad("class", "%d classes, wanted 1 to %d", len(f.Classes), maxClasses)
	}
	seen := map[string]bool{}
	for i := range f.Classes {
		k, at := &f.Classes[i], fmt.Sprintf("class[%d].", i)
		if k.Name == "" || seen[k.Name] {
			bad(at+"name", "%q is empty or stands twice", k.Name)
		}
		seen[k.Name] = true
		if k.Share == 0 {
			k.Share = 1
		}
		if k.PriorityWeight == 0 {
			k.PriorityWeight = 1
		}
		if k.DeduplicationScope == "" {
			k.DeduplicationScope = "all"
		}
		inside(at+"share", k.Share, 0, 1e6)
		within(at+"work_ms", k.WorkMS, 0.001, 1e6)
		inside(at+"aim_ms", k.LatencyObjectiveMS, 1, 3.6e6)
		inside(at+"deadline_ms", k.DeadlineMS, 1, 3.6e6)
		inside(at+"worth", k.PriorityWeight, 0, 1e6)
		inside(at+"window_ms", k.IdempotencyWindowMS, 0, 3.6e6)
		if k.LatencyObjectiveMS > k.DeadlineMS {
			bad(at+"aim_ms", "%v is beyond the deadline of %v", k.LatencyObjectiveMS, k.DeadlineMS)
		}
		if k.Idempotency != "safe" && k.Idempotency != "keyed" && k.Idempotency != "unsafe" {
			bad(at+"effect", "%q is not safe, keyed or unsafe", k.Idempotency)
		}
		if k.DeduplicationScope != "all" && k.DeduplicationScope != "zone" && k.DeduplicationScope != "pod" {
			bad(at+"group", "%q is not all, zone or pod", k.DeduplicationScope)
		}
		if k.Idempotency == "keyed" && k.IdempotencyWindowMS == 0 {
			bad(at+"window_ms", "a keyed class needs one")
		}
	}
}

func (f *Experiment) validatePhases(bad reportFunc, inside func(string, float64, float64, float64)) {
	if len(f.Phases) == 0 {
		bad("phase", "no phase of load")
	}
	sum := 0.0
	for i := range f.Phases {
		p, at := &f.Phases[i], fmt.Sprintf("phase[%d].", i)
		if p.Kind == "" {
			p.Kind = "steady"
		}
		inside(at+"rate", p.Rate, 0, maxRate)
		inside(at+"to", p.EndRate, 0, maxRate)
		if i == 0 && p.Rate == 0 {
			bad(at+"rate", "the first phase needs a rate")
		}
		if i < len(f.Phases)-1 {
			inside(at+"for_s", p.DurationS, 0.001, maxDurationS)
		}
		sum += p.DurationS
		switch p.Kind {
		case "steady":
		case "hot":
			inside(at+"part", p.Share, 0.001, 1)
			inside(at+"every_s", p.KeyChangeS, 0, maxDurationS)
		case "ramp":
			if p.EndRate == 0 {
				bad(at+"to", "a ramp needs the rate that it goes to")
			}
		case "burst":
			inside(at+"by", p.Factor, 0.01, 1000)
		case "shift":
			inside(at+"part", p.Share, 0, 1)
			if f.zoneIndex(p.Zone) < 0 {
				bad(at+"zone", "unknown zone %q", p.Zone)
			}
		default:
			bad(at+"kind", "%q is not steady, ramp, burst, shift or hot", p.Kind)
		}
	}
	if sum > f.DurationS {
		bad("phase", "the phases last %v s, the experiment %v s", sum, f.DurationS)
	}
}

// zoneIndex is the number of a zone, -1 if there is none of this name.
func (f *Experiment) zoneIndex(name string) int {
	for i, z := range f.Zones {
		if z == name {
			return i
		}
	}
	return -1
}
