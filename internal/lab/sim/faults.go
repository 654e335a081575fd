package sim

import (
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// scheduleRolls has servers come and go as the plan's rolls say.
func (e *engine) scheduleRolls() {
	for _, h := range e.hosts {
		if h.plan.Born > 0 {
			e.at(h.plan.Born, func(now float64) { h.boots(now) })
		}
		if h.plan.Ends > 0 {
			e.at(h.plan.Ends, func(now float64) { h.retire(now, false) })
		}
	}
}

// scheduleFault has a fault begin and end. A roll is in the servers' own times; that descriptors are used up
// is nothing to instances, which have no sockets.
func (e *engine) scheduleFault(f *lab.Fault) {
	e.at(f.At, func(now float64) { e.begin(now, f) })
	if f.End > 0 {
		e.at(f.End, func(now float64) { e.end(now, f) })
	}
}

func (e *engine) begin(now float64, f *lab.Fault) {
	for _, i := range f.Servers {
		h := e.hosts[i]
		switch f.Kind {
		case lab.Kill:
			h.die(now)
			h.unlist(now)
		case lab.ZoneLost:
			h.vanished = true
			h.unlist(now)
		case lab.Restart:
			h.retire(now, true)
		case lab.Freeze:
			h.frozen = true
		case lab.Refused:
			h.refuses = true
			h.lose(now, balance.Reset)
		case lab.DiscoveryBad:
			if h.listed {
				e.change(now, h, balance.Removed)
			}
		default:
			h.model.Suffer(f, true)
		}
	}
	for _, i := range f.Sidecars {
		n := e.nodes[i]
		switch f.Kind {
		case lab.Kill:
			n.kill(now)
		case lab.Restart:
			n.restart(now)
		case lab.Freeze:
			n.freeze(f.End)
		case lab.Reload:
			n.ask(n.subscribed) // it follows discovery to another address and gets the list anew
		}
	}
	switch f.Kind {
	case lab.Cut, lab.Delay, lab.Loss:
		e.links = append(e.links, f)
		if f.Kind == lab.Cut {
			e.excuse(f)
		}
	case lab.DiscoveryDown, lab.RegistryDown: // agents keep the last list
		e.down = true
		for _, n := range e.nodes {
			if n.subscribed {
				n.subscribed = false
				n.deliver(balance.EndpointUpdate{Kind: balance.UpdateFailed})
			}
		}
	case lab.DiscoveryLate:
		e.late += f.MS
	case lab.DeciderDown, lab.ReportsLost, lab.ReportsLie:
		e.spread.fault(now, f, true)
	}
}

// excuse: what a client that is cut off from its sidecar gets is not the sidecar's doing.
func (e *engine) excuse(f *lab.Fault) {
	for _, n := range e.nodes {
		client, sidecar := lab.End{Kind: lab.ClientEnd, N: n.n}, lab.End{Kind: lab.SidecarEnd, N: n.n}
		if f.Hits(client, sidecar) || f.Hits(sidecar, client) {
			e.judge.Excuse(n.n, f.At, f.End+excuseAfter)
		}
	}
}

func (e *engine) end(now float64, f *lab.Fault) {
	for _, i := range f.Servers {
		h := e.hosts[i]
		switch f.Kind {
		case lab.Kill:
			if !h.up {
				h.boots(now)
			}
		case lab.ZoneLost:
			if h.vanished {
				h.vanished = false
				h.lose(now, balance.Reset)
				if h.plan.Ends == 0 || now < h.plan.Ends {
					h.boots(now)
				}
			}
		case lab.Freeze:
			h.frozen = false
			came := h.waiting
			h.waiting = nil
			for _, att := range came {
				h.arrive(now, att)
			}
			h.advance(now)
			h.look()
		case lab.Refused:
			h.refuses = false
		case lab.DiscoveryBad:
			if h.listed {
				e.change(now, h, balance.Ready)
			}
		default:
			h.model.Suffer(f, false)
		}
	}
	for _, i := range f.Sidecars {
		n := e.nodes[i]
		switch {
		case f.Kind == lab.Kill && !n.up:
			n.start(now)
		case f.Kind == lab.Freeze:
			n.unfreeze(now)
		}
	}
	switch f.Kind {
	case lab.Cut, lab.Delay, lab.Loss:
		e.links = slices.DeleteFunc(e.links, func(g *lab.Fault) bool { return g == f })
	case lab.DiscoveryDown, lab.RegistryDown:
		e.down = false
	case lab.DiscoveryLate:
		e.late -= f.MS
	case lab.DeciderDown, lab.ReportsLost, lab.ReportsLie:
		e.spread.fault(now, f, false)
	}
	for _, n := range e.nodes {
		if e.plan.File.Discovery.Mode != "subscribe" || n.subscribed {
			n.catchUp(now)
		}
	}
}
