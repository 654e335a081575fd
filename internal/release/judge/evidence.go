package judge

import "math"

// mixturePrecision is the variance at which a test is most powerful, in units of requests × share × share. A few
// dozen requests of which a few percent are hits have this variance. At a variance far from it, a test is equally valid but
// needs somewhat more traffic.
const mixturePrecision = 2.0

// maxVarianceShare is the share at which the variance share × (1 − share) is largest.
const maxVarianceShare = 0.5

// eProcess is the evidence against the hypothesis that each added value has a mean of at most 0, given all earlier values.
// The evidence may be read after every interval. For every λ, exp(λ·sum − λ²/2·variance) with variance = Σ(x² + 2E[x²])/3 is a
// nonnegative supermartingale that starts at 1 (Delyon 2009, for any square-integrable martingale), so a mixture over λ > 0
// ever exceeds 1/α with a probability of at most α (Ville's inequality). Because the variance includes the square of an
// interval's own value, one interval adds at most 1.5 to the logarithm of the evidence, so no single second shows a regression.
type eProcess struct{ sum, variance float64 }

// add adds an interval's value x, which has the given variance under the hypothesis.
func (p *eProcess) add(x, variance float64) {
	p.sum += x
	p.variance += (x*x + 2*variance) / 3
}

// logEvidence returns the logarithm of the evidence: the mixture over λ, weighted by a half-normal density of variance
// 1/mixturePrecision.
func (p *eProcess) logEvidence() float64 {
	if p.sum <= 0 {
		return 0
	}
	// The integral over λ > 0 is Gaussian: its value over all λ, times the share that lies at λ > 0.
	totalVariance := p.variance + mixturePrecision
	positiveShare := 0.5 * math.Erfc(-p.sum/math.Sqrt(2*totalVariance))
	return math.Ln2 + 0.5*math.Log(mixturePrecision/totalVariance) + p.sum*p.sum/(2*totalVariance) + math.Log(positiveShare)
}

// comparison tests a share of the canary's requests against the same share of the baseline's, in both directions: whether the
// canary's share is higher by more than the tolerance, and whether it is not.
type comparison struct {
	tolerance      float64
	regression     eProcess // evidence that the canary's share is higher by more than the tolerance
	nonInferiority eProcess // evidence that it is not higher by more than the tolerance
	canaryHits     int
	canaryTrials   int
	// Running mean and sum of squared deviations (Welford's algorithm) of the standardized difference between the shares of
	// canary and baseline, one value an interval. Faults come in bursts, so these differences often vary by more than
	// chance alone. Therefore add multiplies the expected variance by their dispersion.
	intervals, mean, squaredDeviations float64
}

// add adds an interval's counts. Without requests to one of the versions there is nothing to compare.
func (c *comparison) add(canaryHits, canaryTrials, baselineHits, baselineTrials int) {
	if canaryTrials == 0 || baselineTrials == 0 {
		return
	}
	c.canaryHits += canaryHits
	c.canaryTrials += canaryTrials
	canary, baseline := float64(canaryTrials), float64(baselineTrials)
	weight := canary * baseline / (canary + baseline)
	difference := float64(canaryHits)/canary - float64(baselineHits)/baseline
	// The hypotheses allow a share as high as the tolerance, so the variance is at least the variance at that share.
	share := max(float64(canaryHits+baselineHits)/(canary+baseline), c.tolerance)
	share = min(share, maxVarianceShare)
	variance := weight * share * (1 - share)
	dispersedVariance := variance * c.dispersion()
	c.regression.add(weight*(difference-c.tolerance), dispersedVariance)
	c.nonInferiority.add(weight*(c.tolerance-difference), dispersedVariance)
	c.addDeviation(weight * difference / math.Sqrt(variance))
}

// addDeviation adds an interval's standardized difference to the dispersion.
func (c *comparison) addDeviation(standardized float64) {
	c.intervals++
	deviation := standardized - c.mean
	c.mean += deviation / c.intervals
	c.squaredDeviations += deviation * (standardized - c.mean)
}

// dispersion returns the variance of the standardized differences of earlier intervals, at least 1. It excludes the current
// interval, so that the variance expected of an interval does not depend on the interval's own counts.
func (c *comparison) dispersion() float64 {
	if c.intervals < 2 {
		return 1
	}
	return max(1, c.squaredDeviations/(c.intervals-1))
}
