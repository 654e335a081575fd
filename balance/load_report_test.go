package balance

import "testing"

// Overloaded servers stay slow until they have been idle for a while. A server whose load report implies a
// wait beyond the latency objective must therefore be ejected.
func TestReportedQueueEjectsAServer(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldErrorRate, FieldLatency,
		FieldQueueLength}
	for queue, ejects := range map[float32]bool{2: false, 8: true} {
		h := newHarness(t, cfg, testServers(3)...)
		id, actions := h.request(idempotentClass)
		s, _ := sentServer(actions)
		h.now += 200
		h.handle(Outcome{Request: id, Server: s, Elapsed: 200, RequestDone: true, LoadReport: []float32{0, 50, queue}})
		if got := h.balancer.isEjected(h.balancer.serversByID[s]); got != ejects {
			t.Errorf("%v waiting for 50 ms each, objective 300 ms: ejected %v", queue, got)
		}
	}
}

// At a sidecar with much traffic, a load report must eject a server for one round only: an ejection of one objective
// would overload the other servers.
func TestReportedQueueEjectsForOneRotation(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldLatency, FieldQueueLength}
	h := newHarness(t, cfg, testServers(3)...)
	for range 400 { // a hundred requests a second
		h.now += 10
		id, actions := h.request(idempotentClass)
		to, _ := sentServer(actions)
		h.handle(Outcome{Request: id, Server: to, Elapsed: 5, RequestDone: true, LoadReport: []float32{50, 0}})
	}
	id, actions := h.request(idempotentClass)
	to, _ := sentServer(actions)
	s := h.balancer.serversByID[to]
	h.handle(Outcome{Request: id, Server: to, Elapsed: 5, RequestDone: true, LoadReport: []float32{50, 40}})
	if ejection := s.ejection.until - h.now; ejection < 10 || ejection > 60 {
		t.Fatalf("ejected for %.0f ms, a round over three servers takes 30", ejection)
	}
}
