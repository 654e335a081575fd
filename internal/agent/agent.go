package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"milldeck/internal/registry"
)

const (
	// maxListAge is the age of a replica's list from which on another is tried.
	maxListAge = 3 * time.Second
	// registryHeartbeatTimeout is how long ago the registry must have spoken for this agent's silence to be news.
	registryHeartbeatTimeout = 4 * time.Second
	// confirmationDelay is between two looks at a list that is held, where there is but one replica to ask.
	confirmationDelay  = 2 * time.Second
	listRequestTimeout = 3 * time.Second
	saveInterval       = 200 * time.Millisecond
	requestReadTimeout = 3 * time.Second

	defaultMaxLossFraction = 0.5
	defaultFleetSize       = 100
)

// Options say how an agent runs.
type Options struct {
	Listen          string // where the sidecar asks; loopback only
	Replicas        []string
	ListFile        string  // file for the last good list; "" keeps none
	FleetSize       int     // how many agents there are, about
	MaxLossFraction float64 // of the ready servers that a list may take away unconfirmed
	// PlacementFile is the file for the last placement; "" keeps none.
	PlacementFile string
	// Reports are addresses that sidecars' reports are passed on to, each to all of them; loopback only.
	ReportAddresses []string
	Sidecar         *SidecarOptions // the sidecar to be registered; nil: none is
}

// Agent follows the registry and serves one machine's sidecar.
type Agent struct {
	opts       Options
	client     *registry.Client
	hub        *registry.Hub
	server     *http.Server
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu        sync.Mutex
	list      instanceList
	listDirty bool // the saved list is out of date

	startedAt       time.Time
	registryHeardNS atomic.Int64 // when the registry last spoke, ns since began; 0: never
	listKnown       atomic.Bool

	placement *placementCache
	forwarder *reportForwarder

	metricsRegistry  *prometheus.Registry
	replicaSwitches  prometheus.Counter
	unconfirmedLists prometheus.Counter
	epochChanges     prometheus.Counter
}

// errReplicaStale ends a watch of a replica that hears of no leader.
var errReplicaStale = errors.New("its list is out of date")

// Start starts an agent.
func Start(opts Options) (*Agent, error) {
	if err := registry.CheckLoopback("listen", opts.Listen); err != nil {
		return nil, err
	}
	if opts.Sidecar != nil {
		if err := opts.Sidecar.Validate(); err != nil {
			return nil, fmt.Errorf("sidecar.%w", err)
		}
	}
	forwarder, err := newReportForwarder(opts.ReportAddresses)
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
	a := &Agent{opts: opts, client: client, hub: registry.NewHub(), startedAt: time.Now(), list: instanceList{maxLossFraction: opts.MaxLossFraction}}
	a.forwarder = forwarder
	a.placement = newPlacementCache(opts.PlacementFile, func() (wallMS, monoMS int64) {
		return time.Now().UnixMilli(), time.Since(a.startedAt).Milliseconds()
	})
	a.registerMetrics()
	if opts.ListFile != "" {
		switch err := a.list.load(opts.ListFile); {
		case err != nil:
			slog.Warn("the saved list is not used", "file", opts.ListFile, "error", err)
		case a.list.rev != 0:
			var changes listChanges
			for _, target := range a.list.targets {
				changes.upserted = append(changes.upserted, registry.Instance{Target: target})
			}
			if err := a.publish(changes); err != nil {
				return nil, err
			}
			slog.Info("serves the saved list until a replica answers", "rev", a.list.rev, "servers", len(a.list.targets))
		}
	}
	if a.listener, err = net.Listen("tcp", opts.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveInstances)
	mux.HandleFunc("GET /registry/placement", a.servePlacement)
	mux.HandleFunc("POST /registry/report", a.forwarder.serve)
	mux.HandleFunc("GET /health/ready", a.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.metricsRegistry, promhttp.HandlerOpts{}))
	a.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: requestReadTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	a.background.Go(func() {
		if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("no longer served", "error", err)
		}
	})
	a.background.Go(a.followList)
	a.background.Go(a.followPlacement)
	a.background.Go(a.saveLoop)
	for _, address := range opts.ReportAddresses {
		a.background.Go(func() { a.forwarder.forward(a.ctx, address) })
	}
	if opts.Sidecar != nil {
		a.background.Go(func() { a.maintainSidecarRegistration(*opts.Sidecar) })
	}
	return a, nil
}

// Addr is where the sidecar asks.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Close ends the agent.
func (a *Agent) Close() error {
	a.cancel()
	err := a.server.Close()
	a.background.Wait()
	a.client.Close()
	a.forwarder.client.CloseIdleConnections()
	return err
}

// registrySilence is how long ago the registry last spoke.
func (a *Agent) registrySilence() time.Duration {
	return time.Since(a.startedAt) - time.Duration(a.registryHeardNS.Load())
}

// followList follows the list for as long as the agent runs, beginning with any replica.
func (a *Agent) followList() { a.followListFrom(rand.IntN(len(a.opts.Replicas))) }

func (a *Agent) followListFrom(replicaIndex int) {
	a.newReplicaFollower().run(replicaIndex, func(replicaIndex int, replica string, markAlive func()) error {
		a.mu.Lock()
		rev, epoch := a.list.rev, a.list.epoch
		a.mu.Unlock()
		return a.client.WatchEndpoints(a.ctx, replica, rev, epoch, func(list *registry.EndpointList, age time.Duration) error {
			if list != nil {
				if err := a.handleList(list, replicaIndex); err != nil {
					return err
				}
				if age > maxListAge && len(a.opts.Replicas) > 1 {
					return errReplicaStale
				}
			}
			markAlive()
			a.registryHeardNS.Store(int64(time.Since(a.startedAt)))
			return nil
		})
	})
}

// handleList takes over what a replica told; one list that is held is confirmed by another replica first.
func (a *Agent) handleList(list *registry.EndpointList, replicaIndex int) error {
	result, err := a.applyList(list, false)
	if err != nil || result == listApplied || result == listOutdated {
		return err
	}
	if result == listUnconfirmed {
		a.unconfirmedLists.Inc()
		slog.Warn("a list that would take most servers away, or begins another history, is held for confirmation",
			"replica", a.opts.Replicas[replicaIndex%len(a.opts.Replicas)], "rev", list.Revision, "epoch", list.Epoch)
	}
	otherReplica := a.opts.Replicas[(replicaIndex+1)%len(a.opts.Replicas)]
	if len(a.opts.Replicas) == 1 {
		select {
		case <-a.ctx.Done():
			return a.ctx.Err()
		case <-time.After(confirmationDelay):
		}
	}
	confirmation, err := a.fetchList(otherReplica)
	if err != nil {
		return fmt.Errorf("not confirmed by %s: %w", otherReplica, err)
	}
	if confirmation.Epoch != list.Epoch || confirmation.Revision < list.Revision {
		return fmt.Errorf("not confirmed: %s has revision %d of epoch %d, told were %d of %d", otherReplica, confirmation.Revision, confirmation.Epoch, list.Revision, list.Epoch)
	}
	_, err = a.applyList(confirmation, true)
	return err
}

// fetchList reads a replica's whole list.
func (a *Agent) fetchList(replica string) (*registry.EndpointList, error) {
	ctx, cancel := context.WithTimeout(a.ctx, listRequestTimeout)
	defer cancel()
	client, err := registry.NewClient([]string{replica})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	list, err := client.List(ctx, false)
	return &list, err
}

func (a *Agent) applyList(list *registry.EndpointList, confirmed bool) (mergeResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	previousEpoch := a.list.epoch
	result, changes := a.list.merge(list, confirmed)
	if result != listApplied {
		return result, nil
	}
	if previousEpoch != 0 && previousEpoch != a.list.epoch {
		a.epochChanges.Inc()
		slog.Warn("the registry's history is another one now, as after a restore", "epoch", a.list.epoch, "rev", a.list.rev)
	}
	a.listDirty = true
	return result, a.publish(changes)
}

// publish hands changes to the sidecar's watches; the caller holds the lock, or is the only one.
func (a *Agent) publish(changes listChanges) error {
	if _, err := a.hub.Apply(a.list.servedRev, &registry.Record{Op: registry.OpMirror, Instances: changes.upserted, Refs: changes.removed}); err != nil {
		return err
	}
	a.listKnown.Store(true)
	return nil
}

// saveLoop saves the list and the placement soon after they have changed.
func (a *Agent) saveLoop() {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for stopping := false; !stopping; {
		select {
		case <-a.ctx.Done():
			stopping = true
		case <-ticker.C:
		}
		a.saveList()
		a.placement.saveIfDirty()
	}
}

func (a *Agent) saveList() {
	if a.opts.ListFile == "" {
		return
	}
	a.mu.Lock()
	dirty := a.listDirty
	a.listDirty = false
	data, err := []byte(nil), error(nil)
	if dirty {
		data, err = a.list.encode()
	}
	a.mu.Unlock()
	if dirty && err == nil {
		err = writeStateFile(a.opts.ListFile, data)
	}
	if err != nil {
		slog.Error("the list is not saved", "file", a.opts.ListFile, "error", err)
	}
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.listKnown.Load() {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// serveInstances speaks PROTOCOL's discovery. Without any list it has nothing to say.
func (a *Agent) serveInstances(w http.ResponseWriter, r *http.Request) {
	if !a.listKnown.Load() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	if query.Get("watch") == "" {
		if err := a.hub.WriteFullList(w); err != nil {
			slog.Debug("list not written", "error", err)
		}
		return
	}
	after, err := queryUint(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = a.hub.Watch(a.ctx, w, r, after, 0, func() bool { return a.registryHeardNS.Load() > 0 && a.registrySilence() < registryHeartbeatTimeout })
	if err != nil {
		slog.Debug("sidecar's watch ended", "error", err)
	}
}

// queryUint reads a query's figure; absent it is 0.
func queryUint(r *http.Request, name string) (uint64, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is no number", name, value)
	}
	return n, nil
}
