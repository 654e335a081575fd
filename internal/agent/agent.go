// Package agent is the node agent beside a sidecar: it follows the registry's replicas and serves the endpoint list and
// the placement to the sidecar in PROTOCOL's discovery, forwards the sidecar's load reports and registers the sidecar
// with the registry.
//
// It owns the last good list and placement, cached in memory and in files, so that the sidecar is served also while no
// replica is reachable. It does not write to the list of instances and decides nothing about the fleet.
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
	// saveInterval is how soon a change of the list or the placement is saved.
	saveInterval = 200 * time.Millisecond
	// requestReadTimeout bounds the header of a request, and the body of a report.
	requestReadTimeout = 3 * time.Second
	maxHeaderBytes     = 16 << 10

	defaultMaxLossFraction = 0.5
	defaultFleetSize       = 100
)

// Options say how an agent runs.
type Options struct {
	Listen    string   // address for the sidecar's requests; loopback only
	Replicas  []string // HTTP addresses of the registry's replicas
	FleetSize int      // roughly how many agents there are: reconnects are spread over a time that grows with it; 0: 100
	// MaxLossFraction is the part of the ready instances that a list may remove without confirmation by a second
	// replica; 0: a half.
	MaxLossFraction float64
	ListFile        string          // where the last good list is saved; "": it is not
	PlacementFile   string          // where the last placement is saved; "": it is not
	ReportAddresses []string        // where load reports are forwarded, each to all of them; loopback only
	Sidecar         *SidecarOptions // the sidecar to register; nil: none
}

// Agent follows the registry and serves one machine's sidecar. It is safe for concurrent use.
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
	lastRegistryMessageNS atomic.Int64  // when the registry last sent anything, ns since startedAt; 0: never
	hub                   *registry.Hub // serves the list to watches

	placement *placementCache
	forwarder *reportForwarder
	metrics   metrics
}

var (
	// errReplicaStale ends the watch of a replica that lags behind.
	errReplicaStale = errors.New("the replica's state is out of date")
	// errReplicaUnready ends the watch of a replica that does not know the state yet.
	errReplicaUnready = errors.New("the replica has just started and knows no state yet")
)

// Start starts an agent. It returns once the agent listens, with the saved list and placement if there are any.
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

// newAgent checks the options and returns an agent that neither listens nor follows the registry yet.
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

// clock reads the wall clock in Unix ms, and the monotonic clock in ms since the agent's start.
func (a *Agent) clock() (wallMS, monotonicMS int64) {
	return time.Now().UnixMilli(), time.Since(a.startedAt).Milliseconds()
}

// Addr is the address for the sidecar's requests.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent and saves what has changed. The sidecar's registration is left to expire: see
// maintainSidecarRegistration.
func (a *Agent) Close() error {
	a.cancel()
	err := a.server.Close()
	a.background.Wait()
	a.client.Close()
	a.forwarder.client.CloseIdleConnections()
	return err
}

// saveLoop saves the list and the placement soon after they have changed, and a last time when ctx has ended.
func (a *Agent) saveLoop(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for stopping := false; !stopping; {
		select {
		case <-ctx.Done():
			stopping = true
		case <-ticker.C:
		}
		for _, state := range []*savedState{&a.listState, &a.placement.state} {
			if err := state.saveIfDirty(); err != nil {
				a.logger.Error("state file not saved", "file", state.path, "error", err)
			}
		}
	}
}
