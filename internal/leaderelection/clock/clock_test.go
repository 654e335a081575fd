package clock

import (
	"testing"
	"time"
)

// A time of any clock converts to the machine's monotonic clock, and a jump of the wall time does not change the result.
func TestReadingsMapToMonotonicClock(t *testing.T) {
	for _, text := range []string{"", "rate=0.5", "rate=2", "jump=1h/1ms", "rate=0.9,jump=1h/1ms"} {
		c, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			before := MonotonicNS()
			now := c.Now()
			after := MonotonicNS()
			// The two readings that newClock relates are at most a few µs apart, unless the test was preempted.
			if ns := c.MonotonicNSOf(now); ns < before-int64(time.Millisecond) || ns > after+int64(time.Millisecond) {
				t.Fatalf("%q: reading %d ns is not between %d and %d", text, ns, before, after)
			}
		}
		if ahead := c.Now().Round(0).Sub(time.Now().Round(0)); (ahead > 59*time.Minute) != (c.jump != 0) {
			t.Errorf("%q: the wall clock is %v ahead", text, ahead)
		}
	}
	for _, text := range []string{"rate=0", "rate=nan", "rate=x", "jump=1h", "jump=1h/0s", "late"} {
		if _, err := Parse(text); err == nil {
			t.Errorf("Parse accepted %q", text)
		}
	}
	if Accurate().MonotonicNSOf(time.Time{}) != 0 {
		t.Error("the zero time does not convert to 0")
	}
}
