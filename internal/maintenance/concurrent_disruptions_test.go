package maintenance

import (
	"testing"

	"milldeck/internal/disruption"
)

// applyToLedger applies an operation to the ledger for an owner other than the controller.
func (sim *simulation) applyToLedger(op disruption.Op) {
	sim.revision++
	sim.ledger.Apply(sim.revision, &op)
	sim.scheduleRun(sim.controller, 50)
}

// otherDisruption takes one server out of service for three minutes under a permit of another owner.
type otherDisruption struct {
	sim       *simulation
	uid       string
	permit    disruption.Permit
	completed bool
}

// startDisruption requests a permit for a server every second until the permit is granted, and then disrupts the
// server.
func (sim *simulation) startDisruption(owner, uid string, priority disruption.Priority) *otherDisruption {
	other := &otherDisruption{sim: sim, uid: uid, permit: disruption.Permit{
		ID:          owner + "/" + uid,
		Owner:       owner,
		Units:       []string{serverUnitID(uid)},
		Priority:    priority,
		Disposition: disruption.DispositionReturn,
	}}
	other.step()
	return other
}

func (d *otherDisruption) apply(kind disruption.OpKind) {
	permit := d.permit
	d.sim.applyToLedger(disruption.Op{Kind: kind, Owner: d.permit.Owner, Permit: &permit})
}

func (d *otherDisruption) step() {
	d.apply(disruption.OpRequest)
	switch stored, _ := d.sim.ledger.Permit(d.permit.ID); stored.Stage {
	case disruption.StageCompleted:
		d.completed = true
		return
	case disruption.StageGranted:
		d.apply(disruption.OpBegin)
		d.sim.registerServer(d.uid, false)
		d.sim.schedule(3*minuteMS, d.end)
	}
	d.sim.schedule(1000, d.step)
}

func (d *otherDisruption) end() {
	d.apply(disruption.OpReturn)
	d.sim.registerServer(d.uid, true)
	observed := disruption.Unit{ID: serverUnitID(d.uid), Condition: disruption.ConditionUp}
	d.sim.applyToLedger(disruption.Op{Kind: disruption.OpObserve, Owner: d.permit.Owner, Observed: []disruption.Unit{observed}})
	d.apply(disruption.OpComplete)
}

// countUnavailable counts the servers that are unavailable, or may become unavailable at any time under a permit.
// It adds the granted permits to granted, and reports whether it added any.
func (sim *simulation) countUnavailable(granted map[string]bool) (unavailable int, newlyGranted bool) {
	for _, unit := range sim.ledger.Units() {
		down := unit.Condition == disruption.ConditionLost || unit.Condition == disruption.ConditionUnready
		if unit.Kind == disruption.KindServer && down {
			unavailable++
		}
	}
	for _, permit := range sim.ledger.OpenPermits() {
		if permit.Stage != disruption.StageGranted && permit.Stage != disruption.StageActive {
			continue
		}
		newlyGranted = newlyGranted || !granted[permit.ID]
		granted[permit.ID] = true
		if unit, _ := sim.ledger.Unit(permit.Units[0]); unit.Condition == disruption.ConditionUp {
			unavailable++
		}
	}
	return unavailable, newlyGranted
}

// TestConcurrentDisruptionsRespectBudget checks that no permit is granted beyond a budget. The budget allows two
// unavailable servers in a zone. Two releases, a maintenance window and an operator who drains a server request
// permits for one server each in this zone, and another server of the zone fails meanwhile.
func TestConcurrentDisruptionsRespectBudget(t *testing.T) {
	sim := newScenario(t, "America/Montevideo", "2026-06-10 21:58")
	maxUnavailable, peakUnavailable := 2, 0
	sim.applyToLedger(disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ops", Budget: &disruption.Budget{
		Name:           "zone",
		Selector:       disruption.Selector{Kind: disruption.KindServer, Zone: "z"},
		MaxUnavailable: disruption.Limit{Count: &maxUnavailable},
	}})
	sim.proposeWindow("w", 2*minuteMS, "m0")
	sim.awaitStage(t, "w", StageAwaitingPermit)
	others := []*otherDisruption{
		sim.startDisruption("release/a", "m1", disruption.PriorityRollout),
		sim.startDisruption("release/b", "m2", disruption.PriorityRollout),
		sim.startDisruption("operator/ops", "m4", disruption.PriorityDrain),
	}
	sim.schedule(60_000, func() { // a server failure during the disruptions
		sim.revision++
		sim.ledger.MarkLost(sim.revision, serverUnitID("m3"))
	})
	sim.schedule(15*minuteMS, func() { sim.registerServer("m3", true) })
	granted := map[string]bool{}
	for end := sim.nowMS + 55*minuteMS; sim.nowMS < end; sim.runUntil(sim.nowMS + 50) {
		unavailable, newlyGranted := sim.countUnavailable(granted)
		peakUnavailable = max(peakUnavailable, unavailable)
		if newlyGranted && unavailable > maxUnavailable {
			t.Fatalf("at %s a permit was granted with %d servers unavailable", formatUTC(sim.nowMS), unavailable)
		}
	}
	for _, other := range others {
		if !other.completed {
			t.Errorf("permit %s is not completed", other.permit.ID)
		}
	}
	if window := sim.table.Window("w"); window.Stage != StageDone || peakUnavailable < maxUnavailable {
		t.Errorf("%+v, %d servers unavailable at most", window, peakUnavailable)
	}
	sim.checkInvariants(t)
}
