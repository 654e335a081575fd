package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// countedEvent is something that happens to requests, attempts and connections, with its reason.
type countedEvent uint8

const (
	answeredServed          countedEvent = iota // by a server's response
	answeredRejected                            // by the balancer: a retry is harmless
	answeredFailed                              // by the balancer
	answeredTimedOut                            // at the client's deadline
	answeredOverdue                             // the balancer did not answer in time
	answeredAtDrainEnd                          // the process is about to end
	abandonedByClient                           // no answer is due
	rejectedMalformed                           // 4xx
	rejectedBodyMemory                          // no memory for the body
	rejectedInFlight                            // too many requests in flight
	attemptFirst                                // decided
	attemptRetry                                // decided, after an attempt that ended without an answer
	attemptNotSent                              // its first or last byte was not written
	clientConnAccepted                          //
	clientConnEvictedForNew                     // the table is full
	clientConnEvictedIdle                       // too many have carried a request
	clientConnShutByDrain                       // without a request
	clientConnClosed                            // by net/http: the client has gone, a timeout, the last response
	upstreamConnDialed                          //
	upstreamConnDialFailed                      //
	upstreamConnUnusable                        // the server has closed it, or has sent more than its response
	upstreamConnExpired                         // idle for too long
	upstreamConnEvicted                         // to make room for another
	upstreamConnWithdrawn                       // the server is draining, removed or restarted
	upstreamConnEnded                           // by an exchange that ended otherwise than with a complete response
	acceptFailed                                //
	watchFailed                                 // of discovery
	reloadFailed                                //
	countedEventCount
)

var countedEventNames = [countedEventCount]string{
	"answered_served", "answered_rejected", "answered_failed", "answered_timed_out", "answered_overdue", "answered_at_drain_end",
	"abandoned_by_client", "rejected_malformed", "rejected_body_memory", "rejected_in_flight",
	"attempt_first", "attempt_retry", "attempt_not_sent",
	"client_conn_accepted", "client_conn_evicted_for_new", "client_conn_evicted_idle", "client_conn_shut_by_drain", "client_conn_closed",
	"upstream_conn_dialed", "upstream_conn_dial_failed", "upstream_conn_unusable", "upstream_conn_expired",
	"upstream_conn_evicted", "upstream_conn_withdrawn", "upstream_conn_ended",
	"accept_failed", "watch_failed", "reload_failed",
}

// String returns the name under which the event is logged.
func (e countedEvent) String() string { return countedEventNames[e] }

const (
	// maxLoggedViolations bounds the log lines for each invariant; all violations are counted.
	maxLoggedViolations = 20
	// counterLogInterval is how often the counts are logged, if they have changed.
	counterLogInterval = time.Minute
)

// monitor counts what happens and why, and the violations of invariants. Its methods are safe for concurrent use. A nil
// monitor counts nothing.
type monitor struct {
	violations [invariantCount]atomic.Int64
	events     [countedEventCount]atomic.Int64
}

// count counts an event.
func (m *monitor) count(event countedEvent) {
	if m != nil {
		m.events[event].Add(1)
	}
}

// recordViolation counts a violation and logs it with attributes that identify the request or connection.
func (m *monitor) recordViolation(rule invariant, attributes ...any) {
	if m == nil {
		return
	}
	if count := m.violations[rule].Add(1); count <= maxLoggedViolations {
		invariantLog.Error("invariant violated", append([]any{"rule", rule.String(), "count", count}, attributes...)...)
	}
}

// totalViolations is the number of violations of all invariants.
func (m *monitor) totalViolations() (sum int64) {
	for i := range m.violations {
		sum += m.violations[i].Load()
	}
	return sum
}

// logCounters logs all counts that are not 0, and the number of violations.
func (m *monitor) logCounters() {
	attributes := []any{"violations", m.totalViolations()}
	for i := range m.events {
		if count := m.events[i].Load(); count > 0 {
			attributes = append(attributes, countedEvent(i).String(), count)
		}
	}
	slog.Info("counters", attributes...)
}

// logPeriodically logs the counts each interval in which requests came, until ctx ends.
func (m *monitor) logPeriodically(ctx context.Context) {
	ticker := time.NewTicker(counterLogInterval)
	defer ticker.Stop()
	var logged int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if attempts := m.events[attemptFirst].Load() + m.events[answeredRejected].Load(); attempts != logged {
			logged = attempts
			m.logCounters()
		}
	}
}
