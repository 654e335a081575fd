package sidecar

import (
	"math"
	"time"
)

const (
	// minClockStepMS is the smallest change of the wall clock's offset that counts as a step. A smaller change comes from a
	// gradual adjustment of the clock, or from a delay between the readings of the two clocks.
	minClockStepMS = 100
	// maxBootSkewMS is how far the boot time of a server that has just started may be ahead of this machine's wall clock.
	maxBootSkewMS = 1000
	// maxWallOffsets is the maximum number of recorded offsets of the wall clock. Above it the oldest offset is dropped.
	maxWallOffsets = 16
)

// bootTimes converts the boot times of servers, which are readings of the wall clock, to the clock of the event loop, which
// is never stepped. A server may have started before or after a step of the wall clock, so its boot time may correspond to
// several readings of the event loop's clock. The latest reading is used, so that no server in slow start is treated as warm.
type bootTimes struct {
	// wallOffsetsMS holds the offset of the wall clock from the event loop's clock at the start, which is 0, and after each
	// step, oldest first.
	wallOffsetsMS []float64
}

func newBootTimes() bootTimes { return bootTimes{wallOffsetsMS: []float64{0}} }

// observeWallClock compares a reading of the wall clock with the event loop's clock, and records a new offset if the wall
// clock was stepped.
func (b *bootTimes) observeWallClock(wall time.Time, nowMS float64) {
	offsetMS := float64(wall.UnixMicro())/microsPerMS - nowMS
	latest := b.wallOffsetsMS[len(b.wallOffsetsMS)-1]
	if math.Abs(offsetMS-latest) < minClockStepMS {
		return
	}
	loopLog.Warn("the wall clock was stepped", "by", durationFromMS(offsetMS-latest))
	if len(b.wallOffsetsMS) == maxWallOffsets {
		b.wallOffsetsMS = b.wallOffsetsMS[1:]
	}
	b.wallOffsetsMS = append(b.wallOffsetsMS, offsetMS)
}

// startedAtMS returns the start time of a server by the event loop's clock; 0 means long ago.
func (b *bootTimes) startedAtMS(bootMS, nowMS float64) float64 {
	if bootMS <= 0 {
		return 0
	}
	latest := math.Inf(-1)
	for _, offsetMS := range b.wallOffsetsMS {
		if startedAtMS := bootMS - offsetMS; startedAtMS <= nowMS+maxBootSkewMS {
			latest = math.Max(latest, startedAtMS)
		}
	}
	if math.IsInf(latest, -1) {
		return nowMS // the server's clock is ahead of this machine's
	}
	return math.Min(latest, nowMS)
}
