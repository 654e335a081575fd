package leasetable

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"milldeck/internal/goldentest"
)

// fixtureOps returns operations of every kind, with every outcome but an exceeded limit. The n-th operation, counted from 1,
// has the log index 10n.
func fixtureOps() []Operation {
	return []Operation{
		{Kind: Checkpoint, Name: "alpha", Candidate: "a", Token: 1, Data: []byte("nowhere")},
		{Kind: Release, Name: "alpha", Candidate: "a", Token: 1},
		{Kind: Campaign, Name: "alpha", Candidate: "a", TTLMS: 5000}, // holds under token 30
		{Kind: Campaign, Name: "alpha", Candidate: "b", TTLMS: 9000},
		{Kind: Campaign, Name: "alpha", Candidate: "c", TTLMS: 9000},
		{Kind: Checkpoint, Name: "alpha", Candidate: "a", Token: 30, Data: []byte("step 1 \x00\xff")},
		{Kind: Checkpoint, Name: "alpha", Candidate: "b", Token: 30, Data: []byte("stale")},
		{Kind: Handover, Name: "alpha", Successor: "d"},
		{Kind: Handover, Name: "alpha", Successor: "c"},
		{Kind: Release, Name: "alpha", Candidate: "a", Token: 30, ShortTenure: true}, // c holds under token 100; a stepped down on request, so its short tenure does not count
		{Kind: Revoke, Name: "alpha"},
		{Kind: Checkpoint, Name: "alpha", Candidate: "c", Token: 100, Data: []byte("revoked")},
		{Kind: Expire, Name: "alpha", Candidate: "c", Token: 100, ShortTenure: true}, // b holds under token 130
		{Kind: Campaign, Name: "beta", Candidate: "a <ä>", TTLMS: 500},
		{Kind: Release, Name: "beta", Candidate: "a <ä>", Token: 140, ShortTenure: true},
		{Kind: Checkpoint, Name: "beta", Candidate: "a <ä>", Token: 140},
		{Kind: Revoke, Name: "beta"},
		{Kind: Revoke, Name: "alpha"},
		{Kind: Campaign, Name: "alpha", Candidate: "e", TTLMS: 5000},
		{Kind: Handover, Name: "alpha", Successor: "e"},
		{Kind: Campaign, Name: "gamma", Candidate: "f", TTLMS: 3_600_000},
		{Kind: Expire, Name: "gamma", Candidate: "nobody"},
		{Kind: "later", Name: "gamma", Candidate: "f", Token: 210},
	}
}

// outcome formats the error that Apply returned.
func outcome(t *testing.T, err error) string {
	t.Helper()
	if err == nil {
		return `done ""`
	}
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s %q", rejected.Rejection, rejected.Reason)
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards the format of operations in the log, their outcomes, and the format of the resulting table in a snapshot.
func TestTableFormat(t *testing.T) {
	var encoded bytes.Buffer
	for _, op := range fixtureOps() {
		encoded.Write(append(encode(t, op), '\n'))
	}
	goldentest.Compare(t, "operations.jsonl", encoded.Bytes())

	table := New()
	var reencoded, outcomes bytes.Buffer
	for n, line := range strings.Split(strings.TrimSpace(string(goldentest.Read(t, "operations.jsonl"))), "\n") {
		var op Operation
		if err := json.Unmarshal([]byte(line), &op); err != nil {
			t.Fatal(err)
		}
		reencoded.Write(append(encode(t, op), '\n'))
		fmt.Fprintf(&outcomes, "%s: %s\n", op.Kind, outcome(t, table.Apply(uint64(10*(n+1)), &op)))
	}
	goldentest.Compare(t, "operations.jsonl", reencoded.Bytes())
	goldentest.Compare(t, "outcomes.txt", outcomes.Bytes())
	goldentest.Compare(t, "table.json", encode(t, table.Snapshot()))

	var decoded []*Lease
	if err := json.Unmarshal(goldentest.Read(t, "table.json"), &decoded); err != nil {
		t.Fatal(err)
	}
	restored := FromSnapshot(decoded)
	goldentest.Compare(t, "table.json", encode(t, restored.Snapshot()))
	if restored.Revision() != table.Revision() {
		t.Errorf("restored table has revision %d, want %d", restored.Revision(), table.Revision())
	}
}

// Guards the error texts that a client receives for an invalid operation.
func TestOperationErrors(t *testing.T) {
	long := strings.Repeat("x", MaxNameLength+1)
	var errs bytes.Buffer
	for _, op := range []Operation{
		{Kind: "later", Name: "alpha", Candidate: "a"},
		{Kind: Campaign, Candidate: "a", TTLMS: 5000},
		{Kind: Campaign, Name: long, Candidate: "a", TTLMS: 5000},
		{Kind: Campaign, Name: "alpha", TTLMS: 5000},
		{Kind: Campaign, Name: "alpha", Candidate: long, TTLMS: 5000},
		{Kind: Campaign, Name: "alpha", Candidate: "a", TTLMS: MinTTLMS - 1},
		{Kind: Campaign, Name: "alpha", Candidate: "a", TTLMS: MaxTTLMS + 1},
		{Kind: Handover, Name: "alpha"},
		{Kind: Checkpoint, Name: "alpha", Candidate: "a", Data: make([]byte, MaxCheckpointBytes+1)},
		{Kind: Revoke, Name: "alpha"},
	} {
		fmt.Fprintln(&errs, op.Validate())
	}
	goldentest.Compare(t, "errors.txt", errs.Bytes())
}

// Guards the error texts that a client receives when a limit is reached.
func TestFullTableReasons(t *testing.T) {
	table, index := New(), uint64(0)
	campaign := func(name, candidate string) string {
		index++
		return outcome(t, table.Apply(index, &Operation{Kind: Campaign, Name: name, Candidate: candidate, TTLMS: 5000})) + "\n"
	}
	for n := range MaxLeases {
		campaign(fmt.Sprint("lease-", n), "a")
	}
	for n := range MaxQueueLength {
		campaign("lease-0", fmt.Sprint("candidate-", n))
	}
	goldentest.Compare(t, "full.txt", []byte(campaign("one more", "a")+campaign("lease-0", "one more")))
}
