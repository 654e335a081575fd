package sidecar

import (
	"cmp"
	"math"
	"time"
)

// Some servers close idle connections much sooner than the settings say, and reset the connection if a request arrives at
// that moment. After the reset the request counts as possibly executed, so the pool avoids writing to connections that a
// server may be closing: a reset soon after the write lowers the limit on the idle time of the server's connections.
const (
	staleResetWindow = 10 * time.Millisecond // from the last byte written to the reset; a later reset has other causes
	// minIdleTimeLimit is the lower bound of the limit. A limit below reuseDelay would rule out every reuse.
	minIdleTimeLimit = 3 * reuseDelay
	idleTimeDecrease = 0.7              // after a reset: the limit as a fraction of the connection's idle time
	idleTimeIncrease = 1.02             // after a successful reuse near the limit: factor by which the limit grows
	idleTimeDoubling = 30 * time.Second // time in which the limit doubles by itself, as the reset may have had another cause
)

// idleTimeLimit is how long a server's connections may be idle and still be reused. The zero value is the limit from the
// settings.
type idleTimeLimit struct {
	learned   time.Duration // 0: no reset has lowered the limit
	learnedAt time.Time
}

// at returns the limit at a time; configured is the limit from the settings.
func (l *idleTimeLimit) at(now time.Time, configured time.Duration) time.Duration {
	doublings := now.Sub(l.learnedAt).Seconds() / idleTimeDoubling.Seconds()
	grown := float64(cmp.Or(l.learned, configured)) * math.Exp2(max(doublings, 0))
	return time.Duration(min(grown, float64(configured)))
}

// lower lowers the limit after a reset of a connection that had been idle for idleTime. Shorter idle times than the lower bound
// are no evidence that the server closes idle connections.
func (l *idleTimeLimit) lower(now time.Time, configured, idleTime time.Duration) {
	if idleTime < minIdleTimeLimit {
		return
	}
	lowered := max(time.Duration(idleTimeDecrease*float64(idleTime)), minIdleTimeLimit)
	l.learned = min(l.at(now, configured), lowered)
	l.learnedAt = now
}

// raise raises a learned limit after a successful reuse of a connection that had been idle for over half of it.
func (l *idleTimeLimit) raise(now time.Time, configured, idleTime time.Duration) {
	limit := l.at(now, configured)
	if l.learned == 0 || idleTime <= limit/2 {
		return
	}
	l.learned = time.Duration(idleTimeIncrease * float64(limit))
	l.learnedAt = now
}
