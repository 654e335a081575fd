package window

import (
	"strings"
	"testing"
	"time"

	"milldeck/internal/disruption"
)

// The ledger's built-in rules can forbid what the contracts approve: no pod group is wholly out.
func TestAPermitThatCanNeverBeGrantedRefusesTheWindow(t *testing.T) {
	w := scene(t, "America/Montevideo", "2026-06-10 21:58")
	c, m := daily("teller", "America/Montevideo", "22:00", time.Hour)
	c.LeastShare = 0
	w.agree(c, m)
	w.propose("w", minute, "m1", "m3") // all of pod group 1
	win := w.until(t, "w", Refused)
	if _, asked := w.led.Permit(win.PermitID()); asked || !strings.Contains(win.Why, "pod/1") {
		t.Errorf("%+v", win)
	}
	w.sound(t)
}

func TestAPermitTakenAwayBringsTheWindowBack(t *testing.T) {
	w := scene(t, "America/Montevideo", "2026-06-10 21:58")
	w.propose("w", 10*minute, "m0")
	win := w.until(t, "w", Free)
	w.rev++
	if out, why := w.led.Apply(w.rev, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops",
		Permit: &disruption.Permit{ID: win.PermitID()}}); out != disruption.OutcomeApplied {
		t.Fatal(why)
	}
	w.until(t, "w", Halted)
	w.sound(t)
}
