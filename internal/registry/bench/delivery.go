package bench

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const deliveryPollInterval = 10 * time.Millisecond

// deliveryTracker tracks each change from its acknowledgement until the last watcher has received it.
type deliveryTracker struct {
	watchers int

	mu         sync.Mutex
	deliveries map[uint64]*delivery // by revision
	revisions  []uint64             // keys of deliveries, sorted
}

// delivery is the delivery of one change.
type delivery struct {
	acknowledgedAt time.Time // zero: not acknowledged yet
	lastReceivedAt time.Time
	receivedBy     int
}

func newDeliveryTracker(watchers int) *deliveryTracker {
	return &deliveryTracker{watchers: watchers, deliveries: map[uint64]*delivery{}}
}

// deliveryLocked returns the delivery of a revision, and creates it if there is none. The caller holds the lock.
func (t *deliveryTracker) deliveryLocked(revision uint64) *delivery {
	entry := t.deliveries[revision]
	if entry == nil {
		entry = &delivery{}
		t.deliveries[revision] = entry
		position, _ := slices.BinarySearch(t.revisions, revision)
		t.revisions = slices.Insert(t.revisions, position, revision)
	}
	return entry
}

func (t *deliveryTracker) recordAcknowledged(revision uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliveryLocked(revision).acknowledgedAt = now
}

// recordReceived records that a watcher has received the changes after the revision after, up to and including upTo.
func (t *deliveryTracker) recordReceived(after, upTo uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliveryLocked(upTo)
	index, _ := slices.BinarySearch(t.revisions, after+1)
	for ; index < len(t.revisions) && t.revisions[index] <= upTo; index++ {
		entry := t.deliveries[t.revisions[index]]
		entry.receivedBy++
		entry.lastReceivedAt = now
	}
}

// awaitDelivered waits until all watchers have received every acknowledged change, or until the deadline.
func (t *deliveryTracker) awaitDelivered(deadline time.Time) {
	for time.Now().Before(deadline) {
		if _, missed := t.summarize(); missed == 0 {
			return
		}
		time.Sleep(deliveryPollInterval)
	}
}

func (t *deliveryTracker) acknowledgedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	acknowledged := 0
	for _, entry := range t.deliveries {
		if !entry.acknowledgedAt.IsZero() {
			acknowledged++
		}
	}
	return acknowledged
}

// summarize returns the latencies from the acknowledgement of a change to its receipt by the last watcher, and the number of
// acknowledged changes that some watchers have not received.
func (t *deliveryTracker) summarize() (latencies *hdrhistogram.Histogram, missed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latencies = newHistogram()
	for _, entry := range t.deliveries {
		switch {
		case entry.acknowledgedAt.IsZero():
		case entry.receivedBy < t.watchers:
			missed++
		default:
			recordLatency(latencies, entry.lastReceivedAt.Sub(entry.acknowledgedAt))
		}
	}
	return latencies, missed
}
