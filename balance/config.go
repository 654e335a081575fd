package balance

import (
	"errors"
	"fmt"
	"math"
)

// This file makes a balancer from its settings.

// New returns a balancer with the given settings; Start begins its life. It keeps the slices of cfg, which must
// not change afterwards. Settings that cannot be are an error that names the field.
func New(cfg Config) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		config: cfg, randomState: cfg.Seed, serversByID: map[ServerID]*server{}, requests: map[RequestID]*request{},
		classStats: make([]classStats, len(cfg.Classes)), tenantStats: make([]requestCounts, len(cfg.Tenants)+1),
		capacityByKind: map[int]float64{}, capacityByZone: map[int]float64{}, keyFrequency: keyFrequencies{counts: map[uint64]float64{}},
		zoneHealth: map[int]*zoneHealth{}, longestObjective: 1, minLatencyRatio: initialLatencyRatio, busyFraction: 1, lastOverloadedAt: math.Inf(-1), retryTokens: retryBudgetMax, keyOrders: newKeyOrderCache(),
		gossip: gossipState{senders: map[int]*gossipSender{}, serversByTag: map[uint32]*server{}},
	}
	b.selectServer = b.pick
	for i := range cfg.Classes {
		b.longestObjective = math.Max(b.longestObjective, cfg.Classes[i].LatencyObjective)
		b.classStats[i] = classStats{requestCounts: requestCounts{received: 1, servedInTime: 1}, priorityWeight: cfg.Classes[i].PriorityWeight, minLatencyRatio: initialLatencyRatio}
	}
	for i := range b.tenantStats {
		b.tenantStats[i] = requestCounts{received: 1, servedInTime: 1}
		if i < len(cfg.Tenants) {
			b.tenantStats[i].quota = cfg.Tenants[i].Quota
		}
	}
	if cfg.Objective == (Objective{}) {
		b.config.Objective.Whole = 1
	}
	return b, nil
}

// validate tells which field of the settings cannot be, if any.
func (c *Config) validate() error {
	type figure struct {
		name string
		v    float64
	}
	figures := []figure{
		{"Quantum", c.EventInterval}, {"MaxAttempts", float64(c.MaxAttempts)}, {"MaxRetryAfter", c.MaxRetryAfter},
		{"ConnectTimeout", c.ConnectTimeout}, {"DrainGrace", c.DrainGracePeriod}, {"ColdFrom", c.SlowStartMinCapacity},
		{"ColdTime", c.SlowStartDuration}, {"FallMultiple", c.OverloadMultiple}, {"FallTime", c.OverloadDuration},
		{"AskWithin", c.PollInterval}, {"AnswerSlack", c.AnswerGracePeriod}, {"OverShareWorth", c.OverQuotaWeight},
		{"Goal.Whole", c.Objective.Whole}, {"Goal.WorstWindow", c.Objective.WorstWindow},
		{"Goal.WorstClass", c.Objective.WorstClass}, {"Goal.WorstTenant", c.Objective.WorstTenant},
		{"Prices.CrossZone", c.Costs.CrossZone}, {"Prices.Waste", c.Costs.Waste},
		{"Prices.Handshake", c.Costs.Handshake}, {"Prices.Probe", c.Costs.Probe},
		{"Prices.Peer", c.Costs.Peer}, {"Prices.LateFail", c.Costs.LateFail},
	}
	if len(c.Classes) == 0 {
		return errors.New("no Classes")
	}
	for i := range c.Classes {
		class, name := &c.Classes[i], fmt.Sprintf("Classes[%d].", i)
		if class.Idempotency > NonIdempotent || class.DeduplicationScope > ScopeCell || !(class.Deadline > 0) {
			return fmt.Errorf("%sEffect, Group or Deadline cannot be: %+v", name, *class)
		}
		figures = append(figures, figure{name + "Aim", class.LatencyObjective}, figure{name + "Deadline", class.Deadline},
			figure{name + "Worth", class.PriorityWeight}, figure{name + "LateWorth", class.LateWeight},
			figure{name + "AimStretch", class.LatencyObjectivePerWork}, figure{name + "Window", math.Min(class.IdempotencyWindow, math.MaxFloat64)})
	}
	for i := range c.Tenants {
		name := fmt.Sprintf("Tenants[%d].", i)
		figures = append(figures, figure{name + "Allowance", c.Tenants[i].QuotaRate}, figure{name + "Share", c.Tenants[i].Quota})
	}
	for _, checked := range figures {
		if !(checked.v >= 0) || math.IsInf(checked.v, 0) {
			return fmt.Errorf("%s is %v", checked.name, checked.v)
		}
	}
	return nil
}
