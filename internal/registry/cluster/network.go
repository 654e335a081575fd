package cluster

import (
	"io"
	"net"
	"sync"

	"milldeck/internal/lab/proc"
)

const (
	proxyPort    = 8601
	proxyNetByte = 210
)

// Network stand between replicas, so that the way from one to another can be cut. A cut says nothing: connections
// stay open and silent, new ones come up to nobody.
type Network struct {
	block *proc.Block

	mu          sync.Mutex
	blocked     map[[2]int]bool // from, to
	changed     chan struct{}
	listeners   []net.Listener
	connections map[net.Conn]struct{}
	closed      bool
	goroutines  sync.WaitGroup
}

// NewNetwork makes whole ones.
func NewNetwork(addresses *proc.Block) *Network {
	return &Network{block: addresses, blocked: map[[2]int]bool{}, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
}

// Advertise puts a link before a replica; it is for Options.
func (l *Network) Advertise(index int, raftAddr string) string {
	address := l.block.Addr(proxyNetByte, index, proxyPort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // the block is this process's own
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.goroutines.Go(func() { l.proxy(conn, index, raftAddr) })
		}
	})
	return address
}

// Partition cuts the ways between one replica and the others, or heals them.
func (l *Network) Partition(index, replicas int, blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other := range replicas {
		if other != index {
			l.blocked[[2]int{index, other}], l.blocked[[2]int{other, index}] = blocked, blocked
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// awaitOpen waits while a way is cut; false: the links are closed.
func (l *Network) awaitOpen(from, to int) bool {
	for {
		l.mu.Lock()
		blocked, closed, changed := l.blocked[[2]int{from, to}], l.closed, l.changed
		l.mu.Unlock()
		if closed || !blocked {
			return !closed
		}
		<-changed
	}
}

// proxy carries one connection to a replica; who dialed is known by its address.
func (l *Network) proxy(incoming net.Conn, destination int, raftAddr string) {
	defer incoming.Close()
	source := -1
	sourceHost, _, _ := net.SplitHostPort(incoming.RemoteAddr().String())
	l.mu.Lock()
	replicas := len(l.listeners)
	l.mu.Unlock()
	for index := range replicas {
		if host, _, _ := net.SplitHostPort(l.block.Addr(replicaNetByte, index, raftPort)); host == sourceHost {
			source = index
		}
	}
	if !l.awaitOpen(source, destination) {
		return
	}
	outgoing, err := net.Dial("tcp", raftAddr)
	if err != nil {
		return
	}
	defer outgoing.Close()
	l.mu.Lock()
	l.connections[incoming], l.connections[outgoing] = struct{}{}, struct{}{}
	closed := l.closed
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connections, incoming)
		delete(l.connections, outgoing)
	}()
	if closed {
		return
	}
	done := make(chan struct{}, 2)
	forward := func(writer, reader net.Conn, source, destination int) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			index, err := reader.Read(buffer)
			if index > 0 && (!l.awaitOpen(source, destination) || !writeAll(writer, buffer[:index])) || err != nil {
				return
			}
		}
	}
	go forward(outgoing, incoming, source, destination)
	go forward(incoming, outgoing, destination, source)
	<-done
}

func writeAll(dst io.Writer, data []byte) bool {
	_, err := dst.Write(data)
	return err == nil
}

// Close ends all links.
func (l *Network) Close() {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	for _, listener := range l.listeners {
		listener.Close()
	}
	for conn := range l.connections {
		conn.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}
