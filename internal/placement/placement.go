// Package placement is what a fleet tells its sidecars beyond the list of servers: which tenant keeps off which
// servers, which key is spread over which, and which servers are counted apart. It is a part of the list service's
// replicated state, watched like the list, and served on to sidecars by their agents. Every entry carries its end, so
// that nothing outlives its approval when those who told it are gone.
//
// The package is pure: no clock, no sockets. Times are inputs.
package placement

// Kind says what an entry does.
type Kind string

// The kinds of entries.
const (
	KindExclude   Kind = "keep_off" // first picks of Tenant keep off Servers, as long as Least of its servers is left
	KindSpreadKey Kind = "spread"   // the key Key is carried by Copies beside its own servers
	KindCohort    Kind = "cohort"   // reports count Servers apart, under Name: a version beside another
)

// Directive is one thing that sidecars are told.
type Directive struct {
	ID           string    `json:"id"` // "window/NAME/TENANT", "spread/KEY", "cohort/NAME": the first part names its owner's duty
	Kind         Kind      `json:"kind"`
	Tenant       string    `json:"tenant,omitempty"` // of the settings, or where these name none the calling application
	Servers      []string  `json:"servers,omitempty"`
	MinAvailable float64   `json:"least,omitempty"` // share of the servers that a tenant keeps in any case, 0 to 1
	KeyHash      string    `json:"key,omitempty"`   // 16 hexadecimal digits: the key as sidecars hash it (FNV-1a, 64 bits)
	Copies       []KeyCopy `json:"copies,omitempty"`
	Cohort       string    `json:"name,omitempty"`
	// ExpiresAtMS is the entry's end in Unix ms by the clock of who wrote it. RemainingMS is what was left of it, in ms, when the
	// line that carries it was written: a reader ends the entry at whichever comes first, the wall clock at ExpiresAtMS or
	// RemainingMS on its own monotonic clock. So a clock that is wrong ends an entry early, never late.
	ExpiresAtMS int64  `json:"until_ms"`
	RemainingMS int64  `json:"left_ms,omitempty"` // set by who serves the line; never stored
	Revision    uint64 `json:"rev"`
}

// KeyCopy is a server that carries a spread key.
type KeyCopy struct {
	ServerUID    string  `json:"uid"`
	LoadFraction float64 `json:"share"` // of the key's load, 0 to 1; 0: it is being warmed by a trickle, or cools
}

// Update is a whole placement or a change of it, as the list of servers is told: one JSON object a line, an empty line
// every 2 s while nothing changes.
type Update struct {
	Revision   uint64      `json:"rev"`
	Complete   bool        `json:"all"`
	Epoch      uint64      `json:"epoch,omitempty"`
	Directives []Directive `json:"entries"`
	Removed    []string    `json:"gone,omitempty"` // ids, among changes
}

// LoadReport is what a sidecar says once a second at the address that it gets its placement from. Reports are soft: never
// in the log, bounded, and a lost one is made up for by the next.
type LoadReport struct {
	Sidecar           string  `json:"name"`
	Zone              string  `json:"zone,omitempty"`
	Version           string  `json:"version,omitempty"` // of the sidecar, a free label of its configuration
	PlacementRevision uint64  `json:"rev"`               // of the placement in force
	PlacementEpoch    uint64  `json:"epoch,omitempty"`
	EndpointRevision  uint64  `json:"list"`    // revision of the list of servers in force
	IntervalMS        float64 `json:"span_ms"` // what the counts below are of
	// Open is, for each keep-off entry in force, the requests open on the servers kept off.
	ExcludedInFlight    map[string]int `json:"open,omitempty"`
	SuspendedDirectives []string       `json:"suspended,omitempty"` // entries not followed, as too little would be left
	HotKeys             []KeyLoad      `json:"heat,omitempty"`      // the hottest keys, at most MaxHotKeys
	TotalKeyLoad        float64        `json:"heat_all"`            // of all keys together
	ClassCounts         []ClassCount   `json:"counts,omitempty"`
}

// MaxHotKeys is the most keys of one report, MaxReportBytes the most bytes.
const (
	MaxHotKeys     = 32
	MaxReportBytes = 32 << 10
)

// KeyLoad is a key's load as one sidecar met it: at most Load, and at least Load - Error.
type KeyLoad struct {
	KeyHash    string  `json:"key"`
	Load       float64 `json:"load"`  // requests a second × work (ms) of a request
	ErrorBound float64 `json:"error"` // by which Load may be too high
}

// ClassCount is what became of the requests of a class at servers of a zone and cohort.
type ClassCount struct {
	Class            string   `json:"class"`
	Zone             string   `json:"zone,omitempty"`   // of the servers
	Cohort           string   `json:"cohort,omitempty"` // "": of none
	Succeeded        int      `json:"served"`
	Late             int      `json:"late"` // served after the class's aim
	Failed           int      `json:"failed"`
	LatencyHistogram []uint32 `json:"latency,omitempty"` // counts by LatencyBucketBounds, the last for what is slower
}

// LatencyBucketBounds are the upper bounds of the counts of latencies, in ms: each a factor of 2^(1/2) above the one before.
var LatencyBucketBounds = geometricBounds()

func geometricBounds() []float64 {
	const firstMS, ratio, buckets = 0.5, 1.4142135623730951, 32 // 0.5 ms to 23 s
	bounds := make([]float64, buckets)
	bound := firstMS
	for i := range bounds {
		bounds[i] = bound
		bound *= ratio
	}
	return bounds
}
