package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/placement"
)

// newScenario simulates one evening. A tenant has three servers of its own and one shared server, and one
// approved hour that opens two minutes after the start.
func newScenario(t *testing.T, zone, start string) *simulation {
	t.Helper()
	location, err := time.LoadLocation(zone)
	if err != nil {
		t.Fatal(err)
	}
	startTime, err := time.ParseInLocation("2006-01-02 15:04", start, location)
	if err != nil {
		t.Fatal(err)
	}
	sim := newSimulation(7, startTime, 3, Fleet{
		"m0": {"portal"},
		"m1": {"portal"},
		"m2": {"portal"},
		"m3": {"portal", "teller"},
		"m4": {"teller"},
	})
	sim.setContract(dailyContract("portal", zone, startTime.Add(2*time.Minute).Format("15:04"), time.Hour))
	return sim
}

func (sim *simulation) proposeWindow(name string, workMS int64, servers ...string) {
	sim.applyOperator(Operation{Kind: OpPropose, Window: name, Operator: "ops", ServerUIDs: servers, WorkMS: workMS})
}

// awaitStage runs the simulation until a window is at a stage, for at most two hours.
func (sim *simulation) awaitStage(t *testing.T, name string, stage Stage) *Window {
	t.Helper()
	for deadlineMS := sim.nowMS + 120*minuteMS; sim.nowMS < deadlineMS; sim.runUntil(sim.nowMS + 200) {
		if window := sim.table.Window(name); window != nil && window.Stage == stage {
			return window
		}
	}
	t.Fatalf("%s is %+v, not %s", name, sim.table.Window(name), stage)
	return nil
}

func (sim *simulation) checkInvariants(t *testing.T) {
	t.Helper()
	if violations := sim.violations(); len(violations) > 0 {
		t.Error(strings.Join(violations, "; "))
	}
}

// TestWindowUnderFaults checks that a window under one fault at a time never excludes servers outside the approved
// hours, and ends at the stage that the fault requires.
func TestWindowUnderFaults(t *testing.T) {
	const montevideo = "America/Montevideo"
	startWindow := func(t *testing.T) *simulation {
		sim := newScenario(t, montevideo, "2026-06-10 21:58")
		sim.proposeWindow("w", 5*minuteMS, "m0")
		return sim
	}
	t.Run("no faults", func(t *testing.T) {
		sim := startWindow(t)
		window := sim.awaitStage(t, "w", StageDone)
		sim.runUntil(sim.nowMS + 1000) // the sidecars are notified
		if window.ReturnedAtMS > window.ClosesAtMS || sim.table.UsedMS("portal", "2026-06") < 5*minuteMS || sim.oracle.excludedMS == 0 {
			t.Errorf("%+v", window)
		}
		sim.checkInvariants(t)
	})
	t.Run("the controller is dead at the close", func(t *testing.T) {
		sim := startWindow(t)
		sim.awaitStage(t, "w", StageDrained)
		sim.killController(70 * minuteMS)
		sim.runUntil(sim.nowMS + 60*minuteMS)
		for _, sidecar := range sim.sidecars {
			for _, exclusion := range sidecar.active {
				if exclusion.endMS > sim.nowMS {
					t.Errorf("%s still excludes servers", sidecar.name)
				}
			}
		}
		sim.awaitStage(t, "w", StageOverrun)
		sim.runUntil(sim.nowMS + 5*minuteMS)
		window, halts := sim.table.Window("w"), sim.table.Halts()
		if window.OutOfService() || halts["tenant/portal"] == "" || sim.table.UsedMS("portal", "2026-06") < 65*minuteMS {
			t.Errorf("%+v, halts %v", window, sim.table.Halts())
		}
		sim.checkInvariants(t)
	})
	t.Run("the registry is down at the close", func(t *testing.T) {
		sim := startWindow(t)
		sim.awaitStage(t, "w", StageDrained)
		sim.registryDown = true
		sim.runUntil(sim.nowMS + 70*minuteMS)
		sim.registryDown = false
		sim.awaitStage(t, "w", StageOverrun)
		sim.checkInvariants(t)
	})
	t.Run("a sidecar is partitioned from its agent", func(t *testing.T) {
		sim := startWindow(t)
		sim.awaitStage(t, "w", StageDraining)
		sim.sidecars[1].partitioned = true
		sim.runUntil(sim.nowMS + 20*minuteMS)
		if sim.table.Window("w").Stage == StageDrained {
			t.Error("the window is drained, but one sidecar may still send requests")
		}
		sim.sidecars[1].partitioned = false
		sim.awaitStage(t, "w", StageDone)
		sim.checkInvariants(t)
	})
	t.Run("clocks of controller, leader and a sidecar an hour apart", func(t *testing.T) {
		sim := startWindow(t)
		sim.awaitStage(t, "w", StageDrained)
		sim.controller.clock.offsetMS, sim.leaderClock.offsetMS, sim.sidecars[0].clock.offsetMS = hourMS, -hourMS, -2*hourMS
		sim.oracle.clocksFaulty = true
		window := sim.awaitStage(t, "w", StageOverrun) // the later clock decides: a clock fault counts against the window
		if window.StageAfterReturn != StageHalted || sim.table.ClockFault() == "" {
			t.Errorf("%+v, clock fault %q", window, sim.table.ClockFault())
		}
		sim.proposeWindow("next", minuteMS, "m1")
		sim.runUntil(sim.nowMS + 90*minuteMS)
		if sim.table.Window("next") != nil {
			t.Error("a window was proposed in spite of a clock fault")
		}
		sim.checkInvariants(t)
	})
	t.Run("a contract withdrawn in the middle", func(t *testing.T) {
		sim := startWindow(t)
		sim.awaitStage(t, "w", StageDrained)
		sim.applyOperator(Operation{Kind: OpWithdrawContract, Tenant: "portal"})
		sim.oracle.agreed["portal"] = append(sim.oracle.agreed["portal"], agreedHours{effectiveFromMS: sim.nowMS, withdrawn: true})
		sim.runUntil(sim.nowMS + 2000)
		if sim.table.Window("w").Stage != StageReturning {
			t.Errorf("%+v", sim.table.Window("w"))
		}
		for _, sidecar := range sim.sidecars {
			if len(sidecar.active) > 0 {
				t.Errorf("%s still excludes servers", sidecar.name)
			}
		}
		sim.awaitStage(t, "w", StageHalted)
		sim.checkInvariants(t)
	})
	t.Run("a contract changed in the middle ends earlier", func(t *testing.T) {
		sim := startWindow(t)
		sim.awaitStage(t, "w", StageDrained)
		sim.setContract(dailyContract("portal", montevideo, "22:00", 15*time.Minute))
		window := sim.awaitStage(t, "w", StageHalted) // its work was not finished
		if window.ReturnedAtMS > window.ClosesAtMS {
			t.Errorf("%+v", window)
		}
		sim.checkInvariants(t)
	})
	t.Run("two windows for one server", func(t *testing.T) {
		sim := startWindow(t)
		sim.proposeWindow("v", 5*minuteMS, "m0", "m1")
		first := sim.awaitStage(t, "w", StageDone)
		second := sim.awaitStage(t, "v", StageDone)
		if second.DrainStartedAtMS < first.ReturnedAtMS && first.DrainStartedAtMS < second.ReturnedAtMS {
			t.Errorf("%+v, then %+v", first, second)
		}
		sim.checkInvariants(t)
	})
	t.Run("the hour that exists twice", func(t *testing.T) {
		sim := newScenario(t, "Europe/Madrid", "2026-10-25 01:58") // approved is the first of the two hours from 02:00 to 03:00
		sim.proposeWindow("w", 30*minuteMS, "m0")
		window := sim.awaitStage(t, "w", StageDone)
		if got := time.UnixMilli(window.ClosesAtMS).UTC().Format("15:04"); got != "01:00" {
			t.Errorf("the close of the window is %s, want 01:00", got)
		}
		sim.proposeWindow("v", 30*minuteMS, "m1")
		if got := sim.awaitStage(t, "v", StageApproved); time.UnixMilli(got.PlannedStartMS).UTC().Day() != 26 {
			t.Errorf("planned start %s: the second 02:00 was approved", formatUTC(got.PlannedStartMS))
		}
		sim.checkInvariants(t)
	})
}

// TestControllerLossAtEachWrite kills or pauses the controller at each of its writes. The next controller must
// continue without repeating a step.
func TestControllerLossAtEachWrite(t *testing.T) {
	type controllerLoss string
	const (
		killedBeforeWrite controllerLoss = "killed before"
		killedAfterWrite  controllerLoss = "killed after" // the write is in the log, but its answer is lost
		frozenAtWrite     controllerLoss = "frozen at"
	)
	// runWithLoss runs a window with the loss of the controller at write lossAtWrite; 0: no loss. It returns the simulation and
	// the number of writes.
	runWithLoss := func(t *testing.T, loss controllerLoss, lossAtWrite int) (*simulation, int) {
		t.Helper()
		sim := newScenario(t, "America/Montevideo", "2026-06-10 21:58")
		writeCount := 0
		sim.beforeWrite = func(*Effect) {
			if writeCount++; writeCount != lossAtWrite {
				return
			}
			switch loss {
			case frozenAtWrite:
				sim.freezeController(20_000)
			case killedAfterWrite:
				sim.schedule(1, func() { sim.killController(6000) })
			case killedBeforeWrite:
				sim.killController(6000)
			}
		}
		sim.proposeWindow("w", 2*minuteMS, "m0")
		window := sim.awaitStage(t, "w", StageDone)
		if window.ReturnedAtMS > window.ClosesAtMS || window.Attempt != 1 {
			t.Errorf("%+v", window)
		}
		sim.checkInvariants(t)
		return sim, writeCount
	}
	faultless, writes := runWithLoss(t, "", 0)
	for write := 1; write <= writes; write++ {
		for _, loss := range []controllerLoss{killedBeforeWrite, killedAfterWrite, frozenAtWrite} {
			t.Run(fmt.Sprintf("%s write %d", loss, write), func(t *testing.T) {
				sim, _ := runWithLoss(t, loss, write)
				if !slices.Equal(sim.history, faultless.history) {
					t.Errorf("%v, wanted %v", sim.history, faultless.history)
				}
			})
		}
	}
}

// TestOracleFindsInjectedDefects checks that the oracle of the simulation detects injected defects.
func TestOracleFindsInjectedDefects(t *testing.T) {
	defects := []struct {
		name, violation string
		firstSeed       uint64 // seed of the first week to simulate: the defect shows only in some weeks
		inject          func(*simulation)
	}{
		{"fencing token not checked", "under token", 8, func(sim *simulation) { sim.ignoreTokens = true }},
		{"exclusion that expires after the close", "outside the hours", 38, func(sim *simulation) {
			sim.corruptDirective = func(directive *placement.Directive) { directive.ExpiresAtMS = sim.nowMS + ExclusionTTLMS }
		}},
		{"uncertainty of clocks not declared", "outside the hours", 0, func(sim *simulation) {
			sim.leaderClock = simulatedClock{offsetMS: 4500}
			sim.controller.clock = simulatedClock{offsetMS: 4500}
		}},
		{"minutes counted in UTC months", "counted", 20, func(sim *simulation) {
			daily := calendar.Rule{Recurrence: "FREQ=DAILY", Start: "00:00", Length: "1h", FirstDay: "2020-01-01"}
			utc, err := calendar.Compile(calendar.Spec{Zone: "UTC", ApprovedHours: []calendar.Rule{daily}})
			if err != nil {
				panic(err)
			}
			sim.corruptOperation = func(op *Operation) {
				op.Approvals = slices.Clone(op.Approvals)
				for i := range op.Approvals {
					op.Approvals[i].Months = utc.Months(op.Approvals[i].OpensAtMS, op.Approvals[i].ClosesAtMS+dayMS)
				}
			}
		}},
	}
	for _, defect := range defects {
		t.Run(defect.name, func(t *testing.T) {
			for seed := defect.firstSeed; seed < defect.firstSeed+48; seed++ {
				sim, _, _ := simulateWeek(seed, defect.inject)
				if violations := strings.Join(sim.violations(), "; "); strings.Contains(violations, defect.violation) {
					t.Logf("week %d: %s", seed, violations)
					return
				}
			}
			t.Error("the oracle did not detect the defect")
		})
	}
	t.Run("clock errors within the declared uncertainty", func(t *testing.T) {
		for seed := range uint64(4) {
			sim, _, _ := simulateWeek(seed, func(sim *simulation) {
				uncertain := simulatedClock{offsetMS: 4500, uncertaintyMS: 4700}
				sim.leaderClock, sim.controller.clock = uncertain, uncertain
				sim.oracle.clocksFaulty = true // this uncertainty makes the counted minutes too high
			})
			sim.checkInvariants(t)
		}
	})
	t.Run("hours checked before the log", func(t *testing.T) {
		for _, injected := range []bool{false, true} {
			sim := newScenario(t, "America/Montevideo", "2026-06-10 21:58")
			sim.proposeWindow("w", 5*minuteMS, "m0")
			sim.awaitStage(t, "w", StageDrained)
			sim.beforeWrite = func(effect *Effect) { // withdraws the contract between the check and the log
				if op, ok := effect.Action.(*Operation); !ok || op.Kind != OpExtendExclusion || sim.table.Contract("portal") == nil {
					return
				}
				withdrawn := sim.table.contracts["portal"]
				sim.applyOperator(Operation{Kind: OpWithdrawContract, Tenant: "portal"})
				sim.oracle.agreed["portal"] = append(sim.oracle.agreed["portal"], agreedHours{effectiveFromMS: sim.nowMS, withdrawn: true})
				if injected {
					sim.table.contracts["portal"] = withdrawn
					sim.schedule(1, func() { delete(sim.table.contracts, "portal") })
				}
			}
			sim.awaitStage(t, "w", StageHalted)
			if found := strings.Contains(strings.Join(sim.violations(), "; "), "after its contract ended"); found != injected {
				t.Errorf("injected %v, found %v", injected, found)
			}
		}
	})
}
