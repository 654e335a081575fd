package core

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"

	"milldeck/internal/goldentest"
	"milldeck/internal/supervisor"
)

func fixtureFaults() []Fault {
	return []Fault{
		{Kind: FaultError, On: OnList, Count: 2}, {Kind: FaultHang, DurationMS: 500}, {Kind: FaultDelay, DelayMS: 100}, {Kind: FaultPartial, On: OnDo, Unit: "u1"},
		{Kind: FaultDropResponse}, {Kind: FaultDuplicate, On: OnDo}, {Kind: FaultWrongUnit, On: OnDo}, {Kind: FaultLoseState, DurationMS: 1000},
	}
}

// Fails if the encoding or decoding of faults as JSON changes, which would break callers of the HTTP interface.
func TestFixtureFaults(t *testing.T) {
	var out bytes.Buffer
	for _, f := range fixtureFaults() {
		if err := f.Validate(); err != nil {
			t.Error(err)
		}
		if err := json.NewEncoder(&out).Encode(f); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "faults.jsonl", out.Bytes())
	var read []Fault
	for line := range bytes.Lines(goldentest.Read(t, "faults.jsonl")) {
		var fault Fault
		goldentest.DecodeStrictly(t, line, &fault)
		read = append(read, fault)
	}
	if !slices.Equal(read, fixtureFaults()) {
		t.Errorf("read %+v, want %+v", read, fixtureFaults())
	}
}

// Fails if the JSON of outcomes, rejections or lists changes in a scripted run.
func TestFixtureOutcomes(t *testing.T) {
	c := New(Options{Versions: versions, MaxUnits: 2, MaxRequestIDs: 64}, 1000)
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	record := func(v any) {
		t.Helper()
		if err := encoder.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	first := start(c, "a", "u", "1", 0)
	record(executeOne(t, c, 1000, first))
	record(executeOne(t, c, 1000, start(c, "b", "u", "1", 1)))
	record(executeOne(t, c, 1000, start(c, "b", "v", "1", 1)))
	record(executeOne(t, c, 1000, start(c, "c", "v", "9", 0)))
	record(executeOne(t, c, 1000, start(c, "d", "v", "1", 4)))
	record(executeOne(t, c, 1000, start(c, "e", "v", "crash", 0)))
	record(executeOne(t, c, 1000, start(c, "f", "w", "1", 0)))
	record(c.list(1050))
	c.ProcessReady(1100, 1)
	record(executeOne(t, c, 1200, request{ID: "g", Op: supervisor.Reload, Epoch: c.epoch, Unit: "v", Incarnation: 2, ConfigName: "c2", ConfigText: "text"}))
	record(executeOne(t, c, 1200, request{ID: "h", Op: supervisor.Reload, Epoch: c.epoch, Unit: "u", Incarnation: 1, ConfigName: "c2", ConfigText: "text"}))
	record(executeOne(t, c, 1200, request{ID: "i", Op: supervisor.Restart, Epoch: c.epoch, Unit: "u", Incarnation: 1, Kind: supervisor.Sidecar,
		Version: "2", Listen: "127.0.0.1:2", Zone: "z", ConfigName: "c3", GraceMS: 300}))
	c.ProcessExited(1250, 2, "exit status 1")
	record(c.list(1300))
	c.Tick(1500)
	c.ProcessExited(1501, 1, "signal: killed")
	record(executeOne(t, c, 1600, first))
	record(c.list(1600))
	for _, fault := range []Fault{{Kind: FaultError}, {Kind: FaultLoseState}} {
		if err := c.SetFault(1700, fault); err != nil {
			t.Fatal(err)
		}
		if fault.Kind == FaultError {
			record(c.Do(1700, []request{first}).Failure)
		}
	}
	record(executeOne(t, c, 1700, first))
	record(c.list(1700))
	goldentest.Compare(t, "outcomes.jsonl", out.Bytes())
}
