package faultsoak

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// class is a request class of the soak.
type class struct {
	name     string
	method   string
	keyed    bool
	deadline time.Duration
	// For a keyed class: its deduplication window, and whether only the servers of one cell share the idempotency keys.
	// Otherwise all servers share them.
	window time.Duration
	byCell bool
	// repeatable: a request may be rejected even if an earlier attempt was executed.
	repeatable    bool
	nonIdempotent bool // must be executed at most once
}

// newClasses returns the classes of a run. The longest deadline determines how soon after SIGTERM SIGKILL may come (see
// killAfterTerm). shortWindow is the deduplication window of the class whose keys only one cell knows: a request of this class
// may be sent again only within the window.
func newClasses(longestDeadline, shortWindow time.Duration) []class {
	return []class{
		{name: "lookup", method: "GET", deadline: min(1500*time.Millisecond, longestDeadline), repeatable: true},
		{name: "reserve", method: "POST", keyed: true, deadline: 1200 * time.Millisecond, window: shortWindow, byCell: true},
		{name: "quote", method: "POST", keyed: true, deadline: longestDeadline, window: 5 * time.Second, repeatable: true},
		{name: "charge", method: "POST", deadline: time.Second, nonIdempotent: true},
	}
}

// killAfterTerm returns the shortest time between SIGTERM and SIGKILL that the protocol allows for these classes.
func killAfterTerm(classes []class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].deadline)
	}
	return min(longest, maxDeadlineCounted) + graceAfterTerm
}

const (
	// maxDeadlineCounted limits how much of the longest deadline counts towards the time between SIGTERM and SIGKILL, by the
	// protocol.
	maxDeadlineCounted = 3 * time.Second
	// graceAfterTerm is added to the counted part of the longest deadline to get the time between SIGTERM and SIGKILL. A
	// request that is sent more than graceAfterTerm after SIGTERM counts as lost if it is unanswered at SIGKILL.
	graceAfterTerm = 700 * time.Millisecond
)

type requestRecord struct {
	ID      string
	Class   *class
	Sidecar int
	Kind    string // kind of client behavior
	Timeout time.Duration
	SentAt  time.Time // time of writing the last byte; zero: never
	beganAt time.Time // just before the first byte is written; zero: counts as SentAt
	key     int       // sent as cookie k
	size    int       // of the body in bytes

	resentAt       time.Time // when it was sent once more, because the close of an idle connection raced with it
	dueAt          time.Time // deadline of the response, without any grace
	DisconnectedAt time.Time // the client closed its connection; zero: it did not disconnect early
	AnsweredAt     time.Time
	Status         int
	Body           string
	Outcome        outcome
	Attempts       []*attemptRecord
	Executions     []execution
}

// began returns when the first byte of a request was written. sentAt is when its last byte was written.
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
	outcomeUnreachable  outcome = "unreachable" // no connection, or the request could not be written on it
	outcomeClosed       outcome = "closed"      // the connection ended without a response
	outcomeSilent       outcome = "silent"      // no response arrived in time
	outcomeDisconnected outcome = "left"        // the client disconnected
	outcomeExcused      outcome = "excused"     // no response, but the sidecar was killed
	outcomeClosedUnread outcome = "shut unread" // a new connection ended without a response while descriptors were exhausted
)

// attemptRecord is one request that the proxy of a link received.
type attemptRecord struct {
	Sidecar, Server  int
	FirstByteAt      time.Time
	LastByteAt       time.Time
	EndedAt          time.Time // the response was written, or the sidecar closed its connection; zero: neither
	ForwardedTimeout time.Duration

	conn *net.TCPConn // of the sidecar; nil: unknown
	// copyOf is an earlier attempt of the same request, of any sidecar at any server, that was out on an open connection when the
	// last byte of this attempt came; nil: none was.
	copyOf *attemptRecord
}

// out reports whether the attempt has no response and the sidecar's connection is open. The kernel knows of a close at once, and
// the proxy only when it is scheduled.
func (a *attemptRecord) out() bool {
	return a.EndedAt.IsZero() && a.conn != nil && openAtPeer(a.conn)
}

// openAtPeer reports whether the peer has neither closed nor reset a connection.
func openAtPeer(conn *net.TCPConn) bool {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	controlErr := rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return controlErr == nil && (err == nil && n > 0 || errors.Is(err, unix.EAGAIN))
}

// execution records one execution of a request by a server.
type execution struct {
	Server int
	Key    string
	At     time.Time
}

// listRecord is a change of the endpoint list that one sidecar has to know from some time on.
type listRecord struct {
	Sidecar, Server int
	publishedAt     time.Time // when the soak published the change
	KnownAt         time.Time // the sidecar has to know the change from then on
	Withdrawn       bool      // the server is draining or removed; false: it is ready
	StartedAt       time.Time // start of the server's process; zero: before the run
}

// records collects the records of a run. It is safe for concurrent use.
type records struct {
	slack time.Duration // added to each time limit, because other work may keep the machine busy

	mu         sync.Mutex
	requests   map[string]*requestRecord
	unknown    []string // IDs of requests that a server received but no client sent
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

// update calls change with the lock held.
func (r *records) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// addAttempt records an attempt whose last byte has just come.
func (r *records) addAttempt(id string, attempt *attemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	if request == nil {
		r.unknown = append(r.unknown, id)
		return
	}
	for _, earlier := range request.Attempts {
		if earlier.out() {
			attempt.copyOf = earlier
		}
	}
	request.Attempts = append(request.Attempts, attempt)
}

// endAttempt records the end of an attempt, unless it has ended already.
func (r *records) endAttempt(attempt *attemptRecord) {
	r.update(func() {
		if attempt.EndedAt.IsZero() {
			attempt.EndedAt = time.Now()
		}
	})
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

// addViolation records a violation that is detected during the run.
func (r *records) addViolation(rule, request, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Rule: rule, Request: request, Detail: detail})
}
