package placement

import (
	"math"

	"milldeck/internal/validation"
)

// Bounds of a load report.
const (
	MaxReportBytes = 32 << 10
	MaxHotKeys     = 32
	MaxClassCounts = 256 // classes × zones × cohorts
	MaxExclusions  = 256 // exclusions that one sidecar reports

	maxIntervalMS = 3600 * 1000
	maxRequests   = 1 << 30 // in an interval
	maxKeyLoad    = 1e12    // requests/s × ms
)

// LoadReport is the report that a sidecar sends once a second to the address from which it watches the placement.
// Reports are bounded soft state: they are never in the log, and the next report supersedes a lost one.
type LoadReport struct {
	Sidecar           string  `json:"name"`
	Zone              string  `json:"zone,omitempty"`
	Version           string  `json:"version,omitempty"` // label of the sidecar's version, from its configuration
	PlacementRevision uint64  `json:"rev"`               // of the placement in force
	PlacementEpoch    uint64  `json:"epoch,omitempty"`
	EndpointRevision  uint64  `json:"list"`    // of the endpoint list in force
	IntervalMS        float64 `json:"span_ms"` // interval of the counts below
	// ExcludedInFlight is the number of requests in flight at the excluded servers, by the ID of each exclusion in force.
	ExcludedInFlight    map[string]int `json:"open,omitempty"`
	SuspendedDirectives []string       `json:"suspended,omitempty"` // exclusions not applied, as too few servers would remain
	HotKeys             []KeyLoad      `json:"heat,omitempty"`      // the hottest keys, at most MaxHotKeys
	TotalKeyLoad        float64        `json:"heat_all"`            // sum over all keys, in the unit of KeyLoad.Load
	ClassCounts         []ClassCount   `json:"counts,omitempty"`
}

// KeyLoad is a key's load as estimated by one sidecar. The true load is between Load - ErrorBound and Load.
type KeyLoad struct {
	KeyHash    string  `json:"key"`
	Load       float64 `json:"load"`  // requests/s × work of a request (ms)
	ErrorBound float64 `json:"error"` // largest amount by which Load may be too high
}

// ClassCount counts the outcomes of a class's requests at the servers of a zone and cohort.
type ClassCount struct {
	Class            string   `json:"class"`
	Zone             string   `json:"zone,omitempty"`   // of the servers
	Cohort           string   `json:"cohort,omitempty"` // of the servers; "": none
	Succeeded        int      `json:"served"`
	Late             int      `json:"late"` // succeeded, but later than the class's latency objective
	Failed           int      `json:"failed"`
	LatencyHistogram []uint32 `json:"latency,omitempty"` // by bucket of LatencyBucketBounds; the last one has no upper bound
}

// LatencyBucketBounds are the upper bounds of the latency histograms' buckets in ms, from 0.5 ms to 23 s. Each bound is
// the previous one times the square root of two.
var LatencyBucketBounds = geometricBounds()

func geometricBounds() []float64 {
	const firstMS, ratio, buckets = 0.5, math.Sqrt2, 32
	bounds := make([]float64, buckets)
	bound := firstMS
	for i := range bounds {
		bounds[i] = bound
		bound *= ratio
	}
	return bounds
}

// Validate checks a report. The error is a *validation.Error. Fields that only later versions know are not checked.
func (r *LoadReport) Validate() error {
	if err := validation.First(r.validateBounds(), r.validateDirectiveIDs()); err != nil {
		return err
	}
	for i := range r.HotKeys {
		if err := r.HotKeys[i].validate(); err != nil {
			return err
		}
	}
	for i := range r.ClassCounts {
		if err := r.ClassCounts[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r *LoadReport) validateBounds() error {
	switch {
	case r.Sidecar == "" || len(r.Sidecar) > MaxNameLength:
		return validation.Errorf("name", "%d bytes, wanted 1 to %d", len(r.Sidecar), MaxNameLength)
	case len(r.Zone) > MaxNameLength:
		return validation.Errorf("zone", "over %d bytes", MaxNameLength)
	case len(r.Version) > MaxNameLength:
		return validation.Errorf("version", "over %d bytes", MaxNameLength)
	case !(r.IntervalMS >= 0 && r.IntervalMS <= maxIntervalMS):
		return validation.Errorf("span_ms", "%v is not within 0 to %d", r.IntervalMS, maxIntervalMS)
	case len(r.ExcludedInFlight) > MaxExclusions:
		return validation.Errorf("open", "%d entries, at most %d", len(r.ExcludedInFlight), MaxExclusions)
	case len(r.SuspendedDirectives) > MaxExclusions:
		return validation.Errorf("suspended", "%d entries, at most %d", len(r.SuspendedDirectives), MaxExclusions)
	case len(r.HotKeys) > MaxHotKeys:
		return validation.Errorf("heat", "%d keys, at most %d", len(r.HotKeys), MaxHotKeys)
	case !validLoad(r.TotalKeyLoad):
		return validation.Errorf("heat_all", "%v is no load", r.TotalKeyLoad)
	case len(r.ClassCounts) > MaxClassCounts:
		return validation.Errorf("counts", "%d, at most %d", len(r.ClassCounts), MaxClassCounts)
	}
	return nil
}

func (r *LoadReport) validateDirectiveIDs() error {
	for id, inFlight := range r.ExcludedInFlight {
		if id == "" || len(id) > MaxIDLength || inFlight < 0 || inFlight > maxRequests {
			return validation.Errorf("open", "%d of an id of %d bytes", inFlight, len(id))
		}
	}
	for _, id := range r.SuspendedDirectives {
		if id == "" || len(id) > MaxIDLength {
			return validation.Errorf("suspended", "an id of %d bytes", len(id))
		}
	}
	return nil
}

// validLoad reports whether a load is within its bounds. NaN is not within them.
func validLoad(load float64) bool { return load >= 0 && load <= maxKeyLoad }

func (k *KeyLoad) validate() error {
	if !validKeyHash(k.KeyHash) || !validLoad(k.Load) || !validLoad(k.ErrorBound) {
		return validation.Errorf("heat", "key %.32q with load %v, error %v", k.KeyHash, k.Load, k.ErrorBound)
	}
	return nil
}

func (c *ClassCount) validate() error {
	switch {
	case len(c.Class) > MaxNameLength || len(c.Zone) > MaxNameLength || len(c.Cohort) > MaxNameLength:
		return validation.Errorf("counts", "a name of over %d bytes", MaxNameLength)
	case min(c.Succeeded, c.Late, c.Failed) < 0 || max(c.Succeeded, c.Late, c.Failed) > maxRequests:
		return validation.Errorf("counts", "%d served, %d late, %d failed", c.Succeeded, c.Late, c.Failed)
	case len(c.LatencyHistogram) > len(LatencyBucketBounds)+1:
		return validation.Errorf("counts", "%d counts of latencies, at most %d", len(c.LatencyHistogram), len(LatencyBucketBounds)+1)
	}
	total := uint64(0)
	for _, count := range c.LatencyHistogram {
		total += uint64(count)
	}
	if total > math.MaxInt32 {
		return validation.Errorf("counts", "%d latencies are no count", total)
	}
	return nil
}
