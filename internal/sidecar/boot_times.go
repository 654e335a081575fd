package sidecar

import (
	"math"
	"time"
)

const (
	// minClockStepMS: a wall clock that differs by more from where it was expected was stepped; by less, it is adjusted, or
	// was read a moment later.
	minClockStepMS = 100
	// maxBootSkewMS is how far ahead of this machine's wall clock a boot time may be that has just been written.
	maxBootSkewMS = 1000
	// maxWallOffsets bounds the steps that are remembered; the oldest are forgotten.
	maxWallOffsets = 16
)

// bootTimes converts the boot times of servers, which are readings of the wall clock, to the clock of the event loop, which
// is never stepped. A server may have been started before a step of the wall clock or after it: of all times that its
// boot time may mean, the latest counts, so that no server in slow start is taken for a warm one.
type bootTimes struct {
	// wallOffsetsMS are by how much the wall clock was ahead of the event loop's clock, in order; the first is 0.
	wallOffsetsMS []float64
}

func newBootTimes() bootTimes { return bootTimes{wallOffsetsMS: []float64{0}} }

// observeWallClock notes a reading of the wall clock, at a time of the event loop's clock.
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

// startedAtMS is when a server with a boot time started; 0 is long ago.
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
		return nowMS // the server's clock is ahead of this one
	}
	return math.Min(latest, nowMS)
}
