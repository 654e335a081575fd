package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"milldeck/internal/goldentest"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// The times of the wall clock (Unix ms) and the monotonic clock (ms) in the fixtures.
const (
	fixtureWallMS      = 1_764_633_600_000
	fixtureMonotonicMS = 5_000
)

func fixtureClock() (wallMS, monotonicMS int64) { return fixtureWallMS, fixtureMonotonicMS }

// fixtureInstanceList returns a list that sets every field of an instance. It has received two epochs, as after a restore of
// the registry, so that the served revision differs from the registry's.
func fixtureInstanceList(t *testing.T) *instanceList {
	t.Helper()
	list := &instanceList{maxLossFraction: defaultMaxLossFraction}
	first := &registry.EndpointList{Revision: 41, Epoch: 7, Complete: true, Targets: []registry.Target{{UID: "s1", Endpoint: "127.0.0.1:9001", State: registry.InstanceReady}}}
	second := &registry.EndpointList{Revision: 12, Epoch: 8, Complete: true, Targets: []registry.Target{
		{UID: "s2", Endpoint: "127.0.0.1:9002", Zone: "zone-b", State: registry.InstanceTerminating, Capacity: 0.25},
		{UID: "s1", Endpoint: "127.0.0.1:9001", Zone: "zone-a", Model: "m1", PodGroup: 3, State: registry.InstanceReady, Capacity: 1.5, BootMS: 1_764_633_500_125.5},
		{UID: "s3 <ä>", Endpoint: "[::1]:9003", State: registry.InstanceReady, Capacity: 1},
	}}
	for _, received := range []*registry.EndpointList{first, second} {
		if result, _ := list.merge(received, true); result != listApplied {
			t.Fatalf("merge of the list of revision %d: result %d", received.Revision, result)
		}
	}
	return list
}

func TestListFileFormat(t *testing.T) {
	want := fixtureInstanceList(t)
	data, err := want.encode()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "list.bin", data)

	read := &instanceList{maxLossFraction: defaultMaxLossFraction}
	if err := read.load(goldentest.Path("list.bin")); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("read %+v, want %+v", read, want)
	}
	again, err := read.encode()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "list.bin", again)
}

func TestListFileChecksum(t *testing.T) {
	golden := goldentest.Read(t, "list.bin")
	goldentest.Compare(t, "list-flipped.bin", bytes.Replace(golden, []byte("9001"), []byte("9009"), 1))
	goldentest.Compare(t, "list-truncated.bin", golden[:len(golden)-10])
	for _, name := range []string{"list-flipped.bin", "list-truncated.bin"} {
		var list instanceList
		if err := list.load(goldentest.Path(name)); !errors.Is(err, errChecksumMismatch) || len(list.targets) != 0 {
			t.Errorf("%s: error %v, %d targets", name, err, len(list.targets))
		}
	}
	var list instanceList
	if err := list.load(goldentest.Path("placement.bin")); err == nil || !strings.Contains(err.Error(), `state file does not begin with "milldeck-agent-list 1"`) {
		t.Errorf("a file with another header: %v", err)
	}
}

// fixturePlacementCache returns a cache with a directive of each kind, and an expired one.
func fixturePlacementCache(t *testing.T) *placementCache {
	t.Helper()
	cache := newPlacementCache("", fixtureClock, slog.Default())
	list := &placement.Update{Revision: 9, Epoch: 8, Complete: true, Directives: []placement.Directive{
		{ID: "window/w/gold", Kind: placement.KindExclude, Tenant: "gold", Servers: []string{"s1", "s2"}, MinAvailable: 0.5,
			ExpiresAtMS: fixtureWallMS + 60_000, RemainingMS: 50_000, Revision: 7},
		{ID: "spread/0123456789abcdef", Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef",
			Copies: []placement.KeyCopy{{ServerUID: "s1", LoadFraction: 0.25}, {ServerUID: "s2"}}, ExpiresAtMS: fixtureWallMS + 20_000, RemainingMS: 30_000, Revision: 8},
		{ID: "cohort/canary", Kind: placement.KindCohort, Cohort: "canary", Servers: []string{"s3"}, ExpiresAtMS: fixtureWallMS + 1000, RemainingMS: 1000, Revision: 9},
		{ID: "cohort/over", Kind: placement.KindCohort, Cohort: "over", Servers: []string{"s3"}, ExpiresAtMS: fixtureWallMS - 1, Revision: 3},
	}}
	if err := cache.merge(list); err != nil {
		t.Fatal(err)
	}
	return cache
}

func TestPlacementFileFormat(t *testing.T) {
	data, err := fixturePlacementCache(t).encode()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "placement.bin", data)

	read := newPlacementCache(goldentest.Path("placement.bin"), fixtureClock, slog.Default())
	if rev, epoch := read.position(); rev != 9 || epoch != 8 || read.cache.Len() != 4 {
		t.Errorf("read revision %d of epoch %d with %d directives", rev, epoch, read.cache.Len())
	}
	again, err := read.encode()
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "placement.bin", again)
}

func TestPlacementFileChecksum(t *testing.T) {
	golden := goldentest.Read(t, "placement.bin")
	goldentest.Compare(t, "placement-flipped.bin", bytes.Replace(golden, []byte("gold"), []byte("gone"), 1))
	cache := newPlacementCache(goldentest.Path("placement-flipped.bin"), fixtureClock, slog.Default())
	if err := cache.load(); !errors.Is(err, errChecksumMismatch) || cache.cache.Synced() {
		t.Errorf("error %v, placement known: %v", err, cache.cache.Synced())
	}
}

// Guards the format of the request with which an agent registers its sidecar.
func TestSidecarCallFormat(t *testing.T) {
	registration := sidecarRegistration{opts: SidecarOptions{Name: "n0", Address: "127.0.0.1:8600", Zone: "zone-a", Tenant: "gold", Version: "1", LeaseTTL: 9 * time.Second}}
	registration.observe(fixtureWallMS, true, &reportedState{version: "2", listRevision: 41, placementRevision: 9})
	call := registry.SidecarRequest{ID: "call-1", TTLMS: registration.opts.LeaseTTL.Milliseconds(), Sidecars: []registry.Sidecar{registration.observed}}
	data, err := json.Marshal(call)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "sidecar-call.json", data)

	var read registry.SidecarRequest
	if err := json.Unmarshal(goldentest.Read(t, "sidecar-call.json"), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, call) {
		t.Errorf("read %+v, want %+v", read, call)
	}
}

func fixtureReport() placement.LoadReport {
	return placement.LoadReport{
		Sidecar: "n0", Zone: "zone-a", Version: "2", PlacementRevision: 9, PlacementEpoch: 8, EndpointRevision: 41, IntervalMS: 1000.25, ExcludedInFlight: map[string]int{"window/w/gold": 3},
		SuspendedDirectives: []string{"spread/0123456789abcdef"}, TotalKeyLoad: 12.5,
		HotKeys: []placement.KeyLoad{{KeyHash: "0123456789abcdef", Load: 10.5, ErrorBound: 0.5}},
		ClassCounts: []placement.ClassCount{
			{Class: "lookup", Zone: "zone-b", Cohort: "canary", Succeeded: 30, Late: 2, Failed: 1, LatencyHistogram: []uint32{1, 0, 29}}, {Class: "batch"},
		},
	}
}

// Guards the format of a report that a sidecar posts, the agent's decoding of it, and the request that forwards it.
func TestReportFormat(t *testing.T) {
	posted, err := json.Marshal(fixtureReport())
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "report.json", posted)

	var forwarded bytes.Buffer
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(&forwarded, "%s %s\nContent-Type: %s\n\n", r.Method, r.URL, r.Header.Get("Content-Type"))
		if _, err := io.Copy(&forwarded, r.Body); err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer collector.Close()
	address := strings.TrimPrefix(collector.URL, "http://")
	forwarder, err := newReportForwarder([]string{address}, slog.Default())
	if err != nil {
		t.Fatal(err)
	}
	defer forwarder.client.CloseIdleConnections()
	agent := httptest.NewServer(http.HandlerFunc(forwarder.serve))
	defer agent.Close()
	response, err := http.Post(agent.URL, "application/json", bytes.NewReader(goldentest.Read(t, "report.json")))
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d, error %v", response.StatusCode, err)
	}
	if got, want := forwarder.latest("n0", time.Now()), (reportedState{version: "2", listRevision: 41, placementRevision: 9}); got == nil || *got != want {
		t.Errorf("the agent read %+v, want %+v", got, want)
	}
	body, _, _ := forwarder.batch(0, time.Now())
	if err := forwarder.post(t.Context(), address, body); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "report-forwarded.txt", forwarded.Bytes())
}

// exchange sends a request and appends it to the transcript with the response: the status, the headers that clients use,
// and the body, or its first line if the response is a watch.
func exchange(t *testing.T, transcript *bytes.Buffer, method, base, path, body string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	fmt.Fprintf(transcript, "%s %s\n", method, path)
	if len(body) < 200 && body != "" {
		fmt.Fprintf(transcript, "%s\n", body)
	}
	fmt.Fprintf(transcript, "< %d\n", response.StatusCode)
	for _, name := range []string{"Allow", "Content-Type", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(transcript, "< %s: %s\n", name, value)
		}
	}
	var text []byte
	if strings.Contains(path, "watch=") && response.StatusCode == http.StatusOK {
		for one := make([]byte, 1); !bytes.HasSuffix(text, []byte("\n")); text = append(text, one...) {
			if _, err := io.ReadFull(response.Body, one); err != nil {
				t.Fatal(err)
			}
		}
	} else if text, err = io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(transcript, "%s\n", text)
}

// Guards the responses of an agent that has loaded a saved list and cannot reach a replica.
func TestAgentAnswers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(path, goldentest.Read(t, "list.bin"), 0o600); err != nil {
		t.Fatal(err)
	}
	agent := startAgent(t, Options{Listen: "127.0.0.1:0", Replicas: []string{"127.0.0.1:1"}, ListFile: path})
	base := "http://" + agent.Addr()
	var transcript bytes.Buffer
	for _, request := range []struct{ method, path, body string }{
		{"GET", "/health/ready", ""},
		{"GET", "/registry/instances", ""},
		{"GET", "/registry/instances?watch=1", ""},
		{"GET", "/registry/instances?watch=1&after=42", ""},
		{"GET", "/registry/instances?watch=1&after=x", ""},
		{"GET", "/registry/instances?watch=1&after=-1", ""},
		{"POST", "/registry/instances", ""},
		{"GET", "/elsewhere", ""},
		{"POST", "/registry/report", `{"name":"n0","rev":9,"list":41,"span_ms":1000,"heat_all":0}`},
		{"POST", "/registry/report", `{"name":""}`},
		{"POST", "/registry/report", `{"name":"n0","span_ms":-1}`},
		{"POST", "/registry/report", "no JSON"},
		{"POST", "/registry/report", `{"name":"` + strings.Repeat("n", placement.MaxReportBytes) + `"}`},
	} {
		exchange(t, &transcript, request.method, base, request.path, request.body)
	}
	for n := range maxReportingSidecars {
		exchange(t, &transcript, "POST", base, "/registry/report", fmt.Sprintf(`{"name":"more-%d"}`, n))
	}
	goldentest.Compare(t, "answers.txt", transcript.Bytes())
}

// Guards the responses of an agent that has no list yet.
func TestAgentAnswersWithoutList(t *testing.T) {
	agent := startAgent(t, Options{Listen: "127.0.0.1:0", Replicas: []string{"127.0.0.1:1"}})
	var transcript bytes.Buffer
	for _, path := range []string{"/health/ready", "/registry/instances", "/registry/instances?watch=1"} {
		exchange(t, &transcript, "GET", "http://"+agent.Addr(), path, "")
	}
	goldentest.Compare(t, "answers-no-list.txt", transcript.Bytes())
}

// Guards the responses to requests for the placement: with a placement, while none is known yet, and with a registry that
// does not support placements.
func TestPlacementAnswers(t *testing.T) {
	known := fixturePlacementCache(t)
	pending, unsupported := newPlacementCache("", fixtureClock, slog.Default()), newPlacementCache("", fixtureClock, slog.Default())
	unsupported.markUnsupported()
	pending.markInitialized() // so that requests do not wait for the registry's first response
	var transcript bytes.Buffer
	for _, c := range []struct {
		name  string
		cache *placementCache
		paths []string
	}{
		{"known", known, []string{"", "?watch=1", "?watch=1&after=9&epoch=8", "?watch=1&after=x", "?epoch=x"}},
		{"pending", pending, []string{"", "?watch=1"}},
		{"unsupported", unsupported, []string{"", "?watch=1"}},
	} {
		agent := &Agent{placement: c.cache, logger: slog.Default()}
		server := httptest.NewServer(http.HandlerFunc(agent.servePlacement))
		t.Cleanup(server.Close)
		fmt.Fprintf(&transcript, "# %s\n", c.name)
		for _, query := range c.paths {
			exchange(t, &transcript, "GET", server.URL, "/registry/placement"+query, "")
		}
	}
	goldentest.Compare(t, "answers-placement.txt", transcript.Bytes())
}

// Guards the names, types and help texts of the agent's metrics.
func TestMetricNames(t *testing.T) {
	agent := startAgent(t, Options{Listen: "127.0.0.1:0", Replicas: []string{"127.0.0.1:1"}})
	response, err := http.Get("http://" + agent.Addr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	lines := slices.DeleteFunc(strings.SplitAfter(string(text), "\n"), func(line string) bool { return !strings.HasPrefix(line, "#") })
	goldentest.Compare(t, "metrics.txt", []byte(strings.Join(lines, "")))
}
