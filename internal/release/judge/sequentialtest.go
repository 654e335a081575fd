package judge

import "math"

// mixturePrecision is the variance at which a test is sharpest, in units of requests × share × share: that of a few dozen
// requests at rates of some percent. Far from it a test needs somewhat more traffic and is as valid.
const mixturePrecision = 2.0

// eProcess is evidence against "the mean of what is added is at most 0, whatever was seen before", kept so that it may be
// looked at after every interval. For every λ, exp(λ·sum − λ²/2·variance) with variance = Σ(x² + 2E[x²])/3 is a
// nonnegative supermartingale from 1 on (Delyon 2009, for any square integrable martingale), so a mixture over λ > 0
// passes 1/α with a chance of at most α at any time ever (Ville). What an interval adds is bounded by its own square:
// at most 1.5 to the logarithm of the evidence, so that no single second convicts.
type eProcess struct{ sum, variance float64 }

// add takes an interval's x and its variance under the hypothesis.
func (p *eProcess) add(x, variance float64) {
	p.sum += x
	p.variance += (x*x + 2*variance) / 3
}

// logEvidence is the logarithm of the evidence: of the mixture over λ by a half-normal weight of variance 1/mixture.
func (p *eProcess) logEvidence() float64 {
	if p.sum <= 0 {
		return 0
	}
	totalVariance := p.variance + mixturePrecision
	below := 0.5 * math.Erfc(-p.sum/math.Sqrt(2*totalVariance))
	return math.Ln2 + 0.5*math.Log(mixturePrecision/totalVariance) + p.sum*p.sum/(2*totalVariance) + math.Log(below)
}

// comparison tests one share of the new against that of the old, both ways: harm says that the new's is higher by more
// than is tolerated, fit that it is not.
type comparison struct {
	tolerance                  float64
	regression, nonInferiority eProcess
	canaryHits                 int // of the new
	canaryTrials               int // of the new
	// The spread of the differences from interval to interval, in terms of what chance alone makes: troubles come in
	// bursts, so it is often more than 1, and is then counted into the variance.
	intervals, mean, squaredDeviations float64
}

// add takes an interval's counts: x of n at the new, y of m at the old. Where one has none there is nothing to compare.
func (c *comparison) add(canaryHits, canaryTrials, baselineHits, baselineTrials int) {
	if canaryTrials == 0 || baselineTrials == 0 {
		return
	}
	c.canaryHits += canaryHits
	c.canaryTrials += canaryTrials
	canary, baseline := float64(canaryTrials), float64(baselineTrials)
	weight := canary * baseline / (canary + baseline)
	difference := float64(canaryHits)/canary - float64(baselineHits)/baseline
	// Of the shares that the hypotheses allow the variance is at least that of what is tolerated.
	share := max(float64(canaryHits+baselineHits)/(canary+baseline), c.tolerance)
	share = min(share, 0.5)
	variance := weight * share * (1 - share)
	dispersedVariance := variance * c.dispersion()
	c.regression.add(weight*(difference-c.tolerance), dispersedVariance)
	c.nonInferiority.add(weight*(c.tolerance-difference), dispersedVariance)
	standardized := weight * difference / math.Sqrt(variance)
	c.intervals++
	deviation := standardized - c.mean
	c.mean += deviation / c.intervals
	c.squaredDeviations += deviation * (standardized - c.mean)
}

// dispersion is the spread of earlier intervals, at least 1, so that what is expected of an interval does not depend on it.
func (c *comparison) dispersion() float64 {
	if c.intervals < 2 {
		return 1
	}
	return max(1, c.squaredDeviations/(c.intervals-1))
}
