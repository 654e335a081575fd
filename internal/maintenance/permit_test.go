package maintenance

import (
	"strings"
	"testing"
	"time"

	"milldeck/internal/disruption"
)

// TestInfeasiblePermitRejectsWindow proposes a window that the contracts approve and a built-in rule of the
// ledger forbids, because the window would take a whole pod group out of service. The window must be rejected with
// that rule as the reason, instead of waiting for a permit that is never granted.
func TestInfeasiblePermitRejectsWindow(t *testing.T) {
	sim := newScenario(t, "America/Montevideo", "2026-06-10 21:58")
	terms, agreed := dailyContract("teller", "America/Montevideo", "22:00", time.Hour)
	terms.MinAvailableShare = 0
	sim.setContract(terms, agreed)
	sim.proposeWindow("w", minuteMS, "m1", "m3") // all of pod group 1
	window := sim.awaitStage(t, "w", StageRejected)
	if _, requested := sim.ledger.Permit(window.PermitID()); requested || !strings.Contains(window.Reason, "pod/1") {
		t.Errorf("%+v", window)
	}
	sim.checkInvariants(t)
}

// TestRevokedPermitReturnsWindow checks that a window returns when an operator forces the completion of its
// active permit.
func TestRevokedPermitReturnsWindow(t *testing.T) {
	sim := newScenario(t, "America/Montevideo", "2026-06-10 21:58")
	sim.proposeWindow("w", 10*minuteMS, "m0")
	window := sim.awaitStage(t, "w", StageDrained)
	sim.revision++
	if result := sim.ledger.Apply(sim.revision, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops",
		Permit: &disruption.Permit{ID: window.PermitID()}}); result.Outcome != disruption.OutcomeApplied {
		t.Fatal(result.Reason)
	}
	sim.awaitStage(t, "w", StageHalted)
	sim.checkInvariants(t)
}
