package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"milldeck/internal/lab"
)

// server is the stand-in for one server within the lab's process. It has a port for each sidecar, so that it knows
// whose connection it holds and links between two parties can be cut.
type server struct {
	frontend
	fleet  *fleet
	ports  []*port // by sidecar
	bootMS float64 // ms; 0: from the start
	// version of its process, where a platform has started it
	version string
}

func (f *fleet) newServer(number int) *server {
	server := &server{fleet: f}
	server.frontend = newFrontend(server, number, &f.plan.Servers[number], lab.NewServer(f.plan, number, f.effects), f.plan.Experiment.Limits.AllowHealthChecks)
	for sidecar := range f.plan.Sidecars {
		server.ports = append(server.ports, &port{
			address: f.addresses.server(server.plan.AddressSlot, sidecar), accept: func(connection net.Conn) { server.serveConnection(connection, sidecar) },
		})
		if f.registryService != nil {
			break // the list service has one address for all; whose a request is, its id tells
		}
	}
	return server
}

// start opens the server's ports.
func (s *server) start(now float64, slowStart bool) error {
	s.mu.Lock()
	s.up = true
	s.model.Start(now, slowStart)
	if slowStart {
		s.bootMS = now
	}
	s.mu.Unlock()
	return s.listen()
}

func (s *server) listen() error {
	for _, port := range s.ports {
		if err := port.open(); err != nil {
			return fmt.Errorf("server %d: %w", s.number, err)
		}
	}
	return nil
}

// crash ends the process: its connections are reset, new ones refused.
func (s *server) crash() {
	if s.fleet.registryService != nil {
		s.fleet.registryService.leases.Remove(s.plan.UID) // nobody renews its lease any more
	}
	for _, port := range s.ports {
		port.close()
	}
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	s.resetConnections()
}

// setSilent makes its machine vanish from the network, or come back.
func (s *server) setSilent(silent bool) error {
	for _, port := range s.ports {
		if err := port.setSilent(silent); err != nil {
			return fmt.Errorf("server %d: %w", s.number, err)
		}
	}
	return nil
}

// The server is its front's host: it takes part in the lab's run itself.

func (s *server) runContext() context.Context { return s.fleet.ctx }

func (s *server) now() float64 { return s.fleet.now() }

func (s *server) recordLateness(ms float64) { s.fleet.recorder.RecordLateness(ms) }

func (s *server) addCounts(apply func(*lab.Counts)) { s.fleet.recorder.AddCounts(apply) }

func (s *server) jobCompleted(completion lab.JobCompletion) {
	s.fleet.checker.RequestExecuted(completion.At, completion.Request, s.number, completion.EffectApplied)
}

func (s *server) overloaded(now float64, overload *lab.SlowStartOverload) {
	s.fleet.checker.ServerOverloaded(now, s.number, overload)
	s.crash()
	s.fleet.removeAfterSilence(s)
}

func (s *server) pathTo(sidecar int) networkPath {
	return &sidecarPath{fleet: s.fleet, server: s.number, sidecar: sidecar}
}

func (s *server) beginAttempt(requestID uint64, sidecar int, received receivedRequest) (serverAttempt, bool) {
	return s.fleet.recordAttempt(s.number, requestID, sidecar, received.firstByteAt, received.lastByteAt)
}

// sidecarPath is the way between a sidecar and a server.
type sidecarPath struct {
	fleet           *fleet
	server, sidecar int
}

// latency is the delay from the sidecar's zone, one way.
func (l *sidecarPath) latency() time.Duration {
	delayMS := l.fleet.plan.Servers[l.server].DelayByZone[l.fleet.plan.Sidecars[l.sidecar].Zone]
	return milliseconds(delayMS * (1 + l.fleet.plan.Experiment.Network.Jitter*(2*rand.Float64()-1)))
}

func (l *sidecarPath) endpoints() (server, sidecar lab.Endpoint) {
	return lab.Endpoint{Kind: lab.ServerEndpoint, Index: l.server}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: l.sidecar}
}

func (l *sidecarPath) deliverRequest(ctx context.Context, newConnection bool) bool {
	server, sidecar := l.endpoints()
	oneWayTrips := 1.0
	if newConnection {
		oneWayTrips += 2 * handshakeRoundTrips
	}
	return l.fleet.network.transmit(ctx, sidecar, server, time.Duration(oneWayTrips*float64(l.latency())), rand.Float64())
}

func (l *sidecarPath) deliverResponse(ctx context.Context) bool {
	server, sidecar := l.endpoints()
	return l.fleet.network.transmit(ctx, server, sidecar, l.latency(), rand.Float64())
}

// observedAttempt is an attempt at a server, wherever that runs.
type observedAttempt struct {
	sidecarPath
	requestID uint64
	attempt   int64
	request   *sentRequest // nil: no client sent the request
}

// recordAttempt tells the judge of an attempt. It reports whether a client sent its request.
func (f *fleet) recordAttempt(server int, requestID uint64, sidecar int, firstByteAt, lastByteAt time.Time) (*observedAttempt, bool) {
	request, ok := f.sentRequests.Load(requestID)
	attempt := &observedAttempt{sidecarPath: sidecarPath{f, server, sidecar}, requestID: requestID, attempt: f.lastAttempt.Add(1)}
	if ok {
		attempt.request = request.(*sentRequest)
		attempt.sidecar = attempt.request.Sidecar
	}
	f.checker.AttemptReceived(f.millisecondsAt(lastByteAt), f.millisecondsAt(firstByteAt), requestID, attempt.attempt, attempt.sidecar, server)
	return attempt, ok
}

func (c *observedAttempt) job() lab.Job {
	request := c.request
	return lab.Job{
		Attempt: c.attempt, Request: c.requestID, Class: request.Class, Key: request.Key, EffectID: request.EffectID, WorkMS: request.WorkMS,
		SenderInformed: c.fleet.isInformed(c.sidecar, c.server),
	}
}

func (c *observedAttempt) ended(result string) { c.endedAt(c.fleet.now(), result) }

func (c *observedAttempt) endedAt(now float64, result string) {
	c.fleet.checker.AttemptEnded(now, c.requestID, c.attempt, result)
	c.fleet.recorder.AttemptDone(now, c.sidecar, c.server, c.fleet.isRetry(c.requestID), result)
}

func (c *observedAttempt) responseProduced() {
	c.fleet.checker.ResponseProduced(c.fleet.now(), c.requestID, c.server)
}
