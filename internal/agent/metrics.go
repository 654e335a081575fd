package agent

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the agent's counters and the Prometheus registry of its counters and gauges.
type metrics struct {
	registry         *prometheus.Registry
	replicaSwitches  prometheus.Counter
	unconfirmedLists prometheus.Counter
	epochChanges     prometheus.Counter
}

// registerMetrics creates the agent's metrics. The gauges' values are computed at each scrape.
func (a *Agent) registerMetrics() {
	m := &a.metrics
	m.registry = prometheus.NewRegistry()
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	m.replicaSwitches = counter("milldeck_agent_moves_total", "Times that the agent left a replica for another.")
	m.unconfirmedLists = counter("milldeck_agent_held_total", "Lists held for confirmation.")
	m.epochChanges = counter("milldeck_agent_epochs_total", "Changes of the registry's epoch.")
	gauge("milldeck_agent_list_age_seconds", "Time since the registry last spoke; since the start if it never did.", func() float64 {
		return a.registrySilence().Seconds()
	})
	gauge("milldeck_agent_revision", "Revision that sidecars are told.", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.list.servedRevision)
	})
	gauge("milldeck_agent_placement_revision", "Revision of the placement; 0: none is known.", func() float64 {
		revision, _ := a.placement.position()
		return float64(revision)
	})
	gauge("milldeck_agent_placement_in_force", "Entries of the placement that have not ended.", func() float64 {
		return float64(a.placement.activeDirectives())
	})
	gauge("milldeck_agent_servers", "Servers in the list.", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(len(a.list.targets))
	})
}
