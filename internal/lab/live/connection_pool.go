package live

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// connectionPool holds the idle kept-alive connections of one sidecar's application. It is safe for concurrent use.
type connectionPool struct {
	mu   sync.Mutex
	idle []*clientConnection // ordered by idle time, the longest first
}

// clientConnection is a connection of the application to its sidecar.
type clientConnection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time // zero before the first request
}

// dialClient opens a connection to a sidecar.
func dialClient(ctx context.Context, address string) (*clientConnection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &clientConnection{Conn: connection, reader: bufio.NewReader(connection)}, nil
}

// get removes the most recently used connection from the pool and returns it. It closes connections that the sidecar
// may have closed, and returns nil if no connection is left.
func (p *connectionPool) get() *clientConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		connection := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(connection.idleSince) < maxConnectionIdle {
			return connection
		}
		connection.Close()
	}
	return nil
}

// store puts a connection back into the pool after a response.
func (p *connectionPool) store(connection *clientConnection) {
	connection.idleSince = time.Now()
	_ = connection.SetDeadline(time.Time{}) // fails only on a closed connection, whose next use fails too
	p.mu.Lock()
	defer p.mu.Unlock()
	// Closes expired connections here, because get takes the newest connection and does not reach these while the load falls.
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) > maxConnectionIdle {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, connection)
}

// close closes all idle connections.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.idle {
		connection.Close()
	}
	p.idle = nil
}
