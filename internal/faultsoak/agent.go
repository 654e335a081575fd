package faultsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const watchHeartbeat = 2 * time.Second

// endpoint is an entry of the endpoint list in the platform's discovery protocol.
type endpoint struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

type endpointList struct {
	Revision int64      `json:"rev"`
	Complete bool       `json:"all"`
	Targets  []endpoint `json:"targets"`
}

// agent is a discovery agent of one sidecar and listens on one address. All agents of a sidecar serve the same list.
type agent struct {
	ctx    context.Context
	random *generator

	mu               sync.Mutex
	revision         int64
	list             []endpoint         // by server
	changed          chan struct{}      // closed and replaced at each change
	changedRevisions []int64            // by server: the revision of its last change
	downUntil        time.Time          // the agent sends nothing before this time, and the soak publishes no changes to it
	cancelWatches    context.CancelFunc // resets the open watches
	watchCtx         context.Context
	watchGeneration  int // watches that began in an earlier generation send nothing more
}

func newAgent(ctx context.Context, list []endpoint, random *generator) *agent {
	a := &agent{ctx: ctx, random: random, revision: 1, list: list, changed: make(chan struct{}), changedRevisions: make([]int64, len(list))}
	for i := range a.changedRevisions {
		a.changedRevisions[i] = 1
	}
	a.watchCtx, a.cancelWatches = context.WithCancel(ctx)
	return a
}

// publishState replaces the entry of a server except for its address.
func (a *agent) publishState(server int, changed endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	changed.Endpoint = a.list[server].Endpoint
	a.list[server], a.changedRevisions[server] = changed, a.revision
	close(a.changed)
	a.changed = make(chan struct{})
}

// completeList returns the list of all servers that are not removed. The caller holds the lock.
func (a *agent) completeList() endpointList {
	list := endpointList{Revision: a.revision, Complete: true, Targets: []endpoint{}}
	for _, entry := range a.list {
		if entry.State != "Gone" {
			list.Targets = append(list.Targets, entry)
		}
	}
	return list
}

// snapshot returns the complete list for a sidecar's configuration file.
func (a *agent) snapshot() endpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.completeList()
}

// goDown makes the agent send nothing until the given time. Before that time, the caller must not publish changes to the agent.
func (a *agent) goDown(until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until.After(a.downUntil) {
		a.downUntil = until
	}
}

// silenceWatches makes the open watches stay open without sending anything more.
func (a *agent) silenceWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchGeneration++
}

// resetWatches aborts the connections of the open watches.
func (a *agent) resetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelWatches()
	a.watchCtx, a.cancelWatches = context.WithCancel(a.ctx)
}

// awaitUp waits while the agent is down. It returns false if ctx ends first.
func (a *agent) awaitUp(ctx context.Context) bool {
	for {
		a.mu.Lock()
		wait := time.Until(a.downUntil)
		a.mu.Unlock()
		if wait <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
	}
}

// serve serves the discovery protocol until the agent's ctx ends.
func (a *agent) serve(listener net.Listener) {
	server := &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(a.ctx, func() { _ = server.Close() }) // at the end of the run
	defer stop()
	_ = server.Serve(listener) // returns when the run ends
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !a.awaitUp(r.Context()) {
		return
	}
	if r.URL.Query().Get("watch") == "" {
		a.mu.Lock()
		list := a.completeList()
		a.mu.Unlock()
		_ = json.NewEncoder(w).Encode(list) // fails only if the sidecar has closed the connection
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	a.watch(w, r, after)
}

// watch sends the entries that changed after a revision (or the complete list), and then each later change. Without changes it
// sends an empty line as a heartbeat.
func (a *agent) watch(w http.ResponseWriter, r *http.Request, after int64) {
	a.mu.Lock()
	generation, reset := a.watchGeneration, a.watchCtx
	a.mu.Unlock()
	flusher := http.NewResponseController(w)
	for {
		a.mu.Lock()
		list := a.changesAfter(after)
		changed, silent := a.changed, generation != a.watchGeneration
		a.mu.Unlock()
		text := "\n"
		if list.Complete || len(list.Targets) > 0 {
			text = a.encodeList(list)
		}
		after = list.Revision
		if !silent && a.awaitUp(r.Context()) {
			if _, err := fmt.Fprint(w, text); err != nil || flusher.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(watchHeartbeat):
		case <-reset.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the entries that changed after a revision, or the complete list if the revision is unknown. The caller
// holds the lock.
func (a *agent) changesAfter(after int64) endpointList {
	if after <= 0 || after > a.revision {
		return a.completeList()
	}
	list := endpointList{Revision: a.revision, Targets: []endpoint{}}
	for server, revision := range a.changedRevisions {
		if revision > after {
			list.Targets = append(list.Targets, a.list[server])
		}
	}
	return list
}

// encodeList encodes a list as compact or indented JSON, chosen at random; the protocol allows both.
func (a *agent) encodeList(list endpointList) string {
	data, err := json.Marshal(list)
	if a.random.IntN(3) == 0 {
		data, err = json.MarshalIndent(list, "", "  ")
	}
	if err != nil {
		panic(err) // does not happen: the types can be encoded
	}
	return string(data) + "\n"
}
