package registry

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ExpiryPolicy limits mass expiry. Many instances that miss their heartbeats at once more likely mean that the registry
// cannot hear them than that all of them failed.
type ExpiryPolicy struct {
	MaxShare float64       // largest share of the registrations that may expire within Window; above, expiry is held back
	Window   time.Duration // sliding window that expiries are counted in
}

const (
	// minMassExpiry is the fewest missing instances that count as a mass expiry, whatever the share: in a small fleet a
	// single instance is a large share.
	minMassExpiry = 3
	// lateFraction is the part of a lease without renewal after which an instance counts as missing. Renewals come three
	// times in a lease, so two of them have been missed.
	lateFraction = 0.7
)

// registrationTracker tracks the leases of registrations, in the leader's memory: renewals are not replicated. Times are
// readings of the monotonic clock.
type registrationTracker struct {
	policy ExpiryPolicy

	mu             sync.Mutex
	registrations  map[string]*trackedRegistration // by uid; without those that never expire
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

// reset grants every registration its full lease again, as a new leader does: it does not know when its predecessor
// heard from them.
func (t *registrationTracker) reset(now time.Time, source registrationSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registrations, t.recentExpiries = map[string]*trackedRegistration{}, nil
	source.ForEach(func(instance *Instance) { t.trackLocked(now, instance) })
}

// trackLocked starts a new lease. The caller holds the lock.
func (t *registrationTracker) trackLocked(now time.Time, instance *Instance) {
	if instance.TTLMS == 0 {
		delete(t.registrations, instance.UID)
		return
	}
	t.registrations[instance.UID] = &trackedRegistration{
		ttl: milliseconds(instance.TTLMS), revision: instance.Revision, renewedAt: now, suspect: instance.Suspect,
	}
}

// refresh updates the tracker after a write about the registrations named.
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

// renew renews leases. It returns the uids that are not registered, and the suspects that have now proved alive.
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

// sweep returns the registrations whose leases have expired, ordered by uid: in expire, or, where too many are missing
// at once, in suspects. Each is returned by every sweep until refresh was called after a write about it.
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

// isMassExpiryLocked reports whether too many registrations are missing: the late ones, which are still tracked, and those
// that expired recently. The caller holds the lock.
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
