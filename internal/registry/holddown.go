package registry

import (
	"slices"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

const (
	// shortTenureLeases is the number of lease durations below which a tenure counts as short. A holder that fails
	// right after it has acquired a lease loses the lease within two lease durations.
	shortTenureLeases = 3
	// allowedShortTenures is the number of successive short tenures of a lease after which the candidate's next
	// campaign is not yet delayed by a hold-down. Two short tenures may be coincidence.
	allowedShortTenures = 2
	// initialHoldDownLeases is the number of lease durations that the first hold-down lasts. Each further hold-down
	// lasts twice as long as the one before, up to maxHoldDown. During a hold-down, the next candidate has time for a
	// tenure that is not short.
	initialHoldDownLeases = 4
	maxHoldDown           = time.Minute
)

// holdDown delays the next campaign of a candidate that had several short tenures. The number of short tenures is
// replicated. The time is tracked by the leader alone; a new leader restarts all hold-downs.
type holdDown struct {
	shortTenures   leasetable.ShortTenureCount
	expiresAt      time.Time
	lastCampaignAt time.Time // last campaign during the hold-down, admitted or not; zero: none
}

// holdDownDuration returns how long a candidate is held down after a number of short tenures; 0: not at all.
func holdDownDuration(ttl time.Duration, shortTenures int) time.Duration {
	if shortTenures <= allowedShortTenures {
		return 0
	}
	return min(initialHoldDownLeases*ttl<<(shortTenures-allowedShortTenures-1), maxHoldDown)
}

// trackHoldDownsLocked starts the hold-downs that are not tracked yet, and drops those of candidates whose last short
// tenure has changed. The caller holds the lock.
func (t *leaseTracker) trackHoldDownsLocked(now time.Time, lease *leasetable.Lease) {
	entries := t.holdDowns[lease.Name]
	for candidate, entry := range entries {
		if lease.ShortTenuresOf(candidate).Token != entry.shortTenures.Token {
			delete(entries, candidate)
		}
	}
	for _, shortTenures := range lease.ShortTenures {
		duration := holdDownDuration(milliseconds(lease.TTLMS), shortTenures.Count)
		if duration == 0 || entries[shortTenures.Candidate] != nil {
			continue
		}
		if entries == nil {
			entries = map[string]*holdDown{}
			t.holdDowns[lease.Name] = entries
		}
		entries[shortTenures.Candidate] = &holdDown{shortTenures: shortTenures, expiresAt: now.Add(duration)}
	}
}

// admitCandidate reports whether a candidate may campaign for a lease. A candidate that is held down may campaign only
// if nobody else can acquire the lease: there is no holder, no queue, and no other held-down candidate that has
// campaigned within the last lease duration.
func (t *leaseTracker) admitCandidate(now time.Time, state *StateMachine, name, candidate string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lease, _ := state.leases.Get(name)
	entry := t.holdDowns[name][candidate]
	if entry == nil || !now.Before(entry.expiresAt) || lease.Holder == candidate || slices.Contains(lease.Queue, candidate) {
		return true
	}
	if entry.lastCampaignAt.IsZero() {
		t.logger.Info("candidate held down", "lease", name, "candidate", candidate,
			"short_tenures", entry.shortTenures.Count, "remaining", entry.expiresAt.Sub(now))
	}
	entry.lastCampaignAt = now
	if lease.Holder != "" || len(lease.Queue) > 0 {
		return false
	}
	for other, otherEntry := range t.holdDowns[name] {
		if other != candidate && otherEntry.campaignedWithin(milliseconds(lease.TTLMS), now) {
			return false
		}
	}
	return true
}

func (h *holdDown) campaignedWithin(duration time.Duration, now time.Time) bool {
	return !h.lastCampaignAt.IsZero() && now.Sub(h.lastCampaignAt) < duration
}

// admitCandidate calls leaseTracker.admitCandidate with the current state.
func (r *Replica) admitCandidate(name, candidate string) (admitted bool) {
	r.hub.Read(func(state *StateMachine) {
		admitted = r.leaseTracker.admitCandidate(time.Now(), state, name, candidate)
	})
	return admitted
}
