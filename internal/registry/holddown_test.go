package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/duty/table"
)

// downFault is what a mutant of the hold-down's model leaves out.
type downFault int

const (
	downSound   downFault = iota
	neverCounts           // no tenure counts as short
	alwaysWaits           // also who is the only one waits
	noEnd                 // a wait never ends
)

// downWorld is candidates of one duty on a virtual clock in steps of 50 ms. A flapper gives the duty up, or falls silent,
// within short of three leases; a steady one holds until it is told to go.
type downWorld struct {
	t      *rapid.T
	broken downFault
	now    time.Duration
	index  uint64
	state  *State
	leader *dutyLeases
	all    []*downCandidate
	since  time.Duration // of the newest leader
	wrong  string
}

type downCandidate struct {
	who       string
	flaps     bool
	away      time.Duration // until when it is silent
	heldFrom  time.Duration
	holds     bool
	failsAt   time.Duration
	wentAt    time.Duration // when its last tenure ended
	short     int           // tenures in a row, as this model counts them
	refused   time.Duration // since when it has been refused; 0: it is not
	tenures   int
	lastSeeks time.Duration
}

const downStep = 50 * time.Millisecond

func (w *downWorld) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func (w *downWorld) apply(op table.Operation) {
	w.index++
	w.state.Apply(w.index, &Record{Op: OpDuty, Duty: &op})
	w.leader.follow(w.clock(), w.state, op.Name)
}

func (w *downWorld) duty() table.Lease {
	d, _ := w.state.Duties().Get("d")
	return d
}

// went ends a tenure, by a release or a lapse.
func (w *downWorld) went(op table.Operation) {
	if w.broken == neverCounts {
		op.ShortTenure = false
	}
	for _, c := range w.all {
		if c.who == op.Candidate && c.holds {
			c.holds, c.wentAt = false, w.now
			if w.now-c.heldFrom < shortLeases*modelTTL && c.heldFrom > w.since+modelTTL { // seen from its beginning
				c.short++
			} else {
				c.short = 0
			}
		}
	}
	w.apply(op)
}

func (w *downWorld) seek(c *downCandidate) {
	c.lastSeeks = w.now
	others := 0
	d := w.duty()
	for _, o := range w.all {
		if o != c && (d.Holder == o.who || len(d.Queue) > 0 || o.refused > 0 && w.now-o.lastSeeks < modelTTL) {
			others++
		}
	}
	// After a change of the leader the waits begin anew, so that only their bounds are known.
	waits := c.short > fallsAllowed && c.wentAt >= w.since && w.now < c.wentAt+downFor(modelTTL, min(c.short, table.MaxFailoverCount))
	yes := w.leader.admit(w.clock(), w.state, "d", c.who)
	if w.broken == alwaysWaits && waits || w.broken == noEnd && c.short > fallsAllowed {
		yes = false
	}
	switch {
	case yes && waits && others > 0:
		w.wrong = fmt.Sprintf("at %v %s came back after %d short tenures, the last until %v", w.now, c.who, c.short, c.wentAt)
	case !yes && others == 0:
		w.wrong = fmt.Sprintf("at %v %s has to wait though it is the only one", w.now, c.who)
	case !yes && c.refused > 0 && w.now > max(c.refused, w.since)+mostWait:
		w.wrong = fmt.Sprintf("at %v %s has waited since %v", w.now, c.who, c.refused)
	}
	if yes {
		c.refused = 0
		w.apply(table.Operation{Kind: table.Campaign, Name: "d", Candidate: c.who, TTLMS: modelTTL.Milliseconds()})
	} else if c.refused == 0 {
		c.refused = w.now
	}
}

func (w *downWorld) step(c *downCandidate) {
	if w.now < c.away {
		return
	}
	d := w.duty()
	switch {
	case d.Holder == c.who:
		if !c.holds {
			c.holds, c.heldFrom, c.tenures = true, w.now, c.tenures+1
			c.failsAt = w.now + time.Duration(rapid.IntRange(1, 30).Draw(w.t, "fails after"))*downStep
		}
		if c.flaps && w.now >= c.failsAt {
			if rapid.Bool().Draw(w.t, "silent") {
				c.away = w.now + modelTTL*3/2
				return
			}
			w.went(table.Operation{Kind: table.Release, Name: "d", Candidate: c.who, Token: d.Token,
				ShortTenure: w.leader.short(w.clock(), "d", c.who, d.Token)})
			return
		}
		w.leader.renew(w.clock(), w.state, "d", c.who, d.Token)
	case w.now-c.lastSeeks >= modelTTL/3:
		if !w.leader.renew(w.clock(), w.state, "d", c.who, 0) {
			w.seek(c)
		}
	}
}

// playDown runs candidates for two minutes; changes is how often the duty passed on.
func playDown(t *rapid.T, broken downFault, flappers, steady int, leaders bool) (wrong string, changes uint64, w *downWorld) {
	w = &downWorld{t: t, broken: broken, state: NewState(), leader: newDutyLeases(), since: -time.Hour}
	for i := range flappers + steady {
		w.all = append(w.all, &downCandidate{who: fmt.Sprint("c", i), flaps: i < flappers, lastSeeks: -modelTTL})
	}
	for ; w.now < 2*time.Minute && w.wrong == ""; w.now += downStep {
		for _, c := range w.all {
			w.step(c)
		}
		for _, op := range w.leader.ended(w.clock()) {
			w.went(op)
		}
		if leaders && rapid.IntRange(0, 99).Draw(t, "another leader") == 0 {
			w.leader, w.since = newDutyLeases(), w.now
			w.leader.reset(w.clock(), w.state)
		}
	}
	return w.wrong, w.duty().Transitions, w
}

// downExamples plays on so many seeds, the same with each run.
func downExamples(n int, broken downFault, flappers, steady int, leaders bool) (wrong string, changes uint64, steadyHeld bool) {
	steadyHeld = true
	for seed := range n {
		wrong = rapid.Custom(func(t *rapid.T) string {
			found, n, w := playDown(t, broken, flappers, steady, leaders)
			changes = max(changes, n)
			if steady > 0 && !w.all[flappers].holds {
				steadyHeld = false
			}
			return found
		}).Example(seed)
		if wrong != "" {
			return fmt.Sprintf("seed %d: %s", seed, wrong), changes, false
		}
	}
	return "", changes, steadyHeld
}

// Two that flap hardly trade the duty, a steady third soon has it, one alone never waits, and no wait is without end.
func TestHoldDownModel(t *testing.T) {
	for _, c := range []struct {
		flappers, steady int
		leaders          bool
		most             uint64 // changes of the holder in two minutes
	}{
		{2, 0, false, 80}, {3, 0, false, 80}, {2, 1, false, 12}, {1, 0, false, 400}, {2, 0, true, 400}, {2, 1, true, 400},
	} {
		wrong, changes, held := downExamples(15, downSound, c.flappers, c.steady, c.leaders)
		if wrong != "" || changes > c.most || !held {
			t.Errorf("%+v: %d changes, held by the steady one: %v; %s", c, changes, held, wrong)
		}
		t.Logf("%+v: at most %d changes", c, changes)
	}
}

// The model finds what is taken out.
func TestHoldDownModelFindsBugs(t *testing.T) {
	for name, c := range map[string]struct {
		broken           downFault
		flappers, steady int
	}{"counts": {neverCounts, 2, 0}, "only one": {alwaysWaits, 1, 0}, "end": {noEnd, 3, 0}} {
		t.Run(name, func(t *testing.T) {
			if wrong, _, _ := downExamples(15, c.broken, c.flappers, c.steady, false); wrong == "" {
				t.Error("nothing was found in 15 plays")
			}
		})
	}
}
