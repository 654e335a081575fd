package registry

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are a replica's own, on a register of its own, so that several run in one process.
type metrics struct {
	all     *prometheus.Registry
	writes  *prometheus.CounterVec
	held    prometheus.Counter
	expired prometheus.Counter
	changes prometheus.Counter // of leadership to this replica
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
	m.all.MustRegister(m.writes, m.held, m.expired, m.changes)
	return m
}
