package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// countedEvent is a kind of event of requests, attempts or connections, including its cause.
type countedEvent uint8

const (
	answeredServed          countedEvent = iota // with a server's response
	answeredRejected                            // by the balancer, with the promise that a retry is safe
	answeredFailed                              // by the balancer
	answeredTimedOut                            // by the balancer, at the client's deadline
	answeredOverdue                             // by the frontend, because the balancer did not answer in time
	answeredAtDrainEnd                          // by the frontend, because the process is about to end
	abandonedByClient                           // the client disconnected before the answer
	rejectedMalformed                           // with a 4xx status
	rejectedBodyMemory                          // too little memory for the request or its body
	rejectedInFlight                            // too many requests in flight
	attemptFirst                                // the balancer has decided on the first attempt of a call
	attemptRetry                                // decided after an earlier attempt ended without answering the call
	attemptNotSent                              // the request was not completely written
	clientConnAccepted                          //
	clientConnEvictedForNew                     // the table is full
	clientConnEvictedIdle                       // too many connections have carried a request
	clientConnShed                              // with a partial request, as memory or connections are short
	clientConnShutByDrain                       // no request was active
	clientConnClosed                            // by net/http: disconnect of the client, timeout, or last response
	upstreamConnDialed                          //
	upstreamConnDialFailed                      //
	upstreamConnReused                          // for another request
	upstreamConnUnusable                        // for any unusableReason
	upstreamConnTooIdle                         // unusable, as it was idle for longer than the learned limit
	upstreamConnSurplus                         // unusable, as the server has sent more than its response
	upstreamConnExpired                         // idle for too long
	upstreamConnEvicted                         // to free a descriptor for another connection
	upstreamConnWithdrawn                       // server draining, removed or restarted; action of the balancer; end of the sidecar
	upstreamConnEnded                           // not reusable after its exchange
	acceptFailed                                //
	watchFailed                                 // of discovery
	reloadFailed                                //
	discoveryCallOpened                         // a watch, or a request of the complete list
	discoveryCallUnanswered                     // given up before a list or a heartbeat arrived
	watchSilent                                 // an answered watch of discovery that sent no more lists and heartbeats
	countedEventCount
)

var countedEventNames = [countedEventCount]string{
	"answered_served", "answered_rejected", "answered_failed", "answered_timed_out", "answered_overdue", "answered_at_drain_end",
	"abandoned_by_client", "rejected_malformed", "rejected_body_memory", "rejected_in_flight",
	"attempt_first", "attempt_retry", "attempt_not_sent",
	"client_conn_accepted", "client_conn_evicted_for_new", "client_conn_evicted_idle", "client_conn_shed", "client_conn_shut_by_drain", "client_conn_closed",
	"upstream_conn_dialed", "upstream_conn_dial_failed",
	"upstream_conn_reused", "upstream_conn_unusable", "upstream_conn_too_idle", "upstream_conn_surplus", "upstream_conn_expired",
	"upstream_conn_evicted", "upstream_conn_withdrawn", "upstream_conn_ended",
	"accept_failed", "watch_failed", "reload_failed",
	"discovery_call_opened", "discovery_call_unanswered", "watch_silent",
}

// String returns the name of the event in logs.
func (e countedEvent) String() string { return countedEventNames[e] }

const (
	// maxLoggedViolations limits the log lines for each invariant. All violations are counted.
	maxLoggedViolations = 20
	// counterLogInterval is the interval at which the counts are logged, if new requests have arrived.
	counterLogInterval = time.Minute
)

// monitor counts events and violations of invariants. Its methods are safe for concurrent use. count and recordViolation do
// nothing on a nil monitor.
type monitor struct {
	violations [invariantCount]atomic.Int64
	events     [countedEventCount]atomic.Int64
}

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
		invariantLog.Error(InvariantViolatedMessage, append([]any{"rule", rule.String(), "count", count}, attributes...)...)
	}
}

// totalViolations returns the number of violations of all invariants.
func (m *monitor) totalViolations() (sum int64) {
	for i := range m.violations {
		sum += m.violations[i].Load()
	}
	return sum
}

// logCounters logs the number of violations and all nonzero event counts.
func (m *monitor) logCounters() {
	attributes := []any{"violations", m.totalViolations()}
	for i := range m.events {
		if count := m.events[i].Load(); count > 0 {
			attributes = append(attributes, countedEvent(i).String(), count)
		}
	}
	slog.Info("counters", attributes...)
}

// logPeriodically logs the counts after each interval in which requests arrived, until ctx ends.
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
