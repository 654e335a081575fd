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

// startReplica runs one in this process.
func startReplica(t *testing.T, block *proc.Block, n int) *registry.Replica {
	t.Helper()
	http, raft := block.Addr(200, n, 8500), block.Addr(200, n, 8501)
	replica, err := registry.Open(registry.Options{HTTPAddr: http, RaftAddr: raft, Members: []registry.Member{{HTTPAddr: http, RaftAddr: raft}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { replica.Close() })
	return replica
}

func takeBlock(t *testing.T) *proc.Block {
	t.Helper()
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	return block
}

func waitFor(t *testing.T, description string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); {
		if time.Now().After(deadline) {
			t.Fatal("not within 30 s: " + description)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func startAgent(t *testing.T, opts Options) *Agent {
	t.Helper()
	a, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return a
}

// servedList is the list that an agent answers with.
func servedList(t *testing.T, agent *Agent) registry.EndpointList {
	t.Helper()
	response, err := http.Get("http://" + agent.Addr() + "/registry/instances")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var list registry.EndpointList
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
			t.Fatal(err)
		}
	}
	return list
}

func readyInstances(n int) []registry.Instance {
	var instances []registry.Instance
	for k := range n {
		instances = append(instances, registry.Instance{Target: registry.Target{UID: fmt.Sprint("s", k), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+k), State: registry.InstanceReady, Capacity: 1}})
	}
	return instances
}

// An agent serves what its replica tells, outlives it, and serves the saved list at its own start while no replica
// is there; a saved list that is torn is not used.
func TestAgentServesWithoutRegistry(t *testing.T) {
	block := takeBlock(t)
	replica := startReplica(t, block, 0)
	client, err := registry.NewClient([]string{replica.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Register(t.Context(), registry.WriteOptions{}, readyInstances(5)...); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "list")
	opts := Options{Listen: block.Addr(201, 0, 8500), Replicas: []string{replica.Addr()}, ListFile: path}
	agent := startAgent(t, opts)
	waitFor(t, "the list is there", func() bool { return len(servedList(t, agent).Targets) == 5 })
	before := servedList(t, agent)
	if err := replica.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the list is saved", func() bool { _, err := os.Stat(path); return err == nil })
	if list := servedList(t, agent); len(list.Targets) != 5 || list.Revision != before.Revision {
		t.Errorf("without the registry it tells %+v", list)
	}
	if err := agent.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := startAgent(t, opts)
	if list := servedList(t, restarted); len(list.Targets) != 5 || list.Revision < before.Revision {
		t.Errorf("at its start without the registry it tells %+v, want all of %+v", list, before)
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
		t.Errorf("of a torn file it tells %+v", list)
	}
}

// startFakeReplica answers as a replica that has a list of its own.
func startFakeReplica(t *testing.T, addr string, list *registry.EndpointList) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(list)
		if r.URL.Query().Get("watch") != "" {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

// A list that would remove most servers is held while the second replica does not agree, and taken when it does.
func TestShrunkenListNeedsConfirmation(t *testing.T) {
	for name, agrees := range map[string]bool{"agrees": true, "disagrees": false} {
		t.Run(name, func(t *testing.T) {
			block := takeBlock(t)
			full := newList(5, 9, true, "a", "b", "c", "d", "e", "f")
			shrunk := newList(7, 9, true, "a")
			second := newList(6, 9, true, "a", "b", "c", "d", "e", "f")
			if agrees {
				second = shrunk
			}
			path := filepath.Join(t.TempDir(), "list")
			cached := instanceList{maxLossFraction: 0.5}
			cached.merge(full, false)
			data, err := cached.encode()
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
			counted := func(name string) bool {
				response, err := http.Get("http://" + agent.Addr() + "/metrics")
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				var text bytes.Buffer
				text.ReadFrom(response.Body)
				return !strings.Contains(text.String(), name+" 0\n")
			}
			if agrees {
				waitFor(t, "the short list is taken", func() bool { return len(servedList(t, agent).Targets) == 1 })
				return
			}
			waitFor(t, "the short list is held", func() bool { return counted("milldeck_agent_held_total") })
			waitFor(t, "the agent has heard the second replica", func() bool { agent.mu.Lock(); defer agent.mu.Unlock(); return agent.list.rev == 6 })
			if served := servedList(t, agent); len(served.Targets) != 6 {
				t.Errorf("unconfirmed, it tells %+v", served)
			}
		})
	}
}

// countingProxy is a door before a replica that counts who comes, in steps of 100 ms.
type countingProxy struct {
	listener    net.Listener
	mu          sync.Mutex
	startedAt   time.Time
	perInterval map[int]int
	conns       []net.Conn
}

func newCountingProxy(t *testing.T, addr, target string) *countingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &countingProxy{listener: listener, startedAt: time.Now(), perInterval: map[int]int{}}
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.perInterval[int(time.Since(p.startedAt)/(100*time.Millisecond))]++
			p.conns = append(p.conns, downstream)
			p.mu.Unlock()
			go func() {
				defer downstream.Close()
				upstream, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				defer upstream.Close()
				go func() {
					buf := make([]byte, 4096)
					for {
						n, err := downstream.Read(buf)
						if err != nil {
							upstream.Close()
							return
						}
						upstream.Write(buf[:n])
					}
				}()
				buf := make([]byte, 4096)
				for {
					n, err := upstream.Read(buf)
					if err != nil {
						return
					}
					if _, err := downstream.Write(buf[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(p.close)
	return p
}

func (p *countingProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
}

func (p *countingProxy) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, count := range p.perInterval {
		sum += count
	}
	return sum
}

// peak is the most that came in a second, over any ten steps.
func (p *countingProxy) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	highest := 0
	for first := range p.perInterval {
		sum := 0
		for k := range 10 {
			sum += p.perInterval[first+k]
		}
		highest = max(highest, sum)
	}
	return highest
}

// 6. 2,000 watchers lose their replica at once: no thundering herd at the next, measured against agents that know
// of no fleet and hardly spread.
func TestNoThunderingHerdAfterReplicaLoss(t *testing.T) {
	const agents = 2000
	peakReconnects := func(fleetSize int) int {
		block := takeBlock(t)
		replica := startReplica(t, block, 0)
		client, err := registry.NewClient([]string{replica.Addr()})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if _, err := client.Register(t.Context(), registry.WriteOptions{}, readyInstances(3)...); err != nil {
			t.Fatal(err)
		}
		first := newCountingProxy(t, block.Addr(202, 0, 8500), replica.Addr())
		second := newCountingProxy(t, block.Addr(202, 1, 8500), replica.Addr())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var started sync.WaitGroup
		var running sync.WaitGroup
		defer running.Wait()
		defer stop()
		for n := range agents {
			started.Add(1)
			running.Go(func() {
				// The following alone, with no listener of its own: thousands run in one process.
				agent := &Agent{
					opts: Options{Replicas: []string{first.listener.Addr().String(), second.listener.Addr().String()}, FleetSize: fleetSize},
					hub:  registry.NewHub(), startedAt: time.Now(), list: instanceList{maxLossFraction: defaultMaxLossFraction}, ctx: ctx, cancel: stop,
				}
				agent.registerMetrics()
				var err error
				if agent.client, err = registry.NewClient(agent.opts.Replicas); err != nil {
					t.Error(err)
					started.Done()
					return
				}
				defer agent.client.Close()
				go func() {
					for !agent.listKnown.Load() && ctx.Err() == nil {
						time.Sleep(10 * time.Millisecond)
					}
					started.Done()
				}()
				agent.followListFrom(0)
			})
			if n%100 == 99 {
				started.Wait() // they come up in order; the herd is at the loss
			}
		}
		started.Wait()
		first.close()
		waitFor(t, "all are at the next replica", func() bool { return second.total() >= agents })
		return second.peak()
	}
	without, with := peakReconnects(1), peakReconnects(agents)
	t.Logf("peak reconnects a second: %d spread by fleet size, %d without", with, without)
	if with > 1400 || with > without*3/4 {
		t.Errorf("%d come within a second, %d without the spread", with, without)
	}
}
