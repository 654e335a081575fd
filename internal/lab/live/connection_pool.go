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
	idle []*clientConnection // the one idle for longest first
}

// clientConnection is a connection of the application to its sidecar.
type clientConnection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time // zero: it has not carried a request yet
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

// get takes the connection that was used last, nil where there is none that the sidecar surely holds open.
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

// store returns a connection after a response.
func (p *connectionPool) store(connection *clientConnection) {
	connection.idleSince = time.Now()
	_ = connection.SetDeadline(time.Time{}) // fails on a closed connection only, as its next use does
	p.mu.Lock()
	defer p.mu.Unlock()
	// Expired connections are closed here: under a falling load get never reaches them.
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
