package balance

// ActionKind says what the caller is to do.
type ActionKind uint8

// The kinds of actions. The comment names the fields of Action that a kind uses.
const (
	Send                 ActionKind = iota // Request, Server, At: time at which the attempt is given up (0: the client's deadline)
	Reject                                 // Request, At: Retry-After; a final answer that says that a retry is safe
	Fail                                   // Request; a final answer that promises nothing
	Cancel                                 // Request, Attempt
	SetTimer                               // Token, At: the delay
	HealthCheck                            // Server
	CloseIdleConnections                   // Server
	SendGossip                             // Peer (-1: all), Data
	Log                                    // Text
	WatchEndpoints                         // subscribe to the endpoint list
	FetchEndpoints                         // request the complete list once
)

// Action is one thing that the caller is to do. Actions are carried out in the order in which they are returned.
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
