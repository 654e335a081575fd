package judge

import "math"

// mixturePrecision is the variance at which a test is sharpest, in units of requests × share × share: that of a few dozen
// requests at rates of some percent. Far from it a test takes somewhat more traffic and is as valid.
const mixturePrecision = 2.0

// maxVarianceShare is the share at which the variance share × (1 − share) is largest.
const maxVarianceShare = 0.5

// eProcess is evidence against the hypothesis that the mean of what is added is at most 0, whatever was added before. It
// may be read after every interval. For every λ, exp(λ·sum − λ²/2·variance) with variance = Σ(x² + 2E[x²])/3 is a
// nonnegative supermartingale that starts at 1 (Delyon 2009, for any square-integrable martingale), so a mixture over λ > 0
// ever exceeds 1/α with a probability of at most α (Ville). What an interval adds is bounded by its own square: at most 1.5 to
// the logarithm of the evidence, so that no single second shows a regression.
type eProcess struct{ sum, variance float64 }

// add takes an interval's x and its variance under the hypothesis.
func (p *eProcess) add(x, variance float64) {
	p.sum += x
	p.variance += (x*x + 2*variance) / 3
}

// logEvidence is the logarithm of the evidence: of the mixture over λ by a half-normal density of variance
// 1/mixturePrecision.
func (p *eProcess) logEvidence() float64 {
	if p.sum <= 0 {
		return 0
	}
	// The integral over λ > 0 is Gaussian: its value over all λ, times the share of it at λ > 0.
	totalVariance := p.variance + mixturePrecision
	positiveShare := 0.5 * math.Erfc(-p.sum/math.Sqrt(2*totalVariance))
	return math.Ln2 + 0.5*math.Log(mixturePrecision/totalVariance) + p.sum*p.sum/(2*totalVariance) + math.Log(positiveShare)
}

// comparison tests a share of the canary's requests against that of the baseline's, both ways: whether it is higher by more
// than the tolerance, and whether it is not.
type comparison struct {
	tolerance      float64
	regression     eProcess // evidence that it is higher by more than the tolerance
	nonInferiority eProcess // evidence that it is not
	canaryHits     int
	canaryTrials   int
	// Running mean and squared deviations (Welford) of the intervals' standardized differences. Faults come in bursts, so
	// the differences are often dispersed by more than chance alone, and the variance then counts that in.
	intervals, mean, squaredDeviations float64
}

// add takes an interval's counts. Where a version has no requests there is nothing to compare.
func (c *comparison) add(canaryHits, canaryTrials, baselineHits, baselineTrials int) {
	if canaryTrials == 0 || baselineTrials == 0 {
		return
	}
	c.canaryHits += canaryHits
	c.canaryTrials += canaryTrials
	canary, baseline := float64(canaryTrials), float64(baselineTrials)
	weight := canary * baseline / (canary + baseline)
	difference := float64(canaryHits)/canary - float64(baselineHits)/baseline
	// The variance is at least that of the tolerated share, which the hypotheses allow.
	share := max(float64(canaryHits+baselineHits)/(canary+baseline), c.tolerance)
	share = min(share, maxVarianceShare)
	variance := weight * share * (1 - share)
	dispersedVariance := variance * c.dispersion()
	c.regression.add(weight*(difference-c.tolerance), dispersedVariance)
	c.nonInferiority.add(weight*(c.tolerance-difference), dispersedVariance)
	c.addDeviation(weight * difference / math.Sqrt(variance))
}

// addDeviation takes an interval's standardized difference into the dispersion.
func (c *comparison) addDeviation(standardized float64) {
	c.intervals++
	deviation := standardized - c.mean
	c.mean += deviation / c.intervals
	c.squaredDeviations += deviation * (standardized - c.mean)
}

// dispersion is the variance of earlier intervals' standardized differences, at least 1. It leaves out the present one, so
// that what is expected of an interval does not depend on it.
func (c *comparison) dispersion() float64 {
	if c.intervals < 2 {
		return 1
	}
	return max(1, c.squaredDeviations/(c.intervals-1))
}
