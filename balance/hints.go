package balance

import (
	"math"
	"slices"
)

// This file decides what sidecars tell each other. Each meets a server seldom, and finds out alone what
// others have found already. What a message says is a hint and never a fact: it puts the next trial of
// a server off that this sidecar has found bad itself and has no better news of, for a short time and
// for few servers. So what is choked becomes idle at last, though each of hundreds tries it seldom.

const (
	tellSpend  = 5e-4 // part of the result that what is told for each request may cost: it has to save more
	tellBurst  = 400  // bytes that may be told at once, receivers added up: a finding to all of the fan
	tellFan    = 8    // receivers of a message: each finding reaches all after few more have found it as well
	tellJitter = 25   // ms over which what is found together is gathered: a part of what a hint can save
	askFew     = 3    // sidecars that one asks at its start; one of them will know
	hintAims   = 4    // longest aims that a hint holds, so that what is choked can become idle
	hintMost   = 5000 // ms that it holds at the most: as far as ages are told
	hintPart   = 0.1  // of the servers rest by hints at the most, and no more than half of those of a zone
	heardOften = 3    // times that a finding was heard, after which it is not told again
	fewMeets   = 4    // times that a server is met while a hint holds, at which own trials tell as much
	mostWrong  = 2.5  // contradictions of late after which a sender is not listened to
)

func (b *Balancer) hintLife() float64 { return math.Min(hintAims*b.longestAim, hintMost) }

// mayTell: messages are allowed, there is somebody to hear them, and while a hint holds this sidecar meets a
// server so few times that others know more. Three that met each server often led each other into a jam.
func (b *Balancer) mayTell() bool {
	return b.cfg.Messages && b.cfg.Peers > 1 && b.demand()*b.hintLife() < fewMeets*float64(len(b.servers))
}

// earn lets each request pay for some bytes. So all messages together cost the same part of the result,
// whatever the size of the fleet.
func (b *Balancer) earn() {
	b.tell.bytes = math.Min(b.tell.bytes+tellSpend*256/math.Max(b.cfg.Prices.Peer, 0.01), tellBurst)
}

// found has something told soon, with what else is found until then; false: it is not told.
func (b *Balancer) found(kind hintKind, whom uint32) bool {
	t := &b.tell
	known := slices.ContainsFunc(t.toTell, func(h hint) bool { return h.kind == kind && h.whom == whom })
	if known || len(t.toTell) == mostHints || !b.mayTell() {
		return known
	}
	t.toTell = append(t.toTell, hint{kind, whom, b.now})
	if !t.waiting {
		t.waiting = true
		b.emit(Action{Kind: SetTimer, Token: tellTimer, At: tellJitter * b.random()})
	}
	return true
}

// foundBad tells of a server's rest, unless this was told or heard often of late.
func (b *Balancer) foundBad(s *server) {
	if b.now < s.toldUntil || s.heard >= heardOften && b.now < s.hintUntil {
		return
	}
	if b.found(hintBad, tag(s.ID)) {
		s.toldUntil = b.now + b.hintLife()
	}
}

// answersAgain takes back what was told of a server that answers in time.
func (b *Balancer) answersAgain(s *server) {
	s.answeredAt = b.now
	if s.toldUntil > 0 {
		s.toldUntil = 0
		b.found(hintBack, tag(s.ID))
	}
	if b.now >= s.hintUntil { // there is none, or it is over
		return
	}
	if by := b.tell.senders[s.hintBy]; by != nil {
		by.wrong = by.wrong*math.Exp2((by.wrongAt-b.now)/b.hintLife()) + 1
		by.wrongAt = b.now
	}
	b.unhint(s)
}

// tellNow posts what was found to a few others, as far as the budget goes. What is not told is dropped.
func (b *Balancer) tellNow() {
	t := &b.tell
	t.waiting = false
	fan := tellFan
	if !t.began {
		t.began = true
		fan = askFew
		t.bytes = math.Max(t.bytes, float64(askFew*(tellHeader+hintSize))) // the first is the question
	}
	if len(t.toTell) > 0 {
		data := appendMessage(nil, b.now, t.toTell)
		first := int(float64(b.cfg.Peers) * b.random()) // those that follow the first by a random stride
		stride := 1 + int(float64(b.cfg.Peers-1)*b.random())
		told := map[int]bool{b.cfg.Number: true}
		for i := 0; i < b.cfg.Peers && len(told) <= fan; i++ {
			if peer := (first + i*stride) % b.cfg.Peers; !told[peer] && b.post(peer, data) {
				told[peer] = true
			}
		}
	}
	t.toTell = t.toTell[:0]
}

// onMessage takes in what another sidecar tells. Old, repeated and garbled messages are dropped, and those
// of a sender whom own answers contradict.
func (b *Balancer) onMessage(ev *Message) {
	t := &b.tell
	if !b.mayTell() || ev.From < 0 || ev.From >= b.cfg.Peers || ev.From == b.cfg.Number {
		return
	}
	sent, hints, err := readMessage(ev.Data, b.now, t.read[:0])
	if err != nil {
		return
	}
	t.read = hints
	from := t.senders[ev.From]
	if from == nil {
		from = &sender{stamp: sent - 1}
		t.senders[ev.From] = from
	}
	if int32(sent-from.stamp) <= 0 {
		return
	}
	from.stamp = sent
	if from.wrong*math.Exp2((from.wrongAt-b.now)/b.hintLife()) > mostWrong {
		return
	}
	for _, h := range hints {
		b.hear(ev.From, h)
	}
}

func (b *Balancer) hear(from int, h hint) {
	s := b.tell.byTag[h.whom]
	switch {
	case h.kind == hintAsk:
		b.replyTo(from)
	case s == nil || h.at <= math.Max(s.answeredAt, s.hintAt) || b.now-h.at >= b.hintLife():
		// of none that is listed, or older than what is known
	case h.kind == hintBack:
		b.unhint(s)
	case b.now < s.hintUntil:
		s.heard++
		b.believe(s, h)
	case (s.errs > 0 || b.now < math.Max(s.restUntil, b.started+b.hintLife())) && b.mayHint(s):
		// Exception: one that has just started has met no trouble yet.
		s.heard, s.hintBy = 1, from
		b.believe(s, h)
	}
}

func (b *Balancer) believe(s *server, h hint) {
	s.hintAt = h.at
	s.hintUntil = math.Max(s.hintUntil, h.at+b.hintLife())
	b.mark(s)
}

// mayHint bounds what all hints together can do.
func (b *Balancer) mayHint(s *server) bool {
	hinted, inZone, ofZone := 1, 1, 0 // with this one
	for _, t := range b.servers {
		is := t != s && b.now < t.hintUntil
		if is {
			hinted++
		}
		if t.state == s.state && t.State == Ready {
			if ofZone++; is || t != s && b.resting(t) {
				inZone++
			}
		}
	}
	return float64(hinted) <= hintPart*float64(len(b.servers)) && 2*inZone <= ofZone
}

// replyTo tells one that has just started what holds here now.
func (b *Balancer) replyTo(peer int) {
	var hints []hint
	for _, s := range b.servers {
		if b.now < s.restUntil && b.now-s.lastErr < b.hintLife() && len(hints) < mostHints {
			hints = append(hints, hint{hintBad, tag(s.ID), s.lastErr})
		}
	}
	if len(hints) > 0 {
		b.post(peer, appendMessage(nil, b.now, hints))
	}
}
