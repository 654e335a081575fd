package leaderelection_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/internal/leaderelection"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/registry/cluster/clustertest"
)

const (
	// testTimeout limits each test. The slowest test takes about a third of this time.
	testTimeout = 90 * time.Second
	// leaseName is the lease for which the candidates of a test campaign, candidateTTL its TTL.
	leaseName    = "d"
	candidateTTL = 800 * time.Millisecond
)

// testCluster is a cluster of three registry replicas, each a process, with a client.
type testCluster struct {
	*testing.T
	ctx     context.Context
	cluster *clustertest.Cluster
	client  *registry.Client
}

// startCluster starts the replicas with extra sections in their configuration.
func startCluster(t *testing.T, sections ...string) *testCluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	replicas := clustertest.Start(ctx, t, 3, cluster.Options{ExtraConfig: strings.Join(sections, "\n")})
	return &testCluster{T: t, ctx: ctx, cluster: replicas, client: replicas.Client}
}

// startCandidate campaigns for leaseName until the test ends. It delivers the lease of each tenure, and the cause with which
// the tenure's work was cancelled. The work only waits to be cancelled. onEvent may be nil.
func (tc *testCluster) startCandidate(client *registry.Client, candidate string, onEvent func(leaderelection.Event)) (acquired <-chan *leaderelection.Lease, stopCauses <-chan error) {
	ctx, cancel := context.WithCancel(tc.ctx)
	leases, causes := make(chan *leaderelection.Lease, 16), make(chan error, 16)
	var background sync.WaitGroup
	work := func(ctx context.Context, lease *leaderelection.Lease) error {
		leases <- lease
		<-ctx.Done()
		causes <- context.Cause(ctx)
		return ctx.Err()
	}
	background.Go(func() {
		// An error is expected: ctx has ended, or the test has killed the registry.
		_ = leaderelection.Run(ctx, client, leaseName, leaderelection.Options{Candidate: candidate, TTL: candidateTTL, OnEvent: onEvent}, work)
	})
	tc.Cleanup(func() { cancel(); background.Wait() })
	return leases, causes
}

// collectEvents returns a callback for startCandidate, and the channel to which it sends the events of one type.
func collectEvents(eventType leaderelection.EventType) (onEvent func(leaderelection.Event), events <-chan leaderelection.Event) {
	collected := make(chan leaderelection.Event, 16)
	onEvent = func(event leaderelection.Event) {
		if event.Type == eventType {
			collected <- event
		}
	}
	return onEvent, collected
}

// receive waits for the next value of a channel.
func receive[T any](tc *testCluster, what string, from <-chan T) T {
	tc.Helper()
	select {
	case value := <-from:
		return value
	case <-tc.ctx.Done():
		tc.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// partitionProxy forwards connections to an address. While it is partitioned it drops all data and closes no connection, so
// that neither side notices the partition.
type partitionProxy struct {
	net.Listener
	mu          sync.Mutex
	partitioned bool
	conns       []net.Conn
}

func newPartitionProxy(t *testing.T, target string) *partitionProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &partitionProxy{Listener: listener}
	t.Cleanup(func() { listener.Close(); p.closeConnections() })
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				downstream.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, downstream, upstream)
			p.mu.Unlock()
			go p.forward(downstream, upstream)
			go p.forward(upstream, downstream)
		}
	}()
	return p
}

func (p *partitionProxy) forward(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		partitioned := p.partitioned
		p.mu.Unlock()
		if partitioned {
			if err != nil {
				return // closeConnections closes the other side
			}
			continue
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				from.Close()
			}
			to.Close()
			return
		}
	}
}

// setPartitioned starts or heals the partition between the two sides.
func (p *partitionProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
}

// closeConnections heals the partition and closes all connections that are open.
func (p *partitionProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = false
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}
