package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// drawFunc draws a number from a range: with rapid, or from a seeded random source in the test of injected faults.
type drawFunc func(name string, minimum, maximum int64) int64

// clock models the clocks of a machine. The monotonic clock is correct, the wall clock may be set at any time.
type clock struct{ startedAt, offset int64 }

func (c *clock) wall(now int64) int64      { return now + c.offset }
func (c *clock) monotonic(now int64) int64 { return now - c.startedAt }

// relayFunc returns the update that an agent sends to a sidecar that watches it. LastUpdate is the last update that the
// agent received.
type relayFunc func(agent *Cache, lastUpdate *Update, after, epoch uint64, wallMS, monotonicMS int64) Update

// scenario models a registry with a correct clock, an agent that watches the registry, and a sidecar that watches the
// agent. The wall clocks of agent and sidecar are set at any time, updates are lost, and the agent restarts.
type scenario struct {
	draw  drawFunc
	relay relayFunc

	now                      int64
	table                    *Table
	approvedUntil            map[string]int64 // by ID: the latest expiry with which a directive was ever set
	agent, sidecar           *Cache
	agentClock, sidecarClock clock
	lastUpdate               *Update // the last update that the agent received
}

// runScenario runs a scenario. It returns an error if the agent or the sidecar has a directive in force after the end of
// the directive's approval.
func runScenario(draw drawFunc, relay relayFunc) error {
	s := &scenario{
		draw:          draw,
		relay:         relay,
		now:           1_000_000,
		table:         NewTable(),
		approvedUntil: map[string]int64{},
		agent:         NewCache(),
		sidecar:       NewCache(),
		sidecarClock:  clock{startedAt: 500},
		lastUpdate:    &Update{},
	}
	s.table.StartEpoch(1, 7)
	for index := uint64(2); index < 40; index++ {
		if err := s.step(index); err != nil {
			return err
		}
		if err := s.checkApproved("agent", s.agent, &s.agentClock); err != nil {
			return err
		}
		if err := s.checkApproved("sidecar", s.sidecar, &s.sidecarClock); err != nil {
			return err
		}
	}
	return nil
}

// step draws the next event and applies it.
func (s *scenario) step(index uint64) error {
	s.now += s.draw("pass", 0, 400)
	switch s.draw("what", 0, 8) {
	case 0, 1:
		return s.approve(index)
	case 2: // the leader removes directives some time after their expiry
		if expired := s.table.Expired(s.now-300, 5); expired != nil {
			s.table.Apply(index, "", &Op{LeaderTimeMS: s.now, Expired: expired})
		}
	case 3, 4:
		return s.updateAgent()
	case 5:
		return s.updateSidecar()
	case 6:
		s.agentClock.offset = s.draw("agent's clock", -2000, 2000)
	case 7:
		s.sidecarClock.offset = s.draw("sidecar's clock", -2000, 2000)
	case 8:
		return s.restartAgent()
	}
	return nil
}

// approve sets or renews a directive.
func (s *scenario) approve(index uint64) error {
	id := fmt.Sprint("window/a/", s.draw("id", 0, 2))
	directive := exclusion(id, s.now+s.draw("length", 1, 1500), "s")
	result := s.table.Apply(index, "window/a", &Op{LeaderTimeMS: s.now, Set: []Directive{directive}})
	if result.Outcome != OutcomeApplied {
		return errors.New(result.Reason)
	}
	// A consumer that misses an update with an earlier expiry keeps the directive until the previously approved time.
	s.approvedUntil[id] = max(s.approvedUntil[id], directive.ExpiresAtMS)
	return nil
}

// drawRevision returns the revision from which the watch of a cache continues, or 0 for a complete update, as after a
// reconnect to another replica.
func (s *scenario) drawRevision(cache *Cache) uint64 {
	if s.draw("complete", 0, 1) == 0 {
		return 0
	}
	return cache.Revision()
}

func (s *scenario) updateAgent() error {
	update := s.table.ChangesSince(s.drawRevision(s.agent), s.agent.Epoch(), s.now)
	s.lastUpdate = &update
	_, err := s.agent.Apply(&update, s.agentClock.wall(s.now), s.agentClock.monotonic(s.now))
	return err
}

func (s *scenario) updateSidecar() error {
	after := s.drawRevision(s.sidecar)
	if !s.agent.Synced() {
		return nil
	}
	update := s.relay(s.agent, s.lastUpdate, after, s.sidecar.Epoch(), s.agentClock.wall(s.now), s.agentClock.monotonic(s.now))
	_, err := s.sidecar.Apply(&update, s.sidecarClock.wall(s.now), s.sidecarClock.monotonic(s.now))
	if errors.Is(err, ErrDiscontinuous) {
		return nil
	}
	return err
}

// restartAgent restarts the agent from its saved placement. The wall clock may be set forward during the restart.
func (s *scenario) restartAgent() error {
	if !s.agent.Synced() {
		return nil
	}
	savedMS := s.agentClock.wall(s.now)
	saved := s.agent.Snapshot(savedMS, s.agentClock.monotonic(s.now))
	s.now += s.draw("down", 0, 500)
	s.agentClock.startedAt = s.now
	s.agentClock.offset += s.draw("set forward", 0, 1) * s.draw("by", 0, 300)
	s.agent = NewCache()
	return s.agent.Restore(saved, savedMS, s.agentClock.wall(s.now), s.agentClock.monotonic(s.now))
}

// checkApproved checks that each directive in force at a consumer is approved at this time.
func (s *scenario) checkApproved(consumer string, cache *Cache, clock *clock) error {
	for _, directive := range cache.Active(clock.wall(s.now), clock.monotonic(s.now)).Directives {
		approvedUntil := s.approvedUntil[directive.ID]
		if s.now >= approvedUntil {
			return fmt.Errorf("the %s has %s in force at %d, but its approval ended at %d", consumer, directive.ID, s.now, approvedUntil)
		}
		if directive.RemainingMS <= 0 || directive.ExpiresAtMS > approvedUntil {
			return fmt.Errorf("the %s has %+v in force, approved until %d", consumer, directive, approvedUntil)
		}
	}
	return nil
}

func relayCorrectly(agent *Cache, _ *Update, after, epoch uint64, wallMS, monotonicMS int64) Update {
	return agent.ChangesSince(after, epoch, wallMS, monotonicMS)
}

// No directive is in force for longer than its approval, whatever times the wall clocks of agent and sidecar are set to.
func TestDirectivesNeverOutliveApproval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, minimum, maximum int64) int64 {
			return rapid.Int64Range(minimum, maximum).Draw(t, name)
		}
		if err := runScenario(draw, relayCorrectly); err != nil {
			t.Fatal(err)
		}
	})
}

// countFailures returns the number of seeds for which the scenario fails.
func countFailures(relay relayFunc) int {
	failures := 0
	for seed := range uint64(600) {
		rng := rand.New(rand.NewPCG(seed, 1))
		draw := func(_ string, minimum, maximum int64) int64 { return minimum + rng.Int64N(maximum-minimum+1) }
		if runScenario(draw, relay) != nil {
			failures++
		}
	}
	return failures
}

// The scenario detects an agent that forwards RemainingMS unchanged, and an agent that uses only its wall clock.
func TestScenarioDetectsInjectedFaults(t *testing.T) {
	if failures := countFailures(relayCorrectly); failures != 0 {
		t.Fatalf("%d scenarios fail without a fault", failures)
	}
	forwardRemainingUnchanged := func(agent *Cache, lastUpdate *Update, after, epoch uint64, wallMS, monotonicMS int64) Update {
		update := agent.ChangesSince(after, epoch, wallMS, monotonicMS)
		for i := range update.Directives {
			for _, directive := range lastUpdate.Directives {
				if directive.ID == update.Directives[i].ID && directive.Revision == update.Directives[i].Revision {
					update.Directives[i].RemainingMS = directive.RemainingMS
				}
			}
		}
		return update
	}
	if failures := countFailures(forwardRemainingUnchanged); failures == 0 {
		t.Error("an agent that does not recompute RemainingMS is not detected")
	}
	useWallClockOnly := func(agent *Cache, _ *Update, after, epoch uint64, wallMS, _ int64) Update {
		return agent.updateSince(after, epoch, func(directive *Directive) int64 { return directive.ExpiresAtMS - wallMS })
	}
	if failures := countFailures(useWallClockOnly); failures == 0 {
		t.Error("an agent that uses only its wall clock is not detected")
	}
}

// If the registry's clock is behind, the registry sends too long a RemainingMS. The consumer's wall clock then expires
// the directive.
func TestWallClockExpiresOverlongRemainder(t *testing.T) {
	cache := NewCache()
	directive := exclusion("window/a/t", 10_000, "s")
	directive.Revision, directive.RemainingMS = 3, 9_000
	update := &Update{Revision: 3, Complete: true, Epoch: 7, Directives: []Directive{directive}}
	if _, err := cache.Apply(update, 9_500, 0); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		wallMS, monotonicMS int64
		want                int
	}{{9_999, 400, 1}, {9_999, 400, 1}, {10_000, 500, 0}, {5_000, 600, 0}} { // last: wall clock set back
		if got := cache.Active(step.wallMS, step.monotonicMS); len(got.Directives) != step.want {
			t.Errorf("at wall clock %d, monotonic clock %d: active %+v", step.wallMS, step.monotonicMS, got)
		}
	}
	if _, err := cache.Apply(update, 5_000, 700); err != nil || len(cache.Active(5_000, 700).Directives) != 0 {
		t.Errorf("after a repeat of the expired directive: active %+v, error %v", cache.Active(5_000, 700), err)
	}
	directive.Revision, directive.ExpiresAtMS = 4, 20_000
	if _, err := cache.Apply(&Update{Revision: 4, Epoch: 7, Directives: []Directive{directive}}, 10_100, 800); err != nil || len(cache.Active(10_100, 800).Directives) != 1 {
		t.Errorf("the renewed directive is not in force: %v", err)
	}
	if got := cache.Active(10_101, 800+9_000); len(got.Directives) != 0 { // only the monotonic clock has advanced
		t.Errorf("the monotonic clock does not expire the directive: %+v", got)
	}
}

// A cache applies updates that continue from its revision and epoch. It ignores older updates, and rejects discontinuous and
// invalid updates.
func TestCacheAppliesOnlyContinuousUpdates(t *testing.T) {
	cache := NewCache()
	updateOf := func(revision, epoch uint64, complete bool, id string) *Update {
		directive := exclusion(id, 10_000, "s")
		directive.Revision, directive.RemainingMS = revision, 5_000
		return &Update{Revision: revision, Epoch: epoch, Complete: complete, Directives: []Directive{directive}}
	}
	tooMany := &Update{Revision: 50, Epoch: 9, Complete: true, Directives: make([]Directive, MaxDirectives+1)}
	for i := range tooMany.Directives {
		tooMany.Directives[i].ID = fmt.Sprint("window/", i)
	}
	for _, c := range []struct {
		name    string
		update  *Update
		changed bool
		err     bool
		active  int
	}{
		{"incremental update before any complete one", updateOf(3, 7, false, "window/a"), false, true, 0},
		{"complete update", updateOf(3, 7, true, "window/a"), true, false, 1},
		{"older complete update", updateOf(2, 7, true, "window/b"), false, false, 1},
		{"incremental update", updateOf(4, 7, false, "window/b"), true, false, 2},
		{"kind of a later version", &Update{Revision: 5, Epoch: 7, Directives: []Directive{{ID: "x", Kind: "later", ExpiresAtMS: 9000, RemainingMS: 10, Revision: 5}}}, true, false, 3},
		{"incremental update of another epoch", updateOf(9, 8, false, "window/c"), false, true, 3},
		{"complete update after a restore from an older backup", updateOf(2, 8, true, "window/c"), true, false, 1},
		{"too many directives", tooMany, false, true, 1},
		{"removals", &Update{Revision: 6, Epoch: 8, Removed: []string{"window/c", "window/never"}}, true, false, 0},
	} {
		changed, err := cache.Apply(c.update, 1000, 0)
		if changed != c.changed || (err != nil) != c.err || len(cache.Active(1000, 0).Directives) != c.active {
			t.Errorf("%s: changed %v, error %v, then %+v", c.name, changed, err, cache.Active(1000, 0))
		}
	}
	if err := NewCache().Restore(Update{}, 1000, 999, 0); err == nil {
		t.Error("Restore succeeded although the wall clock was set back")
	}
}
