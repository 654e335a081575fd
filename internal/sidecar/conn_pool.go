package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milldeck/balance"
	"milldeck/internal/sockets"
)

const (
	// idleTimeoutFraction is the part of the servers' configured idle timeout after which the pool closes an idle connection.
	idleTimeoutFraction = 0.85
	// reuseDelay is the minimum idle time before a connection is reused. During this time, surplus bytes that a server sends after
	// its response arrive and are detected; otherwise they would be read as the response to the next request.
	reuseDelay = 25 * time.Millisecond
)

var errNoSocketAvailable = errors.New("no socket is available")

// upstreamHost is one incarnation of a server's process, as discovery lists it. A restart or a new address creates a new
// upstreamHost, so that connections and decisions of the old process are never used for the new one.
type upstreamHost struct {
	id          balance.ServerID
	address     string
	bootMS      float64 // boot time as discovery lists it
	zone        string
	cell        int
	startedAtMS float64 // start time that the balancer uses

	retired atomic.Bool // draining, removed or restarted: no new request is sent to it

	// The pool's mutex guards the fields below.
	idleConns []*upstreamConn // longest idle first
	idleLimit idleTimeLimit
}

// upstreamConn is a connection to a server. It carries one request at a time.
type upstreamConn struct {
	net.Conn
	reader        *bufio.Reader
	responseLimit *io.LimitedReader // source of reader; bounds the size of a response, headers included
	upstream      *upstreamHost

	readDeadline time.Time // of the current exchange

	idleSince time.Time
	idleTime  time.Duration // time without a request before the current exchange
}

// connPool holds the idle connections to all servers and limits the number of open connections.
type connPool struct {
	dialer           net.Dialer
	maxIdleTime      time.Duration
	reuseDelay       time.Duration
	loadReportFields []string
	healthCheckPath  string
	responseMemory   *byteBudget
	guard            sendGuard

	mu                 sync.Mutex
	hostsWithIdleConns map[*upstreamHost]struct{}
	openConns          int
	maxConns           int
}

func newConnPool(config *Config, maxConns int, responseMemory *byteBudget) *connPool {
	pool := &connPool{
		dialer:             net.Dialer{Timeout: durationFromMS(config.settings.ConnectTimeout), KeepAlive: -1},
		maxIdleTime:        time.Duration(float64(config.connIdleTimeout) * idleTimeoutFraction),
		reuseDelay:         reuseDelay,
		loadReportFields:   config.loadReportFields,
		healthCheckPath:    healthCheckPath,
		responseMemory:     responseMemory,
		guard:              sendGuard{&monitor{}},
		hostsWithIdleConns: map[*upstreamHost]struct{}{},
		maxConns:           maxConns,
	}
	if config.settings.LoadReports != balance.LoadReportNone {
		pool.healthCheckPath = healthReportsPath
	}
	return pool
}

// acquire returns the most recently used idle connection that is usable, or dials a new one within the connect timeout of
// the settings and the deadline. reused reports whether the connection has carried a request before.
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
		reason := p.unusableReason(conn)
		if reason == reusableConn {
			p.guard.monitor.count(upstreamConnReused)
			return conn, true, nil
		}
		p.discardUnusable(conn, reason)
	}
	conn, err = p.dial(ctx, upstream, deadline)
	return conn, false, err
}

// unusableReason is why an idle connection cannot carry a request.
type unusableReason string

const (
	reusableConn   unusableReason = ""
	idleForTooLong unusableReason = "idle for too long" // the server may be closing it; the request would be reset
	surplusBytes   unusableReason = "surplus bytes"     // after the last response; they would be read as the next one
	closedByServer unusableReason = "closed by server"
)

func (p *connPool) unusableReason(conn *upstreamConn) unusableReason {
	if conn.idleTime >= p.idleTimeLimit(conn.upstream) {
		return idleForTooLong
	}
	if conn.reader.Buffered() > 0 {
		return surplusBytes
	}
	switch err := peekConn(conn.Conn); {
	case err == nil:
		return surplusBytes
	case errors.Is(err, syscall.EAGAIN):
		return reusableConn
	default:
		return closedByServer
	}
}

// discardUnusable closes a connection that was idle in the pool and cannot carry a request.
func (p *connPool) discardUnusable(conn *upstreamConn, reason unusableReason) {
	p.guard.monitor.count(upstreamConnUnusable)
	switch reason {
	case idleForTooLong:
		p.guard.monitor.count(upstreamConnTooIdle)
	case surplusBytes:
		p.guard.monitor.count(upstreamConnSurplus)
	case closedByServer, reusableConn:
	}
	traceUnusable(conn, reason)
	p.discard(conn)
}

// dial opens a connection, within the limit on open connections.
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
			err = errNoSocketAvailable // the failure is local and does not count against the server
		}
		return nil, err
	}
	p.guard.monitor.count(upstreamConnDialed)
	limited := &io.LimitedReader{R: netConn}
	return &upstreamConn{Conn: netConn, reader: bufio.NewReader(limited), responseLimit: limited, upstream: upstream}, nil
}

// idleTimeLimit returns how long a connection to a server may be idle and still be reused.
func (p *connPool) idleTimeLimit(upstream *upstreamHost) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return upstream.idleLimit.at(time.Now(), p.maxIdleTime)
}

// learnIdleTimeLimit adjusts the idle time limit of a server by the result of an exchange on a reused connection. idleTime
// is how long the connection was idle before the exchange, elapsed is the time from the last byte of the request to the
// result.
func (p *connPool) learnIdleTimeLimit(upstream *upstreamHost, idleTime time.Duration, result balance.Result, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case result == balance.Reset && elapsed < staleResetWindow:
		upstream.idleLimit.lower(now, p.maxIdleTime, idleTime)
	case result == balance.OK:
		upstream.idleLimit.raise(now, p.maxIdleTime, idleTime)
	}
}

// popIdle removes and returns the most recently used connection that has been idle for long enough, or nil.
func (p *connPool) popIdle(upstream *upstreamHost) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i, conn := range slices.Backward(upstream.idleConns) {
		if now.Sub(conn.idleSince) < p.reuseDelay {
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

// reserveConn counts a connection as open. At the limit it evicts the longest idle connection; it returns false if no
// connection is idle.
func (p *connPool) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns && !p.evictOldestIdle() {
		return false
	}
	p.openConns++
	return true
}

// releaseConn counts an open connection as closed.
func (p *connPool) releaseConn() {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// evictOldestIdle closes the longest idle connection; it returns false if no connection is idle. The caller holds the mutex.
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

// closeOldestIdle closes the longest idle connections to a server, as many as count. The caller holds the mutex.
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
	_ = conn.SetDeadline(time.Time{}) // fails only if the connection is closed, which usable detects
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.upstream.retired.Load() { // checked under the mutex, as retire closes the idle connections under it
		conn.Close()
		p.openConns--
		p.guard.monitor.count(upstreamConnWithdrawn)
		return
	}
	conn.upstream.idleConns = append(conn.upstream.idleConns, conn)
	p.hostsWithIdleConns[conn.upstream] = struct{}{}
}

// discard closes a connection that is not idle in the pool.
func (p *connPool) discard(conn *upstreamConn) {
	conn.Close()
	p.releaseConn()
}

// retire stops the use of a server's process. It closes the idle connections; connections in use are closed after their
// exchanges.
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

// reap closes connections that have been idle for maxIdleTime, before their servers close them.
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
