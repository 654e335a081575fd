package live

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milldeck/internal/lab"
)

const (
	keepAliveInterval = 2 * time.Second         // time without a change after which a watch sends an empty line
	oldAddressGrace   = 1500 * time.Millisecond // time after which a relocated agent closes the watches at its old address
	maxHistory        = 4096                    // number of changes retained for watches that resume at an older revision
)

// endpoint is one entry of the endpoint list, as the platform's discovery protocol encodes it.
type endpoint struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

type endpointList struct {
	Revision int64      `json:"rev"`
	Complete bool       `json:"all"`
	Targets  []endpoint `json:"targets"`
}

// The states of an endpoint in the discovery protocol.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

// endpointChange is one change that discovery has sent to an agent.
type endpointChange struct {
	revision int64
	server   int
	endpoint endpoint
}

// agent is the stand-in for the discovery agent on one sidecar's machine. It serves the changes that it has received,
// and receives none while discovery is down. In an experiment with the registry the stand-in serves nothing, and mirrors
// what the real agent has sent to the sidecar.
type agent struct {
	fleet   *fleet
	sidecar int // number

	mu          sync.Mutex
	revision    int64
	endpoints   map[int]endpoint // by server, without removed servers
	knownBootMS map[int]float64
	history     []endpointChange
	pending     []endpointChange
	changed     chan struct{}
	httpServer  *http.Server
	relocations int
	deliveries  chan delivery
}

// delivery is a change in flight to an agent.
type delivery struct {
	dueMS float64 // time of the run at which it arrives
	endpointChange
}

// maxDeliveries is the number of changes in flight to an agent beyond which publishing blocks.
const maxDeliveries = 1 << 14

func newAgent(fleet *fleet, sidecar int) *agent {
	return &agent{
		fleet: fleet, sidecar: sidecar, revision: 1,
		endpoints: map[int]endpoint{}, knownBootMS: map[int]float64{},
		changed: make(chan struct{}), deliveries: make(chan delivery, maxDeliveries),
	}
}

// listen serves the discovery protocol at the agent's current address.
func (a *agent) listen() error {
	listener, err := net.Listen("tcp4", a.address())
	if err != nil {
		return fmt.Errorf("discovery of sidecar %d: %w", a.sidecar, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serve)
	a.httpServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	server := a.httpServer
	go func() { _ = server.Serve(listener) }() // Serve returns when the HTTP server is closed, which is no failure
	return nil
}

// address returns the address at which the agent listens. Each relocation switches to the other of two addresses.
func (a *agent) address() string { return a.fleet.addresses.discovery(a.sidecar, a.relocations%2) }

// relocate moves the agent to its other address. The old address accepts no new connections, and its watches are closed
// after oldAddressGrace.
func (a *agent) relocate() error {
	previous := a.httpServer
	a.relocations++
	if err := a.listen(); err != nil {
		return err
	}
	// Shutdown closes the listener at once and waits for the watches. They end only with the Close below.
	ctx, cancel := context.WithTimeout(context.Background(), oldAddressGrace)
	go func() {
		defer cancel()
		if previous.Shutdown(ctx) != nil {
			_ = previous.Close() // Shutdown has closed the listener: this closes the watches only
		}
	}()
	return nil
}

func (a *agent) close() {
	if a.httpServer != nil {
		_ = a.httpServer.Close() // the run is over: nothing depends on the result
	}
}

// isUnreachable reports whether discovery cannot reach the agent.
func (a *agent) isUnreachable() bool {
	link := a.fleet.network.state(lab.LinkEnd{Kind: lab.DiscoveryEnd}, sidecarEnd(a.sidecar))
	return link.partitioned || a.fleet.discoveryDown.Load()
}

// receiveChanges receives changes at their arrival times, in order, until the run ends.
func (a *agent) receiveChanges() {
	for {
		select {
		case <-a.fleet.ctx.Done():
			return
		case next := <-a.deliveries:
			if !sleep(a.fleet.ctx, milliseconds(next.dueMS-a.fleet.now())) {
				return
			}
			a.mu.Lock()
			a.pending = append(a.pending, next.endpointChange)
			a.mu.Unlock()
			a.applyPending()
		}
	}
}

// applyPending applies the received changes and wakes the watches, unless discovery is unreachable.
func (a *agent) applyPending() {
	if a.isUnreachable() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		return
	}
	for _, change := range a.pending {
		a.revision = max(a.revision, change.revision)
		if change.endpoint.State == stateGone {
			delete(a.endpoints, change.server)
		} else {
			a.endpoints[change.server] = change.endpoint
		}
		a.knownBootMS[change.server] = change.endpoint.BootMS
		a.history = append(a.history, change)
	}
	if excess := len(a.history) - maxHistory; excess > 0 {
		a.history = a.history[excess:]
	}
	a.pending = nil
	close(a.changed)
	a.changed = make(chan struct{})
}

// completeList returns the complete endpoint list. The caller holds the lock.
func (a *agent) completeList() endpointList {
	complete := endpointList{Revision: a.revision, Complete: true, Targets: []endpoint{}}
	for i := range a.fleet.servers {
		if entry, ok := a.endpoints[i]; ok {
			complete.Targets = append(complete.Targets, entry)
		}
	}
	return complete
}

// changesSince returns the newest entry of each server that changed after a revision, or the complete list if the
// history does not reach back to the revision. The map has the servers of which the list notifies the reader; the value
// is true for a ready server. The caller holds the lock.
func (a *agent) changesSince(revision int64) (endpointList, map[int]bool) {
	notified := map[int]bool{}
	if revision <= 0 || revision > a.revision || len(a.history) > 0 && revision < a.history[0].revision-1 {
		for i := range a.fleet.servers {
			if _, known := a.knownBootMS[i]; known {
				notified[i] = a.endpoints[i].State == stateReady
			}
		}
		return a.completeList(), notified
	}
	newest := map[int]endpoint{}
	for _, change := range a.history {
		if change.revision > revision {
			newest[change.server] = change.endpoint
		}
	}
	changes := endpointList{Revision: a.revision, Targets: []endpoint{}}
	for i := range a.fleet.servers {
		if entry, ok := newest[i]; ok {
			changes.Targets = append(changes.Targets, entry)
			notified[i] = entry.State == stateReady
		}
	}
	return changes, notified
}

// serve answers a poll with the complete list, and a watch with the changes.
func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("watch") == "" {
		a.mu.Lock()
		current, notified := a.changesSince(0)
		a.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(current) == nil {
			a.notifyChecker(notified)
		}
		return
	}
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if query.Get("after") != "" && err != nil {
		http.Error(w, "after is no number", http.StatusBadRequest)
		return
	}
	a.watch(w, r, after)
}

// watch writes a line for each change after a revision, and an empty line after keepAliveInterval without a change.
func (a *agent) watch(w http.ResponseWriter, r *http.Request, after int64) {
	controller := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	first := true
	for {
		a.mu.Lock()
		changes, notified := a.changesSince(after)
		changed := a.changed
		a.mu.Unlock()
		if changes.Complete || len(changes.Targets) > 0 || first {
			line, err := json.Marshal(changes)
			if err != nil {
				return
			}
			if _, err := w.Write(append(line, '\n')); err != nil || controller.Flush() != nil {
				return
			}
			a.notifyChecker(notified)
			after, first = changes.Revision, false
			keepAlive.Reset(keepAliveInterval)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-keepAlive.C:
			if a.isUnreachable() {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil || controller.Flush() != nil {
				return
			}
		}
	}
}

// notifyChecker reports to the checker the servers of which the sidecar has been notified.
func (a *agent) notifyChecker(notified map[int]bool) {
	now := a.fleet.now()
	for server, isReady := range notified {
		a.fleet.checker.EndpointNotified(now, a.sidecar, server, isReady)
	}
}

// endpointOf returns a server's entry in the endpoint list of one sidecar.
func (f *fleet) endpointOf(server *server, sidecar int, state string) endpoint {
	bootMS := 0.0
	if server.bootMS > 0 {
		bootMS = f.unixMS(server.bootMS)
	}
	return endpoint{
		UID: server.plan.UID, Endpoint: f.addresses.server(server.plan.AddressSlot, sidecar),
		Zone:  f.plan.Experiment.Zones[server.plan.Zone],
		Model: server.plan.Spec.Kind, PodGroup: server.plan.Cell, State: state, Capacity: 1, BootMS: bootMS,
	}
}

// publishState sends a server's state to every agent. Each agent receives states in order, after the agent's own delay.
func (f *fleet) publishState(server *server, state string) {
	if f.registryService != nil {
		f.registryService.publishState(server, state)
		return
	}
	f.publishedMu.Lock()
	defer f.publishedMu.Unlock()
	f.revision++
	f.publishedStates[server.number] = state
	for sidecar, agent := range f.agents {
		notification := endpointChange{f.revision, server.number, f.endpointOf(server, sidecar, state)}
		dueMS := f.now() + f.plan.Sidecars[sidecar].NotificationDelayMS + f.discoveryDelayMS
		select {
		case agent.deliveries <- delivery{dueMS, notification}:
		case <-f.ctx.Done():
		}
	}
}

// publishedState returns a server's state in discovery.
func (f *fleet) publishedState(server *server) string {
	f.publishedMu.Lock()
	defer f.publishedMu.Unlock()
	return f.publishedStates[server.number]
}

// knowsIncarnation reports whether a sidecar has been notified of a server's current incarnation.
func (f *fleet) knowsIncarnation(sidecar, server int) bool {
	agent, target := f.agents[sidecar], f.servers[server]
	target.mu.Lock()
	bootMS := target.bootMS
	target.mu.Unlock()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	knownBootMS, ok := agent.knownBootMS[server]
	return ok && (bootMS == 0 || knownBootMS == f.unixMS(bootMS))
}
