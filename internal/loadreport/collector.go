// Package loadreport collects the load reports of a fleet's sidecars for the controllers whose decisions depend on them.
//
// A Collector holds the newest report of each sidecar in memory, within the bounds of Options, as long as the sidecar
// sends reports. Reports are soft state: they are not stored, and the next report supersedes a lost one. Package
// placement defines the reports, and package agent forwards them to collectors.
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
	defaultRetention   = 5 * time.Second // five report intervals of a sidecar

	pruneInterval = time.Second
)

// Options configures a collector: its bounds and its clock.
type Options struct {
	MaxSidecars int                  // maximum number of sidecars with a report; 0: 10,000
	Retention   time.Duration        // a report is dropped after this time without a newer one; 0: 5 s
	Now         func() time.Duration // a monotonic clock; nil: the time since New
}

// Collector retains the newest report of each sidecar. ServeHTTP receives reports; a new collector rejects them until
// SetAccepting. A Collector is safe for concurrent use.
type Collector struct {
	opts Options

	mu        sync.Mutex
	accepting bool
	newest    map[string]ReceivedReport // by sidecar name
	lastPrune time.Duration
	counts    Counts
}

// ReceivedReport is a report with the time of its receipt by the collector's clock. A report's counts cover one interval
// and must be added up once only: a reader recognizes a report that it has read before by ReceivedAt. The slices and
// maps are shared and must not be changed.
type ReceivedReport struct {
	placement.LoadReport
	ReceivedAt time.Duration
}

// Counts contains the collector's counters since its start.
type Counts struct {
	Accepted     uint64 `json:"taken"`   // accepted reports
	Rejected     uint64 `json:"refused"` // invalid reports and unreadable batches
	OverCapacity uint64 `json:"full"`    // reports of new sidecars, rejected because of MaxSidecars
	Expired      uint64 `json:"silent"`  // sidecars dropped after Retention
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

// SetAccepting sets whether the collector accepts reports. A controller accepts reports while it holds its lease. A
// collector that stops accepting reports drops all reports that it holds.
func (c *Collector) SetAccepting(accepting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = accepting
	if !accepting {
		clear(c.newest)
	}
}

var errTooManySidecars = errors.New("there are too many sidecars")

// Add validates a report and retains it as the newest report of its sidecar. The caller must not change the report
// afterwards.
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

// addBatch adds all reports of a batch. The result overCapacity is true if any report was rejected because of MaxSidecars.
// The error invalid joins the errors of the invalid reports, each with the report's index.
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

// prune drops the reports that are older than Retention. The caller holds the lock.
func (c *Collector) prune(now time.Duration) {
	if now == c.lastPrune {
		return // no time has passed since the last call, so no report has expired
	}
	c.lastPrune = now
	for name, report := range c.newest {
		if now-report.ReceivedAt > c.opts.Retention {
			delete(c.newest, name)
			c.counts.Expired++
		}
	}
}

// Snapshot returns the newest report of each sidecar, ordered by sidecar name, and the time of the snapshot by the
// collector's clock.
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

// Counts returns the current counters.
func (c *Collector) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}
