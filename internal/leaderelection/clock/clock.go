// Package clock gives candidates of an election a clock with a known fault, for fault injection, and a reading that all
// processes of a machine can compare, so that package bench can order what each of them believed. It owns no state and
// sets no clock.
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

// The rates at which a faulty clock may run.
const (
	minRate = 0.1
	maxRate = 10
)

// baseReadings is how many pairs of readings are taken to relate a Clock to the machine's monotonic clock.
const calibrationSamples = 16

// MonotonicNS reads the machine's monotonic clock in ns. All processes read the same value, steps of the wall clock do
// not affect it, and Go's monotonic readings come from the same clock.
func MonotonicNS() int64 {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &timespec); err != nil {
		panic(err) // every Linux has this clock
	}
	return timespec.Nano()
}

// Clock runs at a rate of the true speed, and its wall time jumps again and again. It implements leaderelection.Clock.
type Clock struct {
	rate         float64
	jump         time.Duration // by which the wall time is set forward every jumpInterval
	jumpInterval time.Duration

	baseTime        time.Time // the clock's start, and the same moment by the machine's clock
	baseMonotonicNS int64
}

// Accurate returns a clock without faults.
func Accurate() *Clock { return newClock(1, 0, 0) }

func newClock(rate float64, jump, jumpInterval time.Duration) *Clock {
	c := &Clock{rate: rate, jump: jump, jumpInterval: jumpInterval}
	// Two clocks cannot be read at once: of several pairs of readings the one that took the shortest time is used.
	shortest := int64(math.MaxInt64)
	for range calibrationSamples {
		before, wall := MonotonicNS(), time.Now()
		if elapsed := MonotonicNS() - before; elapsed < shortest {
			shortest, c.baseTime, c.baseMonotonicNS = elapsed, wall, before
		}
	}
	return c
}

// Parse returns a clock with the faults that text names, separated by commas: "rate=0.8" for its speed, "jump=1h/300ms"
// for a wall time that is set forward by an hour every 300 ms, "" for none.
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
			err = errors.New("neither rate nor jump")
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
	return 0, fmt.Errorf("not within %v to %v", minRate, maxRate) // also what is not a number
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
		return 0, 0, fmt.Errorf("every %v", interval)
	}
	return jump, interval, nil
}

// Now returns the time by this clock.
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

// After is time.After by this clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.rate))
}

// MonotonicNSOf converts a time of this clock, with its monotonic reading, into the reading of the machine's monotonic
// clock at that moment; the zero time gives 0.
func (c *Clock) MonotonicNSOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return c.baseMonotonicNS + int64(float64(t.Sub(c.baseTime))/c.rate)
}

// addWallOffset sets the wall time of t forward and leaves its monotonic reading. Only a clock that is set between two
// readings produces such a pair, so it is made here from the representation of time.Time; should that ever change, the
// check below panics.
func addWallOffset(t time.Time, offset time.Duration) time.Time {
	const secondsShift = 30 // in the word that holds the wall time; its low bits are nanoseconds
	shifted := t
	*(*uint64)(unsafe.Pointer(&shifted)) += uint64(offset/time.Second) << secondsShift
	if shifted.Sub(t) != 0 || shifted.Round(0).Sub(t.Round(0)) != offset.Truncate(time.Second) {
		panic("time.Time has another representation")
	}
	return shifted
}
