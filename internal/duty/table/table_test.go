package table

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// before is an operation as a version that knows nothing of falls reads it.
func before(op Op) Op {
	op.Short = false
	return op
}

// A replica of the version before agrees with this one on all but falls, also after it has written and read its own form of
// a snapshot: holder, queue, token and revision are what guards and watches go by.
func TestVersionBeforeAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, old := New(), New()
		names := []string{"a", "b", "c"}
		for index := uint64(1); index < 60; index++ {
			d, _ := now.Get("d")
			op := Op{
				Kind: rapid.SampledFrom([]Kind{Seek, Seek, Release, Release, Lapse, Handover, Takeaway, Checkpoint}).Draw(t, "kind"),
				Name: "d", Who: rapid.SampledFrom(names).Draw(t, "who"), TTLMS: 1000, To: rapid.SampledFrom(names).Draw(t, "to"),
				Short: rapid.Bool().Draw(t, "short"), Data: []byte{byte(index)},
			}
			if rapid.Bool().Draw(t, "as holder") {
				op.Who, op.Token = d.Holder, d.Token
			}
			data, err := json.Marshal(op)
			var read Op
			if err == nil {
				err = json.Unmarshal(data, &read)
			}
			if err != nil {
				t.Fatal(err)
			}
			was := before(read)
			got, _ := now.Apply(index, &read)
			want, _ := old.Apply(index, &was)
			a, _ := now.Get("d")
			b, _ := old.Get("d")
			for _, f := range a.Falls {
				if f.N < 1 || f.N > MostFalls || len(a.Falls) > MaxFalls {
					t.Fatalf("falls %+v", a.Falls)
				}
			}
			a.Falls = nil
			if got != want || fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("at %d after %+v: %s %+v, before: %s %+v", index, op, got, a, want, b)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				old = Load(old.Save())
			}
		}
	})
}

// Falls are counted in a row, end with a long tenure, and not for who was asked to go.
func TestFalls(t *testing.T) {
	tab, index := New(), uint64(0)
	do := func(op Op) Duty {
		index++
		op.Name = "d"
		tab.Apply(index, &op)
		d, _ := tab.Get("d")
		return d
	}
	tenure := func(short, taken bool) int {
		d := do(Op{Kind: Seek, Who: "a", TTLMS: 1000})
		if taken {
			do(Op{Kind: Takeaway})
		}
		d = do(Op{Kind: Release, Who: "a", Token: d.Token, Short: short})
		return d.Fallen("a").N
	}
	for i, c := range []struct {
		short, taken bool
		want         int
	}{{true, false, 1}, {true, true, 1}, {true, false, 2}, {false, false, 0}, {true, false, 1}} {
		if got := tenure(c.short, c.taken); got != c.want {
			t.Errorf("after tenure %d: %d falls, want %d", i, got, c.want)
		}
	}
	for range MostFalls {
		tenure(true, false)
	}
	if got := tenure(true, false); got != MostFalls {
		t.Errorf("%d falls, at most %d are counted", got, MostFalls)
	}
}
