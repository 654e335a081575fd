package sim

import (
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// node is one sidecar: an instance, and the sockets and list around it as the real one has them.
type node struct {
	e    *engine
	n    int
	plan *lab.SidecarPlan

	inst   Instance
	life   int
	up     bool
	closed bool // it takes no new request: it is about to end
	frozen bool
	thaw   []func(now float64) // what its sockets would do by themselves but for the freeze

	inbox []balance.Event
	acts  []balance.Action
	busy  bool // among the active of this tick
	err   error

	view       map[int]seen // servers as it was last told
	pending    []news       // not told yet: discovery is out of reach
	lastTold   float64
	subscribed bool

	tries map[uint64]*try
	idle  map[int][]float64 // connections to servers, by when each was put back
}

// seen is what a sidecar was told of a server.
type seen struct {
	state balance.ServerState
	boot  float64
}

// news is one change of the list.
type news struct {
	h     *host
	state balance.ServerState
	boot  float64
}

// try is a client's request at its sidecar.
type try struct {
	id       uint64
	c        *client
	n        *node
	deadline float64
	over     bool // it has its final answer, or its client is gone
	gone     bool // its client no longer listens
	atts     []*attempt
	live     int
}

// attempt is one send of a try.
type attempt struct {
	id        int64
	try       *try
	no        int
	n         *node
	life      int
	h         *host
	hostLife  int
	sent, cut float64
	live      bool
	connected bool
	arrived   bool
}

// start begins a life of the sidecar; it knows the list as the one before last had it.
func (n *node) start(now float64) {
	cfg, err := n.e.plan.Config(n.n, n.life)
	if err == nil {
		n.inst, err = n.e.opts.New(n.n, cfg)
	}
	if err != nil {
		n.err = err
		n.activate()
		return
	}
	n.up, n.closed, n.frozen = true, false, false
	if n.e.spread != nil {
		n.e.spread.started(n)
	}
	n.keep(n.inst.Start(now))
	n.deliver(n.list(balance.UpdateCached))
	n.activate()
	for _, s := range slices.Sorted(maps.Keys(n.view)) {
		if n.view[s].state != balance.Ready {
			n.e.judge.Told(now, n.n, s, false)
		}
	}
}

// list is all that it was told.
func (n *node) list(kind balance.UpdateKind) balance.EndpointUpdate {
	out := balance.EndpointUpdate{Kind: kind}
	for _, s := range slices.Sorted(maps.Keys(n.view)) {
		if v := n.view[s]; v.state != balance.Removed {
			out.Servers = append(out.Servers, n.e.hosts[s].entry(v.state, v.boot))
		}
	}
	return out
}

// deliver hands the instance an event at the end of this tick.
func (n *node) deliver(ev balance.Event) {
	if n.up {
		n.inbox = append(n.inbox, ev)
		n.activate()
	}
}

func (n *node) activate() {
	if !n.busy && !n.frozen {
		n.busy = true
		n.e.active = append(n.e.active, n)
	}
}

// handle lets the instance handle what came. Many nodes do so at a time.
func (n *node) handle(now float64) {
	for i, ev := range n.inbox {
		if r, is := ev.(balance.Request); is {
			if t := n.tries[uint64(r.ID)]; t != nil {
				r.Timeout = t.deadline - now
				ev = r
			}
		}
		acts, err := n.inst.Handle(now, ev)
		if err != nil && n.err == nil {
			n.err = err
		}
		n.keep(acts)
		n.inbox[i] = nil
	}
	n.inbox = n.inbox[:0]
}

func (n *node) keep(acts []balance.Action) {
	for _, a := range acts {
		a.Data = slices.Clone(a.Data)
		n.acts = append(n.acts, a)
	}
}

// act carries out one action.
func (n *node) act(a *balance.Action) {
	e := n.e
	switch a.Kind {
	case balance.Send:
		n.send(a)
	case balance.Reject, balance.Fail:
		what := lab.Failure
		if a.Kind == balance.Reject {
			what = lab.Refusal
		}
		if t := n.tries[uint64(a.Request)]; t != nil && !t.over {
			t.over = true
			t.answer(e.now, what, a.RetryAfter, -1)
			t.close()
		}
	case balance.Cancel:
		if t := n.tries[uint64(a.Request)]; t != nil && a.Attempt < len(t.atts) {
			t.atts[a.Attempt].end(e.now, balance.Cancelled)
		}
	case balance.SetTimer:
		token, life := a.Token, n.life
		e.at(e.now+math.Max(a.Delay, 0), func(float64) {
			if n.life == life {
				n.deliver(balance.TimerFired{Token: token})
			}
		})
	case balance.HealthCheck:
		n.probe(e.byID[a.Server])
	case balance.SendGossip:
		n.post(a.Peer, a.Data)
	case balance.WatchEndpoints, balance.FetchEndpoints:
		n.ask(a.Kind == balance.WatchEndpoints)
	}
}

func (n *node) send(a *balance.Action) {
	e := n.e
	t, h := n.tries[uint64(a.Request)], e.byID[a.Server]
	if t == nil || h == nil {
		n.err = errNothingToSend
		n.activate()
		return
	}
	e.lastAtt++
	att := &attempt{
		id: e.lastAtt, try: t, no: len(t.atts), n: n, life: n.life, h: h, hostLife: h.life, sent: e.now, cut: t.deadline, live: true,
	}
	if a.Deadline > 0 {
		att.cut = math.Min(att.cut, a.Deadline)
	}
	t.atts = append(t.atts, att)
	t.live++
	if t.over || len(t.atts) > e.plan.File.Limits.MaxAttempts || att.cut <= e.now {
		e.at(e.now, func(now float64) { att.end(now, balance.Obsolete) })
		return
	}
	e.at(att.cut, func(now float64) {
		if att.connected {
			att.end(now, balance.TimedOut)
		} else {
			att.end(now, balance.Obsolete)
		}
	})
	way, passes := e.delay(n, h, true)
	if n.takeIdle(h) {
		att.connected = true
		if passes {
			e.at(e.now+way, func(now float64) { h.arrive(now, att) })
		}
		return
	}
	n.connect(att, way, passes)
}

// connect opens a connection for an attempt.
func (n *node) connect(att *attempt, way float64, passes bool) {
	e, h := n.e, att.h
	back, returns := e.delay(n, h, false)
	if !passes || !returns || h.vanished || h.frozen {
		e.at(e.now+e.plan.File.Limits.ConnectMS, func(now float64) { att.end(now, balance.ConnectFailed) })
		return
	}
	e.at(e.now+way, func(now float64) {
		if !h.up || h.refuses {
			e.at(now+back, func(now float64) { att.end(now, balance.ConnectFailed) })
			return
		}
		if !att.live {
			return
		}
		att.connected, att.hostLife = true, h.life
		h.conns++
		e.measure.Count(func(c *lab.Counts) { c.Handshakes++ })
		h.work(now, h.plan.Kind.HandshakeMS)
		e.at(now+back+way+(handshakeTrips-1)*(back+way), func(now float64) { h.arrive(now, att) })
	})
}

// takeIdle finds a connection to use again.
func (n *node) takeIdle(h *host) bool {
	kept := n.idle[h.n]
	if len(kept) == 0 {
		return false
	}
	n.idle[h.n] = kept[:len(kept)-1]
	return true
}

// putIdle keeps a connection until it has been idle for too long.
func (n *node) putIdle(h *host, now float64) {
	n.idle[h.n] = append(n.idle[h.n], now)
	life, hostLife := n.life, h.life
	n.e.at(now+idlePart*h.plan.Kind.IdleCloseMS, func(float64) {
		if n.life != life || h.life != hostLife {
			return
		}
		if i := slices.Index(n.idle[h.n], now); i >= 0 {
			n.idle[h.n] = slices.Delete(n.idle[h.n], i, i+1)
			h.conns--
		}
	})
}

// end gives an attempt its one outcome.
func (att *attempt) end(now float64, result balance.Result) {
	n, e, h := att.n, att.n.e, att.h
	if !att.live {
		return
	}
	if n.frozen && att.life == n.life {
		n.thaw = append(n.thaw, func(now float64) { att.end(now, result) })
		return
	}
	att.live = false
	e.judge.Over(now, att.try.id, att.id, resultNames[result])
	e.measure.Attempt(now, n.n, h.n, att.no > 0, resultNames[result])
	same := att.connected && att.hostLife == h.life
	switch {
	case same && (result == balance.OK || result == balance.Failed || result == balance.Overloaded):
		n.putIdle(h, now)
	case same:
		h.conns--
		e.at(now+h.plan.Delay[n.plan.Zone], func(now float64) { h.drop(now, att) })
	}
	t := att.try
	t.live--
	if n.life != att.life || !n.up {
		return
	}
	if result == balance.OK && !t.over {
		t.over = true
		t.answer(now, lab.Got, 0, h.n)
	}
	n.deliver(balance.Outcome{
		Request: balance.RequestID(t.id), Attempt: att.no, Server: h.id, Result: result, Elapsed: now - att.sent, RequestDone: t.over,
	})
	t.close()
}

var resultNames = map[balance.Result]string{
	balance.OK: "served", balance.Failed: "error", balance.Overloaded: "full", balance.TimedOut: "timed out",
	balance.ConnectFailed: "no connection", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.Obsolete: "moot",
}

// close forgets a try that is over and has nothing out, once the instance has handled all that it was told of it:
// until then it may still send, and is owed the outcome that this is moot.
func (t *try) close() {
	n := t.n
	switch {
	case !t.over || t.live > 0 || n.tries[t.id] != t:
	case n.frozen:
		n.thaw = append(n.thaw, func(float64) { t.close() })
	case len(n.inbox) > 0:
		n.e.at(n.e.now+n.e.tick, func(float64) { t.close() })
	default:
		delete(n.tries, t.id)
	}
}

// answer brings the client its final answer.
func (t *try) answer(now float64, what lab.Answer, retryAfter float64, server int) {
	e := t.n.e
	e.at(now+clientDelay, func(now float64) {
		if e.isCut(lab.End{Kind: lab.SidecarEnd, N: t.n.n}, lab.End{Kind: lab.ClientEnd, N: t.n.n}) || t.gone {
			return
		}
		t.gone = true
		e.judge.Answered(now, t.id, what, t.id, server)
		t.c.ended(now, what, retryAfter)
	})
}

// hangUp: the client no longer listens.
func (t *try) hangUp() {
	t.gone = true
	if t.over {
		return
	}
	t.over = true
	t.n.deliver(balance.ClientDisconnected{Request: balance.RequestID(t.id)})
	t.close()
}

// kill ends the sidecar at once: clients find their connections closed, servers find theirs closed too.
func (n *node) kill(now float64) {
	if !n.up {
		return
	}
	e := n.e
	n.up, n.frozen = false, false
	n.life++
	n.inbox, n.acts, n.thaw, n.subscribed = nil, nil, nil, false
	e.judge.Excuse(n.n, now, now+2*clientDelay)
	e.judge.Forget(n.n)
	for _, id := range slices.Sorted(maps.Keys(n.tries)) {
		t := n.tries[id]
		for _, att := range t.atts {
			if att.live {
				att.live = false
				e.judge.Over(now, id, att.id, "its sidecar ended")
				if att.connected && att.hostLife == att.h.life {
					att.h.conns--
				}
				e.at(now+att.h.plan.Delay[n.plan.Zone], func(now float64) { att.h.drop(now, att) })
			}
		}
		if t.gone {
			continue
		}
		t.gone, t.over = true, true
		e.at(now+clientDelay, func(now float64) {
			e.judge.Unanswered(now, t.id, lab.Unreachable)
			t.c.ended(now, lab.Unreachable, 0)
		})
	}
	n.tries = map[uint64]*try{}
	for s, kept := range n.idle {
		e.hosts[s].conns -= len(kept)
	}
	n.idle = map[int][]float64{}
}

// restart ends the sidecar as SIGTERM does and starts it again.
func (n *node) restart(now float64) {
	if !n.up {
		return
	}
	life := n.life
	n.e.at(now+takes, func(now float64) {
		if n.life == life {
			n.closed = true
			n.drained(now, now+drains-takes, life)
		}
	})
}

// drained ends it once all is answered or its time is up.
func (n *node) drained(now, until float64, life int) {
	if n.life != life {
		return
	}
	if len(n.tries) > 0 && now < until {
		n.e.at(now+10*n.e.tick, func(now float64) { n.drained(now, until, life) })
		return
	}
	n.kill(now)
	n.e.at(now+starts, func(now float64) { n.start(now) })
}

func (n *node) freeze(until float64) {
	if n.up && !n.frozen {
		n.frozen = true
		n.e.judge.Excuse(n.n, n.e.now, until+excuseAfter)
	}
}

func (n *node) unfreeze(now float64) {
	if !n.frozen {
		return
	}
	n.frozen = false
	n.activate()
	late := n.thaw
	n.thaw = nil
	for _, do := range late {
		do(now)
	}
}

// probe asks a server how it is.
func (n *node) probe(h *host) {
	if h == nil {
		return
	}
	e, sent, life := n.e, n.e.now, n.life
	e.measure.Count(func(c *lab.Counts) { c.Probes++ })
	result, after := balance.TimedOut, e.plan.File.Limits.ConnectMS
	way, passes := e.delay(n, h, true)
	back, returns := e.delay(n, h, false)
	if passes && returns && !h.vanished && !h.frozen {
		result, after = balance.ConnectFailed, way+back
		if h.up && !h.refuses {
			result = balance.OK
			e.at(sent+way, func(now float64) { h.work(now, probeWork) })
		}
	}
	e.at(sent+after, func(now float64) {
		if n.life == life {
			n.deliver(balance.HealthCheckResult{Server: h.id, Result: result, Elapsed: now - sent})
		}
	})
}

// post sends a message to one sidecar or, with -1, to all.
func (n *node) post(to int, data []byte) {
	e := n.e
	for _, other := range e.nodes {
		if other == n || to >= 0 && other.n != to {
			continue
		}
		more, passes := e.link(lab.End{Kind: lab.SidecarEnd, N: n.n}, lab.End{Kind: lab.SidecarEnd, N: other.n})
		if !passes {
			continue
		}
		after := more + lab.PeerLeastMS + (lab.PeerMostMS-lab.PeerLeastMS)*e.rng.Float64()
		e.at(e.now+after, func(float64) {
			if other.up {
				e.measure.Count(func(c *lab.Counts) { c.Messages++; c.MessageB += len(data) })
				other.deliver(balance.GossipMessage{From: n.n, Data: data})
			}
		})
	}
}

// ask calls discovery, for the list alone or for all that changes from now on.
func (n *node) ask(watch bool) {
	e, life := n.e, n.life
	e.at(e.now+discoveryTrip, func(now float64) {
		if n.life != life {
			return
		}
		if n.deaf() {
			e.at(now+e.plan.File.Limits.ConnectMS, func(float64) {
				if n.life == life {
					n.deliver(balance.EndpointUpdate{Kind: balance.UpdateFailed})
				}
			})
			return
		}
		n.subscribed = n.subscribed || watch
		n.catchUp(now)
		n.deliver(n.list(balance.UpdateFull))
	})
}

// deaf tells whether discovery cannot reach it.
func (n *node) deaf() bool {
	return n.e.down || n.e.isCut(lab.End{Kind: lab.DiscoveryEnd}, lab.End{Kind: lab.SidecarEnd, N: n.n})
}

// hear takes news that has come to its machine, in order.
func (n *node) hear(now float64, what news) {
	n.pending = append(n.pending, what)
	if n.e.plan.File.Discovery.Mode != "subscribe" || n.subscribed {
		n.catchUp(now)
	}
}

// catchUp tells the sidecar all that it has not been told yet.
func (n *node) catchUp(now float64) {
	if n.deaf() {
		return
	}
	for _, what := range n.pending {
		n.view[what.h.n] = seen{what.state, what.boot}
		if n.up {
			n.e.judge.Told(now, n.n, what.h.n, what.state == balance.Ready)
			n.deliver(balance.EndpointUpdate{Kind: balance.UpdateDelta, Servers: []balance.Server{what.h.entry(what.state, what.boot)}})
		}
	}
	n.pending = nil
}
