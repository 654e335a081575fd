package balance

import (
	"bytes"
	"math/rand"
	"testing"
)

func hintConfig() Config {
	cfg := baseConfig()
	cfg.WarmKeys, cfg.Messages, cfg.Peers, cfg.Number = true, true, 50, 7
	cfg.Prices.Peer = 0.06
	return cfg
}

// hintRig is a sidecar of 50 with 60 servers in three zones, of which each zone has answered.
func hintRig(t *testing.T) *rig {
	servers := fleet(60)
	for i := range servers {
		servers[i].Zone = i % 3
	}
	g := newRig(t, hintConfig(), servers...)
	for range 40 {
		g.now += 10
		id, _ := g.ask(safeClass)
		g.answer(id, 0, OK, 10)
	}
	return g
}

// tell brings a message as another sidecar would send it.
func (g *rig) tell(from int, hints ...hint) []Action {
	g.now++
	return g.do(Message{From: from, Data: appendMessage(nil, g.now, hints)})
}

func (g *rig) resting() (n int, ofZone map[int]int) {
	g.b.now, ofZone = g.now, map[int]int{}
	for _, s := range g.b.servers {
		if g.b.resting(s) {
			n++
			ofZone[s.Zone]++
		}
	}
	return n, ofZone
}

// Whatever others say, true or not, a few servers rest for a short time, no zone is emptied, and nothing is kept.
func TestHostileMessagesChangeLittle(t *testing.T) {
	g, rnd := hintRig(t), rand.New(rand.NewSource(1))
	life := g.b.hintLife()
	most := int(hintPart * float64(len(g.b.servers)))
	last := []byte{}
	for _, s := range g.b.servers {
		s.errs = 1 // met with trouble once: else no hint is heard
	}
	for range 20000 {
		g.now += 1
		var lies []hint
		for range 1 + rnd.Intn(mostHints) {
			whom := tag(ServerID(1 + rnd.Intn(60)))
			if rnd.Intn(3) == 0 {
				whom = uint32(rnd.Intn(4))
			}
			lies = append(lies, hint{hintKind(1 + rnd.Intn(int(hintKinds)-1)), whom, g.now - rnd.Float64()*1000})
		}
		data := appendMessage(nil, g.now+float64(rnd.Intn(100)), lies)
		switch rnd.Intn(6) {
		case 0:
			data[rnd.Intn(len(data))] ^= 1 << rnd.Intn(8) // garbled
		case 1:
			data = data[:rnd.Intn(len(data))]
		case 2:
			data = append(data, make([]byte, rnd.Intn(400))...)
		case 3:
			data = last // repeated
		}
		g.do(Message{From: rnd.Intn(60) - 5, Data: data}) // some from nobody of the tier, or from itself
		last = data
		n, ofZone := g.resting()
		for zone, k := range ofZone {
			if 2*k > 20 {
				t.Fatalf("%d of the 20 servers of zone %d rest by what others say", k, zone)
			}
		}
		if n > most {
			t.Fatalf("%d servers rest by what others say, at most %d may", n, most)
		}
	}
	if len(g.b.tell.senders) > g.b.cfg.Peers || len(g.b.reqs) > 0 {
		t.Fatalf("%d senders are remembered of %d", len(g.b.tell.senders), g.b.cfg.Peers)
	}
	g.now += life + 1
	if n, _ := g.resting(); n > 0 {
		t.Fatalf("%d servers still rest %v ms after the last message", n, life)
	}
}

// A message twice, one that is overtaken by a later one and one of old news say nothing.
func TestOldMessagesSayNothing(t *testing.T) {
	g := hintRig(t)
	late := func(id ServerID) hint { return hint{hintBad, tag(id), g.now} }
	first := Message{From: 1, Data: appendMessage(nil, g.now, []hint{late(1)})}
	g.do(first)
	g.tell(1, hint{hintBack, tag(1), g.now})
	g.do(first)
	if n, _ := g.resting(); n != 0 {
		t.Fatal("a repeated message counted again")
	}
	g.tell(1, hint{hintBad, tag(2), g.now - g.b.hintLife() - ageUnit})
	if n, _ := g.resting(); n != 0 {
		t.Fatal("old news counted")
	}
	g.b.byID[3].answeredAt = g.now
	g.tell(1, hint{hintBad, tag(3), g.now - ageUnit})
	if n, _ := g.resting(); n != 0 {
		t.Fatal("news older than an own answer counted")
	}
}

// Who says that servers are late which answer in time is soon not listened to, and is again after a while.
func TestContradictedSenderIsIgnored(t *testing.T) {
	g := hintRig(t)
	lie := func() bool {
		id, acts := g.ask(safeClass)
		to, _ := sentTo(acts)
		g.b.byID[to].errs = 1
		g.tell(5, hint{hintBad, tag(to), g.now})
		believed := g.b.resting(g.b.byID[to])
		g.now += 10
		g.answer(id, 0, OK, 10)
		return believed
	}
	believed := 0
	for range 20 {
		if lie() {
			believed++
		}
	}
	if believed < 1 || believed > 4 {
		t.Errorf("of 20 lies %d were believed", believed)
	}
	g.b.byID[9].errs = 1
	if g.tell(6, hint{hintBad, tag(9), g.now}); !g.b.resting(g.b.byID[9]) {
		t.Error("another sender is not believed")
	}
	g.now += 10 * g.b.hintLife()
	if !lie() {
		t.Error("a sender is never believed again")
	}
}

// What is told costs a set number of bytes for each request, whatever there is to tell and to how many; a sidecar
// asks once at its start, from few.
func TestTellingKeepsToItsBudget(t *testing.T) {
	for _, peers := range []int{2, 50, 1000} {
		cfg := hintConfig()
		cfg.Peers, cfg.Number = peers, 1
		g := newRig(t, cfg, fleet(60)...)
		count := func(acts []Action) (posts, bytes int) {
			for _, a := range acts {
				if a.Kind == Post {
					if a.Peer == cfg.Number || a.Peer < 0 || a.Peer >= peers || len(a.Data) > 256 {
						t.Fatalf("posts %d bytes to %d", len(a.Data), a.Peer)
					}
					posts, bytes = posts+1, bytes+len(a.Data)
				}
			}
			return posts, bytes
		}
		if posts, _ := count(g.do(Timer{Token: tellTimer})); posts != min(askFew, peers-1) {
			t.Fatalf("asks %d of %d", posts, peers)
		}
		all := 0
		for range 3000 {
			g.now += 20
			id, _ := g.ask(safeClass)
			g.answer(id, 0, ConnectFailed, 5)
			g.do(HangUp{Request: id})
			_, n := count(g.do(Timer{Token: tellTimer}))
			all += n
		}
		if most := 3000*tellSpend*256/0.06 + tellBurst; all == 0 || float64(all) > most {
			t.Errorf("%d peers: told %d bytes, at most %.0f", peers, all, most)
		}
	}
}

// One that has just started hears what is known, and starts with it.
func TestRestartedSidecarStartsWarm(t *testing.T) {
	knows, starts := hintRig(t), newRig(t, hintConfig(), fleet(60)...)
	starts.now = knows.now
	starts.b.started = knows.now
	for _, id := range []ServerID{4, 9} {
		knows.b.now = knows.now
		knows.b.byID[id].errs = strikes
		knows.b.fault(knows.b.byID[id], false)
	}
	question := starts.do(Timer{Token: tellTimer})
	knows.now++
	for _, a := range knows.do(Message{From: 3, Data: question[0].Data}) {
		if a.Kind == Post && a.Peer == 3 {
			starts.do(Message{From: 7 + 1, Data: a.Data})
		}
	}
	if n, _ := starts.resting(); n != 2 || !starts.b.resting(starts.b.byID[9]) {
		t.Errorf("%d servers rest after the answer, want 2", n)
	}
}

// FuzzReadMessage: what is accepted is what appendMessage writes, and nothing else.
func FuzzReadMessage(f *testing.F) {
	f.Add(appendMessage(nil, 123456, []hint{{hintBad, 77, 123000}, {hintBack, 1, 123456}}))
	f.Add([]byte{tellVersion, 0, 0, 1, 2, 3, 4, 1, 0, 0, 0, 0, 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		const now = 1 << 33 // with the low half of the clock at 0
		sent, hints, err := readMessage(data, now, nil)
		if err != nil {
			return
		}
		again := appendMessage(nil, now, hints)
		copy(again[3:tellHeader], data[3:tellHeader]) // the sender's clock
		if !bytes.Equal(again[3:], data[3:]) || len(hints) > mostHints || len(data) > 256 {
			t.Fatalf("%x is read as %+v at %d, which is written %x", data, hints, sent, again)
		}
	})
}
