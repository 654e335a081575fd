package sidecar

import (
	"context"
	"log/slog"
	"time"

	"milldeck/balance"
)

// The trace logs the history of each request, identified by its X-Request-ID, at level debug. NODE_LOG_LEVEL=debug enables
// it.

// traceEnabled reports whether the trace is enabled. Callers check it first, so that a disabled trace costs nothing.
func traceEnabled() bool { return traceLog.Enabled(context.Background(), slog.LevelDebug) }

// traceRequest logs a request that was read. waited is the time since its last byte arrived.
func traceRequest(call *call, waited time.Duration) {
	if traceEnabled() {
		traceLog.Debug("request received", "request", call.clientID, "class", call.request.Class,
			"left", time.Until(call.deadline), "waited", waited)
	}
}

// traceDecision logs the decision for an attempt. The reason for a retry is the result of the previous attempt.
func traceDecision(decided *attempt) {
	if !traceEnabled() {
		return
	}
	reason := "first"
	if decided.number > 0 {
		reason = resultNames[decided.call.attempts[decided.number-1].result]
	}
	traceLog.Debug("attempt decided", "request", decided.call.clientID, "attempt", decided.number,
		"server", decided.upstream.address, "after", reason)
}

// traceWritten logs a completely written attempt. connection is the local address of its connection, which is unique among the
// open ones; idle is the time since the previous response on it, 0 on a new one.
func traceWritten(written *attempt, timeout time.Duration, conn *upstreamConn) {
	if traceEnabled() {
		traceLog.Debug("attempt written", "request", written.call.clientID, "attempt", written.number,
			"server", written.upstream.address, "timeout", timeout, "reused", conn.idleTime > 0,
			"connection", conn.LocalAddr().String(), "idle", conn.idleTime)
	}
}

// traceExchangeEnded logs the end of an attempt at its connection, which is either idle again (kept) or closed.
func traceExchangeEnded(ended *attempt, conn *upstreamConn, result balance.Result, elapsed time.Duration, kept bool) {
	if ended != nil && traceEnabled() {
		traceLog.Debug("exchange ended", "request", ended.call.clientID, "attempt", ended.number,
			"server", conn.upstream.address, "connection", conn.LocalAddr().String(),
			"result", resultNames[result], "elapsed", elapsed, "kept", kept)
	}
}

func traceUnusable(conn *upstreamConn, reason unusableReason) {
	if traceEnabled() {
		traceLog.Debug("connection not reused", "server", conn.upstream.address, "connection", conn.LocalAddr().String(),
			"reason", string(reason), "idle", conn.idleTime)
	}
}

func traceEnded(ended *attempt, exchange *exchangeResult) {
	if !traceEnabled() {
		return
	}
	traceLog.Debug("attempt ended", "request", ended.call.clientID, "attempt", ended.number,
		"result", resultNames[exchange.outcome], "unsent", notSentReason(exchange.unsent))
}

func traceAnswered(call *call, status int, reason countedEvent) {
	if traceEnabled() {
		traceLog.Debug("request answered", "request", call.clientID, "status", status, "reason", reason.String())
	}
}

func traceClientClosed(conn *clientConn, reason countedEvent) {
	if traceEnabled() {
		traceLog.Debug("client connection closed", "client", conn.RemoteAddr().String(), "reason", reason.String(),
			"phase", conn.phase, "error", conn.readErr)
	}
}

func traceUpstream(message string, upstream *upstreamHost) {
	if traceEnabled() {
		traceLog.Debug(message, "server", upstream.address, "boot_ms", upstream.bootMS)
	}
}

// resultNames are the names of attempt results in the trace.
var resultNames = map[balance.Result]string{
	balance.OK: "ok", balance.Failed: "failed", balance.Overloaded: "overloaded", balance.TimedOut: "timed_out",
	balance.ConnectFailed: "connect_failed", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.Obsolete: "obsolete",
}
