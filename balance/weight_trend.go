package balance

import "math"

// weightTrend is a weight, or a sum of weights, as a function of time. At elapsed milliseconds after updatedAt it is
//
//	level + slope·elapsed + (penalty + penaltySlope·elapsed)·2^(-elapsed/errorHalfLife)
//
// The slopes come from servers in slow start, the penalties from decaying errors. Penalties are negative.
type weightTrend struct{ level, slope, penalty, penaltySlope, updatedAt float64 }

func (t *weightTrend) advanceTo(now float64) {
	elapsed := now - t.updatedAt
	t.updatedAt = now
	t.level += t.slope * elapsed
	if t.penalty != 0 || t.penaltySlope != 0 {
		decay := math.Exp2(-elapsed / errorHalfLife)
		t.penalty, t.penaltySlope = (t.penalty+t.penaltySlope*elapsed)*decay, t.penaltySlope*decay
	}
}

// add adds sign × other. Both must have the same updatedAt.
func (t *weightTrend) add(other *weightTrend, sign float64) {
	t.level += sign * other.level
	t.slope += sign * other.slope
	t.penalty += sign * other.penalty
	t.penaltySlope += sign * other.penaltySlope
}

// constant reports whether the value does not change with time.
func (t *weightTrend) constant() bool { return t.slope == 0 && t.penalty == 0 && t.penaltySlope == 0 }

// weightGroup is the set of servers of one kind in one zone. They share a weight factor, which changes with each
// answer.
type weightGroup struct {
	kind, zone int
	factor     float64
	sum        weightTrend // of the members in the rotation, without the factor
}

func (b *Balancer) weightGroupFor(kind, zone int) *weightGroup {
	for _, g := range b.rotation.groups {
		if g.kind == kind && g.zone == zone {
			return g
		}
	}
	g := &weightGroup{kind: kind, zone: zone}
	b.rotation.groups = append(b.rotation.groups, g)
	return g
}

// trendOf returns the trend of a server's weight without the factor of its group, and the time until which it holds.
func (b *Balancer) trendOf(s *server) (weightTrend, float64) {
	slowStart, rise, until := b.slowStartFactor(s), 0.0, math.Inf(1)
	if b.now < s.slowStart.since {
		until = s.slowStart.since
	} else if b.inSlowStart(s) {
		rise = (1 - b.config.SlowStartMinCapacity) / b.config.SlowStartDuration
		until = s.slowStart.since + b.config.SlowStartDuration
	}
	health, penalty := b.health(s), 0.0
	if health <= minHealth {
		atMinHealth := errorHalfLife * math.Log2(float64(s.errors.consecutive)*errorPenalty/(1-minHealth))
		until = math.Min(until, s.errors.lastAt+atMinHealth)
	} else {
		health, penalty = 1, 1-health
	}
	capacity := baseWeight * s.RelativeCapacity * math.Exp(s.logCapacity)
	return weightTrend{
		level:        capacity * slowStart * health,
		slope:        capacity * rise * health,
		penalty:      -capacity * slowStart * penalty,
		penaltySlope: -capacity * rise * penalty,
		updatedAt:    b.now,
	}, until
}

// currentWeight returns the weight of a server in the rotation, including the preference of the own zone.
// refreshRotation must have been called at this time.
func (b *Balancer) currentWeight(s *server) float64 {
	if s.contribution.constant() {
		return max(s.contribution.level*s.weightGroup.factor, minWeight)
	}
	s.contribution.advanceTo(b.now)
	return max((s.contribution.level+s.contribution.penalty)*s.weightGroup.factor, minWeight)
}
