package loadreport

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/placement"
)

// typicalReport returns a report like that of a sidecar under load: 32 keys, three classes in three zones.
func typicalReport(name string, rng *rand.Rand) placement.LoadReport {
	r := placement.LoadReport{
		Sidecar: name, Version: "v7", Zone: "zone-1", PlacementRevision: 1234567, PlacementEpoch: 1 << 52, EndpointRevision: 7654321,
		IntervalMS: 1000.25, ExcludedInFlight: map[string]int{"window/w/tenant": 3}, TotalKeyLoad: 123456.789,
	}
	for range placement.MaxHotKeys {
		r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: fmt.Sprintf("%016x", rng.Uint64()), Load: rng.Float64() * 1e4, ErrorBound: rng.Float64() * 10})
	}
	for _, class := range []string{"interactive", "batch", "effect"} {
		for _, zone := range []string{"zone-1", "zone-2", "zone-3"} {
			count := placement.ClassCount{Class: class, Zone: zone, Succeeded: rng.IntN(1000), Late: rng.IntN(10), Failed: rng.IntN(10)}
			for range len(placement.LatencyBucketBounds) + 1 {
				count.LatencyHistogram = append(count.LatencyHistogram, rng.Uint32N(100))
			}
			r.ClassCounts = append(r.ClassCounts, count)
		}
	}
	return r
}

// encodeBatch returns a batch of reports in the form that an agent posts.
func encodeBatch(t interface{ Fatal(...any) }, reports ...placement.LoadReport) []byte {
	data, err := json.Marshal(map[string]any{"reports": reports})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// deadlineRecorder is a ResponseRecorder that accepts read deadlines, as a connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// postBatch posts a body and returns the status code.
func postBatch(t testing.TB, collector *Collector, data []byte) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "/reports", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	recorder := deadlineRecorder{httptest.NewRecorder()}
	collector.ServeHTTP(recorder, request)
	return recorder.Code
}

// decodeFast decodes each input that it accepts to the same reports as encoding/json, also if the input is a slightly
// modified valid batch. Otherwise a collector would hand wrong loads to the controllers.
func TestFastDecodingMatchesEncodingJSON(t *testing.T) {
	decoded := 0
	check := func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		report := typicalReport(rapid.SampledFrom([]string{"a", "", "ä", `"`, "\n", "<"}).Draw(t, "name"), rng)
		report.TotalKeyLoad = rapid.Float64().Draw(t, "heat all")
		report.PlacementRevision = rapid.Uint64().Draw(t, "rev")
		report.ClassCounts[0].Late = rapid.Int().Draw(t, "late")
		report.HotKeys = report.HotKeys[:rapid.IntRange(0, 3).Draw(t, "heat")]
		report.ClassCounts = report.ClassCounts[:2]
		for i := range report.ClassCounts {
			report.ClassCounts[i].LatencyHistogram = report.ClassCounts[i].LatencyHistogram[:i]
		}
		report.SuspendedDirectives = rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 2).Draw(t, "suspended")
		data := encodeBatch(t, report, placement.LoadReport{Sidecar: "b"})
		if rapid.Bool().Draw(t, "indented") {
			var indented bytes.Buffer
			if err := json.Indent(&indented, data, " ", "\t"); err != nil {
				t.Fatal(err)
			}
			data = indented.Bytes()
		}
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			i := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			inserted := rapid.SampledFrom([]string{"", "0", "-", ".", "e", "1", `"`, ",", "}", "]", " ", "null", "\\", `"name":1,`, "x"}).Draw(t, "put")
			data = append(append(bytes.Clone(data[:i]), inserted...), data[i+rapid.IntRange(0, 1).Draw(t, "over"):]...)
		}
		got, ok := decodeFast(data)
		if !ok {
			return
		}
		decoded++
		var want struct{ Reports []placement.LoadReport }
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("%v: %s", err, data)
		}
		if !reflect.DeepEqual(got, want.Reports) {
			t.Fatalf("%s\nis decoded as\n%+v, want\n%+v", data, got, want.Reports)
		}
	}
	for round := 0; round < 20 && decoded == 0; round++ { // decodeFast accepts few of the modified inputs
		rapid.Check(t, check)
	}
	if decoded == 0 {
		t.Error("decodeFast accepted no input")
	}
	if _, ok := decodeFast(encodeBatch(t, typicalReport("a", rand.New(rand.NewPCG(1, 1))))); !ok {
		t.Error("decodeFast did not accept a typical report")
	}
}

func TestCollectorRetainsNewestReports(t *testing.T) {
	now := time.Duration(0)
	collector := New(Options{MaxSidecars: 3, Retention: 5 * time.Second, Now: func() time.Duration { return now }})
	report := func(name string, rev uint64) placement.LoadReport {
		return placement.LoadReport{Sidecar: name, PlacementRevision: rev}
	}
	if code := postBatch(t, collector, encodeBatch(t, report("a", 1))); code != http.StatusServiceUnavailable {
		t.Errorf("before SetAccepting(true): status %d", code)
	}
	collector.SetAccepting(true)
	retained := func() string {
		reports, at := collector.Snapshot()
		names := ""
		for _, report := range reports {
			names += fmt.Sprintf("%s%d ", report.Sidecar, report.PlacementRevision)
			if at-report.ReceivedAt > 5*time.Second {
				t.Errorf("%s is %v old", report.Sidecar, at-report.ReceivedAt)
			}
		}
		return strings.TrimSpace(names)
	}
	malformed := report("d", 1)
	malformed.HotKeys = []placement.KeyLoad{{KeyHash: "no key"}}
	for _, step := range []struct {
		name string
		at   time.Duration
		data []byte
		code int
		want string
	}{
		{"first reports", 0, encodeBatch(t, report("b", 1), report("a", 1)), http.StatusNoContent, "a1 b1"},
		{"one of three malformed", 2 * time.Second, encodeBatch(t, report("a", 2), malformed, report("c", 1)), http.StatusBadRequest, "a2 b1 c1"},
		{"one sidecar too many", 3 * time.Second, encodeBatch(t, report("d", 1)), http.StatusServiceUnavailable, "a2 b1 c1"},
		{"known sidecar at full capacity", 5 * time.Second, encodeBatch(t, report("a", 3)), http.StatusNoContent, "a3 b1 c1"},
		{"new sidecar after b has expired", 6 * time.Second, encodeBatch(t, report("d", 2)), http.StatusNoContent, "a3 c1 d2"},
		{"not JSON", 6 * time.Second, []byte("what"), http.StatusBadRequest, "a3 c1 d2"},
		{"a body too large", 6 * time.Second, bytes.Repeat([]byte(" "), MaxBodyBytes+1), http.StatusBadRequest, "a3 c1 d2"},
		{"all expired", 20 * time.Second, encodeBatch(t), http.StatusNoContent, ""},
	} {
		now = step.at
		if code := postBatch(t, collector, step.data); code != step.code {
			t.Errorf("%s: status %d, want %d", step.name, code, step.code)
		}
		if got := retained(); got != step.want {
			t.Errorf("%s: the collector retains %q, want %q", step.name, got, step.want)
		}
	}
	if got, want := collector.Counts(), (Counts{Accepted: 6, Rejected: 3, OverCapacity: 1, Expired: 4}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	postBatch(t, collector, encodeBatch(t, report("a", 9)))
	collector.SetAccepting(false)
	if got := retained(); got != "" {
		t.Errorf("after SetAccepting(false) the collector retains %q", got)
	}
}
