package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

func (r *Replica) setFreshnessHeaders(w http.ResponseWriter) {
	age := r.stateAge()
	w.Header().Set(AgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set(FreshHeader, strconv.FormatBool(r.leadershipEstablished.Load() && age < maxFreshAge))
}

// ensureFresh waits until this replica may serve a request. Requests with the query parameter fresh are linearizable reads,
// which only a leader with verified leadership serves. If ensureFresh returns false, it has already responded with an error
// or a redirect to the leader.
func (r *Replica) ensureFresh(w http.ResponseWriter, request *http.Request) bool {
	if request.URL.Query().Get("fresh") == "" {
		return true
	}
	if !r.leadershipEstablished.Load() {
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

// verifyFreshness waits until this leader may serve a linearizable read, and records the start of the wait as the time
// at which the leadership was verified.
func (r *Replica) verifyFreshness(ctx context.Context) error {
	startedAt := r.uptime()
	if err := r.awaitReadIndex(ctx); err != nil {
		return err
	}
	r.recordVerified(startedAt)
	return nil
}

// serveList responds with the complete endpoint list or, with the query parameter watch, streams its changes.
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

// admitWatcher counts a new watcher. If there are already maxWatchers, it writes an error response and returns false.
func (r *Replica) admitWatcher(w http.ResponseWriter) bool {
	if r.watchers.Add(1) <= maxWatchers {
		return true
	}
	r.watchers.Add(-1)
	writeRetryable(w, errors.New("too many watchers"))
	return false
}

// serveWatchOf streams the changes after the revision and epoch in the query.
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
	// A replica without a leader sends no heartbeats, because it would not learn of a change. Its watchers time out and
	// switch to another replica.
	mayHeartbeat := func() bool { return r.stateAge() < staleAfter && !r.restorePending() }
	if err := stream(r.ctx, w, request, after, epoch, mayHeartbeat); err != nil {
		r.logger.Debug("watch failed", "error", err)
	}
}

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
