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

// newGossipHarness returns one of 50 sidecars, with 60 servers in three zones that have all answered.
func newGossipHarness(t *testing.T) *harness {
	servers := testServers(60)
	for i := range servers {
		servers[i].Zone = i % 3
	}
	h := newHarness(t, gossipConfig(), servers...)
	for range 40 {
		h.now += 10
		id, _ := h.request(idempotentClass)
		h.finishAttempt(id, 0, OK, 10)
	}
	return h
}

// gossip delivers a message from another sidecar.
func (h *harness) gossip(from int, findings ...finding) {
	h.t.Helper()
	h.now++
	h.handle(GossipMessage{From: from, Data: encodeGossip(h.now, findings)})
}

func (h *harness) ejected() (n int, ofZone map[int]int) {
	h.balancer.now, ofZone = h.now, map[int]int{}
	for _, s := range h.balancer.servers {
		if h.balancer.isEjected(s) {
			n++
			ofZone[s.Zone]++
		}
	}
	return n, ofZone
}

// Whatever other sidecars publish, true or not: gossip ejects few servers, for a short time, and at most
// half of the servers of a zone. Memory use is bounded.
func TestHostileGossipHasBoundedEffect(t *testing.T) {
	h, random := newGossipHarness(t), rand.New(rand.NewSource(1))
	lifetime := h.balancer.gossipLifetime()
	limit := int(maxGossipEjectedFraction * float64(len(h.balancer.servers)))
	lastMessage := []byte{}
	for _, s := range h.balancer.servers {
		s.errors.consecutive = 1 // findings about servers without own errors are ignored
	}
	for range 20000 {
		h.now += 1
		var findings []finding
		for range 1 + random.Intn(maxFindings) {
			tag := serverTag(ServerID(1 + random.Intn(60)))
			if random.Intn(3) == 0 {
				tag = uint32(random.Intn(4))
			}
			findings = append(findings, finding{findingKind(1 + random.Intn(int(findingKindEnd)-1)), tag,
				h.now - random.Float64()*1000})
		}
		data := encodeGossip(h.now+float64(random.Intn(100)), findings)
		switch random.Intn(6) {
		case 0:
			data[random.Intn(len(data))] ^= 1 << random.Intn(8) // damaged
		case 1:
			data = data[:random.Intn(len(data))]
		case 2:
			data = append(data, make([]byte, random.Intn(400))...)
		case 3:
			data = lastMessage // repeated
		}
		h.handle(GossipMessage{From: random.Intn(60) - 5, Data: data}) // some senders are outside of the fleet, or this sidecar
		lastMessage = data
		n, ofZone := h.ejected()
		for zone, k := range ofZone {
			if 2*k > 20 {
				t.Fatalf("%d of the 20 servers of zone %d are ejected by gossip", k, zone)
			}
		}
		if n > limit {
			t.Fatalf("%d servers are ejected by gossip, at most %d may", n, limit)
		}
	}
	if len(h.balancer.gossip.senders) > h.balancer.config.SidecarCount || len(h.balancer.requests.open) > 0 {
		t.Fatalf("%d senders are retained of %d", len(h.balancer.gossip.senders), h.balancer.config.SidecarCount)
	}
	h.now += lifetime + 1
	if n, _ := h.ejected(); n > 0 {
		t.Fatalf("%d servers are still ejected %v ms after the last message", n, lifetime)
	}
}

// A repeated message, a message that a later one overtook and a stale finding must have no effect.
func TestStaleGossipIsIgnored(t *testing.T) {
	h := newGossipHarness(t)
	fault := func(id ServerID) finding { return finding{findingFault, serverTag(id), h.now} }
	first := GossipMessage{From: 1, Data: encodeGossip(h.now, []finding{fault(1)})}
	h.handle(first)
	h.gossip(1, finding{findingRecovery, serverTag(1), h.now})
	h.handle(first)
	if n, _ := h.ejected(); n != 0 {
		t.Fatal("a repeated message was applied again")
	}
	h.gossip(1, finding{findingFault, serverTag(2), h.now - h.balancer.gossipLifetime() - findingAgeUnit})
	if n, _ := h.ejected(); n != 0 {
		t.Fatal("a stale finding was applied")
	}
	h.balancer.serversByID[3].timelyAnswerAt = h.now
	h.gossip(1, finding{findingFault, serverTag(3), h.now - findingAgeUnit})
	if n, _ := h.ejected(); n != 0 {
		t.Fatal("a finding older than an own answer was applied")
	}
}

// A sender that reports faults of servers that answer in time is soon ignored, and accepted again after a while.
func TestContradictedGossipSenderIsIgnored(t *testing.T) {
	h := newGossipHarness(t)
	reportFalseFault := func() bool {
		id, actions := h.request(idempotentClass)
		to, _ := sentServer(actions)
		h.balancer.serversByID[to].errors.consecutive = 1
		h.gossip(5, finding{findingFault, serverTag(to), h.now})
		accepted := h.balancer.isEjected(h.balancer.serversByID[to])
		h.now += 10
		h.finishAttempt(id, 0, OK, 10)
		return accepted
	}
	accepted := 0
	for range 20 {
		if reportFalseFault() {
			accepted++
		}
	}
	if accepted < 1 || accepted > 4 {
		t.Errorf("of 20 false findings %d were accepted", accepted)
	}
	h.balancer.serversByID[9].errors.consecutive = 1
	if h.gossip(6, finding{findingFault, serverTag(9), h.now}); !h.balancer.isEjected(h.balancer.serversByID[9]) {
		t.Error("findings of another sender are not accepted")
	}
	h.now += 10 * h.balancer.gossipLifetime()
	if !reportFalseFault() {
		t.Error("findings of the sender are never accepted again")
	}
}

// Gossip costs a fixed number of bytes per request, regardless of the number of findings and receivers. A sidecar
// queries a few others once, when it starts.
func TestGossipKeepsToItsBudget(t *testing.T) {
	for _, sidecars := range []int{2, 50, 1000} {
		cfg := gossipConfig()
		cfg.SidecarCount, cfg.SidecarIndex = sidecars, 1
		h := newHarness(t, cfg, testServers(60)...)
		count := func(actions []Action) (posts, bytes int) {
			for _, a := range actions {
				if a.Kind == SendGossip {
					if a.Peer == cfg.SidecarIndex || a.Peer < 0 || a.Peer >= sidecars || len(a.Data) > 256 {
						t.Fatalf("a gossip message of %d bytes went to sidecar %d", len(a.Data), a.Peer)
					}
					posts, bytes = posts+1, bytes+len(a.Data)
				}
			}
			return posts, bytes
		}
		if posts, _ := count(h.handle(TimerFired{Token: gossipTimer})); posts != min(bootstrapFanout, sidecars-1) {
			t.Fatalf("the bootstrap query went to %d sidecars of a fleet of %d", posts, sidecars)
		}
		total := 0
		for range 3000 {
			h.now += 20
			id, _ := h.request(idempotentClass)
			h.finishAttempt(id, 0, ConnectFailed, 5)
			h.handle(ClientDisconnected{Request: id})
			_, n := count(h.handle(TimerFired{Token: gossipTimer}))
			total += n
		}
		if limit := 3000*gossipBudget*256/0.06 + gossipBurstBytes; total == 0 || float64(total) > limit {
			t.Errorf("%d sidecars: sent %d bytes, at most %.0f", sidecars, total, limit)
		}
	}
}

// A sidecar that has just started knows no faults. It must receive the faults that other sidecars know.
func TestRestartedSidecarBootstrapsFromGossip(t *testing.T) {
	informed, started := newGossipHarness(t), newHarness(t, gossipConfig(), testServers(60)...)
	started.now = informed.now
	started.balancer.startedAt = informed.now
	for _, id := range []ServerID{4, 9} {
		informed.balancer.now = informed.now
		informed.balancer.serversByID[id].errors.consecutive = errorsBeforeEjection
		informed.balancer.recordError(informed.balancer.serversByID[id], false)
	}
	query := started.handle(TimerFired{Token: gossipTimer})
	informed.now++
	for _, a := range informed.handle(GossipMessage{From: 3, Data: query[0].Data}) {
		if a.Kind == SendGossip && a.Peer == 3 {
			started.handle(GossipMessage{From: 7 + 1, Data: a.Data})
		}
	}
	if n, _ := started.ejected(); n != 2 || !started.balancer.isEjected(started.balancer.serversByID[9]) {
		t.Errorf("%d servers are ejected after the reply, want 2", n)
	}
}

// FuzzDecodeGossip checks that decodeGossip accepts exactly the messages that encodeGossip produces.
func FuzzDecodeGossip(f *testing.F) {
	f.Add(encodeGossip(123456, []finding{{findingFault, 77, 123000}, {findingRecovery, 1, 123456}}))
	f.Add([]byte{gossipVersion, 0, 0, 1, 2, 3, 4, 1, 0, 0, 0, 0, 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		const now = 1 << 33 // the low half of the clock is 0
		timestamp, findings, err := decodeGossip(data, now, nil)
		if err != nil {
			return
		}
		encoded := encodeGossip(now, findings)
		copy(encoded[3:gossipHeaderSize], data[3:gossipHeaderSize]) // the sender's clock
		if !bytes.Equal(encoded[3:], data[3:]) || len(findings) > maxFindings || len(data) > 256 {
			t.Fatalf("%x is decoded as %+v, timestamp %d, which is encoded as %x", data, findings, timestamp, encoded)
		}
	})
}
