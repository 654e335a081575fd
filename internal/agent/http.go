package agent

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// firstPlacementTimeout bounds how long a request for the placement waits for the registry's first response.
const firstPlacementTimeout = time.Second

// routes returns the handlers for the discovery paths of the platform's protocol, and for the operators' paths.
func (a *Agent) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveInstances)
	mux.HandleFunc("GET /registry/placement", a.servePlacement)
	mux.HandleFunc("POST /registry/report", a.forwarder.serve)
	mux.HandleFunc("GET /health/ready", a.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !a.listKnown.Load() {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// serveInstances serves the list or a watch of it in the same way as a registry replica.
func (a *Agent) serveInstances(w http.ResponseWriter, r *http.Request) {
	if !a.listKnown.Load() {
		serveRetryLater(w, "no list yet")
		return
	}
	if r.URL.Query().Get("watch") == "" {
		if err := a.hub.WriteCompleteList(w); err != nil {
			a.logger.Debug("list not written", "error", err)
		}
		return
	}
	after, err := queryUint(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.hub.Watch(r.Context(), w, r, after, 0, a.registryAlive); err != nil {
		a.logger.Debug("list watch failed", "error", err)
	}
}

// servePlacement serves the placement or a watch of it in the same way as a registry replica. The remaining times of the
// directives are computed with this machine's clocks.
func (a *Agent) servePlacement(w http.ResponseWriter, r *http.Request) {
	cache := a.placement
	cache.markRequested()
	select {
	case <-cache.initialized:
	case <-time.After(firstPlacementTimeout):
	case <-r.Context().Done():
		return
	}
	switch known := cache.known(); {
	case !known && cache.unsupported.Load():
		http.Error(w, "the registry knows no placement", http.StatusNotFound)
		return
	case !known:
		serveRetryLater(w, "no placement yet")
		return
	}
	after, err := queryUint(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	epoch, err := queryUint(r, "epoch")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		err = cache.feed.WriteComplete(w)
	} else {
		err = cache.feed.Watch(r.Context(), w, r, after, epoch, cache.registryAlive)
	}
	if err != nil {
		a.logger.Debug("placement not written", "error", err)
	}
}

func serveRetryLater(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// queryUint parses a query parameter as an unsigned integer; 0 if it is absent.
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
