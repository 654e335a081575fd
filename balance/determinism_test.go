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

// scriptedRun drives one balancer with a seeded script of events of every kind. It hashes all actions and, from time
// to time, the state that determines the decisions. Any change of behaviour, of the use of random numbers or of the
// order of a float sum changes the digest.
type scriptedRun struct {
	t             *testing.T
	b             *Balancer
	cfg           Config
	seed          uint64
	now           float64
	digest        hash.Hash
	sends         int
	finalAnswers  int
	otherActions  int
	pending       []scheduledEvent
	sequence      int
	servers       []Server
	open          map[RequestID]*scriptedRequest
	lostZone      int     // the zone that is unreachable; -1: none
	latencyFactor float64 // factor of all latencies
	scratch       []byte
}

type scheduledEvent struct {
	at       float64
	sequence int
	ev       Event
}

type scriptedRequest struct {
	class    int
	deadline float64
	answered bool
	attempts int
	ended    []bool
}

func (e *scheduledEvent) before(other *scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

func newScriptedRun(t *testing.T, cfg Config, servers int) *scriptedRun {
	p := &scriptedRun{
		t: t, b: mustNew(t, cfg), cfg: cfg, seed: cfg.Seed * 77, now: 1000, digest: sha256.New(),
		open: map[RequestID]*scriptedRequest{}, lostZone: -1, latencyFactor: 1,
	}
	for i := range servers {
		p.servers = append(p.servers, Server{
			ID: ServerID(0x0a0000000000 + 131*i), RelativeCapacity: 0.5 + float64(i%5)/4, Cell: i / 4, Zone: i % 3, Kind: i % 2,
		})
	}
	p.execute(p.b.Start(p.now))
	p.handle(EndpointUpdate{Kind: UpdateCached, Servers: slices.Clone(p.servers)})
	return p
}

// randomInt returns a random integer in [0, n).
func (p *scriptedRun) randomInt(n int) int { return int(p.randomFloat() * float64(n)) }

func (p *scriptedRun) randomFloat() float64 {
	p.seed += 0x9e3779b97f4a7c15
	z := p.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (p *scriptedRun) scheduleAfter(wait float64, ev Event) {
	p.sequence++
	p.pending = append(p.pending, scheduledEvent{p.now + wait, p.sequence, ev})
}

// run delivers the events that are due until a time, the earliest first.
func (p *scriptedRun) run(until float64) {
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
			p.endAttempt(ev)
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

// endAttempt delivers an outcome, half of them by pointer, unless the attempt was cancelled.
func (p *scriptedRun) endAttempt(ev Outcome) {
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

func (p *scriptedRun) handle(ev Event) {
	p.t.Helper()
	actions, err := p.b.Handle(p.now, ev)
	if err != nil {
		p.t.Fatalf("at %v, %+v: %v", p.now, ev, err)
	}
	p.execute(slices.Clone(actions))
}

func (p *scriptedRun) execute(actions []Action) {
	for i := range actions {
		a := &actions[i]
		p.hashAction(a)
		switch a.Kind {
		case Send:
			p.sends++
			p.scheduleOutcome(a)
		case Reject, Fail:
			p.finalAnswers++
			p.open[a.Request].answered = true
		case Cancel:
			p.otherActions++
			p.scheduleAfter(0.5, Outcome{Request: a.Request, Attempt: a.Attempt, Server: a.Server, Result: Cancelled, Elapsed: 1})
		case SetTimer:
			p.scheduleAfter(a.Delay, TimerFired{Token: a.Token})
		case HealthCheck:
			p.otherActions++
			result := []Result{OK, OK, OK, OK, OK, TimedOut, Obsolete, Cancelled}[p.randomInt(8)]
			p.scheduleAfter(1+4*p.randomFloat(), HealthCheckResult{
				Server: a.Server, Result: result, Elapsed: 2, LoadReport: p.randomLoadReport(),
			})
		case WatchEndpoints, FetchEndpoints:
			p.otherActions++
			kind := []UpdateKind{UpdateFull, UpdateFailed}[p.randomInt(2)]
			p.scheduleAfter(20, EndpointUpdate{Kind: kind, DiscoveryUnreachable: p.randomInt(2) == 0})
		default:
			p.otherActions++
		}
	}
}

// hashAction hashes an action and its time.
func (p *scriptedRun) hashAction(a *Action) {
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
	p.digest.Write(b)
}

// hashState hashes the state that determines the decisions of the balancer.
func (p *scriptedRun) hashState() {
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
	p.digest.Write(bytes)
}

// scheduleOutcome draws the result and the time of an attempt's end.
func (p *scriptedRun) scheduleOutcome(a *Action) {
	r := p.open[a.Request]
	outcome := Outcome{Request: a.Request, Attempt: r.attempts, Server: a.Server}
	r.attempts++
	r.ended = append(r.ended, false)
	i := int(a.Server-0x0a0000000000) / 131
	outcome.Elapsed = (5 + 20*p.randomFloat()) * float64(1+i%3) * p.latencyFactor
	outcome.Result = []Result{
		OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, Failed, Overloaded, Reset, ConnectFailed, Obsolete,
	}[p.randomInt(21)]
	if outcome.Result == Overloaded || outcome.Result == Obsolete {
		outcome.Elapsed = 1
	}
	switch {
	case i%3 == p.lostZone:
		outcome.Result, outcome.Elapsed = ConnectFailed, 60
	case i == 5: // a hung server
		outcome.Result, outcome.Elapsed = OK, 1e6
	}
	outcome.LoadReport = p.randomLoadReport()
	remaining := r.deadline - p.now
	if a.Deadline > 0 {
		remaining = math.Min(remaining, a.Deadline-p.now)
	}
	if outcome.Elapsed > remaining {
		outcome.Result, outcome.Elapsed = TimedOut, math.Max(remaining, 0)
	} else if p.cfg.Classes[r.class].Streaming && outcome.Result == OK {
		p.scheduleAfter(outcome.Elapsed, StreamStarted{
			Request: a.Request, Attempt: outcome.Attempt, Server: a.Server, Elapsed: outcome.Elapsed,
		})
		outcome.Elapsed += 300 * p.randomFloat()
	}
	p.scheduleAfter(outcome.Elapsed, outcome)
}

func (p *scriptedRun) randomLoadReport() []float32 {
	if p.cfg.LoadReports == LoadReportNone {
		return nil
	}
	report := make([]float32, len(p.cfg.LoadReportFields))
	for i, field := range p.cfg.LoadReportFields {
		switch field {
		case FieldInFlight, FieldQueueLength:
			report[i] = float32(p.randomInt(5)) * float32(p.latencyFactor)
		case FieldUtilization:
			report[i] = float32(p.randomFloat())
		case FieldLatency:
			report[i] = float32(20 * p.latencyFactor)
		default:
			report[i] = float32(p.randomInt(100))
		}
	}
	return report
}

func (p *scriptedRun) randomRequest(id RequestID) {
	ev := Request{
		ID: id, Class: p.randomInt(len(p.cfg.Classes)), Tenant: p.randomInt(len(p.cfg.Tenants)+1) - 1,
		ExpectedWork: p.randomFloat(), Key: uint64(p.randomInt(30) * p.randomInt(8)),
		ClientRetry: p.randomInt(10) == 0, Write: p.randomInt(4) == 0,
	}
	ev.Timeout = p.cfg.Classes[ev.Class].Deadline * (0.5 + p.randomFloat()/2)
	p.open[id] = &scriptedRequest{class: ev.Class, deadline: p.now + ev.Timeout}
	if id%3 == 0 {
		p.handle(&ev)
	} else {
		p.handle(ev)
	}
}

// randomEndpointUpdate delivers an update in which servers restart, drain, are removed, return or change capacity.
func (p *scriptedRun) randomEndpointUpdate() {
	kind := []UpdateKind{UpdateFull, UpdateDelta, UpdateDelta, UpdateCached, UpdateFailed}[p.randomInt(5)]
	var entries []Server
	for i := range p.servers {
		s := &p.servers[i]
		if p.randomInt(12) == 0 {
			s.State = []ServerState{Ready, Ready, Ready, Draining, Removed}[p.randomInt(5)]
			s.RelativeCapacity = 0.5 + p.randomFloat()
			if p.randomInt(2) == 0 && s.State == Ready {
				s.StartedAt = p.now - 5*p.randomFloat()
			}
			entries = append(entries, *s)
		} else if kind != UpdateDelta {
			entries = append(entries, *s)
		}
	}
	p.handle(EndpointUpdate{Kind: kind, Servers: entries, DiscoveryUnreachable: p.randomInt(2) == 0})
}

func (p *scriptedRun) randomGossip() {
	var findings []finding
	for range 1 + p.randomInt(4) {
		kind := []findingKind{findingFault, findingFault, findingRecovery, findingQuery}[p.randomInt(4)]
		findings = append(findings, finding{
			kind, serverTag(p.servers[p.randomInt(len(p.servers))].ID), p.now - 400*p.randomFloat(),
		})
	}
	data := encodeGossip(p.now, findings)
	if p.randomInt(6) == 0 {
		data[p.randomInt(len(data))] ^= 4
	}
	p.handle(GossipMessage{From: p.randomInt(p.cfg.SidecarCount + 1), Data: data})
}

func (p *scriptedRun) randomPlacement() {
	ids := func(most int) (list []ServerID) {
		for range p.randomInt(most) {
			list = append(list, p.servers[p.randomInt(len(p.servers))].ID)
		}
		return list
	}
	var ev Placement
	for id := range p.randomInt(4) {
		ev.Exclusions = append(ev.Exclusions, Exclusion{
			ID: id, Tenant: p.randomInt(3) - 1, Servers: ids(1 + len(p.servers)/2),
			MinAvailable: p.randomFloat() * 0.8, ExpiresAt: p.now + 3000*p.randomFloat() - 100,
		})
	}
	for key := range uint64(p.randomInt(6)) {
		s := HotKey{Key: key * 2, ExpiresAt: p.now + 3000*p.randomFloat() - 100}
		for _, id := range ids(6) {
			s.Replicas = append(s.Replicas, Replica{id, 0.4*p.randomFloat() - 0.1})
		}
		ev.HotKeys = append(ev.HotKeys, s)
	}
	p.handle(ev)
}

// runPhases runs all phases: normal load, a lost zone, overload, normal load, periods without traffic, and the end.
func (p *scriptedRun) runPhases(requests int, withPlacement bool) {
	for i := range requests {
		gap := 6.0
		switch part := 10 * i / requests; {
		case part == 2:
			p.lostZone = 1
		case part == 4:
			p.latencyFactor, gap = 25, 2
		case part == 7 && i%50 == 0:
			gap = 4000
		default:
			p.lostZone, p.latencyFactor = -1, 1
		}
		p.run(p.now + gap*-math.Log(1-p.randomFloat()))
		p.randomRequest(RequestID(i + 1))
		if i%40 == 39 {
			p.randomEndpointUpdate()
		}
		if i%25 == 24 {
			p.randomGossip()
		}
		if withPlacement && i%60 == 30 {
			p.randomPlacement()
		}
		if withPlacement && i%60 == 59 {
			for _, id := range p.b.SuspendedExclusions() {
				p.digest.Write([]byte{byte(id)})
			}
		}
		if i%30 == 7 {
			gone := RequestID(i - p.randomInt(8))
			if r := p.open[gone]; r != nil {
				r.answered = true
			}
			p.handle(ClientDisconnected{Request: gone})
		}
		if i%100 == 99 {
			p.hashState()
		}
	}
	p.run(p.now + 3000)
	p.hashState()
}

// The same settings and events must yield the same actions, to the last bit of each number, in every build.
// The digests are from an amd64 machine with fused multiply-add, which math.Exp uses on such a machine.
// Other machines may round differently.
func TestDecisionsAreDeterministic(t *testing.T) {
	keyAffinity := func(c *Config) { c.KeyAffinity, c.AllowParallelAttempts = true, false }
	gossip := func(c *Config) { c.AllowGossip, c.SidecarCount, c.SidecarIndex, c.Costs.Gossip = true, 50, 7, 0.06 }
	piggyback := func(c *Config) {
		c.LoadReports, c.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldInFlight, FieldUtilization,
			FieldQueueLength, FieldLatency, FieldUnknown, FieldRequestRate, FieldErrorRate}
	}
	var text strings.Builder
	for _, c := range []struct {
		name          string
		servers       int
		withPlacement bool
		change        func(*Config)
	}{
		{"plain", 30, false, func(*Config) {}},
		{"warm keys", 30, false, keyAffinity},
		{"warm keys, large fleet", 120, false, func(c *Config) { keyAffinity(c); c.SidecarCount = 300 }},
		{"warm keys, reports", 30, false, func(c *Config) { keyAffinity(c); piggyback(c) }},
		{"reports", 30, false, piggyback},
		{"probes", 30, false, func(c *Config) {
			c.AllowHealthChecks, c.LoadReports, c.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{
				FieldInFlight, FieldUtilization,
			}
		}},
		{"messages", 30, false, gossip},
		{"warm keys, messages", 60, false, func(c *Config) { keyAffinity(c); gossip(c) }},
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
		{"warm keys, zones at a price", 30, false, func(c *Config) { keyAffinity(c); c.Costs.CrossZone, c.Zone = 0.02, 2 }},
		{"placement", 30, true, func(c *Config) { c.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}} }},
		{"warm keys, placement", 30, true, func(c *Config) { keyAffinity(c); c.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}} }},
	} {
		cfg := baseConfig()
		cfg.Seed = 0x8c1f30d27a5be964
		c.change(&cfg)
		p := newScriptedRun(t, cfg, c.servers)
		p.runPhases(3000, c.withPlacement)
		if p.sends < 1000 || p.finalAnswers == 0 || p.otherActions == 0 {
			t.Errorf("%s: %d sends, %d final answers, %d other actions: too little activity", c.name, p.sends, p.finalAnswers,
				p.otherActions)
		}
		fmt.Fprintf(&text, "%s: %d sends, %d final answers, %d other actions, %x\n", c.name, p.sends, p.finalAnswers,
			p.otherActions, p.digest.Sum(nil))
	}
	checkGolden(t, "decisions.golden", text.String())
}
