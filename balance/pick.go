package balance

import "math"

// This file decides which server a request goes to.

const (
	headroom   = 0.4  // a server above this multiple of its share of the requests in flight is passed over
	owing      = 4    // turns that a server is behind at the most, after more of them than its share
	turnTime   = 1000 // ms in which each server of the rotation should get a request: else it is not known
	fewest     = 4    // servers in the rotation of the least sidecar
	zoneFavour = 200  // weight added to a server of the own zone, times the price of crossing zones
)

// pick is the ordinary path: smooth weighted round robin over the servers of the request's key, or over all
// where keys do not matter. A repeat goes to the healthiest untried server.
func (b *Balancer) pick(r *request, repeat bool) *server {
	total, keyed := 0.0, !repeat && b.cfg.WarmKeys && r.Key != 0
	if b.cfg.WarmKeys {
		total = b.settle()
	}
	if len(b.hidden.servers) > 0 {
		total = b.without(total)
	}
	if b.allRest = false; keyed && b.rot.n > b.hidden.in {
		b.survey(total)
	} else if total = b.enter(r, false); total == 0 { // all rest: the cause is hardly theirs
		if len(b.hidden.servers) > 0 {
			return nil
		}
		b.allRest = true
		total = b.enter(r, true)
	}
	if !repeat {
		b.pool = total + b.hidden.weight
		b.pools.add(b.now, paceAims*b.longestAim, b.pool)
		b.turn++
		for _, s := range b.hidden.servers { // they get none
			s.turn++
		}
	}
	b.creditTurns(keyed, repeat)
	from := b.entered
	if keyed {
		b.room = keyHeadroom
		if from = b.carrier(r.Key); from == nil {
			from = b.shard(r.Key)
		}
	}
	var best *server
	bestOver := false
	for _, s := range from {
		if !b.mayTake(s) {
			continue
		}
		over := b.over(s)
		if best == nil || bestOver && !over || over == bestOver && b.before(s, best, repeat, over) {
			best, bestOver = s, over
		}
	}
	if best != nil {
		if keyed {
			b.credit(best)
		}
		b.trial(best)
		best.running = math.Max(best.running-total, -owing*total)
	}
	return best
}

func (b *Balancer) mayTake(s *server) bool { return !b.cold(s) || b.coldBudget(s) }

// over is bounded load: a server that holds more than its share is slow, hung or filled by others, whatever
// its errors say. It is passed over and keeps its running value for later.
func (b *Balancer) over(s *server) bool {
	most := b.room * b.carried * s.weight / b.shares
	return !s.known || b.holds(s)+1 > math.Ceil(most-1e-9) // 1e-9: no more for a rounding error
}

// reach is how many servers the rotation goes over, the first in the sidecar's own order: as many as it
// visits often. With all in, a thousand sidecars filled all connection tables and knew no server. Where keys
// stay warm all are in: sidecars with rotations of their own would warm a key at many servers.
func (b *Balancer) reach() int {
	if b.cfg.WarmKeys {
		return len(b.servers)
	}
	return max(fewest, int(turnTime*b.demand()))
}

func (b *Balancer) demand() float64 { return b.asked.rate(b.now, b.started-turnTime, 2*turnTime, 0) }

// enter lists the servers of this pick, their weights and what they hold, and returns the sum of the weights.
func (b *Balancer) enter(r *request, all bool) float64 {
	total, fresh, room := 0.0, false, b.reach()
	// Exception: answers from elsewhere cost a price. The order, or weight where all are in, favours the own.
	more := 1 + (b.nearby()-1)*math.Min(1, float64(room)/float64(len(b.servers)))
	b.entered = b.entered[:0]
	for _, s := range b.servers {
		if room == 0 || !b.allowed(r, s) || !all && b.resting(s) {
			continue
		}
		room--
		if b.cfg.WarmKeys && s.in {
			s.weight = b.weightNow(s)
		} else if s.weight = b.weight(s); b.near(s) {
			s.weight *= more
		}
		total += s.weight
		s.known = b.fresh(s)
		fresh = fresh || s.known
		b.entered = append(b.entered, s)
	}
	b.carried, b.shares, b.room = 1, 0, headroom
	for _, s := range b.entered {
		s.known = s.known || !fresh // without any report, the own requests in flight are all there is
		if s.known {
			b.carried += b.holds(s)
			b.shares += s.weight
		}
	}
	return total
}

// nearby favours the own zone, by what it costs to cross zones.
func (b *Balancer) nearby() float64 { return 1 + zoneFavour*b.cfg.Prices.CrossZone }

// before: where all hold more than their share, who holds least for its weight goes first.
func (b *Balancer) before(s, best *server, repeat, over bool) bool {
	if over && !repeat {
		return (b.holds(s)+1)*best.weight < (b.holds(best)+1)*s.weight
	}
	ms, mb := b.health(s), b.health(best)
	ahead := s.running > best.running+1e-9*b.pool // no rounding error decides
	return repeat && ms > mb || (!repeat || ms == mb) && ahead
}

// allowed: the rules let the request go there now; one that may have run, only where its key is known.
func (b *Balancer) allowed(r *request, s *server) bool {
	if s.State != Ready || s.off {
		return false
	}
	for i := range r.tries {
		a := &r.tries[i]
		if a.s == s {
			return false
		}
		if a.clean || r.class.Effect != Keyed {
			continue
		}
		if b.forgotten(r, a) || r.class.Group == GroupCell && a.s.Cell != s.Cell ||
			r.class.Group == GroupZone && a.s.Zone != s.Zone {
			return false
		}
	}
	return true
}

// forgotten: a repeat might come to a server that no longer knows the key; it may have to connect first.
func (b *Balancer) forgotten(r *request, a *attempt) bool {
	return b.now+b.cfg.ConnectTimeout >= a.sent+r.class.Window
}

// rank is weighted rendezvous hashing: a server that comes or goes moves no other, nor does a restart.
func (b *Balancer) rank(s *server) float64 {
	u := -math.Log(float64(mix(mix(uint64(b.cfg.Number)+1)^uint64(s.ID))>>11+1) / (1 << 53))
	if b.near(s) && !b.cfg.WarmKeys { // there the weights of the pick favour the own zone
		u /= b.nearby()
	}
	return u
}
