package loadreport

import "milldeck/internal/placement"

const (
	typicalCounts  = 16 // classes × zones
	typicalBuckets = 33 // of latencies: all
)

// readReport reads a report.
func (s *scanner) readReport(r *placement.LoadReport) bool {
	return s.readObject(func(name []byte) int {
		switch string(name) {
		case "name":
			return fieldIndex(s.readString(&r.Sidecar), 0)
		case "zone":
			return fieldIndex(s.readString(&r.Zone), 1)
		case "rev":
			return fieldIndex(s.readUint64(&r.PlacementRevision), 2)
		case "epoch":
			return fieldIndex(s.readUint64(&r.PlacementEpoch), 3)
		case "list":
			return fieldIndex(s.readUint64(&r.EndpointRevision), 4)
		case "span_ms":
			return fieldIndex(s.readFloat(&r.IntervalMS), 5)
		case "open":
			r.ExcludedInFlight = map[string]int{}
			return fieldIndex(s.readMembers(func(name []byte) bool {
				n := 0
				ok := s.readInt(&n)
				r.ExcludedInFlight[string(name)] = n
				return ok
			}), 6)
		case "suspended":
			return fieldIndex(readArray(s, 1, &r.SuspendedDirectives, s.readString), 7)
		case "heat":
			return fieldIndex(readArray(s, placement.MaxHotKeys, &r.HotKeys, s.readKeyLoad), 8)
		case "heat_all":
			return fieldIndex(s.readFloat(&r.TotalKeyLoad), 9)
		case "counts":
			return fieldIndex(readArray(s, typicalCounts, &r.ClassCounts, s.readCount), 10)
		case "version":
			return fieldIndex(s.readString(&r.Version), 11)
		}
		return -1
	})
}

func (s *scanner) readKeyLoad(keyLoad *placement.KeyLoad) bool {
	return s.readObject(func(name []byte) int {
		switch string(name) {
		case "key":
			return fieldIndex(s.readString(&keyLoad.KeyHash), 0)
		case "load":
			return fieldIndex(s.readFloat(&keyLoad.Load), 1)
		case "error":
			return fieldIndex(s.readFloat(&keyLoad.ErrorBound), 2)
		}
		return -1
	})
}

func (s *scanner) readCount(c *placement.ClassCount) bool {
	return s.readObject(func(name []byte) int {
		switch string(name) {
		case "class":
			return fieldIndex(s.readString(&c.Class), 0)
		case "zone":
			return fieldIndex(s.readString(&c.Zone), 1)
		case "cohort":
			return fieldIndex(s.readString(&c.Cohort), 2)
		case "served":
			return fieldIndex(s.readInt(&c.Succeeded), 3)
		case "late":
			return fieldIndex(s.readInt(&c.Late), 4)
		case "failed":
			return fieldIndex(s.readInt(&c.Failed), 5)
		case "latency":
			return fieldIndex(readArray(s, typicalBuckets, &c.LatencyHistogram, s.readUint32), 6)
		}
		return -1
	})
}
