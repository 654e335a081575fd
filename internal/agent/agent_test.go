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
	"testing"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
)

// replica runs one in this process.
func replica(t *testing.T, block *proc.Block, n int) *registry.Replica {
	t.Helper()
	http, raft := block.Addr(200, n, 8500), block.Addr(200, n, 8501)
	r, err := registry.Open(registry.Options{HTTP: http, Raft: raft, Members: []registry.Member{{HTTP: http, Raft: raft}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

func block(t *testing.T) *proc.Block {
	t.Helper()
	b, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Release)
	return b
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); {
		if time.Now().After(end) {
			t.Fatal("not within 30 s: " + what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func begin(t *testing.T, o Options) *Agent {
	t.Helper()
	a, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return a
}

// told is the list that an agent answers with.
func told(t *testing.T, a *Agent) registry.List {
	t.Helper()
	resp, err := http.Get("http://" + a.Addr() + "/registry/instances")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l registry.List
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

func targets(n int) []registry.Instance {
	var out []registry.Instance
	for k := range n {
		out = append(out, registry.Instance{Target: registry.Target{UID: fmt.Sprint("s", k), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+k), State: registry.Ready, Capacity: 1}})
	}
	return out
}

// An agent serves what its replica tells, outlives it, and serves the saved list at its own start while no replica
// is there; a saved list that is torn is not used.
func TestAgentOutlivesTheRegistry(t *testing.T) {
	b := block(t)
	r := replica(t, b, 0)
	client, err := registry.NewClient([]string{r.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Register(t.Context(), registry.Write{}, targets(5)...); err != nil {
		t.Fatal(err)
	}
	saved := filepath.Join(t.TempDir(), "list")
	o := Options{Listen: b.Addr(201, 0, 8500), Replicas: []string{r.Addr()}, Saved: saved}
	a := begin(t, o)
	until(t, "the list is there", func() bool { return len(told(t, a).Targets) == 5 })
	before := told(t, a)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	until(t, "the list is saved", func() bool { _, err := os.Stat(saved); return err == nil })
	if l := told(t, a); len(l.Targets) != 5 || l.Rev != before.Rev {
		t.Errorf("without the registry it tells %+v", l)
	}
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	again := begin(t, o)
	if l := told(t, again); len(l.Targets) != 5 || l.Rev < before.Rev {
		t.Errorf("at its start without the registry it tells %+v, want all of %+v", l, before)
	}
	if err := again.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(saved)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(saved, bytes.Replace(data, []byte("s3"), []byte("s9"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	torn := begin(t, o)
	if l := told(t, torn); len(l.Targets) != 0 {
		t.Errorf("of a torn file it tells %+v", l)
	}
}

// standIn answers as a replica that has a list of its own.
func standIn(t *testing.T, addr string, l *registry.List) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(l)
		if r.URL.Query().Get("watch") != "" {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
}

// A list that would remove most servers is held while the second replica does not agree, and taken when it does.
func TestAShrunkenListIsConfirmedFirst(t *testing.T) {
	for name, agrees := range map[string]bool{"agrees": true, "disagrees": false} {
		t.Run(name, func(t *testing.T) {
			b := block(t)
			full := list(5, 9, true, "a", "b", "c", "d", "e", "f")
			shrunk := list(7, 9, true, "a")
			second := list(6, 9, true, "a", "b", "c", "d", "e", "f")
			if agrees {
				second = shrunk
			}
			saved := filepath.Join(t.TempDir(), "list")
			c := core{share: 0.5}
			c.take(full, false)
			data, err := c.encode()
			if err == nil {
				err = save(saved, data)
			}
			if err != nil {
				t.Fatal(err)
			}
			first, other := b.Addr(200, 0, 8500), b.Addr(200, 1, 8500)
			standIn(t, first, shrunk)
			standIn(t, other, second)
			a := begin(t, Options{Listen: b.Addr(201, 0, 8500), Replicas: []string{first, other}, Saved: saved, Fleet: 1})
			metric := func(name string) bool {
				resp, err := http.Get("http://" + a.Addr() + "/metrics")
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Body.Close()
				var text bytes.Buffer
				text.ReadFrom(resp.Body)
				return !strings.Contains(text.String(), name+" 0\n")
			}
			if agrees {
				until(t, "the short list is taken", func() bool { return len(told(t, a).Targets) == 1 })
				return
			}
			until(t, "the short list is held", func() bool { return metric("milldeck_agent_held_total") })
			until(t, "the agent has heard the second replica", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.core.rev == 6 })
			if l := told(t, a); len(l.Targets) != 6 {
				t.Errorf("unconfirmed, it tells %+v", l)
			}
		})
	}
}

// counter is a door before a replica that counts who comes, in steps of 100 ms.
type counter struct {
	ln     net.Listener
	mu     sync.Mutex
	began  time.Time
	perBin map[int]int
	conns  []net.Conn
}

func newCounter(t *testing.T, addr, to string) *counter {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := &counter{ln: ln, began: time.Now(), perBin: map[int]int{}}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.perBin[int(time.Since(c.began)/(100*time.Millisecond))]++
			c.conns = append(c.conns, in)
			c.mu.Unlock()
			go func() {
				defer in.Close()
				out, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer out.Close()
				go func() {
					buf := make([]byte, 4096)
					for {
						n, err := in.Read(buf)
						if err != nil {
							out.Close()
							return
						}
						out.Write(buf[:n])
					}
				}()
				buf := make([]byte, 4096)
				for {
					n, err := out.Read(buf)
					if err != nil {
						return
					}
					if _, err := in.Write(buf[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(c.close)
	return c
}

func (c *counter) close() {
	c.ln.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.conns {
		in.Close()
	}
}

func (c *counter) all() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.perBin {
		n += k
	}
	return n
}

// peak is the most that came in a second, over any ten steps.
func (c *counter) peak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for bin := range c.perBin {
		sum := 0
		for k := range 10 {
			sum += c.perBin[bin+k]
		}
		most = max(most, sum)
	}
	return most
}

// 6. 2,000 watchers lose their replica at once: no thundering herd at the next, measured against agents that know
// of no fleet and hardly spread.
func TestNoHerdAfterALostReplica(t *testing.T) {
	const agents = 2000
	peak := func(fleet int) int {
		b := block(t)
		r := replica(t, b, 0)
		client, err := registry.NewClient([]string{r.Addr()})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if _, err := client.Register(t.Context(), registry.Write{}, targets(3)...); err != nil {
			t.Fatal(err)
		}
		first := newCounter(t, b.Addr(202, 0, 8500), r.Addr())
		next := newCounter(t, b.Addr(202, 1, 8500), r.Addr())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var up sync.WaitGroup
		var all sync.WaitGroup
		defer all.Wait()
		defer stop()
		for n := range agents {
			up.Add(1)
			all.Go(func() {
				// The following alone, with no listener of its own: thousands run in one process.
				a := &Agent{
					opts: Options{Replicas: []string{first.ln.Addr().String(), next.ln.Addr().String()}, Fleet: fleet},
					hub:  registry.NewHub(), began: time.Now(), core: core{share: defaultShare}, ctx: ctx, stop: stop,
				}
				a.measure()
				var err error
				if a.client, err = registry.NewClient(a.opts.Replicas); err != nil {
					t.Error(err)
					up.Done()
					return
				}
				defer a.client.Close()
				go func() {
					for !a.hasList.Load() && ctx.Err() == nil {
						time.Sleep(10 * time.Millisecond)
					}
					up.Done()
				}()
				a.followFrom(0)
			})
			if n%100 == 99 {
				up.Wait() // they come up in order; the herd is at the loss
			}
		}
		up.Wait()
		first.close()
		until(t, "all are at the next replica", func() bool { return next.all() >= agents })
		return next.peak()
	}
	without, with := peak(1), peak(agents)
	t.Logf("peak reconnects a second: %d spread by fleet size, %d without", with, without)
	if with > 1400 || with > without*3/4 {
		t.Errorf("%d come within a second, %d without the spread", with, without)
	}
}
