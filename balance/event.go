package balance

// ServerID identifies a server. It has no other meaning.
type ServerID uint64

// RequestID identifies a request. It is below 2^52. A client that retries sends a request with another ID.
type RequestID uint64

// ServerState is the state of a server in discovery.
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
	StartedAt        float64 // time of its last start; 0: long ago
	RelativeCapacity float64 // relative to the other servers; 1 if unknown
	Cell, Zone, Kind int     // Kind is the kind of machine
}

// Event is an observation of a sidecar: one of the types in this file. Request and Outcome may also be passed by
// pointer.
type Event interface{ event() }

// UpdateKind determines how an endpoint update is applied.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateFull   UpdateKind = iota // the complete list; servers that it does not contain were removed
	UpdateCached                   // the complete list as last known, possibly stale
	UpdateDelta                    // changed entries only
	UpdateFailed                   // a poll failed or the subscription ended; the list stays unchanged
)

// EndpointUpdate is an update of the endpoint list from discovery. Handle does not retain Servers.
type EndpointUpdate struct {
	Kind    UpdateKind
	Servers []Server
	// DiscoveryUnreachable accompanies UpdateFailed: discovery cannot be reached, as opposed to being too busy to
	// answer.
	DiscoveryUnreachable bool
}

// DiscoveryAddressChanged reports that the sidecar follows discovery at another address and has polled it there.
type DiscoveryAddressChanged struct{}

// Request is a client's request. It receives exactly one final answer.
type Request struct {
	ID            RequestID
	Class, Tenant int
	ExpectedWork  float64 // milliseconds of a standard core; 0: unknown
	Key           uint64  // identifies the subject of the request; 0: it has none
	Timeout       float64 // time after which the client gives up the request
	ClientRetry   bool    // the client states that it retries
	Write         bool
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results. Result.NeverExecuted reports which of them prove that the attempt was not executed.
const (
	OK            Result = iota
	Failed               // the server answered with an error
	Overloaded           // the server rejected the attempt without executing it
	TimedOut             // no answer came in time
	ConnectFailed        // no connection was made
	Reset                // the connection broke
	Cancelled            // by a Cancel action
	Obsolete             // the attempt was never sent: the request had ended, or a limit was reached
)

// NeverExecuted reports whether the result proves that the attempt was not executed.
func (r Result) NeverExecuted() bool { return r == Overloaded || r == ConnectFailed || r == Obsolete }

// Outcome reports the end of an attempt. Each Send action is followed by exactly one Outcome.
type Outcome struct {
	Request     RequestID
	Attempt     int // of the request, from 0
	Server      ServerID
	Result      Result
	Elapsed     float64   // since the attempt was sent
	RequestDone bool      // the request needs no final answer, or no longer needs one
	LoadReport  []float32 // in the order of Config.LoadReportFields; empty if there is none; not retained
}

// StreamStarted reports that a streamed answer has started. From then on the client owns the attempt, and no deadline
// applies.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Elapsed float64 // since the attempt was sent
}

// ClientDisconnected reports that the client of a request has disconnected. The request needs no final answer.
type ClientDisconnected struct{ Request RequestID }

// TimerFired reports that a timer set by a SetTimer action is due. A rounding error may make it early.
type TimerFired struct{ Token uint64 }

// HealthCheckResult is the result of a HealthCheck action.
type HealthCheckResult struct {
	Server     ServerID
	Result     Result
	Elapsed    float64   // since it was sent
	LoadReport []float32 // as Config.LoadReportFields says; empty if there is none; not retained
}

// GossipMessage is a message from another sidecar. Handle does not retain Data.
type GossipMessage struct {
	From int // SidecarIndex of the sender
	Data []byte
}

// AllTenants stands for all requests of the sidecar, whatever their tenant.
const AllTenants = -1

// Placement holds the directives of the control plane beyond the endpoint list. Each Placement replaces the previous
// one. Handle retains no reference to its slices and ignores servers that are not listed.
type Placement struct {
	Exclusions []Exclusion // applied in this order, as long as enough servers remain
	HotKeys    []HotKey    // no key twice; ignored without Config.KeyAffinity
}

// Exclusion directs a tenant's requests away from servers, as long as other servers can serve them.
type Exclusion struct {
	ID           int // identifies the exclusion in SuspendedExclusions
	Tenant       int // or AllTenants
	Servers      []ServerID
	MinAvailable float64 // minimum fraction of the tenant's ready servers, by capacity, that must remain: 0 to 1
	ExpiresAt    float64 // time at which the exclusion expires
}

// HotKey directs a part of a key's requests to replicas, in addition to the servers that key affinity
// selects for the key.
type HotKey struct {
	Key       uint64
	Replicas  []Replica
	ExpiresAt float64 // time at which the directive expires
}

// Replica is a server that receives a part of the load of a hot key.
type Replica struct {
	Server       ServerID
	LoadFraction float64 // of the key's load, 0 to 1; 0: only enough to warm the replica up
}

func (EndpointUpdate) event()          {}
func (DiscoveryAddressChanged) event() {}
func (Request) event()                 {}
func (Outcome) event()                 {}
func (StreamStarted) event()           {}
func (ClientDisconnected) event()      {}
func (TimerFired) event()              {}
func (HealthCheckResult) event()       {}
func (GossipMessage) event()           {}
func (Placement) event()               {}
