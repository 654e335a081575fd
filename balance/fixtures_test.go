package balance

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// update has the fixture tests write their golden files anew in place of comparing with them.
var update = flag.Bool("update", false, "write the golden files under testdata")

// checkGolden compares text with a golden file of testdata.
func checkGolden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if text == string(want) {
		return
	}
	got, old := strings.Split(text, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(got), len(old)) {
		g, w := "", ""
		if i < len(got) {
			g = got[i]
		}
		if i < len(old) {
			w = old[i]
		}
		if g != w {
			t.Errorf("%s, line %d:\n got %s\nwant %s", path, i+1, g, w)
		}
	}
}

// gossipFixture is one message between sidecars: what it says and the clock of its sender.
type gossipFixture struct {
	name    string
	now     float64
	entries []hint
}

func gossipFixtures() []gossipFixture {
	const now = 5000160.0
	full := gossipFixture{name: "as many entries as a message holds", now: now}
	for i := range mostHints {
		full.entries = append(full.entries, hint{hintBad, tag(ServerID(1000 + i)), now - 20*float64(i)})
	}
	return []gossipFixture{
		{"question of a sidecar that starts", 1000, []hint{{hintAsk, 0, 1000}}},
		{"a bad server", now, []hint{{hintBad, tag(0x0a124a07232b), now - 40}}},
		{"a server that is back", now, []hint{{hintBack, tag(7), now}}},
		{"one of each kind", now, []hint{{hintAsk, 0, now}, {hintBad, 0xffffffff, now - 5100}, {hintBack, 1, now - 20}}},
		{"a clock beyond 32 bits", 1<<33 + 12345, []hint{{hintBad, 99, 1<<33 + 12345 - 100}}},
		full,
	}
}

// Messages of sidecars that run an earlier version are read, and written byte for byte as they write them.
func TestGossipFixtures(t *testing.T) {
	var text strings.Builder
	for _, f := range gossipFixtures() {
		fmt.Fprintf(&text, "%s: %x\n", f.name, appendMessage(nil, f.now, f.entries))
	}
	checkGolden(t, "gossip.golden", text.String())
	stored, err := os.ReadFile(filepath.Join("testdata", "gossip.golden"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(stored)), "\n")
	if len(lines) != len(gossipFixtures()) {
		t.Fatalf("%d messages are stored, want %d", len(lines), len(gossipFixtures()))
	}
	for i, f := range gossipFixtures() {
		_, digits, _ := strings.Cut(lines[i], ": ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		sent, entries, err := readMessage(data, f.now, nil)
		if err != nil || sent != stamp(f.now) || !slices.Equal(entries, f.entries) {
			t.Errorf("%s: read as %+v of %d, error %v", f.name, entries, sent, err)
		}
		if again := appendMessage(nil, f.now, entries); !slices.Equal(again, data) {
			t.Errorf("%s: written again as %x", f.name, again)
		}
	}
}

// play drives one balancer by a fixed, seeded script of events of every kind and hashes all actions that it asks for,
// and from time to time the figures that it decides by. Any change of behaviour, of what is random or of the order of
// a float sum changes the digest.
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
	lost    int     // the zone that cannot be reached; -1: none
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

func newPlay(t *testing.T, cfg Config, servers int) *play {
	p := &play{
		t: t, b: mustNew(t, cfg), cfg: cfg, seed: cfg.Seed * 77, now: 1000, sum: sha256.New(),
		open: map[RequestID]*playRequest{}, lost: -1, slow: 1,
	}
	for i := range servers {
		p.servers = append(p.servers, Server{
			ID: ServerID(0x0a0000000000 + 131*i), Rating: 0.5 + float64(i%5)/4, Cell: i / 4, Zone: i % 3, Kind: i % 2,
		})
	}
	p.carryOut(p.b.Start(p.now))
	p.handle(ServerList{Kind: ListCached, Servers: slices.Clone(p.servers)})
	return p
}

// draw returns a number from 0 to under n.
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
			if e.at <= until && (next < 0 || e.at < p.pending[next].at || e.at == p.pending[next].at && e.order < p.pending[next].order) {
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
		case ServerList:
			if ev.Kind == ListFull {
				ev.Servers = slices.Clone(p.servers)
			}
			p.handle(ev)
		default:
			p.handle(ev)
		}
	}
	p.now = until
}

// end delivers an outcome, half of them by pointer, unless the attempt has ended by a cancellation.
func (p *play) end(ev Outcome) {
	r := p.open[ev.Request]
	if r.ended[ev.Attempt] {
		return
	}
	r.ended[ev.Attempt] = true
	r.answered = r.answered || ev.Result == OK
	ev.Finished = r.answered
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
		case Refuse, Fail:
			p.finals++
			p.open[a.Request].answered = true
		case Cancel:
			p.others++
			p.after(0.5, Outcome{Request: a.Request, Attempt: a.Attempt, Server: a.Server, Result: Cancelled, Took: 1})
		case SetTimer:
			p.after(a.At, Timer{Token: a.Token})
		case Probe:
			p.others++
			result := []Result{OK, OK, OK, OK, OK, TimedOut, Moot, Cancelled}[p.draw(8)]
			p.after(1+4*p.uniform(), ProbeResult{Server: a.Server, Result: result, Took: 2, Report: p.report()})
		case Watch, Fetch:
			p.others++
			kind := []ListKind{ListFull, ListFailed}[p.draw(2)]
			p.after(20, ServerList{Kind: kind, Unqueued: p.draw(2) == 0})
		default:
			p.others++
		}
	}
}

// record hashes an action with the time at which it was asked for.
func (p *play) record(a *Action) {
	b := p.scratch[:0]
	for _, v := range []uint64{
		math.Float64bits(p.now), uint64(a.Kind), uint64(a.Request), uint64(a.Attempt), uint64(a.Server),
		math.Float64bits(a.At), a.Token, uint64(a.Peer), uint64(len(a.Data)), uint64(len(a.Text)),
	} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, a.Data...)
	b = append(b, a.Text...)
	p.scratch = b
	p.sum.Write(b)
}

// recordFigures hashes what the balancer decides by.
func (p *play) recordFigures() {
	b := p.b
	figures := []float64{b.pool, b.steady, b.quickest, b.open, b.openMean, b.repeats, b.busy, b.util, b.drift, b.carried, b.shares, b.tell.bytes}
	for _, s := range b.servers {
		figures = append(figures, s.running, s.weight, s.size, s.restUntil, s.hintUntil, s.tokens, s.rank, float64(s.inFlight))
	}
	for i := range b.classes {
		c := &b.classes[i]
		figures = append(figures, c.asked, c.served, c.mean, c.dev, c.slow, c.quick)
	}
	for kind := range 2 {
		figures = append(figures, b.kinds[kind])
	}
	for zone := range 3 {
		figures = append(figures, b.zones[zone])
	}
	bytes := p.scratch[:0]
	for _, f := range figures {
		bytes = binary.BigEndian.AppendUint64(bytes, math.Float64bits(f))
	}
	p.scratch = bytes
	p.sum.Write(bytes)
}

// attempt decides how and when a send ends.
func (p *play) attempt(a *Action) {
	r := p.open[a.Request]
	out := Outcome{Request: a.Request, Attempt: r.attempts, Server: a.Server}
	r.attempts++
	r.ended = append(r.ended, false)
	i := int(a.Server-0x0a0000000000) / 131
	out.Took = (5 + 20*p.uniform()) * float64(1+i%3) * p.slow
	out.Result = []Result{
		OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, OK, Failed, Full, Reset, ConnectFailed, Moot,
	}[p.draw(21)]
	if out.Result == Full || out.Result == Moot {
		out.Took = 1
	}
	switch {
	case i%3 == p.lost:
		out.Result, out.Took = ConnectFailed, 60
	case i == 5: // it hangs
		out.Result, out.Took = OK, 1e6
	}
	out.Report = p.report()
	left := r.deadline - p.now
	if a.At > 0 {
		left = math.Min(left, a.At-p.now)
	}
	if out.Took > left {
		out.Result, out.Took = TimedOut, math.Max(left, 0)
	} else if p.cfg.Classes[r.class].Stream && out.Result == OK {
		p.after(out.Took, Started{Request: a.Request, Attempt: out.Attempt, Server: a.Server, Took: out.Took})
		out.Took += 300 * p.uniform()
	}
	p.after(out.Took, out)
}

func (p *play) report() []float32 {
	if p.cfg.Reports == ReportNone {
		return nil
	}
	report := make([]float32, len(p.cfg.Fields))
	for i, field := range p.cfg.Fields {
		switch field {
		case FieldInFlight, FieldQueue:
			report[i] = float32(p.draw(5)) * float32(p.slow)
		case FieldUtil:
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
		ID: id, Class: p.draw(len(p.cfg.Classes)), Tenant: p.draw(len(p.cfg.Tenants)+1) - 1, WorkHint: p.uniform(),
		Key: uint64(p.draw(30) * p.draw(8)), Repeat: p.draw(10) == 0, Write: p.draw(4) == 0,
	}
	ev.Remaining = p.cfg.Classes[ev.Class].Deadline * (0.5 + p.uniform()/2)
	p.open[id] = &playRequest{class: ev.Class, deadline: p.now + ev.Remaining}
	if id%3 == 0 {
		p.handle(&ev)
	} else {
		p.handle(ev)
	}
}

// change tells of servers that restart, drain, go, come back or are rated otherwise.
func (p *play) change() {
	kind := []ListKind{ListFull, ListDelta, ListDelta, ListCached, ListFailed}[p.draw(5)]
	var entries []Server
	for i := range p.servers {
		s := &p.servers[i]
		if p.draw(12) == 0 {
			s.State = []State{Ready, Ready, Ready, Draining, Gone}[p.draw(5)]
			s.Rating = 0.5 + p.uniform()
			if p.draw(2) == 0 && s.State == Ready {
				s.StartedAt = p.now - 5*p.uniform()
			}
			entries = append(entries, *s)
		} else if kind != ListDelta {
			entries = append(entries, *s)
		}
	}
	p.handle(ServerList{Kind: kind, Servers: entries, Unqueued: p.draw(2) == 0})
}

func (p *play) gossip() {
	var entries []hint
	for range 1 + p.draw(4) {
		kind := []hintKind{hintBad, hintBad, hintBack, hintAsk}[p.draw(4)]
		entries = append(entries, hint{kind, tag(p.servers[p.draw(len(p.servers))].ID), p.now - 400*p.uniform()})
	}
	data := appendMessage(nil, p.now, entries)
	if p.draw(6) == 0 {
		data[p.draw(len(data))] ^= 4
	}
	p.handle(Message{From: p.draw(p.cfg.Peers + 1), Data: data})
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
		ev.KeepOffs = append(ev.KeepOffs, KeepOff{
			ID: id, Tenant: p.draw(3) - 1, Servers: ids(1 + len(p.servers)/2), Least: p.uniform() * 0.8, Until: p.now + 3000*p.uniform() - 100,
		})
	}
	for key := range uint64(p.draw(6)) {
		s := Spread{Key: key * 2, Until: p.now + 3000*p.uniform() - 100}
		for _, id := range ids(6) {
			s.Copies = append(s.Copies, Copy{id, 0.4*p.uniform() - 0.1})
		}
		ev.Spreads = append(ev.Spreads, s)
	}
	p.handle(ev)
}

// whole plays all of it: a calm start, a zone that is lost, overload, changes of the list, a lull, and the end.
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
			for _, id := range p.b.Suspended() {
				p.sum.Write([]byte{byte(id)})
			}
		}
		if i%30 == 7 {
			gone := RequestID(i - p.draw(8))
			if r := p.open[gone]; r != nil {
				r.answered = true
			}
			p.handle(HangUp{Request: gone})
		}
		if i%100 == 99 {
			p.recordFigures()
		}
	}
	p.run(p.now + 3000)
	p.recordFigures()
}

// The same settings and events give the same actions, to the last bit of each time and whatever the build. The
// digests are of an amd64 machine with fused multiply-add: math.Exp uses it there, and may round otherwise elsewhere.
func TestDecisionsAreDeterministic(t *testing.T) {
	warm := func(c *Config) { c.WarmKeys, c.Parallel = true, false }
	messages := func(c *Config) { c.Messages, c.Peers, c.Number, c.Prices.Peer = true, 50, 7, 0.06 }
	piggyback := func(c *Config) {
		c.Reports, c.Fields = ReportPiggyback, []Field{FieldInFlight, FieldUtil, FieldQueue, FieldLatency, FieldUnknown, FieldRate, FieldErrorRate}
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
		{"warm keys, large fleet", 120, false, func(c *Config) { warm(c); c.Peers = 300 }},
		{"warm keys, reports", 30, false, func(c *Config) { warm(c); piggyback(c) }},
		{"reports", 30, false, piggyback},
		{"probes", 30, false, func(c *Config) { c.Probes, c.Reports, c.Fields = true, ReportProbe, []Field{FieldInFlight, FieldUtil} }},
		{"messages", 30, false, messages},
		{"warm keys, messages", 60, false, func(c *Config) { warm(c); messages(c) }},
		{"subscribe", 30, false, func(c *Config) { c.Subscribe, c.Peers = true, 80 }},
		{"tenants", 30, false, func(c *Config) {
			c.Tenants = []Tenant{{Allowance: 50, Share: 0.6}, {Allowance: 20, Share: 0.3}, {Share: 0.1}}
			c.OverShareWorth = 0.3
			c.Goal = Goal{Whole: 0.4, WorstWindow: 0.2, WorstClass: 0.2, WorstTenant: 0.2}
		}},
		{"unsafe classes", 30, false, func(c *Config) {
			c.Classes = []Class{
				{Effect: Unsafe, Aim: 150, Deadline: 600, Worth: 5}, {Effect: Unsafe, Aim: 300, Deadline: 900, Worth: 1, LateWorth: 0.4},
				{Effect: Keyed, Group: GroupZone, Window: 300, Aim: 200, Deadline: 900, Worth: 2},
			}
		}},
		{"streams", 30, false, func(c *Config) { c.Classes[safeClass].Stream, c.Classes[allClass].Stream = true, true }},
		{"one attempt, no cancel", 30, false, func(c *Config) { c.MaxAttempts, c.Cancel, c.Parallel, c.RetryAfter = 1, false, false, false }},
		{"zones at a price", 30, false, func(c *Config) { c.Prices.CrossZone, c.Zone, c.ConnectTimeout = 0.01, 1, 100 }},
		{"warm keys, zones at a price", 30, false, func(c *Config) { warm(c); c.Prices.CrossZone, c.Zone = 0.02, 2 }},
		{"placement", 30, true, func(c *Config) { c.Tenants = []Tenant{{Share: 0.5}, {Share: 0.5}} }},
		{"warm keys, placement", 30, true, func(c *Config) { warm(c); c.Tenants = []Tenant{{Share: 0.5}, {Share: 0.5}} }},
	} {
		cfg := baseConfig()
		cfg.Seed = 0x8c1f30d27a5be964
		c.change(&cfg)
		p := newPlay(t, cfg, c.servers)
		p.whole(3000, c.placed)
		if p.sends < 1000 || p.finals == 0 || p.others == 0 {
			t.Errorf("%s: %d sends, %d final answers, %d other actions: the play says little", c.name, p.sends, p.finals, p.others)
		}
		fmt.Fprintf(&text, "%s: %d sends, %d final answers, %d other actions, %x\n", c.name, p.sends, p.finals, p.others, p.sum.Sum(nil))
	}
	checkGolden(t, "decisions.golden", text.String())
}
