package loadreport

import (
	"bytes"
	"encoding/json"
	"sync"

	"milldeck/internal/placement"
)

// buffer holds the body of a request until it is decoded.
type buffer struct{ bytes.Buffer }

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// Typical lengths of arrays, which the decoder allocates initially.
const (
	typicalReports     = 1
	typicalDirectives  = 1
	typicalClassCounts = 16 // classes × zones
	typicalBuckets     = 33 // a complete latency histogram
)

// IDs of the fields of a batch, a report, a key load and a class count, numbered within each object.
const fieldReports fieldID = 0

const (
	fieldSidecar fieldID = iota
	fieldZone
	fieldPlacementRevision
	fieldPlacementEpoch
	fieldEndpointRevision
	fieldIntervalMS
	fieldExcludedInFlight
	fieldSuspendedDirectives
	fieldHotKeys
	fieldTotalKeyLoad
	fieldClassCounts
	fieldVersion
)

const (
	fieldKeyHash fieldID = iota
	fieldLoad
	fieldErrorBound
)

const (
	fieldClass fieldID = iota
	fieldCountZone
	fieldCohort
	fieldSucceeded
	fieldLate
	fieldFailed
	fieldLatencyHistogram
)

// decodeBatch decodes a batch of reports. For the reports that 2,000 sidecars send in a second, encoding/json alone takes
// a third of a core. So decodeFast decodes the usual form of a batch, and encoding/json all other forms.
func decodeBatch(data []byte) ([]placement.LoadReport, error) {
	if reports, ok := decodeFast(data); ok {
		return reports, nil
	}
	var batch struct {
		Reports []placement.LoadReport `json:"reports"`
	}
	err := json.Unmarshal(data, &batch)
	return batch.Reports, err
}

// decodeFast decodes a batch in the form that encoding/json writes: known fields, each at most once, ASCII strings without
// escapes, and integers without fraction or exponent. It returns false for any other input, which may be valid or
// invalid.
func decodeFast(data []byte) (reports []placement.LoadReport, ok bool) {
	s := &scanner{remaining: data}
	ok = s.readObject(func(name []byte) (fieldID, bool) {
		return fieldReports, string(name) == "reports" && readArray(s, typicalReports, &reports, s.readReport)
	})
	return reports, ok && s.atEnd()
}

func (s *scanner) readReport(r *placement.LoadReport) bool {
	return s.readObject(func(name []byte) (fieldID, bool) {
		switch string(name) {
		case "name":
			return fieldSidecar, s.readString(&r.Sidecar)
		case "zone":
			return fieldZone, s.readString(&r.Zone)
		case "rev":
			return fieldPlacementRevision, s.readUint64(&r.PlacementRevision)
		case "epoch":
			return fieldPlacementEpoch, s.readUint64(&r.PlacementEpoch)
		case "list":
			return fieldEndpointRevision, s.readUint64(&r.EndpointRevision)
		case "span_ms":
			return fieldIntervalMS, s.readFloat(&r.IntervalMS)
		case "open":
			r.ExcludedInFlight = map[string]int{}
			return fieldExcludedInFlight, s.readIntMap(r.ExcludedInFlight)
		case "suspended":
			return fieldSuspendedDirectives, readArray(s, typicalDirectives, &r.SuspendedDirectives, s.readString)
		case "heat":
			return fieldHotKeys, readArray(s, placement.MaxHotKeys, &r.HotKeys, s.readKeyLoad)
		case "heat_all":
			return fieldTotalKeyLoad, s.readFloat(&r.TotalKeyLoad)
		case "counts":
			return fieldClassCounts, readArray(s, typicalClassCounts, &r.ClassCounts, s.readClassCount)
		case "version":
			return fieldVersion, s.readString(&r.Version)
		}
		return 0, false
	})
}

func (s *scanner) readKeyLoad(k *placement.KeyLoad) bool {
	return s.readObject(func(name []byte) (fieldID, bool) {
		switch string(name) {
		case "key":
			return fieldKeyHash, s.readString(&k.KeyHash)
		case "load":
			return fieldLoad, s.readFloat(&k.Load)
		case "error":
			return fieldErrorBound, s.readFloat(&k.ErrorBound)
		}
		return 0, false
	})
}

func (s *scanner) readClassCount(c *placement.ClassCount) bool {
	return s.readObject(func(name []byte) (fieldID, bool) {
		switch string(name) {
		case "class":
			return fieldClass, s.readString(&c.Class)
		case "zone":
			return fieldCountZone, s.readString(&c.Zone)
		case "cohort":
			return fieldCohort, s.readString(&c.Cohort)
		case "served":
			return fieldSucceeded, s.readInt(&c.Succeeded)
		case "late":
			return fieldLate, s.readInt(&c.Late)
		case "failed":
			return fieldFailed, s.readInt(&c.Failed)
		case "latency":
			return fieldLatencyHistogram, readArray(s, typicalBuckets, &c.LatencyHistogram, s.readUint32)
		}
		return 0, false
	})
}
