package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"milldeck/balance"
)

const (
	// reservedDescriptors are for the listener, two watches, the log, the file of a reload and the runtime, with
	// room for connections that are just being closed.
	reservedDescriptors    = 24
	clientSocketFraction   = 0.5  // of the rest, for clients; servers have what is left
	persistentConnFraction = 0.25 // of all; the application holds a third for its requests, and some of it is left free

	memoryLimitFraction = 0.7   // of the limit; the rest is for what the runtime does not count
	gcPercent           = 300   // garbage is small beside the limit, and there is one core
	bodyMemoryFraction  = 0.125 // of the limit, for bodies in and out
	defaultMemoryMB     = 256   // MB assumed where there is no limit

	// After SIGTERM new connections come for up to 0.4 s, and the application goes on with those it has for
	// as long as they are open. SIGKILL comes no sooner than the longest deadline, of which no more than
	// maxDrainDeadline counts, and killGracePeriod later.
	drainAcceptWindow   = 500 * time.Millisecond
	maxDrainDeadline    = 3 * time.Second
	killGracePeriod     = 700 * time.Millisecond
	shutdownMargin      = 200 * time.Millisecond // before it all is answered
	finalResponseWindow = 150 * time.Millisecond // before that no connection is kept any more

	drainPollInterval = 20 * time.Millisecond
	reapInterval      = time.Second
)

// Sidecar is one running sidecar.
type Sidecar struct {
	config   *Config
	loop     *eventLoop
	frontend *frontend

	discoveryAddress          string // the address in force; Reload's alone, as is placement
	reloadable                configReloaded
	acceptWindow, serveWindow time.Duration
}

// New prepares a sidecar and binds its address.
func New(config *Config) (*Sidecar, error) {
	balancer, err := balance.New(config.settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	listener, err := net.Listen("tcp", config.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	availableSockets := config.Sockets - reservedDescriptors
	clientSockets := int(float64(availableSockets) * clientSocketFraction)
	upstreamSockets := availableSockets - clientSockets
	bodyMemory := &byteBudget{}
	bodyMemory.release(int(bodyMemoryFraction * float64(cmp.Or(config.MemoryMB, defaultMemoryMB)<<20)))
	loop := newEventLoop(config, balancer, newConnPool(config, upstreamSockets, bodyMemory))
	loop.discovery = newDiscoveryClient(config.DiscoveryAddress, loop.post, func(task func()) { loop.workers.Go(task) })
	loop.peers = listenPeers(config.peers)
	maxInFlight := upstreamSockets
	if config.maxOpenRequests > 0 {
		maxInFlight = min(maxInFlight, config.maxOpenRequests)
	}
	return &Sidecar{
		config: config, discoveryAddress: config.DiscoveryAddress, reloadable: configReloaded{config.PlacementAddress, config.Version}, loop: loop,
		acceptWindow: drainAcceptWindow, serveWindow: drainPeriod(config) - finalResponseWindow,
		frontend: &frontend{
			config: config, post: loop.post, listener: newClientListener(listener, clientSockets, int(persistentConnFraction*float64(config.Sockets))), requestIDs: newRecentRequestIDs(),
			bodyMemory: bodyMemory, maxInFlight: int64(maxInFlight), writeTimeout: writeTimeout, drainExpired: make(chan struct{}),
		},
	}, nil
}

// drainPeriod is how long after SIGTERM all that was taken has to be answered.
func drainPeriod(config *Config) time.Duration {
	longestDeadline := time.Duration(0)
	for i := range config.settings.Classes {
		longestDeadline = max(longestDeadline, durationFromMS(config.settings.Classes[i].Deadline))
	}
	return min(longestDeadline, maxDrainDeadline) + killGracePeriod - shutdownMargin
}

// ApplyRuntimeLimits tells the runtime what the configuration allows this process.
func ApplyRuntimeLimits(config *Config) {
	debug.SetGCPercent(gcPercent)
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(config.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	if config.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(config.Cores)))
	}
}

// Addr is the address where clients connect.
func (s *Sidecar) Addr() string { return s.frontend.listener.Addr().String() }

// Reload takes over what may change while the sidecar runs: where discovery and the placement are, and its label
// for reports. All else is for the next start. It is called by one goroutine, that of the signals.
func (s *Sidecar) Reload(config *Config) {
	if reloaded := (configReloaded{config.PlacementAddress, config.Version}); reloaded != s.reloadable {
		s.reloadable = reloaded
		slog.Info("reads the placement anew", "placement", reloaded.placementAddress, "version", reloaded.version)
		s.loop.post(reloaded)
	}
	if config.DiscoveryAddress == s.discoveryAddress {
		slog.Info("reloaded, discovery as before")
		return
	}
	slog.Info("reloaded", "discovery", config.DiscoveryAddress)
	s.discoveryAddress = config.DiscoveryAddress
	s.loop.post(discoveryAddressChanged{config.DiscoveryAddress})
}

// Run serves until ctx ends, goes on while clients still come, answers all it took and returns.
func (s *Sidecar) Run(ctx context.Context) error {
	loopCtx, stopLoop := context.WithCancel(context.Background())
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		s.loop.run(loopCtx)
	}()
	if transport := s.loop.peers; transport != nil {
		s.loop.workers.Go(func() { transport.runWriter(loopCtx) })
		s.loop.workers.Go(transport.runReader)
	}
	reaper := time.NewTicker(reapInterval)
	defer reaper.Stop()
	s.loop.workers.Go(func() {
		for {
			select {
			case <-loopCtx.Done():
				return
			case now := <-reaper.C:
				s.loop.pool.reap(now)
			}
		}
	})
	defer func() {
		stopLoop()
		<-loopDone
		s.loop.pool.closeAll()
	}()

	server := s.frontend.httpServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(s.frontend.listener) }()
	slog.Info("ready", "name", s.config.Name, "listen", s.Addr())
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(server, serveErr)
}

// drain goes on serving while the application uses its connections, up to shortly before the process may be
// killed, then ends them with their answers. Connections that wait for nothing hold it up no longer than new
// ones may come.
func (s *Sidecar) drain(server *http.Server, serveErr <-chan error) error {
	slog.Info("draining")
	deadline := time.Now().Add(s.serveWindow + finalResponseWindow)
	s.frontend.drainDeadline.Store(&deadline)
	deadlineTimer := time.AfterFunc(time.Until(deadline), func() { close(s.frontend.drainExpired) })
	defer deadlineTimer.Stop()
	time.Sleep(s.acceptWindow)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.frontend.listener.anyPersistent() && time.Until(deadline) > finalResponseWindow {
		<-ticker.C
	}
	if err := s.frontend.closeConnections(server, serveErr, deadline.Add(shutdownMargin/2)); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	slog.Info("drained")
	return nil
}
