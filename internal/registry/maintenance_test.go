package registry_test

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/registry"
)

// The steps of a window need the token of the controller's lease, and a writer's clock that agrees with the leader's.
// The record of a step also sets the directives for sidecars. All of this state survives the kill of the leader.
func TestMaintenanceWindowSurvivesLeaderLoss(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 5")
	env.registerFleet(4, 2)
	stamp := func() maintenance.Timestamp {
		return maintenance.Timestamp{ControllerMS: time.Now().UnixMilli(), UncertaintyMS: 250}
	}
	writeOp := func(guard *registry.Guard, stamp maintenance.Timestamp, op maintenance.Operation) int {
		t.Helper()
		_, err := env.client.WriteWindow(env.ctx, registry.WriteOptions{Guard: guard}, stamp, op)
		var status *registry.StatusError
		switch {
		case errors.As(err, &status):
			return status.StatusCode
		case err != nil:
			t.Fatal(err)
		}
		return 0
	}
	mustWrite := func(guard *registry.Guard, op maintenance.Operation) {
		t.Helper()
		if status := writeOp(guard, stamp(), op); status != 0 {
			t.Fatalf("%s is rejected: %d", op.Kind, status)
		}
	}
	view := func() *maintenance.View {
		t.Helper()
		current, err := env.client.Windows(env.ctx, true)
		if err != nil {
			t.Fatal(err)
		}
		return current.View()
	}
	alwaysApproved := contract.Contract{Tenant: "portal", Notice: "0s", MinutesPerMonth: 10_000, MinAvailableShare: 0.5, MaxConcurrentWindows: 1, OverrunPolicy: contract.OverrunHaltsTenant,
		Spec: calendar.Spec{Zone: "UTC", ApprovedHours: []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: "00:00", Length: "48h", FirstDay: "2020-01-01"}}}}
	mustWrite(nil, maintenance.Operation{Kind: maintenance.OpSetContract, Contract: &alwaysApproved})
	hasContractBudget := func() bool {
		t.Helper()
		current, err := env.client.LedgerView(env.ctx, true, false)
		if err != nil {
			t.Fatal(err)
		}
		return slices.ContainsFunc(current.Budgets, func(budget disruption.Budget) bool { return budget.Name == maintenance.ContractBudgetName("portal") })
	}
	if !hasContractBudget() {
		t.Error("the contract sets no budget")
	}
	mustWrite(nil, maintenance.Operation{Kind: maintenance.OpPropose, Window: "w", Operator: "ops", ServerUIDs: []string{"s0"}, WorkMS: 60_000})
	guard := env.acquireLease(maintenance.LeaseName)
	current := view()
	plan, err := maintenance.NewPlanner().Plan(current.Table, current.Fleet, maintenance.Request{Name: "w", ServerUIDs: []string{"s0"}, WorkMS: 60_000}, time.Now().UnixMilli()+1000)
	if err != nil {
		t.Fatal(err)
	}
	mustWrite(guard, maintenance.Operation{Kind: maintenance.OpSchedule, Window: "w", Approvals: plan.Approvals, PlannedStartMS: plan.StartMS})
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) { // until the notice is over by every clock
		if status := writeOp(guard, stamp(), maintenance.Operation{Kind: maintenance.OpAwaitPermit, Window: "w"}); status == 0 {
			break
		} else if time.Now().After(end) {
			t.Fatalf("wait is rejected: %d", status)
		}
	}
	if status := writeOp(guard, stamp(), maintenance.Operation{Kind: maintenance.OpBeginDrain, Window: "w"}); status != http.StatusConflict {
		t.Errorf("drained without a permit: %d", status)
	}
	applyLedgerAction := func(kind disruption.OpKind) {
		t.Helper()
		action := maintenance.LedgerAction{Kind: kind, PermitID: "window/w/1", ServerUIDs: []string{"s0"}}
		if _, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{Guard: guard}, *action.Operation()); err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
	}
	applyLedgerAction(disruption.OpRequest)
	mustWrite(guard, maintenance.Operation{Kind: maintenance.OpBeginDrain, Window: "w"})
	applyLedgerAction(disruption.OpBegin)
	env.awaitLeader().Process.Kill()
	extendExclusionOp := func() maintenance.Operation {
		return maintenance.Operation{Kind: maintenance.OpExtendExclusion, Window: "w", ExcludeUntilMS: time.Now().UnixMilli() + maintenance.ExclusionTTLMS - 1000}
	}
	skewed := stamp()
	skewed.ControllerMS += 3600_000
	for what, tc := range map[string]struct {
		guard *registry.Guard
		stamp maintenance.Timestamp
		want  int
	}{
		"no token":              {nil, stamp(), http.StatusBadRequest},
		"another lease's token": {env.acquireLease("release/x"), stamp(), http.StatusConflict},
		"an old token":          {&registry.Guard{Lease: guard.Lease, Token: guard.Token - 1}, stamp(), http.StatusConflict},
		"a clock an hour ahead": {guard, skewed, http.StatusConflict},
	} {
		if status := writeOp(tc.guard, tc.stamp, extendExclusionOp()); status != tc.want {
			t.Errorf("%s: %d, want %d", what, status, tc.want)
		}
	}
	mustWrite(guard, extendExclusionOp())
	countDirectives := func() int {
		t.Helper()
		placementView, err := env.client.PlacementView(env.ctx, true)
		if err != nil {
			t.Fatal(err)
		}
		return len(placementView.Directives)
	}
	if entries := countDirectives(); entries != 1 {
		t.Fatalf("%d directives are published", entries)
	}
	mustWrite(nil, maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: "portal"})
	if entries := countDirectives(); entries != 0 {
		t.Errorf("%d directives are published after the contract ended", entries)
	}
	if hasContractBudget() {
		t.Error("the budget remains after the contract was withdrawn")
	}
	if found := view().Table.Window("w"); found == nil || found.Stage != maintenance.StageDraining || view().PermitStages["window/w/1"] != disruption.StageActive {
		t.Errorf("%+v", found)
	}
}
