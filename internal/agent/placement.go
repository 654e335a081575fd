package agent

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

const (
	// aheadMS is how far ahead what is left of an entry is told, as a line may be written so long after it was made.
	aheadMS = 50
	// firstWait is how long the first who asks may wait for the registry's first answer.
	firstWait = time.Second

	placementMagic = "milldeck-agent-placement 1\n"
)

// places is the placement as the agent has it and tells it on. It is followed once a sidecar has asked for it: one
// that knows no placement costs the registry no second watch.
type places struct {
	file  string                        // of the last placement; "": none
	clock func() (wallMS, monoMS int64) // the machine's

	mu     sync.Mutex
	reader *placement.Cache
	dirty  bool // the saved placement is out of date

	feed    *registry.PlacementFeed
	spoke   atomic.Int64  // when the registry last spoke, ms of the monotonic clock + 1; 0: never
	asked   chan struct{} // closed when a sidecar asks
	asking  sync.Once
	settled chan struct{} // closed when a placement is known, or that there is none to be known
	settle  sync.Once
	unknown atomic.Bool // no replica knows of a placement
}

// newPlaces takes up a saved placement where there is one that still counts.
func newPlaces(file string, clock func() (wallMS, monoMS int64)) *places {
	p := &places{file: file, clock: clock, reader: placement.NewCache(), asked: make(chan struct{}), settled: make(chan struct{})}
	p.feed = registry.NewPlacementFeed(func(after, epoch uint64) placement.Update {
		p.mu.Lock()
		defer p.mu.Unlock()
		wall, mono := p.clock()
		return p.reader.ChangesSince(after, epoch, wall+aheadMS, mono+aheadMS)
	})
	if file == "" {
		return p
	}
	if err := p.load(); err != nil {
		slog.Warn("the saved placement is not used", "file", file, "error", err)
	}
	if p.reader.Synced() {
		p.settle.Do(func() { close(p.settled) })
		slog.Info("serves the saved placement until a replica answers", "rev", p.reader.Revision(), "entries", p.reader.Len())
	}
	return p
}

type savedPlacement struct {
	SavedMS int64            `json:"saved_ms"` // by the wall clock
	List    placement.Update `json:"list"`     // with what was left of each entry then
}

// encode gives the bytes of the saved placement; the caller holds the lock.
func (p *places) encode() ([]byte, error) {
	wall, mono := p.clock()
	body, err := json.Marshal(savedPlacement{wall, p.reader.Snapshot(wall, mono)})
	if err != nil {
		return nil, err
	}
	return seal(placementMagic, body), nil
}

func (p *places) load() error {
	data, err := read(p.file)
	if data == nil || err != nil {
		return err
	}
	body, err := unseal(placementMagic, data)
	if err != nil {
		return err
	}
	var s savedPlacement
	if err := json.Unmarshal(body, &s); err != nil {
		return err
	}
	wall, mono := p.clock()
	return p.reader.Restore(s.List, s.SavedMS, wall, mono)
}

// keep saves the placement if it has changed.
func (p *places) keep() {
	if p.file == "" {
		return
	}
	p.mu.Lock()
	dirty := p.dirty
	p.dirty = false
	data, err := []byte(nil), error(nil)
	if dirty {
		data, err = p.encode()
	}
	p.mu.Unlock()
	if dirty && err == nil {
		err = save(p.file, data)
	}
	if err != nil {
		slog.Error("the placement is not saved", "file", p.file, "error", err)
	}
}

// at is what is known, as a watch continues it.
func (p *places) at() (rev, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reader.Revision(), p.reader.Epoch()
}

// take takes over what a replica told.
func (p *places) take(l *placement.Update) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	wall, mono := p.clock()
	news, err := p.reader.Apply(l, wall, mono)
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	if news {
		p.dirty = true
		p.feed.Ring()
		p.settle.Do(func() { close(p.settled) })
	}
	return nil
}

// heard notes that the registry has spoken.
func (p *places) heard() {
	_, mono := p.clock()
	p.spoke.Store(mono + 1)
	p.unknown.Store(false)
}

// alive tells whether the agent's silence is news.
func (p *places) alive() bool {
	_, mono := p.clock()
	spoke := p.spoke.Load()
	return spoke != 0 && mono+1-spoke < silentAfter.Milliseconds()
}

// followPlacement follows the placement once it was asked for.
func (a *Agent) followPlacement() {
	select {
	case <-a.ctx.Done():
		return
	case <-a.places.asked:
	}
	f := a.follower()
	f.unknown = func() {
		a.places.unknown.Store(true)
		a.places.settle.Do(func() { close(a.places.settled) })
	}
	f.run(rand.IntN(len(a.opts.Replicas)), func(_ int, replica string, spoke func()) error {
		rev, epoch := a.places.at()
		return a.client.WatchPlacement(a.ctx, replica, rev, epoch, func(l *placement.Update, age time.Duration) error {
			if l != nil {
				stale := age > staleAfter && len(a.opts.Replicas) > 1
				if stale && rev != 0 && l.Epoch != epoch {
					return errStale // another history from one who may have missed the end of it
				}
				if err := a.places.take(l); err != nil {
					return err
				}
				if stale {
					return errStale
				}
			}
			spoke()
			a.places.heard()
			return nil
		})
	})
}

// servePlacement tells the placement to the sidecar, as a replica does, with what is left by this machine's clocks.
func (a *Agent) servePlacement(w http.ResponseWriter, r *http.Request) {
	p := a.places
	p.asking.Do(func() { close(p.asked) })
	select {
	case <-p.settled:
	case <-time.After(firstWait):
	case <-r.Context().Done():
		return
	}
	p.mu.Lock()
	known := p.reader.Synced()
	p.mu.Unlock()
	switch {
	case !known && p.unknown.Load():
		http.Error(w, "the registry knows no placement", http.StatusNotFound)
		return
	case !known:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no placement yet", http.StatusServiceUnavailable)
		return
	}
	after, err := number(r, "after")
	epoch := uint64(0)
	if err == nil {
		epoch, err = number(r, "epoch")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		err = p.feed.WriteWhole(w)
	} else {
		err = p.feed.Watch(a.ctx, w, r, after, epoch, p.alive)
	}
	if err != nil {
		slog.Debug("placement not written", "error", err)
	}
}
