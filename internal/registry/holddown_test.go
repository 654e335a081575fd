package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/leaderelection/leasetable"
)

// holdDownMutant is what a mutant of the hold-down's model leaves out.
type holdDownMutant int

const (
	noHoldDownMutant holdDownMutant = iota
	neverCountsShort                // no tenure counts as short
	holdsDownAlone                  // also who is the only one waits
	holdsDownForever                // a wait never ends
)

// holdDownModel is candidates of one duty on a virtual clock in steps of 50 ms. A flapper gives the duty up, or falls silent,
// within short of three leases; a steady one holds until it is told to go.
type holdDownModel struct {
	t           *rapid.T
	mutant      holdDownMutant
	now         time.Duration
	index       uint64
	state       *StateMachine
	leader      *leaseTracker
	candidates  []*holdDownCandidate
	leaderSince time.Duration // of the newest leader
	violation   string
}

type holdDownCandidate struct {
	name          string
	flaps         bool
	silentUntil   time.Duration // until when it is silent
	heldFrom      time.Duration
	holds         bool
	failsAt       time.Duration
	tenureEndedAt time.Duration // when its last tenure ended
	shortTenures  int           // tenures in a row, as this model counts them
	refusedSince  time.Duration // since when it has been refused; 0: it is not
	tenures       int
	lastCampaign  time.Duration
}

const holdDownStep = 50 * time.Millisecond

func (w *holdDownModel) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func (w *holdDownModel) apply(op leasetable.Operation) {
	w.index++
	w.state.Apply(w.index, &Record{Op: OpLease, Lease: &op})
	w.leader.refresh(w.clock(), w.state, op.Name)
}

func (w *holdDownModel) current() leasetable.Lease {
	current, _ := w.state.Leases().Get("d")
	return current
}

// endTenure ends a tenure, by a release or a lapse.
func (w *holdDownModel) endTenure(op leasetable.Operation) {
	if w.mutant == neverCountsShort {
		op.ShortTenure = false
	}
	for _, candidate := range w.candidates {
		if candidate.name == op.Candidate && candidate.holds {
			candidate.holds, candidate.tenureEndedAt = false, w.now
			if w.now-candidate.heldFrom < shortTenureLeases*modelTTL && candidate.heldFrom > w.leaderSince+modelTTL { // seen from its beginning
				candidate.shortTenures++
			} else {
				candidate.shortTenures = 0
			}
		}
	}
	w.apply(op)
}

func (w *holdDownModel) campaign(candidate *holdDownCandidate) {
	candidate.lastCampaign = w.now
	others := 0
	current := w.current()
	for _, other := range w.candidates {
		if other != candidate && (current.Holder == other.name || len(current.Queue) > 0 || other.refusedSince > 0 && w.now-other.lastCampaign < modelTTL) {
			others++
		}
	}
	// After a change of the leader the waits begin anew, so that only their bounds are known.
	heldDown := candidate.shortTenures > allowedShortTenures && candidate.tenureEndedAt >= w.leaderSince && w.now < candidate.tenureEndedAt+holdDownDuration(modelTTL, min(candidate.shortTenures, leasetable.MaxFailoverCount))
	admitted := w.leader.admitCandidate(w.clock(), w.state, "d", candidate.name)
	if w.mutant == holdsDownAlone && heldDown || w.mutant == holdsDownForever && candidate.shortTenures > allowedShortTenures {
		admitted = false
	}
	switch {
	case admitted && heldDown && others > 0:
		w.violation = fmt.Sprintf("at %v %s came back after %d short tenures, the last until %v", w.now, candidate.name, candidate.shortTenures, candidate.tenureEndedAt)
	case !admitted && others == 0:
		w.violation = fmt.Sprintf("at %v %s has to wait though it is the only one", w.now, candidate.name)
	case !admitted && candidate.refusedSince > 0 && w.now > max(candidate.refusedSince, w.leaderSince)+maxHoldDown:
		w.violation = fmt.Sprintf("at %v %s has waited since %v", w.now, candidate.name, candidate.refusedSince)
	}
	if admitted {
		candidate.refusedSince = 0
		w.apply(leasetable.Operation{Kind: leasetable.Campaign, Name: "d", Candidate: candidate.name, TTLMS: modelTTL.Milliseconds()})
	} else if candidate.refusedSince == 0 {
		candidate.refusedSince = w.now
	}
}

func (w *holdDownModel) step(candidate *holdDownCandidate) {
	if w.now < candidate.silentUntil {
		return
	}
	current := w.current()
	switch {
	case current.Holder == candidate.name:
		if !candidate.holds {
			candidate.holds, candidate.heldFrom, candidate.tenures = true, w.now, candidate.tenures+1
			candidate.failsAt = w.now + time.Duration(rapid.IntRange(1, 30).Draw(w.t, "fails after"))*holdDownStep
		}
		if candidate.flaps && w.now >= candidate.failsAt {
			if rapid.Bool().Draw(w.t, "silent") {
				candidate.silentUntil = w.now + modelTTL*3/2
				return
			}
			w.endTenure(leasetable.Operation{Kind: leasetable.Release, Name: "d", Candidate: candidate.name, Token: current.Token,
				ShortTenure: w.leader.isShortTenure(w.clock(), "d", candidate.name, current.Token)})
			return
		}
		w.leader.renew(w.clock(), w.state, "d", candidate.name, current.Token)
	case w.now-candidate.lastCampaign >= modelTTL/3:
		if !w.leader.renew(w.clock(), w.state, "d", candidate.name, 0) {
			w.campaign(candidate)
		}
	}
}

// runHoldDownModel runs candidates for two minutes; changes is how often the duty passed on.
func runHoldDownModel(t *rapid.T, mutant holdDownMutant, flappers, steady int, leaders bool) (violation string, changes uint64, model *holdDownModel) {
	model = &holdDownModel{t: t, mutant: mutant, state: NewStateMachine(), leader: newLeaseTracker(), leaderSince: -time.Hour}
	for index := range flappers + steady {
		model.candidates = append(model.candidates, &holdDownCandidate{name: fmt.Sprint("c", index), flaps: index < flappers, lastCampaign: -modelTTL})
	}
	for ; model.now < 2*time.Minute && model.violation == ""; model.now += holdDownStep {
		for _, candidate := range model.candidates {
			model.step(candidate)
		}
		for _, op := range model.leader.findExpired(model.clock()) {
			model.endTenure(op)
		}
		if leaders && rapid.IntRange(0, 99).Draw(t, "another leader") == 0 {
			model.leader, model.leaderSince = newLeaseTracker(), model.now
			model.leader.reset(model.clock(), model.state)
		}
	}
	return model.violation, model.current().Transitions, model
}

// runHoldDownExamples plays on so many seeds, the same with each run.
func runHoldDownExamples(n int, mutant holdDownMutant, flappers, steady int, leaders bool) (violation string, changes uint64, steadyHeld bool) {
	steadyHeld = true
	for seed := range n {
		violation = rapid.Custom(func(t *rapid.T) string {
			found, n, model := runHoldDownModel(t, mutant, flappers, steady, leaders)
			changes = max(changes, n)
			if steady > 0 && !model.candidates[flappers].holds {
				steadyHeld = false
			}
			return found
		}).Example(seed)
		if violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, violation), changes, false
		}
	}
	return "", changes, steadyHeld
}

// Two that flap hardly trade the duty, a steady third soon has it, one alone never waits, and no wait is without end.
func TestHoldDownModel(t *testing.T) {
	for _, tc := range []struct {
		flappers, steady int
		leaders          bool
		maxChanges       uint64 // changes of the holder in two minutes
	}{
		{2, 0, false, 80}, {3, 0, false, 80}, {2, 1, false, 12}, {1, 0, false, 400}, {2, 0, true, 400}, {2, 1, true, 400},
	} {
		violation, changes, held := runHoldDownExamples(15, noHoldDownMutant, tc.flappers, tc.steady, tc.leaders)
		if violation != "" || changes > tc.maxChanges || !held {
			t.Errorf("%+v: %d changes, held by the steady one: %v; %s", tc, changes, held, violation)
		}
		t.Logf("%+v: at most %d changes", tc, changes)
	}
}

// The model finds what is taken out.
func TestHoldDownModelDetectsMutants(t *testing.T) {
	for name, tc := range map[string]struct {
		broken           holdDownMutant
		flappers, steady int
	}{"counts": {neverCountsShort, 2, 0}, "only one": {holdsDownAlone, 1, 0}, "end": {holdsDownForever, 3, 0}} {
		t.Run(name, func(t *testing.T) {
			if violation, _, _ := runHoldDownExamples(15, tc.broken, tc.flappers, tc.steady, false); violation == "" {
				t.Error("nothing was found in 15 plays")
			}
		})
	}
}
