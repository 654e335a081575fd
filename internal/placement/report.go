package placement

import "math"

// Bounds of a report's parts, beside MaxHeat and MaxReport.
const (
	MaxCounts = 256 // classes × zones × cohorts
	MaxOpen   = 256 // keep-off entries that one sidecar follows
	maxSpanMS = 3600 * 1000
	maxCount  = 1 << 30 // of requests in a span: beyond it is no count
	maxLoad   = 1e12    // requests a second × ms: beyond it is no load
)

// Check tells what of a report cannot be. Fields of a later version are nobody's concern here.
func (r *Report) Check() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxName:
		return bad("name", "%d bytes, wanted 1 to %d", len(r.Name), MaxName)
	case len(r.Zone) > MaxName:
		return bad("zone", "over %d bytes", MaxName)
	case len(r.Version) > MaxName:
		return bad("version", "over %d bytes", MaxName)
	case !(r.SpanMS >= 0 && r.SpanMS <= maxSpanMS):
		return bad("span_ms", "%v is not within 0 to %d", r.SpanMS, maxSpanMS)
	case len(r.Open) > MaxOpen:
		return bad("open", "%d entries, at most %d", len(r.Open), MaxOpen)
	case len(r.Suspended) > MaxOpen:
		return bad("suspended", "%d entries, at most %d", len(r.Suspended), MaxOpen)
	case len(r.Heat) > MaxHeat:
		return bad("heat", "%d keys, at most %d", len(r.Heat), MaxHeat)
	case !(r.HeatAll >= 0 && r.HeatAll <= maxLoad):
		return bad("heat_all", "%v is no load", r.HeatAll)
	case len(r.Counts) > MaxCounts:
		return bad("counts", "%d, at most %d", len(r.Counts), MaxCounts)
	}
	for id, n := range r.Open {
		if id == "" || len(id) > MaxID || n < 0 || n > maxCount {
			return bad("open", "%d of an id of %d bytes", n, len(id))
		}
	}
	for _, id := range r.Suspended {
		if id == "" || len(id) > MaxID {
			return bad("suspended", "an id of %d bytes", len(id))
		}
	}
	for k := range r.Heat {
		if h := &r.Heat[k]; !keyed(h.Key) || !(h.Load >= 0 && h.Load <= maxLoad) || !(h.Error >= 0 && h.Error <= maxLoad) {
			return bad("heat", "key %.32q with load %v, error %v", h.Key, h.Load, h.Error)
		}
	}
	for k := range r.Counts {
		if err := r.Counts[k].check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Count) check() error {
	switch {
	case len(c.Class) > MaxName || len(c.Zone) > MaxName || len(c.Cohort) > MaxName:
		return bad("counts", "a name of over %d bytes", MaxName)
	case min(c.Served, c.Late, c.Failed) < 0 || max(c.Served, c.Late, c.Failed) > maxCount:
		return bad("counts", "%d served, %d late, %d failed", c.Served, c.Late, c.Failed)
	case len(c.Latency) > len(LatencyBounds)+1:
		return bad("counts", "%d counts of latencies, at most %d", len(c.Latency), len(LatencyBounds)+1)
	}
	total := uint64(0)
	for _, n := range c.Latency {
		total += uint64(n)
	}
	if total > math.MaxInt32 {
		return bad("counts", "%d latencies are no count", total)
	}
	return nil
}
