package lab

import (
	"fmt"
	"strings"

	"milldeck/internal/config"
)

// Bounds of the values of an experiment. A value beyond them is a mistake, or exceeds what a machine can emulate.
const (
	maxSidecars  = 5000
	maxServers   = 5000
	maxRate      = 1e6 // requests a second
	maxDurationS = 24 * 3600
	maxClasses   = 64
	maxZones     = 64
	maxDelayMS   = 6e4
	maxPeriodMS  = 3.6e6
	maxWeight    = 1e6
)

// validate returns an error for the first invalid value, and sets the defaults that depend on other values.
func (e *Experiment) validate(file *config.File) error {
	v := &validator{file: file}
	if e.Name == "" {
		v.reportf("name", "an experiment needs a name")
	}
	v.number("duration_s", e.DurationS, 1, maxDurationS)
	e.validateZones(v)
	e.validateNetwork(v)
	e.validateSidecars(v)
	e.validateRulesAndCosts(v)
	e.validateClients(v)
	e.validateServers(v)
	e.validateClasses(v)
	e.validatePhases(v)
	e.validateHotKeys(v)
	e.validateControlPlane(v)
	for i := range e.Faults {
		e.Faults[i].validate(e, fmt.Sprintf("fault[%d]", i), v)
	}
	return v.err
}

// ValidateServer validates an experiment that was read from the file of a single server: its classes, and its only kind of
// servers, which the file has under the key "kind".
func (e *Experiment) ValidateServer(file *config.File) error {
	v := &validator{file: file, keys: strings.NewReplacer("server[0]", "kind")}
	e.validateServers(v)
	e.validateClasses(v)
	return v.err
}

func (e *Experiment) validateZones(v *validator) {
	names := map[string]bool{}
	for _, zone := range e.Zones {
		if zone == "" || names[zone] {
			v.reportf("zones", "%q is empty or a duplicate", zone)
		}
		names[zone] = true
	}
	if len(e.Zones) == 0 || len(e.Zones) > maxZones {
		v.reportf("zones", "%d zones, wanted 1 to %d", len(e.Zones), maxZones)
	}
}

func (e *Experiment) validateNetwork(v *validator) {
	v.numberRange("network.local_ms", e.Network.LocalMS, 0, 1e4)
	v.numberRange("network.cross_ms", e.Network.CrossZoneMS, 0, 1e4)
	v.number("network.jitter", e.Network.Jitter, 0, 1)
	v.oneOf("discovery.mode", e.Discovery.Mode, DiscoveryPush, DiscoverySubscribe)
	v.oneOf("discovery.source", e.Discovery.Source, DiscoveryLab, DiscoveryRegistry)
	v.number("discovery.lease_ms", float64(e.Discovery.LeaseMS), 100, maxPeriodMS)
	v.numberRange("discovery.notice_ms", e.Discovery.PropagationMS, 0, maxDelayMS)
	v.numberRange("discovery.silent_ms", e.Discovery.FailureDetectionMS, 0, 6e5)
}

func (e *Experiment) validateSidecars(v *validator) {
	v.numberRange("sidecars.count", e.Sidecars.Count, 1, maxSidecars)
	v.number("sidecars.skew", e.Sidecars.Skew, 0, 5)
	v.number("sidecars.memory_mb", float64(e.Sidecars.MemoryMB), 16, 1<<20)
	v.number("sidecars.sockets", float64(e.Sidecars.Sockets), 128, 1<<20)
	v.number("sidecars.cores", e.Sidecars.Cores, 0.05, 1024)
	v.number("limits.max_attempts", float64(e.Limits.MaxAttempts), 1, 100)
	v.number("limits.connect_timeout_ms", e.Limits.ConnectTimeoutMS, 1, maxDelayMS)
	v.number("limits.max_retry_after_ms", e.Limits.MaxRetryAfterMS, 0, 6e5)
}

func (e *Experiment) validateRulesAndCosts(v *validator) {
	for _, entry := range []struct {
		key   string
		value float64
	}{
		{"rules.drain_grace_ms", e.Rules.DrainGraceMS},
		{"rules.answer_slack_ms", e.Rules.AnswerSlackMS},
		{"rules.fall_multiple", e.Rules.OverloadMultiple},
		{"rules.fall_ms", e.Rules.OverloadWindowMS},
		{"rules.ask_within_ms", e.Rules.PollWithinMS},
		{"prices.cross_zone", e.Costs.CrossZone},
		{"prices.waste", e.Costs.WastedWork},
		{"prices.handshake", e.Costs.Handshake},
		{"prices.probe", e.Costs.HealthCheck},
		{"prices.peer", e.Costs.PeerMessage},
		{"prices.late_fail", e.Costs.LateFailure},
	} {
		v.number(entry.key, entry.value, 0, 1e6)
	}
}

func (e *Experiment) validateClients(v *validator) {
	v.number("clients.retries", float64(e.Clients.Retries), 0, 100)
	v.numberRange("clients.wait_ms", e.Clients.RetryBackoffMS, 0, maxDelayMS)
	v.numberRange("clients.give_up", e.Clients.AttemptTimeoutShare, 0.01, 1)
	v.number("clients.leave", e.Clients.DisconnectShare, 0, 1)
	v.number("clients.honour", e.Clients.HonourRetryAfterShare, 0, 1)
	v.number("clients.keys", float64(e.Clients.Keys), 0, 1e7)
	v.number("clients.key_skew", e.Clients.KeySkew, 0, 5)
	v.number("clients.hint_part", e.Clients.WorkEstimateError, 0, 1)
}

func (e *Experiment) validateServers(v *validator) {
	if len(e.Servers) == 0 {
		v.reportf("server", "at least one kind of servers is required")
	}
	kinds := map[string]bool{}
	for i := range e.Servers {
		spec, prefix := &e.Servers[i], fmt.Sprintf("server[%d].", i)
		if spec.Kind == "" || kinds[spec.Kind] {
			v.reportf(prefix+"kind", "%q is empty or a duplicate", spec.Kind)
		}
		kinds[spec.Kind] = true
		spec.setDefaults()
		spec.validate(prefix, v)
	}
}

func (s *ServerSpec) setDefaults() {
	setDefault(&s.Cores, defaultCores)
	setDefault(&s.QueueLength, defaultQueue)
	setDefault(&s.MaxConnections, defaultConnections)
	setDefault(&s.IdleCloseMS, defaultIdleCloseMS)
	setDefault(&s.CellSize, defaultCellSize)
	setDefault(&s.Speed, fixedRange(1))
	setDefault(&s.SlowStartFrom, 1)
	setDefault(&s.CongestionSlowdown, 1)
}

func (s *ServerSpec) validate(prefix string, v *validator) {
	v.numberRange(prefix+"count", s.Count, 1, maxServers)
	v.number(prefix+"cores", float64(s.Cores), 1, 1024)
	v.numberRange(prefix+"speed", s.Speed, 0.01, 100)
	v.number(prefix+"queue", float64(s.QueueLength), 1, 1e6)
	v.number(prefix+"pod_size", float64(s.CellSize), 1, maxServers)
	v.number(prefix+"cold_from", s.SlowStartFrom, 0.01, 1)
	v.numberRange(prefix+"cold_s", s.SlowStartS, 0, 3600)
	v.number(prefix+"choke_at", s.CongestionQueuePerCore, 0, 1e6)
	v.number(prefix+"choke_slower", s.CongestionSlowdown, 1, 1000)
	v.number(prefix+"choke_for_ms", s.CongestionAfterMS, 0, maxPeriodMS)
	v.number(prefix+"choke_idle_ms", s.CongestionIdleMS, 0, maxPeriodMS)
	v.number(prefix+"choke_most_ms", s.CongestionMaxMS, 0, maxPeriodMS)
	v.number(prefix+"warm_ms", s.CacheTTLMS, 0, maxPeriodMS)
	v.number(prefix+"idle_close_ms", s.IdleCloseMS, 0, maxPeriodMS)
	v.number(prefix+"handshake_ms", s.HandshakeMS, 0, maxPeriodMS)
	v.number(prefix+"warm_gain", s.CacheGain, 0, 0.99)
	v.number(prefix+"warm_keys", float64(s.CacheKeys), 0, 1e7)
	v.number(prefix+"connections", float64(s.MaxConnections), 1, 1e6)
	v.number(prefix+"error_rate", s.ErrorRate, 0, 1)
}

func (e *Experiment) validateClasses(v *validator) {
	if len(e.Classes) == 0 || len(e.Classes) > maxClasses {
		v.reportf("class", "%d classes, wanted 1 to %d", len(e.Classes), maxClasses)
	}
	names := map[string]bool{}
	for i := range e.Classes {
		spec, prefix := &e.Classes[i], fmt.Sprintf("class[%d].", i)
		if spec.Name == "" || names[spec.Name] {
			v.reportf(prefix+"name", "%q is empty or a duplicate", spec.Name)
		}
		names[spec.Name] = true
		setDefault(&spec.Share, 1)
		setDefault(&spec.PriorityWeight, 1)
		setDefault(&spec.DeduplicationScope, scopeAll)
		spec.validate(prefix, v)
	}
}

func (c *ClassSpec) validate(prefix string, v *validator) {
	v.number(prefix+"share", c.Share, 0, 1e6)
	v.numberRange(prefix+"work_ms", c.WorkMS, 0.001, 1e6)
	v.number(prefix+"aim_ms", c.LatencyObjectiveMS, 1, maxPeriodMS)
	v.number(prefix+"deadline_ms", c.DeadlineMS, 1, maxPeriodMS)
	v.number(prefix+"worth", c.PriorityWeight, 0, maxWeight)
	v.number(prefix+"window_ms", c.IdempotencyWindowMS, 0, maxPeriodMS)
	if c.LatencyObjectiveMS > c.DeadlineMS {
		v.reportf(prefix+"aim_ms", "%v is beyond the deadline of %v", c.LatencyObjectiveMS, c.DeadlineMS)
	}
	v.oneOf(prefix+"effect", c.Idempotency, idempotencySafe, idempotencyKeyed, idempotencyUnsafe)
	v.oneOf(prefix+"group", c.DeduplicationScope, scopeAll, scopeZone, scopePod)
	if c.Idempotency == idempotencyKeyed && c.IdempotencyWindowMS == 0 {
		v.reportf(prefix+"window_ms", "a keyed class needs an idempotency window")
	}
}

func (e *Experiment) validatePhases(v *validator) {
	if len(e.Phases) == 0 {
		v.reportf("phase", "at least one phase is required")
	}
	sum := 0.0
	for i := range e.Phases {
		phase, prefix := &e.Phases[i], fmt.Sprintf("phase[%d].", i)
		setDefault(&phase.Kind, PhaseSteady)
		v.number(prefix+"rate", phase.Rate, 0, maxRate)
		v.number(prefix+"to", phase.EndRate, 0, maxRate)
		if i == 0 && phase.Rate == 0 {
			v.reportf(prefix+"rate", "the first phase needs a rate")
		}
		if i < len(e.Phases)-1 {
			v.number(prefix+"for_s", phase.DurationS, 0.001, maxDurationS)
		}
		sum += phase.DurationS
		e.validatePhaseKind(phase, prefix, v)
	}
	if sum > e.DurationS {
		v.reportf("phase", "the phases last %v s, the experiment %v s", sum, e.DurationS)
	}
}

func (e *Experiment) validatePhaseKind(phase *PhaseSpec, prefix string, v *validator) {
	switch phase.Kind {
	case PhaseHot:
		v.number(prefix+"part", phase.Share, 0.001, 1)
		v.number(prefix+"every_s", phase.KeyChangeS, 0, maxDurationS)
	case PhaseRamp:
		if phase.EndRate == 0 {
			v.reportf(prefix+"to", "a ramp needs the rate at its end")
		}
	case PhaseBurst:
		v.number(prefix+"by", phase.Factor, 0.01, 1000)
	case PhaseShift:
		v.number(prefix+"part", phase.Share, 0, 1)
		if e.zoneIndex(phase.Zone) < 0 {
			v.reportf(prefix+"zone", "unknown zone %q", phase.Zone)
		}
	default:
		v.oneOf(prefix+"kind", phase.Kind, PhaseSteady, PhaseRamp, PhaseBurst, PhaseShift, PhaseHot)
	}
}
