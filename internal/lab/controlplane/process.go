package controlplane

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"milldeck/internal/leaderelection/leasetable"
)

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// ttlMS is the lease of a duty, and stopMS before its end a holder stops by itself.
const (
	ttlMS      = 3000
	marginMS   = 500
	restartMS  = 6000 // from a controller's death to its next life
	mostInHand = 512
)

// controller is what a process does while it holds its duty. Take has it begin anew under a token.
type controller interface {
	take(token uint64)
	step()
}

// process is one process of the program that is a candidate for a duty. Its controller writes and calls through it, so
// that it can be killed, frozen or cut off at any of these.
type process struct {
	w      *world
	name   string
	duty   string
	n      int // life
	c      controller
	token  uint64
	until  int64 // its own belief of the end of its lease
	dead   bool
	frozen int64 // until
	cut    int64 // until: it meets a replica that is left behind
	behind *state
	doom   *doom
	hand   []func() // what it had still to do when it was frozen
	writes int
}

// doom is what becomes of a process at its next steps.
type doom struct {
	after  int // effects from now
	freeze int64
	late   bool // killed after the effect, before its answer
}

func (w *world) process(name, duty string, c func(p *process) controller) *process {
	p := &process{w: w, name: name, duty: duty}
	p.c = c(p)
	w.procs = append(w.procs, p)
	return p
}

// holds tells whether the process believes that it holds its duty.
func (p *process) holds() bool { return p.token != 0 && p.w.now < p.until }

// reads is the state that it reads; nil: nobody answers.
func (p *process) reads() *state {
	switch {
	case p.cut > p.w.now:
		return p.behind
	case !p.w.plane.leads():
		return nil
	}
	return p.w.plane.state
}

func (p *process) step() {
	w := p.w
	if p.dead || p.frozen > w.now {
		return
	}
	for len(p.hand) > 0 && !p.dead { // it goes on where it was frozen, before it looks at any clock
		do := p.hand[0]
		p.hand = p.hand[1:]
		do()
	}
	if p.cut <= w.now {
		p.behind = nil
	}
	p.seek()
	if p.holds() && p.reads() != nil {
		p.c.step()
	}
}

// leases is the leader's part: a holder that has not shown for the length of its lease loses the duty.
func (l *plane) leases() {
	if !l.leads() {
		return
	}
	for _, duty := range sorted(l.renewed) {
		d, is := l.duties.Get(duty)
		if !is || d.Holder == "" || l.w.now-l.renewed[duty] < ttlMS {
			continue
		}
		l.rev++
		// An expiry is never rejected.
		_ = l.duties.Apply(l.rev, &leasetable.Operation{Kind: leasetable.Expire, Name: duty, Candidate: d.Holder, Token: d.Token})
		if l.w.opt.Bugs.LeaseFrees {
			l.w.free(duty)
		}
		l.renewed[duty] = l.w.now
	}
}

func (p *process) id() string { return fmt.Sprintf("%s.%d", p.name, p.n) }

// seek asks for the duty, and renews it.
func (p *process) seek() {
	l := p.w.plane
	if p.cut > p.w.now || !l.leads() {
		return
	}
	d, _ := l.duties.Get(p.duty)
	switch {
	case d.Holder == p.id():
		l.renewed[p.duty] = p.w.now
		p.until = p.w.now + ttlMS - marginMS
		if p.token != d.Token {
			p.token = d.Token
			p.c.take(p.token)
		}
	case !slices.Contains(d.Queue, p.id()):
		p.token = 0
		l.rev++
		// Rejected only where a limit is reached; it campaigns again at its next step.
		_ = l.duties.Apply(l.rev, &leasetable.Operation{Kind: leasetable.Campaign, Name: p.duty, Candidate: p.id(), TTLMS: ttlMS})
		l.renewed[p.duty] = p.w.now
	default:
		p.token = 0
	}
}

// kill ends the process; it is started again later, as another candidate.
func (p *process) kill() {
	if p.dead {
		return
	}
	p.dead, p.hand, p.token = true, nil, 0
	was := p.id()
	p.w.after(restartMS+p.w.rng.Int64N(4000), func() {
		l := p.w.plane
		// Its place in the queue, if it has one; an expiry is never rejected.
		_ = l.duties.Apply(l.rev, &leasetable.Operation{Kind: leasetable.Expire, Name: p.duty, Candidate: was})
		p.dead, p.n = false, p.n+1
	})
}

// act does one effect, unless the process meets its doom there. It tells whether the process goes on.
func (p *process) act(do func()) bool {
	if p.dead {
		return false
	}
	if p.frozen > p.w.now {
		if len(p.hand) < mostInHand {
			p.hand = append(p.hand, do)
		}
		return true
	}
	if d := p.doom; d != nil {
		if d.after--; d.after < 0 {
			p.doom = nil
			switch {
			case d.freeze > 0:
				p.frozen = p.w.now + d.freeze
				p.hand = append(p.hand, do)
				return true
			case d.late:
				do()
			}
			p.kill()
			return false
		}
	}
	do()
	return !p.dead
}

// write has a record written under the duty's token. It is tried again by its id once, as a client does; an answer may be
// missing all the same.
func (p *process) write(token uint64, do func() (string, string)) (a answer, known bool) {
	if p.cut > p.w.now {
		return answer{}, false // nobody there can write
	}
	p.writes++
	p.w.writes++
	id := fmt.Sprintf("%s/%d", p.id(), p.writes)
	if a, known = p.w.plane.write(id, p.duty, token, do); known {
		return a, true
	}
	return p.w.plane.write(id, p.duty, token, do)
}
