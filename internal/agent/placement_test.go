package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// leaseOwner holds the lease of a maintenance window and sets directives under it.
type leaseOwner struct {
	*testing.T
	client *registry.Client
	guard  *registry.Guard
}

func newLeaseOwner(t *testing.T, replica *registry.Replica) *leaseOwner {
	t.Helper()
	client := newClient(t, replica.Addr())
	lease, err := client.UpdateLease(t.Context(), leasetable.Campaign, "window/w", registry.LeaseRequest{Candidate: "me", TTLMS: 3600_000})
	if err != nil {
		t.Fatal(err)
	}
	return &leaseOwner{t, client, &registry.Guard{Lease: lease.Name, Token: lease.Token}}
}

// setDirective sets a directive that expires after a duration, and returns its expiry in Unix ms.
func (o *leaseOwner) setDirective(tenant string, duration time.Duration) (expiresAtMS int64) {
	o.Helper()
	now := time.Now().UnixMilli()
	directive := placement.Directive{ID: "window/w/" + tenant, Kind: placement.KindExclude, Tenant: tenant, Servers: []string{"s1"}, ExpiresAtMS: now + duration.Milliseconds()}
	if _, err := o.client.SetPlacement(o.Context(), registry.WriteOptions{Guard: o.guard}, now, []placement.Directive{directive}); err != nil {
		o.Fatal(err)
	}
	return directive.ExpiresAtMS
}

// servedPlacement requests the placement from an agent.
func servedPlacement(t *testing.T, agent *Agent) (status int, update placement.Update) {
	t.Helper()
	response, err := http.Get("http://" + agent.Addr() + "/registry/placement")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&update); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode, update
}

// placementWatcher watches an agent's placement in the same way as a sidecar, with its own cache.
type placementWatcher struct {
	mu        sync.Mutex
	cache     *placement.Cache
	startedAt time.Time
}

func startPlacementWatcher(t *testing.T, addr string) *placementWatcher {
	t.Helper()
	client := newClient(t, addr)
	watcher := &placementWatcher{cache: placement.NewCache(), startedAt: time.Now()}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			watcher.mu.Lock()
			revision, epoch := watcher.cache.Revision(), watcher.cache.Epoch()
			watcher.mu.Unlock()
			// The error that ended the watch does not matter: the loop starts another watch.
			_ = client.WatchPlacement(ctx, addr, revision, epoch, func(update *placement.Update, _ time.Duration) error {
				if update == nil {
					return nil
				}
				watcher.mu.Lock()
				defer watcher.mu.Unlock()
				_, err := watcher.cache.Apply(update, time.Now().UnixMilli(), time.Since(watcher.startedAt).Milliseconds())
				return err
			})
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { stop(); <-done })
	return watcher
}

// activeDirectives returns the IDs of the active directives, and the remaining time of the first one in ms.
func (w *placementWatcher) activeDirectives() (ids string, remainingMS int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, directive := range w.cache.Active(time.Now().UnixMilli(), time.Since(w.startedAt).Milliseconds()).Directives {
		if ids == "" {
			remainingMS = directive.RemainingMS
		}
		ids += directive.ID + " "
	}
	return strings.TrimSpace(ids), remainingMS
}

// Directives expire at the agent and at the sidecar while the registry is unreachable. A restarted agent serves the saved
// placement without extending the remaining times.
func TestDirectivesExpireWithoutRegistry(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	replica := startReplica(t, block)
	owner := newLeaseOwner(t, replica)
	path := filepath.Join(t.TempDir(), "placement")
	opts := Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{replica.Addr()}, PlacementFile: path}
	agent := startAgent(t, opts)
	watcher := startPlacementWatcher(t, agent.Addr())
	shortUntilMS, longUntilMS := owner.setDirective("short", 1500*time.Millisecond), owner.setDirective("long", time.Minute)
	waitFor(t, "the sidecar has both directives", func() bool { ids, _ := watcher.activeDirectives(); return ids == "window/w/long window/w/short" })
	waitFor(t, "both directives are saved", func() bool {
		data, err := os.ReadFile(path)
		return err == nil && bytes.Contains(data, []byte("window/w/long"))
	})
	if err := replica.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the short directive expires at the sidecar", func() bool { ids, _ := watcher.activeDirectives(); return ids == "window/w/long" })
	if now := time.Now().UnixMilli(); now < shortUntilMS-200 {
		t.Errorf("the short directive expired %d ms too early", shortUntilMS-now)
	}
	if status, list := servedPlacement(t, agent); status != http.StatusOK || len(list.Directives) != 1 || list.Directives[0].RemainingMS > longUntilMS-time.Now().UnixMilli() {
		t.Errorf("the agent serves %d %+v", status, list)
	}
	if err := agent.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := startAgent(t, opts)
	status, list := servedPlacement(t, restarted)
	if status != http.StatusOK || len(list.Directives) != 1 || list.Directives[0].ID != "window/w/long" || list.Directives[0].RemainingMS > longUntilMS-time.Now().UnixMilli() {
		t.Errorf("the restarted agent serves %d %+v", status, list)
	}
	waitFor(t, "the sidecar has reconnected", func() bool { ids, _ := watcher.activeDirectives(); return ids == "window/w/long" })
	if err := restarted.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.Replace(data, []byte("long"), []byte("gone"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, list := servedPlacement(t, startAgent(t, opts)); status != http.StatusServiceUnavailable {
		t.Errorf("with a corrupt file, the agent serves %d %+v", status, list)
	}
}

// The remaining time of a restored directive is its remaining time when it was saved, minus the time since the save. The
// agent does not use the file if the wall clock was set back, and an expired directive does not become active again.
func TestSavedPlacementAgesWhileStored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "placement")
	wallMS, monotonicMS := int64(1_000_000), int64(5)
	clock := func() (int64, int64) { return wallMS, monotonicMS }
	cache := newPlacementCache(path, clock, slog.Default())
	newDirective := func(id string, untilMS, remainingMS int64) placement.Directive {
		return placement.Directive{ID: id, Kind: placement.KindExclude, Tenant: "t", Servers: []string{"s"}, ExpiresAtMS: untilMS, RemainingMS: remainingMS, Revision: 3}
	}
	update := &placement.Update{Revision: 3, Epoch: 7, Complete: true, Directives: []placement.Directive{
		newDirective("a", wallMS+60_000, 2000), // the writer's clock is ahead
		newDirective("b", wallMS+500, 60_000),  // the registry's clock is behind
		newDirective("c", wallMS+60_000, 60_000),
	}}
	if err := cache.merge(update); err != nil {
		t.Fatal(err)
	}
	wallMS, monotonicMS = wallMS+1000, monotonicMS+1000
	if err := cache.state.saveIfDirty(); err != nil {
		t.Fatal(err)
	}
	ids := func(cache *placementCache) string {
		cache.mu.Lock()
		defer cache.mu.Unlock()
		out := ""
		for _, directive := range cache.cache.Active(cache.clock()).Directives {
			out += directive.ID
		}
		return out
	}
	for _, c := range []struct {
		passed int64
		want   string
	}{{0, "ac"}, {999, "ac"}, {1000, "c"}, {58_999, "c"}, {59_000, ""}, {-1, ""}} {
		savedWallMS := wallMS
		wallMS, monotonicMS = savedWallMS+c.passed, 0 // as after a restart of the machine
		if got := ids(newPlacementCache(path, clock, slog.Default())); got != c.want {
			t.Errorf("after %d ms the active directives are %q, want %q", c.passed, got, c.want)
		}
		wallMS = savedWallMS
	}
	restarted := newPlacementCache(path, clock, slog.Default())
	update.Directives = update.Directives[1:2] // sent again by a registry whose clock is behind
	if err := restarted.merge(update); err != nil || ids(restarted) != "" {
		t.Errorf("an expired directive is active again: %q, %v", ids(restarted), err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		corrupted := bytes.Clone(data)
		corrupted[i] ^= 1
		if _, err := decodeChecksummed(placementFileHeader, corrupted); err == nil {
			t.Fatalf("the file was accepted with a flipped bit in byte %d", i)
		}
	}
}

// A registry of an older version does not support placements. The agent responds with status 404 to requests for the
// placement, still serves the list, and retries rarely. It requests the placement only after its sidecar has
// requested it.
func TestRegistryWithoutPlacementSupport(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	addr := block.Addr(200, 0, 8500)
	var requests atomic.Int64
	mux := http.NewServeMux()
	mux.Handle("GET /registry/instances", serveStatic(newList(5, 9, true, "a", "b")))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { requests.Add(1); http.NotFound(w, r) })
	serveHTTP(t, addr, mux)
	agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{addr}, FleetSize: 1})
	waitFor(t, "the agent serves the list", func() bool { return len(servedList(t, agent).Targets) == 2 })
	if n := requests.Load(); n != 0 {
		t.Errorf("the agent sent %d requests for the placement before a sidecar requested it", n)
	}
	for range 5 {
		if status, _ := servedPlacement(t, agent); status != http.StatusNotFound {
			t.Errorf("status %d", status)
		}
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the agent sent %d requests for the placement, want 1", n)
	}
	if len(servedList(t, agent).Targets) != 2 {
		t.Error("the agent no longer serves the list")
	}
}

// Connections to the replicas are closed while watches are open. The agent continues at the other replica, and the changes
// reach the sidecar.
func TestPlacementSurvivesCutConnections(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	replica := startReplica(t, block)
	owner := newLeaseOwner(t, replica)
	first, other := newCountingProxy(t, block.Addr(202, 0, 8500), replica.Addr()), newCountingProxy(t, block.Addr(202, 1, 8500), replica.Addr())
	agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{first.listener.Addr().String(), other.listener.Addr().String()}, FleetSize: 1})
	watcher := startPlacementWatcher(t, agent.Addr())
	owner.setDirective("a", time.Minute)
	waitFor(t, "the first directive is active", func() bool { ids, _ := watcher.activeDirectives(); return ids == "window/w/a" })
	first.closeConnections()
	owner.setDirective("b", time.Minute)
	waitFor(t, "the second directive is active", func() bool { ids, _ := watcher.activeDirectives(); return ids == "window/w/a window/w/b" })
	first.closeConnections()
	other.closeConnections()
	if _, err := owner.client.RemovePlacement(t.Context(), registry.WriteOptions{Guard: owner.guard}, "window/w/a"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the first directive is removed", func() bool { ids, _ := watcher.activeDirectives(); return ids == "window/w/b" })
	if ids, remainingMS := watcher.activeDirectives(); remainingMS > time.Minute.Milliseconds() {
		t.Errorf("%s has %d ms left", ids, remainingMS)
	}
}
