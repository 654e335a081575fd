package registry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"milldeck/internal/leaderelection/leasetable"
)

// maxLeaseMetrics limits the number of series: only the first maxLeaseMetrics leases by name have metrics.
const maxLeaseMetrics = 1000

// Buckets of the histogram of the time without a lease holder: 10 ms to 82 s, each twice as large as the one before.
const (
	firstGapBucket  = 0.01
	gapBucketFactor = 2
	gapBuckets      = 14
)

// metrics are the metrics of one replica. They have their own registry, so that several replicas may run in one process.
type metrics struct {
	registry         *prometheus.Registry
	writes           *prometheus.CounterVec
	suspected        prometheus.Counter
	expired          prometheus.Counter
	leadershipGained prometheus.Counter
	leaseGaps        prometheus.Histogram
}

func newMetrics(replica *Replica) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "milldeck_registry_writes_total", Help: "Writes applied on this leader, by operation and outcome.",
		}, []string{"op", "outcome"}),
		suspected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "milldeck_registry_held_total", Help: "Instances whose expiry was held back as part of a mass expiry.",
		}),
		expired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "milldeck_registry_expired_total", Help: "Instances that were removed because their lease expired.",
		}),
		leadershipGained: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "milldeck_registry_led_total", Help: "Number of times that this replica became the leader.",
		}),
		leaseGaps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "milldeck_duty_gap_seconds",
			Help:    "Time without a lease holder, on the leader: from release or last renewal to the next holder's first renewal.",
			Buckets: prometheus.ExponentialBuckets(firstGapBucket, gapBucketFactor, gapBuckets),
		}),
	}
	replica.leaseTracker.observeGap = func(gap time.Duration) { m.leaseGaps.Observe(gap.Seconds()) }
	m.registry.MustRegister(m.writes, m.suspected, m.expired, m.leadershipGained, m.leaseGaps, &leaseCollector{replica})
	m.registerStatusGauges(replica)
	return m
}

// registerStatusGauges registers the gauges that are read from the replica's Status.
func (m *metrics) registerStatusGauges(replica *Replica) {
	gauge := func(name, help string, value func(Status) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return value(replica.status())
		}))
	}
	gauge("milldeck_registry_revision", "Revision of the endpoint list.", func(s Status) float64 { return float64(s.Revision) })
	gauge("milldeck_registry_instances", "Instances in the endpoint list.", func(s Status) float64 { return float64(s.Instances) })
	gauge("milldeck_registry_suspects", "Instances whose expiry is held back.", func(s Status) float64 { return float64(s.Suspects) })
	gauge("milldeck_registry_watchers", "Open watches.", func(s Status) float64 { return float64(s.Watchers) })
	gauge("milldeck_registry_age_seconds", "Maximum age of the state.", func(s Status) float64 { return float64(s.AgeMS) / 1000 })
	gauge("milldeck_registry_leader", "1 while this replica is the leader.", func(s Status) float64 {
		if s.Role == RoleLeader {
			return 1
		}
		return 0
	})
}

var (
	leaseHeldDesc       = newLeaseDesc("milldeck_duty_held", "1 while the lease has a holder whose token is valid.")
	leaseChangesDesc    = newLeaseDesc("milldeck_duty_changes_total", "Changes of the lease's holder.")
	leaseCandidatesDesc = newLeaseDesc("milldeck_duty_candidates", "Candidates that wait for the lease.")
	leaseAgeDesc        = newLeaseDesc("milldeck_duty_age_seconds", "How long the lease has been held; only the leader reports it.")
)

// newLeaseDesc describes a metric whose label is the name of a lease.
func newLeaseDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"duty"}, nil)
}

// leaseCollector collects the metrics of each lease.
type leaseCollector struct{ replica *Replica }

// Describe implements prometheus.Collector.
func (c *leaseCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{leaseHeldDesc, leaseChangesDesc, leaseCandidatesDesc, leaseAgeDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *leaseCollector) Collect(output chan<- prometheus.Metric) {
	var leases []*leasetable.Lease
	c.replica.hub.Read(func(state *StateMachine) { leases = state.leases.Snapshot() })
	now := time.Now()
	for _, lease := range leases[:min(len(leases), maxLeaseMetrics)] {
		held := 0.0
		if lease.Holder != "" && !lease.Revoked {
			held = 1
		}
		output <- prometheus.MustNewConstMetric(leaseHeldDesc, prometheus.GaugeValue, held, lease.Name)
		output <- prometheus.MustNewConstMetric(leaseChangesDesc, prometheus.CounterValue, float64(lease.Transitions), lease.Name)
		output <- prometheus.MustNewConstMetric(leaseCandidatesDesc, prometheus.GaugeValue, float64(len(lease.Queue)), lease.Name)
		if c.replica.leadershipEstablished.Load() {
			age := c.replica.leaseTracker.heldFor(now, lease).Seconds()
			output <- prometheus.MustNewConstMetric(leaseAgeDesc, prometheus.GaugeValue, age, lease.Name)
		}
	}
}
