package lab

import (
	"math"
	"math/rand/v2"
	"sort"

	"milldeck/balance"
)

// Arrival is a request of a client, drawn from the seed. The load is open: arrivals do not wait for responses.
type Arrival struct {
	StartMS           float64 // scheduled start; latency is measured from here, even if the request is sent later
	Sidecar           int
	Class             int
	Key               uint64 // 0: none
	WorkMS            float64
	ExpectedWorkMS    float64 // work that the request announces
	EffectID          uint64  // identifies the request's effect, the same for all attempts; 0: no effect
	AttemptTimeoutMS  float64
	DisconnectAfterMS float64 // 0: the client does not disconnect early
	HonoursRetryAfter bool
	RetryBackoffMS    float64 // delay before the first retry
}

// Arrivals generates the requests of a run in order of time.
type Arrivals struct {
	plan                *Plan
	rng                 *rand.Rand
	now                 float64
	count               uint64
	peakRate            float64   // the highest rate of the run, requests a ms
	cumulativeKeyShares []float64 // cumulative shares of the requests by index of the key, not normalised

	// Cumulative traffic weights of the sidecars, and the zone and step of the shift that they were computed for.
	cumulativeWeights []float64
	shiftedSteps      float64
	shiftZone         int
}

// shiftSteps is the number of steps in which traffic shifts. The weights are computed once for each step.
const shiftSteps = 100

// Arrivals returns the requests of the plan from the beginning. Every call gives the same requests.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{plan: p, rng: p.rng(streamArrivals), shiftedSteps: -1, shiftZone: -1}
	for i := range p.Experiment.Phases {
		load := p.phaseLoad(i)
		a.peakRate = max(a.peakRate, load.startRate, load.endRate)
	}
	sum := 0.0
	for i := range p.Experiment.Clients.Keys {
		sum += math.Pow(float64(i+1), -p.Experiment.Clients.KeySkew)
		a.cumulativeKeyShares = append(a.cumulativeKeyShares, sum)
	}
	return a
}

// Next returns the next request, or false after the last one.
func (a *Arrivals) Next() (Arrival, bool) {
	for {
		a.now += a.rng.ExpFloat64() / a.peakRate
		if a.now >= a.plan.DurationMS {
			return Arrival{}, false
		}
		rate, zone, shiftedShare := a.plan.loadAt(a.now)
		if a.rng.Float64()*a.peakRate < rate { // thinning gives a Poisson process of varying rate
			return a.drawArrival(zone, shiftedShare), true
		}
	}
}

// drawArrival draws a request that arrives now. The order of the draws stays fixed, so that a seed always gives the same load.
func (a *Arrivals) drawArrival(zone int, shiftedShare float64) Arrival {
	clients := &a.plan.Experiment.Clients
	a.count++
	class := a.drawClass()
	plan := &a.plan.Classes[class]
	arrival := Arrival{StartMS: a.now, Class: class}
	arrival.Sidecar = a.drawSidecar(zone, shiftedShare)
	arrival.WorkMS = plan.WorkMS.draw(a.rng)
	arrival.AttemptTimeoutMS = math.Round(clients.AttemptTimeoutShare.draw(a.rng) * plan.DeadlineMS)
	arrival.RetryBackoffMS = clients.RetryBackoffMS.draw(a.rng)
	arrival.HonoursRetryAfter = a.rng.Float64() < clients.HonourRetryAfterShare
	arrival.ExpectedWorkMS = arrival.WorkMS * (1 + clients.WorkEstimateError*(2*a.rng.Float64()-1))
	if a.rng.Float64() < clients.DisconnectShare {
		arrival.DisconnectAfterMS = arrival.AttemptTimeoutMS * a.rng.Float64()
	}
	if plan.Idempotency != balance.Idempotent {
		arrival.EffectID = mixHash(a.plan.Seed, streamArrivals, a.count) | 1
	}
	arrival.Key = a.drawKey()
	return arrival
}

func (a *Arrivals) drawClass() int {
	classes := a.plan.Classes
	last := len(classes) - 1
	draw := a.rng.Float64() * classes[last].cumulativeShare
	return sort.Search(last, func(i int) bool { return classes[i].cumulativeShare > draw })
}

// drawKey draws the key of a request, 0 for none.
func (a *Arrivals) drawKey() uint64 {
	drawn := uint64(0)
	if last := len(a.cumulativeKeyShares) - 1; last >= 0 {
		draw := a.rng.Float64() * a.cumulativeKeyShares[last]
		drawn = a.plan.ClientKey(sort.SearchFloat64s(a.cumulativeKeyShares, draw))
	}
	share, hotKey := a.plan.hotKeyAt(a.now)
	if share > 0 && hashFraction(a.plan.Seed, streamArrivals, a.count, hotKey) < share {
		return hotKey
	}
	return drawn
}

// drawSidecar draws the sidecar of a request while a share of the other zones' traffic is shifted to a zone.
func (a *Arrivals) drawSidecar(zone int, shiftedShare float64) int {
	shiftedSteps := math.Round(shiftedShare * shiftSteps)
	if a.cumulativeWeights == nil || shiftedSteps != a.shiftedSteps || zone != a.shiftZone {
		a.shiftedSteps, a.shiftZone = shiftedSteps, zone
		a.computeWeights()
	}
	last := len(a.cumulativeWeights) - 1
	draw := a.rng.Float64() * a.cumulativeWeights[last]
	return min(sort.SearchFloat64s(a.cumulativeWeights, draw), last)
}

// computeWeights computes the cumulative weights of the sidecars for the current shift of traffic.
func (a *Arrivals) computeWeights() {
	zoneShare := 0.0
	for i := range a.plan.Sidecars {
		if sidecar := &a.plan.Sidecars[i]; sidecar.Zone == a.shiftZone {
			zoneShare += sidecar.TrafficShare
		}
	}
	shiftedShare := a.shiftedSteps / shiftSteps * boolToFloat(zoneShare > 0)
	sum := 0.0
	a.cumulativeWeights = a.cumulativeWeights[:0]
	for i := range a.plan.Sidecars {
		sidecar := &a.plan.Sidecars[i]
		weight := sidecar.TrafficShare * (1 - shiftedShare)
		if sidecar.Zone == a.shiftZone && zoneShare > 0 {
			weight = sidecar.TrafficShare * (1 + shiftedShare*(1-zoneShare)/zoneShare)
		}
		sum += weight
		a.cumulativeWeights = append(a.cumulativeWeights, sum)
	}
}
