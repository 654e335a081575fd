package balance

// ActionKind says what the caller is to do.
type ActionKind uint8

// The kinds of actions. The comment names the fields of Action that a kind uses.
const (
	Send                 ActionKind = iota // Request, Server, Deadline
	Reject                                 // Request, RetryAfter; a final answer that says that a retry is safe
	Fail                                   // Request; a final answer that promises nothing
	Cancel                                 // Request, Attempt
	SetTimer                               // Token, Delay
	HealthCheck                            // Server
	CloseIdleConnections                   // Server
	SendGossip                             // Peer, Data
	Log                                    // Text
	WatchEndpoints                         // subscribe to the endpoint list
	FetchEndpoints                         // request the complete list once
)

// Action is one thing that the caller is to do. Actions are carried out in the order in which they are returned.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Server     ServerID
	Deadline   float64 // time at which the attempt is given up; 0: at the client's deadline
	RetryAfter float64 // how long the client should wait before it retries; 0: the answer does not say
	Delay      float64 // from now until the timer fires
	Token      uint64  // by which TimerFired names the timer
	Peer       int     // SidecarIndex of the receiver; -1: all sidecars
	Data       []byte
	Text       string
}
