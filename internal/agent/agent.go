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
	// staleAfter is the age of a replica's list from which on another is tried.
	staleAfter = 3 * time.Second
	// silentAfter is how long ago the registry must have spoken for this agent's silence to be news.
	silentAfter = 4 * time.Second
	// holdWait is between two looks at a list that is held, where there is but one replica to ask.
	holdWait  = 2 * time.Second
	askWait   = 3 * time.Second
	saveEvery = 200 * time.Millisecond
	headWait  = 3 * time.Second

	defaultShare = 0.5
	defaultFleet = 100
)

// Options say how an agent runs.
type Options struct {
	Listen   string // where the sidecar asks; loopback only
	Replicas []string
	Saved    string  // file for the last good list; "" keeps none
	Fleet    int     // how many agents there are, about
	Share    float64 // of the ready servers that a list may take away unconfirmed
	// SavedPlacement is the file for the last placement; "" keeps none.
	SavedPlacement string
	// Reports are addresses that sidecars' reports are passed on to, each to all of them; loopback only.
	Reports []string
	Home    *Home // the sidecar to be registered; nil: none is
}

// Agent follows the registry and serves one machine's sidecar.
type Agent struct {
	opts   Options
	client *registry.Client
	hub    *registry.Hub
	srv    *http.Server
	ln     net.Listener
	ctx    context.Context
	stop   context.CancelFunc
	around sync.WaitGroup

	mu    sync.Mutex
	core  core
	dirty bool // the saved list is out of date

	began   time.Time
	spoke   atomic.Int64 // when the registry last spoke, ns since began; 0: never
	hasList atomic.Bool

	places  *places
	reports *reports

	metrics *prometheus.Registry
	moves   prometheus.Counter
	helds   prometheus.Counter
	epochs  prometheus.Counter
}

// errStale ends a watch of a replica that hears of no leader.
var errStale = errors.New("its list is out of date")

// Start starts an agent.
func Start(opts Options) (*Agent, error) {
	if err := registry.Loopback("listen", opts.Listen); err != nil {
		return nil, err
	}
	if opts.Home != nil {
		if err := opts.Home.Check(); err != nil {
			return nil, fmt.Errorf("sidecar.%w", err)
		}
	}
	reports, err := newReports(opts.Reports)
	if err != nil {
		return nil, err
	}
	client, err := registry.NewClient(opts.Replicas)
	if err != nil {
		return nil, err
	}
	if opts.Share == 0 {
		opts.Share = defaultShare
	}
	if opts.Fleet == 0 {
		opts.Fleet = defaultFleet
	}
	a := &Agent{opts: opts, client: client, hub: registry.NewHub(), began: time.Now(), core: core{share: opts.Share}}
	a.reports = reports
	a.places = newPlaces(opts.SavedPlacement, func() (wallMS, monoMS int64) {
		return time.Now().UnixMilli(), time.Since(a.began).Milliseconds()
	})
	a.measure()
	if opts.Saved != "" {
		switch err := a.core.load(opts.Saved); {
		case err != nil:
			slog.Warn("the saved list is not used", "file", opts.Saved, "error", err)
		case a.core.rev != 0:
			var u update
			for _, t := range a.core.targets {
				u.set = append(u.set, registry.Instance{Target: t})
			}
			if err := a.tell(u); err != nil {
				return nil, err
			}
			slog.Info("serves the saved list until a replica answers", "rev", a.core.rev, "servers", len(a.core.targets))
		}
	}
	if a.ln, err = net.Listen("tcp", opts.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	a.ctx, a.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serve)
	mux.HandleFunc("GET /registry/placement", a.servePlacement)
	mux.HandleFunc("POST /registry/report", a.reports.serve)
	mux.HandleFunc("GET /health/ready", a.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.metrics, promhttp.HandlerOpts{}))
	a.srv = &http.Server{
		Handler: mux, ReadHeaderTimeout: headWait, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	a.around.Go(func() {
		if err := a.srv.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("no longer served", "error", err)
		}
	})
	a.around.Go(a.follow)
	a.around.Go(a.followPlacement)
	a.around.Go(a.keep)
	for _, to := range opts.Reports {
		a.around.Go(func() { a.reports.pass(a.ctx, to) })
	}
	if opts.Home != nil {
		a.around.Go(func() { a.register(*opts.Home) })
	}
	return a, nil
}

// Addr is where the sidecar asks.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close ends the agent.
func (a *Agent) Close() error {
	a.stop()
	err := a.srv.Close()
	a.around.Wait()
	a.client.Close()
	a.reports.http.CloseIdleConnections()
	return err
}

// silence is how long ago the registry last spoke.
func (a *Agent) silence() time.Duration { return time.Since(a.began) - time.Duration(a.spoke.Load()) }

// follow follows the list for as long as the agent runs, beginning with any replica.
func (a *Agent) follow() { a.followFrom(rand.IntN(len(a.opts.Replicas))) }

func (a *Agent) followFrom(at int) {
	a.follower().run(at, func(at int, replica string, spoke func()) error {
		a.mu.Lock()
		rev, epoch := a.core.rev, a.core.epoch
		a.mu.Unlock()
		return a.client.WatchReplica(a.ctx, replica, rev, epoch, func(l *registry.List, age time.Duration) error {
			if l != nil {
				if err := a.take(l, at); err != nil {
					return err
				}
				if age > staleAfter && len(a.opts.Replicas) > 1 {
					return errStale
				}
			}
			spoke()
			a.spoke.Store(int64(time.Since(a.began)))
			return nil
		})
	})
}

// take takes over what a replica told; one list that is held is confirmed by another replica first.
func (a *Agent) take(l *registry.List, from int) error {
	v, err := a.apply(l, false)
	if err != nil || v == applied || v == ignored {
		return err
	}
	if v == held {
		a.helds.Inc()
		slog.Warn("a list that would take most servers away, or begins another history, is held for confirmation",
			"replica", a.opts.Replicas[from%len(a.opts.Replicas)], "rev", l.Rev, "epoch", l.Epoch)
	}
	other := a.opts.Replicas[(from+1)%len(a.opts.Replicas)]
	if len(a.opts.Replicas) == 1 {
		select {
		case <-a.ctx.Done():
			return a.ctx.Err()
		case <-time.After(holdWait):
		}
	}
	second, err := a.ask(other)
	if err != nil {
		return fmt.Errorf("not confirmed by %s: %w", other, err)
	}
	if second.Epoch != l.Epoch || second.Rev < l.Rev {
		return fmt.Errorf("not confirmed: %s has revision %d of epoch %d, told were %d of %d", other, second.Rev, second.Epoch, l.Rev, l.Epoch)
	}
	_, err = a.apply(second, true)
	return err
}

// ask reads a replica's whole list.
func (a *Agent) ask(replica string) (*registry.List, error) {
	ctx, cancel := context.WithTimeout(a.ctx, askWait)
	defer cancel()
	one, err := registry.NewClient([]string{replica})
	if err != nil {
		return nil, err
	}
	defer one.Close()
	l, err := one.List(ctx, false)
	return &l, err
}

func (a *Agent) apply(l *registry.List, confirmed bool) (verdict, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	epoch := a.core.epoch
	v, u := a.core.take(l, confirmed)
	if v != applied {
		return v, nil
	}
	if epoch != 0 && epoch != a.core.epoch {
		a.epochs.Inc()
		slog.Warn("the registry's history is another one now, as after a restore", "epoch", a.core.epoch, "rev", a.core.rev)
	}
	a.dirty = true
	return v, a.tell(u)
}

// tell hands changes to the sidecar's watches; the caller holds the lock, or is the only one.
func (a *Agent) tell(u update) error {
	if _, err := a.hub.Apply(a.core.served, &registry.Record{Op: registry.OpFollow, Instances: u.set, Refs: u.gone}); err != nil {
		return err
	}
	a.hasList.Store(true)
	return nil
}

// keep saves the list and the placement soon after they have changed.
func (a *Agent) keep() {
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	for end := false; !end; {
		select {
		case <-a.ctx.Done():
			end = true
		case <-tick.C:
		}
		a.keepList()
		a.places.keep()
	}
}

func (a *Agent) keepList() {
	if a.opts.Saved == "" {
		return
	}
	a.mu.Lock()
	dirty := a.dirty
	a.dirty = false
	data, err := []byte(nil), error(nil)
	if dirty {
		data, err = a.core.encode()
	}
	a.mu.Unlock()
	if dirty && err == nil {
		err = save(a.opts.Saved, data)
	}
	if err != nil {
		slog.Error("the list is not saved", "file", a.opts.Saved, "error", err)
	}
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.hasList.Load() {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// serve speaks PROTOCOL's discovery. Without any list it has nothing to say.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if !a.hasList.Load() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	if q.Get("watch") == "" {
		if err := a.hub.WriteWhole(w); err != nil {
			slog.Debug("list not written", "error", err)
		}
		return
	}
	after, err := number(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = a.hub.Watch(a.ctx, w, r, after, 0, func() bool { return a.spoke.Load() > 0 && a.silence() < silentAfter })
	if err != nil {
		slog.Debug("sidecar's watch ended", "error", err)
	}
}

// number reads a query's figure; absent it is 0.
func number(r *http.Request, name string) (uint64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is no number", name, v)
	}
	return n, nil
}
