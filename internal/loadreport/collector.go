// Package loadreport collects the load reports of a fleet's sidecars for the controllers that decide by them.
//
// It owns the newest report of each sidecar, in memory and within bounds, for as long as the sidecar reports. Reports are
// soft state: nothing of them is stored, and a lost one is superseded by the next. Package agent forwards them here;
// package placement defines them.
package loadreport

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"milldeck/internal/placement"
)

const (
	defaultMaxSidecars = 10_000          // five times the largest fleet
	defaultRetention   = 5 * time.Second // five reports that did not arrive

	pruneInterval = time.Second
)

// Options bound what a collector retains.
type Options struct {
	MaxSidecars int                  // 0: 10,000
	Retention   time.Duration        // a sidecar that has not reported for so long is dropped; 0: 5 s
	Now         func() time.Duration // a monotonic clock; nil: the machine's, since New
}

// Collector retains the newest report of each sidecar. At first it accepts none: see SetAccepting. It is safe for
// concurrent use, and its ServeHTTP receives reports.
type Collector struct {
	opts Options

	mu        sync.Mutex
	accepting bool
	newest    map[string]ReceivedReport // by the sidecar's name
	lastPrune time.Duration
	counts    Counts
}

// ReceivedReport is a report and when it was received, by the collector's clock. The time tells a new report from one
// that was read before: its counts are of its own interval and must be added up once. Its slices and maps are shared and
// must not be changed.
type ReceivedReport struct {
	placement.LoadReport
	ReceivedAt time.Duration
}

// Counts are since the start.
type Counts struct {
	Accepted     uint64 `json:"taken"`   // reports
	Rejected     uint64 `json:"refused"` // invalid reports, and batches that could not be read
	OverCapacity uint64 `json:"full"`    // reports of new sidecars beyond MaxSidecars
	Expired      uint64 `json:"silent"`  // sidecars that were dropped after Retention
}

// New returns a collector that accepts no reports yet.
func New(opts Options) *Collector {
	opts.MaxSidecars = cmp.Or(opts.MaxSidecars, defaultMaxSidecars)
	opts.Retention = cmp.Or(opts.Retention, defaultRetention)
	if opts.Now == nil {
		startedAt := time.Now()
		opts.Now = func() time.Duration { return time.Since(startedAt) }
	}
	return &Collector{opts: opts, newest: map[string]ReceivedReport{}}
}

// SetAccepting has the collector accept reports, or none. A controller accepts them while it holds its lease. When it
// stops, all reports are dropped.
func (c *Collector) SetAccepting(accepting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = accepting
	if !accepting {
		clear(c.newest)
	}
}

var errTooManySidecars = errors.New("there are too many sidecars")

// Add validates a report and retains it as the newest of its sidecar. The caller must not change it afterwards.
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

// addBatch adds all reports of a batch. It reports whether any was of a sidecar too many, and returns an error that joins
// those of the invalid reports, each with the report's index.
func (c *Collector) addBatch(reports []placement.LoadReport) (overCapacity bool, invalid error) {
	for i := range reports {
		switch err := c.Add(&reports[i]); {
		case errors.Is(err, errTooManySidecars):
			overCapacity = true
		case err != nil:
			invalid = errors.Join(invalid, fmt.Errorf("reports[%d].%w", i, err))
		}
	}
	return overCapacity, invalid
}

// prune drops sidecars that have stopped reporting. The caller holds the lock.
func (c *Collector) prune(now time.Duration) {
	if now == c.lastPrune {
		return // nothing can have expired since
	}
	c.lastPrune = now
	for name, report := range c.newest {
		if now-report.ReceivedAt > c.opts.Retention {
			delete(c.newest, name)
			c.counts.Expired++
		}
	}
}

// Snapshot returns the newest report of each sidecar that reports, by name, and the time that it is of.
func (c *Collector) Snapshot() ([]ReceivedReport, time.Duration) {
	reports, now := c.unsortedSnapshot()
	slices.SortFunc(reports, func(a, b ReceivedReport) int { return cmp.Compare(a.Sidecar, b.Sidecar) })
	return reports, now
}

func (c *Collector) unsortedSnapshot() ([]ReceivedReport, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	c.prune(now)
	reports := make([]ReceivedReport, 0, len(c.newest))
	for _, report := range c.newest {
		reports = append(reports, report)
	}
	return reports, now
}

// Counts returns the counts so far.
func (c *Collector) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
