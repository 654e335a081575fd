package placement

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"milldeck/internal/goldentest"
)

// storedOperation is a line of testdata/operations.jsonl: an operation as stored in the log, and the lease under which it
// was written.
type storedOperation struct {
	Index uint64          `json:"index"`
	Epoch uint64          `json:"epoch,omitempty"` // if not 0, the record starts this epoch and has no operation
	Lease string          `json:"lease,omitempty"`
	Op    json.RawMessage `json:"op,omitempty"`
}

func encodeLine(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// readOperations reads the stored operations and checks that each is encoded to the same bytes again.
func readOperations(t *testing.T) []storedOperation {
	t.Helper()
	var stored []storedOperation
	var rewritten bytes.Buffer
	for line := range bytes.Lines(goldentest.Read(t, "operations.jsonl")) {
		var operation storedOperation
		goldentest.DecodeStrictly(t, line, &operation)
		if operation.Op != nil {
			var op Op
			goldentest.DecodeStrictly(t, operation.Op, &op)
			operation.Op = bytes.TrimSpace(encodeLine(t, op))
		}
		stored = append(stored, operation)
		rewritten.Write(encodeLine(t, operation))
	}
	goldentest.Compare(t, "operations.jsonl", rewritten.Bytes())
	return stored
}

// applyStored applies a stored operation, and returns a description of the result and the leader's time.
func applyStored(t *testing.T, table *Table, stored storedOperation) (description string, nowMS int64) {
	t.Helper()
	if stored.Epoch != 0 {
		table.StartEpoch(stored.Index, stored.Epoch)
		return fmt.Sprintf("%d epoch %d", stored.Index, stored.Epoch), 0
	}
	var op Op
	goldentest.DecodeStrictly(t, stored.Op, &op)
	result := table.Apply(stored.Index, stored.Lease, &op)
	return fmt.Sprintf("%d %s: %s", stored.Index, result.Outcome, result.Reason), op.LeaderTimeMS
}

// This version reads and writes stored operations, snapshots and watch lines as earlier versions do. A table that is
// restored from any of the snapshots and applies the remaining operations has the same snapshot at the end as the table
// that applied all operations.
func TestStoredPlacementIsCompatible(t *testing.T) {
	operations := readOperations(t)
	table := NewTable()
	table.StartEpoch(1, 7)
	var outcomes, lines, snapshots bytes.Buffer
	var saved [][]byte
	var epochs []uint64
	after, epoch, nowMS := uint64(0), uint64(0), int64(0)
	for _, stored := range operations {
		description, leaderMS := applyStored(t, table, stored)
		nowMS = max(nowMS, leaderMS)
		fmt.Fprintln(&outcomes, description)
		snapshot := encodeLine(t, table.Snapshot())
		saved, epochs = append(saved, snapshot), append(epochs, table.Epoch())
		snapshots.Write(snapshot)
		line := table.ChangesSince(after, epoch, nowMS)
		lines.Write(encodeLine(t, line))
		after, epoch = line.Revision, line.Epoch
	}
	lines.Write(encodeLine(t, table.CompleteUpdate(nowMS)))
	goldentest.Compare(t, "outcomes.txt", outcomes.Bytes())
	goldentest.Compare(t, "snapshots.jsonl", snapshots.Bytes())
	goldentest.Compare(t, "watch.jsonl", lines.Bytes())

	for i, data := range saved {
		var snapshot Snapshot
		goldentest.DecodeStrictly(t, data, &snapshot)
		restored := Restore(&snapshot, epochs[i])
		if reencoded := encodeLine(t, restored.Snapshot()); !bytes.Equal(reencoded, data) {
			t.Fatalf("snapshot %d is encoded as\n%s\nnot\n%s", i+1, reencoded, data)
		}
		for _, stored := range operations[i+1:] {
			applyStored(t, restored, stored)
		}
		if final := encodeLine(t, restored.Snapshot()); !bytes.Equal(final, saved[len(saved)-1]) {
			t.Fatalf("the table restored after operation %d ends as\n%s\nnot\n%s", i+1, final, saved[len(saved)-1])
		}
	}
}

// This version reads the lines of a watch as earlier versions do: after each line, a cache has the same directives in
// force, forwards the same and saves the same, with the same remaining times. The wall clock is 3 ms off, and the
// monotonic clock has another origin.
func TestWatchLinesAreCompatible(t *testing.T) {
	cache := NewCache()
	var rewritten, states bytes.Buffer
	wallMS, monotonicMS := int64(1_000_003), int64(5_000)
	for line := range bytes.Lines(goldentest.Read(t, "watch.jsonl")) {
		var update Update
		goldentest.DecodeStrictly(t, line, &update)
		rewritten.Write(encodeLine(t, update))
		before := cache.Revision()
		changed, err := cache.Apply(&update, wallMS, monotonicMS)
		fmt.Fprintf(&states, "taken %v, error %v, %d entries at revision %d of epoch %d\n", changed, err, cache.Len(), cache.Revision(), cache.Epoch())
		states.Write(encodeLine(t, cache.Active(wallMS, monotonicMS)))
		states.Write(encodeLine(t, cache.ChangesSince(before, cache.Epoch(), wallMS+50, monotonicMS+50)))
		states.Write(encodeLine(t, cache.Snapshot(wallMS+100, monotonicMS+100)))
		wallMS, monotonicMS = wallMS+250, monotonicMS+260
	}
	goldentest.Compare(t, "watch.jsonl", rewritten.Bytes())

	saved := cache.Snapshot(wallMS, monotonicMS)
	restored := NewCache()
	if err := restored.Restore(saved, wallMS, wallMS+400, 70); err != nil {
		t.Fatal(err)
	}
	states.Write(encodeLine(t, restored.Active(wallMS+400, 70)))
	err := NewCache().Restore(saved, wallMS, wallMS-1, 70)
	fmt.Fprintln(&states, err)
	_, err = NewCache().Apply(&Update{Revision: 3, Epoch: 7}, wallMS, monotonicMS)
	fmt.Fprintln(&states, err)
	_, err = NewCache().Apply(&Update{Revision: 3, Epoch: 7, Complete: true, Directives: make([]Directive, MaxDirectives+1)}, wallMS, monotonicMS)
	fmt.Fprintln(&states, err)
	goldentest.Compare(t, "watch-read.txt", states.Bytes())
}

// This version reads and writes load reports as earlier versions do.
func TestReportIsCompatible(t *testing.T) {
	var rewritten bytes.Buffer
	for line := range bytes.Lines(goldentest.Read(t, "reports.jsonl")) {
		var report LoadReport
		goldentest.DecodeStrictly(t, line, &report)
		if err := report.Validate(); err != nil {
			t.Errorf("%s: %v", line, err)
		}
		rewritten.Write(encodeLine(t, report))
	}
	goldentest.Compare(t, "reports.jsonl", rewritten.Bytes())
	goldentest.Compare(t, "latency-bounds.json", encodeLine(t, LatencyBucketBounds))
}

// Validation errors keep their fields and texts, because replicas send them to clients.
func TestFieldErrorTexts(t *testing.T) {
	long := strings.Repeat("x", MaxIDLength+1)
	var lines strings.Builder
	writeDirectiveError := func(change func(*Directive)) {
		changed := exclusion("window/a/t", 10, "s")
		change(&changed)
		fmt.Fprintln(&lines, changed.Validate())
	}
	writeDirectiveError(func(directive *Directive) { directive.ID = long })
	writeDirectiveError(func(directive *Directive) { directive.Tenant = long })
	writeDirectiveError(func(directive *Directive) { directive.Servers = make([]string, MaxServersPerDirective+1) })
	writeDirectiveError(func(directive *Directive) { directive.Copies = make([]KeyCopy, MaxCopiesPerKey+1) })
	writeDirectiveError(func(directive *Directive) { directive.Servers = []string{""} })
	writeDirectiveError(func(directive *Directive) { directive.Copies = []KeyCopy{{"s", 2}} })
	writeDirectiveError(func(directive *Directive) { directive.ID = "what/a" })
	writeDirectiveError(func(directive *Directive) { directive.ID = "window//t" })
	writeDirectiveError(func(directive *Directive) { directive.Kind = KindCohort })
	writeDirectiveError(func(directive *Directive) { directive.ExpiresAtMS = 0 })
	writeDirectiveError(func(directive *Directive) { directive.MinAvailable = math.NaN() })
	writeDirectiveError(func(directive *Directive) { directive.Tenant = "" })
	writeDirectiveError(func(directive *Directive) { directive.ID, directive.Kind = "cohort/r", KindCohort })
	writeDirectiveError(func(directive *Directive) { directive.Servers = nil })
	writeDirectiveError(func(directive *Directive) { directive.ID, directive.Kind = "spread/k", KindSpreadKey })
	writeDirectiveError(func(directive *Directive) {
		directive.ID, directive.Kind, directive.KeyHash = "spread/k", KindSpreadKey, "0123456789abcdef"
	})
	writeDirectiveError(func(directive *Directive) { directive.Servers = []string{"s", "s"} })
	writeDirectiveError(func(directive *Directive) { directive.Copies = []KeyCopy{{"s", 0}, {"s", 1}} })
	valid := exclusion("window/a/t", 10, "s")
	for _, op := range []Op{
		{}, {Set: make([]Directive, MaxSetPerOp+1)}, {Delete: make([]string, MaxDirectives+1)}, {Set: []Directive{valid, valid}},
		{Set: []Directive{valid}, Delete: []string{valid.ID}}, {Delete: []string{""}}, {Set: []Directive{{}}},
	} {
		fmt.Fprintln(&lines, op.Validate())
	}
	writeReportError := func(change func(*LoadReport)) {
		changed := LoadReport{Sidecar: "sidecar"}
		change(&changed)
		fmt.Fprintln(&lines, changed.Validate())
	}
	writeReportError(func(r *LoadReport) { r.Sidecar = "" })
	writeReportError(func(r *LoadReport) { r.Zone = long })
	writeReportError(func(r *LoadReport) { r.Version = long })
	writeReportError(func(r *LoadReport) { r.IntervalMS = -1 })
	writeReportError(func(r *LoadReport) { r.SuspendedDirectives = make([]string, MaxExclusions+1) })
	writeReportError(func(r *LoadReport) { r.HotKeys = make([]KeyLoad, MaxHotKeys+1) })
	writeReportError(func(r *LoadReport) { r.TotalKeyLoad = math.Inf(1) })
	writeReportError(func(r *LoadReport) { r.ClassCounts = make([]ClassCount, MaxClassCounts+1) })
	writeReportError(func(r *LoadReport) { r.ExcludedInFlight = map[string]int{"window/a": -1} })
	writeReportError(func(r *LoadReport) { r.SuspendedDirectives = []string{""} })
	writeReportError(func(r *LoadReport) { r.HotKeys = []KeyLoad{{KeyHash: "x", Load: 1, ErrorBound: 2}} })
	writeReportError(func(r *LoadReport) { r.ClassCounts = []ClassCount{{Class: long}} })
	writeReportError(func(r *LoadReport) { r.ClassCounts = []ClassCount{{Succeeded: 3, Late: -1}} })
	writeReportError(func(r *LoadReport) {
		r.ClassCounts = []ClassCount{{LatencyHistogram: make([]uint32, len(LatencyBucketBounds)+2)}}
	})
	writeReportError(func(r *LoadReport) { r.ClassCounts = []ClassCount{{LatencyHistogram: []uint32{math.MaxUint32, 1}}} })
	goldentest.Compare(t, "field-errors.txt", []byte(lines.String()))
}

// Constants that are stored or sent have the same values as in earlier versions.
func TestStoredConstants(t *testing.T) {
	kinds := []Kind{KindExclude, KindSpreadKey, KindCohort}
	outcomes := []Outcome{OutcomeApplied, OutcomeRejected, OutcomeLimitReached}
	if got, want := fmt.Sprint(kinds, outcomes), "[keep_off spread cohort] [done refused too_many]"; got != want {
		t.Errorf("the constants are %s, want %s", got, want)
	}
}
