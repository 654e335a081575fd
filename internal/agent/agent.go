// Package agent is the node agent beside a sidecar. It watches the registry's replicas, serves the endpoint list and the
// placement to the sidecar over the discovery interface of PROTOCOL, forwards the sidecar's load reports and registers the
// sidecar with the registry. PROTOCOL is the platform's wire protocol between sidecars, agents, servers and clients.
//
// The agent caches the last valid list and placement in memory and in files, so that it can serve the sidecar while no
// replica is reachable. It does not write to the list of instances and makes no decisions about the fleet.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/sockets"
)

const (
	// saveInterval bounds the delay between a change of the list or the placement and its write to the state file.
	saveInterval = 200 * time.Millisecond
	// finalSaveTimeout bounds how long an agent that ends tries to write its state files while the disk fails.
	finalSaveTimeout = 2 * time.Second
	// requestReadTimeout bounds the time to read the header of a request, and the time to read the body of a load report.
	requestReadTimeout = 3 * time.Second
	maxHeaderBytes     = 16 << 10

	defaultMaxLossFraction = 0.5
	defaultFleetSize       = 100
)

// Options configure an agent.
type Options struct {
	Listen    string   // address for the sidecar's requests; loopback only
	Replicas  []string // HTTP addresses of the registry's replicas
	FleetSize int      // approximate number of agents; the time over which reconnects are spread grows with it; 0: 100
	// MaxLossFraction is the fraction of the ready instances that a list may remove without confirmation by a second
	// replica; 0: one half.
	MaxLossFraction float64
	ListFile        string          // file for the last valid list; "": the list is not saved
	PlacementFile   string          // file for the last placement; "": the placement is not saved
	ReportAddresses []string        // each load report is forwarded to all of these addresses; loopback only
	Sidecar         *SidecarOptions // the sidecar to register; nil: none
}

// Agent watches the registry and serves one machine's sidecar. It is safe for concurrent use.
type Agent struct {
	opts      Options
	logger    *slog.Logger
	startedAt time.Time
	client    *registry.Client

	listener   net.Listener
	server     *http.Server
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu                    sync.Mutex
	list                  instanceList
	listState             savedState
	listKnown             atomic.Bool
	lastRegistryMessageNS atomic.Int64  // time of the registry's last message, in ns since startedAt; 0: none received
	hub                   *registry.Hub // serves the list and watches of it

	placement *placementCache
	forwarder *reportForwarder
	metrics   metrics
}

var (
	// errReplicaStale ends the watch of a replica whose state is older than maxListAge.
	errReplicaStale = errors.New("the replica's state is out of date")
	// errReplicaUnready ends the watch of a replica that has not loaded the registry's state yet.
	errReplicaUnready = errors.New("the replica has just started and has not loaded its state")
)

// Start loads the saved list and placement, if any, and starts an agent. It returns once the agent listens.
func Start(opts Options) (*Agent, error) {
	a, err := newAgent(opts)
	if err != nil {
		return nil, err
	}
	if err := a.loadList(); err != nil {
		return nil, err
	}
	if a.listener, err = sockets.Listen("tcp", opts.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.server = &http.Server{
		Handler:           a.routes(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: requestReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	a.background.Go(func() {
		if err := a.server.Serve(sockets.RetryAccept(a.listener)); !errors.Is(err, http.ErrServerClosed) {
			a.logger.Error("HTTP server failed", "error", err)
		}
	})
	a.background.Go(func() { a.followList(ctx) })
	a.background.Go(func() { a.followPlacement(ctx) })
	a.background.Go(func() { a.saveLoop(ctx) })
	for _, address := range opts.ReportAddresses {
		a.background.Go(func() { a.forwarder.forward(ctx, address) })
	}
	if opts.Sidecar != nil {
		a.background.Go(func() { a.maintainSidecarRegistration(ctx, *opts.Sidecar) })
	}
	return a, nil
}

// newAgent validates the options and returns an agent that has not started to listen or to watch the registry.
func newAgent(opts Options) (*Agent, error) {
	if err := registry.CheckLoopback("listen", opts.Listen); err != nil {
		return nil, err
	}
	if opts.Sidecar != nil {
		if err := opts.Sidecar.Validate(); err != nil {
			return nil, fmt.Errorf("sidecar.%w", err)
		}
	}
	logger := slog.With("component", "agent")
	forwarder, err := newReportForwarder(opts.ReportAddresses, logger)
	if err != nil {
		return nil, err
	}
	client, err := registry.NewClient(opts.Replicas)
	if err != nil {
		return nil, err
	}
	if opts.MaxLossFraction == 0 {
		opts.MaxLossFraction = defaultMaxLossFraction
	}
	if opts.FleetSize == 0 {
		opts.FleetSize = defaultFleetSize
	}
	a := &Agent{
		opts:      opts,
		logger:    logger,
		startedAt: time.Now(),
		client:    client,
		list:      instanceList{maxLossFraction: opts.MaxLossFraction},
		hub:       registry.NewHub(),
		forwarder: forwarder,
	}
	a.listState = savedState{path: opts.ListFile, mu: &a.mu, encode: a.list.encode}
	a.placement = newPlacementCache(opts.PlacementFile, a.clock, logger)
	a.registerMetrics()
	return a, nil
}

// clock returns the wall clock's time in Unix ms, and the monotonic time since the agent's start in ms.
func (a *Agent) clock() (wallMS, monotonicMS int64) {
	return time.Now().UnixMilli(), time.Since(a.startedAt).Milliseconds()
}

// Addr returns the address on which the agent listens for the sidecar's requests.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close stops the agent and saves unsaved changes. It leaves the sidecar's registration to expire, see
// maintainSidecarRegistration.
func (a *Agent) Close() error {
	a.cancel()
	err := a.server.Close()
	a.background.Wait()
	a.client.Close()
	a.forwarder.client.CloseIdleConnections()
	return err
}

// saveLoop saves changes of the list and the placement every saveInterval, and once more when ctx has ended.
func (a *Agent) saveLoop(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.saveFinally()
			return
		case <-ticker.C:
			a.saveChanges()
		}
	}
}

// saveFinally saves the changes before the agent ends. It retries for at most finalSaveTimeout.
func (a *Agent) saveFinally() {
	for deadline := time.Now().Add(finalSaveTimeout); !a.saveChanges() && time.Now().Before(deadline); {
		time.Sleep(saveInterval)
	}
}

// saveChanges writes the state files whose states have changed. It reports whether no write failed.
func (a *Agent) saveChanges() bool {
	saved := true
	for _, state := range []*savedState{&a.listState, &a.placement.state} {
		err := state.saveIfDirty()
		if err != nil {
			saved = false
		}
		if err != nil && !state.failing {
			a.logger.Error("state file not saved, trying again", "file", state.path, "error", err)
		}
		state.failing = err != nil
	}
	return saved
}
