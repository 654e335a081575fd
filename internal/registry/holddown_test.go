package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/leaderelection/leasetable"
)

// holdDownMutant is a rule that the model breaks deliberately, to show that the model detects the violation.
type holdDownMutant int

const (
	noHoldDownMutant holdDownMutant = iota
	neverCountsShort                // no tenure counts as short
	holdsDownAlone                  // a candidate without competitors is held down, too
	holdsDownForever                // a hold-down never ends
)

// holdDownModel simulates the candidates of one lease on a virtual clock, in steps of 50 ms. A flapping candidate
// releases the lease or fails before three lease durations have passed; a steady candidate keeps the lease.
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

// holdDownCandidate is a candidate, and at times the holder.
type holdDownCandidate struct {
	name          string
	flaps         bool
	silentUntil   time.Duration // the candidate sends nothing until then
	heldFrom      time.Duration
	holds         bool
	failsAt       time.Duration
	tenureEndedAt time.Duration // when its last tenure ended
	shortTenures  int           // in a row, as the model counts them
	heldDownSince time.Duration // start of the current hold-down; 0: the candidate is not held down
	tenures       int
	lastCampaign  time.Duration
}

const holdDownStep = 50 * time.Millisecond

func (m *holdDownModel) clock() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

func (m *holdDownModel) apply(op leasetable.Operation) {
	m.index++
	m.state.Apply(m.index, &Record{Op: OpLease, Lease: &op})
	m.leader.refresh(m.clock(), m.state, op.Name)
}

func (m *holdDownModel) current() leasetable.Lease {
	current, _ := m.state.Leases().Get("d")
	return current
}

// endTenure ends a tenure, by a release or by expiry.
func (m *holdDownModel) endTenure(op leasetable.Operation) {
	if m.mutant == neverCountsShort {
		op.ShortTenure = false
	}
	for _, candidate := range m.candidates {
		if candidate.name == op.Candidate && candidate.holds {
			candidate.holds, candidate.tenureEndedAt = false, m.now
			startObserved := candidate.heldFrom > m.leaderSince+modelTTL
			if m.now-candidate.heldFrom < shortTenureLeases*modelTTL && startObserved {
				candidate.shortTenures++
			} else {
				candidate.shortTenures = 0
			}
		}
	}
	m.apply(op)
}

// campaign makes a candidate campaign, and checks whether the tracker admits it or holds it down as the rules require.
func (m *holdDownModel) campaign(candidate *holdDownCandidate) {
	candidate.lastCampaign = m.now
	others := 0
	current := m.current()
	for _, other := range m.candidates {
		if other != candidate && (current.Holder == other.name || len(current.Queue) > 0 || other.heldDownSince > 0 && m.now-other.lastCampaign < modelTTL) {
			others++
		}
	}
	// A new leader restarts all hold-downs, so that the model knows only the bounds of their ends.
	duration := holdDownDuration(modelTTL, min(candidate.shortTenures, leasetable.MaxShortTenureCount))
	heldDown := candidate.shortTenures > allowedShortTenures && candidate.tenureEndedAt >= m.leaderSince &&
		m.now < candidate.tenureEndedAt+duration
	admitted := m.leader.admitCandidate(m.clock(), m.state, "d", candidate.name)
	if m.mutant == holdsDownAlone && heldDown || m.mutant == holdsDownForever && candidate.shortTenures > allowedShortTenures {
		admitted = false
	}
	switch {
	case admitted && heldDown && others > 0:
		m.violation = fmt.Sprintf("at %v %s is admitted after %d short tenures, the last until %v", m.now, candidate.name, candidate.shortTenures, candidate.tenureEndedAt)
	case !admitted && others == 0:
		m.violation = fmt.Sprintf("at %v %s is held down though it is the only candidate", m.now, candidate.name)
	case !admitted && candidate.heldDownSince > 0 && m.now > max(candidate.heldDownSince, m.leaderSince)+maxHoldDown:
		m.violation = fmt.Sprintf("at %v %s has been held down since %v", m.now, candidate.name, candidate.heldDownSince)
	}
	if admitted {
		candidate.heldDownSince = 0
		m.apply(leasetable.Operation{Kind: leasetable.Campaign, Name: "d", Candidate: candidate.name, TTLMS: modelTTL.Milliseconds()})
	} else if candidate.heldDownSince == 0 {
		candidate.heldDownSince = m.now
	}
}

// step runs one candidate for a step of the clock.
func (m *holdDownModel) step(candidate *holdDownCandidate) {
	if m.now < candidate.silentUntil {
		return
	}
	current := m.current()
	switch {
	case current.Holder == candidate.name:
		if !candidate.holds {
			candidate.holds, candidate.heldFrom, candidate.tenures = true, m.now, candidate.tenures+1
			candidate.failsAt = m.now + time.Duration(rapid.IntRange(1, 30).Draw(m.t, "fails after"))*holdDownStep
		}
		if candidate.flaps && m.now >= candidate.failsAt {
			if rapid.Bool().Draw(m.t, "silent") {
				candidate.silentUntil = m.now + modelTTL*3/2
				return
			}
			m.endTenure(leasetable.Operation{Kind: leasetable.Release, Name: "d", Candidate: candidate.name, Token: current.Token,
				ShortTenure: m.leader.isShortTenure(m.clock(), "d", candidate.name, current.Token)})
			return
		}
		m.leader.renew(m.clock(), m.state, "d", candidate.name, current.Token)
	case m.now-candidate.lastCampaign >= modelTTL/3:
		if !m.leader.renew(m.clock(), m.state, "d", candidate.name, 0) {
			m.campaign(candidate)
		}
	}
}

// runHoldDownModel simulates two minutes. The leader changes at times if changeLeaders is set. Changes is the number of
// changes of the holder.
func runHoldDownModel(t *rapid.T, mutant holdDownMutant, flappers, steady int, changeLeaders bool) (violation string, changes uint64, model *holdDownModel) {
	model = &holdDownModel{t: t, mutant: mutant, state: NewStateMachine(), leader: newLeaseTracker(), leaderSince: -time.Hour}
	for index := range flappers + steady {
		model.candidates = append(model.candidates, &holdDownCandidate{name: fmt.Sprint("c", index), flaps: index < flappers, lastCampaign: -modelTTL})
	}
	for ; model.now < 2*time.Minute && model.violation == ""; model.now += holdDownStep {
		for _, candidate := range model.candidates {
			model.step(candidate)
		}
		for _, op := range model.leader.beginExpiry(model.clock()) {
			model.endTenure(op)
		}
		if changeLeaders && rapid.IntRange(0, 99).Draw(t, "another leader") == 0 {
			model.leader, model.leaderSince = newLeaseTracker(), model.now
			model.leader.reset(model.clock(), model.state)
		}
	}
	return model.violation, model.current().Transitions, model
}

// runHoldDownExamples runs the simulation with a number of seeds, the same in each test, until the first violation.
// Changes is the largest number of changes in one run. SteadyHeld reports whether the steady candidate held the lease at
// the end of every run.
func runHoldDownExamples(seeds int, mutant holdDownMutant, flappers, steady int, changeLeaders bool) (violation string, changes uint64, steadyHeld bool) {
	steadyHeld = true
	for seed := range seeds {
		violation = rapid.Custom(func(t *rapid.T) string {
			found, n, model := runHoldDownModel(t, mutant, flappers, steady, changeLeaders)
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

// Flapping candidates rarely take the lease from each other. A steady candidate soon holds the lease, a candidate without
// competitors is never held down, and every hold-down ends.
func TestHoldDownModel(t *testing.T) {
	for _, tc := range []struct {
		flappers, steady int
		changeLeaders    bool
		maxChanges       uint64 // changes of the holder in two minutes
	}{
		{2, 0, false, 80}, {3, 0, false, 80}, {2, 1, false, 12}, {1, 0, false, 400}, {2, 0, true, 400}, {2, 1, true, 400},
	} {
		violation, changes, held := runHoldDownExamples(15, noHoldDownMutant, tc.flappers, tc.steady, tc.changeLeaders)
		if violation != "" || changes > tc.maxChanges || !held {
			t.Errorf("%+v: %d changes, held by the steady one: %v; %s", tc, changes, held, violation)
		}
		t.Logf("%+v: at most %d changes", tc, changes)
	}
}

// The model detects each broken rule.
func TestHoldDownModelDetectsMutants(t *testing.T) {
	for name, tc := range map[string]struct {
		mutant           holdDownMutant
		flappers, steady int
	}{"counts": {neverCountsShort, 2, 0}, "only one": {holdsDownAlone, 1, 0}, "end": {holdsDownForever, 3, 0}} {
		t.Run(name, func(t *testing.T) {
			if violation, _, _ := runHoldDownExamples(15, tc.mutant, tc.flappers, tc.steady, false); violation == "" {
				t.Error("no violation with 15 seeds")
			}
		})
	}
}
