package wire

import (
	"encoding/json"
	"fmt"
	"math"

	"milldeck/balance"
	"milldeck/internal/validation"
)

// settings is the JSON object with the settings of an instance. Unknown keys are ignored.
type settings struct {
	Classes         []classSettings   `json:"classes"`
	Tenants         []tenantSettings  `json:"tenants"`
	Discovery       string            `json:"discovery"`
	SidecarIndex    int               `json:"my_number"`
	SidecarCount    int               `json:"peers_total"`
	Zone            int               `json:"zone"`
	OverQuotaWeight *float64          `json:"over_share_worth"`
	EventInterval   float64           `json:"quantum_ms"`
	Report          reportSettings    `json:"report"`
	Limits          limitSettings     `json:"limits"`
	Rules           ruleSettings      `json:"rules"`
	Service         serviceSettings   `json:"family_info"`
	Objective       objectiveSettings `json:"result_mix"`
	Costs           costSettings      `json:"penalties"`
}

type classSettings struct {
	Idempotency             string   `json:"effect"`
	DeduplicationScope      string   `json:"group"`
	IdempotencyWindow       *float64 `json:"window_ms"`
	LatencyObjective        float64  `json:"on_time_ms"`
	LatencyObjectivePerWork float64  `json:"aim_stretch"`
	Deadline                float64  `json:"hard_limit_ms"`
	PriorityWeight          *float64 `json:"worth"`
	LateWeight              float64  `json:"late_worth"`
	Streaming               bool     `json:"stream"`
}

type tenantSettings struct {
	QuotaRate float64 `json:"allowance_per_s"`
	Quota     float64 `json:"share"`
}

type reportSettings struct {
	Mode   string   `json:"via"`
	Fields []string `json:"fields"`
}

type limitSettings struct {
	Cancel           bool    `json:"cancel"`
	ConnectTimeout   float64 `json:"connect_timeout_ms"`
	MaxAttempts      *int    `json:"max_attempts"`
	MaxRetryAfter    float64 `json:"max_retry_after_ms"`
	Gossip           bool    `json:"may_tell"`
	ParallelAttempts bool    `json:"parallel_tries"`
	HealthChecks     bool    `json:"probes"`
	RetryAfter       bool    `json:"retry_after"`
}

type ruleSettings struct {
	AnswerGracePeriod    float64  `json:"answer_slack_ms"`
	PollInterval         float64  `json:"ask_within_ms"`
	SlowStartMinCapacity *float64 `json:"cold_from"`
	SlowStartDuration    float64  `json:"cold_ms"`
	DrainGracePeriod     float64  `json:"drain_grace_ms"`
	OverloadDuration     float64  `json:"fall_ms"`
	OverloadMultiple     float64  `json:"fall_multiple"`
}

type serviceSettings struct {
	KeyAffinity bool `json:"warm_keys"`
}

type objectiveSettings struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
}

type costSettings struct {
	CrossZone   float64 `json:"cross_zone"`
	WastedWork  float64 `json:"waste"`
	Handshake   float64 `json:"handshake"`
	HealthCheck float64 `json:"probe"`
	Gossip      float64 `json:"peer"`
	LateFailure float64 `json:"late_fail"`
}

var idempotencyByName = map[string]balance.Idempotency{
	"read_like":       balance.Idempotent,
	"idempotency_key": balance.IdempotentWithKey,
	"non_idempotent":  balance.NonIdempotent,
}

var scopeByName = map[string]balance.DeduplicationScope{
	"":     balance.ScopeAll,
	"all":  balance.ScopeAll,
	"zone": balance.ScopeZone,
	"cell": balance.ScopeCell,
}

var loadReportModeByName = map[string]balance.LoadReportMode{
	"":          balance.LoadReportNone,
	"silent":    balance.LoadReportNone,
	"piggyback": balance.LoadReportPiggyback,
	"pull":      balance.LoadReportHealthCheck,
}

// loadReportFieldByName yields its zero value for an unknown name: balance.FieldUnknown, which the balancer skips.
var loadReportFieldByName = map[string]balance.LoadReportField{
	"rif":       balance.FieldInFlight,
	"q":         balance.FieldQueueLength,
	"busy":      balance.FieldUtilization,
	"lat_ms":    balance.FieldLatency,
	"rate":      balance.FieldRequestRate,
	"fail_rate": balance.FieldErrorRate,
}

// ParseSettings converts the JSON settings of an instance to a Config. For an invalid setting, the error wraps a
// *validation.Error with the key; for malformed JSON, it wraps the error of encoding/json. balance.New may still reject
// the Config.
func ParseSettings(seed uint64, text []byte) (balance.Config, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return balance.Config{}, fmt.Errorf("settings: %w", err)
	}
	config, err := s.config(seed)
	if err != nil {
		return balance.Config{}, fmt.Errorf("settings: %w", err)
	}
	return config, nil
}

func (s *settings) config(seed uint64) (balance.Config, error) {
	config := s.scalars(seed)
	switch s.Discovery {
	case "", "automatic":
	case "subscribe":
		config.Subscribe = true
	default:
		return config, validation.Errorf("discovery", "unknown %q", s.Discovery)
	}
	if err := s.checkNotNegative(&config); err != nil {
		return config, err
	}
	var ok bool
	if config.LoadReports, ok = loadReportModeByName[s.Report.Mode]; !ok {
		return config, validation.Errorf("report.via", "unknown %q", s.Report.Mode)
	}
	for _, name := range s.Report.Fields {
		config.LoadReportFields = append(config.LoadReportFields, loadReportFieldByName[name])
	}
	for _, t := range s.Tenants {
		config.Tenants = append(config.Tenants, balance.Tenant{QuotaRate: t.QuotaRate, Quota: t.Quota})
	}
	if len(s.Classes) == 0 {
		return config, validation.Errorf("classes", "no classes")
	}
	for i := range s.Classes {
		class, err := s.Classes[i].class(fmt.Sprintf("classes[%d].", i))
		if err != nil {
			return config, err
		}
		config.Classes = append(config.Classes, class)
	}
	return config, nil
}

// scalars returns a Config of the settings that need no translation. Absent keys have their defaults.
func (s *settings) scalars(seed uint64) balance.Config {
	return balance.Config{
		Seed:            seed,
		SidecarIndex:    s.SidecarIndex,
		SidecarCount:    max(s.SidecarCount, 1),
		Zone:            s.Zone,
		OverQuotaWeight: valueOr(s.OverQuotaWeight, 1),
		EventInterval:   s.EventInterval,
		KeyAffinity:     s.Service.KeyAffinity,

		MaxAttempts:           valueOr(s.Limits.MaxAttempts, 1),
		AllowParallelAttempts: s.Limits.ParallelAttempts,
		AllowCancel:           s.Limits.Cancel,
		AllowHealthChecks:     s.Limits.HealthChecks,
		AllowGossip:           s.Limits.Gossip,
		SendRetryAfter:        s.Limits.RetryAfter,
		MaxRetryAfter:         s.Limits.MaxRetryAfter,
		ConnectTimeout:        s.Limits.ConnectTimeout,

		DrainGracePeriod:     s.Rules.DrainGracePeriod,
		SlowStartMinCapacity: valueOr(s.Rules.SlowStartMinCapacity, 1),
		SlowStartDuration:    s.Rules.SlowStartDuration,
		OverloadMultiple:     s.Rules.OverloadMultiple,
		OverloadDuration:     s.Rules.OverloadDuration,
		PollInterval:         s.Rules.PollInterval,
		AnswerGracePeriod:    s.Rules.AnswerGracePeriod,

		Objective: balance.Objective(s.Objective),
		Costs:     balance.Costs(s.Costs),
	}
}

// checkNotNegative rejects negative settings. Its error names the JSON key, which the operator knows; balance.New would
// name the field of Config.
func (s *settings) checkNotNegative(config *balance.Config) error {
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"quantum_ms", s.EventInterval},
		{"over_share_worth", config.OverQuotaWeight},
		{"limits.connect_timeout_ms", s.Limits.ConnectTimeout},
		{"limits.max_attempts", float64(config.MaxAttempts)},
		{"limits.max_retry_after_ms", s.Limits.MaxRetryAfter},
		{"rules.answer_slack_ms", s.Rules.AnswerGracePeriod},
		{"rules.ask_within_ms", s.Rules.PollInterval},
		{"rules.cold_from", config.SlowStartMinCapacity},
		{"rules.cold_ms", s.Rules.SlowStartDuration},
		{"rules.drain_grace_ms", s.Rules.DrainGracePeriod},
		{"rules.fall_ms", s.Rules.OverloadDuration},
		{"rules.fall_multiple", s.Rules.OverloadMultiple},
		{"result_mix.whole", s.Objective.Overall},
		{"result_mix.worst_window", s.Objective.WorstWindow},
		{"result_mix.worst_class", s.Objective.WorstClass},
		{"result_mix.worst_tenant", s.Objective.WorstTenant},
		{"penalties.cross_zone", s.Costs.CrossZone},
		{"penalties.probe", s.Costs.HealthCheck},
	} {
		if err := notNegative(setting.key, setting.value); err != nil {
			return err
		}
	}
	return nil
}

func notNegative(key string, value float64) error {
	if value < 0 {
		return validation.Errorf(key, "%v is negative", value)
	}
	return nil
}

// class converts the settings of one class. Errors name a key with prefix in front of it.
func (c *classSettings) class(prefix string) (balance.Class, error) {
	idempotency, ok := idempotencyByName[c.Idempotency]
	if !ok {
		return balance.Class{}, validation.Errorf(prefix+"effect", "unknown %q", c.Idempotency)
	}
	scope, ok := scopeByName[c.DeduplicationScope]
	if !ok {
		return balance.Class{}, validation.Errorf(prefix+"group", "unknown %q", c.DeduplicationScope)
	}
	if !(c.Deadline > 0) {
		return balance.Class{}, validation.Errorf(prefix+"hard_limit_ms", "%v is not above 0", c.Deadline)
	}
	window, weight := valueOr(c.IdempotencyWindow, math.Inf(1)), valueOr(c.PriorityWeight, 1)
	if err := validation.First(
		notNegative(prefix+"on_time_ms", c.LatencyObjective),
		notNegative(prefix+"worth", weight),
		notNegative(prefix+"late_worth", c.LateWeight),
		notNegative(prefix+"window_ms", window),
	); err != nil {
		return balance.Class{}, err
	}
	objective := c.LatencyObjective
	if objective == 0 {
		objective = c.Deadline
	}
	return balance.Class{
		Idempotency:             idempotency,
		DeduplicationScope:      scope,
		IdempotencyWindow:       window,
		LatencyObjective:        objective,
		LatencyObjectivePerWork: c.LatencyObjectivePerWork,
		Deadline:                c.Deadline,
		PriorityWeight:          weight,
		LateWeight:              c.LateWeight,
		Streaming:               c.Streaming,
	}, nil
}

// valueOr returns the value of an optional key, or defaultValue if the key is missing.
func valueOr[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}
