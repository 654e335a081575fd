package balance

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"slices"
	"strings"
	"testing"
)

// play drives one balancer by a seeded script of events of every kind and hashes all its actions and, from time to time,
// the figures by which it decides. Any change of behaviour, of the use of random numbers or of the order of a float sum
// changes the digest.
type play struct {
	t       *testing.T
	b       *Balancer
	cfg     Config
	seed    uint64
	now     float64
	sum     hash.Hash
	sends   int
	finals  int
	others  int
	pending []playEvent
	order   int
	servers []Server
	open    map[RequestID]*playRequest
	lost    int     // the zone that is unreachable; -1: none
	slow    float64 // factor of all answers
	scratch []byte
}

type playEvent struct {
	at    float64
	order int
	ev    Event
}

type playRequest struct {
	class    int
	deadline float64
	answered bool
	attempts int
	ended    []bool
}

func (e *playEvent) before(other *playEvent) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

func newPlay(t *testing.T, cfg Config, servers int) *play {
	p := &play{
		t: t, b: mustNew(t, cfg), cfg: cfg, seed: cfg.Seed * 77, now: 1000, sum: sha256.New(),
		open: map[RequestID]*playRequest{}, lost: -1, slow: 1,
	}
	for i := range servers {
		p.servers = append(p.servers, Server{
			ID: ServerID(0x0a0000000000 + 131*i), RelativeCapacity: 0.5 + float64(i%5)/4, Cell: i / 4, Zone: i % 3, Kind: i % 2,
		})
	}
	p.carryOut(p.b.Start(p.now))
	p.handle(EndpointUpdate{Kind: UpdateCached, Servers: slices.Clone(p.servers)})
	return p
}

// draw returns a random number from 0 to below n.
func (p *play) draw(n int) int { return int(p.uniform() * float64(n)) }

func (p *play) uniform() float64 {
	p.seed += 0x9e3779b97f4a7c15
	z := p.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (p *play) after(wait float64, ev Event) {
	p.order++
	p.pending = append(p.pending, playEvent{p.now + wait, p.order, ev})
}

// run delivers what is due until a time, the earliest first.
func (p *play) run(until float64) {
	for {
		next := -1
		for i := range p.pending {
			e := &p.pending[i]
			if e.at <= until && (next < 0 || e.before(&p.pending[next])) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := p.pending[next]
		p.pending = slices.Delete(p.pending, next, next+1)
		p.now = math.Max(p.now, e.at)
		switch ev := e.ev.(type) {
		case Outcome:
			p.end(ev)
		case EndpointUpdate:
			if ev.Kind == UpdateFull {
				ev.Servers = slices.Clone(p.servers)
			}
			p.handle(ev)
		default:
			p.handle(ev)
		}
	}
	p.now = until
}

// end delivers an outcome, half of them by pointer, unless the attempt was cancelled.
func (p *play) end(ev Outcome) {
	r := p.open[ev.Request]
	if r.ended[ev.Attempt] {
		return
	}
	r.ended[ev.Attempt] = true
	r.answered = r.answered || ev.Result == OK
	ev.RequestDone = r.answered
	if ev.Request%2 == 0 {
		p.handle(&ev)
	} else {
		p.handle(ev)
	}
}

func (p *play) handle(ev Event) {
	p.t.Helper()
	actions, err := p.b.Handle(p.now, ev)
	if err != nil {
		p.t.Fatalf("at %v, %+v: %v", p.now, ev, err)
	}
	p.carryOut(slices.Clone(actions))
}

func (p *play) carryOut(actions []Action) {
	for i := range actions {
		a := &actions[i]
		p.record(a)
		switch a.Kind {
		case Send:
			p.sends++
			p.attempt(a)
		case Reject, Fail:
			p.finals++
			p.open[a.Request].answered = true
		case Cancel:
			p.others++
			p.after(0.5, Outcome{Request: a.Request, Attempt: a.Attempt, Server: a.Server, Result: Cancelled, Elapsed: 1})
		case SetTimer:
			p.after(a.Delay, TimerFired{Token: a.Token})
		case HealthCheck:
			p.others++
			result := []Result{OK, OK, OK, OK, OK, TimedOut, Obsolete, Cancelled}[p.draw(8)]
			p.after(1+4*p.uniform(), HealthCheckResult{Server: a.Server, Result: result, Elapsed: 2, LoadReport: p.report()})
		case WatchEndpoints, FetchEndpoints:
			p.others++
			kind := []UpdateKind{UpdateFull, UpdateFailed}[p.draw(2)]
			p.after(20, EndpointUpdate{Kind: kind, DiscoveryUnreachable: p.draw(2) == 0})
		default:
			p.others++
		}
	}
}

// record hashes an action and its time.
func (p *play) record(a *Action) {
	b := p.scratch[:0]
	for _, v := range []uint64{
		math.Float64bits(p.now), uint64(a.Kind), uint64(a.Request), uint64(a.Attempt), uint64(a.Server),
		math.Float64bits(a.Deadline + a.RetryAfter + a.Delay), a.Token, uint64(a.Peer), uint64(len(a.Data)), uint64(len(a.Text)),
	} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, a.Data...)
	b = append(b, a.Text...)
	p.scratch = b
	p.sum.Write(b)
}

// recordFigures hashes the figures by which the balancer decides.
func (p *play) recordFigures() {
	b := p.b
	figures := []float64{
		b.pool.current, b.admission.sustainedShed, b.admission.minLatencyRatio, b.admission.load.current, b.admission.load.mean,
		b.retries.tokens, b.reports.busyFraction, b.reports.meanUtilization, b.capacity.drift, b.selection.load,
		b.selection.weight, b.gossip.budgetBytes,
	}
	for _, s := range b.servers {
		figures = append(figures, s.round.runningWeight, s.weight, s.logCapacity, s.ejection.until,
			s.gossip.ejectedUntil, s.slowStart.tokens, s.rank, float64(s.inFlight))
	}
	for i := range b.admission.classes {
		c := &b.admission.classes[i]
		figures = append(figures, c.received, c.servedInTime, c.meanLatency, c.meanDeviation, c.recentLatencyRatio,
			c.minLatencyRatio)
	}
	for kind := range 2 {
		figures = append(figures, b.capacity.byKind[kind])
	}
	for zone := range 3 {
		figures = append(figures, b.capacity.byZone[zone])
	}
	bytes := p.scratch[:0]
	for _, f := range figures {
		bytes = binary.BigEndian.AppendUint64(bytes, math.Float64bits(f))
	}
	p.scratch = bytes
	p.sum.Write(bytes)
}

// attempt draws how and when an attempt ends.
func (p *play) attempt(a *Action) {
	r := p.open[a.Request]
	out := Outcome{Request: a.Request, Attempt: r.attempts, Server: a.Server}
	r.attempts++
	r.ended = append(r.ended, false)
	i := int(a.Server-0x0a0000000000) / 131
	out.Elapsed = (5 + 20*p.uniform()) * float64(1+i%3) * p.slow
	out.Result = []Result{
		OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, Failed, Overloaded, Reset, ConnectFailed, Obsolete,
	}[p.draw(21)]
	if out.Result == Overloaded || out.Result == Obsolete {
		out.Elapsed = 1
	}
	switch {
	case i%3 == p.lost:
		out.Result, out.Elapsed = ConnectFailed, 60
	case i == 5: // a hung server
		out.Result, out.Elapsed = OK, 1e6
	}
	out.LoadReport = p.report()
	left := r.deadline - p.now
	if a.Deadline > 0 {
		left = math.Min(left, a.Deadline-p.now)
	}
	if out.Elapsed > left {
		out.Result, out.Elapsed = TimedOut, math.Max(left, 0)
	} else if p.cfg.Classes[r.class].Streaming && out.Result == OK {
		p.after(out.Elapsed, StreamStarted{Request: a.Request, Attempt: out.Attempt, Server: a.Server, Elapsed: out.Elapsed})
		out.Elapsed += 300 * p.uniform()
	}
	p.after(out.Elapsed, out)
}

func (p *play) report() []float32 {
	if p.cfg.LoadReports == LoadReportNone {
		return nil
	}
	report := make([]float32, len(p.cfg.LoadReportFields))
	for i, field := range p.cfg.LoadReportFields {
		switch field {
		case FieldInFlight, FieldQueueLength:
			report[i] = float32(p.draw(5)) * float32(p.slow)
		case FieldUtilization:
			report[i] = float32(p.uniform())
		case FieldLatency:
			report[i] = float32(20 * p.slow)
		default:
			report[i] = float32(p.draw(100))
		}
	}
	return report
}

func (p *play) request(id RequestID) {
	ev := Request{
		ID: id, Class: p.draw(len(p.cfg.Classes)), Tenant: p.draw(len(p.cfg.Tenants)+1) - 1, ExpectedWork: p.uniform(),
		Key: uint64(p.draw(30) * p.draw(8)), ClientRetry: p.draw(10) == 0, Write: p.draw(4) == 0,
	}
	ev.Timeout = p.cfg.Classes[ev.Class].Deadline * (0.5 + p.uniform()/2)
	p.open[id] = &playRequest{class: ev.Class, deadline: p.now + ev.Timeout}
	if id%3 == 0 {
		p.handle(&ev)
	} else {
		p.handle(ev)
	}
}

// change delivers an update in which servers restart, drain, are removed, return or change their capacity.
func (p *play) change() {
	kind := []UpdateKind{UpdateFull, UpdateDelta, UpdateDelta, UpdateCached, UpdateFailed}[p.draw(5)]
	var entries []Server
	for i := range p.servers {
		s := &p.servers[i]
		if p.draw(12) == 0 {
			s.State = []ServerState{Ready, Ready, Ready, Draining, Removed}[p.draw(5)]
			s.RelativeCapacity = 0.5 + p.uniform()
			if p.draw(2) == 0 && s.State == Ready {
				s.StartedAt = p.now - 5*p.uniform()
			}
			entries = append(entries, *s)
		} else if kind != UpdateDelta {
			entries = append(entries, *s)
		}
	}
	p.handle(EndpointUpdate{Kind: kind, Servers: entries, DiscoveryUnreachable: p.draw(2) == 0})
}

func (p *play) gossip() {
	var entries []finding
	for range 1 + p.draw(4) {
		kind := []findingKind{findingFault, findingFault, findingRecovery, findingQuery}[p.draw(4)]
		entries = append(entries, finding{kind, serverTag(p.servers[p.draw(len(p.servers))].ID), p.now - 400*p.uniform()})
	}
	data := encodeGossip(p.now, entries)
	if p.draw(6) == 0 {
		data[p.draw(len(data))] ^= 4
	}
	p.handle(GossipMessage{From: p.draw(p.cfg.SidecarCount + 1), Data: data})
}

func (p *play) place() {
	ids := func(most int) (list []ServerID) {
		for range p.draw(most) {
			list = append(list, p.servers[p.draw(len(p.servers))].ID)
		}
		return list
	}
	var ev Placement
	for id := range p.draw(4) {
		ev.Exclusions = append(ev.Exclusions, Exclusion{
			ID: id, Tenant: p.draw(3) - 1, Servers: ids(1 + len(p.servers)/2), MinAvailable: p.uniform() * 0.8, ExpiresAt: p.now + 3000*p.uniform() - 100,
		})
	}
	for key := range uint64(p.draw(6)) {
		s := HotKey{Key: key * 2, ExpiresAt: p.now + 3000*p.uniform() - 100}
		for _, id := range ids(6) {
			s.Replicas = append(s.Replicas, Replica{id, 0.4*p.uniform() - 0.1})
		}
		ev.HotKeys = append(ev.HotKeys, s)
	}
	p.handle(ev)
}

// whole plays all phases: normal load, a lost zone, overload, normal load, times without traffic, and the end.
func (p *play) whole(requests int, placed bool) {
	for i := range requests {
		gap := 6.0
		switch part := 10 * i / requests; {
		case part == 2:
			p.lost = 1
		case part == 4:
			p.slow, gap = 25, 2
		case part == 7 && i%50 == 0:
			gap = 4000
		default:
			p.lost, p.slow = -1, 1
		}
		p.run(p.now + gap*-math.Log(1-p.uniform()))
		p.request(RequestID(i + 1))
		if i%40 == 39 {
			p.change()
		}
		if i%25 == 24 {
			p.gossip()
		}
		if placed && i%60 == 30 {
			p.place()
		}
		if placed && i%60 == 59 {
			for _, id := range p.b.SuspendedExclusions() {
				p.sum.Write([]byte{byte(id)})
			}
		}
		if i%30 == 7 {
			gone := RequestID(i - p.draw(8))
			if r := p.open[gone]; r != nil {
				r.answered = true
			}
			p.handle(ClientDisconnected{Request: gone})
		}
		if i%100 == 99 {
			p.recordFigures()
		}
	}
	p.run(p.now + 3000)
	p.recordFigures()
}

// The same settings and events give the same actions, to the last bit of each number, in every build. The digests are from
// an amd64 machine with fused multiply-add, which math.Exp uses there; other machines may round differently.
func TestDecisionsAreDeterministic(t *testing.T) {
	warm := func(c *Config) { c.KeyAffinity, c.AllowParallelAttempts = true, false }
	messages := func(c *Config) { c.AllowGossip, c.SidecarCount, c.SidecarIndex, c.Costs.Gossip = true, 50, 7, 0.06 }
	piggyback := func(c *Config) {
		c.LoadReports, c.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldInFlight, FieldUtilization,
			FieldQueueLength, FieldLatency, FieldUnknown, FieldRequestRate, FieldErrorRate}
	}
	var text strings.Builder
	for _, c := range []struct {
		name    string
		servers int
		placed  bool
		change  func(*Config)
	}{
		{"plain", 30, false, func(*Config) {}},
		{"warm keys", 30, false, warm},
		{"warm keys, large fleet", 120, false, func(c *Config) { warm(c); c.SidecarCount = 300 }},
		{"warm keys, reports", 30, false, func(c *Config) { warm(c); piggyback(c) }},
		{"reports", 30, false, piggyback},
		{"probes", 30, false, func(c *Config) {
			c.AllowHealthChecks, c.LoadReports, c.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{FieldInFlight, FieldUtilization}
		}},
		{"messages", 30, false, messages},
		{"warm keys, messages", 60, false, func(c *Config) { warm(c); messages(c) }},
		{"subscribe", 30, false, func(c *Config) { c.Subscribe, c.SidecarCount = true, 80 }},
		{"tenants", 30, false, func(c *Config) {
			c.Tenants = []Tenant{{QuotaRate: 50, Quota: 0.6}, {QuotaRate: 20, Quota: 0.3}, {Quota: 0.1}}
			c.OverQuotaWeight = 0.3
			c.Objective = Objective{Overall: 0.4, WorstWindow: 0.2, WorstClass: 0.2, WorstTenant: 0.2}
		}},
		{"unsafe classes", 30, false, func(c *Config) {
			c.Classes = []Class{
				{Idempotency: NonIdempotent, LatencyObjective: 150, Deadline: 600, PriorityWeight: 5},
				{Idempotency: NonIdempotent, LatencyObjective: 300, Deadline: 900, PriorityWeight: 1, LateWeight: 0.4},
				{Idempotency: IdempotentWithKey, DeduplicationScope: ScopeZone, IdempotencyWindow: 300,
					LatencyObjective: 200, Deadline: 900, PriorityWeight: 2},
			}
		}},
		{"streams", 30, false, func(c *Config) {
			c.Classes[idempotentClass].Streaming = true
			c.Classes[allScopeClass].Streaming = true
		}},
		{"one attempt, no cancel", 30, false, func(c *Config) {
			c.MaxAttempts, c.AllowCancel, c.AllowParallelAttempts, c.SendRetryAfter = 1, false, false, false
		}},
		{"zones at a price", 30, false, func(c *Config) { c.Costs.CrossZone, c.Zone, c.ConnectTimeout = 0.01, 1, 100 }},
		{"warm keys, zones at a price", 30, false, func(c *Config) { warm(c); c.Costs.CrossZone, c.Zone = 0.02, 2 }},
		{"placement", 30, true, func(c *Config) { c.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}} }},
		{"warm keys, placement", 30, true, func(c *Config) { warm(c); c.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}} }},
	} {
		cfg := baseConfig()
		cfg.Seed = 0x8c1f30d27a5be964
		c.change(&cfg)
		p := newPlay(t, cfg, c.servers)
		p.whole(3000, c.placed)
		if p.sends < 1000 || p.finals == 0 || p.others == 0 {
			t.Errorf("%s: %d sends, %d final answers, %d other actions: too little happens", c.name, p.sends, p.finals,
				p.others)
		}
		fmt.Fprintf(&text, "%s: %d sends, %d final answers, %d other actions, %x\n", c.name, p.sends, p.finals,
			p.others, p.sum.Sum(nil))
	}
	checkGolden(t, "decisions.golden", text.String())
}
