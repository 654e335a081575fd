package hotkey

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"milldeck/internal/goldentest"
	"milldeck/internal/placement"
)

// jsonLines marshals values, one per line.
func jsonLines[T any](t *testing.T, values []T) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, v := range values {
		if err := encoder.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

const (
	fixtureStart    = 1.7e9 // Unix time in s
	fixtureServers  = 12
	fixtureSidecars = 6
	fixtureKey      = uint64(0xabcdef)
)

// fixtureChange is a change of the placement in the format of the golden files.
type fixtureChange struct {
	AtMS     int64                `json:"at_ms"`
	Set      *placement.Directive `json:"put,omitempty"`
	RemoveID string               `json:"drop,omitempty"`
}

func fixtureFleet() []Server {
	var servers []Server
	for i := range fixtureServers {
		servers = append(servers, Server{UID: fmt.Sprint("server-", i), Zone: fmt.Sprint("z", i%3), PodGroup: i / 2, Capacity: 1, Ready: true})
	}
	return servers
}

// runFixture simulates steps of 250 ms, 80 of which are the whole scenario of 20 s: a key is hot for the first 9 s, and one
// server is drained from 5 s on. It returns all changes of the placement, and the planner after the last step.
func runFixture(t *testing.T, steps int) ([]fixtureChange, *Planner) {
	t.Helper()
	planner, err := NewPlanner(DefaultConfig(1000, 50))
	if err != nil {
		t.Fatal(err)
	}
	planner.SetServers(fixtureFleet())
	planner.SetExpectedSidecars(fixtureSidecars)
	var changes []fixtureChange
	revision, drained := uint64(0), ""
	for step := range steps {
		now := fixtureStart + float64(step)/4
		if step%4 == 0 {
			for i := range fixtureSidecars {
				load := 700 + 10*float64(i)
				if step >= 36 {
					load = 5
				}
				report := &placement.LoadReport{Sidecar: fmt.Sprint("sidecar-", i), PlacementRevision: revision, IntervalMS: 1000, TotalKeyLoad: load + 200,
					HotKeys: []placement.KeyLoad{{KeyHash: FormatKey(fixtureKey), Load: load, ErrorBound: 2}, {KeyHash: FormatKey(7), Load: 20 + float64(i), ErrorBound: 1}}}
				if !planner.AddReport(now, report) {
					t.Fatalf("step %d: the planner rejected a report", step)
				}
			}
		}
		if step == 20 {
			drained = changes[len(changes)-1].Set.Copies[0].ServerUID
		}
		if drained != "" && !planner.Drained(drained) {
			planner.StartDrain(drained)
		}
		for _, change := range planner.Plan(now) {
			revision++
			changes = append(changes, fixtureChange{int64(now * 1000), change.Set, change.RemoveID})
			if change.Set != nil {
				planner.Confirm(change.Set.ID, revision)
			} else {
				planner.Confirm(change.RemoveID, revision)
			}
		}
	}
	return changes, planner
}

// The directives that a planner writes into the placement must have the JSON encoding of the golden file.
func TestFixturePlacementChanges(t *testing.T) {
	changes, planner := runFixture(t, 80)
	goldentest.Compare(t, "placement-changes.jsonl", jsonLines(t, changes))
	if len(planner.keys) != 0 || changes[len(changes)-1].RemoveID != DirectiveID(fixtureKey) {
		t.Errorf("%d keys are replicated, want none", len(planner.keys))
	}
}

// The status that a controller returns over HTTP must have the encoding of the golden files, also for a planner that was
// restored from the golden file's directives.
func TestFixtureStatusOverHTTP(t *testing.T) {
	_, planner := runFixture(t, 18)
	goldentest.Compare(t, "table.json", call(t, &Controller{planner: planner}, http.MethodGet, "/spread", http.StatusOK))

	var last fixtureChange
	for line := range bytes.Lines(goldentest.Read(t, "placement-changes.jsonl")) {
		var change fixtureChange
		goldentest.DecodeStrictly(t, line, &change)
		reencoded, err := json.Marshal(change)
		if err != nil || !bytes.Equal(reencoded, bytes.TrimSpace(line)) {
			t.Errorf("re-encoded as %s (error %v), want %s", reencoded, err, line)
		}
		if change.AtMS <= fixtureStart*1000+4250 && change.Set != nil {
			last = change
		}
	}
	last.Set.Revision = 9
	successor := newPlanner(DefaultConfig(1000, 50))
	successor.SetServers(fixtureFleet())
	successor.Restore(fixtureStart+5, []placement.Directive{*last.Set})
	goldentest.Compare(t, "table-resumed.json", call(t, &Controller{planner: successor}, http.MethodGet, "/spread", http.StatusOK))
	var changes []fixtureChange
	for step := range 32 {
		now := fixtureStart + 5 + float64(step)/4
		for _, planned := range successor.Plan(now) {
			changes = append(changes, fixtureChange{int64(now * 1000), planned.Set, planned.RemoveID})
			if planned.Set != nil {
				successor.Confirm(planned.Set.ID, uint64(10+step))
			}
		}
	}
	goldentest.Compare(t, "placement-resumed.jsonl", jsonLines(t, changes))
}

// The HTTP responses other than the status with a hot key must have the encoding of the golden files: the status without
// hot keys, the responses to leave requests, and those of a controller without a planner.
func TestFixtureHTTPAnswers(t *testing.T) {
	_, planner := runFixture(t, 18)
	controller := &Controller{Config: DefaultConfig(1000, 50)}
	if err := controller.restorePlanner(fixtureStart, &snapshot{servers: fixtureFleet()}); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "table-empty.json", call(t, controller, http.MethodGet, "/spread", http.StatusOK))
	goldentest.Compare(t, "leave-ready.json", call(t, controller, http.MethodPost, "/spread/leave?uid=server-1", http.StatusOK))
	goldentest.Compare(t, "leave-unnamed.txt", call(t, controller, http.MethodPost, "/spread/leave", http.StatusBadRequest))
	controller.planner = planner
	goldentest.Compare(t, "leave-waits.json", call(t, controller, http.MethodPost, "/spread/leave?uid="+planner.Status()[0].Placement.Copies[0].ServerUID, http.StatusOK))
	goldentest.Compare(t, "not-held.txt", call(t, &Controller{}, http.MethodGet, "/spread", http.StatusServiceUnavailable))
	goldentest.Compare(t, "not-held.txt", call(t, &Controller{}, http.MethodPost, "/spread/leave?uid=server-1", http.StatusServiceUnavailable))
	call(t, controller, http.MethodPost, "/spread", http.StatusMethodNotAllowed)
}

// call sends a request to a controller's handler, checks status and headers, and returns the response's body.
func call(t *testing.T, controller *Controller, method, target string, status int) []byte {
	t.Helper()
	w := httptest.NewRecorder()
	controller.Handler().ServeHTTP(w, httptest.NewRequest(method, target, nil))
	if w.Code != status {
		t.Errorf("%s %s: status %d, want %d", method, target, w.Code, status)
	}
	retryAfter, contentType := "", "text/plain; charset=utf-8"
	switch status {
	case http.StatusServiceUnavailable:
		retryAfter = "1"
	case http.StatusOK:
		contentType = "application/json"
	}
	if w.Header().Get("Retry-After") != retryAfter || w.Header().Get("Content-Type") != contentType {
		t.Errorf("%s %s: Retry-After or Content-Type is wrong: %v", method, target, w.Header())
	}
	return w.Body.Bytes()
}
