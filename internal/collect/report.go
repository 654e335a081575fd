package collect

import "milldeck/internal/placement"

const (
	usualCounts  = 16 // classes × zones
	usualBuckets = 33 // of latencies: all
)

// report reads a report.
func (s *scan) report(r *placement.LoadReport) bool {
	return s.object(func(name []byte) int {
		switch string(name) {
		case "name":
			return place(s.text(&r.Sidecar), 0)
		case "zone":
			return place(s.text(&r.Zone), 1)
		case "rev":
			return place(s.uint64(&r.PlacementRevision), 2)
		case "epoch":
			return place(s.uint64(&r.PlacementEpoch), 3)
		case "list":
			return place(s.uint64(&r.EndpointRevision), 4)
		case "span_ms":
			return place(s.float(&r.IntervalMS), 5)
		case "open":
			r.ExcludedInFlight = map[string]int{}
			return place(s.pairs(func(name []byte) bool {
				n := 0
				plain := s.int(&n)
				r.ExcludedInFlight[string(name)] = n
				return plain
			}), 6)
		case "suspended":
			return place(list(s, 1, &r.SuspendedDirectives, s.text), 7)
		case "heat":
			return place(list(s, placement.MaxHotKeys, &r.HotKeys, s.heat), 8)
		case "heat_all":
			return place(s.float(&r.TotalKeyLoad), 9)
		case "counts":
			return place(list(s, usualCounts, &r.ClassCounts, s.count), 10)
		case "version":
			return place(s.text(&r.Version), 11)
		}
		return -1
	})
}

func (s *scan) heat(h *placement.KeyLoad) bool {
	return s.object(func(name []byte) int {
		switch string(name) {
		case "key":
			return place(s.text(&h.KeyHash), 0)
		case "load":
			return place(s.float(&h.Load), 1)
		case "error":
			return place(s.float(&h.ErrorBound), 2)
		}
		return -1
	})
}

func (s *scan) count(c *placement.ClassCount) bool {
	return s.object(func(name []byte) int {
		switch string(name) {
		case "class":
			return place(s.text(&c.Class), 0)
		case "zone":
			return place(s.text(&c.Zone), 1)
		case "cohort":
			return place(s.text(&c.Cohort), 2)
		case "served":
			return place(s.int(&c.Succeeded), 3)
		case "late":
			return place(s.int(&c.Late), 4)
		case "failed":
			return place(s.int(&c.Failed), 5)
		case "latency":
			return place(list(s, usualBuckets, &c.LatencyHistogram, s.uint32), 6)
		}
		return -1
	})
}
