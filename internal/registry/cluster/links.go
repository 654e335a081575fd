package cluster

import (
	"io"
	"net"
	"sync"

	"milldeck/internal/lab/proc"
)

const (
	linkPort = 8601
	linkByte = 210
)

// Links stand between replicas, so that the way from one to another can be cut. A cut says nothing: connections
// stay open and silent, new ones come up to nobody.
type Links struct {
	block *proc.Block

	mu      sync.Mutex
	cut     map[[2]int]bool // from, to
	changed chan struct{}
	lns     []net.Listener
	conns   map[net.Conn]struct{}
	closed  bool
	around  sync.WaitGroup
}

// NewLinks makes whole ones.
func NewLinks(block *proc.Block) *Links {
	return &Links{block: block, cut: map[[2]int]bool{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

// Advertise puts a link before a replica; it is for Options.
func (l *Links) Advertise(n int, raft string) string {
	addr := l.block.Addr(linkByte, n, linkPort)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err) // the block is this process's own
	}
	l.mu.Lock()
	l.lns = append(l.lns, ln)
	l.mu.Unlock()
	l.around.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.around.Go(func() { l.carry(c, n, raft) })
		}
	})
	return addr
}

// Cut cuts the ways between one replica and the others, or heals them.
func (l *Links) Cut(n, of int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other := range of {
		if other != n {
			l.cut[[2]int{n, other}], l.cut[[2]int{other, n}] = on, on
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// pass waits while a way is cut; false: the links are closed.
func (l *Links) pass(from, to int) bool {
	for {
		l.mu.Lock()
		cut, closed, changed := l.cut[[2]int{from, to}], l.closed, l.changed
		l.mu.Unlock()
		if closed || !cut {
			return !closed
		}
		<-changed
	}
}

// carry carries one connection to a replica; who dialed is known by its address.
func (l *Links) carry(in net.Conn, to int, raft string) {
	defer in.Close()
	from := -1
	source, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	l.mu.Lock()
	replicas := len(l.lns)
	l.mu.Unlock()
	for n := range replicas {
		if host, _, _ := net.SplitHostPort(l.block.Addr(netByte, n, raftPort)); host == source {
			from = n
		}
	}
	if !l.pass(from, to) {
		return
	}
	out, err := net.Dial("tcp", raft)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	l.conns[in], l.conns[out] = struct{}{}, struct{}{}
	closed := l.closed
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, in)
		delete(l.conns, out)
	}()
	if closed {
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn, from, to int) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if n > 0 && (!l.pass(from, to) || !write(dst, buf[:n])) || err != nil {
				return
			}
		}
	}
	go pipe(out, in, from, to)
	go pipe(in, out, to, from)
	<-done
}

func write(dst io.Writer, data []byte) bool {
	_, err := dst.Write(data)
	return err == nil
}

// Close ends all links.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	for _, ln := range l.lns {
		ln.Close()
	}
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.around.Wait()
}
