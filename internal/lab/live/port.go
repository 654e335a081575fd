package live

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// port is a listening address that can be made silent, like an address of an unreachable machine: new connections are
// neither accepted nor refused. This requires no packet filter: the kernel drops the SYNs for a socket whose accept
// queue is full, and a backlog of 0 makes the queue as short as possible. port is safe for concurrent use.
type port struct {
	address string
	accept  func(net.Conn) // called in a separate goroutine for each connection

	mu         sync.Mutex
	listener   *net.TCPListener // nil: closed
	silent     bool
	fillers    []net.Conn // connections that fill the accept queue
	generation int        // of the current accept loop; loops of earlier generations end
}

const (
	normalBacklog = 512
	silentBacklog = 0
	// fillerCount connections fill the queue of a backlog of 0, which holds one connection.
	fillerCount       = 2
	fillerDialTimeout = 20 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, which indicates a lack of descriptors. The kernel queues the
	// connections meanwhile.
	acceptRetryDelay = time.Millisecond
)

// open starts listening and accepting connections. It does nothing on an open port.
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

// acceptLoop accepts connections until a newer generation replaces it, or the port is closed or made silent.
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
			time.Sleep(acceptRetryDelay)
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

// closeFillers empties the accept queue. The caller holds the lock.
func (p *port) closeFillers() {
	for _, filler := range p.fillers {
		filler.Close()
	}
	p.fillers = nil
}

// setSilent makes the port silent, or makes it accept connections again. It does nothing on a closed port.
func (p *port) setSilent(silent bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.silent == silent {
		return nil
	}
	p.silent = silent
	if silent {
		return p.stopAccepting()
	}
	return p.resumeAccepting()
}

// stopAccepting ends the accept loop and fills the accept queue. The caller holds the lock.
func (p *port) stopAccepting() error {
	p.generation++
	if err := p.listener.SetDeadline(time.Unix(1, 0)); err != nil { // ends the Accept in progress
		return err
	}
	if err := p.setBacklog(silentBacklog); err != nil {
		return err
	}
	for range fillerCount {
		filler, err := net.DialTimeout("tcp4", p.address, fillerDialTimeout)
		if err != nil {
			break // the queue is full
		}
		p.fillers = append(p.fillers, filler)
	}
	return nil
}

// resumeAccepting empties the accept queue and starts an accept loop. The caller holds the lock.
func (p *port) resumeAccepting() error {
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

// setBacklog changes the length of the accept queue. The caller holds the lock.
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

// resetConnection closes a connection with a TCP reset, as the kernel does for a process that was killed.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	connection.Close()
}
