package lab

import (
	"math"
	"math/rand/v2"
	"sort"

	"milldeck/balance"
)

// Arrival is a client's request, drawn ahead of the run: arrivals do not wait for answers.
type Arrival struct {
	At      float64 // scheduled start; latency counts from here, whatever delayed the sending
	Sidecar int
	Class   int
	Key     uint64 // 0: none
	Work    float64
	Hint    float64
	Effect  uint64  // 0: none; the same for all tries
	GiveUp  float64 // how long one try waits
	Leaves  float64 // after so long the client goes away; 0: it stays
	Honours bool    // it heeds Retry-After
	Wait    float64 // before its first retry
}

// Arrivals draws the requests of a run in order of time.
type Arrivals struct {
	plan *Plan
	rng  *rand.Rand
	now  float64
	n    uint64
	most float64   // the highest rate of the run, requests a ms
	keys []float64 // cumulated shares
	cum  []float64 // cumulated weights of sidecars
	mix  float64   // shift for which cum holds
	zone int
}

// Arrivals begins the requests of the plan anew; each call gives the same ones.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: p.rng(streamArrivals), mix: -1, zone: -1}
	for i := range p.File.Phases {
		_, from, to, _, _ := p.phase(i)
		a.most = max(a.most, from, to)
	}
	sum := 0.0
	for i := range p.File.Clients.Keys {
		sum += math.Pow(float64(i+1), -p.File.Clients.KeySkew)
		a.keys = append(a.keys, sum)
	}
	return a
}

// phase gives a phase's start, its rates in requests a ms at start and end, and the shift of traffic to a zone
// that holds at its end.
func (p *Plan) phase(n int) (start, from, to float64, zone int, part float64) {
	rate := 0.0
	zone = -1
	for i := 0; ; i++ {
		ph := &p.File.Phases[i]
		if ph.Rate > 0 {
			rate = ph.Rate / 1000
		}
		from, to = rate, rate
		switch ph.Kind {
		case "ramp":
			to = ph.To / 1000
			rate = to
		case "burst":
			from, to = rate*ph.By, rate*ph.By
		case "shift":
			zone, part = p.File.zone(ph.Zone), ph.Part
		}
		if i == n {
			return start, from, to, zone, part
		}
		start += 1000 * ph.ForS
	}
}

// at is the rate at a time in requests a ms, and how much traffic has moved to which zone.
func (p *Plan) at(now float64) (rate float64, zone int, part float64) {
	n, start := p.phaseAt(now)
	end := p.Duration
	if n < len(p.File.Phases)-1 {
		end = start + 1000*p.File.Phases[n].ForS
	}
	done := min(1, (now-start)/max(end-start, 1e-9))
	_, from, to, zone, part := p.phase(n)
	if p.File.Phases[n].Kind == "shift" {
		part *= done // it moves evenly and stays where it is at the end
	}
	return from + (to-from)*done, zone, part
}

// Next is the next request, in order of time; false ends the load.
func (a *Arrivals) Next() (Arrival, bool) {
	for {
		a.now += a.rng.ExpFloat64() / a.most
		if a.now >= a.plan.Duration {
			return Arrival{}, false
		}
		rate, zone, part := a.plan.at(a.now)
		if a.rng.Float64()*a.most < rate { // thinning: a Poisson process of changing rate
			return a.draw(zone, part), true
		}
	}
}

func (a *Arrivals) draw(zone int, part float64) Arrival {
	f := a.plan.File
	a.n++
	u := a.rng.Float64() * a.plan.Classes[len(a.plan.Classes)-1].share
	class := sort.Search(len(a.plan.Classes)-1, func(i int) bool { return a.plan.Classes[i].share > u })
	c := &a.plan.Classes[class]
	out := Arrival{
		At: a.now, Class: class, Sidecar: a.sidecar(zone, part), Work: c.WorkMS.draw(a.rng),
		GiveUp: math.Round(f.Clients.GiveUp.draw(a.rng) * c.DeadlineMS), Wait: f.Clients.WaitMS.draw(a.rng),
		Honours: a.rng.Float64() < f.Clients.Honour,
	}
	out.Hint = out.Work * (1 + f.Clients.HintPart*(2*a.rng.Float64()-1))
	if a.rng.Float64() < f.Clients.Leave {
		out.Leaves = out.GiveUp * a.rng.Float64()
	}
	if c.Effect != balance.Idempotent {
		out.Effect = hash(a.plan.Seed, streamArrivals, a.n) | 1
	}
	if len(a.keys) > 0 {
		u := a.rng.Float64() * a.keys[len(a.keys)-1]
		out.Key = hash(streamArrivals, uint64(sort.SearchFloat64s(a.keys, u))) | 1
	}
	if part, key := a.plan.hot(a.now); part > 0 && chance(a.plan.Seed, streamArrivals, a.n, key) < part {
		out.Key = key
	}
	return out
}

// sidecar draws whose request it is, by the weights and the part of the traffic that has moved to a zone.
func (a *Arrivals) sidecar(zone int, part float64) int {
	const steps = 100 // a shift moves in so many steps, so that the weights are seldom summed anew
	if mix := math.Round(part * steps); a.cum == nil || mix != a.mix || zone != a.zone {
		a.mix, a.zone = mix, zone
		inside := 0.0
		for i := range a.plan.Sidecars {
			if s := &a.plan.Sidecars[i]; s.Zone == zone {
				inside += s.Weight
			}
		}
		moved := mix / steps * btof(inside > 0)
		sum := 0.0
		a.cum = a.cum[:0]
		for i := range a.plan.Sidecars {
			s := &a.plan.Sidecars[i]
			w := s.Weight * (1 - moved)
			if s.Zone == zone && inside > 0 {
				w = s.Weight * (1 + moved*(1-inside)/inside)
			}
			sum += w
			a.cum = append(a.cum, sum)
		}
	}
	u := a.rng.Float64() * a.cum[len(a.cum)-1]
	return min(sort.SearchFloat64s(a.cum, u), len(a.cum)-1)
}

// Answer is how one try ended for its client.
type Answer uint8

// The answers.
const (
	Got         Answer = iota // a whole answer of a server to this request
	Refusal                   // 429 or 503: a retry does no harm
	Failure                   // any other
	NoAnswer                  // the client gave the try up
	Unreachable               // the sidecar took nothing, or its process died
)

// Retry says when a client tries again after a try, counted from 0, that ended now; false: it does not.
// retryAfter is what the sidecar asked for, in ms.
func (p *Plan) Retry(a *Arrival, try int, ended Answer, now, retryAfter float64) (float64, bool) {
	c := &p.Classes[a.Class]
	if ended == Got || try >= p.File.Clients.Retries {
		return 0, false
	}
	harmless := ended == Refusal || ended == Unreachable || c.Effect == balance.Idempotent ||
		c.Effect == balance.IdempotentWithKey && c.Group == balance.ScopeAll && now < a.At+c.WindowMS
	wait := a.Wait * float64(int(1)<<min(try, 10))
	if a.Honours {
		wait = max(wait, min(retryAfter, p.File.Limits.MaxRetryAfterMS))
	}
	at := now + wait
	if !harmless || at >= a.At+c.DeadlineMS || a.Leaves > 0 && at >= a.At+a.Leaves {
		return 0, false
	}
	return at, true
}

// Timeout is how long a try that begins now waits.
func (p *Plan) Timeout(a *Arrival, now float64) float64 {
	return math.Max(1, math.Floor(min(a.GiveUp, a.At+p.Classes[a.Class].DeadlineMS-now)))
}
