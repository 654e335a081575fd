package sidecar

import "time"

// Factors between units of time.
const (
	msPerSecond = 1e3
	microsPerMS = 1e3
	nanosPerMS  = 1e6
)

// clock converts between times and Unix milliseconds, and is the only clock of a sidecar. It reads the wall clock once, when
// it is created, and advances monotonically from then on. So the boot_ms of a server converts to the same value in each
// endpoint list.
type clock struct {
	start       time.Time
	startUnixMS float64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, startUnixMS: float64(now.UnixMicro()) / microsPerMS}
}

// unixMS converts a time to Unix milliseconds.
func (c clock) unixMS(t time.Time) float64 { return c.startUnixMS + float64(t.Sub(c.start))/nanosPerMS }

// timeAt converts Unix milliseconds to a time.
func (c clock) timeAt(unixMS float64) time.Time {
	return c.start.Add(durationFromMS(unixMS - c.startUnixMS))
}

// durationFromMS converts milliseconds to a duration.
func durationFromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
