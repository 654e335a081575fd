package core

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"milldeck/internal/supervisor"
)

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// golden compares bytes with a golden file, which -update writes, and returns the file's.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s\nwant:\n%s", name, got, want)
	}
	return want
}

func fixtureFaults() []Fault {
	return []Fault{
		{Kind: Fail, On: OnList, Count: 2}, {Kind: Hang, ForMS: 500}, {Kind: Late, DelayMS: 100}, {Kind: Half, On: OnDo, Unit: "u1"},
		{Kind: Lose}, {Kind: Twice, On: OnDo}, {Kind: Wrong, On: OnDo}, {Kind: Forget, ForMS: 1000},
	}
}

// Faults as they go over HTTP keep their bytes, both ways.
func TestFixtureFaults(t *testing.T) {
	var out bytes.Buffer
	for _, f := range fixtureFaults() {
		if err := f.Check(); err != nil {
			t.Error(err)
		}
		if err := json.NewEncoder(&out).Encode(f); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	for line := range bytes.Lines(golden(t, "faults.jsonl", out.Bytes())) {
		var f Fault
		if err := json.Unmarshal(line, &f); err != nil || f != fixtureFaults()[n] {
			t.Errorf("%+v, %v, was read from %s", f, err, line)
		}
		n++
	}
}

// The outcomes and the list of a scripted run keep their bytes, with refusals of every reason.
func TestFixtureOutcomes(t *testing.T) {
	c := New(Options{Versions: versions, MostUnits: 2, MostIDs: 64}, 1000)
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	note := func(v any) {
		t.Helper()
		if err := encoder.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	first := start(c, "a", "u", "1", 0)
	note(one(t, c, 1000, first))
	note(one(t, c, 1000, start(c, "b", "u", "1", 1)))
	note(one(t, c, 1000, start(c, "b", "v", "1", 1)))
	note(one(t, c, 1000, start(c, "c", "v", "9", 0)))
	note(one(t, c, 1000, start(c, "d", "v", "1", 4)))
	note(one(t, c, 1000, start(c, "e", "v", "crash", 0)))
	note(one(t, c, 1000, start(c, "f", "w", "1", 0)))
	note(c.list(1050))
	c.Ready(1100, 1)
	note(one(t, c, 1200, request{ID: "g", Op: supervisor.Reload, Memory: c.memory, Unit: "v", Incarnation: 2, Config: "c2", File: "text"}))
	note(one(t, c, 1200, request{ID: "h", Op: supervisor.Reload, Memory: c.memory, Unit: "u", Incarnation: 1, Config: "c2", File: "text"}))
	note(one(t, c, 1200, request{ID: "i", Op: supervisor.Restart, Memory: c.memory, Unit: "u", Incarnation: 1, Kind: supervisor.Sidecar,
		Version: "2", Listen: "127.0.0.1:2", Zone: "z", Config: "c3", GraceMS: 300}))
	c.Ended(1250, 2, "exit status 1")
	note(c.list(1300))
	c.Tick(1500)
	c.Ended(1501, 1, "signal: killed")
	note(one(t, c, 1600, first))
	note(c.list(1600))
	for _, set := range []Fault{{Kind: Fail}, {Kind: Forget}} {
		if err := c.SetFault(1700, set); err != nil {
			t.Fatal(err)
		}
		if set.Kind == Fail {
			note(c.Do(1700, []request{first}).Failed)
		}
	}
	note(one(t, c, 1700, first))
	note(c.list(1700))
	golden(t, "outcomes.jsonl", out.Bytes())
}
