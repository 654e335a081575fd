package live

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"milldeck/internal/lab"
)

// listenForServers accepts the connections of server processes, which report to the lab.
func (c *controlPlane) listenForServers() error {
	listener, err := net.Listen("tcp4", c.labServiceAddress())
	if err != nil {
		return fmt.Errorf("listen for server processes: %w", err)
	}
	c.listener = listener
	c.background.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			c.background.Go(func() { c.serveConnection(connection) })
		}
	})
	return nil
}

// serveConnection serves the calls of one incarnation of a server until its process exits.
func (c *controlPlane) serveConnection(connection net.Conn) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	session := &serverSession{controlPlane: c, ctx: ctx, attempts: map[int64]*observedAttempt{}}
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(labService, session); err != nil {
		slog.Error("RPC service not registered", "error", err)
		return
	}
	// ServeConn waits for pending calls. Calls that wait for the modelled network are cancelled when the process exits.
	rpcServer.ServeConn(&monitoredConnection{connection, cancel})
	session.disconnected()
}

// monitoredConnection calls onDisconnect when a read fails: the process at the other end has exited.
type monitoredConnection struct {
	net.Conn
	onDisconnect func()
}

func (c *monitoredConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.onDisconnect()
	}
	return n, err
}

// serverSession is one incarnation of a server process, as reported by the process. Its exported methods are the methods
// of the RPC service "Lab", so their names are part of the protocol between a server process and the lab.
type serverSession struct {
	controlPlane *controlPlane
	ctx          context.Context

	mu                   sync.Mutex
	server               *server // nil before Hello
	pid                  int
	version              string
	firstIncarnation     bool
	terminationRequested bool
	attempts             map[int64]*observedAttempt
}

// Hello starts the incarnation. It has to be the first call.
func (s *serverSession) Hello(hello HelloRequest, reply *HelloReply) error {
	number, ok := s.controlPlane.serverByUnit[hello.Unit]
	if !ok {
		return fmt.Errorf("no server %q", hello.Unit)
	}
	fleet := s.controlPlane.fleet
	s.mu.Lock()
	s.server, s.pid, s.version = fleet.servers[number], hello.PID, hello.Version
	s.firstIncarnation = fleet.startOffset.Load() == 0
	s.mu.Unlock()
	reply.First = s.firstIncarnation
	s.controlPlane.processStarted(hello.Unit, hello.PID, hello.Version)
	return nil
}

// identified returns the server, or an error before Hello.
func (s *serverSession) identified() (*server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil, errors.New("the first call has to be Hello")
	}
	return s.server, nil
}

// disconnected ends the incarnation and its open attempts.
func (s *serverSession) disconnected() {
	server, err := s.identified()
	if err != nil {
		return
	}
	now := s.controlPlane.fleet.now()
	s.mu.Lock()
	attempts, terminationRequested := s.attempts, s.terminationRequested
	s.attempts = map[int64]*observedAttempt{}
	s.mu.Unlock()
	for _, attempt := range attempts {
		attempt.endedAt(now, resultConnectionClosed)
	}
	s.controlPlane.serverExited(server, terminationRequested)
}

// Ready reports that the process answers the supervisor's readiness check.
func (s *serverSession) Ready(int, *int) error {
	server, err := s.identified()
	if err != nil {
		return err
	}
	s.controlPlane.checker.ReadinessChanged(s.controlPlane.now(), server.plan.UID, incarnationID(s.pid), true)
	s.controlPlane.serverReady(server, s.version, s.firstIncarnation)
	return nil
}

// Ends reports that the process was requested to terminate.
func (s *serverSession) Ends(int, *int) error {
	server, err := s.identified()
	if err != nil || s.controlPlane.finished.Load() {
		return err
	}
	s.mu.Lock()
	s.terminationRequested = true
	s.mu.Unlock()
	s.controlPlane.checker.TerminationRequested(s.controlPlane.now(), server.plan.UID, incarnationID(s.pid))
	return nil
}

// Begin reports an attempt and returns what the lab knows of its request.
func (s *serverSession) Begin(begin BeginRequest, reply *BeginReply) error {
	server, err := s.identified()
	if err != nil {
		return err
	}
	fleet := s.controlPlane.fleet
	attempt, known := fleet.recordAttempt(server.number, begin.ID, 0, time.Unix(0, begin.First), time.Unix(0, begin.Last))
	s.mu.Lock()
	s.attempts[begin.Call] = attempt
	s.mu.Unlock()
	if !known {
		return nil
	}
	reply.Known = true
	reply.Job = attempt.job()
	reply.Job.Tenant = fleet.plan.Tenant(attempt.sidecar)
	server.mu.Lock()
	defer server.mu.Unlock()
	reply.Job.WorkMS *= server.model.Slowdown
	reply.Job.FailImmediately = rand.Float64() < server.model.ErrorShare
	return nil
}

// attempt returns the open attempt to which the server has assigned a number.
func (s *serverSession) attempt(call int64) (*observedAttempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt := s.attempts[call]; attempt != nil {
		return attempt, nil
	}
	return nil, fmt.Errorf("no attempt %d", call)
}

// Pass returns once a message has crossed the modelled network or is lost.
func (s *serverSession) Pass(transit TransitRequest, delivered *bool) error {
	attempt, err := s.attempt(transit.Call)
	if err != nil {
		return err
	}
	if transit.Back {
		*delivered = attempt.deliverResponse(s.ctx)
	} else {
		*delivered = attempt.deliverRequest(s.ctx, transit.Fresh)
	}
	return nil
}

// Over reports the end of an attempt.
func (s *serverSession) Over(report AttemptEndReport, _ *int) error {
	s.mu.Lock()
	attempt := s.attempts[report.Call]
	delete(s.attempts, report.Call)
	s.mu.Unlock()
	if attempt != nil {
		attempt.endedAt(s.controlPlane.fleet.millisecondsAt(time.Unix(0, report.At)), report.How)
	}
	return nil
}

// Made reports that a response is about to be sent.
func (s *serverSession) Made(call int64, _ *int) error {
	attempt, err := s.attempt(call)
	if err == nil {
		attempt.responseProduced()
	}
	return err
}

// Seen returns whether the effect has already been applied in the server's deduplication scope, and records it.
func (s *serverSession) Seen(query EffectQuery, applied *bool) error {
	server, err := s.identified()
	fleet := s.controlPlane.fleet
	if err != nil || query.Class < 0 || query.Class >= len(fleet.plan.Classes) {
		return err
	}
	class := &fleet.plan.Classes[query.Class]
	*applied = fleet.effects.CheckAndRecord(fleet.now(), server.plan, class, query.Class, query.Effect)
	return nil
}

// Ran reports the work of a completed request.
func (s *serverSession) Ran(report ExecutionReport, _ *int) error {
	server, err := s.identified()
	if err != nil {
		return err
	}
	fleet := s.controlPlane.fleet
	at := fleet.millisecondsAt(time.Unix(0, report.At))
	fleet.checker.RequestExecuted(at, report.Request, server.number, report.Effect)
	s.controlPlane.checker.WorkDone(at, server.plan.UID, hashKey(report.Key), report.Work, !report.Met)
	return nil
}

// Fell reports that the server was overloaded during slow start.
func (s *serverSession) Fell(report OverloadReport, _ *int) error {
	server, err := s.identified()
	if err != nil {
		return err
	}
	fleet := s.controlPlane.fleet
	fleet.checker.ServerOverloaded(fleet.millisecondsAt(time.Unix(0, report.At)), server.number, &report.Fall)
	return nil
}

// Count adds the server's counts of health checks and handshakes.
func (s *serverSession) Count(delta lab.Counts, _ *int) error {
	s.controlPlane.fleet.recorder.AddCounts(func(counts *lab.Counts) {
		counts.HealthChecks += delta.HealthChecks
		counts.Handshakes += delta.Handshakes
	})
	return nil
}
