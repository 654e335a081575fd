package registry

import (
	"log/slog"
	"slices"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

const (
	// shortTenureLeases is how many leases a tenure has to last to count as one that went well: who takes a duty up and fails
	// then loses it within two.
	shortTenureLeases = 3
	// allowedShortTenures come without a wait: two may be bad luck.
	allowedShortTenures = 2
	// initialHoldDownLeases is how many leases the first wait lasts, and each further one twice as long, up to maxHoldDown: by then the
	// next in line has had the time for a tenure that counts.
	initialHoldDownLeases = 4
	maxHoldDown           = time.Minute
)

// holdDown is the wait of a candidate that had a duty several times for a short while each. The count is the table's,
// the time the leader's; a new leader begins all waits anew.
type holdDown struct {
	failover       leasetable.Failover
	expiresAt      time.Time
	lastCampaignAt time.Time // when it last asked for the duty and had to wait
}

// holdDownDuration is how long a candidate waits after so many falls.
func holdDownDuration(ttl time.Duration, shortTenures int) time.Duration {
	if shortTenures <= allowedShortTenures {
		return 0
	}
	return min(initialHoldDownLeases*ttl<<(shortTenures-allowedShortTenures-1), maxHoldDown)
}

// trackHoldDownsLocked begins the waits that are not known; the caller holds the lock.
func (l *leaseTracker) trackHoldDownsLocked(now time.Time, current *leasetable.Lease) {
	for candidate, entry := range l.holdDowns[current.Name] {
		if current.FailoversOf(candidate).Token != entry.failover.Token {
			delete(l.holdDowns[current.Name], candidate)
		}
	}
	for _, failover := range current.Failovers {
		duration := holdDownDuration(time.Duration(current.TTLMS)*time.Millisecond, failover.Count)
		if duration == 0 || l.holdDowns[current.Name][failover.Candidate] != nil {
			continue
		}
		if l.holdDowns[current.Name] == nil {
			l.holdDowns[current.Name] = map[string]*holdDown{}
		}
		l.holdDowns[current.Name][failover.Candidate] = &holdDown{failover: failover, expiresAt: now.Add(duration)}
	}
}

// admitCandidate tells whether a candidate may have the duty or a place in its queue. One that is held down waits, unless nobody
// else is there: no holder, no queue, and no other that waits like it and has asked within a lease.
func (l *leaseTracker) admitCandidate(now time.Time, state *StateMachine, name, candidate string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, _ := state.leases.Get(name)
	entry := l.holdDowns[name][candidate]
	if entry == nil || !now.Before(entry.expiresAt) || current.Holder == candidate || slices.Contains(current.Queue, candidate) {
		return true
	}
	if entry.lastCampaignAt.IsZero() {
		slog.Info("candidate of a duty is held down", "duty", name, "who", candidate, "falls", entry.failover.Count, "for", entry.expiresAt.Sub(now))
	}
	entry.lastCampaignAt = now
	if current.Holder != "" || len(current.Queue) > 0 {
		return false
	}
	ttl := time.Duration(current.TTLMS) * time.Millisecond
	for other, otherEntry := range l.holdDowns[name] {
		if other != candidate && !otherEntry.lastCampaignAt.IsZero() && now.Sub(otherEntry.lastCampaignAt) < ttl {
			return false
		}
	}
	return true
}

// isShortTenure tells whether a tenure that ends now was one.
func (l *leaseTracker) isShortTenure(now time.Time, name, candidate string, token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.leases[name][candidate]
	return entry != nil && entry.token == token && entry.isShortTenure(now)
}

// isShortTenure needs to have seen the beginning: what began under another leader may have lasted for long.
func (e *trackedLease) isShortTenure(now time.Time) bool {
	return e.token != 0 && e.startObserved && now.Sub(e.startedAt) < shortTenureLeases*e.ttl
}

// admitCandidate is admit for a call.
func (r *Replica) admitCandidate(name, candidate string) (admitted bool) {
	r.hub.Read(func(state *StateMachine) {
		admitted = r.leaseTracker.admitCandidate(time.Now(), state, name, candidate)
	})
	return admitted
}
