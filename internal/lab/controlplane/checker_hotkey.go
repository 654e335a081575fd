package controlplane

import (
	"fmt"

	"milldeck/internal/placement"
)

// warmupPeriodSeconds is the period over which ruleWarmupBudget sums warm-up work.
const warmupPeriodSeconds = 10

// observeReplicas checks ruleWarmupBudget on a directive that is set. Replicas on servers that had none before need warm-up.
func (c *checker) observeReplicas(directive *placement.Directive, existing map[string]bool) {
	added := 0
	for _, replica := range directive.Copies {
		if !existing[replica.ServerUID] {
			added++
		}
	}
	config := c.cluster.hotKeyConfig()
	second := c.cluster.nowMS / 1000
	c.warmupWork[second] += float64(added) * config.WarmupWork
	sum := 0.0
	for past := second - warmupPeriodSeconds + 1; past <= second; past++ {
		sum += c.warmupWork[past]
	}
	servers := float64(len(c.cluster.servers))
	budget := max(config.WarmupBudget*serverCapacityMS*servers, config.MinWarmupBudget)
	allowed := budget * (warmupPeriodSeconds + 1) // the planner may accumulate its budget of one second
	if sum > allowed {
		c.report(ruleWarmupBudget, fmt.Sprintf("%.0f ms of warm-up work within %d s, %.0f allowed", sum, warmupPeriodSeconds, allowed))
	}
	if copies := float64(len(directive.Copies)); copies > config.ReplicasPerServer*servers {
		c.report(ruleWarmupBudget, fmt.Sprintf("%.0f copies", copies))
	}
}
