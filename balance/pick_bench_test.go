package balance

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkPick handles one request with key affinity, its attempt and its outcome. The sidecar is one of 300 and
// receives a request each 30 ms for one of 700 keys, in fleets of several sizes. Only figures of the same run are
// comparable.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			before := heapInUse()
			bench := newPickBenchmark(n)
			for range 7000 { // each key several times
				bench.run()
			}
			kept := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				bench.run()
			}
			b.ReportMetric(float64(kept)/1024, "KiB-kept")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

type pickBenchmark struct {
	b      *Balancer
	now    float64
	random uint64
	req    Request
	out    Outcome
}

func newPickBenchmark(servers int) *pickBenchmark {
	cfg := baseConfig()
	cfg.SidecarCount, cfg.KeyAffinity = 300, true
	balancer, err := New(cfg)
	if err != nil {
		panic(err)
	}
	bench := &pickBenchmark{b: balancer, now: 1e6}
	list := testServers(servers)
	for i := range list {
		list[i].Cell, list[i].Zone, list[i].Kind = i/8, i%3, i%2
	}
	balancer.Start(bench.now)
	if _, err := balancer.Handle(bench.now, EndpointUpdate{Kind: UpdateFull, Servers: list}); err != nil {
		panic(err)
	}
	return bench
}

// run handles a request and its answer. It checks nothing; other tests do.
func (bench *pickBenchmark) run() {
	bench.random = splitmix64(bench.random + 0x9e3779b97f4a7c15)
	bench.req = Request{ID: bench.req.ID + 1, Key: 1 + bench.random%700, Timeout: 1000}
	actions, err := bench.b.Handle(bench.now, &bench.req)
	if err != nil {
		panic(err)
	}
	for _, a := range actions {
		if a.Kind == Send {
			bench.out = Outcome{Request: bench.req.ID, Server: a.Server, Result: OK, Elapsed: 20 + float64(bench.random>>32%10),
				RequestDone: true}
			if _, err := bench.b.Handle(bench.now+bench.out.Elapsed, &bench.out); err != nil {
				panic(err)
			}
			break // the second call has overwritten the actions
		}
	}
	bench.now += 30
}
