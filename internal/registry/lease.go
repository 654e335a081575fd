package registry

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Expiry says when missing renewals are believed.
type Expiry struct {
	// Share of all leases that may end within Within; beyond it they are held back: many things that seem to die
	// at once are more likely one thing that cannot see.
	Share  float64
	Within time.Duration
}

const (
	// fewestHeld: below so many at once no share is too large; small fleets would otherwise lose nobody, ever.
	fewestHeld = 3
	// lateAfter is the part of a lease without renewal from which an instance counts as missing. Renewals come
	// three times in a lease, so two have been missed.
	lateAfter = 0.7
)

// leases are the leader's alone: renewals are kept here and not in the log. Time is the monotonic clock's.
type leases struct {
	rules Expiry

	mu    sync.Mutex
	of    map[string]*lease
	ended []time.Time // of late, for the share
}

type lease struct {
	ttl     time.Duration
	rev     uint64
	renewed time.Time
	suspect bool
}

// leased is who has leases: instances of the list, or sidecars shown as such.
type leased interface {
	Get(uid string) (Instance, bool)
	All(do func(*Instance))
}

func newLeases(rules Expiry) *leases { return &leases{rules: rules, of: map[string]*lease{}} }

// reset gives every instance its full time again, as a new leader does.
func (l *leases) reset(now time.Time, s leased) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of, l.ended = map[string]*lease{}, nil
	s.All(func(i *Instance) { l.put(now, i) })
}

func (l *leases) put(now time.Time, i *Instance) {
	if i.TTLMS == 0 {
		delete(l.of, i.UID)
		return
	}
	l.of[i.UID] = &lease{ttl: time.Duration(i.TTLMS) * time.Millisecond, rev: i.Rev, renewed: now, suspect: i.Suspect}
}

// follow takes over what a write has done to instances.
func (l *leases) follow(now time.Time, s leased, uids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, uid := range uids {
		i, is := s.Get(uid)
		old := l.of[uid]
		switch {
		case !is:
			delete(l.of, uid)
		case old == nil || old.rev != i.Rev || time.Duration(i.TTLMS)*time.Millisecond != old.ttl:
			l.put(now, &i)
		default:
			old.suspect = i.Suspect
		}
	}
}

// renew extends leases. It returns those that are not known, which have to register again, and those that were
// held back and have now proved alive.
func (l *leases) renew(now time.Time, s leased, uids []string) (unknown, alive []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, uid := range uids {
		if e := l.of[uid]; e != nil {
			e.renewed = now
			if e.suspect {
				alive = append(alive, uid)
			}
		} else if _, is := s.Get(uid); !is {
			unknown = append(unknown, uid)
		}
	}
	return unknown, alive
}

// sweep finds the leases that have ended: those to expire, or, when too many are missing at once, those to hold
// back. Each is returned until a write has taken it over.
func (l *leases) sweep(now time.Time) (expire, hold []Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	for uid, e := range l.of {
		idle := now.Sub(e.renewed)
		if idle > time.Duration(lateAfter*float64(e.ttl)) {
			late++
		}
		if idle > e.ttl && !e.suspect {
			expire = append(expire, Ref{uid, e.rev})
		}
	}
	l.ended = slices.DeleteFunc(l.ended, func(t time.Time) bool { return now.Sub(t) > l.rules.Within })
	if len(expire) == 0 {
		return nil, nil
	}
	slices.SortFunc(expire, func(a, b Ref) int { return strings.Compare(a.UID, b.UID) })
	all := len(l.of) + len(l.ended)
	missing := late + len(l.ended)
	if missing >= fewestHeld && float64(missing) > l.rules.Share*float64(all) {
		return nil, expire
	}
	return expire, nil
}

// expired counts those that a sweep has ended.
func (l *leases) expired(now time.Time, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range n {
		l.ended = append(l.ended, now)
	}
}
