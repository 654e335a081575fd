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
	minRate = 0.1
	maxRate = 10
)

// MonotonicNS reads the machine's monotonic clock in ns. All processes read the same, and no step of the wall clock
// moves it; Go's own monotonic readings are of the same clock.
func MonotonicNS() int64 {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &timespec); err != nil {
		panic(err) // every Linux has it
	}
	return timespec.Nano()
}

// Clock runs at Rate of the true speed, with its wall clock put forward by Jump every JumpEvery.
type Clock struct {
	rate         float64
	jump         time.Duration
	jumpInterval time.Duration

	baseTime        time.Time
	baseMonotonicNS int64
}

// Accurate is a clock that is right.
func Accurate() *Clock { return newClock(1, 0, 0) }

func newClock(rate float64, jump, jumpInterval time.Duration) *Clock {
	c := &Clock{rate: rate, jump: jump, jumpInterval: jumpInterval}
	// The two readings are taken as one: of a few tries the closest counts.
	closest := int64(1 << 62)
	for range 16 {
		before, wall := MonotonicNS(), time.Now()
		if distance := MonotonicNS() - before; distance < closest {
			closest, c.baseTime, c.baseMonotonicNS = distance, wall, before
		}
	}
	return c
}

// Parse reads what is wrong with a clock: "" for nothing, "rate=0.8", "jump=1h/300ms", or both with a comma.
func Parse(text string) (*Clock, error) {
	rate, jump, jumpInterval := 1.0, time.Duration(0), time.Duration(0)
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(part, "=")
		var err error
		switch key {
		case "":
		case "rate":
			if rate, err = strconv.ParseFloat(value, 64); err == nil && !(rate >= minRate && rate <= maxRate) {
				err = fmt.Errorf("not within %v to %v", minRate, maxRate)
			}
		case "jump":
			amount, interval, _ := strings.Cut(value, "/")
			if jump, err = time.ParseDuration(amount); err == nil {
				jumpInterval, err = time.ParseDuration(interval)
			}
			if err == nil && jumpInterval <= 0 {
				err = fmt.Errorf("every %v", jumpInterval)
			}
		default:
			err = fmt.Errorf("neither rate nor jump")
		}
		if err != nil {
			return nil, fmt.Errorf("clock %q: %w", part, err)
		}
	}
	return newClock(rate, jump, jumpInterval), nil
}

// Now is the time as this clock has it.
func (c *Clock) Now() time.Time {
	if c.rate == 1 && c.jump == 0 {
		return time.Now()
	}
	elapsed := time.Since(c.baseTime)
	now := c.baseTime.Add(time.Duration(float64(elapsed) * c.rate))
	if c.jump != 0 {
		now = addWallOffset(now, c.jump*(1+elapsed/c.jumpInterval))
	}
	return now
}

// After is a timer of this clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.rate))
}

// MonotonicNSOf is when the machine's clock reads what this one reads as t, a time with a monotonic reading; 0 for no time.
func (c *Clock) MonotonicNSOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return c.baseMonotonicNS + int64(float64(t.Sub(c.baseTime))/c.rate)
}

// addWallOffset is a time whose wall clock was set forward and whose monotonic reading was not. Nothing but a clock that is
// set between two readings makes such a pair, so it is put together here from what time.Time consists of.
func addWallOffset(t time.Time, offset time.Duration) time.Time {
	const secondsShift = 30 // of the word that holds the wall time, with nanoseconds below
	shifted := t
	*(*uint64)(unsafe.Pointer(&shifted)) += uint64(offset/time.Second) << secondsShift
	if shifted.Sub(t) != 0 || shifted.Round(0).Sub(t.Round(0)) != offset.Truncate(time.Second) {
		panic("time.Time is laid out in another way")
	}
	return shifted
}
