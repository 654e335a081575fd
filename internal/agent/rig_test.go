package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
)

// startReplica runs a registry replica in this process.
func startReplica(t *testing.T, block *proc.Block) *registry.Replica {
	t.Helper()
	http, raft := block.Addr(200, 0, 8500), block.Addr(200, 0, 8501)
	replica, err := registry.Open(registry.Options{HTTPAddr: http, RaftAddr: raft, Members: []registry.Member{{HTTPAddr: http, RaftAddr: raft}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = replica.Close() }) // tests that need it to end in good order close it themselves
	return replica
}

// newClient returns a client of a replica, or of an agent that serves like one, until the test ends.
func newClient(t *testing.T, addr string) *registry.Client {
	t.Helper()
	client, err := registry.NewClient([]string{addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// waitFor waits until a condition holds.
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
	t.Cleanup(func() { _ = a.Close() }) // tests that need it to end in good order close it themselves
	return a
}

// servedList is the list that an agent serves; empty if it serves none.
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
		target := registry.Target{UID: fmt.Sprint("s", k), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+k), State: registry.InstanceReady, Capacity: 1}
		instances = append(instances, registry.Instance{Target: target})
	}
	return instances
}

// serveHTTP serves a handler at an address until the test ends or the server is closed.
func serveHTTP(t *testing.T, addr string, handler http.Handler) *http.Server {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })   // it may be closed already
	return server
}

// startFakeReplica serves a list as a registry replica does.
func startFakeReplica(t *testing.T, addr string, list *registry.EndpointList) {
	t.Helper()
	serveHTTP(t, addr, serveStatic(list))
}

// serveStatic serves a list, and watches of it that never change.
func serveStatic(list *registry.EndpointList) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewEncoder(w).Encode(list); err != nil {
			return // the agent is gone
		}
		if r.URL.Query().Get("watch") != "" {
			_ = http.NewResponseController(w).Flush() // it fails only once the agent is gone
			<-r.Context().Done()
		}
	}
}

// countInterval is how finely a countingProxy counts connections, and intervalsPerSecond how many of them a second has.
const (
	countInterval      = 100 * time.Millisecond
	intervalsPerSecond = int(time.Second / countInterval)
)

// countingProxy forwards connections to a replica and counts them over time.
type countingProxy struct {
	listener  net.Listener
	target    string
	startedAt time.Time

	mu          sync.Mutex
	perInterval map[int]int // connections accepted, by the number of their countInterval
	conns       []net.Conn
}

func newCountingProxy(t *testing.T, addr, target string) *countingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &countingProxy{listener: listener, target: target, startedAt: time.Now(), perInterval: map[int]int{}}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

// accept accepts connections until the listener is closed.
func (p *countingProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.perInterval[int(time.Since(p.startedAt)/countInterval)]++
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		go p.forward(conn)
	}
}

// forward copies in both directions until either side is closed.
func (p *countingProxy) forward(downstream net.Conn) {
	defer downstream.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		_, _ = io.Copy(upstream, downstream) // it ends when either side is closed
		upstream.Close()
	}()
	_, _ = io.Copy(downstream, upstream)
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

// peak is the most connections that were accepted within a second.
func (p *countingProxy) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	highest := 0
	for first := range p.perInterval {
		sum := 0
		for k := range intervalsPerSecond {
			sum += p.perInterval[first+k]
		}
		highest = max(highest, sum)
	}
	return highest
}

// closeConnections closes the connections that there are; the listener goes on.
func (p *countingProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}
