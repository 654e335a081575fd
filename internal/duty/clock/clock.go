// Package clock gives candidates for duties a clock that can be wrong in a known way, and a reading that processes of
// one machine can compare, so that a judge knows when each of them believed what.
package clock

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The rates at which a wrong clock may run: beyond them it is no clock.
const (
	leastRate = 0.1
	mostRate  = 10
)

// MachineNS reads the machine's monotonic clock in ns. All processes read the same, and no step of the wall clock
// moves it; Go's own monotonic readings are of the same clock.
func MachineNS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(err) // every Linux has it
	}
	return ts.Nano()
}

// Clock runs at Rate of the true speed, with its wall clock put forward by Jump every JumpEvery.
type Clock struct {
	rate      float64
	jump      time.Duration
	jumpEvery time.Duration

	base   time.Time
	baseNS int64
}

// True is a clock that is right.
func True() *Clock { return newClock(1, 0, 0) }

func newClock(rate float64, jump, every time.Duration) *Clock {
	c := &Clock{rate: rate, jump: jump, jumpEvery: every}
	// The two readings are taken as one: of a few tries the closest counts.
	closest := int64(1 << 62)
	for range 16 {
		before, base := MachineNS(), time.Now()
		if apart := MachineNS() - before; apart < closest {
			closest, c.base, c.baseNS = apart, base, before
		}
	}
	return c
}

// Parse reads what is wrong with a clock: "" for nothing, "rate=0.8", "jump=1h/300ms", or both with a comma.
func Parse(text string) (*Clock, error) {
	rate, jump, every := 1.0, time.Duration(0), time.Duration(0)
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(part, "=")
		var err error
		switch key {
		case "":
		case "rate":
			if rate, err = strconv.ParseFloat(value, 64); err == nil && !(rate >= leastRate && rate <= mostRate) {
				err = fmt.Errorf("not within %v to %v", leastRate, mostRate)
			}
		case "jump":
			by, often, _ := strings.Cut(value, "/")
			if jump, err = time.ParseDuration(by); err == nil {
				every, err = time.ParseDuration(often)
			}
			if err == nil && every <= 0 {
				err = fmt.Errorf("every %v", every)
			}
		default:
			err = fmt.Errorf("neither rate nor jump")
		}
		if err != nil {
			return nil, fmt.Errorf("clock %q: %w", part, err)
		}
	}
	return newClock(rate, jump, every), nil
}

// Now is the time as this clock has it.
func (c *Clock) Now() time.Time {
	if c.rate == 1 && c.jump == 0 {
		return time.Now()
	}
	real := time.Since(c.base)
	now := c.base.Add(time.Duration(float64(real) * c.rate))
	if c.jump != 0 {
		now = jumped(now, c.jump*(1+real/c.jumpEvery))
	}
	return now
}

// After is a timer of this clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.rate))
}

// NS is when the machine's clock reads what this one reads as t, a time with a monotonic reading; 0 for no time.
func (c *Clock) NS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return c.baseNS + int64(float64(t.Sub(c.base))/c.rate)
}

// jumped is a time whose wall clock was set forward and whose monotonic reading was not. Nothing but a clock that is
// set between two readings makes such a pair, so it is put together here from what time.Time consists of.
func jumped(t time.Time, by time.Duration) time.Time {
	const secondsAt = 30 // of the word that holds the wall time, with nanoseconds below
	out := t
	*(*uint64)(unsafe.Pointer(&out)) += uint64(by/time.Second) << secondsAt
	if out.Sub(t) != 0 || out.Round(0).Sub(t.Round(0)) != by.Truncate(time.Second) {
		panic("time.Time is laid out in another way")
	}
	return out
}
