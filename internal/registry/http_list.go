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

// mark puts the age of the list into an answer's head.
func (r *Replica) mark(w http.ResponseWriter) {
	age := r.age()
	w.Header().Set(AgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set(FreshHeader, strconv.FormatBool(r.leading.Load() && age < freshFor))
}

// fresh settles a read that asks for the newest state, or answers why it cannot have it.
func (r *Replica) fresh(w http.ResponseWriter, req *http.Request) bool {
	if req.URL.Query().Get("fresh") == "" {
		return true
	}
	if !r.leading.Load() {
		r.leaderOnly(nil)(w, req)
		return false
	}
	ctx, cancel := context.WithTimeout(req.Context(), applyWait)
	defer cancel()
	if err := r.settle(ctx); err != nil {
		r.noLeader(w)
		return false
	}
	r.verified.Store(int64(time.Since(r.began)))
	return true
}

func (r *Replica) serveList(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	if q.Get("watch") != "" {
		r.serveWatch(w, req)
		return
	}
	if !r.fresh(w, req) {
		return
	}
	r.mark(w)
	if err := r.hub.WriteWhole(w); err != nil {
		slog.Debug("list not written", "error", err)
	}
}

// admitWatcher counts a watcher, or answers that there are too many.
func (r *Replica) admitWatcher(w http.ResponseWriter) bool {
	if r.watchers.Add(1) <= mostWatchers {
		return true
	}
	r.watchers.Add(-1)
	w.Header().Set("Retry-After", retryIn)
	refuse(w, http.StatusServiceUnavailable, errors.New("too many watchers"))
	return false
}

// serveWatch follows the list for one watcher, which is a cursor: see hub.
func (r *Replica) serveWatch(w http.ResponseWriter, req *http.Request) { r.watch(w, req, r.hub.Watch) }

// watch admits a watcher of something after the revision and the epoch of its query.
func (r *Replica) watch(w http.ResponseWriter, req *http.Request, follow watchFunc) {
	after, err := number(req, "after")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	epoch, err := number(req, "epoch")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if !r.admitWatcher(w) {
		return
	}
	defer r.watchers.Add(-1)
	r.mark(w)
	// A replica that hears of no leader says nothing rather than that nothing has changed: its watchers move on.
	err = follow(r.ctx, w, req, after, epoch, func() bool { return r.age() < staleAfter })
	if err != nil {
		slog.Debug("watch ended", "error", err)
	}
}

func (r *Replica) serveGet(w http.ResponseWriter, req *http.Request) {
	if !r.fresh(w, req) {
		return
	}
	var i Instance
	var is bool
	r.hub.Read(func(s *State) { i, is = s.Get(req.PathValue("uid")) })
	r.mark(w)
	if !is {
		refuse(w, http.StatusNotFound, fmt.Errorf("%s is not registered", req.PathValue("uid")))
		return
	}
	answer(w, http.StatusOK, i)
}
