package judge

import "math"

// mixture is the variance at which a test is sharpest, in units of requests × share × share: that of a few dozen
// requests at rates of some percent. Far from it a test needs somewhat more traffic and is as valid.
const mixture = 2.0

// process is evidence against "the mean of what is added is at most 0, whatever was seen before", kept so that it may be
// looked at after every interval. For every λ, exp(λ·sum − λ²/2·variance) with variance = Σ(x² + 2E[x²])/3 is a
// nonnegative supermartingale from 1 on (Delyon 2009, for any square integrable martingale), so a mixture over λ > 0
// passes 1/α with a chance of at most α at any time ever (Ville). What an interval adds is bounded by its own square:
// at most 1.5 to the logarithm of the evidence, so that no single second convicts.
type process struct{ sum, variance float64 }

// add takes an interval's x and its variance under the hypothesis.
func (p *process) add(x, variance float64) {
	p.sum += x
	p.variance += (x*x + 2*variance) / 3
}

// log is the logarithm of the evidence: of the mixture over λ by a half-normal weight of variance 1/mixture.
func (p *process) log() float64 {
	if p.sum <= 0 {
		return 0
	}
	d := p.variance + mixture
	below := 0.5 * math.Erfc(-p.sum/math.Sqrt(2*d))
	return math.Ln2 + 0.5*math.Log(mixture/d) + p.sum*p.sum/(2*d) + math.Log(below)
}

// comparison tests one share of the new against that of the old, both ways: harm says that the new's is higher by more
// than is tolerated, fit that it is not.
type comparison struct {
	tolerated float64
	harm, fit process
	hits      int // of the new
	seen      int // of the new
	// The spread of the differences from interval to interval, in terms of what chance alone makes: troubles come in
	// bursts, so it is often more than 1, and is then counted into the variance.
	n, mean, m2 float64
}

// add takes an interval's counts: x of n at the new, y of m at the old. Where one has none there is nothing to compare.
func (c *comparison) add(x, n, y, m int) {
	if n == 0 || m == 0 {
		return
	}
	c.hits += x
	c.seen += n
	nn, mm := float64(n), float64(m)
	weight := nn * mm / (nn + mm)
	diff := float64(x)/nn - float64(y)/mm
	// Of the shares that the hypotheses allow the variance is at least that of what is tolerated.
	share := max(float64(x+y)/(nn+mm), c.tolerated)
	share = min(share, 0.5)
	variance := weight * share * (1 - share)
	spread := variance * c.spread()
	c.harm.add(weight*(diff-c.tolerated), spread)
	c.fit.add(weight*(c.tolerated-diff), spread)
	z := weight * diff / math.Sqrt(variance)
	c.n++
	d := z - c.mean
	c.mean += d / c.n
	c.m2 += d * (z - c.mean)
}

// spread is the spread of earlier intervals, at least 1, so that what is expected of an interval does not depend on it.
func (c *comparison) spread() float64 {
	if c.n < 2 {
		return 1
	}
	return max(1, c.m2/(c.n-1))
}
