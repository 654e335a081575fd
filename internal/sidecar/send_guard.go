package sidecar

import (
	"errors"
	"fmt"
	"time"

	"milldeck/balance"
)

// Reasons why a decided attempt is not sent. Each wraps errObsolete, because the server did not fail.
var (
	errCallAnswered        = fmt.Errorf("%w: call is already answered", errObsolete)
	errWriteDeadlinePassed = fmt.Errorf("%w: write deadline has passed", errObsolete)
	errClientDisconnected  = fmt.Errorf("%w: client has disconnected", errObsolete)
	errUpstreamRetired     = fmt.Errorf("%w: server is withdrawn", errObsolete)
	errInvariantViolation  = fmt.Errorf("%w: attempt would violate an invariant", errObsolete)
)

const (
	// timeoutSlack is the most by which the timeout sent to a server may exceed the client's remaining time: the process may
	// be suspended between reading its clock and writing the request.
	timeoutSlack = schedulingAllowance
	// disconnectGrace is how long after the disconnect of a client an attempt may still start.
	disconnectGrace = 100 * time.Millisecond
)

// sendGuard makes the final check before the first byte of an attempt is written: of first attempts, of retries, and of
// attempts that move to another connection. The event loop and the balancer decide earlier, on older information. The guard
// rejects a decision that violates an invariant, and records the violation.
type sendGuard struct {
	monitor *monitor
}

// admit returns nil if the attempt may start now, otherwise an error that wraps errObsolete. The caller holds call.writeMu
// until the request is written.
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
		if earlier.mayHaveExecuted && !isRepeatSafe(call, earlier, a) {
			g.monitor.recordViolation(invariantNoRepeat, "request", call.clientID, "attempt", a.number, "earlier", earlier.number)
			return errInvariantViolation
		}
	}
	if len(call.startedAttempts) == 0 || call.startedAttempts[len(call.startedAttempts)-1] != a {
		call.startedAttempts = append(call.startedAttempts, a)
	}
	return nil
}

// isRepeatSafe reports whether a call may be sent to another server although an earlier attempt may have been executed. The end
// of the idempotency window is not checked here, because the write deadline of the attempt ensures it.
func isRepeatSafe(call *call, earlier, next *attempt) bool {
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

// checkWritten checks a completely written request against the invariants that may have been violated during the write.
// timeout is the timeout that was sent to the server, computed at a.startedAt.
func (g sendGuard) checkWritten(a *attempt, timeout time.Duration, now time.Time) {
	call := a.call
	if call.responded.Load() {
		g.monitor.recordViolation(invariantNothingAfterAnswer, "request", call.clientID, "attempt", a.number)
	}
	if remaining := call.deadline.Sub(now); timeout > remaining+timeoutSlack {
		g.monitor.recordViolation(invariantTimeoutPassedOn, "request", call.clientID, "attempt", a.number,
			"timeout", timeout, "remaining", remaining, "written_after", now.Sub(a.startedAt))
	}
	if since, disconnected := call.clientDisconnectedSince(); disconnected && a.startedAt.Sub(since) > disconnectGrace {
		g.monitor.recordViolation(invariantNothingAfterDisconnect, "request", call.clientID, "attempt", a.number,
			"after", a.startedAt.Sub(since))
	}
}

// recordEnd records that an attempt has ended: its connection is closed, or has carried the complete response.
func (g sendGuard) recordEnd(a *attempt, result balance.Result) {
	a.call.writeMu.Lock()
	defer a.call.writeMu.Unlock()
	a.ended = true
	a.mayHaveExecuted = a.fullyWritten.Load() && !result.NeverExecuted()
}

// notSentReason returns the reason for logs why an attempt was not sent.
func notSentReason(err error) string {
	if err == nil {
		return ""
	}
	if errors.Is(err, errNoSocketAvailable) {
		return "no socket"
	}
	return err.Error()
}
