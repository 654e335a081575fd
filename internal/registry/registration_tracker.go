package registry

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ExpiryPolicy limits mass expiry. If many instances miss their heartbeats at once, it is more likely that the registry
// does not receive the heartbeats than that all instances have failed.
type ExpiryPolicy struct {
	MaxShare float64       // maximum share of registrations that may expire within Window; beyond it, expiry is held back
	Window   time.Duration // sliding window in which expiries are counted
}

const (
	// minMassExpiry is the smallest number of missing instances that counts as a mass expiry, whatever their share: in
	// a small fleet a single instance is a large share.
	minMassExpiry = 3
	// lateFraction is the fraction of a lease after which an instance without a renewal is late and counts as missing.
	// Instances renew three times per lease, so by then two renewals were missed.
	lateFraction = 0.7
)

// registrationTracker tracks the leases of registrations in the leader's memory; renewals are not replicated. Times are
// readings of the monotonic clock.
type registrationTracker struct {
	policy ExpiryPolicy

	mu             sync.Mutex
	registrations  map[string]*trackedRegistration // by uid; registrations that never expire are absent
	recentExpiries []time.Time                     // within the policy's window
}

type trackedRegistration struct {
	ttl       time.Duration
	revision  uint64
	renewedAt time.Time
	suspect   bool
}

// registrationSource is a set of registrations with leases: the instances, or the sidecars presented as instances.
type registrationSource interface {
	Get(uid string) (Instance, bool)
	ForEach(visit func(*Instance))
}

func newRegistrationTracker(policy ExpiryPolicy) *registrationTracker {
	return &registrationTracker{policy: policy, registrations: map[string]*trackedRegistration{}}
}

// reset restarts every registration with its full lease. A new leader calls it because it does not know when its
// predecessor received the last renewals.
func (t *registrationTracker) reset(now time.Time, source registrationSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registrations, t.recentExpiries = map[string]*trackedRegistration{}, nil
	source.ForEach(func(instance *Instance) { t.trackLocked(now, instance) })
}

// trackLocked starts a new lease, or drops a registration that never expires. The caller holds the lock.
func (t *registrationTracker) trackLocked(now time.Time, instance *Instance) {
	if instance.TTLMS == 0 {
		delete(t.registrations, instance.UID)
		return
	}
	t.registrations[instance.UID] = &trackedRegistration{
		ttl: milliseconds(instance.TTLMS), revision: instance.Revision, renewedAt: now, suspect: instance.Suspect,
	}
}

// refresh updates the tracker after a write to the given registrations.
func (t *registrationTracker) refresh(now time.Time, source registrationSource, uids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, uid := range uids {
		instance, ok := source.Get(uid)
		tracked := t.registrations[uid]
		switch {
		case !ok:
			delete(t.registrations, uid)
		case tracked == nil || tracked.revision != instance.Revision || tracked.ttl != milliseconds(instance.TTLMS):
			t.trackLocked(now, &instance)
		default:
			tracked.suspect = instance.Suspect
		}
	}
}

// renew renews leases. It returns the uids that are not registered, and the suspects among those renewed.
func (t *registrationTracker) renew(now time.Time, source registrationSource, uids []string) (unknown, alive []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, uid := range uids {
		tracked := t.registrations[uid]
		if tracked == nil {
			if _, ok := source.Get(uid); !ok {
				unknown = append(unknown, uid)
			}
			continue
		}
		tracked.renewedAt = now
		if tracked.suspect {
			alive = append(alive, uid)
		}
	}
	return unknown, alive
}

// sweep returns the registrations whose leases have expired, ordered by uid. It returns them in expire or, if too many
// are missing at once, in suspects. Each sweep returns a registration again until refresh is called after a write to
// it.
func (t *registrationTracker) sweep(now time.Time) (expire, suspects []InstanceRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := 0
	for uid, tracked := range t.registrations {
		idle := now.Sub(tracked.renewedAt)
		if idle > time.Duration(lateFraction*float64(tracked.ttl)) {
			late++
		}
		if idle > tracked.ttl && !tracked.suspect {
			expire = append(expire, InstanceRef{uid, tracked.revision})
		}
	}
	t.recentExpiries = slices.DeleteFunc(t.recentExpiries, func(expiredAt time.Time) bool {
		return now.Sub(expiredAt) > t.policy.Window
	})
	if len(expire) == 0 {
		return nil, nil
	}
	slices.SortFunc(expire, func(a, b InstanceRef) int { return strings.Compare(a.UID, b.UID) })
	if t.isMassExpiryLocked(late) {
		return nil, expire
	}
	return expire, nil
}

// isMassExpiryLocked reports whether too many registrations are missing. Registrations count as missing if they are
// late and still tracked, or have expired within the policy's window. The caller holds the lock.
func (t *registrationTracker) isMassExpiryLocked(late int) bool {
	total := len(t.registrations) + len(t.recentExpiries)
	missing := late + len(t.recentExpiries)
	return missing >= minMassExpiry && float64(missing) > t.policy.MaxShare*float64(total)
}

// recordExpired counts expiries towards the policy's limit.
func (t *registrationTracker) recordExpired(now time.Time, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range count {
		t.recentExpiries = append(t.recentExpiries, now)
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
