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
// discovery. With these timeouts the sidecar stays below 6 s even if two calls in a row are not answered.
const (
	// watchHeartbeatTimeout ends a watch that sends no data. Discovery sends an empty line every 2 s; the timeout is a quarter
	// longer. It applies although the connection is open, as a partitioned machine does not close its connections. A
	// timeout that is too short costs one call to the agent on this machine; one that is too long leaves no time for a
	// second and third call within the 6 s.
	watchHeartbeatTimeout = 2500 * time.Millisecond
	// agentTimeout applies where lists are pushed (maintainWatch): the agent on this machine responds immediately unless
	// discovery is down.
	agentTimeout = 1200 * time.Millisecond
	// callTimeout applies where lists are polled (watch, fetchList): a call may wait in discovery's queue, and the sidecar
	// cannot distinguish that from a partition.
	callTimeout = 2500 * time.Millisecond
	// queuedCallTimeout applies from the third unanswered call in a row, as a call that is repeated goes to the end of the
	// queue.
	queuedCallTimeout = 5 * time.Second
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

	callTimeout, queuedCallTimeout, agentTimeout, heartbeatTimeout time.Duration
}

func newDiscoveryClient(address string, post func(loopEvent), spawn func(func())) *discoveryClient {
	d := &discoveryClient{
		post:              post,
		spawn:             spawn,
		cancel:            func() {},
		callTimeout:       callTimeout,
		queuedCallTimeout: queuedCallTimeout,
		agentTimeout:      agentTimeout,
		heartbeatTimeout:  watchHeartbeatTimeout,
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
// change, the balancer may still request a watch because the previous one has ended. A watch that times out is reopened
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
		err := call.watchUntilFailure()
		close(watchDone)
		if ctx.Err() == nil {
			call.logEnd("endpoint watch failed", err)
			call.reportFailure(err)
		}
	})
}

// fetchList requests the complete list once.
func (d *discoveryClient) fetchList(ctx context.Context) {
	call := d.newCall(ctx)
	d.spawn(func() {
		err := call.readLists(call.baseURL, d.callTimeout, d.callTimeout)
		if !errors.Is(err, errStreamEnded) && ctx.Err() == nil {
			call.logEnd("endpoint list request failed", err)
			call.reportFailure(err)
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
			err := call.openWatch(d.agentTimeout)
			if time.Since(call.startedAt) > maxBackoff {
				backoff = initialBackoff
			}
			if ctx.Err() == nil {
				call.logEnd("endpoint watch at the agent failed", err)
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
	case <-time.After(maxDelay/2 + rand.N(maxDelay)/2):
	}
}

// discoveryCall makes one call to discovery, or a series of calls, on its own goroutine.
type discoveryCall struct {
	*discoveryClient
	ctx context.Context

	// Copies made when the call started. They shadow the client's fields, which the event loop may change during the call.
	baseURL    string
	generation int

	// State of the latest call.
	startedAt  time.Time
	received   bool // a list or a heartbeat has arrived
	unanswered int  // calls in a row that ended before a list or a heartbeat arrived, this one included
}

func (d *discoveryClient) newCall(ctx context.Context) *discoveryCall {
	return &discoveryCall{discoveryClient: d, ctx: ctx, baseURL: d.baseURL, generation: d.generation}
}

// watchUntilFailure opens a watch and reopens it after each timeout. It returns any other error.
func (c *discoveryCall) watchUntilFailure() error {
	err := c.openWatch(c.callTimeout)
	for unansweredCalls := 0; errors.Is(err, errDiscoveryTimeout) && c.ctx.Err() == nil; {
		c.logEnd("endpoint watch reopened", err)
		sleepJittered(c.ctx, initialBackoff)
		if unansweredCalls++; c.received {
			unansweredCalls = 0
		}
		timeout := c.callTimeout
		if unansweredCalls > 1 {
			timeout = c.queuedCallTimeout
		}
		err = c.openWatch(timeout)
	}
	return err
}

// logEnd counts and logs the end of the latest call: how long it was open, whether it was answered, and the number of calls
// in a row that were not.
func (c *discoveryCall) logEnd(message string, err error) {
	if c.received {
		c.unanswered = 0
	} else {
		c.unanswered++
	}
	switch {
	case !errors.Is(err, errDiscoveryTimeout):
		c.monitor.count(watchFailed)
	case c.received:
		c.monitor.count(watchSilent)
	default:
		c.monitor.count(discoveryCallUnanswered)
	}
	discoveryLog.Warn(message, "error", err, "revision", c.revision.Load(), "open_ms", time.Since(c.startedAt).Milliseconds(),
		"answered", c.received, "unanswered_calls", c.unanswered)
}

// reportFailure reports the end of a call or watch. Only a call that is rejected after minQueuedTime counts as queued: an
// unreachable service refuses connections immediately, or breaks them at any time.
func (c *discoveryCall) reportFailure(err error) {
	var rejected *unexpectedStatusError
	queued := !c.received && errors.As(err, &rejected) && time.Since(c.startedAt) >= minQueuedTime
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
		c.received = true
		timeoutTimer.Reset(nextTimeout)
	}
	return c.decodeLists(ctx, &heartbeatReader{source: resp.Body, onHeartbeat: onHeartbeat})
}

// get returns the response to a GET request; any status other than 200 is an error.
func (c *discoveryCall) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		err = errDiscoveryTimeout // the dialer's timeout
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
