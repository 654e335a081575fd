package disruption

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"milldeck/internal/goldentest"
)

// scriptStep is a line of testdata/script.jsonl: an event in the fleet, or an operation as the log stores it.
type scriptStep struct {
	Event  string          `json:"event"`
	Unit   json.RawMessage `json:"unit,omitempty"`
	ID     string          `json:"id,omitempty"`
	Reason string          `json:"reason,omitempty"`
	Op     json.RawMessage `json:"op,omitempty"`
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// readScript reads the script and checks that each line is encoded as it was read.
func readScript(t *testing.T) []scriptStep {
	t.Helper()
	data := goldentest.Read(t, "script.jsonl")
	var steps []scriptStep
	var rewritten bytes.Buffer
	for line := range bytes.Lines(data) {
		var step scriptStep
		goldentest.DecodeStrictly(t, line, &step)
		if step.Unit != nil {
			var unit Unit
			goldentest.DecodeStrictly(t, step.Unit, &unit)
			step.Unit = encode(t, unit)
		}
		if step.Op != nil {
			var op Op
			goldentest.DecodeStrictly(t, step.Op, &op)
			step.Op = encode(t, op)
		}
		steps = append(steps, step)
		rewritten.Write(encode(t, step))
		rewritten.WriteByte('\n')
	}
	goldentest.Compare(t, "script.jsonl", rewritten.Bytes())
	return steps
}

// applyStep applies a step at a revision and describes the result.
func applyStep(t *testing.T, ledger *Ledger, revision uint64, step scriptStep) string {
	t.Helper()
	var unit Unit
	if step.Unit != nil {
		goldentest.DecodeStrictly(t, step.Unit, &unit)
	}
	switch step.Event {
	case "register":
		ledger.Register(revision, unit)
	case "set":
		ledger.SetUnit(revision, unit)
	case "unknown":
		ledger.MarkUnknown(revision, step.ID)
	case "lost":
		ledger.MarkLost(revision, step.ID)
	case "deregister":
		ledger.Deregister(revision, step.ID)
	case "freeze":
		ledger.Freeze(revision, step.Reason)
	case "unfreeze":
		ledger.Unfreeze(revision)
	case "uncertain":
		ledger.HaltForUncertainty(revision, step.Reason)
	case "apply":
		var op Op
		goldentest.DecodeStrictly(t, step.Op, &op)
		result := ledger.Apply(revision, &op)
		return fmt.Sprintf("%s %s: %s", op.Kind, result.Outcome, result.Reason)
	default:
		t.Fatalf("unknown event %q", step.Event)
	}
	return step.Event
}

// trace returns the result of a step, and the stage and wait reason of each open permit after it.
func trace(ledger *Ledger, revision uint64, result string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d %s\n", revision, result)
	for _, permit := range ledger.OpenPermits() {
		fmt.Fprintf(&out, "    %s %s: %s\n", permit.ID, permit.Stage, permit.WaitReason)
	}
	return out.String()
}

// Guards against a build that reads the log of an earlier build differently. Stored operations are decoded and encoded
// without a change. Applying the script gives the stored outcomes, reasons, snapshots and views. A ledger that is restored
// from the snapshot of any step ends with the same last snapshot.
func TestStoredLedgerIsCompatible(t *testing.T) {
	steps := readScript(t)
	ledger := NewLedger()
	var traces strings.Builder
	var snapshots [][]byte
	for i, step := range steps {
		revision := uint64(i + 1)
		traces.WriteString(trace(ledger, revision, applyStep(t, ledger, revision, step)))
		snapshots = append(snapshots, encode(t, ledger.Snapshot()))
	}
	goldentest.Compare(t, "trace.txt", []byte(traces.String()))
	var stored bytes.Buffer
	for i, data := range snapshots {
		if i%9 == 0 || i == len(snapshots)-1 {
			stored.Write(data)
			stored.WriteByte('\n')
		}
	}
	goldentest.Compare(t, "snapshots.jsonl", stored.Bytes())
	goldentest.Compare(t, "view.json", append(encode(t, ledger.View(true)), '\n'))
	goldentest.Compare(t, "view-unavailable.json", append(encode(t, ledger.View(false)), '\n'))

	for i, data := range snapshots {
		var snapshot Snapshot
		goldentest.DecodeStrictly(t, data, &snapshot)
		restored, err := Restore(snapshot)
		if err != nil {
			t.Fatalf("snapshot %d: %v", i+1, err)
		}
		if reencoded := encode(t, restored.Snapshot()); !bytes.Equal(reencoded, data) {
			t.Fatalf("snapshot %d is encoded as\n%s\nwant\n%s", i+1, reencoded, data)
		}
		for k := i + 1; k < len(steps); k++ {
			applyStep(t, restored, uint64(k+1), steps[k])
		}
		if last := encode(t, restored.Snapshot()); !bytes.Equal(last, snapshots[len(snapshots)-1]) {
			t.Fatalf("the ledger restored at step %d ends as\n%s\nwant\n%s", i+1, last, snapshots[len(snapshots)-1])
		}
	}
}

// The JSON form of a view that clients receive is decoded and encoded without a change.
func TestViewIsCompatible(t *testing.T) {
	for _, name := range []string{"view.json", "view-unavailable.json"} {
		data := goldentest.Read(t, name)
		var view View
		goldentest.DecodeStrictly(t, data, &view)
		if reencoded := append(encode(t, view), '\n'); !bytes.Equal(reencoded, data) {
			t.Errorf("%s is encoded as\n%s\nwant\n%s", name, reencoded, data)
		}
	}
}

// Budgets are decoded from TOML with the keys that operators' files use.
func TestBudgetKeysAreCompatible(t *testing.T) {
	data := goldentest.Read(t, "budgets.toml")
	var file struct {
		Budgets []Budget `toml:"budget"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	for _, budget := range file.Budgets {
		lines.Write(encode(t, budget))
		lines.WriteByte('\n')
	}
	goldentest.Compare(t, "budgets.jsonl", lines.Bytes())
	rewritten, err := toml.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "budgets-written.toml", rewritten)
}

// Constants that are stored or sent keep the values that earlier versions have written.
func TestStoredConstants(t *testing.T) {
	for _, test := range []struct {
		name string
		got  []string
		want string
	}{
		{"kinds", []string{string(KindServer), string(KindSidecar)}, "server sidecar"},
		{"conditions", []string{string(ConditionUp), string(ConditionWarmingUp), string(ConditionUnready), string(ConditionDraining), string(ConditionLost), string(ConditionUnknown)}, "up cold unready draining lost unseen"},
		{"priorities", []string{fmt.Sprint(int(PriorityRollback)), fmt.Sprint(int(PriorityDeadline)), fmt.Sprint(int(PriorityDrain)), fmt.Sprint(int(PriorityRollout))}, "0 1 2 3"},
		{"stages", []string{string(StageRequested), string(StageGranted), string(StageActive), string(StageReturning), string(StageCompleted), string(StageCancelled)}, "asked granted out returning settled cancelled"},
		{"dispositions", []string{string(DispositionReturn), string(DispositionReplace), string(DispositionRetire)}, "back replace retire"},
		{"outcomes", []string{string(OutcomeApplied), string(OutcomeRejected), string(OutcomeNotFound), string(OutcomeLimitReached)}, "done refused not_found too_many"},
		{"operations", []string{string(OpSetBudget), string(OpRequest), string(OpBegin), string(OpReturn), string(OpComplete), string(OpCancel),
			string(OpHalt), string(OpResume), string(OpObserve), string(OpRemoveLost), string(OpForceComplete)},
			"budget ask begin return settle cancel halt resume see forget release"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := strings.Join(test.got, " "); got != test.want {
				t.Errorf("values are %s, want %s", got, test.want)
			}
		})
	}
}

// Validation errors keep the fields and reasons that clients receive.
func TestFieldErrorTexts(t *testing.T) {
	long := strings.Repeat("x", MaxNameLength+1)
	valid := Permit{ID: "p", Owner: "release/r", Units: []string{"server/a"}, Disposition: DispositionReturn}
	permit := func(change func(*Permit)) Op {
		changed := valid
		change(&changed)
		return Op{Kind: OpRequest, Owner: "release/r", Permit: &changed}
	}
	budget := func(b Budget) Op { return Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &b} }
	var lines strings.Builder
	for _, op := range []Op{
		{}, {Kind: OpSetBudget}, {Kind: OpSetBudget, Owner: "release/r", Budget: &Budget{Name: "b"}}, {Kind: OpRequest}, {Kind: OpBegin},
		{Kind: OpBegin, Owner: "release/r", Permit: &Permit{}}, {Kind: OpBegin, Permit: &Permit{ID: "p"}},
		{Kind: OpComplete, Owner: "release/r", Permit: &Permit{ID: "p"}, Units: []string{"a", ""}},
		{Kind: OpForceComplete, Owner: "release/r", Permit: &Permit{ID: "p"}},
		{Kind: OpHalt, Owner: "release/r"}, {Kind: OpHalt, Owner: "release/r", Halt: &Halt{Reason: strings.Repeat("x", MaxTextLength+1)}},
		{Kind: OpObserve}, {Kind: OpObserve, Observed: []Unit{{Condition: ConditionLost}}}, {Kind: OpRemoveLost, Owner: "operator/o"},
		permit(func(p *Permit) { p.ID = long }), permit(func(p *Permit) { p.Owner = "release/x" }),
		permit(func(p *Permit) { p.Purpose = strings.Repeat("x", MaxTextLength+1) }),
		permit(func(p *Permit) { p.Units = []string{"a", "a"} }), permit(func(p *Permit) { p.Priority = 4 }), permit(func(p *Permit) { p.Disposition = "x" }),
		permit(func(p *Permit) { p.WithoutSubstitute = true }), permit(func(p *Permit) { p.Substitutes = map[string]string{"server/a": "server/a"} }),
		permit(func(p *Permit) { p.Substitutes = map[string]string{"a": "x", "b": "y"} }),
		{Kind: OpRequest, Owner: "budget/b", Permit: &Permit{ID: "p", Owner: "budget/b", Units: []string{"server/a"}, Disposition: DispositionReturn}},
		budget(Budget{}), budget(Budget{Name: "b", MaxUnavailable: Limit{Count: intPointer(-1)}}), budget(Budget{Name: "b", MaxWarmingUp: Limit{Fraction: floatPointer(1.5)}}),
		budget(Budget{Name: "b", Selector: Selector{Kind: "x"}}), budget(Budget{Name: "b", Selector: Selector{IDs: []string{long}}}),
	} {
		result := NewLedger().Apply(1, &op)
		fmt.Fprintf(&lines, "%s: %v; %s\n", result.Outcome, op.Validate(), result.Reason)
	}
	goldentest.Compare(t, "field-errors.txt", []byte(lines.String()))
}
