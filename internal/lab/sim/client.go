package sim

import (
	"milldeck/balance"
	"milldeck/internal/lab"
)

// client is one request with all its tries.
type client struct {
	e *engine
	lab.Arrival
	tries int
	done  bool
	now   *try // the one it waits for
}

// begin makes the next try.
func (c *client) begin(now float64) {
	if c.done {
		return
	}
	e, n := c.e, c.e.nodes[c.Sidecar]
	c.tries++
	timeout := e.plan.Timeout(&c.Arrival, now)
	switch {
	case e.isCut(lab.End{Kind: lab.ClientEnd, N: n.n}, lab.End{Kind: lab.SidecarEnd, N: n.n}):
		e.at(now+timeout, func(now float64) { c.ended(now, lab.NoAnswer, 0) })
		return
	case !n.up || n.closed:
		e.at(now+2*clientDelay, func(now float64) { c.ended(now, lab.Unreachable, 0) })
		return
	}
	e.lastID++
	t := &try{id: e.lastID, c: c, n: n, deadline: now + timeout}
	c.now = t
	n.tries[t.id] = t
	e.judge.Asked(now, t.id, n.n, c.Class, timeout)
	e.at(now+clientDelay, func(float64) {
		if t.over || n.tries[t.id] != t {
			return
		}
		r := balance.Request{
			ID: balance.RequestID(t.id), Class: c.Class, Tenant: -1, ExpectedWork: c.Hint, Key: c.Key, Timeout: timeout,
			ClientRetry: c.tries > 1, Write: e.plan.Classes[c.Class].Effect != balance.Idempotent,
		}
		if e.spread != nil {
			e.spread.asked(e.now, n, &r)
		}
		n.deliver(r)
	})
	e.at(t.deadline+e.plan.File.Rules.AnswerSlackMS+slackTicks*e.tick+2*clientDelay, func(now float64) {
		if t.gone {
			return
		}
		e.judge.Unanswered(now, t.id, lab.NoAnswer)
		t.hangUp()
		c.ended(now, lab.NoAnswer, 0)
	})
}

// ended: a try is over; the client tries again or has what it got.
func (c *client) ended(now float64, how lab.Answer, retryAfter float64) {
	if c.done {
		return
	}
	c.now = nil
	if at, again := c.e.plan.Retry(&c.Arrival, c.tries-1, how, now, retryAfter); again {
		c.e.at(at, c.begin)
		return
	}
	c.finish(now, how, false)
}

// leave: the client goes away before it has an answer.
func (c *client) leave(now float64) {
	if c.done {
		return
	}
	if c.now != nil {
		c.e.judge.Left(now, c.now.id)
		c.now.hangUp()
	}
	c.finish(now, lab.NoAnswer, true)
}

func (c *client) finish(now float64, how lab.Answer, left bool) {
	c.done = true
	c.e.open--
	if s := c.e.spread; s != nil {
		s.judge.Done(&c.Arrival, how, left, now)
	}
	c.e.measure.Done(&c.Arrival, c.tries, how, left, now)
}
