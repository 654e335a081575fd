package leasetable

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// withoutFailovers is an operation as a version that knows nothing of falls reads it.
func withoutFailovers(op Operation) Operation {
	op.ShortTenure = false
	return op
}

// A replica of the version before agrees with this one on all but falls, also after it has written and read its own form of
// a snapshot: holder, queue, token and revision are what guards and watches go by.
func TestAgreesWithPreviousVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, previous := New(), New()
		names := []string{"a", "b", "c"}
		for index := uint64(1); index < 60; index++ {
			lease, _ := current.Get("d")
			op := Operation{
				Kind: rapid.SampledFrom([]OperationKind{Campaign, Campaign, Release, Release, Expire, Handover, Revoke, Checkpoint}).Draw(t, "kind"),
				Name: "d", Candidate: rapid.SampledFrom(names).Draw(t, "who"), TTLMS: 1000, Successor: rapid.SampledFrom(names).Draw(t, "to"),
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
			previousOp := withoutFailovers(decoded)
			got, _ := current.Apply(index, &decoded)
			want, _ := previous.Apply(index, &previousOp)
			a, _ := current.Get("d")
			b, _ := previous.Get("d")
			for _, failover := range a.Failovers {
				if failover.Count < 1 || failover.Count > MaxFailoverCount || len(a.Failovers) > MaxFailoverRecords {
					t.Fatalf("falls %+v", a.Failovers)
				}
			}
			a.Failovers = nil
			if got != want || fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("at %d after %+v: %s %+v, before: %s %+v", index, op, got, a, want, b)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				previous = FromSnapshot(previous.Snapshot())
			}
		}
	})
}

// Falls are counted in a row, end with a long tenure, and not for who was asked to go.
func TestFailoverCounts(t *testing.T) {
	leases, index := New(), uint64(0)
	apply := func(op Operation) Lease {
		index++
		op.Name = "d"
		leases.Apply(index, &op)
		lease, _ := leases.Get("d")
		return lease
	}
	tenure := func(shortTenure, revoked bool) int {
		lease := apply(Operation{Kind: Campaign, Candidate: "a", TTLMS: 1000})
		if revoked {
			apply(Operation{Kind: Revoke})
		}
		lease = apply(Operation{Kind: Release, Candidate: "a", Token: lease.Token, ShortTenure: shortTenure})
		return lease.FailoversOf("a").Count
	}
	for i, c := range []struct {
		shortTenure, revoked bool
		want                 int
	}{{true, false, 1}, {true, true, 1}, {true, false, 2}, {false, false, 0}, {true, false, 1}} {
		if got := tenure(c.shortTenure, c.revoked); got != c.want {
			t.Errorf("after tenure %d: %d falls, want %d", i, got, c.want)
		}
	}
	for range MaxFailoverCount {
		tenure(true, false)
	}
	if got := tenure(true, false); got != MaxFailoverCount {
		t.Errorf("%d falls, at most %d are counted", got, MaxFailoverCount)
	}
}
