package placement

import "math"

// Bounds of a report's parts, beside MaxHotKeys and MaxReportBytes.
const (
	MaxClassCounts = 256 // classes × zones × cohorts
	MaxExclusions  = 256 // keep-off entries that one sidecar follows
	maxIntervalMS  = 3600 * 1000
	maxRequests    = 1 << 30 // of requests in a span: beyond it is no count
	maxKeyLoad     = 1e12    // requests a second × ms: beyond it is no load
)

// Validate tells what of a report cannot be. Fields of a later version are nobody's concern here.
func (r *LoadReport) Validate() error {
	switch {
	case r.Sidecar == "" || len(r.Sidecar) > MaxNameLength:
		return invalid("name", "%d bytes, wanted 1 to %d", len(r.Sidecar), MaxNameLength)
	case len(r.Zone) > MaxNameLength:
		return invalid("zone", "over %d bytes", MaxNameLength)
	case len(r.Version) > MaxNameLength:
		return invalid("version", "over %d bytes", MaxNameLength)
	case !(r.IntervalMS >= 0 && r.IntervalMS <= maxIntervalMS):
		return invalid("span_ms", "%v is not within 0 to %d", r.IntervalMS, maxIntervalMS)
	case len(r.ExcludedInFlight) > MaxExclusions:
		return invalid("open", "%d entries, at most %d", len(r.ExcludedInFlight), MaxExclusions)
	case len(r.SuspendedDirectives) > MaxExclusions:
		return invalid("suspended", "%d entries, at most %d", len(r.SuspendedDirectives), MaxExclusions)
	case len(r.HotKeys) > MaxHotKeys:
		return invalid("heat", "%d keys, at most %d", len(r.HotKeys), MaxHotKeys)
	case !(r.TotalKeyLoad >= 0 && r.TotalKeyLoad <= maxKeyLoad):
		return invalid("heat_all", "%v is no load", r.TotalKeyLoad)
	case len(r.ClassCounts) > MaxClassCounts:
		return invalid("counts", "%d, at most %d", len(r.ClassCounts), MaxClassCounts)
	}
	for id, count := range r.ExcludedInFlight {
		if id == "" || len(id) > MaxIDLength || count < 0 || count > maxRequests {
			return invalid("open", "%d of an id of %d bytes", count, len(id))
		}
	}
	for _, id := range r.SuspendedDirectives {
		if id == "" || len(id) > MaxIDLength {
			return invalid("suspended", "an id of %d bytes", len(id))
		}
	}
	for i := range r.HotKeys {
		if key := &r.HotKeys[i]; !validKeyHash(key.KeyHash) || !(key.Load >= 0 && key.Load <= maxKeyLoad) || !(key.ErrorBound >= 0 && key.ErrorBound <= maxKeyLoad) {
			return invalid("heat", "key %.32q with load %v, error %v", key.KeyHash, key.Load, key.ErrorBound)
		}
	}
	for i := range r.ClassCounts {
		if err := r.ClassCounts[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c *ClassCount) validate() error {
	switch {
	case len(c.Class) > MaxNameLength || len(c.Zone) > MaxNameLength || len(c.Cohort) > MaxNameLength:
		return invalid("counts", "a name of over %d bytes", MaxNameLength)
	case min(c.Succeeded, c.Late, c.Failed) < 0 || max(c.Succeeded, c.Late, c.Failed) > maxRequests:
		return invalid("counts", "%d served, %d late, %d failed", c.Succeeded, c.Late, c.Failed)
	case len(c.LatencyHistogram) > len(LatencyBucketBounds)+1:
		return invalid("counts", "%d counts of latencies, at most %d", len(c.LatencyHistogram), len(LatencyBucketBounds)+1)
	}
	total := uint64(0)
	for _, count := range c.LatencyHistogram {
		total += uint64(count)
	}
	if total > math.MaxInt32 {
		return invalid("counts", "%d latencies are no count", total)
	}
	return nil
}
