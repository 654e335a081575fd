package leaderelection

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"milldeck/internal/goldentest"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

const fixtureBackup = "registry-00000000000000000002.snapshot"

// fixtureState returns the state of a registry with an instance and a holder of BackupLease.
func fixtureState(t *testing.T) *registry.StateMachine {
	t.Helper()
	state := registry.NewStateMachine()
	target := registry.Target{UID: "s1", Endpoint: "127.0.0.1:9001", Zone: "zone-a", Model: "m1", PodGroup: 3, State: registry.InstanceReady, Capacity: 1.5, BootMS: 125.5}
	for n, record := range []registry.Record{
		{Op: registry.OpEpoch, Epoch: 8},
		{Op: registry.OpRegister, ID: "write-1", Instances: []registry.Instance{{Target: target, Version: "v1", TTLMS: 5000}}},
		{Op: registry.OpLease, ID: "write-2", Lease: &leasetable.Operation{Kind: leasetable.Campaign, Name: BackupLease, Candidate: "127.0.0.1:8500/ab", TTLMS: 5000}},
	} {
		if result := state.Apply(uint64(n+1), &record); result.Outcome != registry.OutcomeDone {
			t.Fatalf("record %d: %+v", n+1, result)
		}
	}
	return state
}

// newFixtureRegistry serves fixtureState as a registry replica does, and records the checkpoint requests that it receives.
func newFixtureRegistry(t *testing.T) (client *registry.Client, checkpoint *bytes.Buffer) {
	t.Helper()
	checkpoint = &bytes.Buffer{}
	state := fixtureState(t)
	var snapshot bytes.Buffer
	if err := state.WriteSnapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(state.CompleteList()); err != nil {
			t.Error(err)
		}
	})
	mux.HandleFunc("GET /registry/snapshot", func(w http.ResponseWriter, _ *http.Request) {
		if _, err := w.Write(snapshot.Bytes()); err != nil {
			t.Error(err)
		}
	})
	mux.HandleFunc("POST /duties/{name}/checkpoint", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		var call map[string]json.RawMessage
		if err == nil {
			err = json.Unmarshal(body, &call)
		}
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(checkpoint, "%s %s\n%s\n", r.Method, r.URL, bytes.ReplaceAll(body, call["id"], []byte(`"call-1"`))) // the ID is random
		fmt.Fprintln(w, "{}")
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client, err := registry.NewClient([]string{strings.TrimPrefix(server.URL, "http://")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client, checkpoint
}

// Guards the file name and the bytes of a backup, the request that saves its revision as the lease's checkpoint, and which
// files are pruned.
func TestBackupFormat(t *testing.T) {
	client, checkpoint := newFixtureRegistry(t)
	dir := t.TempDir()
	for _, name := range []string{"registry-00000000000000000000.snapshot", "registry-00000000000000000001.snapshot", "notes"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	lease := &Lease{Name: BackupLease, Holder: "127.0.0.1:8500/ab", Token: 3, client: client, clock: systemClock{}}
	b := &backup{opts: BackupOptions{Dir: dir, RetainCount: 2}, client: client, logger: slog.Default()}
	rev, err := b.saveIfChanged(t.Context(), lease, 0)
	if err != nil || rev != 2 {
		t.Fatalf("saved revision %d: %v", rev, err)
	}
	if rev, err := b.saveIfChanged(t.Context(), lease, rev); err != nil || rev != 2 {
		t.Errorf("without a change, saved revision %d: %v", rev, err)
	}
	var files []string
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		files = append(files, entry.Name())
	}
	if want := []string{"notes", "registry-00000000000000000001.snapshot", fixtureBackup}; !slices.Equal(files, want) {
		t.Fatalf("files %q, want %q", files, want)
	}
	data, err := os.ReadFile(filepath.Join(dir, fixtureBackup))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, fixtureBackup, data)
	goldentest.Compare(t, "backup-checkpoint.txt", checkpoint.Bytes())
}

func TestBackupIsRead(t *testing.T) {
	golden := goldentest.Read(t, fixtureBackup)
	state, err := registry.ReadSnapshot(bytes.NewReader(golden))
	if err != nil {
		t.Fatal(err)
	}
	if lease, known := state.Leases().Get(BackupLease); !known || lease.Token != 3 || state.Revision() != 2 || state.Len() != 1 {
		t.Errorf("revision %d, %d instances, lease %+v", state.Revision(), state.Len(), lease)
	}
	var rewritten bytes.Buffer
	if err := state.WriteSnapshot(&rewritten); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, fixtureBackup, rewritten.Bytes())
	if _, err := registry.ReadSnapshot(bytes.NewReader(bytes.Replace(golden, []byte("9001"), []byte("9009"), 1))); err == nil {
		t.Error("ReadSnapshot accepted a backup with a changed byte")
	}
}

// Guards the format of events that `milldeck duty hold` prints.
func TestEventFormat(t *testing.T) {
	at := time.Date(2026, 12, 2, 3, 4, 5, 678_000_000, time.UTC)
	events := []Event{
		{Type: "waiting", Lease: "d", Candidate: "one", At: at, QueuePosition: 2},
		{Type: "acquired", Lease: "d", Candidate: "one", Token: 57, At: at, ValidUntil: at.Add(4500 * time.Millisecond)},
		{Type: "released", Lease: "d", Candidate: "one", Token: 57, At: at.Add(time.Second)},
	}
	var lines, reencoded bytes.Buffer
	for _, event := range events {
		if err := json.NewEncoder(&lines).Encode(event); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "events.jsonl", lines.Bytes())
	for in := json.NewDecoder(bytes.NewReader(goldentest.Read(t, "events.jsonl"))); in.More(); {
		var event Event
		if err := in.Decode(&event); err != nil {
			t.Fatal(err)
		}
		if err := json.NewEncoder(&reencoded).Encode(event); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "events.jsonl", reencoded.Bytes())
}
