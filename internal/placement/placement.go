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
	KeepOff Kind = "keep_off" // first picks of Tenant keep off Servers, as long as Least of its servers is left
	Spread  Kind = "spread"   // the key Key is carried by Copies beside its own servers
	Cohort  Kind = "cohort"   // reports count Servers apart, under Name: a version beside another
)

// Entry is one thing that sidecars are told.
type Entry struct {
	ID      string   `json:"id"` // "window/NAME/TENANT", "spread/KEY", "cohort/NAME": the first part names its owner's duty
	Kind    Kind     `json:"kind"`
	Tenant  string   `json:"tenant,omitempty"` // of the settings, or where these name none the calling application
	Servers []string `json:"servers,omitempty"`
	Least   float64  `json:"least,omitempty"` // share of the servers that a tenant keeps in any case, 0 to 1
	Key     string   `json:"key,omitempty"`   // 16 hexadecimal digits: the key as sidecars hash it (FNV-1a, 64 bits)
	Copies  []Copy   `json:"copies,omitempty"`
	Name    string   `json:"name,omitempty"`
	// UntilMS is the entry's end in Unix ms by the clock of who wrote it. LeftMS is what was left of it, in ms, when the
	// line that carries it was written: a reader ends the entry at whichever comes first, the wall clock at UntilMS or
	// LeftMS on its own monotonic clock. So a clock that is wrong ends an entry early, never late.
	UntilMS int64  `json:"until_ms"`
	LeftMS  int64  `json:"left_ms,omitempty"` // set by who serves the line; never stored
	Rev     uint64 `json:"rev"`
}

// Copy is a server that carries a spread key.
type Copy struct {
	UID   string  `json:"uid"`
	Share float64 `json:"share"` // of the key's load, 0 to 1; 0: it is being warmed by a trickle, or cools
}

// List is a whole placement or a change of it, as the list of servers is told: one JSON object a line, an empty line
// every 2 s while nothing changes.
type List struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Epoch   uint64   `json:"epoch,omitempty"`
	Entries []Entry  `json:"entries"`
	Gone    []string `json:"gone,omitempty"` // ids, among changes
}

// Report is what a sidecar says once a second at the address that it gets its placement from. Reports are soft: never
// in the log, bounded, and a lost one is made up for by the next.
type Report struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone,omitempty"`
	Version string  `json:"version,omitempty"` // of the sidecar, a free label of its configuration
	Rev     uint64  `json:"rev"`               // of the placement in force
	Epoch   uint64  `json:"epoch,omitempty"`
	List    uint64  `json:"list"`    // revision of the list of servers in force
	SpanMS  float64 `json:"span_ms"` // what the counts below are of
	// Open is, for each keep-off entry in force, the requests open on the servers kept off.
	Open      map[string]int `json:"open,omitempty"`
	Suspended []string       `json:"suspended,omitempty"` // entries not followed, as too little would be left
	Heat      []Heat         `json:"heat,omitempty"`      // the hottest keys, at most MaxHeat
	HeatAll   float64        `json:"heat_all"`            // of all keys together
	Counts    []Count        `json:"counts,omitempty"`
}

// MaxHeat is the most keys of one report, MaxReport the most bytes.
const (
	MaxHeat   = 32
	MaxReport = 32 << 10
)

// Heat is a key's load as one sidecar met it: at most Load, and at least Load - Error.
type Heat struct {
	Key   string  `json:"key"`
	Load  float64 `json:"load"`  // requests a second × work (ms) of a request
	Error float64 `json:"error"` // by which Load may be too high
}

// Count is what became of the requests of a class at servers of a zone and cohort.
type Count struct {
	Class   string   `json:"class"`
	Zone    string   `json:"zone,omitempty"`   // of the servers
	Cohort  string   `json:"cohort,omitempty"` // "": of none
	Served  int      `json:"served"`
	Late    int      `json:"late"` // served after the class's aim
	Failed  int      `json:"failed"`
	Latency []uint32 `json:"latency,omitempty"` // counts by LatencyBounds, the last for what is slower
}

// LatencyBounds are the upper bounds of the counts of latencies, in ms: each a factor of 2^(1/2) above the one before.
var LatencyBounds = bounds()

func bounds() []float64 {
	const first, root2, n = 0.5, 1.4142135623730951, 32 // 0.5 ms to 23 s
	out := make([]float64, n)
	at := first
	for i := range out {
		out[i] = at
		at *= root2
	}
	return out
}
