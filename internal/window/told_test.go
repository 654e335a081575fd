package window

import (
	"testing"

	"milldeck/internal/placement"
	"milldeck/internal/window/contract"
)

// A contract set anew with an earlier close shortens what is told in the same entry, or ends it where it is over or in doubt.
func TestAnEarlierCloseEndsWhatIsTold(t *testing.T) {
	s, table := newSmall()
	s.route(table, func(table *Table) {
		w := table.Window("w")
		if w == nil || w.Stage != Free {
			return
		}
		now := s.open + 5000
		for what, c := range map[string]struct {
			close, until int64
			at           Stamp
		}{
			"earlier than the told end": {now + 10_000, now + 10_000 - GuardMS - 250, Stamp{now, 250, now, 250}},
			"later than that":           {now + 60_000, w.ToldMS, Stamp{now, 250, now, 250}},
			"over":                      {now + 1000, 0, Stamp{now, 250, now, 250}},
			"in doubt":                  {now + 10_000, 0, Stamp{now, 250, now - 60_000, 250}},
		} {
			next, g := clone(table), s.grant(0)
			g.CloseMS = c.close
			one := next.Contract("portal").Contract
			res := next.Apply(100, &Op{Kind: OpContract, Contract: &one, Grant: g}, c.at)
			told := int64(0)
			for _, e := range res.Set {
				told = e.UntilMS
			}
			if res.Outcome != Applied || told != c.until || (len(res.Drop) == 1) != (c.until == 0) || next.Window("w").ToldMS != c.until {
				t.Errorf("%s: %+v, told until %d, want %d", what, res, next.Window("w").ToldMS, c.until)
			}
		}
	})
}

// A window of two tenants is empty once each sidecar keeps off for those whose requests it has. One that keeps off for none
// may send requests that nobody has approved to be kept off.
func TestASidecarKeepsOffForItsOwnTenants(t *testing.T) {
	table, w := New(), &Window{Name: "w", Stage: Draining, OutMS: 1, ToldMS: 30_000, ToldRev: 7}
	for _, tenant := range []string{"portal", "teller"} {
		table.contracts[tenant] = &Kept{Contract: contract.Contract{Tenant: tenant}, Version: 1}
		w.Grants = append(w.Grants, Grant{Tenant: tenant, Version: 1, CloseMS: 100_000})
	}
	for what, c := range map[string]struct {
		second map[string]int
		want   bool
	}{
		"each for its own": {map[string]int{"window/w/teller": 0}, true},
		"both":             {map[string]int{"window/w/portal": 0, "window/w/teller": 0}, true},
		"one is open":      {map[string]int{"window/w/portal": 0, "window/w/teller": 1}, false},
		"for none":         {map[string]int{}, false},
	} {
		core := NewCore(1)
		core.Heard(Now{MonoMS: 1}, placement.Report{Name: "a", Rev: 7, Open: map[string]int{"window/w/portal": 0}})
		core.Heard(Now{MonoMS: 1}, placement.Report{Name: "b", Rev: 7, Open: c.second})
		s := &look{c: core, t: table, v: &View{Sidecars: []string{"a", "b"}}, now: Now{MonoMS: 2}, at: instant{hi: 10}}
		if got := s.empty(w); got != c.want {
			t.Errorf("%s: empty %v", what, got)
		}
	}
}
