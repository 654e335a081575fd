package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// ControlPlaneChecker decides whether the control plane broke a rule, from processes that begin, answer and end, from the list
// and from what sidecars are told; it asks no controller. Times are ms of the run. It may be called concurrently.
//
// A unit is in where its process answers and, of a server, the list calls it ready; otherwise it is out. It was taken
// out where it was told to end or the list calls it draining, and it failed where a fault of the lab's or its own end
// came first. Only what is taken out can break a budget: what fails counts against it once it may be known.
type ControlPlaneChecker struct {
	checker    *Checker
	plan       *Plan
	spec       *ControlPlaneSpec
	units      map[string]*unitState
	exclusions map[int]map[exclusionKey]interval // by sidecar: what it keeps off, since when and until when
	copies     map[int][]KeyCopy                 // by sidecar
	copyCount  map[KeyCopy]int                   // how many sidecars are told of each
	coldWork   [coldWorkSlots]struct {
		slot   int
		workMS float64
	}
	exclusionCount    int
	outsideHoursMS    float64        // ms
	maxDisrupted      map[string]int // by kind
	peakColdWorkMS    float64
	lastColdViolation float64 // when the rule on it was broken last; before the run at the start
	fleetCapacity     float64 // work that all servers do in a second, ms
	supervisorFaults  []supervisorFault
}

// unitState is a unit as the judge sees it.
type unitState struct {
	name, kind, zone, serverKind string
	processes                    map[string]*processState
	endpointState                string // of a server, as the list has it; "": not at all
	out                          bool
	outSince                     float64
	voluntary                    bool
	faultInterval                interval      // of the lab's, that befalls it
	version                      string        // of the newest life
	lastProcess                  *processState // that ended newest
	expected                     FinalStateSpec
}

// processState is a process of a unit.
type processState struct {
	version     string
	ready       bool
	wasReady    bool // ready once
	terminating bool
}

type exclusionKey struct {
	tenant, server string
}

// supervisorFault is a time in which the platform itself does wrong, as the lab had it.
type supervisorFault struct {
	interval
	misbehaviour string
}

const (
	coldWorkSlots = 20 // parts of the window in which cold work is counted
	// hoursToleranceMS in ms is what the judge's own news may be late by.
	hoursToleranceMS = 500
)

// Names of the states of the list.
const (
	listReady    = "Ready"
	listDraining = "Terminating"
)

// NewControlPlaneChecker makes the judge of a run's control plane; what it finds is part of j's verdict.
func NewControlPlaneChecker(p *Plan, j *Checker) *ControlPlaneChecker {
	c := &ControlPlaneChecker{checker: j, plan: p, spec: p.Experiment.ControlPlane, units: map[string]*unitState{}, exclusions: map[int]map[exclusionKey]interval{}, copies: map[int][]KeyCopy{}, copyCount: map[KeyCopy]int{}, maxDisrupted: map[string]int{}, lastColdViolation: math.Inf(-1)}
	expected := func(version string) FinalStateSpec { return FinalStateSpec{Version: version} }
	for i := range p.Servers {
		s := &p.Servers[i]
		c.fleetCapacity += 1000 * float64(s.Spec.Cores) * s.Speed
		c.units[s.UID] = &unitState{
			name: s.UID, kind: "server", zone: p.Experiment.Zones[s.Zone], serverKind: s.Spec.Kind, processes: map[string]*processState{}, out: true,
			expected: expected(c.spec.ServerVersion),
		}
	}
	for i := range p.Sidecars {
		s := &p.Sidecars[i]
		c.units[s.Name] = &unitState{
			name: s.Name, kind: "sidecar", zone: p.Experiment.Zones[s.Zone], processes: map[string]*processState{}, out: true,
			expected: expected(c.spec.SidecarVersion),
		}
	}
	for _, finalState := range c.spec.FinalStates {
		serverIndexes, sidecarIndexes := p.MatchUnits(finalState.Target)
		for _, i := range serverIndexes {
			c.units[p.Servers[i].UID].expected = finalState
		}
		for _, i := range sidecarIndexes {
			c.units[p.Sidecars[i].Name].expected = finalState
		}
	}
	return c
}

// update has a unit changed and then looked at, under the lock.
func (c *ControlPlaneChecker) update(now float64, unit string, voluntary bool, change func(state *unitState)) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	state := c.units[unit]
	if state == nil {
		return // none of the experiment's
	}
	change(state)
	inService := state.inService()
	switch {
	case inService:
		state.out = false
	case !state.out:
		state.out, state.outSince = true, now
		if state.voluntary = voluntary && !state.isFaulted(now); state.voluntary {
			c.checkBudgets(now, state)
			c.countDisrupted(state.kind)
		}
	}
}

// countDisrupted keeps the most units of a kind that were taken out at a time.
func (c *ControlPlaneChecker) countDisrupted(kind string) {
	count := 0
	for _, state := range c.units {
		if state.kind == kind && state.out && state.voluntary {
			count++
		}
	}
	c.maxDisrupted[kind] = max(c.maxDisrupted[kind], count)
}

// inService tells whether it serves.
func (u *unitState) inService() bool {
	if u.kind == "server" && u.endpointState != listReady {
		return false
	}
	for _, l := range u.processes {
		if l.ready && !l.terminating {
			return true
		}
	}
	return false
}

// isFaulted tells whether a fault of the lab's befalls it.
func (u *unitState) isFaulted(now float64) bool {
	return now >= u.faultInterval.from && now <= u.faultInterval.to
}

// checkBudgets looks whether a unit that was taken out now may be.
func (c *ControlPlaneChecker) checkBudgets(now float64, state *unitState) {
	for i := range c.spec.Budgets {
		budget := &c.spec.Budgets[i]
		if !budget.selects(state) {
			continue
		}
		var names []string
		for _, name := range slices.Sorted(maps.Keys(c.units)) {
			other := c.units[name]
			if other.out && budget.selects(other) && (other.voluntary || now-other.outSince > c.spec.DetectionMS) {
				names = append(names, name)
			}
		}
		if len(names) > budget.MaxOut {
			c.checker.report(now, RuleDisruptionBudget, nil, fmt.Sprintf("%s is taken out, of %s then %d are out, at most %d may be: %s",
				state.name, budget.Name, len(names), budget.MaxOut, strings.Join(names, " ")))
		}
	}
}

func (b *BudgetSpec) selects(u *unitState) bool {
	return b.Kind == u.kind && (b.Zone == "" || b.Zone == u.zone) && (b.ServerKind == "" || b.ServerKind == u.serverKind)
}

// ProcessStarted: a process of a unit has begun; life names it.
func (c *ControlPlaneChecker) ProcessStarted(now float64, unit, incarnation, version string) {
	c.update(now, unit, false, func(state *unitState) {
		for _, name := range slices.Sorted(maps.Keys(state.processes)) {
			if name != incarnation && !c.supervisorFaulted(now, "twice", "forget") {
				c.checker.report(now, RuleDuplicateAction, nil, fmt.Sprintf("%s is started while its process %s still runs", unit, name))
			}
		}
		if last := state.lastProcess; last != nil && last.terminating && last.wasReady && last.version == version && !state.isFaulted(now) && !c.supervisorFaulted(now, "twice", "forget", "wrong") {
			c.checker.report(now, RuleDuplicateAction, nil, fmt.Sprintf("%s was ready on version %s, was told to end and is started on it again", unit, version))
		}
		state.processes[incarnation], state.version = &processState{version: version}, version
	})
}

// ReadinessChanged: a process answers that it is, or that it is not any more.
func (c *ControlPlaneChecker) ReadinessChanged(now float64, unit, incarnation string, ready bool) {
	c.update(now, unit, false, func(state *unitState) {
		if process := state.processes[incarnation]; process != nil {
			process.ready, process.wasReady = ready, process.wasReady || ready
		}
	})
}

// TerminationRequested: a process has been told to end.
func (c *ControlPlaneChecker) TerminationRequested(now float64, unit, incarnation string) {
	c.update(now, unit, !c.supervisorFaulted(now, "wrong"), func(state *unitState) {
		if process := state.processes[incarnation]; process != nil {
			process.terminating = true
		}
	})
}

// ProcessExited: a process has ended.
func (c *ControlPlaneChecker) ProcessExited(now float64, unit, incarnation string) {
	c.update(now, unit, false, func(state *unitState) {
		if process := state.processes[incarnation]; process != nil {
			delete(state.processes, incarnation)
			state.lastProcess = process
		}
	})
}

// EndpointStateChanged: the list has a server in this state; "" is not at all.
func (c *ControlPlaneChecker) EndpointStateChanged(now float64, unit, state string) {
	c.update(now, unit, state == listDraining, func(unitState *unitState) { unitState.endpointState = state })
}

// FaultInjected: the lab itself does something to a unit, which may be out for it within this time.
func (c *ControlPlaneChecker) FaultInjected(unit string, from, to float64) {
	c.update(from, unit, false, func(state *unitState) { state.faultInterval = interval{from, max(to, state.faultInterval.to)} })
}

// SupervisorFault: within this time the platform itself does wrong, in the way of its fault.
func (c *ControlPlaneChecker) SupervisorFault(misbehaviour string, from, to float64) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if len(c.supervisorFaults) < maxExcuses {
		c.supervisorFaults = append(c.supervisorFaults, supervisorFault{interval{from, to}, misbehaviour})
	}
}

func (c *ControlPlaneChecker) supervisorFaulted(now float64, misbehaviours ...string) bool {
	return slices.ContainsFunc(c.supervisorFaults, func(fault supervisorFault) bool {
		return now >= fault.from && now <= fault.to && slices.Contains(misbehaviours, fault.misbehaviour)
	})
}

// Finish ends the run: all units have to stand as they should.
func (c *ControlPlaneChecker) Finish(now float64) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for _, sidecar := range slices.Sorted(maps.Keys(c.exclusions)) {
		for _, key := range sortedExclusions(c.exclusions[sidecar]) {
			excluded := c.exclusions[sidecar][key]
			c.checkHours(now, sidecar, key, interval{excluded.from, min(excluded.to, now)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.units)) {
		state := c.units[name]
		if state.isFaulted(now) {
			continue
		}
		switch {
		case state.expected.Removed && len(state.processes) > 0:
			c.checker.report(now, RuleFinalState, nil, name+" still runs, and should be gone")
		case state.expected.Removed:
		case state.out:
			c.checker.report(now, RuleFinalState, nil, fmt.Sprintf("%s is out since %.0f ms, %s", name, state.outSince, state.describe()))
		case state.version != state.expected.Version && !c.spec.AllowMixedVersions:
			c.checker.report(now, RuleFinalState, nil, fmt.Sprintf("%s is on version %s, and should be on %s", name, state.version, state.expected.Version))
		}
	}
}

// describe says in what state a unit that is out is.
func (u *unitState) describe() string {
	switch {
	case len(u.processes) == 0:
		return "no process of it runs"
	case u.kind == "server" && u.endpointState != listReady:
		return fmt.Sprintf("the list has it as %q", u.endpointState)
	default:
		return "its process does not answer that it is ready"
	}
}
