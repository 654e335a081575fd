package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milldeck/internal/lab"
)

// writeResponse writes a response and reports whether that succeeded. header consists of complete lines.
func writeResponse(connection net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(connection, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// handleRequest answers one request. It returns false if the connection has to be closed.
func (f *frontend) handleRequest(ctx context.Context, client clientPeer, received receivedRequest) bool {
	if f.processEndpoint != nil {
		if status, body, ok := f.processEndpoint(received.request.URL.Path); ok {
			return writeResponse(client.connection, status, "", body) // the requester is on this machine: no modelled network
		}
	}
	requestID, err := strconv.ParseUint(received.request.Header.Get("X-Request-ID"), 16, 64)
	if received.request.URL.Path != "/api" || err != nil {
		return f.handleHealthCheck(ctx, client, received)
	}
	attempt, ok := f.host.beginAttempt(requestID, client.sidecar, received)
	handler := &attemptHandler{
		frontend: f, client: client, received: received, requestID: requestID, attempt: attempt,
	}
	// For the checker, the close of the connection ends the attempt at once, even if the link is partitioned.
	defer context.AfterFunc(ctx, func() { handler.end(resultConnectionClosed) })()
	defer handler.end(resultConnectionClosed)
	if !ok {
		return handler.respond(ctx, http.StatusBadRequest, "", "")
	}
	return handler.run(ctx)
}

// handleHealthCheck answers a sidecar's health check. It answers any other path, and every health check if the server does
// not support health checks, with status 404.
func (f *frontend) handleHealthCheck(ctx context.Context, client clientPeer, received receivedRequest) bool {
	path := f.host.pathTo(client.sidecar)
	if received.request.URL.Path != "/health/live" || !f.answersHealthChecks {
		return awaitDelivery(ctx, path.deliverResponse) && writeResponse(client.connection, http.StatusNotFound, "", "")
	}
	f.host.addCounts(func(counts *lab.Counts) { counts.HealthChecks++ })
	if !awaitDelivery(ctx, func(ctx context.Context) bool { return path.deliverRequest(ctx, client.newConnection) }) {
		return false
	}
	f.submit(lab.Job{WorkMS: healthCheckWorkMS})
	return awaitDelivery(ctx, path.deliverResponse) && writeResponse(client.connection, http.StatusOK, "", "")
}

// attemptHandler answers one attempt at an API request.
type attemptHandler struct {
	frontend  *frontend
	client    clientPeer
	received  receivedRequest
	requestID uint64
	attempt   serverAttempt
	endOnce   sync.Once
}

// end reports how the attempt ended. Calls after the first have no effect.
func (h *attemptHandler) end(result string) {
	h.endOnce.Do(func() { h.attempt.ended(result) })
}

// respond sends a response over the modelled network.
func (h *attemptHandler) respond(ctx context.Context, status int, header, body string) bool {
	return awaitDelivery(ctx, h.attempt.deliverResponse) && writeResponse(h.client.connection, status, header, body)
}

// finish sends a response and, once it is written, ends the attempt with the result.
func (h *attemptHandler) finish(ctx context.Context, result string, status int, header, body string) bool {
	if !h.respond(ctx, status, header, body) {
		return false
	}
	h.end(result)
	return true
}

// run submits the request to the model and answers it once the model has processed it. It returns false if the
// connection has to be closed.
func (h *attemptHandler) run(ctx context.Context) bool {
	f := h.frontend
	deliver := func(ctx context.Context) bool { return h.attempt.deliverRequest(ctx, h.client.newConnection) }
	if !awaitDelivery(ctx, deliver) {
		return false
	}
	if h.client.overConnectionLimit {
		return h.finish(ctx, resultFull, http.StatusServiceUnavailable, notProcessedHeader, "")
	}
	if h.client.newConnection {
		f.chargeHandshake()
	}
	job := h.job()
	result, accepted := f.submit(job)
	if !accepted {
		return h.finish(ctx, resultFull, http.StatusServiceUnavailable, notProcessedHeader, "")
	}
	select {
	case <-ctx.Done():
		f.cancel(job.Attempt)
		return false
	case completion := <-result:
		return h.complete(ctx, completion)
	}
}

// chargeHandshake submits the work of a new connection to the model.
func (f *frontend) chargeHandshake() {
	f.host.addCounts(func(counts *lab.Counts) { counts.Handshakes++ })
	if f.plan.Spec.HandshakeMS > 0 {
		f.submit(lab.Job{WorkMS: f.plan.Spec.HandshakeMS})
	}
}

// job returns the model's job for the attempt, with the deadline that the request states and the regression of the
// server's version.
func (h *attemptHandler) job() lab.Job {
	f := h.frontend
	job := h.attempt.job()
	if timeoutMS, err := strconv.ParseFloat(h.received.request.Header.Get("X-Timeout-Ms"), 64); err == nil {
		job.ExpiresAt = f.host.now() - float64(time.Since(h.received.lastByteAt))/1e6 + timeoutMS
	}
	if f.applyRegression != nil {
		f.applyRegression(&job)
	}
	return job
}

// complete answers a request that the model has processed, subject to the faults in force.
func (h *attemptHandler) complete(ctx context.Context, completion lab.JobCompletion) bool {
	f := h.frontend
	f.mu.Lock()
	unresponsive, resetShare, corruptShare := f.model.Unresponsive, f.model.ResetShare, f.model.CorruptShare
	f.mu.Unlock()
	switch {
	case unresponsive:
		<-ctx.Done()
		return false
	case completion.Result == lab.JobExpired:
		return h.finish(ctx, resultExpired, http.StatusGatewayTimeout, notProcessedHeader, "")
	case completion.Result == lab.JobFailed:
		return h.finish(ctx, resultError, http.StatusInternalServerError, "", "")
	case rand.Float64() < resetShare:
		h.end(resultReset)
		resetConnection(h.client.connection)
		return false
	case rand.Float64() < corruptShare:
		return h.finish(ctx, resultCorrupt, http.StatusOK, "Content-Length: x\r\n", "noise")
	}
	h.attempt.responseProduced()
	body := fmt.Sprintf("%016x %d", h.requestID, f.number)
	return h.finish(ctx, resultServed, http.StatusOK, "Content-Type: text/plain\r\n", body)
}

// awaitDelivery waits until a message has crossed the network. If the message is lost, it waits until the other side
// closes the connection, which ends ctx, and returns false.
func awaitDelivery(ctx context.Context, deliver func(context.Context) bool) bool {
	if deliver(ctx) {
		return true
	}
	<-ctx.Done()
	return false
}
