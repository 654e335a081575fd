package sidecar

import (
	"errors"
	"fmt"
	"time"

	"milldeck/balance"
)

// Reasons why an attempt is not begun after all. Each wraps errObsolete: the server is not to blame.
var (
	errCallAnswered        = fmt.Errorf("%w: the call is answered", errObsolete)
	errWriteDeadlinePassed = fmt.Errorf("%w: its time to be written is over", errObsolete)
	errClientDisconnected  = fmt.Errorf("%w: the client has gone", errObsolete)
	errUpstreamRetired     = fmt.Errorf("%w: the server is withdrawn", errObsolete)
	errInvariantViolation  = fmt.Errorf("%w: an invariant forbids it", errObsolete)
)

const (
	// timeoutSlack is by how much the timeout that a server gets may exceed what the client has left: the process may be
	// held up between reading its clock and writing.
	timeoutSlack = schedulingAllowance
	// disconnectGrace is how long after a client has gone an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
)

// sendGuard decides at the last moment whether an attempt may begin: every first byte to a server passes it, of a first
// attempt, a retry and a move to another connection alike. The event loop and the balancer decide earlier, by what they
// knew then. What they must never decide the guard prevents and counts as a violation.
type sendGuard struct {
	monitor *monitor
}

// admit returns nil if the attempt may begin now, else an error that wraps errObsolete. The caller holds the write lock of
// the call until the request is written.
func (g sendGuard) admit(a *attempt, now time.Time) error {
	call := a.call
	switch {
	case call.answered.Load():
		return errCallAnswered
	case !now.Before(a.writeDeadline()):
		return errWriteDeadlinePassed
	case a.upstream.retired.Load():
		return errUpstreamRetired
	case call.client != nil && call.client.disconnectErr() != nil:
		return errClientDisconnected
	}
	for _, earlier := range call.startedAttempts {
		if earlier == a {
			continue
		}
		if !earlier.ended && earlier.fullyWritten.Load() {
			g.monitor.recordViolation(invariantOneAttempt, "request", call.clientID, "attempt", a.number, "in_flight", earlier.number)
			return errInvariantViolation
		}
		if earlier.mayHaveExecuted && !mayRepeat(call, earlier, a) {
			g.monitor.recordViolation(invariantNoRepeat, "request", call.clientID, "attempt", a.number, "earlier", earlier.number)
			return errInvariantViolation
		}
	}
	if len(call.startedAttempts) == 0 || call.startedAttempts[len(call.startedAttempts)-1] != a {
		call.startedAttempts = append(call.startedAttempts, a)
	}
	return nil
}

// mayRepeat reports whether a call may go to a server although an earlier attempt may have been executed. Time is no
// matter here: the attempt's write deadline bounds it.
func mayRepeat(call *call, earlier, next *attempt) bool {
	switch call.class.Idempotency {
	case balance.Idempotent:
		return true
	case balance.NonIdempotent:
		return false
	case balance.IdempotentWithKey:
	}
	switch call.class.DeduplicationScope {
	case balance.ScopeZone:
		return earlier.upstream.zone == next.upstream.zone
	case balance.ScopeCell:
		return earlier.upstream.cell == next.upstream.cell
	case balance.ScopeAll:
	}
	return true
}

// checkWritten checks, once a request is completely written, that nothing has changed meanwhile which forbade it. timeout is
// what the server was given.
func (g sendGuard) checkWritten(a *attempt, timeout time.Duration, now time.Time) {
	call := a.call
	if call.responded.Load() {
		g.monitor.recordViolation(invariantNothingAfterAnswer, "request", call.clientID, "attempt", a.number)
	}
	if remaining := call.deadline.Sub(now); timeout > remaining+timeoutSlack {
		g.monitor.recordViolation(invariantTimeoutPassedOn, "request", call.clientID, "attempt", a.number, "timeout", timeout, "remaining", remaining)
	}
	if since, disconnected := call.clientDisconnectedSince(); disconnected && a.startedAt.Sub(since) > disconnectGrace {
		g.monitor.recordViolation(invariantNothingAfterDisconnect, "request", call.clientID, "attempt", a.number, "after", a.startedAt.Sub(since))
	}
}

// recordEnd records that an attempt is over: its connection is closed, or has carried the complete response.
func (g sendGuard) recordEnd(a *attempt, result balance.Result) {
	a.call.writeMu.Lock()
	defer a.call.writeMu.Unlock()
	a.ended = true
	a.mayHaveExecuted = a.fullyWritten.Load() && !result.NeverExecuted()
}

// notSentReason is the text of the reason why an attempt was not sent, for logs.
func notSentReason(err error) string {
	if err == nil {
		return ""
	}
	if errors.Is(err, errNoSocketAvailable) {
		return "no socket"
	}
	return err.Error()
}
