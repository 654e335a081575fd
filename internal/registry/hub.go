package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

const (
	// maxEncodedChanges are the encoded changes that watchers share; who is further behind gets one folded from the state.
	maxEncodedChanges = 1024
	// maxChangesWritten is how many lines a watcher that is behind is written one by one.
	maxChangesWritten = 64
	// broadcastDelay bounds how often watchers are woken: changes that come closer together go out in one write, which
	// costs thousands of watchers a wake-up less for each.
	broadcastDelay    = 20 * time.Millisecond
	heartbeatInterval = 2 * time.Second // PROTOCOL: while nothing changes
	watchWriteTimeout = 10 * time.Second
)

// Hub holds the state and lets watchers follow it. A watcher has no queue of its own: it is a cursor, so a slow
// one takes no memory and holds nobody up; when it comes back it gets the newest state of each instance.
type Hub struct {
	mu            sync.RWMutex
	state         *StateMachine
	encoded       []encodedChange
	listChanged   broadcaster // of the list
	leasesChanged broadcaster // of duties: thousands who follow the list are not woken for them
	placementFeed *PlacementFeed

	fullListMu sync.Mutex
	fullList   encodedChange // the whole list as last encoded: thousands who come at once get the same bytes
}

// encodedChange is one revision's change, encoded once for all.
type encodedChange struct {
	revision uint64
	previous uint64 // the revision before; of a whole list its epoch
	data     []byte
}

// broadcaster wakes those who wait for its channel. The lock of what it is part of guards it.
type broadcaster struct {
	changed chan struct{}
	pending bool
}

// NewHub makes a hub with the empty state.
func NewHub() *Hub {
	hub := &Hub{state: NewStateMachine(), listChanged: broadcaster{changed: make(chan struct{})}, leasesChanged: broadcaster{changed: make(chan struct{})}}
	hub.placementFeed = NewPlacementFeed(hub.readPlacement)
	return hub
}

// Apply takes a record in and hands its changes to the watchers.
func (h *Hub) Apply(index uint64, record *Record) (Result, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	previousRevision, epoch, leasesRevision := h.state.Revision(), h.state.Epoch(), h.state.leases.Revision()
	placementRevision := h.state.placement.Revision()
	result := h.state.Apply(index, record)
	if h.state.placement.Revision() != placementRevision {
		h.placementFeed.Notify()
	}
	if h.state.leases.Revision() != leasesRevision {
		h.broadcast(&h.leasesChanged)
	}
	if h.state.Epoch() != epoch {
		h.encoded = nil
		h.broadcast(&h.listChanged)
		return result, nil
	}
	if h.state.Revision() == previousRevision {
		return result, nil
	}
	changes := h.state.ChangesSince(previousRevision, 0)
	if previousRevision == 0 {
		changes = h.state.FullList()
	}
	data, err := json.Marshal(changes)
	if err != nil {
		return result, err
	}
	h.encoded = append(h.encoded, encodedChange{h.state.Revision(), previousRevision, append(data, '\n')})
	if excess := len(h.encoded) - maxEncodedChanges; excess > 0 {
		h.encoded = append(h.encoded[:0], h.encoded[excess:]...)
	}
	h.broadcast(&h.listChanged)
	return result, nil
}

// Replace puts another state in place, as from a snapshot.
func (h *Hub) Replace(state *StateMachine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.encoded = state, nil
	h.broadcast(&h.listChanged)
	h.broadcast(&h.leasesChanged)
	h.placementFeed.Notify()
}

// broadcast wakes watchers soon; the caller holds the lock.
func (h *Hub) broadcast(target *broadcaster) { target.broadcast(&h.mu, func() {}) }

// broadcast wakes those who wait soon, and calls first before, both under the bell's lock, which the caller holds.
func (b *broadcaster) broadcast(lock sync.Locker, before func()) {
	if b.pending {
		return
	}
	b.pending = true
	time.AfterFunc(broadcastDelay, func() {
		lock.Lock()
		defer lock.Unlock()
		before()
		b.pending = false
		close(b.changed)
		b.changed = make(chan struct{})
	})
}

// Lease gives a duty as it is, and what to wait on for a change of any.
func (h *Hub) Lease(name string) (lease leasetable.Lease, changed <-chan struct{}) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	lease, _ = h.state.leases.Get(name)
	return lease, h.leasesChanged.changed
}

// cursor is how far a watcher has come.
type cursor struct {
	revision, epoch uint64
	started         bool // something has been written to it
}

// next gives the bytes that a watcher is to be written, its new cursor, and what to wait on when there are none.
// The slices are shared: nobody writes to them.
func (h *Hub) next(at cursor) (lines [][]byte, now cursor, changed <-chan struct{}, err error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now = cursor{h.state.Revision(), h.state.Epoch(), true}
	if at == now {
		return nil, now, h.listChanged.changed, nil
	}
	if at.revision == now.revision && at.epoch == now.epoch { // it knows all: an empty change says so at once
		return [][]byte{fmt.Appendf(nil, "{\"rev\":%d,\"all\":false,\"targets\":[],\"epoch\":%d}\n", now.revision, now.epoch)}, now, h.listChanged.changed, nil
	}
	if at.epoch == now.epoch && at.revision != 0 {
		for k := len(h.encoded) - 1; k >= 0 && len(h.encoded)-k <= maxChangesWritten; k-- {
			if h.encoded[k].previous == at.revision {
				for _, encoded := range h.encoded[k:] {
					lines = append(lines, encoded.data)
				}
				return lines, now, h.listChanged.changed, nil
			}
		}
	}
	if !h.state.HasHistorySince(at.revision, at.epoch) {
		data, err := h.encodeFullList()
		return [][]byte{data}, now, h.listChanged.changed, err
	}
	data, err := json.Marshal(h.state.ChangesSince(at.revision, at.epoch))
	if err != nil {
		return nil, at, h.listChanged.changed, err
	}
	return [][]byte{append(data, '\n')}, now, h.listChanged.changed, nil
}

// encodeFullList gives the whole list's bytes, encoded once for each revision. The caller holds the lock for reading.
func (h *Hub) encodeFullList() ([]byte, error) {
	h.fullListMu.Lock()
	defer h.fullListMu.Unlock()
	rev, epoch := h.state.Revision(), h.state.Epoch()
	if h.fullList.data != nil && h.fullList.revision == rev && h.fullList.previous == epoch {
		return h.fullList.data, nil
	}
	data, err := json.Marshal(h.state.FullList())
	if err != nil {
		return nil, err
	}
	h.fullList = encodedChange{revision: rev, previous: epoch, data: append(data, '\n')}
	return h.fullList.data, nil
}

// Watch writes the changes after a revision of an epoch to a watcher as PROTOCOL words them, until the watcher, ctx
// or the connection ends. While nothing changes it writes an empty line every 2 s, as long as alive says that
// silence is news.
func (h *Hub) Watch(ctx context.Context, w http.ResponseWriter, request *http.Request, after, epoch uint64, alive func() bool) error {
	return streamChanges(ctx, w, request, cursor{revision: after, epoch: epoch}, alive, h)
}

// watchFunc is Watch of a hub or a feed.
type watchFunc func(ctx context.Context, w http.ResponseWriter, request *http.Request, after, epoch uint64, alive func() bool) error

// changeSource is what watchers follow. One that has not begun is always written something.
type changeSource interface {
	next(at cursor) (out [][]byte, now cursor, woken <-chan struct{}, err error)
}

func streamChanges(ctx context.Context, w http.ResponseWriter, request *http.Request, position cursor, alive func() bool, source changeSource) error {
	w.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(w)
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		lines, now, changed, err := source.next(position)
		if err != nil {
			return err
		}
		position = now
		if len(lines) > 0 {
			if err := writeLines(w, controller, lines); err != nil {
				return err
			}
			heartbeat.Reset(heartbeatInterval)
		}
		select {
		case <-request.Context().Done():
			return nil
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-heartbeat.C:
			if alive() {
				if err := writeLines(w, controller, [][]byte{{'\n'}}); err != nil {
					return err
				}
			}
			heartbeat.Reset(heartbeatInterval)
		}
	}
}

// writeLines writes lines to a watcher; one that does not read them in time is let go.
func writeLines(w http.ResponseWriter, controller *http.ResponseController, lines [][]byte) error {
	if err := controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return err
	}
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return err
		}
	}
	return controller.Flush()
}

// Read calls do with the state, which it must not change or keep.
func (h *Hub) Read(view func(*StateMachine)) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	view(h.state)
}

// WriteFullList answers with the whole list.
func (h *Hub) WriteFullList(w http.ResponseWriter) error {
	var data []byte
	var err error
	h.Read(func(*StateMachine) { data, err = h.encodeFullList() })
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(data)
	return err
}
