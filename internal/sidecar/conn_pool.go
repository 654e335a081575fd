package sidecar

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
	"milldeck/internal/sockets"
)

const (
	// idleTimeoutFraction: connections are closed after this fraction of the time after which servers close them.
	idleTimeoutFraction = 0.85
	// reuseDelay is how long a connection is idle before it is reused. By then any bytes that a server sends after its
	// response have arrived and are noticed; otherwise the next request would take them as its response.
	reuseDelay = 3 * time.Millisecond
)

// Some servers close idle connections much sooner than the settings say, and reset a request that arrives just then. The
// request may have been executed, so it is better not to write it: each server's idle time limit falls with such a reset
// and rises slowly with successful reuses near it.
const (
	staleResetWindow = 10 * time.Millisecond // after the last byte written; a later reset has other causes
	minIdleTime      = 20 * time.Millisecond
	idleTimeDecrease = 0.7 // of the idle time that was too long
	idleTimeIncrease = 1.02
)

var errNoSocketAvailable = errors.New("no socket is available")

// upstreamHost is one incarnation of a server's process, as discovery lists it. A restart or another address makes a new
// one, so that no connection or decision outlives the process that it was made for.
type upstreamHost struct {
	id          balance.ServerID
	address     string
	bootMS      float64 // as discovery lists it
	zone        string
	cell        int
	startedAtMS float64 // as the balancer knows it

	retired atomic.Bool // draining, removed or restarted: nothing new is sent there

	// The lock of the pool guards the fields below.
	idleConns          []*upstreamConn // longest idle first
	learnedIdleTimeout time.Duration   // 0: as the settings say
}

// upstreamConn is a connection to a server. It carries one request at a time.
type upstreamConn struct {
	net.Conn
	reader        *bufio.Reader
	responseLimit *io.LimitedReader // under reader: bounds a response, headers included
	upstream      *upstreamHost

	readDeadline time.Time // of the present exchange

	idleSince time.Time
	idleTime  time.Duration // before its present use
}

// byteBudget bounds a number of bytes, here of all bodies in memory.
type byteBudget struct{ remaining atomic.Int64 }

// reserve takes bytes from the budget; it reports false if there are too few.
func (b *byteBudget) reserve(size int) bool {
	if b.remaining.Add(-int64(size)) >= 0 {
		return true
	}
	b.release(size)
	return false
}

// release returns bytes to the budget.
func (b *byteBudget) release(size int) { b.remaining.Add(int64(size)) }

// connPool holds the idle connections to all servers and bounds how many connections are open.
type connPool struct {
	dialer           net.Dialer
	maxIdleTime      time.Duration
	reuseDelay       time.Duration
	loadReportFields []string
	healthCheckPath  string
	bodyMemory       *byteBudget
	guard            sendGuard

	mu                 sync.Mutex
	hostsWithIdleConns map[*upstreamHost]struct{} // those with idle connections
	openConns          int
	maxConns           int
}

func newConnPool(config *Config, maxConns int, bodyMemory *byteBudget) *connPool {
	pool := &connPool{
		dialer:             net.Dialer{Timeout: durationFromMS(config.settings.ConnectTimeout), KeepAlive: -1},
		maxIdleTime:        time.Duration(float64(config.connIdleTimeout) * idleTimeoutFraction),
		reuseDelay:         reuseDelay,
		loadReportFields:   config.loadReportFields,
		healthCheckPath:    healthCheckPath,
		bodyMemory:         bodyMemory,
		guard:              sendGuard{&monitor{}},
		hostsWithIdleConns: map[*upstreamHost]struct{}{},
		maxConns:           maxConns,
	}
	if config.settings.LoadReports != balance.LoadReportNone {
		pool.healthCheckPath = healthReportsPath
	}
	return pool
}

// acquire returns the usable connection that is idle for the shortest time, or dials. The connect timeout of the settings
// and the deadline bound dialing. reused tells whether the connection has carried a request.
func (p *connPool) acquire(ctx context.Context, upstream *upstreamHost, deadline time.Time) (conn *upstreamConn, reused bool, err error) {
	if upstream.retired.Load() || !time.Now().Before(deadline) {
		return nil, false, errObsolete
	}
	for {
		conn := p.popIdle(upstream)
		if conn == nil {
			break
		}
		conn.idleTime = time.Since(conn.idleSince)
		if p.usable(conn) {
			return conn, true, nil
		}
		p.guard.monitor.count(upstreamConnUnusable)
		p.discard(conn)
	}
	conn, err = p.dial(ctx, upstream, deadline)
	return conn, false, err
}

// usable reports whether an idle connection can carry a request. The server may have closed it: the request would be
// reset. Or the server may have sent more than its last response: the request would get that as its own.
func (p *connPool) usable(conn *upstreamConn) bool {
	return conn.idleTime < p.idleTimeLimit(conn.upstream) && conn.reader.Buffered() == 0 && openAndEmpty(conn.Conn)
}

// dial opens a connection, within the bound on open connections.
func (p *connPool) dial(ctx context.Context, upstream *upstreamHost, deadline time.Time) (*upstreamConn, error) {
	if !p.reserveConn() {
		return nil, errNoSocketAvailable
	}
	dialer := p.dialer
	dialer.Deadline = deadline
	netConn, err := dialer.DialContext(ctx, "tcp", upstream.address)
	if err != nil {
		p.releaseConn()
		p.guard.monitor.count(upstreamConnDialFailed)
		if sockets.IsTemporaryLocalError(err) {
			err = errNoSocketAvailable // this machine's fault, not the server's
		}
		return nil, err
	}
	p.guard.monitor.count(upstreamConnDialed)
	responseLimit := &io.LimitedReader{R: netConn}
	return &upstreamConn{Conn: netConn, reader: bufio.NewReader(responseLimit), responseLimit: responseLimit, upstream: upstream}, nil
}

// idleTimeLimit is how long a connection to a server may be idle and still be reused.
func (p *connPool) idleTimeLimit(upstream *upstreamHost) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(upstream.learnedIdleTimeout, p.maxIdleTime)
}

// learnIdleTimeLimit adjusts the idle time limit of a server after the reuse of a connection: idleTime is how long that
// was idle, elapsed the time from its last byte written to the result.
func (p *connPool) learnIdleTimeLimit(upstream *upstreamHost, idleTime time.Duration, result balance.Result, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := cmp.Or(upstream.learnedIdleTimeout, p.maxIdleTime)
	switch {
	case result == balance.Reset && elapsed < staleResetWindow && idleTime >= minIdleTime:
		upstream.learnedIdleTimeout = max(min(limit, time.Duration(idleTimeDecrease*float64(idleTime))), minIdleTime)
	case result == balance.OK && upstream.learnedIdleTimeout > 0 && idleTime > limit/2:
		upstream.learnedIdleTimeout = min(time.Duration(idleTimeIncrease*float64(limit)), p.maxIdleTime)
	}
}

// popIdle removes the connection from the pool that is idle for the shortest time, but for at least reuseDelay; nil if
// there is none.
func (p *connPool) popIdle(upstream *upstreamHost) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	reusableBefore := time.Now().Add(-p.reuseDelay)
	for i, conn := range slices.Backward(upstream.idleConns) {
		if conn.idleSince.After(reusableBefore) {
			continue
		}
		upstream.idleConns = slices.Delete(upstream.idleConns, i, i+1)
		if len(upstream.idleConns) == 0 {
			delete(p.hostsWithIdleConns, upstream)
		}
		return conn
	}
	return nil
}

// reserveConn counts a connection as open. At the bound it closes the longest idle one; it reports false if there is none.
func (p *connPool) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns && !p.evictOldestIdle() {
		return false
	}
	p.openConns++
	return true
}

// releaseConn counts a connection as closed.
func (p *connPool) releaseConn() {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// evictOldestIdle closes the longest idle connection; it reports false if there is none. The caller holds the lock.
func (p *connPool) evictOldestIdle() bool {
	var oldest *upstreamHost
	for upstream := range p.hostsWithIdleConns {
		if oldest == nil || upstream.idleConns[0].idleSince.Before(oldest.idleConns[0].idleSince) {
			oldest = upstream
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldestIdle(oldest, 1, upstreamConnEvicted)
	return true
}

// closeOldestIdle closes the longest idle connections to a server. The caller holds the lock.
func (p *connPool) closeOldestIdle(upstream *upstreamHost, count int, reason countedEvent) {
	for _, conn := range upstream.idleConns[:count] {
		conn.Close()
		p.guard.monitor.count(reason)
	}
	p.openConns -= count
	upstream.idleConns = append(upstream.idleConns[:0], upstream.idleConns[count:]...)
	if len(upstream.idleConns) == 0 {
		delete(p.hostsWithIdleConns, upstream)
	}
}

// returnIdle puts a connection back into the pool.
func (p *connPool) returnIdle(conn *upstreamConn) {
	_ = conn.SetDeadline(time.Time{}) // fails only if the connection is closed, which its next use notices
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.upstream.retired.Load() { // checked under the lock, as retire closes the idle connections under it
		conn.Close()
		p.openConns--
		p.guard.monitor.count(upstreamConnWithdrawn)
		return
	}
	conn.upstream.idleConns = append(conn.upstream.idleConns, conn)
	p.hostsWithIdleConns[conn.upstream] = struct{}{}
}

// discard closes a connection that is not in the pool.
func (p *connPool) discard(conn *upstreamConn) {
	conn.Close()
	p.releaseConn()
}

// retire ends the use of a server's process: its idle connections are closed now, the others after their exchanges.
func (p *connPool) retire(upstream *upstreamHost) {
	upstream.retired.Store(true)
	p.closeIdle(upstream)
}

// closeIdle closes the idle connections to a server.
func (p *connPool) closeIdle(upstream *upstreamHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldestIdle(upstream, len(upstream.idleConns), upstreamConnWithdrawn)
}

// reap closes connections that have been idle for too long, before their servers do.
func (p *connPool) reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.hostsWithIdleConns {
		expired := 0
		for expired < len(upstream.idleConns) && now.Sub(upstream.idleConns[expired].idleSince) >= p.maxIdleTime {
			expired++
		}
		p.closeOldestIdle(upstream, expired, upstreamConnExpired)
	}
}

// closeAll closes all idle connections.
func (p *connPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.hostsWithIdleConns {
		p.closeOldestIdle(upstream, len(upstream.idleConns), upstreamConnWithdrawn)
	}
}
