package registry

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

// expiryGraceFraction is the fraction of a lease duration that the leader of the registry waits after the end of a
// lease before it expires the lease. The holder measures the lease from the time before it sends a renewal, and stops its
// work leasetable.SafetyMargin before the lease ends. Clock rates differ by far less than a thousandth, so the grace period
// covers the delay between reading a clock and acting on the time read.
const expiryGraceFraction = 0.05

// leaseTracker tracks in the leader's memory when the holders and candidates of leases last renewed; renewals are not
// replicated. A new leader restarts every lease with its full duration. A lease never ends earlier than a previous
// leader has granted, because a renewal counts only if the leadership was verified after the renewal arrived. Times are
// readings of the monotonic clock.
type leaseTracker struct {
	logger     *slog.Logger
	observeGap func(time.Duration) // called with the duration of each gap between two holders; nil: not called

	mu        sync.Mutex
	leases    map[string]map[string]*trackedLease // by lease and candidate
	holdDowns map[string]map[string]*holdDown     // by lease and candidate
	lastHeld  map[string]time.Time                // by lease: time at which it was last known to be held
}

// trackedLease tracks the lease of a holder, or the place of a candidate in the queue.
type trackedLease struct {
	token         uint64 // 0: a candidate
	ttl           time.Duration
	startedAt     time.Time
	startObserved bool // the tenure started under this leader
	renewedAt     time.Time
	acknowledged  bool // the holder has renewed the lease, and works from then on
	expiryPending bool // its expiry has been proposed; it can no longer be renewed
}

func newLeaseTracker() *leaseTracker {
	return &leaseTracker{
		logger:    componentLogger(),
		leases:    map[string]map[string]*trackedLease{},
		holdDowns: map[string]map[string]*holdDown{},
		lastHeld:  map[string]time.Time{},
	}
}

// reset restarts every lease with its full duration.
func (t *leaseTracker) reset(now time.Time, state *StateMachine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases = map[string]map[string]*trackedLease{}
	t.holdDowns = map[string]map[string]*holdDown{}
	t.lastHeld = map[string]time.Time{}
	for _, lease := range state.leases.Snapshot() {
		t.trackLocked(now, lease, false)
	}
}

// refresh updates the tracker after a write to a lease.
func (t *leaseTracker) refresh(now time.Time, state *StateMachine, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now, state, name)
}

// refreshLocked is refresh for callers that hold the lock.
func (t *leaseTracker) refreshLocked(now time.Time, state *StateMachine, name string) {
	lease, ok := state.leases.Get(name)
	if !ok {
		return
	}
	for candidate, entry := range t.leases[name] {
		released := entry.acknowledged && entry.token != lease.Token && !entry.expiryPending
		if released {
			t.lastHeld[name] = now
			entry.acknowledged = false
		}
		if candidate != lease.Holder && !slices.Contains(lease.Queue, candidate) {
			delete(t.leases[name], candidate)
		}
	}
	t.trackLocked(now, &lease, true)
}

// trackLocked starts to track the holder and the candidates that are not tracked yet, and their hold-downs.
// StartObserved says whether their tenures start now, under this leader. The caller holds the lock.
func (t *leaseTracker) trackLocked(now time.Time, lease *leasetable.Lease, startObserved bool) {
	t.trackHoldDownsLocked(now, lease)
	entries := t.leases[lease.Name]
	if entries == nil {
		entries = map[string]*trackedLease{}
		t.leases[lease.Name] = entries
	}
	track := func(candidate string, token uint64) {
		if existing := entries[candidate]; existing != nil && existing.token == token {
			return
		}
		entries[candidate] = &trackedLease{
			token: token, ttl: milliseconds(lease.TTLMS), startedAt: now, startObserved: startObserved, renewedAt: now,
		}
	}
	if lease.Holder != "" {
		track(lease.Holder, lease.Token)
	}
	for _, candidate := range lease.Queue {
		track(candidate, 0)
	}
}

// renew renews the lease of its holder under a token, or the place of a candidate in the queue (token 0). It reports
// whether there was a lease or a place to renew.
func (t *leaseTracker) renew(now time.Time, state *StateMachine, name, candidate string, token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.leases[name][candidate]
	if entry == nil || entry.token != token { // the state may be ahead of the last refresh
		t.refreshLocked(now, state, name)
		entry = t.leases[name][candidate]
	}
	if entry == nil || entry.expiryPending || entry.token != token {
		return false
	}
	if token == 0 {
		lease, _ := state.leases.Get(name)
		if !slices.Contains(lease.Queue, candidate) {
			return false
		}
		entry.renewedAt = now
		return true
	}
	if !state.leases.TokenValid(name, token) {
		return false
	}
	entry.renewedAt = now
	if lastHeld, ok := t.lastHeld[name]; ok && !entry.acknowledged && t.observeGap != nil {
		t.observeGap(now.Sub(lastHeld))
	}
	entry.acknowledged, t.lastHeld[name] = true, now
	return true
}

// heldFor returns how long a lease has been held under its current token, as far as this leader knows.
func (t *leaseTracker) heldFor(now time.Time, lease *leasetable.Lease) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.leases[lease.Name][lease.Holder]; entry != nil && lease.Holder != "" {
		return now.Sub(entry.startedAt)
	}
	return 0
}

// beginExpiry returns an operation for each expired lease and each expired place in a queue. These leases and
// places can no longer be renewed. Each call returns an operation again until it is applied and refresh is called.
func (t *leaseTracker) beginExpiry(now time.Time) []leasetable.Operation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []leasetable.Operation
	for name, entries := range t.leases {
		for candidate, entry := range entries {
			if !entry.expiredAt(now) {
				continue
			}
			entry.expiryPending = true
			expired = append(expired, leasetable.Operation{
				Kind: leasetable.Expire, Name: name, Candidate: candidate, Token: entry.token, ShortTenure: entry.isShortTenure(now),
			})
		}
	}
	slices.SortFunc(expired, func(a, b leasetable.Operation) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(b.Token, a.Token), strings.Compare(a.Candidate, b.Candidate))
	})
	return expired
}

func (e *trackedLease) expiredAt(now time.Time) bool {
	grace := time.Duration(expiryGraceFraction * float64(e.ttl))
	return now.Sub(e.renewedAt) > e.ttl+grace
}

// isShortTenure reports whether the tenure under a token counts as short if it ends now.
func (t *leaseTracker) isShortTenure(now time.Time, name, candidate string, token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.leases[name][candidate]
	return entry != nil && entry.token == token && entry.isShortTenure(now)
}

// isShortTenure returns false for a tenure that started under another leader, because that tenure may be long.
func (e *trackedLease) isShortTenure(now time.Time) bool {
	return e.token != 0 && e.startObserved && now.Sub(e.startedAt) < shortTenureLeases*e.ttl
}

// expireLeases expires the leases, and the places in queues, that were not renewed in time. Only the leader loop calls
// it.
func (r *Replica) expireLeases() {
	for _, op := range r.leaseTracker.beginExpiry(time.Now()) {
		if _, err := r.propose(&Record{Op: OpLease, Lease: &op}); err != nil {
			return // the next call by this leader or its successor finds them again
		}
		r.refreshLease(op.Name)
		r.logger.Info("lease expired", "lease", op.Name, "candidate", op.Candidate, "token", op.Token)
	}
}

func (r *Replica) refreshLease(name string) {
	r.hub.Read(func(state *StateMachine) { r.leaseTracker.refresh(time.Now(), state, name) })
}
