package registry_test

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/window"
	"milldeck/internal/window/contract"
	"milldeck/internal/window/hours"
)

// A window's steps count under its duty alone, at times that agree; what sidecars are told stands in the same record,
// and all of it outlives a killed leader and a restart of all.
func TestWindowOverALostLeader(t *testing.T) {
	b := start(t, 3, false, "snapshot_every = 5")
	b.fleet(4, 2)
	at := func() window.Timestamp {
		return window.Timestamp{ControllerMS: time.Now().UnixMilli(), UncertaintyMS: 250}
	}
	write := func(g *registry.Guard, stamp window.Timestamp, op window.Operation) int {
		t.Helper()
		_, err := b.client.WriteWindow(b.ctx, registry.Write{Guard: g}, stamp, op)
		var status *registry.StatusError
		switch {
		case errors.As(err, &status):
			return status.Status
		case err != nil:
			t.Fatal(err)
		}
		return 0
	}
	must := func(g *registry.Guard, op window.Operation) {
		t.Helper()
		if status := write(g, at(), op); status != 0 {
			t.Fatalf("%s is refused: %d", op.Kind, status)
		}
	}
	view := func() *window.View {
		t.Helper()
		v, err := b.client.Windows(b.ctx, true)
		if err != nil {
			t.Fatal(err)
		}
		return v.View()
	}
	always := contract.Contract{Tenant: "portal", Notice: "0s", MinutesPerMonth: 10_000, MinAvailableShare: 0.5, MaxConcurrentWindows: 1, OverrunPolicy: contract.OverrunHaltsTenant,
		Spec: hours.Spec{Zone: "UTC", ApprovedHours: []hours.Rule{{Recurrence: "FREQ=DAILY", Start: "00:00", Length: "48h", FirstDay: "2020-01-01"}}}}
	must(nil, window.Operation{Kind: window.OpSetContract, Contract: &always})
	bounded := func() bool {
		t.Helper()
		v, err := b.client.LedgerView(b.ctx, true, false)
		if err != nil {
			t.Fatal(err)
		}
		return slices.ContainsFunc(v.Budgets, func(b disruption.Budget) bool { return b.Name == window.ContractBudgetName("portal") })
	}
	if !bounded() {
		t.Error("no budget goes with the contract")
	}
	must(nil, window.Operation{Kind: window.OpPropose, Window: "w", Operator: "ops", ServerUIDs: []string{"s0"}, WorkMS: 60_000})
	g := b.seek(window.LeaseName)
	v := view()
	plan, err := window.NewPlanner().Plan(v.Table, v.Fleet, window.Request{Name: "w", ServerUIDs: []string{"s0"}, WorkMS: 60_000}, time.Now().UnixMilli()+1000)
	if err != nil {
		t.Fatal(err)
	}
	must(g, window.Operation{Kind: window.OpSchedule, Window: "w", Approvals: plan.Approvals, PlannedStartMS: plan.StartMS})
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) { // no notice is over before the clocks are sure
		if status := write(g, at(), window.Operation{Kind: window.OpAwaitPermit, Window: "w"}); status == 0 {
			break
		} else if time.Now().After(end) {
			t.Fatalf("wait is refused: %d", status)
		}
	}
	if status := write(g, at(), window.Operation{Kind: window.OpBeginDrain, Window: "w"}); status != http.StatusConflict {
		t.Errorf("drained without a permit: %d", status)
	}
	act := func(kind disruption.OpKind) {
		t.Helper()
		a := window.LedgerAction{Kind: kind, PermitID: "window/w/1", ServerUIDs: []string{"s0"}}
		if _, err := b.client.Ledger(b.ctx, registry.Write{Guard: g}, *a.Operation()); err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
	}
	act(disruption.OpRequest)
	must(g, window.Operation{Kind: window.OpBeginDrain, Window: "w"})
	act(disruption.OpBegin)
	b.leader().Proc.Kill()
	tell := func() window.Operation {
		return window.Operation{Kind: window.OpExtendExclusion, Window: "w", ExcludeUntilMS: time.Now().UnixMilli() + window.ExclusionTTLMS - 1000}
	}
	off := at()
	off.ControllerMS += 3600_000
	for what, c := range map[string]struct {
		g     *registry.Guard
		stamp window.Timestamp
		want  int
	}{
		"no token":              {nil, at(), http.StatusBadRequest},
		"another duty's token":  {b.seek("release/x"), at(), http.StatusConflict},
		"an old token":          {&registry.Guard{Duty: g.Duty, Token: g.Token - 1}, at(), http.StatusConflict},
		"a clock an hour ahead": {g, off, http.StatusConflict},
	} {
		if status := write(c.g, c.stamp, tell()); status != c.want {
			t.Errorf("%s: %d, want %d", what, status, c.want)
		}
	}
	must(g, tell())
	told := func() int {
		t.Helper()
		l, err := b.client.PlacementView(b.ctx, true)
		if err != nil {
			t.Fatal(err)
		}
		return len(l.Directives)
	}
	if n := told(); n != 1 {
		t.Fatalf("%d entries are told", n)
	}
	must(nil, window.Operation{Kind: window.OpWithdrawContract, Tenant: "portal"})
	if n := told(); n != 0 {
		t.Errorf("%d entries are told after the contract ended", n)
	}
	if bounded() {
		t.Error("its budget outlives the contract")
	}
	if w := view().Table.Window("w"); w == nil || w.Stage != window.StageDraining || view().PermitStages["window/w/1"] != disruption.StageActive {
		t.Errorf("%+v", w)
	}
}
