package maintenance

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var weeks = flag.Int("weeks", 40, "simulated weeks with faults")

// criticalDays are the days on which the simulated weeks start: within each week a local clock changes or a month
// ends.
var criticalDays = []string{"2026-03-27", "2026-10-22", "2026-04-02", "2026-10-01", "2026-03-06", "2026-10-30", "2026-06-26", "2026-02-25"}

// simulateWeek simulates one week with windows on shared servers and with faults drawn from the seed. It returns
// the number of windows that could be carried out, and how many of these were carried out. The week of a seed
// depends on the order of the random draws.
func simulateWeek(seed uint64, inject func(*simulation)) (sim *simulation, feasible, completed int) {
	start, err := time.Parse(time.DateOnly, criticalDays[seed%uint64(len(criticalDays))])
	if err != nil {
		panic(err)
	}
	fleet := Fleet{}
	for i := range weekServerCount {
		fleet[fmt.Sprint("m", i)] = [][]string{{"portal"}, {"teller"}, {"portal", "teller"}, {"island"}}[i%4]
	}
	sim = newSimulation(seed, start, 4, fleet)
	if inject != nil {
		inject(sim)
	}
	for _, hours := range []struct{ tenant, zone, start string }{
		{"portal", "America/Montevideo", "22:00"},
		{"teller", "Europe/Madrid", "01:00"},
		{"island", "Australia/Lord_Howe", "01:15"},
	} {
		sim.setContract(dailyContract(hours.tenant, hours.zone, hours.start, 6*time.Hour))
	}
	end := sim.nowMS + 7*dayMS
	names := sim.proposeRandomWindows(4)
	for range 3 {
		sim.injectFault(sim.random.Int64N(6 * dayMS))
	}
	for sim.nowMS < end {
		sim.runUntil(sim.nowMS + 6*hourMS)
		sim.resumeAllHalts() // operators resume halts four times a day
	}
	feasible, completed = sim.countFeasible(names)
	return sim, feasible, completed
}

const weekServerCount = 8

// proposeRandomWindows proposes windows of one server each within the first three days, and returns their names.
func (sim *simulation) proposeRandomWindows(count int) []string {
	var names []string
	for i := range count {
		afterMS := sim.random.Int64N(3 * dayMS)
		op := Operation{
			Kind:       OpPropose,
			Window:     fmt.Sprint("w", i),
			Operator:   "ops",
			ServerUIDs: []string{fmt.Sprint("m", sim.random.IntN(weekServerCount))},
			WorkMS:     minuteMS * (2 + sim.random.Int64N(6)),
		}
		names = append(names, op.Window)
		sim.schedule(afterMS, func() {
			if sim.applyOperator(op) == OutcomeClockFault { // operators retry once, an hour later
				sim.schedule(hourMS, func() { sim.applyOperator(op) })
			}
		})
	}
	return names
}

// resumeAllHalts resumes all halts and all halted windows, as operators do.
func (sim *simulation) resumeAllHalts() {
	for scope := range sim.table.Halts() {
		sim.applyOperator(Operation{Kind: OpResume, Scope: scope})
	}
	for _, window := range sim.table.Windows() {
		if window.Stage == StageHalted {
			sim.applyOperator(Operation{Kind: OpResume, Scope: "window/" + window.Name})
		}
	}
}

// countFeasible counts the named windows that could be carried out, and how many of these were carried out.
func (sim *simulation) countFeasible(names []string) (feasible, completed int) {
	for _, name := range names {
		switch window := sim.table.Window(name); {
		case window == nil || sim.slowWindows[name]: // not proposed, or its servers did not return for hours
		case window.Stage == StageRejected && strings.Contains(window.Reason, "no contract"): // the contract had been withdrawn
		default:
			feasible++
			if window.Stage == StageDone {
				completed++
			}
		}
	}
	return feasible, completed
}

// The kinds of faults that injectFault draws.
const (
	faultControllerKilled = iota
	faultControllerFrozen
	faultRegistryDown
	faultSidecarPartitioned
	faultClocksApart
	faultSlowReturns
	faultLedgerHalted
	faultContractWithdrawn
	faultKindCount
)

// injectFault injects a random fault after afterMS: half of the faults immediately, the others during the next
// window that goes out of service.
func (sim *simulation) injectFault(afterMS int64) {
	durationMS := minuteMS * (1 + sim.random.Int64N(90))
	kind := sim.random.IntN(faultKindCount)
	scheduleFault := func(do func()) {
		sim.schedule(afterMS, do)
	}
	if sim.random.IntN(2) == 0 {
		scheduleFault = func(do func()) {
			sim.schedule(afterMS, func() { sim.faultsAtNextDrain = append(sim.faultsAtNextDrain, do) })
		}
	}
	scheduleFault(func() {
		switch kind {
		case faultControllerKilled:
			sim.killController(durationMS)
		case faultControllerFrozen:
			sim.freezeController(durationMS / 10)
		case faultRegistryDown:
			sim.registryDown = true
			sim.schedule(durationMS, func() { sim.registryDown = false })
		case faultSidecarPartitioned:
			sidecar := sim.sidecars[sim.random.IntN(len(sim.sidecars))]
			sidecar.partitioned = true
			sim.schedule(durationMS, func() { sidecar.partitioned = false })
		case faultClocksApart: // the clocks of controller, leader and one sidecar
			sim.oracle.clocksFaulty = true
			sim.controller.clock.offsetMS = hourMS
			sim.leaderClock.offsetMS = -hourMS
			sim.sidecars[0].clock.offsetMS = -2 * hourMS
			sim.schedule(durationMS, func() {
				sim.leaderClock, sim.sidecars[0].clock = sim.accurateClock(), sim.accurateClock()
				sim.controller.clock = sim.accurateClock()
			})
		case faultSlowReturns:
			sim.slowReturns = true
			sim.schedule(durationMS, func() { sim.slowReturns = false })
		case faultLedgerHalted:
			sim.haltLedger(durationMS)
		case faultContractWithdrawn:
			if sim.table.Contract("teller") != nil {
				sim.applyOperator(Operation{Kind: OpWithdrawContract, Tenant: "teller"})
				sim.oracle.agreed["teller"] = append(sim.oracle.agreed["teller"], agreedHours{effectiveFromMS: sim.nowMS, withdrawn: true})
				sim.schedule(durationMS, func() { sim.setContract(dailyContract("teller", "Europe/Madrid", "01:00", 5*time.Hour)) })
			}
		}
	})
}

// TestSimulatedWeeksWithFaults checks that no tenant is excluded outside its hours, and that at least 98% of the
// feasible windows are completed in spite of faults.
func TestSimulatedWeeksWithFaults(t *testing.T) {
	var feasible, completed int
	var excludedMS int64
	finalStages := map[Stage]int{}
	for seed := range uint64(*weeks) {
		sim, weekFeasible, weekCompleted := simulateWeek(seed, nil)
		feasible += weekFeasible
		completed += weekCompleted
		excludedMS += sim.oracle.excludedMS
		for _, window := range sim.table.Windows() {
			finalStages[window.Stage]++
		}
		if violations := sim.violations(); len(violations) > 0 {
			t.Errorf("week %d: %s", seed, strings.Join(violations, "; "))
		}
	}
	t.Logf("%d weeks: %d of %d feasible windows were completed (%.3f); tenants excluded for %d s, none outside their hours; final stages %v",
		*weeks, completed, feasible, float64(completed)/float64(feasible), excludedMS/1000, finalStages)
	if float64(completed) < 0.98*float64(feasible) || excludedMS == 0 {
		t.Errorf("%d of %d windows were completed", completed, feasible)
	}
}
