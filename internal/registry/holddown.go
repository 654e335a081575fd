package registry

import (
	"log/slog"
	"slices"
	"time"

	"milldeck/internal/duty/table"
)

const (
	// shortLeases is how many leases a tenure has to last to count as one that went well: who takes a duty up and fails
	// then loses it within two.
	shortLeases = 3
	// fallsAllowed come without a wait: two may be bad luck.
	fallsAllowed = 2
	// firstWait is how many leases the first wait lasts, and each further one twice as long, up to mostWait: by then the
	// next in line has had the time for a tenure that counts.
	firstWait = 4
	mostWait  = time.Minute
)

// holdDown is the wait of a candidate that had a duty several times for a short while each. The count is the table's,
// the time the leader's; a new leader begins all waits anew.
type holdDown struct {
	fall   table.Failover
	until  time.Time
	sought time.Time // when it last asked for the duty and had to wait
}

// downFor is how long a candidate waits after so many falls.
func downFor(ttl time.Duration, falls int) time.Duration {
	if falls <= fallsAllowed {
		return 0
	}
	return min(firstWait*ttl<<(falls-fallsAllowed-1), mostWait)
}

// putDown begins the waits that are not known; the caller holds the lock.
func (l *dutyLeases) putDown(now time.Time, d *table.Lease) {
	for who, h := range l.down[d.Name] {
		if d.FailoversOf(who).Token != h.fall.Token {
			delete(l.down[d.Name], who)
		}
	}
	for _, f := range d.Failovers {
		wait := downFor(time.Duration(d.TTLMS)*time.Millisecond, f.Count)
		if wait == 0 || l.down[d.Name][f.Candidate] != nil {
			continue
		}
		if l.down[d.Name] == nil {
			l.down[d.Name] = map[string]*holdDown{}
		}
		l.down[d.Name][f.Candidate] = &holdDown{fall: f, until: now.Add(wait)}
	}
}

// admit tells whether a candidate may have the duty or a place in its queue. One that is held down waits, unless nobody
// else is there: no holder, no queue, and no other that waits like it and has asked within a lease.
func (l *dutyLeases) admit(now time.Time, s *State, name, who string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, _ := s.duties.Get(name)
	h := l.down[name][who]
	if h == nil || !now.Before(h.until) || d.Holder == who || slices.Contains(d.Queue, who) {
		return true
	}
	if h.sought.IsZero() {
		slog.Info("candidate of a duty is held down", "duty", name, "who", who, "falls", h.fall.Count, "for", h.until.Sub(now))
	}
	h.sought = now
	if d.Holder != "" || len(d.Queue) > 0 {
		return false
	}
	ttl := time.Duration(d.TTLMS) * time.Millisecond
	for other, o := range l.down[name] {
		if other != who && !o.sought.IsZero() && now.Sub(o.sought) < ttl {
			return false
		}
	}
	return true
}

// short tells whether a tenure that ends now was one.
func (l *dutyLeases) short(now time.Time, name, who string, token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.of[name][who]
	return e != nil && e.token == token && e.short(now)
}

// short needs to have seen the beginning: what began under another leader may have lasted for long.
func (e *dutyLease) short(now time.Time) bool {
	return e.token != 0 && e.seen && now.Sub(e.begun) < shortLeases*e.ttl
}

// admits is admit for a call.
func (r *Replica) admits(name, who string) (yes bool) {
	r.hub.Read(func(s *State) { yes = r.duties.admit(time.Now(), s, name, who) })
	return yes
}
