package cluster

import (
	"net"
	"sync"

	"milldeck/internal/lab/proc"
)

const (
	proxyPort          = 8601
	proxyNetByte       = 210 // third byte of the proxies' addresses
	forwardBufferBytes = 32 << 10
)

// Network runs a proxy in front of each replica's raft address, so that replicas can be partitioned from each other. A
// partition causes no connection errors: open connections stay open and carry no data, and new connections are accepted
// but not forwarded.
type Network struct {
	addresses *proc.AddressBlock

	mu          sync.Mutex
	blocked     map[link]bool
	changed     chan struct{} // closed and replaced when blocked or closed changes
	listeners   []net.Listener
	connections map[net.Conn]struct{}
	closed      bool
	goroutines  sync.WaitGroup
}

// link is one direction between two replicas, by index.
type link struct{ from, to int }

// unknownReplica is the index of a client that is not a replica.
const unknownReplica = -1

// NewNetwork returns a network without partitions. Its proxies listen on addresses of the cluster's block.
func NewNetwork(addresses *proc.AddressBlock) *Network {
	return &Network{
		addresses: addresses, blocked: map[link]bool{}, changed: make(chan struct{}), connections: map[net.Conn]struct{}{},
	}
}

// Advertise starts the proxy of a replica and returns the proxy's address. It is meant for Options.Advertise.
func (n *Network) Advertise(index int, raftAddr string) string {
	address := n.addresses.Addr(proxyNetByte, index, proxyPort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // the addresses are reserved for this process
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	n.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.goroutines.Go(func() { n.proxy(conn, index, raftAddr) })
		}
	})
	return address
}

// Partition blocks or unblocks both directions between one replica and each other replica of a cluster.
func (n *Network) Partition(index, replicas int, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range replicas {
		if other != index {
			n.blocked[link{index, other}], n.blocked[link{other, index}] = blocked, blocked
		}
	}
	n.notifyLocked()
}

// notifyLocked wakes the goroutines that wait in awaitUnblocked. The caller holds the lock.
func (n *Network) notifyLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitUnblocked waits while a link is blocked. It returns false if the network is closed.
func (n *Network) awaitUnblocked(direction link) bool {
	for {
		n.mu.Lock()
		blocked, closed, changed := n.blocked[direction], n.closed, n.changed
		n.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		<-changed
	}
}

// proxy forwards one connection to a replica.
func (n *Network) proxy(incoming net.Conn, to int, raftAddr string) {
	defer incoming.Close()
	from := n.replicaAt(incoming.RemoteAddr())
	if !n.awaitUnblocked(link{from, to}) {
		return
	}
	outgoing, err := net.Dial("tcp", raftAddr)
	if err != nil {
		return
	}
	defer outgoing.Close()
	if !n.trackConnections(incoming, outgoing) {
		return
	}
	defer n.untrackConnections(incoming, outgoing)
	done := make(chan struct{}, 2)
	n.goroutines.Go(func() { n.forward(outgoing, incoming, link{from, to}, done) })
	n.goroutines.Go(func() { n.forward(incoming, outgoing, link{to, from}, done) })
	<-done
}

// replicaAt returns the index of the replica that dialed from an address. Each replica dials from its own IP address.
func (n *Network) replicaAt(address net.Addr) int {
	host := hostOf(address.String())
	n.mu.Lock()
	replicas := len(n.listeners)
	n.mu.Unlock()
	for index := range replicas {
		if hostOf(n.addresses.Addr(replicaNetByte, index, raftPort)) == host {
			return index
		}
	}
	return unknownReplica
}

// hostOf returns the IP address of an address with a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// trackConnections adds connections that Close has to close. It returns false if the network is already closed.
func (n *Network) trackConnections(connections ...net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range connections {
		n.connections[conn] = struct{}{}
	}
	return !n.closed
}

func (n *Network) untrackConnections(connections ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range connections {
		delete(n.connections, conn)
	}
}

// forward copies one direction of a connection until either side ends. It waits while the link is blocked.
func (n *Network) forward(to, from net.Conn, direction link, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, forwardBufferBytes)
	for {
		size, readErr := from.Read(buffer)
		if size > 0 {
			if !n.awaitUnblocked(direction) {
				return
			}
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// Close closes all proxies and connections.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.notifyLocked()
	for _, listener := range n.listeners {
		listener.Close()
	}
	for conn := range n.connections {
		conn.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}
