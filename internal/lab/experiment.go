// Package lab emulates the fleets that this project serves: clients, sidecars, servers, discovery and the network between
// them, with scheduled faults and checks of the rules that have to hold.
//
// This package is the part without sockets and clocks. It owns the experiment as written (Experiment) and as drawn from its
// seed (Plan), the model of a server (Server), the arrivals of requests (Arrivals), the rules (Checker, ControlPlaneChecker,
// HotKeyChecker) and the measurements (Recorder). Times are milliseconds since the start of the run.
//
// Other packages run a plan: package sim on a virtual clock, package live with real processes.
package lab

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"milldeck/internal/config"
)

// Range is a number, or a pair [least, most] from which the seed draws one number uniformly.
type Range struct{ Min, Max float64 }

// fixedRange is the range that holds a single number.
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
			return fmt.Errorf("%s is neither a number nor a pair [least, most]", text)
		}
		values = append(values, value)
	}
	first, last := values[0], values[len(values)-1]
	sum := first + last
	if len(values) > 2 || first > last || math.IsNaN(sum) || math.IsInf(sum, 0) {
		return fmt.Errorf("%s is not a pair [least, most] of finite numbers", text)
	}
	r.Min, r.Max = first, last
	return nil
}

// Experiment is an experiment as its file states it. Keys of durations end in their unit. Absent keys have the values of
// defaultExperiment. Plan.Settings derives the settings of sidecars from the experiment.
type Experiment struct {
	Name      string   `toml:"name"`
	Seed      uint64   `toml:"seed"`
	DurationS float64  `toml:"duration_s"` // of the load; the run ends once every request has ended
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
	HotKeys      *HotKeySpec       `toml:"spread"`  // nil: hot keys are not measured and, in a simulation, not replicated
	ControlPlane *ControlPlaneSpec `toml:"control"` // nil: the experiment runs without the control plane
}

// NetworkSpec has the one-way delays of the network.
type NetworkSpec struct {
	LocalMS     Range   `toml:"local_ms"` // delay within a zone
	CrossZoneMS Range   `toml:"cross_ms"` // delay between zones
	Jitter      float64 `toml:"jitter"`   // the share by which a delay varies, uniformly, in both directions
}

// Values of DiscoverySpec.Source and DiscoverySpec.Mode.
const (
	DiscoveryLab       = "lab"       // a stand-in for the registry
	DiscoveryRegistry  = "registry"  // this project's registry, with its agents
	DiscoveryPush      = "push"      // sidecars are notified without a subscription
	DiscoverySubscribe = "subscribe" // sidecars are notified once they watch the endpoint list
)

// DiscoverySpec states how sidecars discover servers.
type DiscoverySpec struct {
	Source             string `toml:"source"`    // DiscoveryLab or DiscoveryRegistry
	LeaseMS            int64  `toml:"lease_ms"`  // with the registry: the lease of a server
	Mode               string `toml:"mode"`      // DiscoveryPush or DiscoverySubscribe
	PropagationMS      Range  `toml:"notice_ms"` // delay from a change to its notification at each sidecar
	FailureDetectionMS Range  `toml:"silent_ms"` // delay from the failure of a server to its removal from the endpoint list
}

// SidecarSpec describes the sidecars and how the traffic is divided among them.
type SidecarSpec struct {
	Count    Range   `toml:"count"`
	Skew     float64 `toml:"skew"` // the n-th sidecar's share of the traffic is proportional to 1/n^skew; 0: equal shares
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Cores    float64 `toml:"cores"`
}

// LimitsSpec states what sidecars are allowed to do; see package wire.
type LimitsSpec struct {
	MaxAttempts       int     `toml:"max_attempts"`
	ConnectTimeoutMS  float64 `toml:"connect_timeout_ms"`
	AllowHealthChecks bool    `toml:"probes"`
	AllowGossip       bool    `toml:"may_tell"`
	AllowCancel       bool    `toml:"cancel"`
	AllowRetryAfter   bool    `toml:"retry_after"`
	MaxRetryAfterMS   float64 `toml:"max_retry_after_ms"`
}

// RulesSpec has the tolerances of the rules that sidecars are checked against.
type RulesSpec struct {
	DrainGraceMS     float64 `toml:"drain_grace_ms"`  // how long a sidecar may send to a server after the notification of its drain
	AnswerSlackMS    float64 `toml:"answer_slack_ms"` // how late the final response may be
	OverloadMultiple float64 `toml:"fall_multiple"`   // work that overloads a warming-up server, in multiples of its capacity
	OverloadWindowMS float64 `toml:"fall_ms"`         // window in which that work is counted
	PollWithinMS     float64 `toml:"ask_within_ms"`   // the longest interval between two polls of the endpoint list
}

// CostSpec has the costs in the settings of sidecars. The emulator itself does not use them.
type CostSpec struct {
	CrossZone   float64 `toml:"cross_zone"`
	WastedWork  float64 `toml:"waste"`
	Handshake   float64 `toml:"handshake"`
	HealthCheck float64 `toml:"probe"`
	PeerMessage float64 `toml:"peer"`
	LateFailure float64 `toml:"late_fail"`
}

// ClientSpec states how clients behave.
type ClientSpec struct {
	Retries               int     `toml:"retries"`   // client attempts after the first
	RetryBackoffMS        Range   `toml:"wait_ms"`   // delay before the first retry; doubled before each further retry
	AttemptTimeoutShare   Range   `toml:"give_up"`   // timeout of an attempt as a share of the class's deadline
	DisconnectShare       float64 `toml:"leave"`     // share of the clients that disconnect early
	HonourRetryAfterShare float64 `toml:"honour"`    // share of the clients that honour Retry-After
	Keys                  int     `toml:"keys"`      // distinct keys; 0: requests carry none
	KeySkew               float64 `toml:"key_skew"`  // the n-th key's share is proportional to 1/n^key_skew
	WorkEstimateError     float64 `toml:"hint_part"` // largest relative error of the work that a request announces
}

// ServerSpec describes the servers of one kind.
type ServerSpec struct {
	Kind        string `toml:"kind"`
	Count       Range  `toml:"count"` // assigned to the zones in turn
	Cores       int    `toml:"cores"`
	Speed       Range  `toml:"speed"`    // of a core; 1 is the speed of a standard core
	QueueLength int    `toml:"queue"`    // requests that can wait
	CellSize    int    `toml:"pod_size"` // servers that share their deduplication memory (group "pod")

	SlowStartFrom float64 `toml:"cold_from"` // share of its capacity that a server has at the beginning of its slow start
	SlowStartS    Range   `toml:"cold_s"`    // length of the slow start; the capacity grows linearly

	CongestionQueuePerCore float64 `toml:"choke_at"`      // queue per core beyond which the server gets congested; 0: never
	CongestionAfterMS      float64 `toml:"choke_for_ms"`  // how long the queue must exceed CongestionQueuePerCore first
	CongestionSlowdown     float64 `toml:"choke_slower"`  // factor by which a congested server is slower
	CongestionIdleMS       float64 `toml:"choke_idle_ms"` // congestion ends after at most half of the cores were busy for this long
	CongestionMaxMS        float64 `toml:"choke_most_ms"` // longest congestion, even without idle cores; 0: no limit

	CacheGain  float64 `toml:"warm_gain"` // share of the work that a cached key saves; 0: keys are not cached
	CacheTTLMS float64 `toml:"warm_ms"`   // how long a key stays cached after its last use
	CacheKeys  int     `toml:"warm_keys"` // keys that the cache can hold

	MaxConnections int     `toml:"connections"`
	IdleCloseMS    float64 `toml:"idle_close_ms"`
	HandshakeMS    float64 `toml:"handshake_ms"` // work of a new connection
	ErrorRate      float64 `toml:"error_rate"`
}

// Values of ClassSpec.Idempotency and ClassSpec.DeduplicationScope.
const (
	idempotencySafe   = "safe"   // executing a request twice does no harm
	idempotencyKeyed  = "keyed"  // servers recognise a repeat by its idempotency key
	idempotencyUnsafe = "unsafe" // executing a request twice does harm
	scopeAll          = "all"
	scopeZone         = "zone"
	scopePod          = "pod"
)

// ClassSpec describes a class of requests.
type ClassSpec struct {
	Name                string  `toml:"name"`
	Share               float64 `toml:"share"`
	WorkMS              Range   `toml:"work_ms"` // work of a request, drawn for each
	LatencyObjectiveMS  float64 `toml:"aim_ms"`
	DeadlineMS          float64 `toml:"deadline_ms"`
	PriorityWeight      float64 `toml:"worth"`
	Idempotency         string  `toml:"effect"`    // idempotencySafe, idempotencyKeyed or idempotencyUnsafe
	DeduplicationScope  string  `toml:"group"`     // keyed: the servers that recognise a repeat, scopeAll, scopeZone or scopePod
	IdempotencyWindowMS float64 `toml:"window_ms"` // keyed: how long servers recognise a repeat
}

// Kinds of phases.
const (
	PhaseSteady = "steady" // a constant rate
	PhaseRamp   = "ramp"   // the rate changes linearly to EndRate
	PhaseBurst  = "burst"  // the rate is multiplied by Factor
	PhaseShift  = "shift"  // traffic of other zones moves to Zone
	PhaseHot    = "hot"    // one key has a Share of all requests
)

// PhaseSpec is a period of load. The last phase lasts to the end of the run.
type PhaseSpec struct {
	Kind      string  `toml:"kind"` // PhaseSteady (default) or another kind of phase
	DurationS float64 `toml:"for_s"`
	Rate      float64 `toml:"rate"` // requests a second of the fleet; 0: as in the phase before
	EndRate   float64 `toml:"to"`   // ramp: the rate at the end of the phase
	Factor    float64 `toml:"by"`   // burst: multiple of the rate
	Zone      string  `toml:"zone"` // shift: the zone that traffic moves to
	Share     float64 `toml:"part"` // shift: share of other zones' traffic moved by the end; hot: the hot key's share of all requests

	KeyChangeS float64 `toml:"every_s"` // hot: interval after which another key becomes hot; 0: one key throughout
}

// FaultSpec is a scheduled fault. The fields that a kind needs are stated at its constant and in requirementsByFault.
type FaultSpec struct {
	Kind           string   `toml:"kind"`
	AtS            float64  `toml:"at_s"`
	DurationS      float64  `toml:"for_s"`
	Target         string   `toml:"target"`
	Between        []string `toml:"between"`
	Direction      string   `toml:"direction"` // "both" (default), "there" or "back"
	Share          float64  `toml:"share"`     // share of the targets that are affected, drawn from the seed; 0: all targets
	Probability    float64  `toml:"part"`      // probability that a request is affected
	Factor         float64  `toml:"by"`        // factor of the slowdown
	DelayMS        float64  `toml:"ms"`
	Steps          int      `toml:"steps"`
	ReuseAddresses bool     `toml:"reuse"` // rolling replacement: new servers reuse the addresses of the replaced ones
	Misbehaviour   string   `toml:"what"`  // fault of the supervisor: one of SupervisorMisbehaviours
	Operation      string   `toml:"on"`    // fault of the supervisor: the calls that misbehave, "do" or "list"; "": both
	CallCount      int      `toml:"count"` // supervisor: calls that misbehave; 0: all within DurationS or, without a duration, one
}

// Load reads an experiment from a file. Errors name the file, the line and the key.
func Load(path string) (*Experiment, error) {
	e := defaultExperiment()
	file, err := config.Load(path, e)
	if err != nil {
		return nil, err
	}
	err = e.validate(file)
	return e, err
}

// Parse reads an experiment as Load does, from data. The path is used in errors only.
func Parse(path string, data []byte) (*Experiment, error) {
	e := defaultExperiment()
	file, err := config.Parse(path, data, e)
	if err != nil {
		return nil, err
	}
	err = e.validate(file)
	return e, err
}

// HasControlPlane reports whether the experiment runs with the control plane.
func (e *Experiment) HasControlPlane() bool { return e.ControlPlane != nil }

// zoneIndex returns the index of a zone, or -1 if the name is unknown.
func (e *Experiment) zoneIndex(name string) int { return slices.Index(e.Zones, name) }

// defaultExperiment returns the values of absent keys, except those of servers and classes.
func defaultExperiment() *Experiment {
	return &Experiment{
		Seed: 1, Zones: []string{"a"},
		Network: NetworkSpec{LocalMS: fixedRange(0.2), CrossZoneMS: fixedRange(1.5), Jitter: 0.2},
		Discovery: DiscoverySpec{
			Source: DiscoveryLab, LeaseMS: 3000, Mode: DiscoveryPush,
			PropagationMS: Range{200, 800}, FailureDetectionMS: Range{4000, 6000},
		},
		Sidecars: SidecarSpec{Count: fixedRange(3), MemoryMB: 128, Sockets: 1024, Cores: 1},
		Limits: LimitsSpec{
			MaxAttempts: 3, ConnectTimeoutMS: 250, AllowHealthChecks: true, AllowCancel: true, AllowRetryAfter: true,
			MaxRetryAfterMS: 2000,
		},
		Rules: RulesSpec{
			DrainGraceMS: 750, AnswerSlackMS: 20, OverloadMultiple: 4, OverloadWindowMS: 2000, PollWithinMS: 10000,
		},
		Costs:   CostSpec{CrossZone: 0.01, WastedWork: 0.1, HealthCheck: 0.002, PeerMessage: 0.06, LateFailure: 0.035},
		Clients: ClientSpec{AttemptTimeoutShare: fixedRange(1), Keys: 0, KeySkew: 0.7},
	}
}

// Defaults of a kind of servers: a small machine.
const (
	defaultCores       = 4
	defaultQueue       = 64
	defaultConnections = 1000
	defaultIdleCloseMS = 15000
	defaultCellSize    = 8
)
