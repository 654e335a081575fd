package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"milldeck/internal/goldentest"
)

// fixtureOps are operations of every kind, with every outcome but a full table. An operation's index in the log is ten
// times its place here, from 1.
func fixtureOps() []Op {
	return []Op{
		{Kind: Checkpoint, Name: "alpha", Who: "a", Token: 1, Data: []byte("nowhere")},
		{Kind: Release, Name: "alpha", Who: "a", Token: 1},
		{Kind: Seek, Name: "alpha", Who: "a", TTLMS: 5000}, // holds under token 30
		{Kind: Seek, Name: "alpha", Who: "b", TTLMS: 9000},
		{Kind: Seek, Name: "alpha", Who: "c", TTLMS: 9000},
		{Kind: Checkpoint, Name: "alpha", Who: "a", Token: 30, Data: []byte("step 1 \x00\xff")},
		{Kind: Checkpoint, Name: "alpha", Who: "b", Token: 30, Data: []byte("stale")},
		{Kind: Handover, Name: "alpha", To: "d"},
		{Kind: Handover, Name: "alpha", To: "c"},
		{Kind: Release, Name: "alpha", Who: "a", Token: 30, Short: true}, // c holds under token 100, a did not fall
		{Kind: Takeaway, Name: "alpha"},
		{Kind: Checkpoint, Name: "alpha", Who: "c", Token: 100, Data: []byte("revoked")},
		{Kind: Lapse, Name: "alpha", Who: "c", Token: 100, Short: true}, // b holds under token 130
		{Kind: Seek, Name: "beta", Who: "a <ä>", TTLMS: 500},
		{Kind: Release, Name: "beta", Who: "a <ä>", Token: 140, Short: true},
		{Kind: Checkpoint, Name: "beta", Who: "a <ä>", Token: 140},
		{Kind: Takeaway, Name: "beta"},
		{Kind: Takeaway, Name: "alpha"},
		{Kind: Seek, Name: "alpha", Who: "e", TTLMS: 5000},
		{Kind: Handover, Name: "alpha", To: "e"},
		{Kind: Seek, Name: "gamma", Who: "f", TTLMS: 3_600_000},
		{Kind: Lapse, Name: "gamma", Who: "nobody"},
		{Kind: "later", Name: "gamma", Who: "f", Token: 210},
	}
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Operations as they stand in the log, what becomes of them, and the table that they lead to as it stands in a snapshot.
func TestTableFormat(t *testing.T) {
	var written bytes.Buffer
	for _, op := range fixtureOps() {
		written.Write(append(encode(t, op), '\n'))
	}
	goldentest.Compare(t, "operations.jsonl", written.Bytes())

	leases := New()
	var again, outcomes bytes.Buffer
	for n, line := range strings.Split(strings.TrimSpace(string(goldentest.Read(t, "operations.jsonl"))), "\n") {
		var op Op
		if err := json.Unmarshal([]byte(line), &op); err != nil {
			t.Fatal(err)
		}
		again.Write(append(encode(t, op), '\n'))
		outcome, reason := leases.Apply(uint64(10*(n+1)), &op)
		fmt.Fprintf(&outcomes, "%s: %s %q\n", op.Kind, outcome, reason)
	}
	goldentest.Compare(t, "operations.jsonl", again.Bytes())
	goldentest.Compare(t, "outcomes.txt", outcomes.Bytes())
	goldentest.Compare(t, "table.json", encode(t, leases.Save()))

	var saved []*Duty
	if err := json.Unmarshal(goldentest.Read(t, "table.json"), &saved); err != nil {
		t.Fatal(err)
	}
	read := Load(saved)
	goldentest.Compare(t, "table.json", encode(t, read.Save()))
	if read.Rev() != leases.Rev() {
		t.Errorf("read revision %d, want %d", read.Rev(), leases.Rev())
	}
}

// What is answered to an operation that cannot be.
func TestOperationErrors(t *testing.T) {
	long := strings.Repeat("x", MaxName+1)
	var errs bytes.Buffer
	for _, op := range []Op{
		{Kind: "later", Name: "alpha", Who: "a"},
		{Kind: Seek, Who: "a", TTLMS: 5000},
		{Kind: Seek, Name: long, Who: "a", TTLMS: 5000},
		{Kind: Seek, Name: "alpha", TTLMS: 5000},
		{Kind: Seek, Name: "alpha", Who: long, TTLMS: 5000},
		{Kind: Seek, Name: "alpha", Who: "a", TTLMS: MinTTLMS - 1},
		{Kind: Seek, Name: "alpha", Who: "a", TTLMS: MaxTTLMS + 1},
		{Kind: Handover, Name: "alpha"},
		{Kind: Checkpoint, Name: "alpha", Who: "a", Data: make([]byte, MaxCheckpoint+1)},
		{Kind: Takeaway, Name: "alpha"},
	} {
		fmt.Fprintln(&errs, op.Check())
	}
	goldentest.Compare(t, "errors.txt", errs.Bytes())
}

// What is answered where a table or a queue is full.
func TestFullTableReasons(t *testing.T) {
	leases, index := New(), uint64(0)
	seek := func(name, who string) string {
		index++
		outcome, reason := leases.Apply(index, &Op{Kind: Seek, Name: name, Who: who, TTLMS: 5000})
		return fmt.Sprintf("%s %q\n", outcome, reason)
	}
	for n := range MaxDuties {
		seek(fmt.Sprint("lease-", n), "a")
	}
	for n := range MaxQueue {
		seek("lease-0", fmt.Sprint("candidate-", n))
	}
	goldentest.Compare(t, "full.txt", []byte(seek("one more", "a")+seek("lease-0", "one more")))
}
