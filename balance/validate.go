package balance

import (
	"fmt"
	"math"
)

// ConfigError names an invalid field of a Config and the reason. It has the form of internal/validation.Error, which
// users of this package outside of the module could not match.
type ConfigError struct {
	Field  string // with the index of a class or tenant, as in "Classes[1].Deadline"
	Reason string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Reason }

// numericField is a setting that must be finite and at least 0.
type numericField struct {
	name  string
	value float64
}

// validate returns a ConfigError for the first field that is invalid.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return &ConfigError{"Classes", "at least one class is required"}
	}
	fields := c.numericFields()
	for i := range c.Classes {
		prefix := fmt.Sprintf("Classes[%d].", i)
		if err := c.Classes[i].validate(prefix); err != nil {
			return err
		}
		fields = append(fields, c.Classes[i].numericFields(prefix)...)
	}
	for i, tenant := range c.Tenants {
		prefix := fmt.Sprintf("Tenants[%d].", i)
		fields = append(fields,
			numericField{prefix + "QuotaRate", tenant.QuotaRate}, numericField{prefix + "Quota", tenant.Quota})
	}
	for _, field := range fields {
		if !(field.value >= 0) || math.IsInf(field.value, 0) {
			return &ConfigError{field.name, fmt.Sprintf("%v is not a finite number of at least 0", field.value)}
		}
	}
	return nil
}

func (c *Config) numericFields() []numericField {
	return []numericField{
		{"EventInterval", c.EventInterval},
		{"MaxAttempts", float64(c.MaxAttempts)},
		{"MaxRetryAfter", c.MaxRetryAfter},
		{"ConnectTimeout", c.ConnectTimeout},
		{"DrainGracePeriod", c.DrainGracePeriod},
		{"SlowStartMinCapacity", c.SlowStartMinCapacity},
		{"SlowStartDuration", c.SlowStartDuration},
		{"OverloadMultiple", c.OverloadMultiple},
		{"OverloadDuration", c.OverloadDuration},
		{"PollInterval", c.PollInterval},
		{"AnswerGracePeriod", c.AnswerGracePeriod},
		{"OverQuotaWeight", c.OverQuotaWeight},
		{"Objective.Overall", c.Objective.Overall},
		{"Objective.WorstWindow", c.Objective.WorstWindow},
		{"Objective.WorstClass", c.Objective.WorstClass},
		{"Objective.WorstTenant", c.Objective.WorstTenant},
		{"Costs.CrossZone", c.Costs.CrossZone},
		{"Costs.WastedWork", c.Costs.WastedWork},
		{"Costs.Handshake", c.Costs.Handshake},
		{"Costs.HealthCheck", c.Costs.HealthCheck},
		{"Costs.Gossip", c.Costs.Gossip},
		{"Costs.LateFailure", c.Costs.LateFailure},
	}
}

func (c *Class) validate(prefix string) error {
	switch {
	case c.Idempotency > NonIdempotent:
		return &ConfigError{prefix + "Idempotency", fmt.Sprintf("unknown value %d", c.Idempotency)}
	case c.DeduplicationScope > ScopeCell:
		return &ConfigError{prefix + "DeduplicationScope", fmt.Sprintf("unknown value %d", c.DeduplicationScope)}
	case !(c.Deadline > 0):
		return &ConfigError{prefix + "Deadline", fmt.Sprintf("%v is not above 0", c.Deadline)}
	}
	return nil
}

func (c *Class) numericFields(prefix string) []numericField {
	return []numericField{
		{prefix + "LatencyObjective", c.LatencyObjective},
		{prefix + "Deadline", c.Deadline},
		{prefix + "PriorityWeight", c.PriorityWeight},
		{prefix + "LateWeight", c.LateWeight},
		{prefix + "LatencyObjectivePerWork", c.LatencyObjectivePerWork},
		{prefix + "IdempotencyWindow", math.Min(c.IdempotencyWindow, math.MaxFloat64)}, // the window may be infinite
	}
}
