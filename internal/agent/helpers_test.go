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
func startReplica(t *testing.T, block *proc.AddressBlock) *registry.Replica {
	t.Helper()
	http, raft := block.Addr(200, 0, 8500), block.Addr(200, 0, 8501)
	replica, err := registry.Open(registry.Options{HTTPAddr: http, RaftAddr: raft, Members: []registry.Member{{HTTPAddr: http, RaftAddr: raft}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = replica.Close() }) // tests that need a graceful shutdown call Close themselves
	return replica
}

// newClient returns a client of a replica, or of an agent, which serves the same interface. The client is closed at the
// test's end.
func newClient(t *testing.T, addr string) *registry.Client {
	t.Helper()
	client, err := registry.NewClient([]string{addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// waitFor polls a condition until it holds, and fails the test after 30 s.
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
	t.Cleanup(func() { _ = a.Close() }) // tests that need a graceful shutdown call Close themselves
	return a
}

// servedList returns the list that an agent serves; empty if it serves none.
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
	go func() { _ = server.Serve(listener) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })   // the test may have closed the server already
	return server
}

// startFakeReplica serves a static list in the same way as a registry replica.
func startFakeReplica(t *testing.T, addr string, list *registry.EndpointList) {
	t.Helper()
	serveHTTP(t, addr, serveStatic(list))
}

// serveStatic returns a handler that serves a list, and watches of it without changes.
func serveStatic(list *registry.EndpointList) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewEncoder(w).Encode(list); err != nil {
			return // the agent has disconnected
		}
		if r.URL.Query().Get("watch") != "" {
			_ = http.NewResponseController(w).Flush() // fails only after the agent has disconnected
			<-r.Context().Done()
		}
	}
}

// countInterval is the length of the intervals in which a countingProxy counts connections.
const (
	countInterval      = 100 * time.Millisecond
	intervalsPerSecond = int(time.Second / countInterval)
)

// countingProxy forwards connections to a replica and counts them per interval.
type countingProxy struct {
	listener  net.Listener
	target    string
	startedAt time.Time

	mu          sync.Mutex
	perInterval map[int]int // accepted connections by interval number
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

// forward copies bytes in both directions until either side closes its connection.
func (p *countingProxy) forward(downstream net.Conn) {
	defer downstream.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		_, _ = io.Copy(upstream, downstream) // returns when either connection is closed
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

// peak returns the largest number of connections accepted within one second.
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

// closeConnections closes the open connections. The proxy still accepts new ones.
func (p *countingProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}
