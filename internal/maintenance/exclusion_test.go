package maintenance

import (
	"errors"
	"testing"
)

// A contract set anew with an earlier close shortens what is told in the same entry, or ends it where it is over or in doubt.
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
			"earlier than the told end": {now + 10_000, now + 10_000 - CloseGuardMS - 250, Timestamp{now, 250, now, 250}},
			"later than that":           {now + 60_000, window.ExcludedUntilMS, Timestamp{now, 250, now, 250}},
			"over":                      {now + 1000, 0, Timestamp{now, 250, now, 250}},
			"in doubt":                  {now + 10_000, 0, Timestamp{now, 250, now - 60_000, 250}},
		} {
			next, approval := cloneTable(table), fixture.approval(0)
			approval.ClosesAtMS = test.closesAtMS
			terms := next.Contract("portal").Contract
			changes, err := next.Apply(100, &Operation{Kind: OpSetContract, Contract: &terms, CurrentApproval: approval}, test.timestamp)
			excludedUntilMS := int64(0)
			for _, entry := range changes.SetDirectives {
				excludedUntilMS = entry.ExpiresAtMS
			}
			if err != nil || excludedUntilMS != test.excludedUntil || (len(changes.DeleteDirectiveIDs) == 1) != (test.excludedUntil == 0) || next.Window("w").ExcludedUntilMS != test.excludedUntil {
				t.Errorf("%s: %+v, %v, excluded until %d, want %d", name, changes, err, next.Window("w").ExcludedUntilMS, test.excludedUntil)
			}
		}
	})
}

// A name that is no server's is said to be that, whatever the contracts would say.
func TestPlannerNamesUnknownServer(t *testing.T) {
	fixture, table := newTableFixture()
	_, err := NewPlanner().Plan(table, Fleet{"m0": nil, "m1": nil}, Request{Name: "w", ServerUIDs: []string{"m0", "mo"}, WorkMS: minuteMS, ProposedAtMS: fixture.openMS}, fixture.openMS)
	var infeasible *InfeasibleError
	if !errors.As(err, &infeasible) || infeasible.Reason != "there is no server mo" {
		t.Errorf("%v", err)
	}
}
