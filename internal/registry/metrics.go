package registry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"milldeck/internal/duty/table"
)

// metrics are a replica's own, on a register of its own, so that several run in one process.
type metrics struct {
	all     *prometheus.Registry
	writes  *prometheus.CounterVec
	held    prometheus.Counter
	expired prometheus.Counter
	changes prometheus.Counter // of leadership to this replica
	gaps    prometheus.Histogram
}

func newMetrics(r *Replica) *metrics {
	m := &metrics{
		all: prometheus.NewRegistry(),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "milldeck_registry_writes_total", Help: "Writes applied on this leader, by operation and outcome.",
		}, []string{"op", "outcome"}),
		held:    prometheus.NewCounter(prometheus.CounterOpts{Name: "milldeck_registry_held_total", Help: "Instances held back from a mass expiry."}),
		expired: prometheus.NewCounter(prometheus.CounterOpts{Name: "milldeck_registry_expired_total", Help: "Leases that ended."}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{Name: "milldeck_registry_led_total", Help: "Times that this replica became the leader."}),
	}
	m.gaps = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "milldeck_duty_gap_seconds", Help: "Time without a holder, seen by this leader: from a release or the last renewal to the next holder's first.",
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
	})
	r.duties.gap = func(d time.Duration) { m.gaps.Observe(d.Seconds()) }
	gauge := func(name, help string, of func(Status) float64) {
		m.all.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return of(r.status()) }))
	}
	gauge("milldeck_registry_revision", "Revision of the list.", func(s Status) float64 { return float64(s.Rev) })
	gauge("milldeck_registry_instances", "Instances in the list.", func(s Status) float64 { return float64(s.Instances) })
	gauge("milldeck_registry_suspects", "Instances held back from expiry.", func(s Status) float64 { return float64(s.Suspects) })
	gauge("milldeck_registry_watchers", "Open watches.", func(s Status) float64 { return float64(s.Watchers) })
	gauge("milldeck_registry_age_seconds", "How old the list may be.", func(s Status) float64 { return float64(s.AgeMS) / 1000 })
	gauge("milldeck_registry_leader", "1 while this replica leads.", func(s Status) float64 {
		if s.Role == "Leader" {
			return 1
		}
		return 0
	})
	m.all.MustRegister(m.writes, m.held, m.expired, m.changes, m.gaps, &dutyCollector{r})
	return m
}

// mostDutyMetrics bounds the series: beyond so many duties only the first by name have their own.
const mostDutyMetrics = 1000

var (
	dutyHeld    = prometheus.NewDesc("milldeck_duty_held", "1 while the duty has a holder whose token counts.", []string{"duty"}, nil)
	dutyChanges = prometheus.NewDesc("milldeck_duty_changes_total", "Changes of the duty's holder.", []string{"duty"}, nil)
	dutyQueue   = prometheus.NewDesc("milldeck_duty_candidates", "Candidates that wait for the duty.", []string{"duty"}, nil)
	dutyAge     = prometheus.NewDesc("milldeck_duty_age_seconds", "How long the duty has been held, on the leader.", []string{"duty"}, nil)
)

// dutyCollector tells of each duty as the replica has it.
type dutyCollector struct{ r *Replica }

func (c *dutyCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{dutyHeld, dutyChanges, dutyQueue, dutyAge} {
		to <- d
	}
}

func (c *dutyCollector) Collect(to chan<- prometheus.Metric) {
	var list []*table.Lease
	c.r.hub.Read(func(s *State) { list = s.duties.Snapshot() })
	now := time.Now()
	for _, d := range list[:min(len(list), mostDutyMetrics)] {
		held := 0.0
		if d.Holder != "" && !d.Revoked {
			held = 1
		}
		to <- prometheus.MustNewConstMetric(dutyHeld, prometheus.GaugeValue, held, d.Name)
		to <- prometheus.MustNewConstMetric(dutyChanges, prometheus.CounterValue, float64(d.Transitions), d.Name)
		to <- prometheus.MustNewConstMetric(dutyQueue, prometheus.GaugeValue, float64(len(d.Queue)), d.Name)
		if c.r.leading.Load() {
			to <- prometheus.MustNewConstMetric(dutyAge, prometheus.GaugeValue, c.r.duties.age(now, d).Seconds(), d.Name)
		}
	}
}
