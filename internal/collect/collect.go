// Package collect takes the reports of a fleet's sidecars for those who decide by them, as holders of a duty do.
// Reports are soft: the newest of each sidecar is kept, for as long as it is news, within bounds.
package collect

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"milldeck/internal/placement"
)

// Defaults of the options.
const (
	defaultMost = 10_000          // sidecars: five times the largest fleet
	defaultKeep = 5 * time.Second // five reports that did not come

	pruneEvery = time.Second
)

// Options say what a collector keeps.
type Options struct {
	Most int           // sidecars at most; 0: 10,000
	Keep time.Duration // a sidecar that is silent for so long is dropped; 0: 5 s
	// Now is a monotonic clock; nil: the machine's.
	Now func() time.Duration
}

// Collector keeps the newest report of each sidecar. It begins closed: a candidate that waits for a duty takes none.
// It is safe for concurrent use.
type Collector struct {
	opts Options

	mu     sync.Mutex
	open   bool
	of     map[string]Seen // by name
	pruned time.Duration
	counts Counts
}

// Seen is a report and when it came, by the collector's clock, which tells a new one from one that was read before:
// counts are of the report's span and are to be added once. Its slices and maps are shared: nobody changes them.
type Seen struct {
	placement.LoadReport
	At time.Duration
}

// Counts are of reports since the start.
type Counts struct {
	Taken   uint64 `json:"taken"`
	Refused uint64 `json:"refused"` // nonsense, and bodies that could not be read
	Full    uint64 `json:"full"`    // of new sidecars, beyond the most
	Silent  uint64 `json:"silent"`  // sidecars dropped as they were silent
}

// New makes a collector.
func New(opts Options) *Collector {
	opts.Most = cmp.Or(opts.Most, defaultMost)
	opts.Keep = cmp.Or(opts.Keep, defaultKeep)
	if opts.Now == nil {
		began := time.Now()
		opts.Now = func() time.Duration { return time.Since(began) }
	}
	return &Collector{opts: opts, of: map[string]Seen{}}
}

// SetOpen has it take reports, or none; closed, it forgets what it has.
func (c *Collector) SetOpen(open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = open
	if !open {
		clear(c.of)
	}
}

// errFull tells that there are too many sidecars.
var errFull = errors.New("there are too many sidecars")

// Take takes a report that is kept as it is, or says why it does not.
func (c *Collector) Take(r *placement.LoadReport) error {
	err := r.Validate()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.counts.Refused++
		return err
	}
	now := c.opts.Now()
	if now-c.pruned >= pruneEvery || len(c.of) >= c.opts.Most {
		c.prune(now)
	}
	if _, known := c.of[r.Sidecar]; !known && len(c.of) >= c.opts.Most {
		c.counts.Full++
		return errFull
	}
	c.of[r.Sidecar] = Seen{*r, now}
	c.counts.Taken++
	return nil
}

// prune drops sidecars that are silent; the caller holds the lock.
func (c *Collector) prune(now time.Duration) {
	if now == c.pruned {
		return // nothing can have become old since
	}
	c.pruned = now
	for name, seen := range c.of {
		if now-seen.At > c.opts.Keep {
			delete(c.of, name)
			c.counts.Silent++
		}
	}
}

// Snapshot gives the newest report of each sidecar that is not silent, by name, and the time that it is of.
func (c *Collector) Snapshot() ([]Seen, time.Duration) {
	c.mu.Lock()
	now := c.opts.Now()
	c.prune(now)
	out := make([]Seen, 0, len(c.of))
	for _, seen := range c.of {
		out = append(out, seen)
	}
	c.mu.Unlock()
	slices.SortFunc(out, func(a, b Seen) int { return cmp.Compare(a.Sidecar, b.Sidecar) })
	return out, now
}

// Counts gives them as they are.
func (c *Collector) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// MaxBody bounds one batch, in bytes: 128 of the largest reports, thousands of usual ones.
const MaxBody = 4 << 20

const bodyWait = 5 * time.Second

// ServeHTTP takes a batch, {"reports":[...]}. It answers 204 when all are taken, 400 when something of it is nonsense
// (the rest is taken) and 503 while the collector is closed or full.
func (c *Collector) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "reports are posted", http.StatusMethodNotAllowed)
		return
	}
	c.mu.Lock()
	open := c.open
	c.mu.Unlock()
	if !open {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "reports are not taken here now", http.StatusServiceUnavailable)
		return
	}
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(bodyWait)) != nil {
		return
	}
	in := buffers.Get().(*buffer)
	defer buffers.Put(in)
	in.Reset()
	if _, err := in.ReadFrom(http.MaxBytesReader(w, req.Body, MaxBody)); err != nil {
		c.refuse(w, err)
		return
	}
	if control.SetReadDeadline(time.Time{}) != nil {
		return
	}
	batch, err := decode(in.Bytes())
	if err != nil {
		c.refuse(w, err)
		return
	}
	full := false
	var wrong error
	for k := range batch {
		switch err := c.Take(&batch[k]); {
		case errors.Is(err, errFull):
			full = true
		case err != nil:
			wrong = errors.Join(wrong, fmt.Errorf("reports[%d].%w", k, err))
		}
	}
	switch {
	case full:
		http.Error(w, errFull.Error(), http.StatusServiceUnavailable)
	case wrong != nil:
		http.Error(w, wrong.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (c *Collector) refuse(w http.ResponseWriter, err error) {
	c.mu.Lock()
	c.counts.Refused++
	c.mu.Unlock()
	http.Error(w, fmt.Sprintf("reports: %v", err), http.StatusBadRequest)
}
