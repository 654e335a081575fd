package standin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"milldeck/internal/supervisor"
)

// BenchmarkSidecar measures one sidecar at a time, from the call until it is ready, and from the call to its end.
func BenchmarkSidecar(b *testing.B) {
	r := newTestPlatform(b)
	var up, down []time.Duration
	for b.Loop() {
		q := r.request(supervisor.Start, 1, "1")
		began := time.Now()
		r.mustDo(q)
		r.waitState(1, supervisor.Running)
		up = append(up, time.Since(began))
		q = r.request(supervisor.Stop, 1, "")
		began = time.Now()
		r.mustDo(q)
		r.waitState(1, supervisor.Exited)
		down = append(down, time.Since(began))
	}
	for _, of := range []struct {
		name string
		all  []time.Duration
	}{{"start", up}, {"stop", down}} {
		slices.Sort(of.all)
		b.ReportMetric(float64(of.all[len(of.all)/2].Microseconds())/1e3, of.name+"-p50-ms")
		b.ReportMetric(float64(of.all[len(of.all)*99/100].Microseconds())/1e3, of.name+"-p99-ms")
	}
}

// BenchmarkCalls measures calls that change nothing: a repeat of a start, and the list of 200 units that have exited.
func BenchmarkCalls(b *testing.B) {
	r := newTestPlatform(b)
	var requests []supervisor.Request
	epoch := r.mustList().Epoch
	for n := range 200 {
		unit := fmt.Sprint("u", n)
		requests = append(requests, supervisor.Request{
			ID: unit, Op: supervisor.Start, Epoch: epoch, Unit: unit, Kind: supervisor.Server, Version: "crash", Listen: r.listenAddr(n),
		})
	}
	r.mustDo(requests...)
	for n := range requests {
		r.eventually("gave up", func() bool { return r.waitState(n, supervisor.Exited).Restarts == 2 })
	}
	for name, call := range map[string]func() error{
		"repeat": func() error { _, err := r.client.Do(r.ctx, requests[0]); return err },
		"list":   func() error { _, err := r.client.List(r.ctx); return err },
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
