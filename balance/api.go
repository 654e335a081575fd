package balance

// This file is the interface of the module: settings and events in, actions out.
// It takes no decisions; those are all in the files named as policy in deploy/balancer.toml. Times are milliseconds.

// ServerID names a server; it carries no meaning beyond identity.
type ServerID uint64

// RequestID names a request; a client's later try has another.
type RequestID uint64

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The three effects a class of requests can have.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // servers of one group drop repeats within a window
	NonIdempotent                        // must never run twice
)

// DeduplicationScope says which servers recognise a repeat of a keyed request.
type DeduplicationScope uint8

// The reach of a key.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Idempotency             Idempotency
	DeduplicationScope      DeduplicationScope
	IdempotencyWindow       float64 // how long a group remembers a key, from the first send that may have run
	LatencyObjective        float64 // an answer within this earns full worth
	LatencyObjectivePerWork float64 // the aim grows by this multiple of the request's own work
	Deadline                float64 // the client's longest wait over all its tries
	PriorityWeight          float64
	LateWeight              float64 // fraction of Worth that an answer after the aim still earns
	Streaming               bool
}

// Tenant is one customer of the service.
type Tenant struct {
	QuotaRate float64 // requests a second within its share, over all sidecars
	Quota     float64 // its fraction of the service
}

// LoadReportMode says how load reports reach a sidecar.
type LoadReportMode uint8

// The ways of load reports.
const (
	LoadReportNone LoadReportMode = iota
	LoadReportPiggyback
	LoadReportHealthCheck
)

// LoadReportField is one figure of a load report.
type LoadReportField uint8

// The figures a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown     LoadReportField = iota
	FieldInFlight                    // requests being handled
	FieldQueueLength                 // requests waiting
	FieldUtilization                 // fraction of CPU in use
	FieldLatency                     // recent service time
	FieldRequestRate                 // requests served a second
	FieldErrorRate                   // errors a second
)

// Config holds the settings that one sidecar starts with.
type Config struct {
	Seed                       uint64
	SidecarIndex, SidecarCount int // this sidecar's number, and how many there are
	Zone                       int
	Classes                    []Class
	Tenants                    []Tenant
	OverQuotaWeight            float64 // worth of a request beyond its tenant's share, as a fraction
	EventInterval              float64 // least time between two batches of events

	KeyAffinity      bool              // a server that lately served a key serves it again with less work
	Subscribe        bool              // the server list must be asked for
	LoadReports      LoadReportMode    // how load reports come
	LoadReportFields []LoadReportField // what they hold, in order

	MaxAttempts           int
	AllowParallelAttempts bool    // two attempts of a request may be in flight together
	AllowCancel           bool    // attempts may be cancelled
	AllowHealthChecks     bool    // servers may be probed
	AllowGossip           bool    // sidecars may message each other
	SendRetryAfter        bool    // clients are told how long to hold off
	MaxRetryAfter         float64 // the longest hold-off a client obeys
	ConnectTimeout        float64

	DrainGracePeriod     float64 // sends to a draining or gone server must stop within this
	SlowStartMinCapacity float64 // a server starts at this fraction of its capacity or more
	SlowStartDuration    float64 // and is warm after this
	OverloadMultiple     float64 // a cold server sent more than this multiple of its capacity ...
	OverloadDuration     float64 // ... for this long falls over
	PollInterval         float64 // without a subscription the list must be asked for this often
	AnswerGracePeriod    float64 // an answer this long after the client's deadline still counts

	Objective Objective
	Costs     Costs
}

// Objective weighs the parts of the result; what is refused in overload goes by it.
type Objective struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Costs are taken off the result, each per unit of its own.
type Costs struct{ CrossZone, Waste, Handshake, Probe, Peer, LateFail float64 }

// ServerState is what discovery knows of a server.
type ServerState uint8

// A server's states.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // 0: long ago
	RelativeCapacity float64 // relative size; 1 where nothing is known
	Cell, Zone, Kind int
}

// Event is anything that a sidecar is told: one of the types below.
type Event interface{ event() }

// UpdateKind says how a server list is to be read.
type UpdateKind uint8

// The kinds of news from discovery.
const (
	UpdateFull   UpdateKind = iota // everything there is
	UpdateCached                   // everything there was when last seen
	UpdateDelta                    // changed entries only
	UpdateFailed                   // a call failed, or the subscription ended; nothing else changed
)

// EndpointUpdate is news from discovery. Servers is not kept.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// Unqueued goes with UpdateFailed: no call waited in turn behind others; discovery is out of reach, not overbooked.
	DiscoveryUnreachable bool
}

// Request is a client's request; it is owed one final answer.
type Request struct {
	ID            RequestID
	Class, Tenant int
	ExpectedWork  float64 // expected work, 0 if unknown
	Key           uint64
	Timeout       float64 // time until the client gives this try up
	ClientRetry   bool    // the client says that it tried before
	Write         bool
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverExecuted tells which of them prove that nothing ran.
const (
	OK Result = iota
	Failed
	Overloaded
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Obsolete
)

// NeverExecuted reports whether the result proves that the attempt was not executed.
func (r Result) NeverExecuted() bool { return r == Overloaded || r == ConnectFailed || r == Obsolete }

// Outcome is the end of an attempt; each attempt gets one.
type Outcome struct {
	Request     RequestID
	Attempt     int
	Server      ServerID
	Result      Result
	Elapsed     float64
	RequestDone bool      // the request needs no answer (any more)
	LoadReport  []float32 // load report, empty if none; not kept
}

// StreamStarted says that a streamed answer has begun; the client owns the attempt now.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Elapsed float64
}

// ClientDisconnected says that the client is gone; no answer is owed.
type ClientDisconnected struct{ Request RequestID }

// TimerFired is a timer set by SetTimer that came due.
type TimerFired struct{ Token uint64 }

// HealthCheckResult is what a probe found.
type HealthCheckResult struct {
	Server     ServerID
	Result     Result
	Elapsed    float64
	LoadReport []float32 // not kept
}

// GossipMessage is a message from another sidecar. Data is not kept.
type GossipMessage struct {
	From int
	Data []byte
}

// AllTenants stands for every request of the sidecar, whatever its tenant.
const AllTenants = -1

// Placement is what the fleet has agreed on beyond the list, whole each time: what it no longer holds is over.
// Nothing of it is kept. It says nothing of servers that are not listed.
type Placement struct {
	Exclusions []Exclusion // followed in this order, as far as enough servers are left
	HotKeys    []HotKey    // none twice; without KeyAffinity they mean nothing
}

// Exclusion has the requests of a tenant keep off servers, as long as others can take them.
type Exclusion struct {
	ID           int // by which Suspended names it
	Tenant       int // or AllTenants
	Servers      []ServerID
	MinAvailable float64 // of the tenant's ready servers, by rating, have to be left: 0 to 1
	ExpiresAt    float64 // it ends by itself then
}

// HotKey has copies carry a part of a key's requests, beside the key's own servers.
type HotKey struct {
	Key       uint64
	Replicas  []Replica
	ExpiresAt float64 // it ends by itself then
}

// Replica is a server that carries a part of a spread key.
type Replica struct {
	Server       ServerID
	LoadFraction float64 // of the key's load, 0 to 1; 0: a trickle
}

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (Outcome) event()            {}
func (StreamStarted) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (HealthCheckResult) event()  {}
func (GossipMessage) event()      {}
func (Placement) event()          {}

// ActionKind says what to do.
type ActionKind uint8

// The actions; the comment names the fields of Action that count.
const (
	Send                 ActionKind = iota // Request, Server, At: the attempt is dropped then (0: at the client's deadline)
	Reject                                 // Request, At: how long to hold off; a final answer: a retry does no harm
	Fail                                   // Request; a final answer that promises nothing
	Cancel                                 // Request, Attempt
	SetTimer                               // Token, At: time from now
	HealthCheck                            // Server
	CloseIdleConnections                   // Server
	SendGossip                             // Peer (-1: all), Data
	Log                                    // Text
	WatchEndpoints                         // subscribe to the server list
	FetchEndpoints                         // ask for the whole list once
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Server  ServerID
	At      float64
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
}
