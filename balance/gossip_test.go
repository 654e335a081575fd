package balance

import (
	"bytes"
	"math/rand"
	"testing"
)

func gossipConfig() Config {
	cfg := baseConfig()
	cfg.KeyAffinity, cfg.AllowGossip, cfg.SidecarCount, cfg.SidecarIndex = true, true, 50, 7
	cfg.Costs.Gossip = 0.06
	return cfg
}

// newGossipHarness is a sidecar of 50 with 60 servers in three zones, of which each zone has answered.
func newGossipHarness(t *testing.T) *harness {
	servers := testServers(60)
	for i := range servers {
		servers[i].Zone = i % 3
	}
	g := newHarness(t, gossipConfig(), servers...)
	for range 40 {
		g.now += 10
		id, _ := g.request(idempotentClass)
		g.finishAttempt(id, 0, OK, 10)
	}
	return g
}

// gossip brings a message as another sidecar would send it.
func (g *harness) gossip(from int, hints ...finding) []Action {
	g.now++
	return g.handle(GossipMessage{From: from, Data: appendGossip(nil, g.now, hints)})
}

func (g *harness) ejected() (n int, ofZone map[int]int) {
	g.balancer.now, ofZone = g.now, map[int]int{}
	for _, s := range g.balancer.servers {
		if g.balancer.isEjected(s) {
			n++
			ofZone[s.Zone]++
		}
	}
	return n, ofZone
}

// Whatever others say, true or not, a few servers rest for a short time, no zone is emptied, and nothing is kept.
func TestHostileGossipHasBoundedEffect(t *testing.T) {
	g, rnd := newGossipHarness(t), rand.New(rand.NewSource(1))
	life := g.balancer.gossipLifetime()
	most := int(maxGossipEjectedFraction * float64(len(g.balancer.servers)))
	last := []byte{}
	for _, s := range g.balancer.servers {
		s.errors.consecutive = 1 // met with trouble once: else no hint is heard
	}
	for range 20000 {
		g.now += 1
		var lies []finding
		for range 1 + rnd.Intn(maxFindings) {
			whom := serverTag(ServerID(1 + rnd.Intn(60)))
			if rnd.Intn(3) == 0 {
				whom = uint32(rnd.Intn(4))
			}
			lies = append(lies, finding{findingKind(1 + rnd.Intn(int(findingKindEnd)-1)), whom, g.now - rnd.Float64()*1000})
		}
		data := appendGossip(nil, g.now+float64(rnd.Intn(100)), lies)
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
		g.handle(GossipMessage{From: rnd.Intn(60) - 5, Data: data}) // some from nobody of the tier, or from itself
		last = data
		n, ofZone := g.ejected()
		for zone, k := range ofZone {
			if 2*k > 20 {
				t.Fatalf("%d of the 20 servers of zone %d rest by what others say", k, zone)
			}
		}
		if n > most {
			t.Fatalf("%d servers rest by what others say, at most %d may", n, most)
		}
	}
	if len(g.balancer.gossip.senders) > g.balancer.config.SidecarCount || len(g.balancer.requests.open) > 0 {
		t.Fatalf("%d senders are remembered of %d", len(g.balancer.gossip.senders), g.balancer.config.SidecarCount)
	}
	g.now += life + 1
	if n, _ := g.ejected(); n > 0 {
		t.Fatalf("%d servers still rest %v ms after the last message", n, life)
	}
}

// A message twice, one that is overtaken by a later one and one of old news say nothing.
func TestStaleGossipIsIgnored(t *testing.T) {
	g := newGossipHarness(t)
	late := func(id ServerID) finding { return finding{findingFault, serverTag(id), g.now} }
	first := GossipMessage{From: 1, Data: appendGossip(nil, g.now, []finding{late(1)})}
	g.handle(first)
	g.gossip(1, finding{findingRecovery, serverTag(1), g.now})
	g.handle(first)
	if n, _ := g.ejected(); n != 0 {
		t.Fatal("a repeated message counted again")
	}
	g.gossip(1, finding{findingFault, serverTag(2), g.now - g.balancer.gossipLifetime() - findingAgeUnit})
	if n, _ := g.ejected(); n != 0 {
		t.Fatal("old news counted")
	}
	g.balancer.serversByID[3].timelyAnswerAt = g.now
	g.gossip(1, finding{findingFault, serverTag(3), g.now - findingAgeUnit})
	if n, _ := g.ejected(); n != 0 {
		t.Fatal("news older than an own answer counted")
	}
}

// Who says that servers are late which answer in time is soon not listened to, and is again after a while.
func TestContradictedGossipSenderIsIgnored(t *testing.T) {
	g := newGossipHarness(t)
	lie := func() bool {
		id, acts := g.request(idempotentClass)
		to, _ := sentServer(acts)
		g.balancer.serversByID[to].errors.consecutive = 1
		g.gossip(5, finding{findingFault, serverTag(to), g.now})
		believed := g.balancer.isEjected(g.balancer.serversByID[to])
		g.now += 10
		g.finishAttempt(id, 0, OK, 10)
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
	g.balancer.serversByID[9].errors.consecutive = 1
	if g.gossip(6, finding{findingFault, serverTag(9), g.now}); !g.balancer.isEjected(g.balancer.serversByID[9]) {
		t.Error("another sender is not believed")
	}
	g.now += 10 * g.balancer.gossipLifetime()
	if !lie() {
		t.Error("a sender is never believed again")
	}
}

// What is told costs a set number of bytes for each request, whatever there is to tell and to how many; a sidecar
// asks once at its start, from few.
func TestGossipKeepsToItsBudget(t *testing.T) {
	for _, peers := range []int{2, 50, 1000} {
		cfg := gossipConfig()
		cfg.SidecarCount, cfg.SidecarIndex = peers, 1
		g := newHarness(t, cfg, testServers(60)...)
		count := func(acts []Action) (posts, bytes int) {
			for _, a := range acts {
				if a.Kind == SendGossip {
					if a.Peer == cfg.SidecarIndex || a.Peer < 0 || a.Peer >= peers || len(a.Data) > 256 {
						t.Fatalf("posts %d bytes to %d", len(a.Data), a.Peer)
					}
					posts, bytes = posts+1, bytes+len(a.Data)
				}
			}
			return posts, bytes
		}
		if posts, _ := count(g.handle(TimerFired{Token: gossipTimer})); posts != min(bootstrapFanout, peers-1) {
			t.Fatalf("asks %d of %d", posts, peers)
		}
		all := 0
		for range 3000 {
			g.now += 20
			id, _ := g.request(idempotentClass)
			g.finishAttempt(id, 0, ConnectFailed, 5)
			g.handle(ClientDisconnected{Request: id})
			_, n := count(g.handle(TimerFired{Token: gossipTimer}))
			all += n
		}
		if most := 3000*gossipBudget*256/0.06 + gossipBurstBytes; all == 0 || float64(all) > most {
			t.Errorf("%d peers: told %d bytes, at most %.0f", peers, all, most)
		}
	}
}

// One that has just started hears what is known, and starts with it.
func TestRestartedSidecarBootstrapsFromGossip(t *testing.T) {
	knows, starts := newGossipHarness(t), newHarness(t, gossipConfig(), testServers(60)...)
	starts.now = knows.now
	starts.balancer.startedAt = knows.now
	for _, id := range []ServerID{4, 9} {
		knows.balancer.now = knows.now
		knows.balancer.serversByID[id].errors.consecutive = errorsBeforeEjection
		knows.balancer.recordError(knows.balancer.serversByID[id], false)
	}
	question := starts.handle(TimerFired{Token: gossipTimer})
	knows.now++
	for _, a := range knows.handle(GossipMessage{From: 3, Data: question[0].Data}) {
		if a.Kind == SendGossip && a.Peer == 3 {
			starts.handle(GossipMessage{From: 7 + 1, Data: a.Data})
		}
	}
	if n, _ := starts.ejected(); n != 2 || !starts.balancer.isEjected(starts.balancer.serversByID[9]) {
		t.Errorf("%d servers rest after the answer, want 2", n)
	}
}

// FuzzReadGossip: what is accepted is what appendGossip writes, and nothing else.
func FuzzReadGossip(f *testing.F) {
	f.Add(appendGossip(nil, 123456, []finding{{findingFault, 77, 123000}, {findingRecovery, 1, 123456}}))
	f.Add([]byte{gossipVersion, 0, 0, 1, 2, 3, 4, 1, 0, 0, 0, 0, 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		const now = 1 << 33 // with the low half of the clock at 0
		sent, hints, err := readGossip(data, now, nil)
		if err != nil {
			return
		}
		again := appendGossip(nil, now, hints)
		copy(again[3:gossipHeaderSize], data[3:gossipHeaderSize]) // the sender's clock
		if !bytes.Equal(again[3:], data[3:]) || len(hints) > maxFindings || len(data) > 256 {
			t.Fatalf("%x is read as %+v at %d, which is written %x", data, hints, sent, again)
		}
	})
}
