package supervisor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"milldeck/internal/goldentest"
)

// goldenJSON compares a value's JSON with a golden file, and the value decoded from the file with the given one.
func goldenJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	got, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, name, append(got, '\n'))
	var read T
	goldentest.DecodeStrictly(t, goldentest.Read(t, name), &read)
	if !reflect.DeepEqual(read, value) {
		t.Errorf("%s was read as %+v, want %+v", name, read, value)
	}
}

func fixtureRequests() []Request {
	return []Request{
		{ID: "release/3/u1", Op: Start, Epoch: 7, Unit: "u1", Kind: Sidecar, Version: "1.4", Listen: "127.0.0.9:9000", Zone: "north",
			ConfigName: "c7", ConfigText: "{\"name\":\"<u1>\"}\n"},
		{ID: "release/3/u2", Op: Start, Epoch: 7, Unit: "u2", Kind: Server, Version: "2", Listen: "127.0.0.9:9001"},
		{ID: "stop-u3", Op: Stop, Epoch: 7, Unit: "u3", Incarnation: 41, GraceMS: 1500},
		{ID: "restart-u4", Op: Restart, Epoch: 7, Unit: "u4", Incarnation: 42, Kind: Server, Version: "2", Listen: "127.0.0.9:9003", GraceMS: 1},
		{ID: "reload-u5", Op: Reload, Epoch: 7, Unit: "u5", Incarnation: 43, ConfigName: "c8", ConfigText: "text"},
	}
}

func fixtureOutcomes() []Outcome {
	outcomes := []Outcome{
		{ID: "release/3/u1", Unit: "u1", Epoch: 7, Incarnation: 51},
		{ID: "release/3/u2", Unit: "u2", Epoch: 8, Rejected: EpochMismatch, Detail: "this is memory 8, not 7"},
	}
	for _, reason := range []RejectionReason{RequestIDReused, IncarnationMismatch, InvalidState, UnknownVersion, LimitReached} {
		outcomes = append(outcomes, Outcome{ID: "i", Unit: "u", Epoch: 7, Incarnation: 3, Rejected: reason, Detail: "why"})
	}
	return outcomes
}

// Fails if the encoding or decoding of requests, responses or lists as JSON changes. Platforms and clients of other
// versions could not decode them then.
func TestFixtureJSON(t *testing.T) {
	if err := ValidateBatch(fixtureRequests()); err != nil {
		t.Error(err)
	}
	goldenJSON(t, "call.json", Batch{fixtureRequests()})
	goldenJSON(t, "answer.json", BatchResponse{Outcomes: fixtureOutcomes()})
	goldenJSON(t, "answer-error.json", BatchResponse{Error: "body: more than 8388608 bytes"})
	list := List{Epoch: 7, Complete: true, AtMS: 1796173699000}
	for i, state := range []State{Starting, Running, Stopping, Exited} {
		list.Units = append(list.Units, Unit{Name: fmt.Sprint("u", i), Kind: Server, Version: "1", Listen: "127.0.0.9:9000", State: state,
			Incarnation: uint64(40 + i), SinceMS: 1796173695120})
	}
	list.Units[3].Kind, list.Units[3].ConfigName, list.Units[3].Zone = Sidecar, "c7", "north"
	list.Units[3].Restarts, list.Units[3].Exit = 2, "exit status 0"
	if err := list.validate(); err != nil {
		t.Error(err)
	}
	goldenJSON(t, "list.json", list)
	goldenJSON(t, "list-forgotten.json", List{Epoch: 8, AtMS: 1, Units: []Unit{}})
}

// Fails if the digest of a request changes, which platforms remember, or the text of a rejection, which callers log.
func TestFixtureDigestsAndErrors(t *testing.T) {
	var out bytes.Buffer
	for _, r := range fixtureRequests() {
		fmt.Fprintf(&out, "%s %x\n", r.ID, r.Digest())
	}
	for _, o := range fixtureOutcomes() {
		fmt.Fprintf(&out, "%v\n", o.Err())
	}
	goldentest.Compare(t, "digests.txt", out.Bytes())
}

// fixtureResponse returns a response to fixtureRequests.
func fixtureResponse() BatchResponse {
	var response BatchResponse
	for i, r := range fixtureRequests() {
		response.Outcomes = append(response.Outcomes, Outcome{ID: r.ID, Unit: r.Unit, Epoch: 7, Incarnation: uint64(51 + i)})
	}
	response.Outcomes[3].Rejected, response.Outcomes[3].Detail = IncarnationMismatch, "it is incarnation 54, not 42"
	return response
}

// A client sends the golden batch and decodes the golden responses.
func TestFixtureClient(t *testing.T) {
	goldenJSON(t, "answer-to-call.json", fixtureResponse())
	listJSON, responseJSON := goldentest.Read(t, "list.json"), goldentest.Read(t, "answer-to-call.json")
	var sent []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Error(err)
		}
		sent = append(sent, fmt.Sprintf("%s %s %s %s", req.Method, req.URL.Path, req.Header.Get("Content-Type"), body))
		response := listJSON
		if req.Method == http.MethodPost {
			response = responseJSON
			w.WriteHeader(http.StatusConflict)
		}
		if _, err := w.Write(response); err != nil {
			t.Error(err)
		}
	}))
	defer srv.Close()
	client, err := NewClient(srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	list, err := client.List(t.Context())
	if err != nil || len(list.Units) != 4 || list.Find("u3").Exit != "exit status 0" {
		t.Errorf("%+v, %v", list, err)
	}
	outcomes, err := client.Do(t.Context(), fixtureRequests()...)
	if err != nil || !reflect.DeepEqual(outcomes, fixtureResponse().Outcomes) {
		t.Errorf("%+v, %v", outcomes, err)
	}
	want := []string{
		"GET /supervisor/units  ",
		"POST /supervisor/units application/json " + string(bytes.TrimSpace(goldentest.Read(t, "call.json"))),
	}
	if !reflect.DeepEqual(sent, want) {
		t.Errorf("the client sent %q, want %q", sent, want)
	}
}
