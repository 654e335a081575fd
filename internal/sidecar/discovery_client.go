package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"milldeck/balance"
)

// The platform's protocol counts a change of the endpoint list as known to the sidecar 6 s after the sidecar can reach
// discovery. With these timeouts and Config.PollRepeatInterval the sidecar stays below 6 s even if two calls in a row are not
// answered.
const (
	// watchHeartbeatTimeout ends a watch that sends no data. Discovery sends an empty line every 2 s; the timeout is a quarter
	// longer. It applies although the connection is open, as a partitioned machine does not close its connections. A
	// timeout that is too short costs one call to the agent on this machine; one that is too long leaves no time for a
	// second and third call within the 6 s.
	watchHeartbeatTimeout = 2500 * time.Millisecond
	// agentTimeout applies where lists are pushed (maintainWatch): the agent on this machine responds immediately unless
	// discovery is down.
	agentTimeout = 1200 * time.Millisecond
	// callTimeout ends a polled watch that is not answered (parallelCalls). A call may wait in discovery's queue, and one that
	// is given up goes to its end. The timeout is the longest wait with which the list of a crowded discovery still arrives.
	callTimeout = time.Minute
	// listTimeout ends a request of the complete list that is not answered (fetchList), and a polled watch whose first list has
	// begun and does not end: it no longer waits in the queue.
	listTimeout = 6 * time.Second
	// minQueuedTime is the time after which a rejected call counts as a call that has waited in discovery's queue.
	minQueuedTime = time.Second
	dialTimeout   = time.Second

	// initialBackoff is the maximum delay after an unanswered call and after the first failed call.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is short: an agent that becomes reachable again may announce a drain, and no request may be sent to the
	// draining server after its grace period.
	maxBackoff = 400 * time.Millisecond
)

var (
	errDiscoveryTimeout = errors.New("no data from discovery within the timeout")
	errDialTimeout      = errors.New("no connection to discovery within the timeout")
	errStreamEnded      = errors.New("endpoint stream ended")
)

// unexpectedStatusError reports an HTTP response whose status is not the expected one.
type unexpectedStatusError struct{ status string }

func (e *unexpectedStatusError) Error() string { return "unexpected status " + e.status }

// discoveryClient requests the endpoint list. For the calls that the balancer requests, it reports to the balancer each
// failed call, and each watch that ends for a reason other than a timeout, exactly once; the balancer decides when to call
// again. maintainWatch works without the balancer and reports no failures.
type discoveryClient struct {
	// Only the event loop uses these fields.
	baseURL    string
	generation int                // number of address changes; updates of an earlier generation are ignored
	cancel     context.CancelFunc // cancels the calls in flight
	watchDone  chan struct{}      // closed when the watch has ended

	client   *http.Client
	revision atomic.Int64 // of the endpoint list in force; 0: no list from this address yet
	post     func(loopEvent)
	spawn    func(task func())
	monitor  *monitor

	callTimeout, listTimeout, agentTimeout, heartbeatTimeout time.Duration

	// callInterval returns the time between two polled calls that are not answered, by the number of such calls in a row.
	callInterval func(unanswered int) time.Duration
}

func newDiscoveryClient(address string, settings *balance.Config, post func(loopEvent), spawn func(func())) *discoveryClient {
	d := &discoveryClient{
		post:             post,
		spawn:            spawn,
		cancel:           func() {},
		callTimeout:      callTimeout,
		listTimeout:      listTimeout,
		agentTimeout:     agentTimeout,
		heartbeatTimeout: watchHeartbeatTimeout,
		callInterval:     func(unanswered int) time.Duration { return durationFromMS(settings.PollRepeatInterval(unanswered)) },
		// Connections are not reused, as the transport retries by itself if a reused connection breaks.
		client: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		}},
	}
	d.setAddress(address)
	return d
}

func (d *discoveryClient) setAddress(address string) {
	d.baseURL = "http://" + address + "/registry/instances"
	d.watchDone = make(chan struct{})
	close(d.watchDone)
}

// switchAddress switches to another discovery service. Updates and failures of the previous service are ignored from now
// on, and its revision is not valid for the new service. The caller opens the new watch.
func (d *discoveryClient) switchAddress(address string) {
	d.cancel()
	d.generation++
	d.revision.Store(0)
	d.setAddress(address)
}

// watch opens a watch of the endpoint list at the balancer's request. It does nothing if a watch is open: after an address
// change, the balancer may still request a watch because the previous one has ended. A watch that falls silent is reopened
// without the balancer and its backoff for failed calls, because the platform's protocol soon counts the missed changes
// as known.
func (d *discoveryClient) watch(ctx context.Context) {
	select {
	case <-d.watchDone:
	default:
		return
	}
	d.cancel()
	ctx, d.cancel = context.WithCancel(ctx)
	watchDone := make(chan struct{})
	call := d.newCall(ctx)
	d.watchDone = watchDone
	d.spawn(func() {
		failed, queued := call.watchUntilFailure()
		close(watchDone)
		if ctx.Err() == nil {
			failed.logEnd("endpoint watch failed")
			failed.reportFailure(queued)
		}
	})
}

// fetchList requests the complete list once.
func (d *discoveryClient) fetchList(ctx context.Context) {
	call := d.newCall(ctx)
	d.spawn(func() {
		call.err = call.readLists(call.baseURL, d.listTimeout, d.listTimeout)
		if !errors.Is(call.err, errStreamEnded) && ctx.Err() == nil {
			call.logEnd("endpoint list request failed")
			call.reportFailure(call.rejectedFromQueue())
		}
	})
}

// maintainWatch keeps a watch open where lists are pushed and the balancer does not request them. The backoff grows only
// while calls fail immediately; a call that timed out has already waited long enough.
func (d *discoveryClient) maintainWatch(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	call := d.newCall(ctx)
	d.spawn(func() {
		backoff := initialBackoff
		for ctx.Err() == nil {
			call.err = call.openWatch(d.agentTimeout)
			if time.Since(call.startedAt) > maxBackoff {
				backoff = initialBackoff
			}
			if ctx.Err() == nil {
				call.countUnanswered()
				call.logEnd("endpoint watch at the agent failed")
			}
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	})
}

// sleepJittered waits for a random time between half of maxDelay and maxDelay, so that sidecars whose watches ended at the
// same time do not reconnect at the same time.
func sleepJittered(ctx context.Context, maxDelay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(jitter(maxDelay)):
	}
}

// jitter returns a random time between half of maxDelay and maxDelay.
func jitter(maxDelay time.Duration) time.Duration { return maxDelay/2 + rand.N(maxDelay)/2 }

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
