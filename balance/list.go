package balance

import "math"

// This file decides what a change of the list means, and when it is asked for.

// askPause is the ms of pause before a list call for each sidecar that may call too; it doubles each time.
// What discovery has counts as told 6 s after it can be reached (PROTOCOL): askSoon ms leave room for a
// silent call and the answer. But where calls wait in turn, many that come so soon would never pass.
const askPause, askSoon = 50, 3000

func (b *Balancer) onList(ev ServerList) {
	switch ev.Kind {
	case ListFailed:
		b.asks++
		b.askLater(0.5, b.cfg.AskWithin, ev.Unqueued) // a quarter of what the settings allow
		return
	case ListFull, ListCached:
		b.markUnlisted(ev.Servers)
	}
	if ev.Kind != ListCached {
		b.asks = 0
	}
	for i := range ev.Servers {
		b.update(&ev.Servers[i])
	}
	b.dropGone()
	b.relist()
	if !b.tell.began && len(b.servers) > 0 {
		b.found(hintAsk, 0)
	}
}

// update takes in one entry. A restart clears what was held against it.
func (b *Balancer) update(entry *Server) {
	s := b.byID[entry.ID]
	switch {
	case s == nil && entry.State == Gone:
		return
	case s == nil:
		// A random start keeps sidecars that begin together from choosing in step.
		s = &server{running: 100 * b.random(), turn: b.turn, coldSince: math.Inf(-1), hintBy: -1}
		b.byID[entry.ID] = s
	case s.Server == *entry:
		return
	}
	if entry.StartedAt > s.StartedAt {
		s.pardon()
		s.running, s.turn = 0, b.turn
		b.chill(s, entry.StartedAt)
	}
	b.enlist(s, entry)
	b.mark(s)
}

// askLater calls discovery after a jittered pause, from least of it to all, longer after each failure and
// within a limit where there is one. The pauses leave it time for the calls of all sidecars: what they ask at
// once, after a mass restart or a break of its own, waits in turn until most is given up; soon: none does.
func (b *Balancer) askLater(least, most float64, soon bool) {
	all := askPause * float64(max(b.cfg.Peers, 1))
	pause := all * float64(int(1)<<min(b.asks, 4))
	if pause > askSoon && (soon || 2*all <= askSoon) { // few sidecars all pass in time
		pause, least = askSoon, 0 // spread over all the room there is
	}
	if most > 0 {
		pause = math.Min(pause, most)
	}
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: pause * (least + (1-least)*b.random())})
}
