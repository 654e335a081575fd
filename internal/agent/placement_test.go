package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// leaseOwner holds a window's duty and sets entries under it.
type leaseOwner struct {
	*testing.T
	client *registry.Client
	guard  *registry.Guard
}

func newLeaseOwner(t *testing.T, replica *registry.Replica) *leaseOwner {
	t.Helper()
	client, err := registry.NewClient([]string{replica.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	lease, err := client.UpdateLease(t.Context(), leasetable.Campaign, "window/w", registry.LeaseRequest{Candidate: "me", TTLMS: 3600_000})
	if err != nil {
		t.Fatal(err)
	}
	return &leaseOwner{t, client, &registry.Guard{Lease: lease.Name, Token: lease.Token}}
}

// setEntry sets an entry that lasts so long from now.
func (o *leaseOwner) setEntry(tenant string, duration time.Duration) (untilMS int64) {
	o.Helper()
	now := time.Now().UnixMilli()
	entry := placement.Directive{ID: "window/w/" + tenant, Kind: placement.KindExclude, Tenant: tenant, Servers: []string{"s1"}, ExpiresAtMS: now + duration.Milliseconds()}
	if _, err := o.client.SetPlacement(o.Context(), registry.WriteOptions{Guard: o.guard}, now, []placement.Directive{entry}); err != nil {
		o.Fatal(err)
	}
	return entry.ExpiresAtMS
}

// servedPlacement is what an agent answers about the placement.
func servedPlacement(t *testing.T, agent *Agent) (status int, list placement.Update) {
	t.Helper()
	response, err := http.Get("http://" + agent.Addr() + "/registry/placement")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode, list
}

// placementWatcher follows an agent as a sidecar does, with a reader of its own.
type placementWatcher struct {
	mu        sync.Mutex
	reader    *placement.Cache
	startedAt time.Time
}

func startPlacementWatcher(t *testing.T, addr string) *placementWatcher {
	t.Helper()
	client, err := registry.NewClient([]string{addr})
	if err != nil {
		t.Fatal(err)
	}
	watcher := &placementWatcher{reader: placement.NewCache(), startedAt: time.Now()}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			watcher.mu.Lock()
			rev, epoch := watcher.reader.Revision(), watcher.reader.Epoch()
			watcher.mu.Unlock()
			client.WatchPlacement(ctx, addr, rev, epoch, func(list *placement.Update, _ time.Duration) error {
				if list == nil {
					return nil
				}
				watcher.mu.Lock()
				defer watcher.mu.Unlock()
				_, err := watcher.reader.Apply(list, time.Now().UnixMilli(), time.Since(watcher.startedAt).Milliseconds())
				return err
			})
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { stop(); <-done; client.Close() })
	return watcher
}

// activeEntries gives the ids in force, and how long the first of them lasts by the reader's own account, in ms.
func (w *placementWatcher) activeEntries() (ids string, remainingMS int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.reader.Active(time.Now().UnixMilli(), time.Since(w.startedAt).Milliseconds()).Directives {
		if ids == "" {
			remainingMS = entry.RemainingMS
		}
		ids += entry.ID + " "
	}
	return strings.TrimSpace(ids), remainingMS
}

// The registry is gone for longer than an entry lasts: the agent and its sidecar end it by themselves. An agent that
// starts again meanwhile serves the saved placement, and for no longer.
func TestPlacementEntriesExpireWithoutRegistry(t *testing.T) {
	block := takeBlock(t)
	replica := startReplica(t, block, 0)
	owner := newLeaseOwner(t, replica)
	path := filepath.Join(t.TempDir(), "placement")
	opts := Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{replica.Addr()}, PlacementFile: path}
	agent := startAgent(t, opts)
	watcher := startPlacementWatcher(t, agent.Addr())
	shortUntilMS, longUntilMS := owner.setEntry("short", 1500*time.Millisecond), owner.setEntry("long", time.Minute)
	waitFor(t, "the sidecar has both", func() bool { ids, _ := watcher.activeEntries(); return ids == "window/w/long window/w/short" })
	waitFor(t, "both are saved", func() bool {
		data, err := os.ReadFile(path)
		return err == nil && bytes.Contains(data, []byte("window/w/long"))
	})
	if err := replica.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the sidecar ends the short one", func() bool { ids, _ := watcher.activeEntries(); return ids == "window/w/long" })
	if now := time.Now().UnixMilli(); now < shortUntilMS-200 {
		t.Errorf("it ended %d ms too early", shortUntilMS-now)
	}
	if status, list := servedPlacement(t, agent); status != http.StatusOK || len(list.Directives) != 1 || list.Directives[0].RemainingMS > longUntilMS-time.Now().UnixMilli() {
		t.Errorf("the agent answers %d %+v", status, list)
	}
	if err := agent.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := startAgent(t, opts)
	status, list := servedPlacement(t, restarted)
	if status != http.StatusOK || len(list.Directives) != 1 || list.Directives[0].ID != "window/w/long" || list.Directives[0].RemainingMS > longUntilMS-time.Now().UnixMilli() {
		t.Errorf("started again it answers %d %+v", status, list)
	}
	waitFor(t, "the sidecar comes back to it", func() bool { ids, _ := watcher.activeEntries(); return ids == "window/w/long" })
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
		t.Errorf("of a torn file it answers %d %+v", status, list)
	}
}

// What is left of a saved entry is what was left at saving minus the time passed; where the clock has gone back
// nothing counts, and an entry that had ended does not come back.
func TestSavedPlacementAgesWhileStored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "placement")
	wallMS, monoMS := int64(1_000_000), int64(5)
	clock := func() (int64, int64) { return wallMS, monoMS }
	cache := newPlacementCache(path, clock)
	entry := func(id string, untilMS, remainingMS int64) placement.Directive {
		return placement.Directive{ID: id, Kind: placement.KindExclude, Tenant: "t", Servers: []string{"s"}, ExpiresAtMS: untilMS, RemainingMS: remainingMS, Revision: 3}
	}
	list := &placement.Update{Revision: 3, Epoch: 7, Complete: true, Directives: []placement.Directive{
		entry("a", wallMS+60_000, 2000), // its writer's clock is ahead
		entry("b", wallMS+500, 60_000),  // the registry's is behind
		entry("c", wallMS+60_000, 60_000),
	}}
	if err := cache.merge(list); err != nil {
		t.Fatal(err)
	}
	wallMS, monoMS = wallMS+1000, monoMS+1000
	cache.saveIfDirty()
	ids := func(cache *placementCache) string {
		cache.mu.Lock()
		defer cache.mu.Unlock()
		out := ""
		for _, entry := range cache.reader.Active(cache.clock()).Directives {
			out += entry.ID
		}
		return out
	}
	for _, c := range []struct {
		passed int64
		want   string
	}{{0, "ac"}, {999, "ac"}, {1000, "c"}, {58_999, "c"}, {59_000, ""}, {-1, ""}} {
		savedWallMS := wallMS
		wallMS, monoMS = savedWallMS+c.passed, 0 // the machine's monotonic clock began anew
		if got := ids(newPlacementCache(path, clock)); got != c.want {
			t.Errorf("after %d ms there are %q, want %q", c.passed, got, c.want)
		}
		wallMS = savedWallMS
	}
	restarted := newPlacementCache(path, clock)
	list.Directives = list.Directives[1:2] // told again, by a registry that still believes in it
	if err := restarted.merge(list); err != nil || ids(restarted) != "" {
		t.Errorf("what had ended is back: %q, %v", ids(restarted), err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for k := range data {
		corrupted := bytes.Clone(data)
		corrupted[k] ^= 1
		if _, err := decodeChecksummed(placementFileMagic, corrupted); err == nil {
			t.Fatalf("byte %d flipped, and used all the same", k)
		}
	}
}

// An older registry knows no placement: the agent says so, serves the list as before and asks again rarely. Nobody is
// asked before a sidecar asks.
func TestRegistryWithoutPlacementSupport(t *testing.T) {
	block := takeBlock(t)
	addr := block.Addr(200, 0, 8500)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(newList(5, 9, true, "a", "b"))
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { requests.Add(1); http.NotFound(w, r) })
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{addr}, FleetSize: 1})
	waitFor(t, "the list is there", func() bool { return len(servedList(t, agent).Targets) == 2 })
	if n := requests.Load(); n != 0 {
		t.Errorf("it asked %d times for a placement that nobody wants", n)
	}
	for range 5 {
		if status, _ := servedPlacement(t, agent); status != http.StatusNotFound {
			t.Errorf("it answers %d", status)
		}
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("it asked %d times", n)
	}
	if len(servedList(t, agent).Targets) != 2 {
		t.Error("the list is no more")
	}
}

// The link to a replica is cut while a watch is open, and the agent goes on at the other; changes reach the sidecar.
func TestPlacementSurvivesCutConnections(t *testing.T) {
	block := takeBlock(t)
	replica := startReplica(t, block, 0)
	owner := newLeaseOwner(t, replica)
	first, other := newCountingProxy(t, block.Addr(202, 0, 8500), replica.Addr()), newCountingProxy(t, block.Addr(202, 1, 8500), replica.Addr())
	agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{first.listener.Addr().String(), other.listener.Addr().String()}, FleetSize: 1})
	watcher := startPlacementWatcher(t, agent.Addr())
	owner.setEntry("a", time.Minute)
	waitFor(t, "the entry is there", func() bool { ids, _ := watcher.activeEntries(); return ids == "window/w/a" })
	first.closeConnections()
	owner.setEntry("b", time.Minute)
	waitFor(t, "the second is there", func() bool { ids, _ := watcher.activeEntries(); return ids == "window/w/a window/w/b" })
	first.closeConnections()
	other.closeConnections()
	if _, err := owner.client.RemovePlacement(t.Context(), registry.WriteOptions{Guard: owner.guard}, "window/w/a"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the first is gone", func() bool { ids, _ := watcher.activeEntries(); return ids == "window/w/b" })
	if ids, remainingMS := watcher.activeEntries(); remainingMS > time.Minute.Milliseconds() {
		t.Errorf("%s has %d ms left", ids, remainingMS)
	}
}

// closeConnections ends the connections that there are.
func (p *countingProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}

// A report goes to every address that takes it, the newest of each sidecar; nonsense is refused and not kept.
func TestReportsAreForwarded(t *testing.T) {
	block := takeBlock(t)
	type collector struct {
		addr   string
		refuse atomic.Bool
		mu     sync.Mutex
		got    []placement.LoadReport
	}
	collectors := []*collector{{addr: block.Addr(203, 0, 8500)}, {addr: block.Addr(203, 1, 8500)}}
	collectors[1].refuse.Store(true)
	lastRev := func(k int) (rev uint64) {
		collectors[k].mu.Lock()
		defer collectors[k].mu.Unlock()
		for _, r := range collectors[k].got {
			rev = r.PlacementRevision
		}
		return rev
	}
	addresses := []string{block.Addr(203, 2, 8500)} // nobody is there
	for _, target := range collectors {
		addresses = append(addresses, target.addr)
		listener, err := net.Listen("tcp", target.addr)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var in struct{ Reports []placement.LoadReport }
			if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.URL.Path != "/reports" {
				t.Errorf("%s: %v", r.URL, err)
			}
			if target.refuse.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			target.got = append(target.got, in.Reports...)
		})}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
	}
	agent := startAgent(t, Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{block.Addr(200, 0, 8500)}, ReportAddresses: addresses})
	post := func(body string) int {
		response, err := http.Post("http://"+agent.Addr()+"/registry/report", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	for name, malformed := range map[string]string{
		"no JSON": "what", "no name": `{"rev":9}`, "two": `{"name":"a","rev":9}{"name":"b","rev":9}`, "too long": `{"name":"` + strings.Repeat("a", placement.MaxReportBytes) + `"}`,
		"a load below 0": `{"name":"a","rev":9,"heat_all":-1}`, "a key that is none": `{"name":"a","rev":9,"heat":[{"key":"x","load":1}]}`,
		"too many keys":     `{"name":"a","rev":9,"heat":[` + strings.Repeat(`{"key":"0123456789abcdef","load":1},`, placement.MaxHotKeys) + `{"key":"0123456789abcdef","load":1}]}`,
		"a count below 0":   `{"name":"a","rev":9,"counts":[{"class":"c","served":-1}]}`,
		"an array of names": `{"name":["a"],"rev":9}`,
	} {
		if status := post(malformed); status != http.StatusBadRequest {
			t.Errorf("%s: %d", name, status)
		}
	}
	if status := post(`{"name":"a","rev":1,"later":true}`); status != http.StatusNoContent {
		t.Errorf("a report is answered %d", status)
	}
	waitFor(t, "the first is taken", func() bool { return lastRev(0) == 1 })
	for rev := 2; rev < 6; rev++ {
		post(fmt.Sprintf(`{"name":"a","rev":%d}`, rev))
	}
	waitFor(t, "the newest is taken", func() bool { return lastRev(0) == 5 })
	collectors[0].mu.Lock()
	if n := len(collectors[0].got); n > 3 { // one, what came beside its sending, and the newest
		t.Errorf("%d reports were passed on of 5 within a moment: %+v", n, collectors[0].got)
	}
	collectors[0].mu.Unlock()
	if n := lastRev(1); n != 0 {
		t.Errorf("who takes none has taken %d", n)
	}
	collectors[1].refuse.Store(false)
	waitFor(t, "the other takes them, too", func() bool { post(`{"name":"a","rev":7}`); return lastRev(0) == 7 && lastRev(1) == 7 })
	for k := range maxReportingSidecars - 1 {
		post(fmt.Sprintf(`{"name":"more%d","rev":1}`, k))
	}
	if status := post(`{"name":"one too many","rev":1}`); status != http.StatusServiceUnavailable {
		t.Errorf("the sidecar above all is answered %d", status)
	}
}
