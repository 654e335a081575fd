// Package clock provides clocks with configured faults for candidates of an election, for fault injection. It also converts
// their times to the machine's monotonic clock, which all processes share, so that package bench can order the periods in
// which different processes considered themselves the holder. It owns no state and sets no system clock.
package clock

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Limits of a clock's rate, relative to real time.
const (
	minRate = 0.1
	maxRate = 10
)

// calibrationSamples is the number of pairs of readings by which newClock relates a Clock to the machine's monotonic clock.
const calibrationSamples = 16

// MonotonicNS returns the reading of the machine's monotonic clock in ns. All processes read the same clock, steps of the
// wall clock do not affect it, and the monotonic readings of package time come from it too.
func MonotonicNS() int64 {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &timespec); err != nil {
		panic(err) // every Linux has this clock
	}
	return timespec.Nano()
}

// Clock runs at a multiple of real time, and its wall time jumps forward at intervals. It implements leaderelection.Clock.
type Clock struct {
	rate         float64
	jump         time.Duration // added to the wall time every jumpInterval
	jumpInterval time.Duration

	baseTime        time.Time // when the clock was created; baseMonotonicNS is the same moment by MonotonicNS
	baseMonotonicNS int64
}

// Accurate returns a clock without faults.
func Accurate() *Clock { return newClock(1, 0, 0) }

func newClock(rate float64, jump, jumpInterval time.Duration) *Clock {
	c := &Clock{rate: rate, jump: jump, jumpInterval: jumpInterval}
	// The two clocks cannot be read at the same moment, so newClock uses the pair of readings that took the shortest time.
	shortest := int64(math.MaxInt64)
	for range calibrationSamples {
		before, wall := MonotonicNS(), time.Now()
		if elapsed := MonotonicNS() - before; elapsed < shortest {
			shortest, c.baseTime, c.baseMonotonicNS = elapsed, wall, before
		}
	}
	return c
}

// Parse returns a clock with the faults that text lists, separated by commas: "rate=0.8" runs at 0.8 times real time,
// "jump=1h/300ms" sets the wall time forward by an hour every 300 ms, "" has no fault.
func Parse(text string) (*Clock, error) {
	rate, jump, jumpInterval := 1.0, time.Duration(0), time.Duration(0)
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(part, "=")
		var err error
		switch key {
		case "":
		case "rate":
			rate, err = parseRate(value)
		case "jump":
			jump, jumpInterval, err = parseJump(value)
		default:
			err = errors.New("unknown fault, want rate or jump")
		}
		if err != nil {
			return nil, fmt.Errorf("clock %q: %w", part, err)
		}
	}
	return newClock(rate, jump, jumpInterval), nil
}

func parseRate(value string) (float64, error) {
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, err
	}
	if rate >= minRate && rate <= maxRate {
		return rate, nil
	}
	return 0, fmt.Errorf("rate is not within %v to %v", minRate, maxRate) // also for NaN
}

func parseJump(value string) (jump, interval time.Duration, err error) {
	amount, every, _ := strings.Cut(value, "/")
	if jump, err = time.ParseDuration(amount); err != nil {
		return 0, 0, err
	}
	if interval, err = time.ParseDuration(every); err != nil {
		return 0, 0, err
	}
	if interval <= 0 {
		return 0, 0, fmt.Errorf("interval %v is not positive", interval)
	}
	return jump, interval, nil
}

// Now returns the current time by this clock.
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

// After is time.After with d measured by this clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.rate))
}

// MonotonicNSOf returns the reading of the machine's monotonic clock in ns at a time of this clock. The time must have its
// monotonic reading; the zero time gives 0.
func (c *Clock) MonotonicNSOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return c.baseMonotonicNS + int64(float64(t.Sub(c.baseTime))/c.rate)
}

// addWallOffset sets the wall time of t forward and leaves its monotonic reading unchanged. Package time returns such a
// time only after the system clock was set, so addWallOffset writes to the representation of time.Time. If that
// representation ever changes, the check below panics.
func addWallOffset(t time.Time, offset time.Duration) time.Time {
	const secondsShift = 30 // the word with the wall time holds seconds above this bit, nanoseconds below
	shifted := t
	*(*uint64)(unsafe.Pointer(&shifted)) += uint64(offset/time.Second) << secondsShift
	if shifted.Sub(t) != 0 || shifted.Round(0).Sub(t.Round(0)) != offset.Truncate(time.Second) {
		panic("time.Time has an unexpected representation")
	}
	return shifted
}
