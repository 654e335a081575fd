package sim

import (
	"errors"
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

var errNothingToSend = errors.New("the instance sends a request or to a server that it was not given")

// host is one server with the faults it suffers.
type host struct {
	e     *engine
	n     int
	plan  *lab.ServerPlan
	model *lab.Server
	id    balance.ServerID

	up       bool // its process runs
	life     int
	vanished bool // its machine says nothing
	frozen   bool
	refuses  bool
	listed   bool // discovery has it, ready
	boot     float64

	conns   int
	out     map[int64]*attempt // those that it holds
	waiting []*attempt         // that came while it was frozen
	wake    float64            // when it is next looked at; 0: not
}

func (h *host) entry(state balance.ServerState, boot float64) balance.Server {
	return balance.Server{
		ID: h.id, State: state, StartedAt: boot, RelativeCapacity: 1, Cell: h.plan.Pod, Zone: h.plan.Zone, Kind: h.plan.KindN,
	}
}

// arrive brings an attempt's request.
func (h *host) arrive(now float64, att *attempt) {
	e := h.e
	switch {
	case h.vanished || e.isCut(lab.End{Kind: lab.SidecarEnd, N: att.n.n}, lab.End{Kind: lab.ServerEnd, N: h.n}):
		return
	case h.frozen:
		h.waiting = append(h.waiting, att)
		return
	case !h.up || att.hostLife != h.life:
		h.back(now, att, balance.ConnectFailed)
		return
	}
	e.judge.Sent(now, att.sent, att.try.id, att.id, att.n.n, h.n)
	if !att.live { // given up while it was on its way
		e.judge.Over(now, att.try.id, att.id, "given up")
		return
	}
	att.arrived = true
	h.advance(now)
	c := &att.try.c.Arrival
	v, told := att.n.view[h.n]
	taken := false
	if h.conns <= h.plan.Kind.Connections {
		var fall *lab.Fall
		taken, fall = h.model.Offer(now, lab.Job{
			Attempt: att.id, Request: att.try.id, Class: c.Class, Key: c.Key, Effect: c.Effect, Work: c.Work,
			Expires: att.cut, Informed: told && v.boot == h.boot,
		})
		if fall != nil {
			e.judge.Fell(now, h.n, fall)
			h.die(now)
			h.unlist(now)
			h.back(now, att, balance.Reset)
			return
		}
	}
	if !taken {
		h.back(now, att, balance.Overloaded)
		return
	}
	h.out[att.id] = att
	h.look()
}

// work adds work that nobody waits for.
func (h *host) work(now, ms float64) {
	if !h.up || ms <= 0 {
		return
	}
	h.advance(now)
	if _, fall := h.model.Offer(now, lab.Job{Work: ms}); fall != nil {
		h.e.judge.Fell(now, h.n, fall)
		h.die(now)
		h.unlist(now)
	}
	h.look()
}

// look sets the time at which the server is looked at again.
func (h *host) look() {
	next := h.model.Next()
	if h.frozen || math.IsInf(next, 1) || h.wake != 0 && h.wake <= next {
		return
	}
	h.wake = next
	h.e.at(next, func(now float64) {
		if h.wake != next { // an earlier look has taken its place
			return
		}
		h.wake = 0
		if !h.frozen && h.up {
			h.advance(now)
			h.look()
		}
	})
}

func (h *host) advance(now float64) {
	if h.frozen {
		return
	}
	h.model.Advance(now, func(end lab.Ended) { h.ended(now, end) })
}

// ended: a job has ended; its answer, if it gets that far, goes back.
func (h *host) ended(now float64, end lab.Ended) {
	e := h.e
	if e.spread != nil {
		e.spread.judge.Ran(h.n, &end)
	}
	if end.How != lab.Expired {
		e.judge.Ran(end.At, end.Request, h.n, end.Effect)
	}
	att := h.out[end.Attempt]
	delete(h.out, end.Attempt)
	if att == nil || !att.live || h.model.Silent {
		return
	}
	switch {
	case end.How == lab.Expired:
		h.back(now, att, balance.Overloaded)
	case end.How == lab.Errored:
		h.back(now, att, balance.Failed)
	case h.model.Resets > 0 && e.rng.Float64() < h.model.Resets, h.model.Spoils > 0 && e.rng.Float64() < h.model.Spoils:
		h.back(now, att, balance.Reset) // of a spoilt answer the sidecar closes the connection
	default:
		e.judge.Made(now, end.Request, h.n)
		h.back(now, att, balance.OK)
	}
}

// back sends what becomes of an attempt to its sidecar.
func (h *host) back(now float64, att *attempt, result balance.Result) {
	way, passes := h.e.delay(att.n, h, false)
	if passes && !h.vanished {
		h.e.at(now+way, func(now float64) { att.end(now, result) })
	}
}

// drop: the sidecar has given an attempt up and closed its connection.
func (h *host) drop(now float64, att *attempt) {
	if h.out[att.id] != nil && h.up && !h.frozen && !h.vanished {
		h.advance(now)
		if h.model.Drop(now, att.id) {
			delete(h.out, att.id)
		}
		h.look()
	}
}

// die ends the process: what it held is reset.
func (h *host) die(now float64) {
	if !h.up {
		return
	}
	h.up = false
	h.lose(now, balance.Reset)
}

// lose ends all that came of the life of a process.
func (h *host) lose(now float64, result balance.Result) {
	h.life++
	h.conns = 0
	for _, id := range slices.Sorted(maps.Keys(h.out)) {
		h.back(now, h.out[id], result)
	}
	h.out = map[int64]*attempt{}
	for _, n := range h.e.nodes {
		delete(n.idle, h.n)
	}
}

// boots starts the process anew, cold, and lists it.
func (h *host) boots(now float64) {
	if h.model.Fallen() {
		return // it stays down
	}
	h.vanished, h.up, h.boot, h.listed = false, true, now, true
	h.model.Start(now, true)
	h.e.change(now, h, balance.Ready)
}

// unlist has discovery find out, late, that the server is gone.
func (h *host) unlist(now float64) {
	life := h.life
	silent := h.e.plan.File.Discovery.SilentMS
	h.e.at(now+silent.Least+(silent.Most-silent.Least)*h.e.rng.Float64(), func(now float64) {
		if h.listed && h.life == life && (!h.up || h.vanished) {
			h.listed = false
			h.e.change(now, h, balance.Removed)
		}
	})
}

// retire drains the server and ends it; again has it start anew.
func (h *host) retire(now float64, again bool) {
	if !h.up || !h.listed {
		return
	}
	h.listed = false
	h.e.change(now, h, balance.Draining)
	life := h.life
	h.e.at(now+h.e.plan.GoneAfter(), func(now float64) {
		if h.life != life || h.listed {
			return
		}
		h.die(now)
		if again {
			h.e.at(now+starts, func(now float64) { h.boots(now) })
		} else {
			h.e.change(now, h, balance.Removed)
		}
	})
}

// change tells all sidecars of a server, each after its own time.
func (e *engine) change(now float64, h *host, state balance.ServerState) {
	what := news{h, state, h.boot}
	for _, n := range e.nodes {
		n.lastTold = math.Max(n.lastTold, now+n.plan.Notice+e.late)
		e.at(n.lastTold, func(now float64) { n.hear(now, what) })
	}
}
