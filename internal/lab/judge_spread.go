package lab

import (
	"fmt"
	"math"
)

// SpreadJudge decides whether copies of spread keys cost more than is allowed, from what servers ran and what the
// placement tells sidecars; it asks no decider. It also takes the figures of hot keys. It is not safe for concurrent
// use.
type SpreadJudge struct {
	j    *Judge
	plan *Plan
	hots []hotTime
	rate float64 // ms of extra cold work a ms that is allowed

	copies map[uint64]map[int]*carried // by key and server
	count  int                         // copies told now
	ready  [readyKept]int              // servers that were ready when they were counted last
	seen   int

	level, last float64 // ms of cold work beyond what the time has paid for
	over        bool    // it is past what is allowed

	cold, mostLevel float64
	mostCopies      float64 // part of those allowed
	told            int
	other           map[uint64]bool // keys that were spread and were not hot
	found           []float64       // by hot time: ms until a copy carried; below 0: none did
	hot, rest       struct{ asked, served float64 }
	choked          float64
	warm, keyed     float64 // requests by key that servers ran, and those for keys that were warm there
}

// carried is a server that the placement has made carry a key.
type carried struct {
	share float64
	until float64 // ms from which it counts no more; Inf: it is in the placement
}

const (
	readyKept = 4 // counts of ready servers, one a second: the list is told late
	// spreadGrace is how long in ms after its end sidecars may still follow an entry.
	spreadGrace = 1000
	// afterHot is how long in ms after its heat a key may still be spread without being counted as never hot.
	afterHot = 60_000
	// leastCopies and leastCold are allowed in the smallest fleet, cold work in multiples of a request's work a second.
	leastCopies = 4
	leastCold   = 30
)

// NewSpreadJudge makes the judge of a run's copies; what it finds is part of j's verdict. The plan's file names the
// spreader.
func NewSpreadJudge(p *Plan, j *Judge) *SpreadJudge {
	all := p.MeanBear() * float64(len(p.standing()))
	s := &SpreadJudge{
		j: j, plan: p, hots: p.hotTimes(), copies: map[uint64]map[int]*carried{}, other: map[uint64]bool{},
		rate: math.Max(p.File.Spread.Allowed.Cold*all, leastCold*p.MeanWork()) / 1000,
	}
	for range s.hots {
		s.found = append(s.found, -1)
	}
	s.Ready(len(p.standing()))
	return s
}

// Ready: so many servers are listed as ready. It is told once a second.
func (s *SpreadJudge) Ready(n int) {
	s.ready[s.seen%readyKept] = n
	s.seen++
}

// Placed: from now on the placement spreads a key over these servers, with the shares given; over none, it is gone.
func (s *SpreadJudge) Placed(now float64, key uint64, shares map[int]float64) {
	of := s.copies[key]
	if of == nil {
		of = map[int]*carried{}
		s.copies[key] = of
		s.told++
		if !s.wasHot(now, key) {
			s.other[key] = true
		}
	}
	for server, c := range of {
		if _, stays := shares[server]; !stays && math.IsInf(c.until, 1) {
			c.until = now + spreadGrace
			s.count--
		}
	}
	for server, share := range shares {
		if c := of[server]; c == nil || !math.IsInf(c.until, 1) {
			s.count++
		}
		of[server] = &carried{share, math.Inf(1)}
	}
}

// Written: all that was placed at once is told.
func (s *SpreadJudge) Written(now float64) {
	ready := 0
	for _, n := range s.ready {
		ready = max(ready, n)
	}
	most := math.Max(s.plan.File.Spread.Allowed.Copies*float64(ready), leastCopies)
	s.mostCopies = math.Max(s.mostCopies, float64(s.count)/most)
	if float64(s.count) > most {
		s.breaks(now, fmt.Sprintf("%d copies of keys are in the placement, at most %.0f may be", s.count, most))
	}
}

func (s *SpreadJudge) wasHot(now float64, key uint64) bool {
	for _, h := range s.hots {
		if h.key == key && now >= h.from && now <= h.to+afterHot {
			return true
		}
	}
	return false
}

// Ran: a server has ended a job.
func (s *SpreadJudge) Ran(server int, end *Ended) {
	if end.Effect && end.Key != 0 {
		s.keyed++
		s.warm += btof(end.Met)
	}
	c := s.copies[end.Key][server]
	if c == nil || end.At > c.until || end.How == Expired || !end.Effect {
		return
	}
	if end.Met {
		if c.share > 0 {
			s.carries(end.At, end.Key)
		}
		return
	}
	extra := end.Took * s.plan.Servers[server].Kind.WarmGain
	s.level = math.Max(s.level-s.rate*math.Max(end.At-s.last, 0), 0) + extra
	s.last = math.Max(s.last, end.At)
	s.cold += extra
	s.mostLevel = math.Max(s.mostLevel, s.level)
	past := s.level > 1000*s.rate
	if past && !s.over {
		s.breaks(end.At, fmt.Sprintf("%.0f ms of cold work of copies are not paid for, at most %.0f may be", s.level, 1000*s.rate))
	}
	s.over = past
}

// carries notes a warm answer of a copy that has a share.
func (s *SpreadJudge) carries(now float64, key uint64) {
	for i, h := range s.hots {
		if h.key == key && now >= h.from && now <= h.to && s.found[i] < 0 {
			s.found[i] = now - h.from
		}
	}
}

// Done: a request has ended, served in time or not.
func (s *SpreadJudge) Done(a *Arrival, ended Answer, left bool, at float64) {
	to := &s.rest
	if part, key := s.plan.hot(a.At); part > 0 && key == a.Key {
		to = &s.hot
	}
	c := &s.plan.Classes[a.Class]
	to.asked += c.Worth
	if !left && ended == Got && at-a.At <= c.AimMS {
		to.served += c.Worth
	}
}

// Choked: so many servers were choked for ms.
func (s *SpreadJudge) Choked(servers int, ms float64) { s.choked += float64(servers) * ms / 1000 }

func (s *SpreadJudge) breaks(now float64, what string) {
	s.j.mu.Lock()
	defer s.j.mu.Unlock()
	s.j.breaks(now, RuleSpread, nil, what)
}

// Figures are what was found, for the result.
func (s *SpreadJudge) Figures() map[string]float64 {
	found, most, sum := 0.0, 0.0, 0.0
	for _, ms := range s.found {
		if ms >= 0 {
			found++
			sum += ms
			most = math.Max(most, ms)
		}
	}
	return map[string]float64{
		"hot_keys":              float64(len(s.found)),
		"hot_found":             found,
		"hot_carried_mean_ms":   round(sum / math.Max(found, 1)),
		"hot_carried_most_ms":   round(most),
		"hot_worth_share":       share(s.hot.served, s.hot.asked),
		"rest_worth_share":      share(s.rest.served, s.rest.asked),
		"spread_keys":           float64(s.told),
		"spread_never_hot":      float64(len(s.other)),
		"spread_cold_ms":        round(s.cold),
		"spread_cold_of_budget": round(s.mostLevel / (1000 * s.rate)),
		"spread_copies_of_most": round(s.mostCopies),
		"warm_share":            share(s.warm, s.keyed),
		"choked_server_s":       round(s.choked),
	}
}
