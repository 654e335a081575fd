package balance

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkPick takes one request with key affinity through the module, with its attempt and its outcome: one of 300
// sidecars that receives a request each 30 ms for 700 keys, at fleets of several sizes. Compare figures of one run only.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			before := heapInUse()
			g := newPickBenchmark(n)
			for range 7000 { // each key several times
				g.run()
			}
			kept := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				g.run()
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
	bal, err := New(cfg)
	if err != nil {
		panic(err)
	}
	g := &pickBenchmark{b: bal, now: 1e6}
	list := testServers(servers)
	for i := range list {
		list[i].Cell, list[i].Zone, list[i].Kind = i/8, i%3, i%2
	}
	bal.Start(g.now)
	if _, err := bal.Handle(g.now, EndpointUpdate{Kind: UpdateFull, Servers: list}); err != nil {
		panic(err)
	}
	return g
}

// run handles a request and its answer, and checks nothing: other tests do.
func (g *pickBenchmark) run() {
	g.random = splitmix64(g.random + 0x9e3779b97f4a7c15)
	g.req = Request{ID: g.req.ID + 1, Key: 1 + g.random%700, Timeout: 1000}
	actions, err := g.b.Handle(g.now, &g.req)
	if err != nil {
		panic(err)
	}
	for _, a := range actions {
		if a.Kind == Send {
			g.out = Outcome{Request: g.req.ID, Server: a.Server, Result: OK, Elapsed: 20 + float64(g.random>>32%10),
				RequestDone: true}
			if _, err := g.b.Handle(g.now+g.out.Elapsed, &g.out); err != nil {
				panic(err)
			}
			break // the second call has overwritten the actions
		}
	}
	g.now += 30
}
