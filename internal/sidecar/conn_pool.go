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
	"syscall"
	"time"

	"milldeck/balance"
)

const (
	idleTimeoutFraction = 0.85 // of the time after which a server closes an idle connection
	// reuseDelay is how long a connection rests before it is used again, so that what a server sends behind its
	// answer is there to be seen first. Written to sooner, the next request would get it as its own.
	reuseDelay = 3 * time.Millisecond
)

var errNoSocketAvailable = errors.New("no socket is free")

// upstreamHost is one life of a server's process, as discovery told of it. A restart or another address makes
// a new one, so that no connection or decision outlives the process that it was made for.
type upstreamHost struct {
	id      balance.ServerID
	address string
	bootMS  float64 // as discovery tells it
	zone    string

	learnedIdleTimeout time.Duration   // a connection that rested longer is not used again; 0: as the settings say
	startedAtMS        float64         // as the module was told
	retired            atomic.Bool     // draining, gone or restarted: nothing new goes there
	idleConns          []*upstreamConn // oldest first; under the lock of upstreams
}

// upstreamConn is a kept connection; it carries one request at a time.
type upstreamConn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *io.LimitedReader // under in: bounds an answer, headers included
	upstream  *upstreamHost
	idleSince time.Time // idle since

	idleTime time.Duration // before it was last used
}

// byteBudget bounds the bytes of all bodies held at a time, in and out.
type byteBudget struct{ remaining atomic.Int64 }

func (b *byteBudget) reserve(size int) bool {
	if b.remaining.Add(-int64(size)) >= 0 {
		return true
	}
	b.release(size)
	return false
}

func (b *byteBudget) release(size int) { b.remaining.Add(int64(size)) }

// connPool holds the kept connections to all servers and bounds how many there are.
type connPool struct {
	dialer           net.Dialer
	maxIdleTime      time.Duration
	loadReportFields []string
	healthCheckPath  string
	bodyMemory       *byteBudget
	reuseDelay       time.Duration

	mu        sync.Mutex
	withIdle  map[*upstreamHost]struct{} // those with idle connections
	openConns int
	maxConns  int
}

func newConnPool(config *Config, maxConns int, bodyMemory *byteBudget) *connPool {
	pool := &connPool{
		dialer:           net.Dialer{Timeout: durationFromMS(config.settings.ConnectTimeout), KeepAlive: -1},
		maxIdleTime:      time.Duration(float64(config.connIdleTimeout) * idleTimeoutFraction),
		loadReportFields: config.loadReportFields, healthCheckPath: "/health/live",
		bodyMemory: bodyMemory, reuseDelay: reuseDelay,
		withIdle: map[*upstreamHost]struct{}{}, maxConns: maxConns,
	}
	if config.settings.LoadReports != balance.LoadReportNone {
		pool.healthCheckPath = "/stats"
	}
	return pool
}

// acquire takes the newest kept connection that is still good, or dials. Dialing is bounded by the settings
// and by the time that the request has left.
func (p *connPool) acquire(ctx context.Context, upstream *upstreamHost, deadline time.Time) (*upstreamConn, bool, error) {
	if upstream.retired.Load() || !time.Now().Before(deadline) {
		return nil, false, errObsolete
	}
	for {
		conn := p.popIdle(upstream)
		if conn == nil {
			break
		}
		// A server may have closed it while it was idle, or sent more than belonged to its last answer: a
		// request written to it would end as a reset, or get what was made for another.
		if conn.idleTime = time.Since(conn.idleSince); conn.idleTime < p.idleTimeLimit(upstream) && conn.reader.Buffered() == 0 && openAndEmpty(conn.Conn) {
			return conn, true, nil
		}
		p.discard(conn)
	}
	if !p.reserveConn() {
		return nil, false, errNoSocketAvailable
	}
	dialer := p.dialer
	dialer.Deadline = deadline
	netConn, err := dialer.DialContext(ctx, "tcp", upstream.address)
	if err != nil {
		p.releaseConn()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			err = errNoSocketAvailable // no descriptor is free: that says nothing of the server
		}
		return nil, false, err
	}
	limit := &io.LimitedReader{R: netConn}
	return &upstreamConn{Conn: netConn, reader: bufio.NewReader(limit), limit: limit, upstream: upstream}, false, nil
}

// Some servers end idle connections much sooner than the settings say, and a request that comes to one then
// is reset at once. It may have run, so it is better not written: each server's limit falls with such a reset
// and rises slowly with uses that went well near it.
const (
	staleResetWindow = 10 * time.Millisecond // from the last byte written; later ones have other causes
	minIdleTime      = 20 * time.Millisecond
	idleTimeDecrease = 0.7 // of the rest that was too long
	idleTimeIncrease = 1.02
)

func (p *connPool) idleTimeLimit(upstream *upstreamHost) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(upstream.learnedIdleTimeout, p.maxIdleTime)
}

func (p *connPool) learnIdleTimeLimit(upstream *upstreamHost, idleTime time.Duration, result balance.Result, resetAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := cmp.Or(upstream.learnedIdleTimeout, p.maxIdleTime)
	switch {
	case result == balance.Reset && resetAfter < staleResetWindow && idleTime >= minIdleTime:
		upstream.learnedIdleTimeout = max(min(limit, time.Duration(idleTimeDecrease*float64(idleTime))), minIdleTime)
	case result == balance.OK && upstream.learnedIdleTimeout > 0 && idleTime > limit/2:
		upstream.learnedIdleTimeout = min(time.Duration(idleTimeIncrease*float64(limit)), p.maxIdleTime)
	}
}

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
			delete(p.withIdle, upstream)
		}
		return conn
	}
	return nil
}

// reserveConn counts one more connection in; at the bound the longest idle one makes room.
func (p *connPool) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns && !p.evictOldestIdle() {
		return false
	}
	p.openConns++
	return true
}

func (p *connPool) releaseConn() {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// evictOldestIdle closes the longest idle connection; the caller holds the lock.
func (p *connPool) evictOldestIdle() bool {
	var oldest *upstreamHost
	for upstream := range p.withIdle {
		if oldest == nil || upstream.idleConns[0].idleSince.Before(oldest.idleConns[0].idleSince) {
			oldest = upstream
		}
	}
	if oldest == nil {
		return false
	}
	p.closeOldestIdle(oldest, 1)
	return true
}

// closeOldestIdle closes the n longest idle connections of a server; the caller holds the lock.
func (p *connPool) closeOldestIdle(upstream *upstreamHost, count int) {
	for _, conn := range upstream.idleConns[:count] {
		conn.Close()
	}
	p.openConns -= count
	upstream.idleConns = append(upstream.idleConns[:0], upstream.idleConns[count:]...)
	if len(upstream.idleConns) == 0 {
		delete(p.withIdle, upstream)
	}
}

func (p *connPool) returnIdle(conn *upstreamConn) {
	conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.upstream.retired.Load() { // under the lock: retire has closed the idle ones
		conn.Close()
		p.openConns--
		return
	}
	conn.upstream.idleConns = append(conn.upstream.idleConns, conn)
	p.withIdle[conn.upstream] = struct{}{}
}

func (p *connPool) discard(conn *upstreamConn) {
	conn.Close()
	p.releaseConn()
}

// retire marks a server's process as over and drops its idle connections; busy ones go when they end.
func (p *connPool) retire(upstream *upstreamHost) {
	upstream.retired.Store(true)
	p.closeIdle(upstream)
}

func (p *connPool) closeIdle(upstream *upstreamHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldestIdle(upstream, len(upstream.idleConns))
}

// reap closes connections before their servers would.
func (p *connPool) reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.withIdle {
		expired := 0
		for expired < len(upstream.idleConns) && now.Sub(upstream.idleConns[expired].idleSince) >= p.maxIdleTime {
			expired++
		}
		p.closeOldestIdle(upstream, expired)
	}
}

func (p *connPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.withIdle {
		p.closeOldestIdle(upstream, len(upstream.idleConns))
	}
}
