package balance

import "testing"

// Discovery takes calls in turn at a fixed rate, works also on those given up meanwhile, and fails what
// waited too long. Called by all at once, and again by all soon after, it never caught up.
func TestMassRestartDoesNotOverloadDiscovery(t *testing.T) {
	const balancers, work, patience, until = 80, 90.0, 2000.0, 20000.0 // ms a call, ms waited, ms in all
	cfg := baseConfig()
	cfg.Subscribe = true
	subscribed, calls, last, free := 0, 0, 0.0, 0.0
	w := &simulatedFleet{t: t, now: 1000, onOutcome: func(int, Outcome) {}}
	w.onAction = func(from int, a Action) {
		if a.Kind != WatchEndpoints {
			return
		}
		calls++
		free = max(free, w.now) + work
		if free > w.now+patience {
			w.schedule(w.now+patience, from, EndpointUpdate{Kind: UpdateFailed})
			return
		}
		w.schedule(free, from, EndpointUpdate{Kind: UpdateFull, Servers: testServers(4)})
		subscribed++
		last = free
	}
	for i := range balancers {
		cfg.Seed, cfg.SidecarIndex, cfg.SidecarCount = splitmix64(uint64(i)+1), i, balancers
		w.balancers = append(w.balancers, mustNew(t, cfg))
		w.execute(i, w.balancers[i].Start(w.now))
	}
	w.run(w.now + until)
	if subscribed != balancers {
		t.Errorf("%d of %d are subscribed after %v ms", subscribed, balancers, until)
	}
	if least := balancers * work; last-1000 > 2*least {
		t.Errorf("the last was told after %.0f ms, by a service that can tell all in %.0f", last-1000, least)
	}
	if calls > 2*balancers {
		t.Errorf("%d calls of %d sidecars", calls, balancers)
	}
}
