package registry

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ExpiryPolicy says when missing renewals are believed.
type ExpiryPolicy struct {
	// Share of all leases that may end within Within; beyond it they are held back: many things that seem to die
	// at once are more likely one thing that cannot see.
	MaxShare float64
	Window   time.Duration
}

const (
	// minMassExpiry: below so many at once no share is too large; small fleets would otherwise lose nobody, ever.
	minMassExpiry = 3
	// lateFraction is the part of a lease without renewal from which an instance counts as missing. Renewals come
	// three times in a lease, so two have been missed.
	lateFraction = 0.7
)

// registrationTracker are the leader's alone: renewals are kept here and not in the log. Time is the monotonic clock's.
type registrationTracker struct {
	policy ExpiryPolicy

	mu             sync.Mutex
	registrations  map[string]*trackedRegistration
	recentExpiries []time.Time // of late, for the share
}

type trackedRegistration struct {
	ttl       time.Duration
	revision  uint64
	renewedAt time.Time
	suspect   bool
}

// registrationSource is who has leases: instances of the list, or sidecars shown as such.
type registrationSource interface {
	Get(uid string) (Instance, bool)
	ForEach(visit func(*Instance))
}

func newRegistrationTracker(policy ExpiryPolicy) *registrationTracker {
	return &registrationTracker{policy: policy, registrations: map[string]*trackedRegistration{}}
}

// reset gives every instance its full time again, as a new leader does.
func (l *registrationTracker) reset(now time.Time, source registrationSource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registrations, l.recentExpiries = map[string]*trackedRegistration{}, nil
	source.ForEach(func(instance *Instance) { l.trackLocked(now, instance) })
}

func (l *registrationTracker) trackLocked(now time.Time, instance *Instance) {
	if instance.TTLMS == 0 {
		delete(l.registrations, instance.UID)
		return
	}
	l.registrations[instance.UID] = &trackedRegistration{ttl: time.Duration(instance.TTLMS) * time.Millisecond, revision: instance.Revision, renewedAt: now, suspect: instance.Suspect}
}

// refresh takes over what a write has done to instances.
func (l *registrationTracker) refresh(now time.Time, source registrationSource, uids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, uid := range uids {
		instance, ok := source.Get(uid)
		existing := l.registrations[uid]
		switch {
		case !ok:
			delete(l.registrations, uid)
		case existing == nil || existing.revision != instance.Revision || time.Duration(instance.TTLMS)*time.Millisecond != existing.ttl:
			l.trackLocked(now, &instance)
		default:
			existing.suspect = instance.Suspect
		}
	}
}

// renew extends leases. It returns those that are not known, which have to register again, and those that were
// held back and have now proved alive.
func (l *registrationTracker) renew(now time.Time, source registrationSource, uids []string) (unknown, alive []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, uid := range uids {
		if entry := l.registrations[uid]; entry != nil {
			entry.renewedAt = now
			if entry.suspect {
				alive = append(alive, uid)
			}
		} else if _, ok := source.Get(uid); !ok {
			unknown = append(unknown, uid)
		}
	}
	return unknown, alive
}

// sweep finds the leases that have ended: those to expire, or, when too many are missing at once, those to hold
// back. Each is returned until a write has taken it over.
func (l *registrationTracker) sweep(now time.Time) (expire, holdBack []InstanceRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	for uid, entry := range l.registrations {
		idle := now.Sub(entry.renewedAt)
		if idle > time.Duration(lateFraction*float64(entry.ttl)) {
			late++
		}
		if idle > entry.ttl && !entry.suspect {
			expire = append(expire, InstanceRef{uid, entry.revision})
		}
	}
	l.recentExpiries = slices.DeleteFunc(l.recentExpiries, func(expiredAt time.Time) bool { return now.Sub(expiredAt) > l.policy.Window })
	if len(expire) == 0 {
		return nil, nil
	}
	slices.SortFunc(expire, func(a, b InstanceRef) int { return strings.Compare(a.UID, b.UID) })
	total := len(l.registrations) + len(l.recentExpiries)
	missing := late + len(l.recentExpiries)
	if missing >= minMassExpiry && float64(missing) > l.policy.MaxShare*float64(total) {
		return nil, expire
	}
	return expire, nil
}

// recordExpired counts those that a sweep has ended.
func (l *registrationTracker) recordExpired(now time.Time, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range count {
		l.recentExpiries = append(l.recentExpiries, now)
	}
}
