package live

import (
	"context"
	"fmt"
	"net"

	"milldeck/internal/lab"
)

// server is the stand-in for one server in the lab's process. It has a port for each sidecar, which identifies the
// sidecar of a connection and allows the link between the two to be partitioned.
type server struct {
	frontend
	fleet   *fleet
	ports   []*port // by sidecar
	bootMS  float64 // of the current incarnation, in the run's time; 0 if it started before the run
	version string  // of the server's process, if a supervisor has started one
}

// newServer returns a server of the plan that has not been started.
func (f *fleet) newServer(number int) *server {
	server := &server{fleet: f}
	model := lab.NewServer(f.plan, number, f.effects)
	answersHealthChecks := f.plan.Experiment.Limits.AllowHealthChecks
	server.frontend = newFrontend(server, number, &f.plan.Servers[number], model, answersHealthChecks)
	for sidecar := range f.plan.Sidecars {
		server.ports = append(server.ports, &port{
			address: f.addresses.server(server.plan.AddressSlot, sidecar),
			accept:  func(connection net.Conn) { server.serveConnection(connection, sidecar) },
		})
		if f.registryService != nil {
			break // the registry publishes one address for all sidecars; the request ID identifies the sidecar
		}
	}
	return server
}

// start starts an incarnation and opens the server's ports.
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

// listen opens the server's ports.
func (s *server) listen() error {
	for _, port := range s.ports {
		if err := port.open(); err != nil {
			return fmt.Errorf("server %d: %w", s.number, err)
		}
	}
	return nil
}

// exit models the exit of the server's process: it resets the connections, and new ones are refused.
func (s *server) exit() error {
	if s.fleet.registryService != nil {
		s.fleet.registryService.leases.Remove(s.plan.UID) // the lease is no longer renewed
	}
	err := s.refuse()
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	s.resetConnections()
	return err
}

// refuse makes the server's ports refuse new connections.
func (s *server) refuse() error {
	for _, port := range s.ports {
		if err := port.refuse(); err != nil {
			return fmt.Errorf("server %d: %w", s.number, err)
		}
	}
	return nil
}

// close ends the server with the run.
func (s *server) close() {
	for _, port := range s.ports {
		port.close()
	}
	s.resetConnections()
}

// setSilent makes the server's machine unreachable, or reachable again.
func (s *server) setSilent(silent bool) error {
	for _, port := range s.ports {
		if err := port.setSilent(silent); err != nil {
			return fmt.Errorf("server %d: %w", s.number, err)
		}
	}
	return nil
}

// The following methods implement host: they pass the frontend's reports to the run's checker and recorder.

func (s *server) runContext() context.Context { return s.fleet.ctx }

func (s *server) now() float64 { return s.fleet.now() }

func (s *server) recordLateness(ms float64) { s.fleet.recorder.RecordLateness(ms) }

func (s *server) addCounts(apply func(*lab.Counts)) { s.fleet.recorder.AddCounts(apply) }

func (s *server) jobCompleted(completion lab.JobCompletion) {
	s.fleet.checker.RequestExecuted(completion.At, completion.Request, s.number, completion.EffectApplied)
}

func (s *server) overloaded(now float64, overload *lab.SlowStartOverload) {
	s.fleet.checker.ServerOverloaded(now, s.number, overload)
	logFaultFailure("exit of an overloaded server", s.exit())
	s.fleet.removeAfterSilence(s)
}

func (s *server) pathTo(sidecar int) networkPath {
	return &modelledPath{fleet: s.fleet, server: s.number, sidecar: sidecar}
}

func (s *server) beginAttempt(requestID uint64, sidecar int, received receivedRequest) (serverAttempt, bool) {
	return s.fleet.recordAttempt(s.number, requestID, sidecar, received.firstByteAt, received.lastByteAt)
}
