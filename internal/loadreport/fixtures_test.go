package loadreport

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"milldeck/internal/goldentest"
	"milldeck/internal/placement"
)

// fixtureBatch returns a batch as an agent posts it, with a report that has every field and one of an idle sidecar.
func fixtureBatch(t *testing.T) []byte {
	t.Helper()
	return encodeBatch(t, placement.LoadReport{
		Sidecar: "n0", Zone: "zone-a", Version: "2", PlacementRevision: 9, PlacementEpoch: 8, EndpointRevision: 41, IntervalMS: 1000.25,
		ExcludedInFlight: map[string]int{"window/w/gold": 3, "window/w/silver": 0}, SuspendedDirectives: []string{"spread/0123456789abcdef"}, TotalKeyLoad: 1.25e21,
		HotKeys: []placement.KeyLoad{{KeyHash: "0123456789abcdef", Load: 10.5, ErrorBound: 0.5}, {KeyHash: "ffffffffffffffff", Load: 1e-7}},
		ClassCounts: []placement.ClassCount{
			{Class: "lookup", Zone: "zone-b", Cohort: "canary", Succeeded: 30, Late: 2, Failed: 1, LatencyHistogram: []uint32{1, 0, 29}}, {Class: "batch"},
		},
	}, placement.LoadReport{Sidecar: "n1"})
}

func TestBatchFormat(t *testing.T) {
	goldentest.Compare(t, "batch.json", fixtureBatch(t))
	golden := goldentest.Read(t, "batch.json")
	reports, ok := decodeFast(golden)
	if !ok {
		t.Fatal("decodeFast did not accept the batch")
	}
	goldentest.Compare(t, "batch.json", encodeBatch(t, reports...))
	reports, err := decodeBatch(append([]byte(" \n"), bytes.Replace(golden, []byte(`"n1"`), []byte(`"\u006e1"`), 1)...))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "batch.json", encodeBatch(t, reports...))
}

// The responses and the counters of a collector match the golden file.
func TestAnswers(t *testing.T) {
	collector := New(Options{MaxSidecars: 2, Now: func() time.Duration { return time.Hour }})
	var transcript bytes.Buffer
	exchange := func(method, data string) {
		t.Helper()
		request, err := http.NewRequest(method, "/reports", strings.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		recorder := deadlineRecorder{httptest.NewRecorder()}
		collector.ServeHTTP(recorder, request)
		fmt.Fprintf(&transcript, "%s /reports %.100s\n< %d\n", method, data, recorder.Code)
		for _, name := range []string{"Allow", "Content-Type", "Retry-After"} {
			if value := recorder.Header().Get(name); value != "" {
				fmt.Fprintf(&transcript, "< %s: %s\n", name, value)
			}
		}
		fmt.Fprintf(&transcript, "%s\n", recorder.Body)
	}
	exchange("GET", "")
	exchange("POST", `{"reports":[{"name":"n0"}]}`)
	collector.SetAccepting(true)
	exchange("POST", `{"reports":[]}`)
	exchange("POST", `{"reports":[{"name":"n0"}]}`)
	exchange("POST", `{"reports":[{"name":"n1","span_ms":-1},{"name":"n1"},{"name":""}]}`)
	exchange("POST", `{"reports":[{"name":"n2"},{"name":"n0","rev":2}]}`)
	exchange("POST", `no JSON`)
	exchange("POST", strings.Repeat(" ", MaxBodyBytes+1))
	counts, err := json.Marshal(collector.Counts())
	if err != nil {
		t.Fatal(err)
	}
	transcript.Write(append(counts, '\n'))
	goldentest.Compare(t, "answers.txt", transcript.Bytes())
}
