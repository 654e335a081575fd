package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/supervisor"
)

// injectedDefect is a defect that the model adds to its calls of the core, to check that the test detects it.
type injectedDefect int

const (
	noDefect             injectedDefect = iota
	evictsFailedRequests                // the platform forgets a request whose response failed
	ignoresIncarnation                  // a request always names the current incarnation
	ignoresEpoch                        // a request always names the current epoch
)

// platformModel runs the core with simulated processes that are ready immediately and stop immediately.
type platformModel struct {
	*Core
	now     int64
	defect  injectedDefect
	started map[string]int    // number of started processes by request ID
	alive   map[uint64]string // unit names of the running processes
}

func newPlatformModel(defect injectedDefect) *platformModel {
	return &platformModel{
		Core: New(Options{Versions: versions, MaxRequestIDs: 8}, 1), now: 1, defect: defect,
		started: map[string]int{}, alive: map[uint64]string{},
	}
}

func (m *platformModel) settle() {
	m.Tick(m.now)
	for effects := m.Effects(); len(effects) > 0; effects = m.Effects() {
		for _, e := range effects {
			switch e := e.(type) {
			case Launch:
				m.alive[e.Process] = e.Unit.Name
				m.started[e.Unit.ConfigName]++
				m.ProcessReady(m.now, e.Process)
			case Signal:
				if e.Kind != Hangup && m.alive[e.Process] != "" {
					delete(m.alive, e.Process)
					m.ProcessExited(m.now, e.Process, "exit status 0")
				}
			}
		}
	}
}

// call makes one call. It returns nil if the outcome is unknown.
func (m *platformModel) call(r request) *supervisor.Outcome {
	if u := m.units[r.Unit]; u != nil && m.defect == ignoresIncarnation {
		r.Incarnation = u.Incarnation
	}
	if m.defect == ignoresEpoch {
		r.Epoch = m.epoch
	}
	response := m.Do(m.now, []request{r})
	m.settle()
	if m.defect == evictsFailedRequests && (response.Disconnect || response.Failure != "") {
		delete(m.records, r.ID)
	}
	if response.Disconnect || response.Failure != "" || response.DeferredTicket != 0 {
		m.now += 10 // the caller's timeout
		m.settle()
		return nil
	}
	return &response.Outcomes[0]
}

// reconcile brings a unit to a version, or stops it if version is "", as the interface prescribes: it reads the list, calls
// Do, and repeats the call with the same ID while the outcome is unknown; then it reads the list again. Each request uses its
// ID as the name of the configuration, so that the model can count the processes that the request has started.
func (m *platformModel) reconcile(draw drawFunc, id, unit, version string) (requests []request, err error) {
	for attempt := range 30 {
		list := m.list(m.now)
		for ; !list.Complete; list = m.list(m.now) {
			m.now += 100
			m.settle()
		}
		u := list.Find(unit)
		r := request{ID: fmt.Sprintf("%s.%d", id, attempt), Op: supervisor.Stop, Epoch: list.Epoch, Unit: unit}
		running := u != nil && u.State != supervisor.Exited
		if u != nil {
			r.Incarnation = u.Incarnation
		}
		switch {
		case version == "" && !running, running && u.Version == version:
			return requests, nil
		case version != "":
			r.Op, r.Kind, r.Version, r.Listen, r.ConfigName = supervisor.Start, supervisor.Sidecar, version, "127.0.0.1:1", r.ID
			if running {
				r.Op = supervisor.Restart
			}
		}
		requests = append(requests, r)
		for range 1 + draw("attempts", 3) {
			outcome := m.call(r)
			if outcome != nil && outcome.Rejected == supervisor.IncarnationMismatch && m.started[r.ID] > 0 {
				return nil, fmt.Errorf("request %s was executed, but its repeat was rejected: %s", r.ID, outcome.Detail)
			}
			if outcome != nil {
				break
			}
		}
	}
	return nil, fmt.Errorf("unit %s does not reach version %q: %+v", unit, version, m.list(m.now))
}

// drawFunc draws a number from 0 to n-1 for a named decision.
type drawFunc func(what string, n int) int

// runScenario brings units to drawn versions, once without faults, and once with faults and with repeats of earlier
// requests, some of them much later. Both runs have to end with the same versions, no request may have started two
// processes, and no unit may have two processes.
func runScenario(draw drawFunc, defect injectedDefect) error {
	faultless, faulty := newPlatformModel(noDefect), newPlatformModel(defect)
	never := func(string, int) int { return 0 }
	var earlier []request
	for i := range 1 + draw("steps", 12) {
		unit, version := []string{"a", "b", "c"}[draw("unit", 3)], []string{"", "1", "2"}[draw("version", 3)]
		fault := []Fault{
			{}, {Kind: FaultError}, {Kind: FaultHang, DurationMS: 50}, {Kind: FaultDelay, DelayMS: 10}, {Kind: FaultDropResponse}, {Kind: FaultLoseState, DurationMS: 200},
		}[draw("fault", 6)]
		if fault.Kind != "" {
			if err := faulty.SetFault(faulty.now, fault); err != nil {
				return err
			}
		}
		requests, err := faulty.reconcile(draw, fmt.Sprint("step", i), unit, version)
		if err != nil {
			return err
		}
		earlier = append(earlier, requests...)
		if _, err := faultless.reconcile(never, fmt.Sprint("step", i), unit, version); err != nil {
			return err
		}
		faulty.now += 20
		faulty.settle()
		for range draw("repeats", 4) {
			if len(earlier) > 0 {
				faulty.call(earlier[draw("repeat", len(earlier))])
			}
		}
	}
	faulty.ClearFaults(faulty.now)
	for id, n := range faulty.started {
		if n != 1 {
			return fmt.Errorf("request %s has started %d processes", id, n)
		}
	}
	alive := map[string]int{}
	for _, unit := range faulty.alive {
		if alive[unit]++; alive[unit] > 1 {
			return fmt.Errorf("unit %s has two processes", unit)
		}
	}
	if got, want := faulty.finalVersions(), faultless.finalVersions(); !maps.Equal(got, want) {
		return fmt.Errorf("final versions are %v, without faults %v", got, want)
	}
	return nil
}

// finalVersions returns the versions of the units that have not exited in the end.
func (m *platformModel) finalVersions() map[string]string {
	m.now += 1000
	m.settle()
	byUnit := map[string]string{}
	for _, u := range m.list(m.now).Units {
		if u.State != supervisor.Exited {
			byUnit[u.Name] = u.Version
		}
	}
	return byUnit
}

func TestRetriesUnderFaultsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runScenario(func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(t, what) }, noDefect); err != nil {
			t.Fatal(err)
		}
	})
}

// Runs all scenarios of two steps for one unit: once with up to two attempts per call, and once with up to one late repeat
// after each step.
func TestAllTwoStepScenarios(t *testing.T) {
	for _, c := range []struct{ attempts, repeats int }{{2, 1}, {1, 2}} {
		var choices, alternatives []int // the current scenario's choices, and the number of alternatives for each
		scenarios := 0
		for more := true; more; scenarios++ {
			at := 0
			err := runScenario(func(what string, n int) int {
				switch what {
				case "steps":
					return 1
				case "unit":
					return 0
				case "attempts":
					n = c.attempts
				case "repeats":
					n = c.repeats
				}
				if at == len(choices) {
					choices, alternatives = append(choices, 0), append(alternatives, 0)
				}
				alternatives[at] = n
				at++
				return choices[at-1]
			}, noDefect)
			if err != nil {
				t.Fatalf("%v: %v", choices, err)
			}
			// The next scenario changes the last choice that has a remaining alternative.
			choices, alternatives = choices[:at], alternatives[:at]
			for more = false; len(choices) > 0 && !more; {
				last := len(choices) - 1
				if choices[last]++; choices[last] < alternatives[last] {
					more = true
				} else {
					choices, alternatives = choices[:last], alternatives[:last]
				}
			}
		}
		t.Logf("%+v: %d scenarios", c, scenarios)
	}
}

// The model detects each injected defect, and reports no defect if none is injected.
func TestModelDetectsInjectedDefects(t *testing.T) {
	for b, name := range []string{noDefect: "none", evictsFailedRequests: "evicts failed requests", ignoresIncarnation: "ignores the incarnation", ignoresEpoch: "ignores the epoch"} {
		var found error
		seed := uint64(0)
		for ; seed < 300 && found == nil; seed++ {
			r := rand.New(rand.NewPCG(seed, 0))
			found = runScenario(func(_ string, n int) int { return r.IntN(n) }, injectedDefect(b))
		}
		t.Logf("%s: %v at seed %d", name, found, seed)
		if (found != nil) != (injectedDefect(b) != noDefect) {
			t.Errorf("%s: found %v", name, found)
		}
	}
}
