package sidecar

import (
	"testing"
	"time"

	"milldeck/balance"
)

// Early resets lower the limit on the idle time of a server's connections, to the lower bound at most.
func TestIdleTimeLimitFallsToLowerBound(t *testing.T) {
	const configured = 9 * time.Second
	now := time.Now()
	var limit idleTimeLimit
	if got := limit.at(now, configured); got != configured {
		t.Errorf("%v at the start, want %v", got, configured)
	}
	for _, test := range []struct{ idleTime, want time.Duration }{
		{minIdleTimeLimit - 1, configured}, // no evidence
		{time.Second, 700 * time.Millisecond},
		{2 * time.Second, 700 * time.Millisecond},
		{400 * time.Millisecond, 280 * time.Millisecond},
		{minIdleTimeLimit, minIdleTimeLimit},
	} {
		limit.lower(now, configured, test.idleTime)
		if got := limit.at(now, configured); got != test.want {
			t.Errorf("%v after a reset of a connection that was idle for %v, want %v", got, test.idleTime, test.want)
		}
	}
}

// The limit grows with time where no connection is idle for long enough to raise it, up to the one from the settings.
func TestIdleTimeLimitRecovers(t *testing.T) {
	const configured = time.Second
	now := time.Now()
	var limit idleTimeLimit
	limit.lower(now, configured, 500*time.Millisecond)
	for _, test := range []struct{ elapsed, want time.Duration }{
		{0, 350 * time.Millisecond},
		{idleTimeDoubling, 700 * time.Millisecond},
		{2 * idleTimeDoubling, configured},
		{1000 * time.Hour, configured},
	} {
		if got := limit.at(now.Add(test.elapsed), configured); (got - test.want).Abs() > time.Microsecond {
			t.Errorf("%v after %v, want %v", got, test.elapsed, test.want)
		}
	}
	limit.lower(now.Add(idleTimeDoubling), configured, 2*time.Second)
	if got, want := limit.at(now.Add(idleTimeDoubling), configured), 700*time.Millisecond; (got - want).Abs() > time.Microsecond {
		t.Errorf("%v after a reset of a connection that was idle for longer, want %v", got, want)
	}
}

// A successful reuse raises the limit if the connection was idle for over half of it.
func TestIdleTimeLimitRises(t *testing.T) {
	const configured = time.Second
	now := time.Now()
	var limit idleTimeLimit
	limit.raise(now, configured, configured)
	if got := limit.at(now, configured); got != configured {
		t.Errorf("%v, though no reset has lowered it", got)
	}
	limit.lower(now, configured, 500*time.Millisecond)
	limit.raise(now, configured, 100*time.Millisecond)
	if got := limit.at(now, configured); got != 350*time.Millisecond {
		t.Errorf("%v after a reuse that proves nothing", got)
	}
	limit.raise(now, configured, 200*time.Millisecond)
	if got := limit.at(now, configured); got != 357*time.Millisecond {
		t.Errorf("%v after a reuse near the limit", got)
	}
}

// However many connections are reset just after their reuse delay, the next one is reused: a limit below the reuse delay would
// rule out every reuse, and with it the successes that raise the limit.
func TestResetsDoNotRuleOutReuse(t *testing.T) {
	pool := newConnPool(&Config{connIdleTimeout: 10 * time.Second}, 8, &byteBudget{})
	upstream := &upstreamHost{}
	for _, delays := range []int{1, 2, 4, 4, 3, 1} {
		pool.learnIdleTimeLimit(upstream, time.Duration(delays)*reuseDelay, balance.Reset, 0)
	}
	if limit := pool.idleTimeLimit(upstream); limit < 2*pool.reuseDelay {
		t.Errorf("connections are reused after %v to %v idle", pool.reuseDelay, limit)
	}
}
