package balance

import "testing"

// Discovery answers polls in order at a fixed rate, including polls whose callers have given up, and fails polls that
// waited too long. If all sidecars polled at once, and again soon after, discovery would never catch up.
func TestMassRestartDoesNotOverloadDiscovery(t *testing.T) {
	const balancers, pollDuration, pollTimeout, duration = 80, 90.0, 2000.0, 20000.0 // ms per poll, max. wait, total
	cfg := baseConfig()
	cfg.Subscribe = true
	answered, polls, lastAnswerAt, idleAt := 0, 0, 0.0, 0.0
	fleet := &simulatedFleet{t: t, now: 1000, onOutcome: func(int, Outcome) {}}
	fleet.onAction = func(from int, a Action) {
		if a.Kind != WatchEndpoints {
			return
		}
		polls++
		idleAt = max(idleAt, fleet.now) + pollDuration
		if idleAt > fleet.now+pollTimeout {
			fleet.schedule(fleet.now+pollTimeout, from, EndpointUpdate{Kind: UpdateFailed})
			return
		}
		fleet.schedule(idleAt, from, EndpointUpdate{Kind: UpdateFull, Servers: testServers(4)})
		answered++
		lastAnswerAt = idleAt
	}
	for i := range balancers {
		cfg.Seed, cfg.SidecarIndex, cfg.SidecarCount = splitmix64(uint64(i)+1), i, balancers
		fleet.balancers = append(fleet.balancers, mustNew(t, cfg))
		fleet.execute(i, fleet.balancers[i].Start(fleet.now))
	}
	fleet.run(fleet.now + duration)
	if answered != balancers {
		t.Errorf("%d of %d are subscribed after %v ms", answered, balancers, duration)
	}
	if minimum := balancers * pollDuration; lastAnswerAt-1000 > 2*minimum {
		t.Errorf("the last sidecar was informed after %.0f ms; discovery can inform all within %.0f ms",
			lastAnswerAt-1000, minimum)
	}
	if polls > 2*balancers {
		t.Errorf("%d polls of %d sidecars", polls, balancers)
	}
}

// A failed poll leaves the list unchanged and is repeated with a growing backoff, within the poll interval.
func TestDiscoveryPollsBackOff(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	h := newHarness(t, cfg, testServers(3)...)
	if len(h.actions) != 1 || h.actions[0].Token != discoveryTimer ||
		h.actions[0].Delay > pollBackoffPerSidecar*float64(cfg.SidecarCount) {
		t.Fatalf("at the start: %+v", h.actions)
	}
	if !hasAction(h.handle(TimerFired{Token: discoveryTimer}), WatchEndpoints) {
		t.Fatal("the first timer does not subscribe")
	}
	var backoffs []float64
	for range 6 {
		actions := h.handle(EndpointUpdate{Kind: UpdateFailed})
		if len(actions) != 1 || actions[0].Token != discoveryTimer || actions[0].Delay > cfg.PollInterval {
			t.Fatalf("after a failed poll: %+v", actions)
		}
		backoffs = append(backoffs, actions[0].Delay)
		h.now += actions[0].Delay
		if !hasAction(h.handle(TimerFired{Token: discoveryTimer}), WatchEndpoints) {
			t.Fatal("not polled again")
		}
	}
	if backoffs[5] < 2*backoffs[0] || len(h.balancer.servers) != 3 {
		t.Fatalf("backoffs %v, %d servers", backoffs, len(h.balancer.servers))
	}
}

// A sidecar counts as informed 6 s after discovery becomes reachable. After a poll that found discovery
// unreachable, the next poll follows within 3 s, whatever the size of the fleet and the number of failures.
// The first poll of a sidecar also happens within 3 s. The sidecars of a large fleet must not poll at the
// same time. In a small fleet, the next poll also follows within 3 s after a poll that waited in the queue
// of discovery.
func TestDiscoveryPollsResumeInTime(t *testing.T) {
	for _, sidecars := range []int{1, 5, 30, 31, 80, 1000} {
		for _, unqueued := range []bool{true, false} {
			longest, short := 0.0, 0
			for seed := range uint64(50) {
				cfg := baseConfig()
				cfg.Subscribe, cfg.SidecarCount, cfg.Seed = true, sidecars, splitmix64(seed+1)
				h := newHarness(t, cfg, testServers(3)...)
				if h.actions[0].Delay > maxUnqueuedPollBackoff {
					t.Errorf("%d sidecars: the first poll after %v ms", sidecars, h.actions[0].Delay)
				}
				for range 8 {
					h.handle(TimerFired{Token: discoveryTimer})
					backoff := h.handle(EndpointUpdate{Kind: UpdateFailed, DiscoveryUnreachable: unqueued})[0].Delay
					if longest = max(longest, backoff); backoff < maxUnqueuedPollBackoff/3 {
						short++
					}
				}
			}
			if overBound := longest > maxUnqueuedPollBackoff; overBound != (sidecars > 30 && !unqueued) {
				t.Errorf("%d sidecars, unqueued %v: a backoff of %v ms", sidecars, unqueued, longest)
			}
			if unqueued && sidecars > 30 && (short < 50*8/5 || longest < maxUnqueuedPollBackoff*0.9) {
				t.Errorf("%d sidecars: %d of 400 backoffs in the first third, the longest %v ms", sidecars, short, longest)
			}
		}
	}
}

// timeOfThirdPoll returns the time from the first poll to the third one, in ms. Discovery rejects the first two
// after a time.
func timeOfThirdPoll(t *testing.T, sidecars int, seed uint64, duration float64) float64 {
	t.Helper()
	cfg := baseConfig()
	cfg.Subscribe, cfg.SidecarCount, cfg.Seed = true, sidecars, splitmix64(seed+1)
	h := newHarness(t, cfg, testServers(3)...)
	h.now += h.actions[0].Delay
	polledAt := h.now
	for range 2 {
		if !hasAction(h.handle(TimerFired{Token: discoveryTimer}), WatchEndpoints) {
			t.Fatal("the timer does not poll discovery")
		}
		h.now += duration
		h.now += h.handle(EndpointUpdate{Kind: UpdateFailed, DiscoveryUnreachable: duration < queuedFrom})[0].Delay
	}
	return h.now - polledAt
}

const (
	queuedFrom      = 1000.0 // a poll that is rejected after this time, in ms, has waited in discovery's queue
	longestRejected = 2500.0 // a sidecar opens the next call beside one that takes longer
	rejectedStep    = 100.0
)

// checkThirdPolls fails the test if a poll that follows two rejected ones comes too late.
func checkThirdPolls(t *testing.T, sidecars int, shortest, longest float64) {
	t.Helper()
	for duration := shortest; duration <= longest; duration += rejectedStep {
		worst := 0.0
		for seed := range uint64(200) {
			worst = max(worst, timeOfThirdPoll(t, sidecars, seed, duration))
		}
		if worst > notificationDeadline-earlyPollReserve {
			t.Errorf("%d sidecars, rejected after %v ms: the third poll comes %.0f ms after the first", sidecars, duration, worst)
		}
	}
}

// Discovery rejected two polls, and the backoff after them was longer than what was left of the 6 s.
func TestBackoffAfterRejectedPollsExceedsNotificationDeadline(t *testing.T) {
	for _, sidecars := range []int{1, 3, 10, 20, 30} {
		checkThirdPolls(t, sidecars, 0, longestRejected)
	}
	for _, sidecars := range []int{31, 80, 300, 900} {
		checkThirdPolls(t, sidecars, 0, queuedFrom-rejectedStep)
	}
}

// The same, where the polls of a large fleet have waited in discovery's queue.
func TestBackoffOfLargeFleetExceedsNotificationDeadline(t *testing.T) {
	for _, sidecars := range []int{31, 80, 300, 900} {
		checkThirdPolls(t, sidecars, queuedFrom, longestRejected)
	}
}

// The sidecar followed discovery to another address, and polls that had failed at the former one lengthened the backoff.
func TestBackoffOfFormerDiscoveryOutlastsAddressChange(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe, cfg.SidecarCount = true, 30
	for _, polling := range []bool{false, true} {
		h := newHarness(t, cfg, testServers(3)...)
		for range 6 {
			h.handle(TimerFired{Token: discoveryTimer})
			h.now += longestRejected
			h.handle(EndpointUpdate{Kind: UpdateFailed})
		}
		if polling {
			h.handle(TimerFired{Token: discoveryTimer})
			h.now += longestRejected
		}
		changedAt := h.now
		h.handle(DiscoveryAddressChanged{})
		for range 2 {
			h.now += longestRejected
			h.now += h.handle(EndpointUpdate{Kind: UpdateFailed})[0].Delay
			h.handle(TimerFired{Token: discoveryTimer})
		}
		if elapsed := h.now - changedAt; elapsed > notificationDeadline-earlyPollReserve {
			t.Errorf("polling %v: the third poll at the new address comes after %.0f ms", polling, elapsed)
		}
	}
}
