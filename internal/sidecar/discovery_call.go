package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"milldeck/balance"
)

// discoveryCall makes one call to discovery, or a series of calls, on its own goroutine.
type discoveryCall struct {
	*discoveryClient
	ctx context.Context

	// Copies made when the call started. They shadow the client's fields, which the event loop may change during the call.
	baseURL    string
	generation int

	// claim reports whether this call may post lists; nil: it may. It is called when the first list or heartbeat arrives.
	claim func() bool

	// State of the latest call.
	startedAt  time.Time
	received   bool  // a list or a heartbeat has arrived
	unanswered int   // number of calls in a row before any was answered, this one included
	err        error // the reason for its end
}

func (d *discoveryClient) newCall(ctx context.Context) *discoveryCall {
	return &discoveryCall{discoveryClient: d, ctx: ctx, baseURL: d.baseURL, generation: d.generation}
}

// watchUntilFailure opens a watch and reopens it each time it falls silent. It returns the call that failed for another
// reason, and whether a call was rejected after it had waited in discovery's queue.
func (c *discoveryCall) watchUntilFailure() (failed *discoveryCall, queued bool) {
	for {
		calls := newParallelCalls(c)
		ended := calls.run()
		if !errors.Is(ended.err, errDiscoveryTimeout) || c.ctx.Err() != nil {
			return ended, calls.queued
		}
		ended.logEnd("endpoint watch reopened")
		sleepJittered(c.ctx, initialBackoff)
	}
}

// countUnanswered counts the latest call if it was not answered.
func (c *discoveryCall) countUnanswered() {
	if c.unanswered++; c.received {
		c.unanswered = 0
	}
}

// logEnd counts and logs the end of the latest call: how long it was open, whether it was answered, and the number of calls
// in a row before any was answered.
func (c *discoveryCall) logEnd(message string) {
	switch {
	case !errors.Is(c.err, errDiscoveryTimeout):
		c.monitor.count(watchFailed)
	case c.received:
		c.monitor.count(watchSilent)
	default:
		c.monitor.count(discoveryCallUnanswered)
	}
	discoveryLog.Warn(message, "error", c.err, "revision", c.revision.Load(), "open_ms", time.Since(c.startedAt).Milliseconds(),
		"answered", c.received, "unanswered_calls", c.unanswered)
}

// rejectedFromQueue reports whether the latest call was rejected after minQueuedTime: an unreachable service refuses
// connections immediately, or breaks them at any time.
func (c *discoveryCall) rejectedFromQueue() bool {
	var rejected *unexpectedStatusError
	return !c.received && errors.As(c.err, &rejected) && time.Since(c.startedAt) >= minQueuedTime
}

// reportFailure reports the end of a call or watch.
func (c *discoveryCall) reportFailure(queued bool) {
	c.post(endpointUpdate{generation: c.generation, kind: balance.UpdateFailed, discoveryUnreachable: !queued})
}

// openWatch watches the changes after the current revision until the watch ends. The error is never nil.
func (c *discoveryCall) openWatch(firstTimeout time.Duration) error {
	url := c.baseURL + "?watch=1"
	if revision := c.revision.Load(); revision > 0 {
		url += fmt.Sprintf("&after=%d", revision)
	}
	return c.readLists(url, firstTimeout, c.heartbeatTimeout)
}

// readLists posts each list of a response to the event loop until the response ends. It returns errStreamEnded if the
// response is complete. The timeouts bound the wait for the first list or heartbeat and for each later one.
func (c *discoveryCall) readLists(url string, firstTimeout, nextTimeout time.Duration) error {
	c.startedAt = time.Now()
	c.received = false
	c.monitor.count(discoveryCallOpened)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	timeoutTimer := time.AfterFunc(firstTimeout, func() { cancel(errDiscoveryTimeout) })
	defer timeoutTimer.Stop()
	resp, err := c.get(ctx, url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	onHeartbeat := func() {
		if c.acceptData() {
			timeoutTimer.Reset(nextTimeout)
		}
	}
	onListStart := func() {
		if !c.received && c.listTimeout < firstTimeout {
			timeoutTimer.Reset(c.listTimeout)
		}
	}
	return c.decodeLists(ctx, &heartbeatReader{source: resp.Body, onHeartbeat: onHeartbeat, onListStart: onListStart})
}

// acceptData is called for each list and heartbeat and reports whether the call may use it.
func (c *discoveryCall) acceptData() bool {
	if !c.received && c.claim != nil && !c.claim() {
		return false
	}
	c.received = true
	return true
}

// get returns the response to a GET request; any status other than 200 is an error.
func (c *discoveryCall) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		err = errDialTimeout
	}
	if err != nil {
		return nil, cmp.Or(context.Cause(ctx), err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &unexpectedStatusError{resp.Status}
	}
	return resp, nil
}

func (c *discoveryCall) decodeLists(ctx context.Context, reader *heartbeatReader) error {
	decoder := json.NewDecoder(reader)
	for receivedList := false; ; receivedList = true {
		var list endpointList
		if err := decoder.Decode(&list); err != nil {
			return decodeError(ctx, err, receivedList)
		}
		if err := list.sanitize(); err != nil {
			return err
		}
		if !c.acceptData() {
			return errSuperseded
		}
		kind := balance.UpdateDelta
		if list.Complete {
			kind = balance.UpdateFull
		}
		c.post(endpointUpdate{generation: c.generation, kind: kind, endpoints: list})
		reader.onHeartbeat()
		buffered, _ := io.ReadAll(decoder.Buffered()) // reads from memory and cannot fail
		reader.listEnded(buffered)
	}
}

// decodeError returns the reason why a response ended: the cause of the cancellation of ctx; otherwise errStreamEnded if
// the response ended after at least one list; otherwise the decoder's error.
func decodeError(ctx context.Context, err error, receivedList bool) error {
	cause := context.Cause(ctx)
	atEnd := errors.Is(err, io.EOF)
	switch {
	case cause != nil:
		return cause
	case atEnd && !receivedList:
		return io.ErrUnexpectedEOF
	case atEnd:
		return errStreamEnded
	}
	return fmt.Errorf("endpoint list: %w", err)
}
