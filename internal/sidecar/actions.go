package sidecar

import (
	"context"
	"math"
	"time"

	"milldeck/balance"
)

// execute executes actions of the balancer in order.
func (l *eventLoop) execute(nowMS float64, actions []balance.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case balance.Send:
			l.startAttempt(nowMS, action)
		case balance.Reject, balance.Fail:
			l.rejectOrFail(nowMS, action)
		case balance.Cancel:
			l.cancelAttempt(action)
		case balance.SetTimer:
			l.timers.set(nowMS+math.Max(action.Delay, 0), action.Token)
		case balance.HealthCheck:
			l.startHealthCheck(nowMS, action.Server)
		case balance.CloseIdleConnections:
			if upstream := l.readyUpstreams[action.Server]; upstream != nil {
				l.pool.closeIdle(upstream)
			}
		case balance.SendGossip:
			l.peers.send(action.Peer, action.Data)
		case balance.Log:
			loopLog.Info("balancer message", "text", action.Text)
		case balance.WatchEndpoints:
			l.discovery.watch(l.ctx)
		case balance.FetchEndpoints:
			l.discovery.fetchList(l.ctx)
		default:
			loopLog.Error("unsupported balancer action", "action", action.Kind)
		}
	}
}

// schedulingAllowance is the longest time for which the process may be suspended between reading its clock and the write
// that follows. The acceptance test suspends a process for up to this time, and so does package faultsoak (maxSuspension).
const schedulingAllowance = 150 * time.Millisecond

// startAttempt starts an attempt of a call. A new goroutine sends it and posts its outcome.
func (l *eventLoop) startAttempt(nowMS float64, action *balance.Action) {
	call := l.calls.byID[action.Request]
	if call == nil {
		return
	}
	started := &attempt{
		call:                 call,
		number:               len(call.attempts),
		upstream:             l.upstreamFor(action.Server),
		decidedAtMS:          nowMS,
		deadline:             l.attemptDeadline(call, action),
		idempotencyWindowEnd: l.idempotencyWindowEnd(call),
	}
	started.ctx, started.cancel = context.WithCancel(l.ctx)
	call.attempts = append(call.attempts, started)
	call.inFlight++
	if started.number == 0 {
		l.pool.guard.monitor.count(attemptFirst)
	} else {
		l.pool.guard.monitor.count(attemptRetry)
	}
	traceDecision(started)
	l.workers.Go(func() { l.post(attemptCompleted{started, l.pool.sendAttempt(started)}) })
}

// attemptDeadline returns the deadline of the call or, if it is earlier, the deadline that the balancer has set for the
// attempt.
func (l *eventLoop) attemptDeadline(call *call, action *balance.Action) time.Time {
	if action.Deadline > 0 {
		if dropAt := l.clock.timeAt(action.Deadline); dropAt.Before(call.deadline) {
			return dropAt
		}
	}
	return call.deadline
}

// idempotencyWindowEnd returns the time after which servers may have forgotten the idempotency key of a call, minus
// schedulingAllowance. The window starts with the decision for the earliest attempt that may have been executed. Zero means
// that the window does not bound the attempt. The balancer leaves time to connect. schedulingAllowance is subtracted because
// a write may also block or move to a second connection, and the process may be suspended before the write.
func (l *eventLoop) idempotencyWindowEnd(call *call) (end time.Time) {
	class := &l.config.settings.Classes[call.request.Class]
	if class.Idempotency != balance.IdempotentWithKey {
		return end
	}
	deadlineMS := l.clock.unixMS(call.deadline)
	for _, attempt := range call.attempts {
		if attempt.neverExecuted {
			continue
		}
		endMS := attempt.decidedAtMS + class.IdempotencyWindow
		if !(endMS < deadlineMS) { // the deadline is the earlier bound, and endMS may be too large for a time.Duration
			continue
		}
		if windowEnd := l.clock.timeAt(endMS).Add(-schedulingAllowance); end.IsZero() || windowEnd.Before(end) {
			end = windowEnd
		}
	}
	return end
}

// upstreamFor returns the ready upstream of a server. The balancer chooses only servers of the list that it has received,
// so an unknown server is rare. For an unknown server, upstreamFor returns a retired placeholder, so that the attempt ends
// as obsolete.
func (l *eventLoop) upstreamFor(serverID balance.ServerID) *upstreamHost {
	if upstream := l.readyUpstreams[serverID]; upstream != nil {
		return upstream
	}
	unknown := &upstreamHost{id: serverID}
	unknown.retired.Store(true)
	return unknown
}

// startHealthCheck starts a health check of a server. A new goroutine sends it and posts its result.
func (l *eventLoop) startHealthCheck(nowMS float64, serverID balance.ServerID) {
	upstream := l.upstreamFor(serverID)
	l.workers.Go(func() { l.post(healthCheckDone{upstream, nowMS, l.pool.checkHealth(l.ctx, upstream)}) })
}

func (l *eventLoop) cancelAttempt(action *balance.Action) {
	if call := l.calls.byID[action.Request]; call != nil && action.Attempt < len(call.attempts) {
		call.attempts[action.Attempt].cancel()
	}
}

// rejectOrFail answers a call without a server's response. A rejection means to the client that a retry is safe; a failure
// does not.
func (l *eventLoop) rejectOrFail(nowMS float64, action *balance.Action) {
	call := l.calls.byID[action.Request]
	if call == nil || !call.markAnswered() {
		return
	}
	l.cancelUnsentAttempts(call)
	switch {
	case action.Kind == balance.Reject:
		call.response <- response{status: statusRejected, retryAfterMS: action.RetryAfter, reason: answeredRejected}
	case nowMS >= l.clock.unixMS(call.deadline):
		call.response <- response{status: statusTimedOut, reason: answeredTimedOut}
	default:
		call.response <- response{status: statusFailed, reason: answeredFailed}
	}
	l.calls.releaseIfDone(call)
}
