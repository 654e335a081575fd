package leasetable

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// withoutShortTenure returns an operation as a version without counts of short tenures reads it.
func withoutShortTenure(op Operation) Operation {
	op.ShortTenure = false
	return op
}

// A replica of the previous version agrees with a replica of this version on everything but the counts of short tenures,
// also after the older replica has written and read a snapshot. Guards and watches depend on holder, queue, token and revision.
func TestAgreesWithPreviousVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, previous := New(), New()
		names := []string{"a", "b", "c"}
		for index := uint64(1); index < 60; index++ {
			lease, _ := current.Get("d")
			op := Operation{
				Kind: rapid.SampledFrom([]OperationKind{Campaign, Campaign, Release, Release, Expire, Handover, Revoke, Checkpoint}).Draw(t, "kind"),
				Name: "d", Candidate: rapid.SampledFrom(names).Draw(t, "candidate"), TTLMS: 1000, Successor: rapid.SampledFrom(names).Draw(t, "successor"),
				ShortTenure: rapid.Bool().Draw(t, "short"), Data: []byte{byte(index)},
			}
			if rapid.Bool().Draw(t, "as holder") {
				op.Candidate, op.Token = lease.Holder, lease.Token
			}
			data, err := json.Marshal(op)
			var decoded Operation
			if err == nil {
				err = json.Unmarshal(data, &decoded)
			}
			if err != nil {
				t.Fatal(err)
			}
			previousOp := withoutShortTenure(decoded)
			got := fmt.Sprint(current.Apply(index, &decoded))
			want := fmt.Sprint(previous.Apply(index, &previousOp))
			a, _ := current.Get("d")
			b, _ := previous.Get("d")
			for _, entry := range a.ShortTenures {
				if entry.Count < 1 || entry.Count > MaxShortTenureCount || len(a.ShortTenures) > MaxShortTenureRecords {
					t.Fatalf("counts of short tenures are out of bounds: %+v", a.ShortTenures)
				}
			}
			a.ShortTenures = nil
			if got != want || fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("at index %d after %+v: this version has %s %+v, the previous one %s %+v", index, op, got, a, want, b)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				previous = FromSnapshot(previous.Snapshot())
			}
		}
	})
}

// Consecutive short tenures are counted. A long tenure clears the count, and a tenure that an operator ended leaves the count
// unchanged.
func TestShortTenureCounts(t *testing.T) {
	table, index := New(), uint64(0)
	apply := func(op Operation) Lease {
		index++
		op.Name = "d"
		if err := table.Apply(index, &op); err != nil {
			t.Fatal(err)
		}
		lease, _ := table.Get("d")
		return lease
	}
	tenure := func(shortTenure, revoked bool) int {
		lease := apply(Operation{Kind: Campaign, Candidate: "a", TTLMS: 1000})
		if revoked {
			apply(Operation{Kind: Revoke})
		}
		lease = apply(Operation{Kind: Release, Candidate: "a", Token: lease.Token, ShortTenure: shortTenure})
		return lease.ShortTenuresOf("a").Count
	}
	for _, step := range []struct {
		name                 string
		shortTenure, revoked bool
		want                 int
	}{
		{"first short", true, false, 1},
		{"short, but revoked", true, true, 1},
		{"second short", true, false, 2},
		{"long", false, false, 0},
		{"short after long", true, false, 1},
	} {
		if got := tenure(step.shortTenure, step.revoked); got != step.want {
			t.Errorf("%s: %d short tenures, want %d", step.name, got, step.want)
		}
	}
	for range MaxShortTenureCount {
		tenure(true, false)
	}
	if got := tenure(true, false); got != MaxShortTenureCount {
		t.Errorf("%d short tenures, want %d, the most that are counted", got, MaxShortTenureCount)
	}
}
