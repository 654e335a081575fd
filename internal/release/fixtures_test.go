package release

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"milldeck/internal/disruption"
)

// updateFixtures rewrites the golden files from what the code under test writes. They were made by the first version of
// the stored format: a difference means that logs and snapshots on disk can no longer be read as they were meant.
var updateFixtures = flag.Bool("update", false, "write the golden files in testdata")

// fixtureScenario is a scripted release. Its log and its snapshots are compared with golden files byte by byte.
type fixtureScenario struct {
	name   string
	kind   disruption.Kind
	plan   string                                           // empty: a drain
	script func(t *testing.T, w *world, tick int, s *State) // called before each tick
	phase  Phase                                            // at the end
}

var fixtureScenarios = []fixtureScenario{
	{name: "halt-resume-rollback", kind: disruption.KindServer, plan: serverPlan, phase: Backed,
		script: func(t *testing.T, w *world, tick int, _ *State) {
			switch tick {
			case 8, 12:
				tell(t, w, CmdHalt)
			case 10, 62:
				tell(t, w, CmdResume)
			case 90:
				tell(t, w, CmdBack)
			}
		}},
	{name: "sidecars-finalized", kind: disruption.KindSidecar, plan: sidecarPlan, phase: Done},
	{name: "configuration-refused", kind: disruption.KindSidecar, plan: configPlan, phase: Backed,
		script: func(t *testing.T, w *world, tick int, s *State) {
			w.badConf["c2"] = true
			if s.Head.Phase == Held && tick >= 60 {
				tell(t, w, CmdBack)
			}
		}},
	{name: "rollback-stranded", kind: disruption.KindServer, plan: serverPlan, phase: Stranded,
		script: func(t *testing.T, w *world, _ int, s *State) {
			if s.Head.Phase == Forward && s.Units[3].Stage == Rest {
				w.broken["1"] = true
				tell(t, w, CmdBack)
			}
		}},
	{name: "drain", kind: disruption.KindServer, phase: Done},
}

// loggedOperation is one line of a golden log.
type loggedOperation struct {
	Rev uint64          `json:"rev"`
	Op  json.RawMessage `json:"op"`
}

// playFixture runs a scenario and returns the log that it wrote, and a snapshot after each change of phase or wave.
func playFixture(t *testing.T, scenario *fixtureScenario) (log, snapshots []byte) {
	t.Helper()
	w := newWorld(t, scenario.kind, 2, 3, 2)
	var logLines, snapshotLines bytes.Buffer
	w.applied = func(rev uint64, op *Op) {
		logLines.Write(jsonLine(t, loggedOperation{Rev: rev, Op: jsonLine(t, op)}))
	}
	if scenario.plan == "" {
		selector := disruption.Selector{IDs: []string{"server/a0", "server/b1"}}
		s, err := NewDrain(DrainPlan("r", selector, 3600), w.now, w.ledger.Units(), w.list())
		if err == nil {
			err = w.apply(&Op{Start: s})
		}
		if err != nil {
			t.Fatal(err)
		}
	} else {
		w.start(scenario.plan)
	}
	previous := ""
	snapshot := func(s *State) {
		if position := fmt.Sprint(s.Head.Phase, s.Head.Wave); position != previous {
			previous = position
			snapshotLines.Write(jsonLine(t, w.table.Save()))
		}
	}
	s, _ := w.run("r", &kill{at: -1}, 1000, func(tick int, s *State) {
		if scenario.script != nil {
			scenario.script(t, w, tick, s)
		}
		snapshot(s)
	})
	snapshot(s)
	if s.Head.Phase != scenario.phase {
		t.Fatalf("release ended %s, want %s", s.Head.Phase, scenario.phase)
	}
	if s.Head.Phase == Done {
		tell(t, w, CmdFinalize)
		snapshotLines.Write(jsonLine(t, w.table.Save()))
	}
	return logLines.Bytes(), snapshotLines.Bytes()
}

// jsonLine is a value as one line of JSON.
func jsonLine(t *testing.T, value any) []byte {
	t.Helper()
	line, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(line, '\n')
}

// checkGolden compares data with a file of testdata byte by byte, or writes the file under -update.
func checkGolden(t *testing.T, name string, data []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateFixtures {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := readGolden(t, name)
	if bytes.Equal(data, want) {
		return
	}
	got, wanted := strings.Split(string(data), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(got), len(wanted)) {
		if got[i] != wanted[i] {
			t.Fatalf("%s:%d:\n got %s\nwant %s", path, i+1, got[i], wanted[i])
		}
	}
	t.Fatalf("%s: got %d lines, want %d", path, len(got), len(wanted))
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// The scripted releases write the stored bytes: the same decisions, in the same order, in the same format.
func TestScriptedReleasesWriteTheStoredBytes(t *testing.T) {
	for i := range fixtureScenarios {
		scenario := &fixtureScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			log, snapshots := playFixture(t, scenario)
			checkGolden(t, scenario.name+".log.jsonl", log)
			checkGolden(t, scenario.name+".snapshots.jsonl", snapshots)
		})
	}
}

// Stored operations are read without an unknown field, and written again as the same bytes. Replayed, they give a table
// whose snapshots are the stored ones. Together the fixtures have every stage and every phase.
func TestStoredLogsAreReplayed(t *testing.T) {
	stages, phases := map[Stage]bool{}, map[Phase]bool{}
	for i := range fixtureScenarios {
		scenario := &fixtureScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			table := NewTable()
			written := map[string]bool{}
			for line := range bytes.Lines(readGolden(t, scenario.name+".log.jsonl")) {
				var logged loggedOperation
				readStrictly(t, line, &logged)
				var op Op
				readStrictly(t, logged.Op, &op)
				if again := bytes.TrimSpace(jsonLine(t, &op)); !bytes.Equal(again, logged.Op) {
					t.Fatalf("read and written again:\n got %s\nwant %s", again, logged.Op)
				}
				if err := table.Apply(logged.Rev, &op); err != nil {
					t.Fatalf("revision %d: %v", logged.Rev, err)
				}
				s, _ := table.Get("r")
				phases[s.Head.Phase] = true
				for _, u := range s.Units {
					stages[u.Stage] = true
				}
				written[string(jsonLine(t, table.Save()))] = true
			}
			for line := range bytes.Lines(readGolden(t, scenario.name+".snapshots.jsonl")) {
				if !written[string(line)] {
					t.Errorf("no prefix of the log gives the stored snapshot %s", line)
				}
			}
		})
	}
	for _, stage := range []Stage{Todo, Ask, Make, Begin, Drain, Stop, Start, Reload, Rise, Cancel, Rest, Lost} {
		if !stages[stage] {
			t.Errorf("no stored log has a unit at stage %q", stage)
		}
	}
	for _, phase := range []Phase{Forward, Held, Back, Done, Backed, Stranded} {
		if !phases[phase] {
			t.Errorf("no stored log has a release in phase %q", phase)
		}
	}
}

// Stored snapshots are read without an unknown field, and written again as the same bytes; the claims that follow from
// them are those of the units that a release may still need.
func TestStoredSnapshotsAreRestored(t *testing.T) {
	for i := range fixtureScenarios {
		scenario := &fixtureScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			for line := range bytes.Lines(readGolden(t, scenario.name+".snapshots.jsonl")) {
				var saved Saved
				readStrictly(t, line, &saved)
				table := Load(&saved)
				if again := jsonLine(t, table.Save()); !bytes.Equal(again, line) {
					t.Fatalf("restored and saved again:\n got %s\nwant %s", again, line)
				}
				s, _ := table.Get("r")
				claims := len(s.Units)
				if s.Head.Phase == Backed || s.Head.Final {
					claims = 0
				}
				if len(table.claims) != claims {
					t.Errorf("%d claims in phase %s, want %d", len(table.claims), s.Head.Phase, claims)
				}
			}
		})
	}
}

// The platform and the ledger remember requests and permits by these names: a successor of another version has to form
// the same ones.
func TestStoredNamesOfRequestsAndPermits(t *testing.T) {
	var names bytes.Buffer
	for i := range fixtureScenarios {
		table := NewTable()
		for line := range bytes.Lines(readGolden(t, fixtureScenarios[i].name+".log.jsonl")) {
			var logged loggedOperation
			readStrictly(t, line, &logged)
			var op Op
			readStrictly(t, logged.Op, &op)
			if err := table.Apply(logged.Rev, &op); err != nil {
				t.Fatal(err)
			}
			if op.Step == nil {
				continue
			}
			s, _ := table.Get("r")
			for _, u := range op.Step.Units {
				fmt.Fprintf(&names, "%s %s %s %s", fixtureScenarios[i].name, u.ID, u.Stage, s.PermitID(&u))
				if u.Call != nil {
					fmt.Fprintf(&names, " %s", s.RequestID(&u))
				}
				fmt.Fprintln(&names)
			}
		}
	}
	fmt.Fprintln(&names, Owner("r"), (&State{Name: "r"}).CohortID())
	checkGolden(t, "names.txt", names.Bytes())
}

// readStrictly decodes JSON and fails on a field that the type does not have.
func readStrictly(t *testing.T, data []byte, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
}
