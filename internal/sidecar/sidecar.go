package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"milldeck/balance"
	"milldeck/internal/sockets"
)

const (
	// reservedDescriptors covers the listener, two watches, the log, the configuration file during a reload and the
	// runtime, with a margin for connections that are being closed.
	reservedDescriptors    = 24
	clientSocketFraction   = 0.5  // of the descriptors that are not reserved; connections to servers use the rest
	persistentConnFraction = 0.25 // of all descriptors; keeps free a part of the third that the application may use

	gcPercent = 300 // the sidecar makes little garbage compared with the memory limit, and has one core

	// After SIGTERM new connections arrive for up to 0.4 s, and the application continues to use its open connections.
	// SIGKILL follows SIGTERM after at least the longest deadline of all classes, counted up to maxDrainDeadline, plus
	// killGracePeriod.
	drainAcceptWindow   = 500 * time.Millisecond
	maxDrainDeadline    = 3 * time.Second
	killGracePeriod     = 700 * time.Millisecond
	shutdownMargin      = 200 * time.Millisecond // between the drain deadline, at which all requests are answered, and SIGKILL
	finalResponseWindow = 150 * time.Millisecond // the end of a drain, in which each response closes its connection
	closeMargin         = shutdownMargin / 2     // between the end of clients that do not read or send nothing, and SIGKILL
	exitMargin          = 20 * time.Millisecond  // between the end of the last connection and SIGKILL
	// lateResponseWindow is how long after the end of other clients a response may still be written and delivered, if the
	// process was suspended at the drain deadline.
	lateResponseWindow = closeMargin - exitMargin

	drainPollInterval = 20 * time.Millisecond
	reapInterval      = time.Second
)

// Sidecar is one sidecar. New creates it, Run serves requests, and Reload changes its configuration while it runs.
type Sidecar struct {
	config   *Config
	loop     *eventLoop
	frontend *frontend

	// The configuration in force. Only Reload uses these fields.
	discoveryAddress string
	reloadable       configReloaded

	// After SIGTERM, new connections are accepted for at least acceptWindow and requests are served for at most serveWindow.
	acceptWindow, serveWindow time.Duration
}

// New creates a sidecar and binds its listen address. Errors name the setting or the address.
func New(config *Config) (*Sidecar, error) {
	balancer, err := balance.New(config.settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	listener, err := sockets.Listen("tcp", config.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	availableSockets := config.Sockets - reservedDescriptors
	clientSockets := int(float64(availableSockets) * clientSocketFraction)
	upstreamSockets := availableSockets - clientSockets
	memory := newMemoryPlan(config.MemoryMB)
	clientSockets = min(clientSockets, memory.maxClientConns)
	upstreamSockets = min(upstreamSockets, memory.maxUpstreamConns)
	requestMemory, responseMemory := newByteBudget(memory.requests), newByteBudget(memory.responses)
	maxInFlight := upstreamSockets
	if config.maxOpenRequests > 0 {
		maxInFlight = min(maxInFlight, config.maxOpenRequests)
	}
	loop := newEventLoop(config, balancer, newConnPool(config, upstreamSockets, responseMemory))
	loop.discovery = newDiscoveryClient(config.DiscoveryAddress, &config.settings, loop.post, func(task func()) { loop.workers.Go(task) })
	loop.discovery.monitor = loop.pool.guard.monitor
	loop.peers = listenPeers(config.peers)
	clients := newClientListener(listener, clientSockets, int(persistentConnFraction*float64(config.Sockets)))
	clients.memory = newByteBudget(memory.readAheadOfClients)
	clients.partialMemory = newByteBudget(memory.partialRequests)
	clients.processor = newProcessorBudget(config.Cores)
	clients.monitor = loop.pool.guard.monitor
	return &Sidecar{
		config:           config,
		loop:             loop,
		discoveryAddress: config.DiscoveryAddress,
		reloadable:       configReloaded{config.PlacementAddress, config.Version},
		acceptWindow:     drainAcceptWindow,
		serveWindow:      drainPeriod(config) - finalResponseWindow,
		frontend: &frontend{
			config:        config,
			post:          loop.post,
			listener:      clients,
			monitor:       loop.pool.guard.monitor,
			requestIDs:    newRecentRequestIDs(memory.requestIDs),
			requestMemory: requestMemory, responseMemory: responseMemory,
			maxInFlight:  int64(maxInFlight),
			writeTimeout: writeTimeout, lateResponseTimeout: schedulingAllowance,
			drainExpired: make(chan struct{}),
		},
	}, nil
}

// drainPeriod returns the time between the notice of SIGTERM and the drain deadline. The notice may be late by
// schedulingAllowance, and the process may be suspended once more just before SIGKILL, which shutdownMargin allows for.
func drainPeriod(config *Config) time.Duration {
	longestDeadline := time.Duration(0)
	for i := range config.settings.Classes {
		longestDeadline = max(longestDeadline, durationFromMS(config.settings.Classes[i].Deadline))
	}
	return min(longestDeadline, maxDrainDeadline) + killGracePeriod - schedulingAllowance - shutdownMargin
}

// ApplyRuntimeLimits sets the Go runtime's limits on memory and running threads for the whole process.
func ApplyRuntimeLimits(config *Config) {
	debug.SetGCPercent(gcPercent)
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(newMemoryPlan(config.MemoryMB).runtimeLimit)
	}
	if config.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(config.Cores)))
	}
}

// Addr returns the address that clients connect to.
func (s *Sidecar) Addr() string { return s.frontend.listener.Addr().String() }

// Reload applies the settings that may change while the sidecar runs: the addresses of discovery and of the placement, and
// the version label. All other settings take effect at the next start. Calls must not overlap.
func (s *Sidecar) Reload(config *Config) {
	if reloaded := (configReloaded{config.PlacementAddress, config.Version}); reloaded != s.reloadable {
		s.reloadable = reloaded
		slog.Info("placement configuration changed", "placement", reloaded.placementAddress, "version", reloaded.version)
		s.loop.post(reloaded)
	}
	if config.DiscoveryAddress == s.discoveryAddress {
		slog.Info(ReloadedMessage + ", discovery unchanged")
		return
	}
	slog.Info(ReloadedMessage, DiscoveryKey, config.DiscoveryAddress)
	s.discoveryAddress = config.DiscoveryAddress
	s.loop.post(discoveryAddressChanged{config.DiscoveryAddress})
}

// Run serves requests until ctx ends. Then it drains: it continues to serve while clients still send, responds to all
// requests and returns. An error means that serving failed.
func (s *Sidecar) Run(ctx context.Context) error {
	stop := s.startLoop()
	defer stop()
	server := s.frontend.httpServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(s.frontend.listener) }()
	slog.Info(ReadyMessage, "name", s.config.Name, ListenKey, s.Addr())
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(server, serveErr)
}

// startLoop starts the event loop and its helper goroutines. The returned function stops them and waits until they have
// ended.
func (s *Sidecar) startLoop() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.loop.run(ctx)
	}()
	if transport := s.loop.peers; transport != nil {
		s.loop.workers.Go(func() { transport.runWriter(ctx) })
		s.loop.workers.Go(transport.runReader)
	}
	s.loop.workers.Go(func() { s.reapIdle(ctx) })
	s.loop.workers.Go(func() { s.frontend.monitor.logPeriodically(ctx) })
	return func() {
		cancel()
		<-done
		s.loop.pool.closeAll()
	}
}

// reapIdle periodically closes connections to servers that have been idle for too long, until ctx ends.
func (s *Sidecar) reapIdle(ctx context.Context) {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.loop.pool.reap(now)
		}
	}
}

// drain serves requests while any open connection of the application has carried a request and may carry another, at most
// until finalResponseWindow before the drain deadline. Then it closes each connection after its response. A connection that
// has carried no request delays the drain only during acceptWindow, while new connections may still arrive.
func (s *Sidecar) drain(server *http.Server, serveErr <-chan error) error {
	slog.Info(DrainingMessage)
	deadline := time.Now().Add(s.serveWindow + finalResponseWindow)
	s.frontend.drainDeadline.Store(&deadline)
	s.frontend.listener.endPacing()
	deadlineTimer := time.AfterFunc(time.Until(deadline), func() { close(s.frontend.drainExpired) })
	defer deadlineTimer.Stop()
	time.Sleep(s.acceptWindow)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.frontend.listener.anyPersistent() && time.Until(deadline) > finalResponseWindow {
		<-ticker.C
	}
	if err := s.frontend.closeConnections(server, serveErr, deadline.Add(shutdownMargin-closeMargin)); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	s.frontend.monitor.logCounters()
	slog.Info(DrainedMessage)
	return nil
}
