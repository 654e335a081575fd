package registry

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxRaftConnections = 3 // idle connections to each replica

	// maxResponseAge is how old the response of another replica may be. A replica that answers a heartbeat elects nobody
	// else for the heartbeat timeout. A response that is read later, as after this process was paused or a partition
	// healed, proves no present leadership; but raft would accept it as verification of a read that was requested
	// meanwhile, and a deposed leader would answer with outdated state.
	maxResponseAge = raftHeartbeatTimeout - 50*time.Millisecond
	// maxHeartbeatBytes is the largest request whose response has to arrive within maxResponseAge. Heartbeats are far
	// smaller. Batches of log entries and snapshots are larger, and the other replica takes its time to store them.
	maxHeartbeatBytes = 1 << 10
)

var errStaleResponse = errors.New("response is too old to prove the leadership")

// streamLayer makes the connections between replicas. It dials from the replica's own address, which identifies the
// replica to the other side and to network fault injection.
type streamLayer struct {
	net.Listener
	localIP   net.IP
	advertise net.Addr
}

// newStreamLayer listens on an address. Advertised is the address that other replicas use.
func newStreamLayer(address, advertised string) (*streamLayer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	advertise, err := net.ResolveTCPAddr("tcp", advertised)
	if err != nil {
		listener.Close()
		return nil, err
	}
	return &streamLayer{listener, listener.Addr().(*net.TCPAddr).IP, advertise}, nil
}

// Addr is the address that other replicas use.
func (l *streamLayer) Addr() net.Addr { return l.advertise }

// Dial connects to another replica.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: min(timeout, dialTimeout), LocalAddr: &net.TCPAddr{IP: l.localIP}}
	conn, err := dialer.Dial("tcp", string(to))
	if err != nil {
		return nil, err
	}
	return &responseAgeConn{Conn: conn, maxAge: maxResponseAge}, nil
}

// responseAgeConn is a connection to another replica that rejects responses to small requests after maxAge.
type responseAgeConn struct {
	net.Conn
	maxAge time.Duration

	mu        sync.Mutex
	sentAt    time.Time // of the last bytes of the request
	sentBytes int       // since the last response
}

func (c *responseAgeConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.sentAt = time.Now()
	c.sentBytes += len(data)
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *responseAgeConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.sentBytes <= maxHeartbeatBytes && time.Since(c.sentAt) > c.maxAge {
		return 0, errStaleResponse
	}
	c.sentBytes = 0
	return n, err
}
