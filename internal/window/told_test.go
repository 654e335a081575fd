package window

import (
	"errors"
	"testing"
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
				told = e.ExpiresAtMS
			}
			if res.Outcome != Applied || told != c.until || (len(res.Drop) == 1) != (c.until == 0) || next.Window("w").ToldMS != c.until {
				t.Errorf("%s: %+v, told until %d, want %d", what, res, next.Window("w").ToldMS, c.until)
			}
		}
	})
}

// A name that is no server's is said to be that, whatever the contracts would say.
func TestThePlannerNamesAServerThatThereIsNot(t *testing.T) {
	s, table := newSmall()
	_, err := NewPlanner().Plan(table, Fleet{"m0": nil, "m1": nil}, Wish{Name: "w", Servers: []string{"m0", "mo"}, WorkMS: minute, FromMS: s.open}, s.open)
	var f *Forbidden
	if !errors.As(err, &f) || f.Why != "there is no server mo" {
		t.Errorf("%v", err)
	}
}
