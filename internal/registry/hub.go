package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/duty/table"
)

const (
	// keptLines are the encoded changes that watchers share; who is further behind gets one folded from the state.
	keptLines = 1024
	// foldAfter is how many lines a watcher that is behind is written one by one.
	foldAfter = 64
	// wakeEvery bounds how often watchers are woken: changes that come closer together go out in one write, which
	// costs thousands of watchers a wake-up less for each.
	wakeEvery = 20 * time.Millisecond
	emptyLine = 2 * time.Second // PROTOCOL: while nothing changes
	writeWait = 10 * time.Second
)

// Hub holds the state and lets watchers follow it. A watcher has no queue of its own: it is a cursor, so a slow
// one takes no memory and holds nobody up; when it comes back it gets the newest state of each instance.
type Hub struct {
	mu     sync.RWMutex
	state  *State
	lines  []line
	news   bell // of the list
	duties bell // of duties: thousands who follow the list are not woken for them
	places *PlacementFeed

	wholeMu sync.Mutex
	whole   line // the whole list as last encoded: thousands who come at once get the same bytes
}

// line is one revision's change, encoded once for all.
type line struct {
	rev  uint64
	prev uint64 // the revision before; of a whole list its epoch
	data []byte
}

// bell wakes those who wait for its channel. The lock of what it is part of guards it.
type bell struct {
	woken  chan struct{}
	waking bool
}

// NewHub makes a hub with the empty state.
func NewHub() *Hub {
	h := &Hub{state: NewState(), news: bell{woken: make(chan struct{})}, duties: bell{woken: make(chan struct{})}}
	h.places = NewPlacementFeed(h.placement)
	return h
}

// Apply takes a record in and hands its changes to the watchers.
func (h *Hub) Apply(index uint64, r *Record) (Result, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, epoch, duties := h.state.Rev(), h.state.Epoch(), h.state.duties.Rev()
	places := h.state.places.Revision()
	res := h.state.Apply(index, r)
	if h.state.places.Revision() != places {
		h.places.Ring()
	}
	if h.state.duties.Rev() != duties {
		h.wake(&h.duties)
	}
	if h.state.Epoch() != epoch {
		h.lines = nil
		h.wake(&h.news)
		return res, nil
	}
	if h.state.Rev() == before {
		return res, nil
	}
	l := h.state.Since(before, 0)
	if before == 0 {
		l = h.state.Whole()
	}
	data, err := json.Marshal(l)
	if err != nil {
		return res, err
	}
	h.lines = append(h.lines, line{h.state.Rev(), before, append(data, '\n')})
	if extra := len(h.lines) - keptLines; extra > 0 {
		h.lines = append(h.lines[:0], h.lines[extra:]...)
	}
	h.wake(&h.news)
	return res, nil
}

// Replace puts another state in place, as from a snapshot.
func (h *Hub) Replace(s *State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.lines = s, nil
	h.wake(&h.news)
	h.wake(&h.duties)
	h.places.Ring()
}

// wake wakes watchers soon; the caller holds the lock.
func (h *Hub) wake(b *bell) { b.wake(&h.mu, func() {}) }

// wake wakes those who wait soon, and calls first before, both under the bell's lock, which the caller holds.
func (b *bell) wake(mu sync.Locker, first func()) {
	if b.waking {
		return
	}
	b.waking = true
	time.AfterFunc(wakeEvery, func() {
		mu.Lock()
		defer mu.Unlock()
		first()
		b.waking = false
		close(b.woken)
		b.woken = make(chan struct{})
	})
}

// Duty gives a duty as it is, and what to wait on for a change of any.
func (h *Hub) Duty(name string) (d table.Lease, woken <-chan struct{}) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	d, _ = h.state.duties.Get(name)
	return d, h.duties.woken
}

// cursor is how far a watcher has come.
type cursor struct {
	rev, epoch uint64
	begun      bool // something has been written to it
}

// next gives the bytes that a watcher is to be written, its new cursor, and what to wait on when there are none.
// The slices are shared: nobody writes to them.
func (h *Hub) next(at cursor) (out [][]byte, now cursor, woken <-chan struct{}, err error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now = cursor{h.state.Rev(), h.state.Epoch(), true}
	if at == now {
		return nil, now, h.news.woken, nil
	}
	if at.rev == now.rev && at.epoch == now.epoch { // it knows all: an empty change says so at once
		return [][]byte{fmt.Appendf(nil, "{\"rev\":%d,\"all\":false,\"targets\":[],\"epoch\":%d}\n", now.rev, now.epoch)}, now, h.news.woken, nil
	}
	if at.epoch == now.epoch && at.rev != 0 {
		for k := len(h.lines) - 1; k >= 0 && len(h.lines)-k <= foldAfter; k-- {
			if h.lines[k].prev == at.rev {
				for _, l := range h.lines[k:] {
					out = append(out, l.data)
				}
				return out, now, h.news.woken, nil
			}
		}
	}
	if !h.state.Keeps(at.rev, at.epoch) {
		data, err := h.encodeWhole()
		return [][]byte{data}, now, h.news.woken, err
	}
	data, err := json.Marshal(h.state.Since(at.rev, at.epoch))
	if err != nil {
		return nil, at, h.news.woken, err
	}
	return [][]byte{append(data, '\n')}, now, h.news.woken, nil
}

// encodeWhole gives the whole list's bytes, encoded once for each revision. The caller holds the lock for reading.
func (h *Hub) encodeWhole() ([]byte, error) {
	h.wholeMu.Lock()
	defer h.wholeMu.Unlock()
	rev, epoch := h.state.Rev(), h.state.Epoch()
	if h.whole.data != nil && h.whole.rev == rev && h.whole.prev == epoch {
		return h.whole.data, nil
	}
	data, err := json.Marshal(h.state.Whole())
	if err != nil {
		return nil, err
	}
	h.whole = line{rev: rev, prev: epoch, data: append(data, '\n')}
	return h.whole.data, nil
}

// Watch writes the changes after a revision of an epoch to a watcher as PROTOCOL words them, until the watcher, ctx
// or the connection ends. While nothing changes it writes an empty line every 2 s, as long as alive says that
// silence is news.
func (h *Hub) Watch(ctx context.Context, w http.ResponseWriter, req *http.Request, after, epoch uint64, alive func() bool) error {
	return watch(ctx, w, req, cursor{rev: after, epoch: epoch}, alive, h)
}

// watchFunc is Watch of a hub or a feed.
type watchFunc func(ctx context.Context, w http.ResponseWriter, req *http.Request, after, epoch uint64, alive func() bool) error

// watched is what watchers follow. One that has not begun is always written something.
type watched interface {
	next(at cursor) (out [][]byte, now cursor, woken <-chan struct{}, err error)
}

func watch(ctx context.Context, w http.ResponseWriter, req *http.Request, at cursor, alive func() bool, what watched) error {
	w.Header().Set("Content-Type", "application/json")
	out := http.NewResponseController(w)
	quiet := time.NewTimer(emptyLine)
	defer quiet.Stop()
	for {
		lines, now, woken, err := what.next(at)
		if err != nil {
			return err
		}
		at = now
		if len(lines) > 0 {
			if err := send(w, out, lines); err != nil {
				return err
			}
			quiet.Reset(emptyLine)
		}
		select {
		case <-req.Context().Done():
			return nil
		case <-ctx.Done():
			return nil
		case <-woken:
		case <-quiet.C:
			if alive() {
				if err := send(w, out, [][]byte{{'\n'}}); err != nil {
					return err
				}
			}
			quiet.Reset(emptyLine)
		}
	}
}

// send writes lines to a watcher; one that does not read them in time is let go.
func send(w http.ResponseWriter, out *http.ResponseController, lines [][]byte) error {
	if err := out.SetWriteDeadline(time.Now().Add(writeWait)); err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := w.Write(l); err != nil {
			return err
		}
	}
	return out.Flush()
}

// Read calls do with the state, which it must not change or keep.
func (h *Hub) Read(do func(*State)) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	do(h.state)
}

// WriteWhole answers with the whole list.
func (h *Hub) WriteWhole(w http.ResponseWriter) error {
	var data []byte
	var err error
	h.Read(func(*State) { data, err = h.encodeWhole() })
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(data)
	return err
}
