package balance

import "math"

// requestCounts counts the requests of a class or tenant, and those that were answered within their objective. Both
// counts start at 1, so that neither is ever 0.
type requestCounts struct{ received, servedInTime, quota float64 }

// servedLessThan reports whether a smaller fraction of c's requests than of other's was served in time.
func (c *requestCounts) servedLessThan(other *requestCounts) bool {
	return c.servedInTime*other.received < other.servedInTime*c.received
}

// classStats tracks the requests and latencies of a class.
type classStats struct {
	requestCounts
	samples        float64
	meanLatency    float64
	meanDeviation  float64
	priorityWeight float64

	// Latencies as a fraction of the objective; see trackLatency.
	recentLatencyRatio  float64
	recentSamples       float64
	minLatencyRatio     float64
	minLatencyUpdatedAt float64
}

func (c *classStats) recordLatency(latency float64) {
	c.samples = math.Min(c.samples+1, maxLatencySamples)
	c.meanLatency += (latency - c.meanLatency) / c.samples
	c.meanDeviation += (math.Abs(latency-c.meanLatency) - c.meanDeviation) / c.samples
}

// tenantCounts returns the counts of a tenant. The last entry counts requests without a tenant.
func (b *Balancer) tenantCounts(index int) *requestCounts {
	if index < 0 || index >= len(b.config.Tenants) {
		index = len(b.config.Tenants)
	}
	return &b.admission.tenants[index]
}

// demandTotals holds the sums over all requests of this sidecar, and the worst-served class and tenant.
type demandTotals struct {
	received       float64
	priorityWeight float64
	worstClass     *classStats
	worstTenant    *requestCounts
}

func (b *Balancer) sumDemand() demandTotals {
	classes, tenants := b.admission.classes, b.admission.tenants
	totals := demandTotals{priorityWeight: 1e-9, worstClass: &classes[0], worstTenant: &tenants[0]}
	for i := range classes {
		totals.received += classes[i].received
		totals.priorityWeight += classes[i].received * classes[i].priorityWeight
		if classes[i].servedLessThan(&totals.worstClass.requestCounts) {
			totals.worstClass = &classes[i]
		}
	}
	for i := range tenants {
		if tenants[i].servedLessThan(totals.worstTenant) {
			totals.worstTenant = &tenants[i]
		}
	}
	return totals
}

// rateMeter counts events with exponential decay.
type rateMeter struct{ count, updatedAt float64 }

func (m *rateMeter) add(now, span float64) {
	m.count, m.updatedAt = m.count*math.Exp((m.updatedAt-now)/span)+1, now
}

// minSpanFraction is the least fraction of its span that a count is taken to cover. rate divides by this
// fraction.
const minSpanFraction = 0.05

// rate returns the events per millisecond. Counting began at since. The assumed events are added to the
// count.
func (m *rateMeter) rate(now, since, span, assumed float64) float64 {
	counted := math.Max(-math.Expm1((since-now)/span), minSpanFraction)
	return (m.count*math.Exp((m.updatedAt-now)/span)/counted + assumed) / span
}

// ewma is an exponentially weighted moving average over time. The time before the first value has no weight.
type ewma struct{ mean, startedAt, updatedAt float64 }

func (e *ewma) add(now, span, value float64) {
	switch {
	case e.startedAt == 0:
		e.mean, e.startedAt = value, now
	case now > e.updatedAt:
		e.mean += (value - e.mean) * math.Expm1((e.updatedAt-now)/span) / math.Expm1((e.startedAt-now)/span)
	}
	e.updatedAt = now
}

func (b *Balancer) requestRate() float64 {
	return b.traffic.rate(b.now, b.startedAt-rotationPeriod, trafficSpan, 0)
}
