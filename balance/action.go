package balance

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions. Each comment lists the fields of Action that the kind uses.
const (
	Send                 ActionKind = iota // Request, Server, Deadline
	Reject                                 // Request, RetryAfter; a final answer which states that a retry is safe
	Fail                                   // Request; a final answer that makes no such promise
	Cancel                                 // Request, Attempt
	SetTimer                               // Token, Delay
	HealthCheck                            // Server
	CloseIdleConnections                   // Server
	SendGossip                             // Peer, Data
	Log                                    // Text
	WatchEndpoints                         // subscribe to the endpoint list
	FetchEndpoints                         // request the complete list once
)

// Action is one instruction to the caller. The caller executes actions in the order in which Handle returns them.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Server     ServerID
	Deadline   float64 // time at which the caller gives up the attempt; 0: the client's deadline
	RetryAfter float64 // how long the client should wait before it retries; 0: the answer carries none
	Delay      float64 // from now until the timer fires
	Token      uint64  // identifies the timer in TimerFired
	Peer       int     // SidecarIndex of the receiver; -1: all sidecars
	Data       []byte
	Text       string
}
