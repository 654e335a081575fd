package lab

import (
	"encoding/json"
	"math"

	"milldeck/balance"
	"milldeck/internal/wire"
)

// tickMS is the tick of the virtual clock, and the shortest interval between two timers of a real sidecar.
const tickMS = 2

// TickMS returns the tick of the virtual clock in ms.
func (p *Plan) TickMS() float64 { return tickMS }

// sidecarSettings are the settings of a sidecar in the form that package wire parses. Its fields, and those of the types
// below, are sorted by key.
type sidecarSettings struct {
	Classes         []classSettings    `json:"classes"`
	Clients         clientSettings     `json:"clients"`
	Discovery       string             `json:"discovery"`
	FamilyInfo      familySettings     `json:"family_info"`
	Kinds           []string           `json:"kinds"`
	Limits          limitSettings      `json:"limits"`
	Number          int                `json:"my_number"`
	OverQuotaWeight float64            `json:"over_share_worth"`
	PeerCount       int                `json:"peers_total"`
	Costs           costSettings       `json:"penalties"`
	QuantumMS       int                `json:"quantum_ms"`
	Report          reportSettings     `json:"report"`
	ResultWeights   map[string]float64 `json:"result_mix"`
	Rules           ruleSettings       `json:"rules"`
	Tenants         []string           `json:"tenants"`
	ValueBy         string             `json:"value_by"`
	Weights         string             `json:"weights"`
	Zone            int                `json:"zone"`
	Zones           []string           `json:"zones"`
}

type classSettings struct {
	Idempotency         string  `json:"effect"`
	DeduplicationScope  string  `json:"group,omitempty"`
	DeadlineMS          float64 `json:"hard_limit_ms"`
	LateWeight          float64 `json:"late_worth"`
	Name                string  `json:"name"`
	LatencyObjectiveMS  float64 `json:"on_time_ms"`
	Stream              bool    `json:"stream"`
	IdempotencyWindowMS float64 `json:"window_ms,omitempty"`
	PriorityWeight      float64 `json:"worth"`
}

type clientSettings struct {
	MarksRetry bool `json:"marks_retry"`
}

type familySettings struct {
	CachesKeys bool `json:"warm_keys"`
}

type limitSettings struct {
	AllowCancel          bool    `json:"cancel"`
	IdleCloseMS          float64 `json:"conn_idle_ms"`
	ConnectTimeoutMS     float64 `json:"connect_timeout_ms"`
	MaxAttempts          int     `json:"max_attempts"`
	MaxRetryAfterMS      float64 `json:"max_retry_after_ms"`
	AllowGossip          bool    `json:"may_tell"`
	AllowHedging         bool    `json:"parallel_tries"`
	AllowHealthChecks    bool    `json:"probes"`
	AllowRetryAfter      bool    `json:"retry_after"`
	StreamsPerConnection int     `json:"streams_per_conn"`
}

type costSettings struct {
	CrossZone   float64 `json:"cross_zone"`
	Handshake   float64 `json:"handshake"`
	LateFailure float64 `json:"late_fail"`
	PeerMessage float64 `json:"peer"`
	HealthCheck float64 `json:"probe"`
	WastedWork  float64 `json:"waste"`
}

type reportSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

type ruleSettings struct {
	AnswerSlackMS    float64 `json:"answer_slack_ms"`
	PollWithinMS     float64 `json:"ask_within_ms"`
	SlowStartFrom    float64 `json:"cold_from"`
	SlowStartMS      float64 `json:"cold_ms"`
	DrainGraceMS     float64 `json:"drain_grace_ms"`
	OverloadWindowMS float64 `json:"fall_ms"`
	OverloadMultiple float64 `json:"fall_multiple"`
}

// Names that package wire has for the values of ClassSpec.
var (
	wireIdempotency = map[string]string{
		idempotencySafe: "read_like", idempotencyKeyed: "idempotency_key", idempotencyUnsafe: "non_idempotent",
	}
	wireScopes = map[string]string{scopeAll: "all", scopeZone: "zone", scopePod: "cell"}
)

// Settings returns the settings of a sidecar as JSON.
func (p *Plan) Settings(sidecar int) []byte {
	e := p.Experiment
	discovery := "automatic"
	if e.Discovery.Mode == DiscoverySubscribe {
		discovery = DiscoverySubscribe
	}
	settings := sidecarSettings{
		Classes: e.classSettings(), Clients: clientSettings{MarksRetry: true}, Discovery: discovery,
		Number: sidecar, OverQuotaWeight: 1, PeerCount: len(p.Sidecars), QuantumMS: tickMS,
		Report: reportSettings{Fields: []string{}, Via: "silent"}, ResultWeights: map[string]float64{"whole": 1},
		Tenants: []string{}, ValueBy: "request", Weights: "silent", Zone: p.Sidecars[sidecar].Zone, Zones: e.Zones,
		Limits: limitSettings{
			AllowCancel: e.Limits.AllowCancel, ConnectTimeoutMS: e.Limits.ConnectTimeoutMS,
			MaxAttempts: e.Limits.MaxAttempts, MaxRetryAfterMS: e.Limits.MaxRetryAfterMS, AllowGossip: e.Limits.AllowGossip,
			AllowHealthChecks: e.Limits.AllowHealthChecks, AllowRetryAfter: e.Limits.AllowRetryAfter,
			StreamsPerConnection: 1,
		},
		Costs: costSettings{
			CrossZone: e.Costs.CrossZone, Handshake: e.Costs.Handshake, LateFailure: e.Costs.LateFailure,
			PeerMessage: e.Costs.PeerMessage, HealthCheck: e.Costs.HealthCheck, WastedWork: e.Costs.WastedWork,
		},
		Rules: ruleSettings{
			AnswerSlackMS: e.Rules.AnswerSlackMS, PollWithinMS: e.Rules.PollWithinMS, DrainGraceMS: e.Rules.DrainGraceMS,
			OverloadWindowMS: e.Rules.OverloadWindowMS, OverloadMultiple: e.Rules.OverloadMultiple,
		},
	}
	settings.setServers(e.Servers)
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err) // all values are finite numbers, flags and texts
	}
	return data
}

func (e *Experiment) classSettings() []classSettings {
	var classes []classSettings
	for i := range e.Classes {
		spec := &e.Classes[i]
		class := classSettings{
			Name: spec.Name, Idempotency: wireIdempotency[spec.Idempotency],
			LatencyObjectiveMS: spec.LatencyObjectiveMS, DeadlineMS: spec.DeadlineMS, PriorityWeight: spec.PriorityWeight,
		}
		if spec.Idempotency == idempotencyKeyed {
			class.DeduplicationScope = wireScopes[spec.DeduplicationScope]
			class.IdempotencyWindowMS = spec.IdempotencyWindowMS
		}
		classes = append(classes, class)
	}
	return classes
}

// setServers sets what depends on the kinds of servers. Where kinds differ, the most conservative value applies to all.
func (s *sidecarSettings) setServers(specs []ServerSpec) {
	s.Rules.SlowStartFrom = 1
	s.Limits.IdleCloseMS = math.Inf(1)
	for i := range specs {
		spec := &specs[i]
		s.Kinds = append(s.Kinds, spec.Kind)
		s.Rules.SlowStartFrom = min(s.Rules.SlowStartFrom, spec.SlowStartFrom)
		s.Rules.SlowStartMS = max(s.Rules.SlowStartMS, 1000*spec.SlowStartS.Max)
		s.Limits.IdleCloseMS = min(s.Limits.IdleCloseMS, spec.IdleCloseMS)
		s.FamilyInfo.CachesKeys = s.FamilyInfo.CachesKeys || spec.CacheGain > 0
	}
}

// Config returns a sidecar's configuration for the decision module (package balance), parsed from the settings that a real
// sidecar gets. The seed is that of the incarnation. Incarnations count from 0.
func (p *Plan) Config(sidecar, incarnation int) (balance.Config, error) {
	return wire.ParseSettings(p.IncarnationSeed(sidecar, incarnation), p.Settings(sidecar))
}

// IncarnationSeed returns the seed of an incarnation of a sidecar. Incarnations count from 0.
func (p *Plan) IncarnationSeed(sidecar, incarnation int) uint64 {
	return mixHash(p.Sidecars[sidecar].Seed, uint64(incarnation))
}
