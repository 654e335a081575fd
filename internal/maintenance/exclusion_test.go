package maintenance

import (
	"errors"
	"testing"
)

// TestEarlierCloseShortensExclusion sets a contract again with an earlier close. The same log record must shorten
// the exclusion, or end it if the close has passed or the clocks are not trusted.
func TestEarlierCloseShortensExclusion(t *testing.T) {
	fixture, table := newTableFixture()
	fixture.walkStages(table, func(table *Table) {
		window := table.Window("w")
		if window == nil || window.Stage != StageDrained {
			return
		}
		now := fixture.openMS + 5000
		for name, test := range map[string]struct {
			closesAtMS, excludedUntil int64
			timestamp                 Timestamp
		}{
			"before the expiry": {now + 10_000, now + 10_000 - CloseMarginMS - 250, agreeingClocks(now)},
			"after the expiry":  {now + 60_000, window.ExcludedUntilMS, agreeingClocks(now)},
			"passed":            {now + 1000, 0, agreeingClocks(now)},
			"clock fault":       {now + 10_000, 0, Timestamp{now, 250, now - 60_000, 250}},
		} {
			t.Run(name, func(t *testing.T) {
				next, approval := cloneTable(table), fixture.approval(0)
				approval.ClosesAtMS = test.closesAtMS
				terms := next.Contract("portal").Contract
				changes, err := next.Apply(100, &Operation{Kind: OpSetContract, Contract: &terms, CurrentApproval: approval}, test.timestamp)
				excludedUntilMS := int64(0)
				for _, directive := range changes.SetDirectives {
					excludedUntilMS = directive.ExpiresAtMS
				}
				deleted := len(changes.DeleteDirectiveIDs) == 1
				stored := next.Window("w").ExcludedUntilMS
				if err != nil || excludedUntilMS != test.excludedUntil || deleted != (test.excludedUntil == 0) || stored != test.excludedUntil {
					t.Errorf("%+v, %v, excluded until %d, want %d", changes, err, stored, test.excludedUntil)
				}
			})
		}
	})
}

// TestPlannerNamesUnknownServer checks that the planner reports an unknown server before it checks any contract.
func TestPlannerNamesUnknownServer(t *testing.T) {
	fixture, table := newTableFixture()
	request := Request{Name: "w", ServerUIDs: []string{"m0", "mo"}, WorkMS: minuteMS, ProposedAtMS: fixture.openMS}
	_, err := NewPlanner().Plan(table, Fleet{"m0": nil, "m1": nil}, request, fixture.openMS)
	var infeasible *InfeasibleError
	if !errors.As(err, &infeasible) || infeasible.Reason != "there is no server mo" {
		t.Errorf("%v", err)
	}
}
