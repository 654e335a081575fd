package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// setFreshnessHeaders sets AgeHeader and FreshHeader.
func (r *Replica) setFreshnessHeaders(w http.ResponseWriter) {
	age := r.listAge()
	w.Header().Set(AgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set(FreshHeader, strconv.FormatBool(r.isLeader.Load() && age < maxFreshAge))
}

// ensureFresh waits, for a request for a linearizable read, until this leader may answer it. It returns false if it has
// answered the request itself: with an error, or with a redirect to the leader.
func (r *Replica) ensureFresh(w http.ResponseWriter, request *http.Request) bool {
	if request.URL.Query().Get("fresh") == "" {
		return true
	}
	if !r.isLeader.Load() {
		r.redirectToLeader(w, request)
		return false
	}
	ctx, cancel := context.WithTimeout(request.Context(), applyTimeout)
	defer cancel()
	if err := r.verifyFreshness(ctx); err != nil {
		r.writeNoLeader(w)
		return false
	}
	return true
}

// verifyFreshness waits until this leader may answer a linearizable read, and records since when that holds.
func (r *Replica) verifyFreshness(ctx context.Context) error {
	startedAt := r.uptime()
	if err := r.awaitReadIndex(ctx); err != nil {
		return err
	}
	r.recordVerified(startedAt)
	return nil
}

// serveList answers with the endpoint list, or streams its changes.
func (r *Replica) serveList(w http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("watch") != "" {
		r.serveWatchOf(w, request, r.hub.Watch)
		return
	}
	if !r.ensureFresh(w, request) {
		return
	}
	r.setFreshnessHeaders(w)
	if err := r.hub.WriteCompleteList(w); err != nil {
		r.logger.Debug("endpoint list not written", "error", err)
	}
}

// admitWatcher counts a watcher, or answers that there are too many.
func (r *Replica) admitWatcher(w http.ResponseWriter) bool {
	if r.watchers.Add(1) <= maxWatchers {
		return true
	}
	r.watchers.Add(-1)
	writeRetryable(w, errors.New("too many watchers"))
	return false
}

// serveWatchOf streams the changes after the revision and epoch of the query.
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
	// A replica without a leader sends no heartbeats, as it would not know of a change: its watchers move on.
	mayHeartbeat := func() bool { return r.listAge() < staleAfter }
	if err := stream(r.ctx, w, request, after, epoch, mayHeartbeat); err != nil {
		r.logger.Debug("watch failed", "error", err)
	}
}

// serveGet answers with one instance.
func (r *Replica) serveGet(w http.ResponseWriter, request *http.Request) {
	if !r.ensureFresh(w, request) {
		return
	}
	uid := request.PathValue("uid")
	var instance Instance
	var ok bool
	r.hub.Read(func(state *StateMachine) { instance, ok = state.Get(uid) })
	r.setFreshnessHeaders(w)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Errorf("%s is not registered", uid))
		return
	}
	writeJSON(w, http.StatusOK, instance)
}
