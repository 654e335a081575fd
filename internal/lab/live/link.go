package live

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab"
)

// network is the state of the links between all parties: which faults are in force, and who is dark. Whoever
// waits for a link to pass is woken by each change.
type network struct {
	mu      sync.Mutex
	faults  []*lab.Fault
	dark    map[int]bool // servers whose machine says nothing, or whose process is stopped
	changed chan struct{}
}

func newNetwork() *network {
	return &network{dark: map[int]bool{}, changed: make(chan struct{})}
}

// change applies a change and wakes all that wait.
func (w *network) change(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
	close(w.changed)
	w.changed = make(chan struct{})
}

// way is the state of a link in one direction now: whether nothing passes, what it takes longer, the part that
// is lost, and when to look again.
func (w *network) way(from, to lab.Endpoint) (cut bool, more time.Duration, loss float64, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range []lab.Endpoint{from, to} {
		cut = cut || end.Kind == lab.ServerEndpoint && w.dark[end.Index]
	}
	for _, f := range w.faults {
		if !f.Affects(from, to) {
			continue
		}
		switch f.Kind {
		case lab.FaultPartition:
			cut = true
		case lab.FaultPacketLoss:
			loss = max(loss, f.Probability)
		case lab.FaultDelay:
			more += millis(f.DelayMS)
		}
	}
	return cut, more, loss, w.changed
}

// pass waits until something that takes delay has gone from one end to the other; while the link is cut it
// waits for the link. False: it was lost on the way, by a chance u from 0 to 1, or ctx has ended.
func (w *network) pass(ctx context.Context, from, to lab.Endpoint, delay time.Duration, u float64) bool {
	cut, more, loss, changed := w.way(from, to)
	if u < loss {
		return false
	}
	for cut {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		cut, more, _, changed = w.way(from, to)
	}
	return sleep(ctx, delay+more)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// port is a listening address that can fall silent, as a machine that is cut off: new connections then never
// come up. No rule of a packet filter is needed for it: a listening socket whose queue is full drops what
// arrives, and its queue is as short as asked for.
type port struct {
	addr   string
	accept func(net.Conn)

	mu     sync.Mutex
	ln     *net.TCPListener
	hushed bool
	filler []net.Conn // fills the queue
	gen    int
}

const (
	queueNormal = 512
	queueNone   = 0
	// fillers are enough to fill a queue of length 0, which holds one.
	fillers  = 2
	fillWait = 20 * time.Millisecond
)

// open begins to listen; an address in use is an error that names it.
func (p *port) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return err
	}
	p.ln, p.hushed = ln.(*net.TCPListener), false
	p.gen++
	go p.loop(p.ln, p.gen)
	return nil
}

func (p *port) loop(ln *net.TCPListener, gen int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			p.mu.Lock()
			over := p.gen != gen || p.ln != ln || p.hushed
			p.mu.Unlock()
			if over {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors: the queue holds them meanwhile
			continue
		}
		go p.accept(c)
	}
}

// close stops listening: new connections are refused.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
		p.gen++
		p.drain()
	}
}

func (p *port) drain() {
	for _, c := range p.filler {
		c.Close()
	}
	p.filler = nil
}

// hush makes the port silent, or lets it speak again.
func (p *port) hush(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln == nil || p.hushed == on {
		return nil
	}
	p.hushed = on
	if !on {
		p.drain()
		if err := p.backlog(queueNormal); err != nil {
			return err
		}
		p.gen++
		if err := p.ln.SetDeadline(time.Time{}); err != nil {
			return err
		}
		go p.loop(p.ln, p.gen)
		return nil
	}
	p.gen++
	if err := p.ln.SetDeadline(time.Unix(1, 0)); err != nil { // ends the Accept that waits
		return err
	}
	if err := p.backlog(queueNone); err != nil {
		return err
	}
	for range fillers {
		c, err := net.DialTimeout("tcp4", p.addr, fillWait)
		if err != nil {
			break // full
		}
		p.filler = append(p.filler, c)
	}
	return nil
}

func (p *port) backlog(n int) error {
	raw, err := p.ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

// reset closes a connection the hard way: the other side gets a reset, as from a process that died.
func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}
