package balance

import "math"

// This file decides how much each server is given: its weight, and what a cold one bears.

const (
	halfLife  = 5000 // ms; errors lose half their weight in this time: troubles last seconds, not minutes
	slope     = 0.2  // m lost for each consecutive error
	floorM    = 0.25 // m never falls below this, so that a recovered server is found again
	learnRate = 0.01 // step of a server's size for each answer; its kind and zone move with half of it
	maxSize   = 2.5  // bound of each learned logarithm of size
	utilPull  = 2    // ... for being less busy than the others, beside that for being quicker
	eager     = 24   // times faster that sizes are learned at first: restarted sidecars know none
)

// weight is size × m, lowered while the server warms up.
func (b *Balancer) weight(s *server) float64 {
	size := 100 * s.Rating * math.Exp(s.size+b.kinds[s.Kind]+b.zones[s.Zone])
	return math.Max(size*b.health(s)*b.warmth(s), 1e-6)
}

// factor is what the weights of all servers of a group have in common.
func (b *Balancer) factor(kind, zone int) float64 {
	f := math.Exp(b.kinds[kind] + b.zones[zone])
	if zone == b.cfg.Zone {
		f *= b.nearby()
	}
	return f
}

func (b *Balancer) health(s *server) float64 { // the multiplier m
	effective := float64(s.errs) * math.Exp(-math.Ln2*(b.now-s.lastErr)/halfLife)
	return bound(1-slope*effective, floorM, 1)
}

func (b *Balancer) cold(s *server) bool { return b.now < s.coldSince+b.cfg.ColdTime }

// warmth is the least fraction of its capacity that a cold server has.
func (b *Balancer) warmth(s *server) float64 {
	if !b.cold(s) {
		return 1
	}
	return b.cfg.ColdFrom + (1-b.cfg.ColdFrom)*math.Max(0, b.now-s.coldSince)/b.cfg.ColdTime
}

// coldBudget is a hard limit of sends to a cold server, re-routes included: half of the allowed multiple of
// what warm servers of its size answer of this sidecar's requests, lowered by its warmth, so that all of them
// together stay under it. Answers count, not requests, which clients repeat in overload, and few are assumed:
// with thirty, small sidecars broke the rule. They go by the weights that gave them: when most servers turned
// cold at once, these got too much. Without the multiple, warm servers jammed on the fleet bench.
// What all gather while it is quiet would come in one burst. So a token is lost after half of the window, or
// the mean time between two requests here if that is longer; for a key's own server, which few of these go
// to, after that between those. Of tokens so held a full fleet spends at most the other half of the budget.
func (b *Balancer) coldBudget(s *server, keyed bool) bool {
	part := math.Max(1, b.cfg.FallMultiple/2)
	fill := b.pace(1) * part * s.weight / max(b.pool, b.pools.mean, s.weight)
	good := fill * math.Max(b.cfg.FallTime/2, 1/b.demand())
	s.tokens += fill * (b.now - s.tokensAt)
	if most := 1 + math.Max(good, math.Min(part*b.warmth(s), 1)); s.tokens > most {
		s.tokens -= math.Ceil(s.tokens - most)
	}
	s.tokensAt = b.now
	return s.tokens >= 1 && (keyed || s.tokens <= 1+good)
}

// chill begins a server's warm-up with a random budget, so that the first sends of all do not meet.
func (b *Balancer) chill(s *server, since float64) {
	s.coldSince, s.tokens, s.tokensAt = since, b.random(), b.now
}

// learn moves sizes until answers take equally long everywhere. What all servers share is load, not size.
// Where servers tell how busy they are, that counts as well: while load is shed answers stay quick, and slow
// servers stood idle beside fast ones that were full.
func (b *Balancer) learn(s *server, took float64) {
	if b.cold(s) {
		return
	}
	step := math.Max(-2, 1-took)
	if s.util > 0 {
		step += utilPull * (b.util - s.util)
	}
	b.drift += (step - b.drift) / 200
	b.learned++
	step = learnRate * (1 + eager/(1+b.learned/recent)) * (step - b.drift)
	s.size = bound(s.size+step, -maxSize, maxSize)
	b.mark(s)
	b.kinds[s.Kind] = bound(b.kinds[s.Kind]+step/2, -maxSize, maxSize)
	b.zones[s.Zone] = bound(b.zones[s.Zone]+step/2, -maxSize, maxSize)
}
