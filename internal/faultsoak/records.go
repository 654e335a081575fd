package faultsoak

import (
	"sync"
	"time"
)

// class is a class of requests of the soak.
type class struct {
	name     string
	method   string
	keyed    bool
	deadline time.Duration
	// Of a keyed class: its deduplication window, and whether one cell or all servers know a key.
	window time.Duration
	byCell bool
	// repeatable: a rejection is allowed whatever has become of earlier attempts.
	repeatable    bool
	nonIdempotent bool // may be executed once only
}

// newClasses returns the classes of a run. The longest deadline decides when SIGKILL may come at the earliest after SIGTERM, and the
// window until when a request may be sent again.
func newClasses(longestDeadline, shortWindow time.Duration) []class {
	return []class{
		{name: "lookup", method: "GET", deadline: min(1500*time.Millisecond, longestDeadline), repeatable: true},
		{name: "reserve", method: "POST", keyed: true, deadline: 1200 * time.Millisecond, window: shortWindow, byCell: true},
		{name: "quote", method: "POST", keyed: true, deadline: longestDeadline, window: 5 * time.Second, repeatable: true},
		{name: "charge", method: "POST", deadline: time.Second, nonIdempotent: true},
	}
}

// killAfterTerm is when SIGKILL may come at the earliest after SIGTERM, by the longest deadline of the classes.
func killAfterTerm(classes []class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].deadline)
	}
	return min(longest, maxDeadlineCounted) + graceAfterTerm
}

const (
	// maxDeadlineCounted is the most that a deadline counts for until SIGKILL, by the protocol.
	maxDeadlineCounted = 3 * time.Second
	// graceAfterTerm is by how much SIGKILL comes later than the longest deadline. What comes later than this after SIGTERM and is
	// unanswered when SIGKILL comes is lost.
	graceAfterTerm = 700 * time.Millisecond
)

// requestRecord is what is known of one request.
type requestRecord struct {
	ID      string
	Class   *class
	Sidecar int
	Kind    string // of client
	Timeout time.Duration
	SentAt  time.Time // its last byte was written; zero: it never was
	beganAt time.Time // its first part was written, of one that is written slowly; zero: it is written at once
	key     int       // of the client's data
	size    int       // of the body

	resentAt       time.Time // sent once more, as a close crossed it
	dueAt          time.Time // the answer, without any grace
	DisconnectedAt time.Time // the client closed its connection; zero: it waited
	AnsweredAt     time.Time
	Status         int
	Body           string
	Outcome        outcome
	Attempts       []*attemptRecord
	Executions     []execution
}

// began is when a request's first byte was written, by when its last one was.
func (r *requestRecord) began(sentAt time.Time) time.Time {
	if r.beganAt.IsZero() {
		return sentAt
	}
	return r.beganAt
}

// outcome is how a request ended for its client.
type outcome string

const (
	outcomePending      outcome = ""
	outcomeAnswered     outcome = "answered"
	outcomeUnreachable  outcome = "unreachable" // no connection
	outcomeClosed       outcome = "closed"      // the connection ended without an answer
	outcomeSilent       outcome = "silent"      // no answer came in time
	outcomeDisconnected outcome = "left"        // by the client
	outcomeExcused      outcome = "excused"     // the process was killed
	outcomeClosedUnread outcome = "shut unread" // a new connection ended without an answer in a crowd
)

// attemptRecord is one request on a link, as the proxy saw it.
type attemptRecord struct {
	Sidecar, Server  int
	FirstByteAt      time.Time
	LastByteAt       time.Time
	EndedAt          time.Time // the response was written, or the sidecar closed its connection; zero: neither
	ForwardedTimeout time.Duration
}

// execution is one execution of a request by a server.
type execution struct {
	Server int
	Key    string
	At     time.Time
}

// listRecord is a change of the endpoint list, as one sidecar has to know it.
type listRecord struct {
	Sidecar, Server int
	publishedAt     time.Time // discovery has it
	KnownAt         time.Time // counts as known by the sidecar
	Withdrawn       bool      // the server is draining or removed, else it is ready
	StartedAt       time.Time // of the server's process; zero: long ago
}

// records collect what happens in a run.
type records struct {
	slack time.Duration // added to each time limit, for a machine that is busy with other work

	mu         sync.Mutex
	requests   map[string]*requestRecord
	unknown    []string // requests that reached a server and that no client sent
	lists      []listRecord
	violations []Violation
}

func newRecords(slack time.Duration) *records {
	return &records{slack: slack, requests: map[string]*requestRecord{}}
}

func (r *records) addRequest(request *requestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request.ID] = request
}

// update changes a record under the lock.
func (r *records) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *records) addAttempt(id string, attempt *attemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	if request == nil {
		r.unknown = append(r.unknown, id)
		return
	}
	request.Attempts = append(request.Attempts, attempt)
}

func (r *records) addExecution(id string, executed execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request := r.requests[id]; request != nil {
		request.Executions = append(request.Executions, executed)
	}
}

func (r *records) addList(list listRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, list)
}

// violate records a violation that is found while the run goes on.
func (r *records) addViolation(rule, request, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Rule: rule, Request: request, Detail: detail})
}
