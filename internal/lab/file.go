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
type Range struct{ Least, Most float64 }

// fixed is the range of one number.
func fixed(v float64) Range { return Range{v, v} }

// UnmarshalTOML reads a number or an array of two.
func (r *Range) UnmarshalTOML(data []byte) error {
	text := strings.TrimSpace(string(data))
	parts := []string{text}
	if inner, is := strings.CutPrefix(text, "["); is {
		parts = strings.Split(strings.TrimSuffix(inner, "]"), ",")
	}
	var v []float64
	for _, p := range parts {
		x, err := strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(p), "_", ""), 64)
		if err != nil {
			return fmt.Errorf("%s is no number and no pair [least, most]", text)
		}
		v = append(v, x)
	}
	if len(v) > 2 || v[0] > v[len(v)-1] || math.IsNaN(v[0]+v[len(v)-1]) || math.IsInf(v[0]+v[len(v)-1], 0) {
		return fmt.Errorf("%s is no pair [least, most]", text)
	}
	r.Least, r.Most = v[0], v[len(v)-1]
	return nil
}

// File is an experiment as written. Durations carry their unit in the key. All that is left out has the default
// that defaults gives; settings that sidecars are told are those of PROTOCOL.
type File struct {
	Name      string   `toml:"name"`
	Seed      uint64   `toml:"seed"`
	DurationS float64  `toml:"duration_s"` // of the load; the run ends once all is answered
	Zones     []string `toml:"zones"`

	Network   NetworkFile   `toml:"network"`
	Discovery DiscoveryFile `toml:"discovery"`
	Sidecars  SidecarsFile  `toml:"sidecars"`
	Limits    LimitsFile    `toml:"limits"`
	Rules     RulesFile     `toml:"rules"`
	Prices    PricesFile    `toml:"prices"`
	Clients   ClientsFile   `toml:"clients"`
	Servers   []KindFile    `toml:"server"`
	Classes   []ClassFile   `toml:"class"`
	Phases    []PhaseFile   `toml:"phase"`
	Faults    []FaultFile   `toml:"fault"`
	Spread    *SpreaderFile `toml:"spread"`  // nil: no figures of hot keys, and nobody spreads them in sim
	Control   *ControlFile  `toml:"control"` // nil: there is no control plane
}

// NetworkFile holds one-way delays.
type NetworkFile struct {
	LocalMS Range   `toml:"local_ms"` // within a zone
	CrossMS Range   `toml:"cross_ms"` // between zones
	Jitter  float64 `toml:"jitter"`   // a delay varies by this part of itself, evenly
}

// DiscoveryFile says how sidecars learn of servers.
type DiscoveryFile struct {
	Source   string `toml:"source"`    // "lab": its stand-in; "registry": the project's own list service, with agents
	LeaseMS  int64  `toml:"lease_ms"`  // registry: of servers
	Mode     string `toml:"mode"`      // "push" or "subscribe"
	NoticeMS Range  `toml:"notice_ms"` // from a change to each sidecar's hearing of it
	SilentMS Range  `toml:"silent_ms"` // from a server's silence to its being listed as gone
}

// SidecarsFile describes the sidecars and their share of the traffic.
type SidecarsFile struct {
	Count    Range   `toml:"count"`
	Skew     float64 `toml:"skew"` // the n-th sidecar's share is proportional to 1/n^skew; 0: all alike
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Cores    float64 `toml:"cores"`
}

// LimitsFile is what the site permits; see the settings of the wire.
type LimitsFile struct {
	MaxAttempts     int     `toml:"max_attempts"`
	ConnectMS       float64 `toml:"connect_timeout_ms"`
	Probes          bool    `toml:"probes"`
	MayTell         bool    `toml:"may_tell"`
	Cancel          bool    `toml:"cancel"`
	RetryAfter      bool    `toml:"retry_after"`
	MaxRetryAfterMS float64 `toml:"max_retry_after_ms"`
}

// RulesFile holds the figures of the rules.
type RulesFile struct {
	DrainGraceMS  float64 `toml:"drain_grace_ms"`
	AnswerSlackMS float64 `toml:"answer_slack_ms"`
	FallMultiple  float64 `toml:"fall_multiple"`
	FallMS        float64 `toml:"fall_ms"`
	AskWithinMS   float64 `toml:"ask_within_ms"`
}

// PricesFile is what the settings say that things cost; the lab only tells them to sidecars.
type PricesFile struct {
	CrossZone float64 `toml:"cross_zone"`
	Waste     float64 `toml:"waste"`
	Handshake float64 `toml:"handshake"`
	Probe     float64 `toml:"probe"`
	Peer      float64 `toml:"peer"`
	LateFail  float64 `toml:"late_fail"`
}

// ClientsFile says how clients behave.
type ClientsFile struct {
	Retries  int     `toml:"retries"`   // tries after the first
	WaitMS   Range   `toml:"wait_ms"`   // before the first retry; doubled before each further one
	GiveUp   Range   `toml:"give_up"`   // part of the class's deadline that one try waits
	Leave    float64 `toml:"leave"`     // part of the clients that go away early
	Honour   float64 `toml:"honour"`    // part of the clients that heed Retry-After
	Keys     int     `toml:"keys"`      // distinct keys; 0: requests carry none
	KeySkew  float64 `toml:"key_skew"`  // the n-th key's share is proportional to 1/n^key_skew
	HintPart float64 `toml:"hint_part"` // the hint of the work is off by up to this part of it
}

// KindFile describes servers that are alike.
type KindFile struct {
	Kind    string `toml:"kind"`
	Count   Range  `toml:"count"` // spread over the zones in turn
	Cores   int    `toml:"cores"`
	Speed   Range  `toml:"speed"`    // of a core; 1 is the standard one
	Queue   int    `toml:"queue"`    // requests that may wait
	PodSize int    `toml:"pod_size"` // servers that share the memory of what they have done (group "pod")

	ColdFrom float64 `toml:"cold_from"` // part of its capacity at the start
	ColdS    Range   `toml:"cold_s"`    // until it is warm; the capacity grows evenly

	ChokeAt     float64 `toml:"choke_at"`      // requests waiting per core at which it slows down; 0: never
	ChokeForMS  float64 `toml:"choke_for_ms"`  // ... after so long
	ChokeSlower float64 `toml:"choke_slower"`  // by this factor
	ChokeIdleMS float64 `toml:"choke_idle_ms"` // until so long no more than half of its cores are busy
	ChokeMostMS float64 `toml:"choke_most_ms"` // or for so long

	WarmGain float64 `toml:"warm_gain"` // part of the work spared by a key met lately; 0: keys do not matter
	WarmMS   float64 `toml:"warm_ms"`   // how long ago "lately" is
	WarmKeys int     `toml:"warm_keys"` // how many keys it remembers

	Connections int     `toml:"connections"` // at most
	IdleCloseMS float64 `toml:"idle_close_ms"`
	HandshakeMS float64 `toml:"handshake_ms"` // work for a new connection
	ErrorRate   float64 `toml:"error_rate"`
}

// ClassFile is one class of requests.
type ClassFile struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	WorkMS     Range   `toml:"work_ms"` // each request draws its own
	AimMS      float64 `toml:"aim_ms"`
	DeadlineMS float64 `toml:"deadline_ms"`
	Worth      float64 `toml:"worth"`
	Effect     string  `toml:"effect"`    // "safe", "keyed" or "unsafe"
	Group      string  `toml:"group"`     // of "keyed": "all", "zone" or "pod"
	WindowMS   float64 `toml:"window_ms"` // how long a group remembers
}

// PhaseFile is a stretch of load. The last one lasts to the end.
type PhaseFile struct {
	Kind string  `toml:"kind"` // "steady", "ramp" (to another rate), "burst" (times the rate), "shift" (to a zone), "hot" (one key)
	ForS float64 `toml:"for_s"`
	Rate float64 `toml:"rate"` // requests a second over the fleet; 0: as before
	To   float64 `toml:"to"`   // ramp: the rate at its end
	By   float64 `toml:"by"`   // burst: factor
	Zone string  `toml:"zone"` // shift: where the traffic goes
	Part float64 `toml:"part"` // shift: part of the other zones' traffic that goes there at its end; hot: of all requests

	EveryS float64 `toml:"every_s"` // hot: after so long another key is hot; 0: one
}

// FaultFile is one fault. Which fields a kind wants is said at its entry in faultKinds.
type FaultFile struct {
	Kind      string   `toml:"kind"`
	AtS       float64  `toml:"at_s"`
	ForS      float64  `toml:"for_s"`
	Target    string   `toml:"target"`
	Between   []string `toml:"between"`
	Direction string   `toml:"direction"` // "both" (default), "there" or "back"
	Share     float64  `toml:"share"`     // of the targets, drawn from the seed; 0: all
	Part      float64  `toml:"part"`      // of the requests, by chance
	By        float64  `toml:"by"`        // factor
	MS        float64  `toml:"ms"`
	Steps     int      `toml:"steps"`
	Reuse     bool     `toml:"reuse"` // roll: new servers take the addresses of those that went
	What      string   `toml:"what"`  // platform: what it does
	On        string   `toml:"on"`    // platform: the calls that it is about, "do" or "list"; "": both
	Count     int      `toml:"count"` // platform: how many calls; 0: all for ForS, or one
}

// Load reads an experiment. Errors name file, line and key.
func Load(path string) (*File, error) {
	f := defaults()
	c, err := config.Load(path, f)
	if err != nil {
		return nil, err
	}
	return f, f.check(c)
}

// Parse is Load for bytes at hand.
func Parse(path string, data []byte) (*File, error) {
	f := defaults()
	c, err := config.Parse(path, data, f)
	if err != nil {
		return nil, err
	}
	return f, f.check(c)
}

func defaults() *File {
	return &File{
		Seed: 1, Zones: []string{"a"},
		Network:   NetworkFile{LocalMS: fixed(0.2), CrossMS: fixed(1.5), Jitter: 0.2},
		Discovery: DiscoveryFile{Source: "lab", LeaseMS: 3000, Mode: "push", NoticeMS: Range{200, 800}, SilentMS: Range{4000, 6000}},
		Sidecars:  SidecarsFile{Count: fixed(3), MemoryMB: 128, Sockets: 1024, Cores: 1},
		Limits: LimitsFile{MaxAttempts: 3, ConnectMS: 250, Probes: true, Cancel: true, RetryAfter: true,
			MaxRetryAfterMS: 2000},
		Rules:   RulesFile{DrainGraceMS: 750, AnswerSlackMS: 20, FallMultiple: 4, FallMS: 2000, AskWithinMS: 10000},
		Prices:  PricesFile{CrossZone: 0.01, Waste: 0.1, Probe: 0.002, Peer: 0.06, LateFail: 0.035},
		Clients: ClientsFile{GiveUp: fixed(1), Keys: 0, KeySkew: 0.7},
	}
}

// Default figures of a kind of servers, where the file gives none: a small machine of today.
const (
	defaultCores       = 4
	defaultQueue       = 64
	defaultConnections = 1000
	defaultIdleMS      = 15000
	defaultPodSize     = 8
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

// check refuses what cannot be, with the line and the key, and fills in what depends on other figures.
func (f *File) check(c *config.File) error {
	var errs []error
	bad := func(key, format string, args ...any) { errs = append(errs, c.Errorf(key, format, args...)) }
	inside := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "%v is not within %v to %v", v, least, most)
		}
	}
	within := func(key string, r Range, least, most float64) {
		if !(r.Least >= least && r.Most <= most) {
			bad(key, "[%v, %v] is not within %v to %v", r.Least, r.Most, least, most)
		}
	}
	if f.Name == "" {
		bad("name", "an experiment needs a name")
	}
	inside("duration_s", f.DurationS, 1, maxDurationS)
	f.checkZones(bad)
	within("network.local_ms", f.Network.LocalMS, 0, 1e4)
	within("network.cross_ms", f.Network.CrossMS, 0, 1e4)
	inside("network.jitter", f.Network.Jitter, 0, 1)
	if m := f.Discovery.Mode; m != "push" && m != "subscribe" {
		bad("discovery.mode", "%q is not push or subscribe", m)
	}
	if src := f.Discovery.Source; src != "lab" && src != "registry" {
		bad("discovery.source", "%q is not lab or registry", src)
	}
	inside("discovery.lease_ms", float64(f.Discovery.LeaseMS), 100, 3.6e6)
	within("discovery.notice_ms", f.Discovery.NoticeMS, 0, 6e4)
	within("discovery.silent_ms", f.Discovery.SilentMS, 0, 6e5)
	within("sidecars.count", f.Sidecars.Count, 1, maxSidecars)
	inside("sidecars.skew", f.Sidecars.Skew, 0, 5)
	inside("sidecars.memory_mb", float64(f.Sidecars.MemoryMB), 16, 1<<20)
	inside("sidecars.sockets", float64(f.Sidecars.Sockets), 128, 1<<20)
	inside("sidecars.cores", f.Sidecars.Cores, 0.05, 1024)
	inside("limits.max_attempts", float64(f.Limits.MaxAttempts), 1, 100)
	inside("limits.connect_timeout_ms", f.Limits.ConnectMS, 1, 6e4)
	inside("limits.max_retry_after_ms", f.Limits.MaxRetryAfterMS, 0, 6e5)
	for key, v := range map[string]float64{
		"rules.drain_grace_ms": f.Rules.DrainGraceMS, "rules.answer_slack_ms": f.Rules.AnswerSlackMS,
		"rules.fall_multiple": f.Rules.FallMultiple, "rules.fall_ms": f.Rules.FallMS, "rules.ask_within_ms": f.Rules.AskWithinMS,
		"prices.cross_zone": f.Prices.CrossZone, "prices.waste": f.Prices.Waste, "prices.handshake": f.Prices.Handshake,
		"prices.probe": f.Prices.Probe, "prices.peer": f.Prices.Peer, "prices.late_fail": f.Prices.LateFail,
	} {
		inside(key, v, 0, 1e6)
	}
	inside("clients.retries", float64(f.Clients.Retries), 0, 100)
	within("clients.wait_ms", f.Clients.WaitMS, 0, 6e4)
	within("clients.give_up", f.Clients.GiveUp, 0.01, 1)
	inside("clients.leave", f.Clients.Leave, 0, 1)
	inside("clients.honour", f.Clients.Honour, 0, 1)
	inside("clients.keys", float64(f.Clients.Keys), 0, 1e7)
	inside("clients.key_skew", f.Clients.KeySkew, 0, 5)
	inside("clients.hint_part", f.Clients.HintPart, 0, 1)
	f.checkServers(bad, inside, within)
	f.checkClasses(bad, inside, within)
	f.checkPhases(bad, inside)
	f.checkSpread(bad, inside, within)
	f.checkControl(bad, inside)
	for i := range f.Faults {
		f.Faults[i].check(f, fmt.Sprintf("fault[%d]", i), bad)
	}
	if len(errs) > 0 {
		return errs[0] // one clear line
	}
	return nil
}

// CheckServer is the part of an experiment's check that is about servers, for one kind in a file of its own, under the
// key "kind", with its classes.
func (f *File) CheckServer(c *config.File) error {
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
	f.checkServers(bad, inside, func(key string, r Range, least, most float64) {
		inside(key, r.Least, least, most)
		inside(key, r.Most, least, most)
	})
	f.checkClasses(bad, inside, func(key string, r Range, least, most float64) {
		inside(key, r.Least, least, most)
		inside(key, r.Most, least, most)
	})
	return first
}

type badFunc func(key, format string, args ...any)

func (f *File) checkZones(bad badFunc) {
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

func (f *File) checkServers(bad badFunc, inside func(string, float64, float64, float64), within func(string, Range, float64, float64)) {
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
		if k.Queue == 0 {
			k.Queue = defaultQueue
		}
		if k.Connections == 0 {
			k.Connections = defaultConnections
		}
		if k.IdleCloseMS == 0 {
			k.IdleCloseMS = defaultIdleMS
		}
		if k.PodSize == 0 {
			k.PodSize = defaultPodSize
		}
		if k.Speed == (Range{}) {
			k.Speed = fixed(1)
		}
		if k.ColdFrom == 0 {
			k.ColdFrom = 1
		}
		if k.ChokeSlower == 0 {
			k.ChokeSlower = 1
		}
		within(at+"count", k.Count, 1, maxServers)
		inside(at+"cores", float64(k.Cores), 1, 1024)
		within(at+"speed", k.Speed, 0.01, 100)
		inside(at+"queue", float64(k.Queue), 1, 1e6)
		inside(at+"pod_size", float64(k.PodSize), 1, maxServers)
		inside(at+"cold_from", k.ColdFrom, 0.01, 1)
		within(at+"cold_s", k.ColdS, 0, 3600)
		inside(at+"choke_at", k.ChokeAt, 0, 1e6)
		inside(at+"choke_slower", k.ChokeSlower, 1, 1000)
		for key, v := range map[string]float64{
			"choke_for_ms": k.ChokeForMS, "choke_idle_ms": k.ChokeIdleMS, "choke_most_ms": k.ChokeMostMS,
			"warm_ms": k.WarmMS, "idle_close_ms": k.IdleCloseMS, "handshake_ms": k.HandshakeMS,
		} {
			inside(at+key, v, 0, 3.6e6)
		}
		inside(at+"warm_gain", k.WarmGain, 0, 0.99)
		inside(at+"warm_keys", float64(k.WarmKeys), 0, 1e7)
		inside(at+"connections", float64(k.Connections), 1, 1e6)
		inside(at+"error_rate", k.ErrorRate, 0, 1)
	}
}

func (f *File) checkClasses(bad badFunc, inside func(string, float64, float64, float64), within func(string, Range, float64, float64)) {
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
		if k.Worth == 0 {
			k.Worth = 1
		}
		if k.Group == "" {
			k.Group = "all"
		}
		inside(at+"share", k.Share, 0, 1e6)
		within(at+"work_ms", k.WorkMS, 0.001, 1e6)
		inside(at+"aim_ms", k.AimMS, 1, 3.6e6)
		inside(at+"deadline_ms", k.DeadlineMS, 1, 3.6e6)
		inside(at+"worth", k.Worth, 0, 1e6)
		inside(at+"window_ms", k.WindowMS, 0, 3.6e6)
		if k.AimMS > k.DeadlineMS {
			bad(at+"aim_ms", "%v is beyond the deadline of %v", k.AimMS, k.DeadlineMS)
		}
		if k.Effect != "safe" && k.Effect != "keyed" && k.Effect != "unsafe" {
			bad(at+"effect", "%q is not safe, keyed or unsafe", k.Effect)
		}
		if k.Group != "all" && k.Group != "zone" && k.Group != "pod" {
			bad(at+"group", "%q is not all, zone or pod", k.Group)
		}
		if k.Effect == "keyed" && k.WindowMS == 0 {
			bad(at+"window_ms", "a keyed class needs one")
		}
	}
}

func (f *File) checkPhases(bad badFunc, inside func(string, float64, float64, float64)) {
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
		inside(at+"to", p.To, 0, maxRate)
		if i == 0 && p.Rate == 0 {
			bad(at+"rate", "the first phase needs a rate")
		}
		if i < len(f.Phases)-1 {
			inside(at+"for_s", p.ForS, 0.001, maxDurationS)
		}
		sum += p.ForS
		switch p.Kind {
		case "steady":
		case "hot":
			inside(at+"part", p.Part, 0.001, 1)
			inside(at+"every_s", p.EveryS, 0, maxDurationS)
		case "ramp":
			if p.To == 0 {
				bad(at+"to", "a ramp needs the rate that it goes to")
			}
		case "burst":
			inside(at+"by", p.By, 0.01, 1000)
		case "shift":
			inside(at+"part", p.Part, 0, 1)
			if f.zone(p.Zone) < 0 {
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

// zone is the number of a zone, -1 if there is none of this name.
func (f *File) zone(name string) int {
	for i, z := range f.Zones {
		if z == name {
			return i
		}
	}
	return -1
}
