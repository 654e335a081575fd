package sidecar

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A server that restarts shortly before or after a step of the wall clock is in slow start from its restart on, whatever
// boot time is listed before the restart, and whether the new boot time is a reading from before or after the step. Guards
// against treating the server as warm.
func TestSlowStartSurvivesClockSteps(t *testing.T) {
	const toleranceMS = 1500
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for _, known := range []struct {
			name   string
			bootMS func(nowMS float64) float64 // of the previous process, by the clock before the step
		}{
			{"long ago", func(float64) float64 { return 0 }},
			{"ten minutes ago", func(nowMS float64) float64 { return nowMS - 10*60e3 }},
			{"a new server", nil},
		} {
			for _, beforeStep := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v/%s/before_the_step_%v", step, known.name, beforeStep), func(t *testing.T) {
					listed := readyEndpoint("a", "127.0.0.1:7")
					document := newConfigDocument("127.0.0.1:1", readyEndpoint("b", "127.0.0.1:8"))
					if known.bootMS != nil {
						listed.BootMS = known.bootMS(float64(time.Now().UnixMilli()))
						document = newConfigDocument("127.0.0.1:1", listed, readyEndpoint("b", "127.0.0.1:8"))
					}
					loop := newSteppedLoop(t, document)
					restartedAtMS := loop.nowMS()
					listed.BootMS = float64(time.Now().UnixMilli())
					loop.wallNow = func() time.Time { return time.Now().Add(step) }
					if !beforeStep {
						listed.BootMS += float64(step.Milliseconds())
					}
					loop.handleEvent(loop.nowMS(), deltaUpdate(2, listed))
					loop.handleEvent(loop.nowMS(), deltaUpdate(3, listed)) // the same process, listed again
					upstream := loop.readyUpstreams[loop.config.serverID("a")]
					if upstream == nil {
						t.Fatal("the server is not used")
					}
					if off := upstream.startedAtMS - restartedAtMS; math.Abs(off) > toleranceMS {
						t.Errorf("the start time of the server is off by %v", time.Duration(off)*time.Millisecond)
					}
				})
			}
		}
	}
}

// A server that started long before a step of the wall clock does not count as restarted after the step.
func TestClockStepRestartsNothing(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1"))
		longAgo, never := readyEndpoint("a", "127.0.0.1:7"), readyEndpoint("b", "127.0.0.1:8")
		longAgo.BootMS = float64(time.Now().Add(-10 * time.Hour).UnixMilli())
		loop.handleEvent(loop.nowMS(), fullUpdate(2, longAgo, never))
		loop.wallNow = func() time.Time { return time.Now().Add(step) }
		loop.handleEvent(loop.nowMS(), fullUpdate(3, longAgo, never))
		for _, uid := range []string{"a", "b"} {
			if age := loop.nowMS() - loop.readyUpstreams[loop.config.serverID(uid)].startedAtMS; age < (8*time.Hour).Seconds()*1e3 {
				t.Errorf("step %v: server %s counts as started %v ago", step, uid, time.Duration(age)*time.Millisecond)
			}
		}
	}
}
