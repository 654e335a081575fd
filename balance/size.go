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
	latePool  = 1.15 // the budget of a cold server is at most so much more than the weights of late give
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
// together stay under it. Answers count, not requests, which clients repeat, and few are assumed: with
// thirty, it broke the rule. Where many turn cold the weights of now fall sooner than the answers; those
// of late bound them. A token held for long is lost: what all gathered in a quiet time came in one burst.
func (b *Balancer) coldBudget(s *server) bool {
	pool := max(b.pool, math.Min(b.pools.mean, b.warmPool())/latePool, s.weight)
	fill := b.pace(1) * s.weight / pool * math.Max(1, b.cfg.FallMultiple/2)
	held := fill * b.cfg.FallTime / 2
	few, most := b.cfg.WarmKeys && held < 0.5, math.Max(1, held/2) // few: a fleet holds too much together
	if few {
		most = 1 + held
	}
	s.tokens = math.Min(s.tokens+fill*(b.now-s.tokensAt), most)
	if s.tokensAt = b.now; few && s.tokens == most {
		s.tokens--
	}
	return s.tokens >= 1
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
