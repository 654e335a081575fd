package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// drawFunc draws a number from a range: with rapid, or from a seeded source where an injected fault has to be detected.
type drawFunc func(name string, minimum, maximum int64) int64

// clock is that of a machine: its monotonic clock is right, its wall clock may be set at any time.
type clock struct{ startedAt, offset int64 }

func (c *clock) wall(now int64) int64 { return now + c.offset }
func (c *clock) mono(now int64) int64 { return now - c.startedAt }

// relayFunc is how an agent answers a sidecar that watches it; lastUpdate is the last one that the agent received.
type relayFunc func(agent *Cache, lastUpdate *Update, after, epoch uint64, wallMS, monotonicMS int64) Update

// runScenario simulates a registry whose clock is right, an agent that watches it and a sidecar that watches the agent,
// both with wall clocks that are set to anything at any time, with lost lines and restarts of the agent. It returns an
// error when one of them has a directive in force past the time to which it was approved.
func runScenario(draw drawFunc, relay relayFunc) error {
	now := int64(1_000_000)
	table := NewTable()
	table.StartEpoch(1, 7)
	approvedUntil := map[string]int64{}
	agent, sidecar := NewCache(), NewCache()
	agentClock, sidecarClock := &clock{}, &clock{startedAt: 500}
	lastUpdate := &Update{}
	for index := uint64(2); index < 40; index++ {
		now += draw("pass", 0, 400)
		switch draw("what", 0, 8) {
		case 0, 1: // a directive is approved or renewed
			id := fmt.Sprint("window/a/", draw("id", 0, 2))
			directive := exclusion(id, now+draw("length", 1, 1500), "s")
			if result := table.Apply(index, "window/a", &Op{LeaderTimeMS: now, Set: []Directive{directive}}); result.Outcome != OutcomeApplied {
				return errors.New(result.Reason)
			}
			// A directive that was shortened lasts as approved before where the change is not received.
			approvedUntil[id] = max(approvedUntil[id], directive.ExpiresAtMS)
		case 2: // the leader removes expired ones, some time later
			if expired := table.Expired(now-300, 5); expired != nil {
				table.Apply(index, "", &Op{LeaderTimeMS: now, Expired: expired})
			}
		case 3, 4: // the agent receives changes, or a complete update as from another replica
			after := agent.Revision()
			if draw("complete", 0, 1) == 0 {
				after = 0
			}
			update := table.ChangesSince(after, agent.Epoch(), now)
			if _, err := agent.Apply(&update, agentClock.wall(now), agentClock.mono(now)); err != nil {
				return err
			}
			lastUpdate = &update
		case 5: // the sidecar receives changes
			after := sidecar.Revision()
			if draw("complete", 0, 1) == 0 {
				after = 0
			}
			if agent.Synced() {
				update := relay(agent, lastUpdate, after, sidecar.Epoch(), agentClock.wall(now), agentClock.mono(now))
				if _, err := sidecar.Apply(&update, sidecarClock.wall(now), sidecarClock.mono(now)); err != nil && !errors.Is(err, ErrDiscontinuous) {
					return err
				}
			}
		case 6:
			agentClock.offset = draw("agent's clock", -2000, 2000)
		case 7:
			sidecarClock.offset = draw("sidecar's clock", -2000, 2000)
		case 8: // the agent restarts; its wall clock may have been set forward meanwhile
			if !agent.Synced() {
				continue
			}
			saved, savedMS := agent.Snapshot(agentClock.wall(now), agentClock.mono(now)), agentClock.wall(now)
			now += draw("down", 0, 500)
			agentClock.startedAt = now
			agentClock.offset += draw("set forward", 0, 1) * draw("by", 0, 300)
			agent = NewCache()
			if err := agent.Restore(saved, savedMS, agentClock.wall(now), agentClock.mono(now)); err != nil {
				return err
			}
		}
		for consumer, update := range map[string]Update{
			"agent":   agent.Active(agentClock.wall(now), agentClock.mono(now)),
			"sidecar": sidecar.Active(sidecarClock.wall(now), sidecarClock.mono(now)),
		} {
			for _, directive := range update.Directives {
				if now >= approvedUntil[directive.ID] {
					return fmt.Errorf("the %s has %s at %d, approved to %d", consumer, directive.ID, now, approvedUntil[directive.ID])
				}
				if directive.RemainingMS <= 0 || directive.ExpiresAtMS > approvedUntil[directive.ID] {
					return fmt.Errorf("the %s has %+v, approved to %d", consumer, directive, approvedUntil[directive.ID])
				}
			}
		}
	}
	return nil
}

func relayCorrectly(agent *Cache, _ *Update, after, epoch uint64, wallMS, monoMS int64) Update {
	return agent.ChangesSince(after, epoch, wallMS, monoMS)
}

// However the wall clocks of agent and sidecar are set, no directive lasts longer than it was approved.
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

// countFailures counts the seeds of which the scenario fails.
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

// An agent that sends RemainingMS on as it received it, or that goes by its wall clock alone, is detected.
func TestScenarioDetectsInjectedFaults(t *testing.T) {
	if failures := countFailures(relayCorrectly); failures != 0 {
		t.Fatalf("%d scenarios fail without a fault", failures)
	}
	forwardRemainingUnchanged := func(agent *Cache, lastUpdate *Update, after, epoch uint64, wallMS, monoMS int64) Update {
		update := agent.ChangesSince(after, epoch, wallMS, monoMS)
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
		return agent.changesSince(after, epoch, func(directive *Directive) int64 { return directive.ExpiresAtMS - wallMS })
	}
	if failures := countFailures(useWallClockOnly); failures == 0 {
		t.Error("an agent that goes by its wall clock alone is not detected")
	}
}

// A registry whose clock is behind gives too much remaining time: then the consumer's own wall clock expires the
// directive.
func TestWallClockExpiresOverlongRemainder(t *testing.T) {
	cache := NewCache()
	directive := exclusion("window/a/t", 10_000, "s")
	directive.Revision, directive.RemainingMS = 3, 9_000
	update := &Update{Revision: 3, Complete: true, Epoch: 7, Directives: []Directive{directive}}
	if _, err := cache.Apply(update, 9_500, 0); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		wall, mono int64
		want       int
	}{{9_999, 400, 1}, {9_999, 400, 1}, {10_000, 500, 0}, {5_000, 600, 0}} { // set back, it stays expired
		if got := cache.Active(step.wall, step.mono); len(got.Directives) != step.want {
			t.Errorf("at %d, %d: %+v", step.wall, step.mono, got)
		}
	}
	if _, err := cache.Apply(update, 5_000, 700); err != nil || len(cache.Active(5_000, 700).Directives) != 0 {
		t.Errorf("a repeat revives it: %+v, %v", cache.Active(5_000, 700), err)
	}
	directive.Revision, directive.ExpiresAtMS = 4, 20_000
	if _, err := cache.Apply(&Update{Revision: 4, Epoch: 7, Directives: []Directive{directive}}, 10_100, 800); err != nil || len(cache.Active(10_100, 800).Directives) != 1 {
		t.Errorf("renewed it is not in force: %v", err)
	}
	if got := cache.Active(10_101, 800+9_000); len(got.Directives) != 0 { // the wall clock stands still
		t.Errorf("the monotonic clock does not expire it: %+v", got)
	}
}

// A cache applies what continues it, and leaves out what is older or invalid.
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
		{"changes before any complete update", updateOf(3, 7, false, "window/a"), false, true, 0},
		{"a complete update", updateOf(3, 7, true, "window/a"), true, false, 1},
		{"an older one", updateOf(2, 7, true, "window/b"), false, false, 1},
		{"a change", updateOf(4, 7, false, "window/b"), true, false, 2},
		{"a kind of a later version", &Update{Revision: 5, Epoch: 7, Directives: []Directive{{ID: "x", Kind: "later", ExpiresAtMS: 9000, RemainingMS: 10, Revision: 5}}}, true, false, 3},
		{"changes of another epoch", updateOf(9, 8, false, "window/c"), false, true, 3},
		{"a complete update of an older backup", updateOf(2, 8, true, "window/c"), true, false, 1},
		{"too many", tooMany, false, true, 1},
		{"removals", &Update{Revision: 6, Epoch: 8, Removed: []string{"window/c", "window/never"}}, true, false, 0},
	} {
		changed, err := cache.Apply(c.update, 1000, 0)
		if changed != c.changed || (err != nil) != c.err || len(cache.Active(1000, 0).Directives) != c.active {
			t.Errorf("%s: changed %v, error %v, then %+v", c.name, changed, err, cache.Active(1000, 0))
		}
	}
	if err := NewCache().Restore(Update{}, 1000, 999, 0); err == nil {
		t.Error("restored though the clock was set back")
	}
}
