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
	mu          sync.Mutex
	faults      []*lab.Fault
	darkServers map[int]bool // servers whose machine says nothing, or whose process is stopped
	changed     chan struct{}
}

func newNetwork() *network {
	return &network{darkServers: map[int]bool{}, changed: make(chan struct{})}
}

// update applies a change and wakes all that wait.
func (w *network) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	close(w.changed)
	w.changed = make(chan struct{})
}

// state is the state of a link in one direction now: whether nothing passes, what it takes longer, the part that
// is lost, and when to look again.
func (w *network) state(from, to lab.Endpoint) (partitioned bool, extraDelay time.Duration, loss float64, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, end := range []lab.Endpoint{from, to} {
		partitioned = partitioned || end.Kind == lab.ServerEndpoint && w.darkServers[end.Index]
	}
	for _, fault := range w.faults {
		if !fault.Affects(from, to) {
			continue
		}
		switch fault.Kind {
		case lab.FaultPartition:
			partitioned = true
		case lab.FaultPacketLoss:
			loss = max(loss, fault.Probability)
		case lab.FaultDelay:
			extraDelay += milliseconds(fault.DelayMS)
		}
	}
	return partitioned, extraDelay, loss, w.changed
}

// transmit waits until something that takes delay has gone from one end to the other; while the link is cut it
// waits for the link. False: it was lost on the way, by a chance u from 0 to 1, or ctx has ended.
func (w *network) transmit(ctx context.Context, from, to lab.Endpoint, delay time.Duration, draw float64) bool {
	partitioned, extraDelay, loss, changed := w.state(from, to)
	if draw < loss {
		return false
	}
	for partitioned {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		partitioned, extraDelay, _, changed = w.state(from, to)
	}
	return sleep(ctx, delay+extraDelay)
}

func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// port is a listening address that can fall silent, as a machine that is cut off: new connections then never
// come up. No rule of a packet filter is needed for it: a listening socket whose queue is full drops what
// arrives, and its queue is as short as asked for.
type port struct {
	address string
	accept  func(net.Conn)

	mu         sync.Mutex
	listener   *net.TCPListener
	silent     bool
	fillers    []net.Conn // fills the queue
	generation int
}

const (
	normalBacklog = 512
	silentBacklog = 0
	// fillerCount are enough to fill a queue of length 0, which holds one.
	fillerCount       = 2
	fillerDialTimeout = 20 * time.Millisecond
)

// open begins to listen; an address in use is an error that names it.
func (p *port) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.listener, p.silent = listener.(*net.TCPListener), false
	p.generation++
	go p.acceptLoop(p.listener, p.generation)
	return nil
}

func (p *port) acceptLoop(listener *net.TCPListener, generation int) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			p.mu.Lock()
			stopped := p.generation != generation || p.listener != listener || p.silent
			p.mu.Unlock()
			if stopped {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors: the queue holds them meanwhile
			continue
		}
		go p.accept(connection)
	}
}

// close stops listening: new connections are refused.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
		p.generation++
		p.closeFillers()
	}
}

func (p *port) closeFillers() {
	for _, filler := range p.fillers {
		filler.Close()
	}
	p.fillers = nil
}

// setSilent makes the port silent, or lets it speak again.
func (p *port) setSilent(silent bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.silent == silent {
		return nil
	}
	p.silent = silent
	if !silent {
		p.closeFillers()
		if err := p.setBacklog(normalBacklog); err != nil {
			return err
		}
		p.generation++
		if err := p.listener.SetDeadline(time.Time{}); err != nil {
			return err
		}
		go p.acceptLoop(p.listener, p.generation)
		return nil
	}
	p.generation++
	if err := p.listener.SetDeadline(time.Unix(1, 0)); err != nil { // ends the Accept that waits
		return err
	}
	if err := p.setBacklog(silentBacklog); err != nil {
		return err
	}
	for range fillerCount {
		filler, err := net.DialTimeout("tcp4", p.address, fillerDialTimeout)
		if err != nil {
			break // full
		}
		p.fillers = append(p.fillers, filler)
	}
	return nil
}

func (p *port) setBacklog(length int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenError error
	if err := raw.Control(func(fd uintptr) { listenError = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenError
}

// resetConnection closes a connection the hard way: the other side gets a reset, as from a process that died.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	connection.Close()
}
