package live

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"milldeck/internal/lab"
)

// listenForServers listens for servers' processes, which tell the lab what they do.
func (c *controlPlane) listenForServers() error {
	listener, err := net.Listen("tcp4", c.labServiceAddress())
	if err != nil {
		return fmt.Errorf("the lab's own address for servers: %w", err)
	}
	c.listener = listener
	c.background.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // closed
			}
			c.background.Go(func() { c.serveConnection(connection) })
		}
	})
	return nil
}

// serveConnection serves one life of a server, to its end.
func (c *controlPlane) serveConnection(connection net.Conn) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	session := &serverSession{controlPlane: c, ctx: ctx, attempts: map[int64]*observedAttempt{}}
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName("Lab", session); err != nil {
		slog.Error("the lab's calls", "error", err)
		return
	}
	// What still waits for its way over the network must not keep the end of the life from being seen.
	rpcServer.ServeConn(&monitoredConnection{connection, cancel})
	session.disconnected()
}

// monitoredConnection cancels when the other side is gone.
type monitoredConnection struct {
	net.Conn
	onDisconnect func()
}

func (w *monitoredConnection) Read(buffer []byte) (int, error) {
	n, err := w.Conn.Read(buffer)
	if err != nil {
		w.onDisconnect()
	}
	return n, err
}

// serverSession is one life of a server as it tells of it. Its exported methods are the calls of net/rpc.
type serverSession struct {
	controlPlane *controlPlane
	ctx          context.Context

	mu                   sync.Mutex
	server               *server // nil before it has said who it is
	pid                  int
	version              string
	firstIncarnation     bool
	terminationRequested bool
	attempts             map[int64]*observedAttempt
}

// Hello begins the life.
func (l *serverSession) Hello(hello HelloRequest, welcome *HelloReply) error {
	number, ok := l.controlPlane.serverByUnit[hello.Unit]
	if !ok {
		return fmt.Errorf("no server %q", hello.Unit)
	}
	l.mu.Lock()
	l.server, l.pid, l.version, l.firstIncarnation = l.controlPlane.fleet.servers[number], hello.PID, hello.Version, l.controlPlane.fleet.startOffset.Load() == 0
	l.mu.Unlock()
	welcome.First = l.firstIncarnation
	l.controlPlane.processStarted(hello.Unit, hello.PID, hello.Version)
	return nil
}

// identified is the server, an error before it has said so.
func (l *serverSession) identified() (*server, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return nil, fmt.Errorf("no hello")
	}
	return l.server, nil
}

func (l *serverSession) disconnected() {
	server, err := l.identified()
	if err != nil {
		return
	}
	now := l.controlPlane.fleet.now()
	l.mu.Lock()
	attempts, terminationRequested := l.attempts, l.terminationRequested
	l.attempts = map[int64]*observedAttempt{}
	l.mu.Unlock()
	for _, attempt := range attempts {
		attempt.endedAt(now, connectionClosed)
	}
	l.controlPlane.serverExited(server, terminationRequested)
}

// Ready tells that the process answers the platform's ready check.
func (l *serverSession) Ready(int, *int) error {
	server, err := l.identified()
	if err != nil {
		return err
	}
	l.controlPlane.checker.ReadinessChanged(l.controlPlane.now(), server.plan.UID, incarnationID(l.pid), true)
	l.controlPlane.serverReady(server, l.version, l.firstIncarnation)
	return nil
}

// Ends tells that the process was told to end.
func (l *serverSession) Ends(int, *int) error {
	server, err := l.identified()
	if err != nil || l.controlPlane.finished.Load() {
		return err
	}
	l.mu.Lock()
	l.terminationRequested = true
	l.mu.Unlock()
	l.controlPlane.checker.TerminationRequested(l.controlPlane.now(), server.plan.UID, incarnationID(l.pid))
	return nil
}

// Begin tells of an attempt and is answered with what its request is.
func (l *serverSession) Begin(begin BeginRequest, begun *BeginReply) error {
	server, err := l.identified()
	if err != nil {
		return err
	}
	attempt, known := l.controlPlane.fleet.recordAttempt(server.number, begin.ID, 0, time.Unix(0, begin.First), time.Unix(0, begin.Last))
	l.mu.Lock()
	l.attempts[begin.Call] = attempt
	l.mu.Unlock()
	if begun.Known = known; known {
		begun.Job = attempt.job()
		begun.Job.Tenant = l.controlPlane.fleet.plan.Tenant(attempt.sidecar)
		server.mu.Lock()
		begun.Job.WorkMS *= server.model.Slowdown
		begun.Job.FailImmediately = rand.Float64() < server.model.ErrorShare
		server.mu.Unlock()
	}
	return nil
}

func (l *serverSession) attempt(call int64) (*observedAttempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if attempt := l.attempts[call]; attempt != nil {
		return attempt, nil
	}
	return nil, fmt.Errorf("no attempt %d", call)
}

// Pass answers once something has gone its way.
func (l *serverSession) Pass(transit TransitRequest, delivered *bool) error {
	attempt, err := l.attempt(transit.Call)
	if err != nil {
		return err
	}
	if transit.Back {
		*delivered = attempt.deliverResponse(l.ctx)
	} else {
		*delivered = attempt.deliverRequest(l.ctx, transit.Fresh)
	}
	return nil
}

// Over ends an attempt.
func (l *serverSession) Over(report AttemptEndReport, _ *int) error {
	l.mu.Lock()
	attempt := l.attempts[report.Call]
	delete(l.attempts, report.Call)
	l.mu.Unlock()
	if attempt != nil {
		attempt.endedAt(l.controlPlane.fleet.millisecondsAt(time.Unix(0, report.At)), report.How)
	}
	return nil
}

// Made tells of an answer, before it leaves.
func (l *serverSession) Made(call int64, _ *int) error {
	attempt, err := l.attempt(call)
	if err == nil {
		attempt.responseProduced()
	}
	return err
}

// Seen answers whether the server's group has had an effect.
func (l *serverSession) Seen(query EffectQuery, seen *bool) error {
	server, err := l.identified()
	if err != nil || query.Class < 0 || query.Class >= len(l.controlPlane.fleet.plan.Classes) {
		return err
	}
	*seen = l.controlPlane.fleet.effects.CheckAndRecord(l.controlPlane.fleet.now(), server.plan, &l.controlPlane.fleet.plan.Classes[query.Class], query.Class, query.Effect)
	return nil
}

// Ran tells that a request's work is done.
func (l *serverSession) Ran(report ExecutionReport, _ *int) error {
	server, err := l.identified()
	if err != nil {
		return err
	}
	at := l.controlPlane.fleet.millisecondsAt(time.Unix(0, report.At))
	l.controlPlane.fleet.checker.RequestExecuted(at, report.Request, server.number, report.Effect)
	l.controlPlane.checker.WorkDone(at, server.plan.UID, hashKey(report.Key), report.Work, !report.Met)
	return nil
}

// Fell tells that the server was pushed over.
func (l *serverSession) Fell(report OverloadReport, _ *int) error {
	server, err := l.identified()
	if err == nil {
		l.controlPlane.fleet.checker.ServerOverloaded(l.controlPlane.fleet.millisecondsAt(time.Unix(0, report.At)), server.number, &report.Fall)
	}
	return err
}

// Count counts what the server has met.
func (l *serverSession) Count(delta lab.Counts, _ *int) error {
	l.controlPlane.fleet.recorder.AddCounts(func(counts *lab.Counts) {
		counts.HealthChecks += delta.HealthChecks
		counts.Handshakes += delta.Handshakes
	})
	return nil
}
