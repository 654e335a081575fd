package agent

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
)

// An agent still serves its list after its replica has stopped, and after its own restart without a reachable replica. It
// does not use a corrupt saved list.
func TestAgentServesWithoutRegistry(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	replica := startReplica(t, block)
	client := newClient(t, replica.Addr())
	if _, err := client.Register(t.Context(), registry.WriteOptions{}, readyInstances(5)...); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "list")
	opts := Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{replica.Addr()}, ListFile: path}
	agent := startAgent(t, opts)
	waitFor(t, "the agent serves the list", func() bool { return len(servedList(t, agent).Targets) == 5 })
	before := servedList(t, agent)
	if err := replica.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the list is saved", func() bool { _, err := os.Stat(path); return err == nil })
	if list := servedList(t, agent); len(list.Targets) != 5 || list.Revision != before.Revision {
		t.Errorf("without the registry, the agent serves %+v", list)
	}
	if err := agent.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := startAgent(t, opts)
	if list := servedList(t, restarted); len(list.Targets) != 5 || list.Revision < before.Revision {
		t.Errorf("restarted without the registry, the agent serves %+v, want all of %+v", list, before)
	}
	if err := restarted.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.Replace(data, []byte("s3"), []byte("s9"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	corrupted := startAgent(t, opts)
	if list := servedList(t, corrupted); len(list.Targets) != 0 {
		t.Errorf("with a corrupt file, the agent serves %+v", list)
	}
}

// A list that removes most instances is applied only if the second replica agrees.
func TestShrunkenListNeedsConfirmation(t *testing.T) {
	for name, agrees := range map[string]bool{"agrees": true, "disagrees": false} {
		t.Run(name, func(t *testing.T) {
			block := proctest.ReserveAddressBlock(t)
			full := newList(5, 9, true, "a", "b", "c", "d", "e", "f")
			shrunk := newList(7, 9, true, "a")
			second := newList(6, 9, true, "a", "b", "c", "d", "e", "f")
			if agrees {
				second = shrunk
			}
			path := filepath.Join(t.TempDir(), "list")
			saved := instanceList{maxLossFraction: 0.5}
			saved.merge(full, false)
			data, err := saved.encode()
			if err == nil {
				err = writeStateFile(path, data)
			}
			if err != nil {
				t.Fatal(err)
			}
			first, other := block.Addr(200, 0, 8500), block.Addr(200, 1, 8500)
			startFakeReplica(t, first, shrunk)
			startFakeReplica(t, other, second)
			agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{first, other}, ListFile: path, FleetSize: 1})
			isNonZero := func(name string) bool {
				response, err := http.Get("http://" + agent.Addr() + "/metrics")
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				var text bytes.Buffer
				if _, err := text.ReadFrom(response.Body); err != nil {
					t.Fatal(err)
				}
				return !strings.Contains(text.String(), name+" 0\n")
			}
			if agrees {
				waitFor(t, "the shrunken list is applied", func() bool { return len(servedList(t, agent).Targets) == 1 })
				return
			}
			waitFor(t, "the shrunken list needs confirmation", func() bool { return isNonZero("milldeck_agent_held_total") })
			waitFor(t, "the agent has the second replica's list", func() bool { agent.mu.Lock(); defer agent.mu.Unlock(); return agent.list.revision == 6 })
			if served := servedList(t, agent); len(served.Targets) != 6 {
				t.Errorf("without confirmation, the agent serves %+v", served)
			}
		})
	}
}

// A replica without an epoch has just started and has no list. The agent ignores the empty lists of such replicas, even if
// two such replicas agree: it keeps its last valid list, and serves no list if it had none.
func TestUnknownListIsNotServed(t *testing.T) {
	for name, savedInstances := range map[string]int{"with a list": 3, "without a list": 0} {
		t.Run(name, func(t *testing.T) {
			block := proctest.ReserveAddressBlock(t)
			path := filepath.Join(t.TempDir(), "list")
			if savedInstances > 0 {
				list := instanceList{maxLossFraction: 0.5}
				list.merge(newList(5, 9, true, "a", "b", "c"), false)
				data, err := list.encode()
				if err == nil {
					err = writeStateFile(path, data)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			replicas := []string{block.Addr(200, 0, 8500), block.Addr(200, 1, 8500)}
			var requests atomic.Int64
			for _, address := range replicas {
				serve := serveStatic(newList(0, 0, true))
				serveHTTP(t, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { requests.Add(1); serve(w, r) }))
			}
			agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: replicas, ListFile: path, FleetSize: 1})
			// By the sixth request both replicas have responded, and the agent would have applied a confirmed list.
			waitFor(t, "both replicas received more than one request", func() bool { return requests.Load() >= 6 })
			if served := servedList(t, agent); len(served.Targets) != savedInstances || agent.listKnown.Load() != (savedInstances > 0) {
				t.Errorf("the agent serves %d instances, list known %v; want %d", len(served.Targets), agent.listKnown.Load(), savedInstances)
			}
		})
	}
}
