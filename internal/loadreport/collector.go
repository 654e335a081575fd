// Package collect takes the reports of a fleet's sidecars for those who decide by them, as holders of a duty do.
// Reports are soft: the newest of each sidecar is kept, for as long as it is news, within bounds.
package loadreport

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
	defaultMaxSidecars = 10_000          // sidecars: five times the largest fleet
	defaultRetention   = 5 * time.Second // five reports that did not come

	pruneInterval = time.Second
)

// Options say what a collector keeps.
type Options struct {
	MaxSidecars int           // sidecars at most; 0: 10,000
	Retention   time.Duration // a sidecar that is silent for so long is dropped; 0: 5 s
	// Now is a monotonic clock; nil: the machine's.
	Now func() time.Duration
}

// Collector keeps the newest report of each sidecar. It begins closed: a candidate that waits for a duty takes none.
// It is safe for concurrent use.
type Collector struct {
	opts Options

	mu        sync.Mutex
	accepting bool
	newest    map[string]ReceivedReport // by name
	lastPrune time.Duration
	counts    Counts
}

// ReceivedReport is a report and when it came, by the collector's clock, which tells a new one from one that was read before:
// counts are of the report's span and are to be added once. Its slices and maps are shared: nobody changes them.
type ReceivedReport struct {
	placement.LoadReport
	ReceivedAt time.Duration
}

// Counts are of reports since the start.
type Counts struct {
	Accepted     uint64 `json:"taken"`
	Rejected     uint64 `json:"refused"` // nonsense, and bodies that could not be read
	OverCapacity uint64 `json:"full"`    // of new sidecars, beyond the most
	Expired      uint64 `json:"silent"`  // sidecars dropped as they were silent
}

// New makes a collector.
func New(opts Options) *Collector {
	opts.MaxSidecars = cmp.Or(opts.MaxSidecars, defaultMaxSidecars)
	opts.Retention = cmp.Or(opts.Retention, defaultRetention)
	if opts.Now == nil {
		startedAt := time.Now()
		opts.Now = func() time.Duration { return time.Since(startedAt) }
	}
	return &Collector{opts: opts, newest: map[string]ReceivedReport{}}
}

// SetAccepting has it take reports, or none; closed, it forgets what it has.
func (c *Collector) SetAccepting(accepting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = accepting
	if !accepting {
		clear(c.newest)
	}
}

// errTooManySidecars tells that there are too many sidecars.
var errTooManySidecars = errors.New("there are too many sidecars")

// Add takes a report that is kept as it is, or says why it does not.
func (c *Collector) Add(report *placement.LoadReport) error {
	err := report.Validate()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.counts.Rejected++
		return err
	}
	now := c.opts.Now()
	if now-c.lastPrune >= pruneInterval || len(c.newest) >= c.opts.MaxSidecars {
		c.prune(now)
	}
	if _, known := c.newest[report.Sidecar]; !known && len(c.newest) >= c.opts.MaxSidecars {
		c.counts.OverCapacity++
		return errTooManySidecars
	}
	c.newest[report.Sidecar] = ReceivedReport{*report, now}
	c.counts.Accepted++
	return nil
}

// prune drops sidecars that are silent; the caller holds the lock.
func (c *Collector) prune(now time.Duration) {
	if now == c.lastPrune {
		return // nothing can have become old since
	}
	c.lastPrune = now
	for name, report := range c.newest {
		if now-report.ReceivedAt > c.opts.Retention {
			delete(c.newest, name)
			c.counts.Expired++
		}
	}
}

// Snapshot gives the newest report of each sidecar that is not silent, by name, and the time that it is of.
func (c *Collector) Snapshot() ([]ReceivedReport, time.Duration) {
	c.mu.Lock()
	now := c.opts.Now()
	c.prune(now)
	reports := make([]ReceivedReport, 0, len(c.newest))
	for _, report := range c.newest {
		reports = append(reports, report)
	}
	c.mu.Unlock()
	slices.SortFunc(reports, func(a, b ReceivedReport) int { return cmp.Compare(a.Sidecar, b.Sidecar) })
	return reports, now
}

// Counts gives them as they are.
func (c *Collector) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// MaxBodyBytes bounds one batch, in bytes: 128 of the largest reports, thousands of usual ones.
const MaxBodyBytes = 4 << 20

const bodyReadTimeout = 5 * time.Second

// ServeHTTP takes a batch, {"reports":[...]}. It answers 204 when all are taken, 400 when something of it is nonsense
// (the rest is taken) and 503 while the collector is closed or full.
func (c *Collector) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "reports are posted", http.StatusMethodNotAllowed)
		return
	}
	c.mu.Lock()
	accepting := c.accepting
	c.mu.Unlock()
	if !accepting {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "reports are not taken here now", http.StatusServiceUnavailable)
		return
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) != nil {
		return
	}
	body := bufferPool.Get().(*buffer)
	defer bufferPool.Put(body)
	body.Reset()
	if _, err := body.ReadFrom(http.MaxBytesReader(w, request.Body, MaxBodyBytes)); err != nil {
		c.reject(w, err)
		return
	}
	if controller.SetReadDeadline(time.Time{}) != nil {
		return
	}
	batch, err := decodeBatch(body.Bytes())
	if err != nil {
		c.reject(w, err)
		return
	}
	overCapacity := false
	var invalid error
	for k := range batch {
		switch err := c.Add(&batch[k]); {
		case errors.Is(err, errTooManySidecars):
			overCapacity = true
		case err != nil:
			invalid = errors.Join(invalid, fmt.Errorf("reports[%d].%w", k, err))
		}
	}
	switch {
	case overCapacity:
		http.Error(w, errTooManySidecars.Error(), http.StatusServiceUnavailable)
	case invalid != nil:
		http.Error(w, invalid.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (c *Collector) reject(w http.ResponseWriter, err error) {
	c.mu.Lock()
	c.counts.Rejected++
	c.mu.Unlock()
	http.Error(w, fmt.Sprintf("reports: %v", err), http.StatusBadRequest)
}
