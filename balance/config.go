package balance

// Idempotency says whether a request may be executed more than once.
type Idempotency uint8

// The kinds of idempotency that a class of requests can have.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // servers in the deduplication scope discard a repeat within a window
	NonIdempotent                        // must never be executed twice
)

// DeduplicationScope is the set of servers that recognise a repeated request by its idempotency key.
type DeduplicationScope uint8

// The deduplication scopes.
const (
	ScopeAll  DeduplicationScope = iota // all servers
	ScopeZone                           // the servers of a zone
	ScopeCell                           // the servers of a cell
)

// Class describes one class of requests.
type Class struct {
	Idempotency        Idempotency
	DeduplicationScope DeduplicationScope
	// IdempotencyWindow is how long the servers of the scope remember a key, from the first attempt that may have
	// been executed.
	IdempotencyWindow float64
	// LatencyObjective is the latency within which an answer earns the full PriorityWeight.
	LatencyObjective float64
	// LatencyObjectivePerWork extends the objective by this multiple of the request's own work.
	LatencyObjectivePerWork float64
	// Deadline is the longest time that a client waits, over all attempts of a request.
	Deadline float64
	// PriorityWeight is the value of a request that is served in time, relative to other classes.
	PriorityWeight float64
	// LateWeight is the fraction of PriorityWeight that an answer after the objective still earns.
	LateWeight float64
	// Streaming classes answer with a stream. Once the stream has started, the client owns the attempt.
	Streaming bool
}

// Tenant is one customer of the service.
type Tenant struct {
	QuotaRate float64 // requests a second within its quota, over all sidecars
	Quota     float64 // fraction of all requests that is within its quota, 0 to 1; 0: no quota
}

// LoadReportMode is the way in which the load reports of servers reach a sidecar.
type LoadReportMode uint8

// The modes of load reports.
const (
	LoadReportNone        LoadReportMode = iota // servers send none
	LoadReportPiggyback                         // with each answer
	LoadReportHealthCheck                       // with the answer to a health check only
)

// LoadReportField is the meaning of one figure in a load report.
type LoadReportField uint8

// The fields of a load report. The balancer skips FieldUnknown.
const (
	FieldUnknown     LoadReportField = iota
	FieldInFlight                    // requests being handled
	FieldQueueLength                 // requests waiting
	FieldUtilization                 // fraction of CPU in use
	FieldLatency                     // recent service time
	FieldRequestRate                 // requests served a second
	FieldErrorRate                   // errors a second
)

// Config holds the settings of one sidecar. New validates them.
type Config struct {
	Seed         uint64 // of the sidecar's pseudo-random numbers
	SidecarIndex int    // index of this sidecar, from 0
	SidecarCount int    // number of sidecars in the fleet, including this one
	Zone         int    // zone of this sidecar

	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // value of a request beyond its tenant's quota; within the quota it is 1
	EventInterval   float64 // minimum time between two batches of events

	KeyAffinity      bool // a server that recently served a key serves it again with less work
	Subscribe        bool // the sidecar must subscribe to the endpoint list
	LoadReports      LoadReportMode
	LoadReportFields []LoadReportField // contents of a load report, in order

	MaxAttempts           int     // of a request
	AllowParallelAttempts bool    // two attempts of a request may be in flight at the same time
	AllowCancel           bool    // attempts may be cancelled
	AllowHealthChecks     bool    // servers may be sent health checks
	AllowGossip           bool    // sidecars may send each other messages
	SendRetryAfter        bool    // rejected clients receive a Retry-After
	MaxRetryAfter         float64 // the longest Retry-After that clients honour
	ConnectTimeout        float64 // of an attempt

	DrainGracePeriod     float64 // attempts at a draining or removed server must end within this time
	SlowStartMinCapacity float64 // minimum fraction of its capacity that a server has when it starts
	SlowStartDuration    float64 // time after which a server has its full capacity
	OverloadMultiple     float64 // a server in slow start that receives more than this multiple of its capacity ...
	OverloadDuration     float64 // ... for this long fails
	PollInterval         float64 // without a subscription, the maximum time between polls of the endpoint list; 0: no limit
	AnswerGracePeriod    float64 // an answer up to this long after the client's deadline still counts

	Objective Objective
	Costs     Costs
}

// Objective holds the weights of the parts of the score by which a deployment is judged. Load shedding uses them.
type Objective struct {
	Overall     float64 // weight of the result over all requests
	WorstWindow float64 // weight of the result in the worst window of time
	WorstClass  float64 // weight of the result of the worst-served class
	WorstTenant float64 // weight of the result of the worst-served tenant
}

// Costs holds the costs that are subtracted from the score; see Objective.
type Costs struct {
	CrossZone   float64 // cost of attempts in other zones, as a fraction of first attempts
	WastedWork  float64 // cost of server work that led to no answer, as a fraction of the offered work
	Handshake   float64 // cost of a new connection, per first attempt
	HealthCheck float64 // cost of a health check, per first attempt
	Gossip      float64 // cost of 256 bytes of gossip delivered, per first attempt
	LateFailure float64 // cost of the priority weight that is still unserved after its latency objective
}
