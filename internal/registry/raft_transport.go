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

	// maxResponseAge bounds the time from a request to another replica until its response is read. A replica that
	// answers a heartbeat votes for no other leader during the heartbeat timeout. A response that is read later, for
	// example after this process was paused or a partition healed, does not prove that this replica still leads. Raft
	// would nevertheless accept the response as verification for a read that was requested meanwhile, and a deposed
	// leader would answer with outdated state.
	maxResponseAge = raftHeartbeatTimeout - 50*time.Millisecond
	// maxHeartbeatBytes is the size of the largest request whose response must arrive within maxResponseAge. Heartbeats
	// are far smaller. Batches of log entries and snapshots are larger, and the other replica needs time to store them.
	maxHeartbeatBytes = 1 << 10
)

var errStaleResponse = errors.New("response is too old to prove the leadership")

// streamLayer opens the connections between replicas. It dials from the replica's own address, by which the other
// replica and network fault injection identify this replica.
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

// Addr returns the address that other replicas use.
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

// responseAgeConn is a connection to another replica. Read fails if the response to a small request arrives later than
// maxAge.
type responseAgeConn struct {
	net.Conn
	maxAge time.Duration

	mu        sync.Mutex
	sentAt    time.Time // when the last bytes of the request were sent
	sentBytes int       // bytes sent since the last response
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
