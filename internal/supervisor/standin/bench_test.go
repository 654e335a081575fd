package standin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"milldeck/internal/supervisor"
)

// BenchmarkSidecar measures the time from a start request until a sidecar is ready, and from a stop request until it has
// exited, for one sidecar at a time.
func BenchmarkSidecar(b *testing.B) {
	platform := newTestPlatform(b)
	var startTimes, stopTimes []time.Duration
	for b.Loop() {
		request := platform.request(supervisor.Start, 1, "1")
		calledAt := time.Now()
		platform.mustDo(request)
		platform.waitState(1, supervisor.Running)
		startTimes = append(startTimes, time.Since(calledAt))
		request = platform.request(supervisor.Stop, 1, "")
		calledAt = time.Now()
		platform.mustDo(request)
		platform.waitState(1, supervisor.Exited)
		stopTimes = append(stopTimes, time.Since(calledAt))
	}
	for _, phase := range []struct {
		name string
		all  []time.Duration
	}{{"start", startTimes}, {"stop", stopTimes}} {
		slices.Sort(phase.all)
		b.ReportMetric(float64(phase.all[len(phase.all)/2].Microseconds())/1e3, phase.name+"-p50-ms")
		b.ReportMetric(float64(phase.all[len(phase.all)*99/100].Microseconds())/1e3, phase.name+"-p99-ms")
	}
}

// BenchmarkCalls measures calls without effects: a repeated start, and the list of 200 exited units.
func BenchmarkCalls(b *testing.B) {
	platform := newTestPlatform(b)
	var requests []supervisor.Request
	epoch := platform.mustList().Epoch
	for n := range 200 {
		unit := fmt.Sprint("u", n)
		requests = append(requests, supervisor.Request{
			ID: unit, Op: supervisor.Start, Epoch: epoch, Unit: unit, Kind: supervisor.Server, Version: "crash", Listen: platform.listenAddr(n),
		})
	}
	platform.mustDo(requests...)
	for n := range requests {
		platform.eventually("all restarts are used up", func() bool { return platform.waitState(n, supervisor.Exited).Restarts == 2 })
	}
	for name, call := range map[string]func() error{
		"repeat": func() error { _, err := platform.client.Do(platform.ctx, requests[0]); return err },
		"list":   func() error { _, err := platform.client.List(platform.ctx); return err },
	} {
		b.Run(name, func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := call(); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
