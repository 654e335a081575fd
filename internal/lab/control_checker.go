package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// warmupWorkSlots is the number of slots of the window in which the warm-up work of replicas is counted.
	warmupWorkSlots = 20
	// exclusionDelayToleranceMS is the longest delay with which the checker learns of an exclusion.
	exclusionDelayToleranceMS = 500
)

// Endpoint states of the registry that the checker evaluates.
const (
	endpointReady    = "Ready"
	endpointDraining = "Terminating"
)

// ControlPlaneChecker detects violations of the rules of the control plane. Its input is the starts, readiness and exits of
// processes, the endpoint list and what agents publish to sidecars; it never queries a controller. Times are ms since the start
// of the run. It may be used concurrently.
//
// A unit is a server or a sidecar. It is in service while one of its processes is ready and not terminating; a server must
// also be ready in the endpoint list. A disruption is voluntary if a request to terminate or the draining state in the
// endpoint list came first, and a failure if a fault or an exit of the process came first. Only a voluntary disruption can
// violate a budget. A failure counts against the budget once the time that controllers have to detect it has passed.
type ControlPlaneChecker struct {
	checker *Checker
	plan    *Plan
	spec    *ControlPlaneSpec
	units   map[string]*unitState // by name

	supervisorFaults []supervisorFault
	maxDisrupted     map[string]int // by kind of unit: the most voluntary disruptions at a time

	exclusions     map[int]map[exclusionKey]interval // by sidecar: the periods of the sidecar's current exclusions
	exclusionCount int
	outsideHoursMS float64 // total time of exclusions outside the approved hours

	copies              map[int][]KeyCopy // by sidecar
	copyCount           map[KeyCopy]int   // the number of sidecars to which each copy is published
	warmupWork          [warmupWorkSlots]warmupWorkSlot
	peakWarmupWorkMS    float64
	lastWarmupViolation float64 // -Inf: none
	fleetCapacity       float64 // of all servers, ms of standard work a second
}

// warmupWorkSlot is the warm-up work of replicas within one slot of the window.
type warmupWorkSlot struct {
	slot   int
	workMS float64
}

// unitState is what the checker has recorded of a unit.
type unitState struct {
	name, kind, zone, serverKind string
	processes                    map[string]*processState // by incarnation
	endpointState                string                   // of a server, in the endpoint list; "": not listed
	outOfService                 bool
	outOfServiceSince            float64
	voluntary                    bool     // a voluntary disruption took it out of service
	faultInterval                interval // of the faults that the run injects
	version                      string   // of the newest process
	lastProcess                  *processState
	expected                     FinalStateSpec
}

// processState is a process of a unit.
type processState struct {
	version     string
	ready       bool
	wasReady    bool // it was ready at some time
	terminating bool // it was requested to terminate
}

// supervisorFault is a period in which the supervisor misbehaves.
type supervisorFault struct {
	interval
	misbehaviour string
}

// NewControlPlaneChecker returns the checker of a run with the control plane. Violations are reported to the checker.
func NewControlPlaneChecker(p *Plan, checker *Checker) *ControlPlaneChecker {
	c := &ControlPlaneChecker{
		checker: checker, plan: p, spec: p.Experiment.ControlPlane, units: map[string]*unitState{},
		maxDisrupted: map[string]int{}, exclusions: map[int]map[exclusionKey]interval{},
		copies: map[int][]KeyCopy{}, copyCount: map[KeyCopy]int{}, lastWarmupViolation: math.Inf(-1),
	}
	zones := p.Experiment.Zones
	for i := range p.Servers {
		server := &p.Servers[i]
		c.fleetCapacity += 1000 * float64(server.Spec.Cores) * server.Speed
		c.units[server.UID] = &unitState{
			name: server.UID, kind: unitServer, zone: zones[server.Zone], serverKind: server.Spec.Kind,
			processes: map[string]*processState{}, outOfService: true, expected: FinalStateSpec{Version: c.spec.ServerVersion},
		}
	}
	for i := range p.Sidecars {
		sidecar := &p.Sidecars[i]
		c.units[sidecar.Name] = &unitState{
			name: sidecar.Name, kind: unitSidecar, zone: zones[sidecar.Zone],
			processes: map[string]*processState{}, outOfService: true, expected: FinalStateSpec{Version: c.spec.SidecarVersion},
		}
	}
	for _, state := range c.spec.FinalStates {
		serverIndexes, sidecarIndexes := p.MatchUnits(state.Target)
		for _, i := range serverIndexes {
			c.units[p.Servers[i].UID].expected = state
		}
		for _, i := range sidecarIndexes {
			c.units[p.Sidecars[i].Name].expected = state
		}
	}
	return c
}

// update changes the state of a unit and checks the budgets if the change took the unit out of service.
func (c *ControlPlaneChecker) update(now float64, unit string, voluntary bool, change func(state *unitState)) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	state := c.units[unit]
	if state == nil {
		return // not a unit of the experiment
	}
	change(state)
	if state.inService() {
		state.outOfService = false
		return
	}
	if state.outOfService {
		return
	}
	state.outOfService, state.outOfServiceSince = true, now
	state.voluntary = voluntary && !state.isFaulted(now)
	if state.voluntary {
		c.checkBudgets(now, state)
		c.updateMaxDisrupted(state.kind)
	}
}

// updateMaxDisrupted updates the highest number of simultaneous voluntary disruptions of a kind of unit.
func (c *ControlPlaneChecker) updateMaxDisrupted(kind string) {
	count := 0
	for _, state := range c.units {
		if state.kind == kind && state.outOfService && state.voluntary {
			count++
		}
	}
	c.maxDisrupted[kind] = max(c.maxDisrupted[kind], count)
}

func (u *unitState) inService() bool {
	if u.kind == unitServer && u.endpointState != endpointReady {
		return false
	}
	for _, process := range u.processes {
		if process.ready && !process.terminating {
			return true
		}
	}
	return false
}

// isFaulted reports whether a fault that the run injected affects the unit now.
func (u *unitState) isFaulted(now float64) bool {
	return now >= u.faultInterval.from && now <= u.faultInterval.to
}

// checkBudgets checks the budgets that select a unit, which was just taken out of service.
func (c *ControlPlaneChecker) checkBudgets(now float64, state *unitState) {
	for i := range c.spec.Budgets {
		budget := &c.spec.Budgets[i]
		if !budget.selects(state) {
			continue
		}
		var names []string
		for _, name := range slices.Sorted(maps.Keys(c.units)) {
			if other := c.units[name]; budget.selects(other) && c.countsAgainstBudget(now, other) {
				names = append(names, name)
			}
		}
		if len(names) > budget.MaxUnavailable {
			c.checker.report(now, RuleDisruptionBudget, nil, fmt.Sprintf(
				"%s is taken out, of %s then %d are out, at most %d may be: %s",
				state.name, budget.Name, len(names), budget.MaxUnavailable, strings.Join(names, " ")))
		}
	}
}

// countsAgainstBudget reports whether a unit counts against the budgets that select it.
func (c *ControlPlaneChecker) countsAgainstBudget(now float64, state *unitState) bool {
	return state.outOfService && (state.voluntary || now-state.outOfServiceSince > c.spec.DetectionMS)
}

func (b *BudgetSpec) selects(u *unitState) bool {
	return b.Kind == u.kind && (b.Zone == "" || b.Zone == u.zone) && (b.ServerKind == "" || b.ServerKind == u.serverKind)
}

// ProcessStarted records that a process of a unit has started. The incarnation identifies the process.
func (c *ControlPlaneChecker) ProcessStarted(now float64, unit, incarnation, version string) {
	c.update(now, unit, false, func(state *unitState) {
		for _, name := range slices.Sorted(maps.Keys(state.processes)) {
			if name != incarnation && !c.supervisorMisbehaves(now, "twice", "forget") {
				c.checker.report(now, RuleDuplicateAction, nil,
					fmt.Sprintf("%s is started while its process %s still runs", unit, name))
			}
		}
		last := state.lastProcess
		repeated := last != nil && last.terminating && last.wasReady && last.version == version
		if repeated && !state.isFaulted(now) && !c.supervisorMisbehaves(now, "twice", "forget", "wrong") {
			c.checker.report(now, RuleDuplicateAction, nil,
				fmt.Sprintf("%s was ready on version %s, was told to end and is started on it again", unit, version))
		}
		state.processes[incarnation], state.version = &processState{version: version}, version
	})
}

// ReadinessChanged records that a process reports that it is ready or not ready.
func (c *ControlPlaneChecker) ReadinessChanged(now float64, unit, incarnation string, ready bool) {
	c.update(now, unit, false, func(state *unitState) {
		if process := state.processes[incarnation]; process != nil {
			process.ready, process.wasReady = ready, process.wasReady || ready
		}
	})
}

// TerminationRequested records that a process was requested to terminate.
func (c *ControlPlaneChecker) TerminationRequested(now float64, unit, incarnation string) {
	c.update(now, unit, !c.supervisorMisbehaves(now, "wrong"), func(state *unitState) {
		if process := state.processes[incarnation]; process != nil {
			process.terminating = true
		}
	})
}

// ProcessExited records that a process has ended.
func (c *ControlPlaneChecker) ProcessExited(now float64, unit, incarnation string) {
	c.update(now, unit, false, func(state *unitState) {
		if process := state.processes[incarnation]; process != nil {
			delete(state.processes, incarnation)
			state.lastProcess = process
		}
	})
}

// EndpointStateChanged records the state of a server in the endpoint list; "" means that it is not listed.
func (c *ControlPlaneChecker) EndpointStateChanged(now float64, unit, state string) {
	c.update(now, unit, state == endpointDraining, func(server *unitState) { server.endpointState = state })
}

// FaultInjected records that the run injects a fault into a unit within a period.
func (c *ControlPlaneChecker) FaultInjected(unit string, from, to float64) {
	c.update(from, unit, false, func(state *unitState) {
		state.faultInterval = interval{from, max(to, state.faultInterval.to)}
	})
}

// SupervisorFault records that the run makes the supervisor misbehave within a period.
func (c *ControlPlaneChecker) SupervisorFault(misbehaviour string, from, to float64) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if len(c.supervisorFaults) < maxExcuses {
		c.supervisorFaults = append(c.supervisorFaults, supervisorFault{interval{from, to}, misbehaviour})
	}
}

// supervisorMisbehaves reports whether the supervisor misbehaves in one of the given ways now.
func (c *ControlPlaneChecker) supervisorMisbehaves(now float64, misbehaviours ...string) bool {
	return slices.ContainsFunc(c.supervisorFaults, func(fault supervisorFault) bool {
		return now >= fault.from && now <= fault.to && slices.Contains(misbehaviours, fault.misbehaviour)
	})
}

// Finish ends the run. It checks the exclusions in effect, and that all units are in their expected state.
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
		if state := c.units[name]; !state.isFaulted(now) {
			c.checkFinalState(now, state)
		}
	}
}

// checkFinalState checks that a unit is in its expected state.
func (c *ControlPlaneChecker) checkFinalState(now float64, state *unitState) {
	switch {
	case state.expected.Removed && len(state.processes) > 0:
		c.checker.report(now, RuleFinalState, nil, state.name+" still runs, and should be gone")
	case state.expected.Removed:
	case state.outOfService:
		c.checker.report(now, RuleFinalState, nil,
			fmt.Sprintf("%s is out since %.0f ms, %s", state.name, state.outOfServiceSince, state.outOfServiceReason()))
	case state.version != state.expected.Version && !c.spec.AllowMixedVersions:
		c.checker.report(now, RuleFinalState, nil, fmt.Sprintf(
			"%s is on version %s, and should be on %s", state.name, state.version, state.expected.Version))
	}
}

// outOfServiceReason returns why a unit is out of service.
func (u *unitState) outOfServiceReason() string {
	switch {
	case len(u.processes) == 0:
		return "no process of it runs"
	case u.kind == unitServer && u.endpointState != endpointReady:
		return fmt.Sprintf("the list has it as %q", u.endpointState)
	default:
		return "its process does not answer that it is ready"
	}
}
