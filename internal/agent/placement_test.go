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

	"milldeck/internal/duty/table"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// owner holds a window's duty and sets entries under it.
type owner struct {
	*testing.T
	client *registry.Client
	guard  *registry.Guard
}

func own(t *testing.T, r *registry.Replica) *owner {
	t.Helper()
	client, err := registry.NewClient([]string{r.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	d, err := client.Duty(t.Context(), table.Seek, "window/w", registry.DutyCall{Who: "me", TTLMS: 3600_000})
	if err != nil {
		t.Fatal(err)
	}
	return &owner{t, client, &registry.Guard{Duty: d.Name, Token: d.Token}}
}

// set sets an entry that lasts so long from now.
func (o *owner) set(tenant string, length time.Duration) (untilMS int64) {
	o.Helper()
	now := time.Now().UnixMilli()
	e := placement.Directive{ID: "window/w/" + tenant, Kind: placement.KindExclude, Tenant: tenant, Servers: []string{"s1"}, ExpiresAtMS: now + length.Milliseconds()}
	if _, err := o.client.SetPlacement(o.Context(), registry.Write{Guard: o.guard}, now, []placement.Directive{e}); err != nil {
		o.Fatal(err)
	}
	return e.ExpiresAtMS
}

// placed is what an agent answers about the placement.
func placed(t *testing.T, a *Agent) (status int, l placement.Update) {
	t.Helper()
	resp, err := http.Get("http://" + a.Addr() + "/registry/placement")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, l
}

// sidecar follows an agent as a sidecar does, with a reader of its own.
type sidecar struct {
	mu     sync.Mutex
	reader *placement.Cache
	began  time.Time
}

func startSidecar(t *testing.T, addr string) *sidecar {
	t.Helper()
	client, err := registry.NewClient([]string{addr})
	if err != nil {
		t.Fatal(err)
	}
	s := &sidecar{reader: placement.NewCache(), began: time.Now()}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			s.mu.Lock()
			rev, epoch := s.reader.Revision(), s.reader.Epoch()
			s.mu.Unlock()
			client.WatchPlacement(ctx, addr, rev, epoch, func(l *placement.Update, _ time.Duration) error {
				if l == nil {
					return nil
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				_, err := s.reader.Apply(l, time.Now().UnixMilli(), time.Since(s.began).Milliseconds())
				return err
			})
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { stop(); <-done; client.Close() })
	return s
}

// has gives the ids in force, and how long the first of them lasts by the reader's own account, in ms.
func (s *sidecar) has() (ids string, leftMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.reader.Active(time.Now().UnixMilli(), time.Since(s.began).Milliseconds()).Directives {
		if ids == "" {
			leftMS = e.RemainingMS
		}
		ids += e.ID + " "
	}
	return strings.TrimSpace(ids), leftMS
}

// The registry is gone for longer than an entry lasts: the agent and its sidecar end it by themselves. An agent that
// starts again meanwhile serves the saved placement, and for no longer.
func TestEntriesEndWithoutTheRegistry(t *testing.T) {
	b := block(t)
	r := replica(t, b, 0)
	o := own(t, r)
	saved := filepath.Join(t.TempDir(), "placement")
	opts := Options{Listen: b.Addr(201, 0, 8500), Replicas: []string{r.Addr()}, SavedPlacement: saved}
	a := begin(t, opts)
	s := startSidecar(t, a.Addr())
	short, long := o.set("short", 1500*time.Millisecond), o.set("long", time.Minute)
	until(t, "the sidecar has both", func() bool { ids, _ := s.has(); return ids == "window/w/long window/w/short" })
	until(t, "both are saved", func() bool {
		data, err := os.ReadFile(saved)
		return err == nil && bytes.Contains(data, []byte("window/w/long"))
	})
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	until(t, "the sidecar ends the short one", func() bool { ids, _ := s.has(); return ids == "window/w/long" })
	if now := time.Now().UnixMilli(); now < short-200 {
		t.Errorf("it ended %d ms too early", short-now)
	}
	if status, l := placed(t, a); status != http.StatusOK || len(l.Directives) != 1 || l.Directives[0].RemainingMS > long-time.Now().UnixMilli() {
		t.Errorf("the agent answers %d %+v", status, l)
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	again := begin(t, opts)
	status, l := placed(t, again)
	if status != http.StatusOK || len(l.Directives) != 1 || l.Directives[0].ID != "window/w/long" || l.Directives[0].RemainingMS > long-time.Now().UnixMilli() {
		t.Errorf("started again it answers %d %+v", status, l)
	}
	until(t, "the sidecar comes back to it", func() bool { ids, _ := s.has(); return ids == "window/w/long" })
	if err := again.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(saved)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(saved, bytes.Replace(data, []byte("long"), []byte("gone"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, l := placed(t, begin(t, opts)); status != http.StatusServiceUnavailable {
		t.Errorf("of a torn file it answers %d %+v", status, l)
	}
}

// What is left of a saved entry is what was left at saving minus the time passed; where the clock has gone back
// nothing counts, and an entry that had ended does not come back.
func TestSavedPlacementCountsTheTimePassed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "placement")
	wall, mono := int64(1_000_000), int64(5)
	clock := func() (int64, int64) { return wall, mono }
	p := newPlaces(file, clock)
	entry := func(id string, untilMS, leftMS int64) placement.Directive {
		return placement.Directive{ID: id, Kind: placement.KindExclude, Tenant: "t", Servers: []string{"s"}, ExpiresAtMS: untilMS, RemainingMS: leftMS, Revision: 3}
	}
	l := &placement.Update{Revision: 3, Epoch: 7, Complete: true, Directives: []placement.Directive{
		entry("a", wall+60_000, 2000), // its writer's clock is ahead
		entry("b", wall+500, 60_000),  // the registry's is behind
		entry("c", wall+60_000, 60_000),
	}}
	if err := p.take(l); err != nil {
		t.Fatal(err)
	}
	wall, mono = wall+1000, mono+1000
	p.keep()
	ids := func(p *places) string {
		p.mu.Lock()
		defer p.mu.Unlock()
		out := ""
		for _, e := range p.reader.Active(p.clock()).Directives {
			out += e.ID
		}
		return out
	}
	for _, c := range []struct {
		passed int64
		want   string
	}{{0, "ac"}, {999, "ac"}, {1000, "c"}, {58_999, "c"}, {59_000, ""}, {-1, ""}} {
		then := wall
		wall, mono = then+c.passed, 0 // the machine's monotonic clock began anew
		if got := ids(newPlaces(file, clock)); got != c.want {
			t.Errorf("after %d ms there are %q, want %q", c.passed, got, c.want)
		}
		wall = then
	}
	again := newPlaces(file, clock)
	l.Directives = l.Directives[1:2] // told again, by a registry that still believes in it
	if err := again.take(l); err != nil || ids(again) != "" {
		t.Errorf("what had ended is back: %q, %v", ids(again), err)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for k := range data {
		torn := bytes.Clone(data)
		torn[k] ^= 1
		if _, err := unseal(placementMagic, torn); err == nil {
			t.Fatalf("byte %d flipped, and used all the same", k)
		}
	}
}

// An older registry knows no placement: the agent says so, serves the list as before and asks again rarely. Nobody is
// asked before a sidecar asks.
func TestAnOldRegistryKnowsNoPlacement(t *testing.T) {
	b := block(t)
	addr := b.Addr(200, 0, 8500)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	var asked atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(list(5, 9, true, "a", "b"))
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { asked.Add(1); http.NotFound(w, r) })
	srv := &http.Server{Handler: mux}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	a := begin(t, Options{Listen: b.Addr(201, 0, 8500), Replicas: []string{addr}, Fleet: 1})
	until(t, "the list is there", func() bool { return len(told(t, a).Targets) == 2 })
	if n := asked.Load(); n != 0 {
		t.Errorf("it asked %d times for a placement that nobody wants", n)
	}
	for range 5 {
		if status, _ := placed(t, a); status != http.StatusNotFound {
			t.Errorf("it answers %d", status)
		}
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("it asked %d times", n)
	}
	if len(told(t, a).Targets) != 2 {
		t.Error("the list is no more")
	}
}

// The link to a replica is cut while a watch is open, and the agent goes on at the other; changes reach the sidecar.
func TestPlacementOverACutLink(t *testing.T) {
	b := block(t)
	r := replica(t, b, 0)
	o := own(t, r)
	first, other := newCounter(t, b.Addr(202, 0, 8500), r.Addr()), newCounter(t, b.Addr(202, 1, 8500), r.Addr())
	a := begin(t, Options{Listen: b.Addr(201, 0, 8500), Replicas: []string{first.ln.Addr().String(), other.ln.Addr().String()}, Fleet: 1})
	s := startSidecar(t, a.Addr())
	o.set("a", time.Minute)
	until(t, "the entry is there", func() bool { ids, _ := s.has(); return ids == "window/w/a" })
	first.cut()
	o.set("b", time.Minute)
	until(t, "the second is there", func() bool { ids, _ := s.has(); return ids == "window/w/a window/w/b" })
	first.cut()
	other.cut()
	if _, err := o.client.DropPlacement(t.Context(), registry.Write{Guard: o.guard}, "window/w/a"); err != nil {
		t.Fatal(err)
	}
	until(t, "the first is gone", func() bool { ids, _ := s.has(); return ids == "window/w/b" })
	if ids, left := s.has(); left > time.Minute.Milliseconds() {
		t.Errorf("%s has %d ms left", ids, left)
	}
}

// cut ends the connections that there are.
func (c *counter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.conns {
		in.Close()
	}
	c.conns = nil
}

// A report goes to every address that takes it, the newest of each sidecar; nonsense is refused and not kept.
func TestReportsArePassedOn(t *testing.T) {
	b := block(t)
	type taker struct {
		addr   string
		refuse atomic.Bool
		mu     sync.Mutex
		got    []placement.LoadReport
	}
	takers := []*taker{{addr: b.Addr(203, 0, 8500)}, {addr: b.Addr(203, 1, 8500)}}
	takers[1].refuse.Store(true)
	last := func(k int) (rev uint64) {
		takers[k].mu.Lock()
		defer takers[k].mu.Unlock()
		for _, r := range takers[k].got {
			rev = r.PlacementRevision
		}
		return rev
	}
	to := []string{b.Addr(203, 2, 8500)} // nobody is there
	for _, one := range takers {
		to = append(to, one.addr)
		ln, err := net.Listen("tcp", one.addr)
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var in struct{ Reports []placement.LoadReport }
			if err := json.NewDecoder(r.Body).Decode(&in); err != nil || r.URL.Path != "/reports" {
				t.Errorf("%s: %v", r.URL, err)
			}
			if one.refuse.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			one.mu.Lock()
			defer one.mu.Unlock()
			one.got = append(one.got, in.Reports...)
		})}
		go srv.Serve(ln)
		t.Cleanup(func() { srv.Close() })
	}
	a := begin(t, Options{Listen: b.Addr(201, 0, 8500), Replicas: []string{b.Addr(200, 0, 8500)}, Reports: to})
	post := func(body string) int {
		resp, err := http.Post("http://"+a.Addr()+"/registry/report", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	for name, nonsense := range map[string]string{
		"no JSON": "what", "no name": `{"rev":9}`, "two": `{"name":"a","rev":9}{"name":"b","rev":9}`, "too long": `{"name":"` + strings.Repeat("a", placement.MaxReportBytes) + `"}`,
		"a load below 0": `{"name":"a","rev":9,"heat_all":-1}`, "a key that is none": `{"name":"a","rev":9,"heat":[{"key":"x","load":1}]}`,
		"too many keys":     `{"name":"a","rev":9,"heat":[` + strings.Repeat(`{"key":"0123456789abcdef","load":1},`, placement.MaxHotKeys) + `{"key":"0123456789abcdef","load":1}]}`,
		"a count below 0":   `{"name":"a","rev":9,"counts":[{"class":"c","served":-1}]}`,
		"an array of names": `{"name":["a"],"rev":9}`,
	} {
		if status := post(nonsense); status != http.StatusBadRequest {
			t.Errorf("%s: %d", name, status)
		}
	}
	if status := post(`{"name":"a","rev":1,"later":true}`); status != http.StatusNoContent {
		t.Errorf("a report is answered %d", status)
	}
	until(t, "the first is taken", func() bool { return last(0) == 1 })
	for rev := 2; rev < 6; rev++ {
		post(fmt.Sprintf(`{"name":"a","rev":%d}`, rev))
	}
	until(t, "the newest is taken", func() bool { return last(0) == 5 })
	takers[0].mu.Lock()
	if n := len(takers[0].got); n > 3 { // one, what came beside its sending, and the newest
		t.Errorf("%d reports were passed on of 5 within a moment: %+v", n, takers[0].got)
	}
	takers[0].mu.Unlock()
	if n := last(1); n != 0 {
		t.Errorf("who takes none has taken %d", n)
	}
	takers[1].refuse.Store(false)
	until(t, "the other takes them, too", func() bool { post(`{"name":"a","rev":7}`); return last(0) == 7 && last(1) == 7 })
	for k := range mostReporters - 1 {
		post(fmt.Sprintf(`{"name":"more%d","rev":1}`, k))
	}
	if status := post(`{"name":"one too many","rev":1}`); status != http.StatusServiceUnavailable {
		t.Errorf("the sidecar above all is answered %d", status)
	}
}
