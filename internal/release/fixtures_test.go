package release

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/goldentest"
)

// fixtureScenario is a scripted release whose log and snapshots are compared with golden files byte by byte.
type fixtureScenario struct {
	name      string
	kind      disruption.Kind
	plan      string // TOML; empty: the release is a drain
	wantPhase Phase  // at the end

	// script, if not nil, is called before each tick.
	script func(t *testing.T, model *clusterModel, tick int, state *State)
}

var fixtureScenarios = []fixtureScenario{
	{name: "halt-resume-rollback", kind: disruption.KindServer, plan: serverPlan, wantPhase: PhaseRolledBack,
		script: func(t *testing.T, model *clusterModel, tick int, _ *State) {
			switch tick {
			case 8, 12:
				sendCommand(t, model, ActionHalt)
			case 10, 62:
				sendCommand(t, model, ActionResume)
			case 90:
				sendCommand(t, model, ActionRollback)
			}
		}},
	{name: "sidecars-finalized", kind: disruption.KindSidecar, plan: sidecarPlan, wantPhase: PhaseCompleted},
	{name: "configuration-refused", kind: disruption.KindSidecar, plan: configPlan, wantPhase: PhaseRolledBack,
		script: func(t *testing.T, model *clusterModel, tick int, state *State) {
			model.rejectedConfigs["c2"] = true
			if state.Status.Phase == PhaseHalted && tick >= 60 {
				sendCommand(t, model, ActionRollback)
			}
		}},
	{name: "rollback-stranded", kind: disruption.KindServer, plan: serverPlan, wantPhase: PhaseStranded,
		script: func(t *testing.T, model *clusterModel, _ int, state *State) {
			if state.Status.Phase == PhaseRollout && state.Units[3].Stage == StageConverged {
				model.broken["1"] = true
				sendCommand(t, model, ActionRollback)
			}
		}},
	{name: "drain", kind: disruption.KindServer, wantPhase: PhaseCompleted},
}

// loggedOperation is one line of a golden log.
type loggedOperation struct {
	Revision uint64          `json:"rev"`
	Op       json.RawMessage `json:"op"`
}

// runFixture runs a scenario and returns the log that it writes, with a snapshot after each change of phase or wave.
func runFixture(t *testing.T, scenario *fixtureScenario) (log, snapshots []byte) {
	t.Helper()
	model := newClusterModel(t, scenario.kind, 2, 3, 2)
	var logLines, snapshotLines bytes.Buffer
	model.applied = func(revision uint64, op *Operation) {
		logLines.Write(jsonLine(t, loggedOperation{Revision: revision, Op: jsonLine(t, op)}))
	}
	if scenario.plan == "" {
		model.startDrain("r", "server/a0", "server/b1")
	} else {
		model.startRelease(scenario.plan)
	}
	previous := ""
	snapshot := func(state *State) {
		if position := fmt.Sprint(state.Status.Phase, state.Status.Wave); position != previous {
			previous = position
			snapshotLines.Write(jsonLine(t, model.table.Snapshot()))
		}
	}
	state, _ := model.run(noCrash(), 1000, func(tick int, state *State) {
		if scenario.script != nil {
			scenario.script(t, model, tick, state)
		}
		snapshot(state)
	})
	snapshot(state)
	if state.Status.Phase != scenario.wantPhase {
		t.Fatalf("release ended %s, want %s", state.Status.Phase, scenario.wantPhase)
	}
	if state.Status.Phase == PhaseCompleted {
		sendCommand(t, model, ActionFinalize)
		snapshotLines.Write(jsonLine(t, model.table.Snapshot()))
	}
	return logLines.Bytes(), snapshotLines.Bytes()
}

func jsonLine(t *testing.T, value any) []byte {
	t.Helper()
	line, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(line, '\n')
}

// Guards against changes to the decisions of a release, their order or their stored format: replicas of two builds must
// store the same bytes.
func TestScriptedReleasesWriteTheStoredBytes(t *testing.T) {
	for i := range fixtureScenarios {
		scenario := &fixtureScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			log, snapshots := runFixture(t, scenario)
			goldentest.Compare(t, scenario.name+".log.jsonl", log)
			goldentest.Compare(t, scenario.name+".snapshots.jsonl", snapshots)
		})
	}
}

// Guards against a build that cannot read the log of an earlier build. Stored operations must decode without an unknown
// field and encode to the same bytes, and replaying them must reproduce the stored snapshots. Together the fixtures must
// contain every stage and every phase.
func TestStoredLogsAreReplayed(t *testing.T) {
	stages, phases := map[Stage]bool{}, map[Phase]bool{}
	for i := range fixtureScenarios {
		scenario := &fixtureScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			table := NewTable()
			written := map[string]bool{}
			for line := range bytes.Lines(goldentest.Read(t, scenario.name+".log.jsonl")) {
				var logged loggedOperation
				goldentest.DecodeStrictly(t, line, &logged)
				var op Operation
				goldentest.DecodeStrictly(t, logged.Op, &op)
				if again := bytes.TrimSpace(jsonLine(t, &op)); !bytes.Equal(again, logged.Op) {
					t.Fatalf("decoded and encoded again:\n got %s\nwant %s", again, logged.Op)
				}
				if err := table.Apply(logged.Revision, &op); err != nil {
					t.Fatalf("revision %d: %v", logged.Revision, err)
				}
				s, _ := table.Get("r")
				phases[s.Status.Phase] = true
				for _, u := range s.Units {
					stages[u.Stage] = true
				}
				written[string(jsonLine(t, table.Snapshot()))] = true
			}
			for line := range bytes.Lines(goldentest.Read(t, scenario.name+".snapshots.jsonl")) {
				if !written[string(line)] {
					t.Errorf("no prefix of the log gives the stored snapshot %s", line)
				}
			}
		})
	}
	for _, stage := range []Stage{
		StagePending, StageRequestingPermit, StagePreparing, StageBeginningDisruption, StageDraining, StageStopping,
		StageStarting, StageReloading, StageWarmingUp, StageCancelling, StageConverged, StageFailed,
	} {
		if !stages[stage] {
			t.Errorf("no stored log has a unit at stage %q", stage)
		}
	}
	for _, phase := range []Phase{PhaseRollout, PhaseHalted, PhaseRollback, PhaseCompleted, PhaseRolledBack, PhaseStranded} {
		if !phases[phase] {
			t.Errorf("no stored log has a release in phase %q", phase)
		}
	}
}

// Guards against a build that cannot restore the snapshot of an earlier build. Stored snapshots must decode without an
// unknown field and encode to the same bytes. The restored claims must cover exactly the units that a release may still
// need.
func TestStoredSnapshotsAreRestored(t *testing.T) {
	for i := range fixtureScenarios {
		scenario := &fixtureScenarios[i]
		t.Run(scenario.name, func(t *testing.T) {
			for line := range bytes.Lines(goldentest.Read(t, scenario.name+".snapshots.jsonl")) {
				var saved Snapshot
				goldentest.DecodeStrictly(t, line, &saved)
				table := Restore(&saved)
				if again := jsonLine(t, table.Snapshot()); !bytes.Equal(again, line) {
					t.Fatalf("restored and encoded again:\n got %s\nwant %s", again, line)
				}
				s, _ := table.Get("r")
				claims := len(s.Units)
				if s.Status.Phase == PhaseRolledBack || s.Status.Finalized {
					claims = 0
				}
				if len(table.claims) != claims {
					t.Errorf("%d claims in phase %s, want %d", len(table.claims), s.Status.Phase, claims)
				}
			}
		})
	}
}

// Guards against repeated requests and permits after a takeover by a controller of another build. The platform and the
// ledger recognize repetitions by their IDs, so both builds must derive the same IDs.
func TestStoredNamesOfRequestsAndPermits(t *testing.T) {
	var names bytes.Buffer
	for i := range fixtureScenarios {
		table := NewTable()
		for line := range bytes.Lines(goldentest.Read(t, fixtureScenarios[i].name+".log.jsonl")) {
			var logged loggedOperation
			goldentest.DecodeStrictly(t, line, &logged)
			var op Operation
			goldentest.DecodeStrictly(t, logged.Op, &op)
			if err := table.Apply(logged.Revision, &op); err != nil {
				t.Fatal(err)
			}
			if op.Delta == nil {
				continue
			}
			s, _ := table.Get("r")
			for _, u := range op.Delta.Units {
				fmt.Fprintf(&names, "%s %s %s %s", fixtureScenarios[i].name, u.ID, u.Stage, s.PermitID(&u))
				if u.Request != nil {
					fmt.Fprintf(&names, " %s", s.RequestID(&u))
				}
				fmt.Fprintln(&names)
			}
		}
	}
	fmt.Fprintln(&names, Owner("r"), (&State{Name: "r"}).CohortID())
	goldentest.Compare(t, "names.txt", names.Bytes())
}
