package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

// setFreshnessHeaders puts the age of the list into an answer's head.
func (r *Replica) setFreshnessHeaders(w http.ResponseWriter) {
	age := r.listAge()
	w.Header().Set(AgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set(FreshHeader, strconv.FormatBool(r.isLeader.Load() && age < maxFreshAge))
}

// ensureFresh settles a read that asks for the newest state, or answers why it cannot have it.
func (r *Replica) ensureFresh(w http.ResponseWriter, request *http.Request) bool {
	if request.URL.Query().Get("fresh") == "" {
		return true
	}
	if !r.isLeader.Load() {
		r.leaderOnly(nil)(w, request)
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), applyTimeout)
	defer cancel()
	if err := r.awaitReadIndex(ctx); err != nil {
		r.writeNoLeader(w)
		return false
	}
	r.verifiedAt.Store(int64(time.Since(r.startedAt)))
	return true
}

func (r *Replica) serveList(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	if query.Get("watch") != "" {
		r.serveWatch(w, request)
		return
	}
	if !r.ensureFresh(w, request) {
		return
	}
	r.setFreshnessHeaders(w)
	if err := r.hub.WriteFullList(w); err != nil {
		slog.Debug("list not written", "error", err)
	}
}

// admitWatcher counts a watcher, or answers that there are too many.
func (r *Replica) admitWatcher(w http.ResponseWriter) bool {
	if r.watchers.Add(1) <= maxWatchers {
		return true
	}
	r.watchers.Add(-1)
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeError(w, http.StatusServiceUnavailable, errors.New("too many watchers"))
	return false
}

// serveWatch follows the list for one watcher, which is a cursor: see hub.
func (r *Replica) serveWatch(w http.ResponseWriter, request *http.Request) {
	r.serveWatchOf(w, request, r.hub.Watch)
}

// serveWatchOf admits a watcher of something after the revision and the epoch of its query.
func (r *Replica) serveWatchOf(w http.ResponseWriter, request *http.Request, stream watchFunc) {
	after, err := queryUint(request, "after")
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	epoch, err := queryUint(request, "epoch")
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !r.admitWatcher(w) {
		return
	}
	defer r.watchers.Add(-1)
	r.setFreshnessHeaders(w)
	// A replica that hears of no leader says nothing rather than that nothing has changed: its watchers move on.
	err = stream(r.ctx, w, request, after, epoch, func() bool { return r.listAge() < staleAfter })
	if err != nil {
		slog.Debug("watch ended", "error", err)
	}
}

func (r *Replica) serveGet(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	var instance Instance
	var ok bool
	r.hub.Read(func(state *StateMachine) { instance, ok = state.Get(request.PathValue("uid")) })
	r.setFreshnessHeaders(w)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("%s is not registered", request.PathValue("uid")))
		return
	}
	writeJSON(w, http.StatusOK, instance)
}
