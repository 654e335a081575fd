package agent

import "github.com/prometheus/client_golang/prometheus"

// measure registers what the agent counts.
func (a *Agent) measure() {
	a.metrics = prometheus.NewRegistry()
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		a.metrics.MustRegister(c)
		return c
	}
	gauge := func(name, help string, of func() float64) {
		a.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, of))
	}
	a.moves = counter("milldeck_agent_moves_total", "Times that the agent left a replica for another.")
	a.helds = counter("milldeck_agent_held_total", "Lists held for confirmation.")
	a.epochs = counter("milldeck_agent_epochs_total", "Changes of the registry's epoch.")
	gauge("milldeck_agent_list_age_seconds", "Time since the registry last spoke; since the start if it never did.", func() float64 {
		return a.silence().Seconds()
	})
	gauge("milldeck_agent_revision", "Revision that sidecars are told.", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.core.served)
	})
	gauge("milldeck_agent_placement_revision", "Revision of the placement; 0: none is known.", func() float64 {
		rev, _ := a.places.at()
		return float64(rev)
	})
	gauge("milldeck_agent_placement_in_force", "Entries of the placement that have not ended.", func() float64 {
		a.places.mu.Lock()
		defer a.places.mu.Unlock()
		return float64(len(a.places.reader.Active(a.places.clock()).Directives))
	})
	gauge("milldeck_agent_servers", "Servers in the list.", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(len(a.core.targets))
	})
}
