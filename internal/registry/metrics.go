package registry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"milldeck/internal/leaderelection/leasetable"
)

// metrics are a replica's own, on a register of its own, so that several run in one process.
type metrics struct {
	registry         *prometheus.Registry
	writes           *prometheus.CounterVec
	heldBack         prometheus.Counter
	expired          prometheus.Counter
	leadershipGained prometheus.Counter // of leadership to this replica
	leaseGaps        prometheus.Histogram
}

func newMetrics(replica *Replica) *metrics {
	instruments := &metrics{
		registry: prometheus.NewRegistry(),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "milldeck_registry_writes_total", Help: "Writes applied on this leader, by operation and outcome.",
		}, []string{"op", "outcome"}),
		heldBack:         prometheus.NewCounter(prometheus.CounterOpts{Name: "milldeck_registry_held_total", Help: "Instances held back from a mass expiry."}),
		expired:          prometheus.NewCounter(prometheus.CounterOpts{Name: "milldeck_registry_expired_total", Help: "Leases that ended."}),
		leadershipGained: prometheus.NewCounter(prometheus.CounterOpts{Name: "milldeck_registry_led_total", Help: "Times that this replica became the leader."}),
	}
	instruments.leaseGaps = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "milldeck_duty_gap_seconds", Help: "Time without a holder, seen by this leader: from a release or the last renewal to the next holder's first.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
	})
	replica.leaseTracker.observeGap = func(gap time.Duration) { instruments.leaseGaps.Observe(gap.Seconds()) }
	gauge := func(name, help string, value func(Status) float64) {
		instruments.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(replica.status()) }))
	}
	gauge("milldeck_registry_revision", "Revision of the list.", func(status Status) float64 { return float64(status.Revision) })
	gauge("milldeck_registry_instances", "Instances in the list.", func(status Status) float64 { return float64(status.Instances) })
	gauge("milldeck_registry_suspects", "Instances held back from expiry.", func(status Status) float64 { return float64(status.Suspects) })
	gauge("milldeck_registry_watchers", "Open watches.", func(status Status) float64 { return float64(status.Watchers) })
	gauge("milldeck_registry_age_seconds", "How old the list may be.", func(status Status) float64 { return float64(status.AgeMS) / 1000 })
	gauge("milldeck_registry_leader", "1 while this replica leads.", func(status Status) float64 {
		if status.Role == "Leader" {
			return 1
		}
		return 0
	})
	instruments.registry.MustRegister(instruments.writes, instruments.heldBack, instruments.expired, instruments.leadershipGained, instruments.leaseGaps, &leaseCollector{replica})
	return instruments
}

// maxLeaseMetrics bounds the series: beyond so many duties only the first by name have their own.
const maxLeaseMetrics = 1000

var (
	leaseHeldDesc       = prometheus.NewDesc("milldeck_duty_held", "1 while the duty has a holder whose token counts.", []string{"duty"}, nil)
	leaseChangesDesc    = prometheus.NewDesc("milldeck_duty_changes_total", "Changes of the duty's holder.", []string{"duty"}, nil)
	leaseCandidatesDesc = prometheus.NewDesc("milldeck_duty_candidates", "Candidates that wait for the duty.", []string{"duty"}, nil)
	leaseAgeDesc        = prometheus.NewDesc("milldeck_duty_age_seconds", "How long the duty has been held, on the leader.", []string{"duty"}, nil)
)

// leaseCollector tells of each duty as the replica has it.
type leaseCollector struct{ replica *Replica }

func (c *leaseCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{leaseHeldDesc, leaseChangesDesc, leaseCandidatesDesc, leaseAgeDesc} {
		descs <- desc
	}
}

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
		if c.replica.isLeader.Load() {
			output <- prometheus.MustNewConstMetric(leaseAgeDesc, prometheus.GaugeValue, c.replica.leaseTracker.heldFor(now, lease).Seconds(), lease.Name)
		}
	}
}
