// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it
// is tried again, when it is refused. Its interface (Config, events, Action) is in api.go. The files that
// decide are named as policy in deploy/balancer.toml; events.go calls them, state.go is what they remember.
//
// The mechanism is AWRR (docs/design.md): each server has a multiplier m that falls with its consecutive
// errors and recovers with time; smooth weighted round robin over size × m picks the server; a failed
// repeatable request goes to the untried server of highest m.
package balance

import "math"

const (
	repeatPart = 0.2 // of first sends may be repeated where servers are crowded
	repeatMost = 20  // ... and so many at once: what a lost server held
	maxRepeats = 1   // re-routes of a request: more of them multiply the load when it is too high already
)

// step looks at a request afresh: it sends, answers or waits.
func (b *Balancer) step(r *request) {
	if r.done || r.stream {
		return
	}
	b.watch(r)
	if b.now >= r.deadline || r.live == 0 && b.hopeless(r) {
		b.answer(r)
		return
	}
	if r.live == 0 && !b.held(r) {
		if s := b.place(r, len(r.tries) > 0); s != nil {
			if len(r.tries) > 0 {
				b.repeats = math.Max(b.repeats-1, 0)
			} else {
				b.repeats = math.Min(b.repeats+repeatPart, repeatMost)
			}
			// Exception: while load is shed an unsafe request is given up at its aim. In full queues all that
			// is served is late; clients try the others again, and that is more load.
			b.send(r, s, r.class.Effect == Unsafe && b.steady > byChance)
		}
	}
	b.wake(r)
}

func (b *Balancer) hopeless(r *request) bool { // nothing more can be sent, or waiting is no use
	ran := 0
	for i := range r.tries {
		a := &r.tries[i]
		if a.clean {
			continue
		}
		ran++
		if r.class.Effect == Unsafe || r.class.Effect == Keyed && b.forgotten(r, a) {
			return true
		}
	}
	// What never ran uses up no re-route: after a crash two failed connects refused a request.
	spent := len(r.tries) >= b.cfg.MaxAttempts || ran > maxRepeats || len(r.tries) > 0 && !b.mayRepeat()
	return spent || b.now >= r.arrived+r.class.Aim && b.refusable(r)
}

// mayRepeat is the budget of repeats, a token bucket that first sends fill. It counts while servers turn
// requests away or load is shed: there a repeat takes a place from a first send, and what fails has no
// better server.
func (b *Balancer) mayRepeat() bool { return b.repeats >= 1 || !b.crowded() }

// crowded: load is shed, or servers turned requests away within the last aim.
func (b *Balancer) crowded() bool { return b.steady > byChance || b.now < b.fullAt+b.longestAim }

// answer ends a request unserved, at once. A client that may try again is told when.
func (b *Balancer) answer(r *request) {
	act := Action{Kind: Fail, Request: r.ID}
	if b.refusable(r) {
		act.Kind, act.At = Refuse, b.holdOff(r)
	}
	b.emit(act)
	b.close(r)
}

// holdOff is how long a client should stay away: as long as an answer takes at the least, as nothing has
// changed sooner, and what the shedding of now takes to leak away. It is jittered: those who were turned away
// together would come back together.
func (b *Balancer) holdOff(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	pause := r.stats.quick*r.class.Aim + math.Max(b.steady-byChance, 0)*shedLeak
	return math.Min(pause*(0.5+b.random()), b.cfg.MaxRetryAfter)
}

func (b *Balancer) refusable(r *request) bool { // the client may try again: it does no harm
	if r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll {
		return true
	}
	for i := range r.tries {
		if !r.tries[i].clean {
			return false
		}
	}
	return true
}

// close marks a request as answered and gives up what is still out for it.
func (b *Balancer) close(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 && b.reqs[r.ID] == r {
		delete(b.reqs, r.ID)
		b.spent = append(b.spent, r)
	}
}

func (b *Balancer) cancelOthers(r *request, keep int) {
	for i := range r.tries {
		if r.tries[i].live && i != keep && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}
