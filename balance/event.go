package balance

// ServerID names a server; it carries no meaning beyond identity.
type ServerID uint64

// RequestID names a request, below 2^52; a client that retries sends a request with another ID.
type RequestID uint64

// ServerState is what discovery knows of a server.
type ServerState uint8

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is one entry of the endpoint list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // when it last started; 0: long ago
	RelativeCapacity float64 // to be compared with that of other servers; 1 where nothing is known
	Cell, Zone, Kind int     // Kind is the kind of machine
}

// Event is what a sidecar observes: one of the types of this file. Requests and outcomes may also be passed by pointer.
type Event interface{ event() }

// UpdateKind says how an endpoint update is to be read.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateFull   UpdateKind = iota // the complete list; what it does not name was removed
	UpdateCached                   // the complete list as it was last known, possibly stale
	UpdateDelta                    // changed entries only
	UpdateFailed                   // a poll failed or the subscription ended; the list stays as it is
)

// EndpointUpdate is an update of the endpoint list from discovery. Servers is not retained.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// DiscoveryUnreachable goes with UpdateFailed: discovery cannot be reached, rather than being too busy to answer.
	DiscoveryUnreachable bool
}

// Request is a request of a client. Exactly one final answer is due.
type Request struct {
	ID            RequestID
	Class, Tenant int
	ExpectedWork  float64 // milliseconds of a standard core; 0: unknown
	Key           uint64  // of its subject; 0: it has none
	Timeout       float64 // after which the client gives this request up
	ClientRetry   bool    // the client says that it retries
	Write         bool
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results; Result.NeverExecuted tells which of them prove that the attempt was not executed.
const (
	OK            Result = iota
	Failed               // the server answered with an error
	Overloaded           // the server rejected the attempt without executing it
	TimedOut             // no answer came in time
	ConnectFailed        // no connection was made
	Reset                // the connection broke
	Cancelled            // by a Cancel action
	Obsolete             // it was never sent: the request had ended, or a limit was reached
)

// NeverExecuted reports whether the result proves that the attempt was not executed.
func (r Result) NeverExecuted() bool { return r == Overloaded || r == ConnectFailed || r == Obsolete }

// Outcome is the end of an attempt. Each Send action gets exactly one.
type Outcome struct {
	Request     RequestID
	Attempt     int // of the request, from 0
	Server      ServerID
	Result      Result
	Elapsed     float64   // since it was sent
	RequestDone bool      // the request needs no final answer, or no longer
	LoadReport  []float32 // as Config.LoadReportFields says; empty if there is none; not retained
}

// StreamStarted says that a streamed answer has started. The client owns the attempt from then on: no deadline applies.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Elapsed float64 // since it was sent
}

// ClientDisconnected says that the client of a request has gone. No final answer is due.
type ClientDisconnected struct{ Request RequestID }

// TimerFired says that a timer set by a SetTimer action is due. It may come early by a rounding error.
type TimerFired struct{ Token uint64 }

// HealthCheckResult is the result of a HealthCheck action.
type HealthCheckResult struct {
	Server     ServerID
	Result     Result
	Elapsed    float64   // since it was sent
	LoadReport []float32 // as Config.LoadReportFields says; empty if there is none; not retained
}

// GossipMessage is a message from another sidecar. Data is not retained.
type GossipMessage struct {
	From int // its SidecarIndex
	Data []byte
}

// AllTenants stands for every request of the sidecar, whatever its tenant.
const AllTenants = -1

// Placement is what the control plane directs beyond the endpoint list. Each one replaces the one before; nothing of it
// is retained by reference, and servers that are not listed are ignored.
type Placement struct {
	Exclusions []Exclusion // applied in this order, as far as enough servers remain
	HotKeys    []HotKey    // no key twice; ignored without Config.KeyAffinity
}

// Exclusion directs the requests of a tenant away from servers, as long as others can serve them.
type Exclusion struct {
	ID           int // by which SuspendedExclusions names it
	Tenant       int // or AllTenants
	Servers      []ServerID
	MinAvailable float64 // fraction of the tenant's ready servers, by capacity, that must remain: 0 to 1
	ExpiresAt    float64 // time at which it ends by itself
}

// HotKey directs a part of a key's requests to replicas, beside the servers that the key has by itself.
type HotKey struct {
	Key       uint64
	Replicas  []Replica
	ExpiresAt float64 // time at which it ends by itself
}

// Replica is a server that carries a part of the load of a hot key.
type Replica struct {
	Server       ServerID
	LoadFraction float64 // of the key's load, 0 to 1; 0: as little as warms it up
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
