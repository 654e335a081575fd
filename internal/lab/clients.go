package lab

import (
	"math"
	"math/rand/v2"
	"sort"

	"milldeck/balance"
)

// Arrival is a client's request, drawn ahead of the run: arrivals do not wait for answers.
type Arrival struct {
	StartMS           float64 // scheduled start; latency counts from here, whatever delayed the sending
	Sidecar           int
	Class             int
	Key               uint64 // 0: none
	WorkMS            float64
	ExpectedWorkMS    float64
	EffectID          uint64  // 0: none; the same for all tries
	AttemptTimeoutMS  float64 // how long one try waits
	DisconnectAfterMS float64 // after so long the client goes away; 0: it stays
	HonoursRetryAfter bool    // it heeds Retry-After
	RetryBackoffMS    float64 // before its first retry
}

// Arrivals draws the requests of a run in order of time.
type Arrivals struct {
	plan                *Plan
	rng                 *rand.Rand
	now                 float64
	count               uint64
	peakRate            float64   // the highest rate of the run, requests a ms
	cumulativeKeyShares []float64 // cumulated shares
	cumulativeWeights   []float64 // cumulated weights of sidecars
	shiftedSteps        float64   // shift for which cum holds
	shiftZone           int
}

// Arrivals begins the requests of the plan anew; each call gives the same ones.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: p.rng(streamArrivals), shiftedSteps: -1, shiftZone: -1}
	for i := range p.Experiment.Phases {
		_, from, to, _, _ := p.phase(i)
		a.peakRate = max(a.peakRate, from, to)
	}
	sum := 0.0
	for i := range p.Experiment.Clients.Keys {
		sum += math.Pow(float64(i+1), -p.Experiment.Clients.KeySkew)
		a.cumulativeKeyShares = append(a.cumulativeKeyShares, sum)
	}
	return a
}

// phase gives a phase's start, its rates in requests a ms at start and end, and the shift of traffic to a zone
// that holds at its end.
func (p *Plan) phase(n int) (start, from, to float64, zone int, part float64) {
	rate := 0.0
	zone = -1
	for i := 0; ; i++ {
		ph := &p.Experiment.Phases[i]
		if ph.Rate > 0 {
			rate = ph.Rate / 1000
		}
		from, to = rate, rate
		switch ph.Kind {
		case "ramp":
			to = ph.EndRate / 1000
			rate = to
		case "burst":
			from, to = rate*ph.Factor, rate*ph.Factor
		case "shift":
			zone, part = p.Experiment.zoneIndex(ph.Zone), ph.Share
		}
		if i == n {
			return start, from, to, zone, part
		}
		start += 1000 * ph.DurationS
	}
}

// loadAt is the rate at a time in requests a ms, and how much traffic has moved to which zone.
func (p *Plan) loadAt(now float64) (rate float64, zone int, share float64) {
	phaseIndex, start := p.phaseAt(now)
	end := p.DurationMS
	if phaseIndex < len(p.Experiment.Phases)-1 {
		end = start + 1000*p.Experiment.Phases[phaseIndex].DurationS
	}
	done := min(1, (now-start)/max(end-start, 1e-9))
	_, startRate, endRate, zone, share := p.phase(phaseIndex)
	if p.Experiment.Phases[phaseIndex].Kind == "shift" {
		share *= done // it moves evenly and stays where it is at the end
	}
	return startRate + (endRate-startRate)*done, zone, share
}

// Next is the next request, in order of time; false ends the load.
func (a *Arrivals) Next() (Arrival, bool) {
	for {
		a.now += a.rng.ExpFloat64() / a.peakRate
		if a.now >= a.plan.DurationMS {
			return Arrival{}, false
		}
		rate, zone, shiftedShare := a.plan.loadAt(a.now)
		if a.rng.Float64()*a.peakRate < rate { // thinning: a Poisson process of changing rate
			return a.drawArrival(zone, shiftedShare), true
		}
	}
}

func (a *Arrivals) drawArrival(zone int, share float64) Arrival {
	experiment := a.plan.Experiment
	a.count++
	draw := a.rng.Float64() * a.plan.Classes[len(a.plan.Classes)-1].cumulativeShare
	class := sort.Search(len(a.plan.Classes)-1, func(i int) bool { return a.plan.Classes[i].cumulativeShare > draw })
	classPlan := &a.plan.Classes[class]
	arrival := Arrival{
		StartMS: a.now, Class: class, Sidecar: a.drawSidecar(zone, share), WorkMS: classPlan.WorkMS.draw(a.rng),
		AttemptTimeoutMS: math.Round(experiment.Clients.AttemptTimeoutShare.draw(a.rng) * classPlan.DeadlineMS), RetryBackoffMS: experiment.Clients.RetryBackoffMS.draw(a.rng),
		HonoursRetryAfter: a.rng.Float64() < experiment.Clients.HonourRetryAfterShare,
	}
	arrival.ExpectedWorkMS = arrival.WorkMS * (1 + experiment.Clients.WorkEstimateError*(2*a.rng.Float64()-1))
	if a.rng.Float64() < experiment.Clients.DisconnectShare {
		arrival.DisconnectAfterMS = arrival.AttemptTimeoutMS * a.rng.Float64()
	}
	if classPlan.Idempotency != balance.Idempotent {
		arrival.EffectID = mixHash(a.plan.Seed, streamArrivals, a.count) | 1
	}
	if len(a.cumulativeKeyShares) > 0 {
		draw := a.rng.Float64() * a.cumulativeKeyShares[len(a.cumulativeKeyShares)-1]
		arrival.Key = mixHash(streamArrivals, uint64(sort.SearchFloat64s(a.cumulativeKeyShares, draw))) | 1
	}
	if share, key := a.plan.hotKeyAt(a.now); share > 0 && hashFraction(a.plan.Seed, streamArrivals, a.count, key) < share {
		arrival.Key = key
	}
	return arrival
}

// drawSidecar draws whose request it is, by the weights and the part of the traffic that has moved to a zone.
func (a *Arrivals) drawSidecar(zone int, share float64) int {
	const steps = 100 // a shift moves in so many steps, so that the weights are seldom summed anew
	if shiftedSteps := math.Round(share * steps); a.cumulativeWeights == nil || shiftedSteps != a.shiftedSteps || zone != a.shiftZone {
		a.shiftedSteps, a.shiftZone = shiftedSteps, zone
		zoneShare := 0.0
		for i := range a.plan.Sidecars {
			if sidecar := &a.plan.Sidecars[i]; sidecar.Zone == zone {
				zoneShare += sidecar.TrafficShare
			}
		}
		movedShare := shiftedSteps / steps * boolToFloat(zoneShare > 0)
		sum := 0.0
		a.cumulativeWeights = a.cumulativeWeights[:0]
		for i := range a.plan.Sidecars {
			sidecar := &a.plan.Sidecars[i]
			weight := sidecar.TrafficShare * (1 - movedShare)
			if sidecar.Zone == zone && zoneShare > 0 {
				weight = sidecar.TrafficShare * (1 + movedShare*(1-zoneShare)/zoneShare)
			}
			sum += weight
			a.cumulativeWeights = append(a.cumulativeWeights, sum)
		}
	}
	draw := a.rng.Float64() * a.cumulativeWeights[len(a.cumulativeWeights)-1]
	return min(sort.SearchFloat64s(a.cumulativeWeights, draw), len(a.cumulativeWeights)-1)
}

// Outcome is how one try ended for its client.
type Outcome uint8

// The answers.
const (
	OutcomeServed      Outcome = iota // a whole answer of a server to this request
	OutcomeRejected                   // 429 or 503: a retry does no harm
	OutcomeFailed                     // any other
	OutcomeNoResponse                 // the client gave the try up
	OutcomeUnreachable                // the sidecar took nothing, or its process died
)

// NextRetry says when a client tries again after a try, counted from 0, that ended now; false: it does not.
// retryAfter is what the sidecar asked for, in ms.
func (p *Plan) NextRetry(arrival *Arrival, attempt int, outcome Outcome, now, retryAfter float64) (float64, bool) {
	class := &p.Classes[arrival.Class]
	if outcome == OutcomeServed || attempt >= p.Experiment.Clients.Retries {
		return 0, false
	}
	safe := outcome == OutcomeRejected || outcome == OutcomeUnreachable || class.Idempotency == balance.Idempotent ||
		class.Idempotency == balance.IdempotentWithKey && class.DeduplicationScope == balance.ScopeAll && now < arrival.StartMS+class.IdempotencyWindowMS
	backoff := arrival.RetryBackoffMS * float64(int(1)<<min(attempt, 10))
	if arrival.HonoursRetryAfter {
		backoff = max(backoff, min(retryAfter, p.Experiment.Limits.MaxRetryAfterMS))
	}
	at := now + backoff
	if !safe || at >= arrival.StartMS+class.DeadlineMS || arrival.DisconnectAfterMS > 0 && at >= arrival.StartMS+arrival.DisconnectAfterMS {
		return 0, false
	}
	return at, true
}

// AttemptTimeout is how long a try that begins now waits.
func (p *Plan) AttemptTimeout(arrival *Arrival, now float64) float64 {
	return math.Max(1, math.Floor(min(arrival.AttemptTimeoutMS, arrival.StartMS+p.Classes[arrival.Class].DeadlineMS-now)))
}
