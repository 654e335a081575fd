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

// PROTOCOL counts whatever discovery has to announce as known to the sidecar 6 s after it can be reached. The timeouts keep
// below that with two silent calls in a row.
const (
	// watchHeartbeatTimeout: an empty line arrives every 2 s. A watch without one for a quarter longer has ended, whatever
	// its connection says, as a machine that is cut off closes nothing. To end a watch too early costs one call at the
	// agent on this machine; too late, and no time is left for a second and third call.
	watchHeartbeatTimeout = 2500 * time.Millisecond
	// agentTimeout: where lists are pushed, the agent on this machine responds at once, or discovery is down.
	agentTimeout = 1200 * time.Millisecond
	// callTimeout: where lists are polled, a call may wait in discovery's queue, which looks like being cut off.
	callTimeout = 2500 * time.Millisecond
	// queuedCallTimeout: from the third silent call on, as a call that is given up goes to the end of the queue.
	queuedCallTimeout = 5 * time.Second
	// minQueuedTime: a call that is rejected sooner has not waited in a queue.
	minQueuedTime = time.Second
	dialTimeout   = time.Second

	// initialBackoff is the longest pause before a call that follows a silent one, or after the first that failed.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is short, as an agent may come back with a drain, and sends to that server must end within its grace.
	maxBackoff = 400 * time.Millisecond
)

var (
	errDiscoveryTimeout = errors.New("endpoint watch is silent")
	errStreamEnded      = errors.New("endpoint stream ended")
)

// unexpectedStatusError is an HTTP response with a status that the caller cannot use.
type unexpectedStatusError struct{ status string }

func (e *unexpectedStatusError) Error() string { return "unexpected status " + e.status }

// discoveryClient makes the balancer's calls for the endpoint list. It reports each call or watch that fails, or ends
// other than by silence, once; when to call again is the balancer's decision.
type discoveryClient struct {
	// The event loop alone uses these fields.
	baseURL    string
	generation int                // counts the addresses; updates of an earlier one are ignored
	cancel     context.CancelFunc // of all calls under way
	watchDone  chan struct{}      // closed when the watch has ended

	client   *http.Client
	revision atomic.Int64 // of the endpoint list in force; 0: none from this address
	post     func(loopEvent)
	spawn    func(task func())

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
		// Connections are not reused: on a broken one the transport would retry by itself.
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

// switchAddress leaves one service for another. What the old one still sends or fails to send no longer counts, and its
// revision means nothing to the new one. The caller opens the new watch.
func (d *discoveryClient) switchAddress(address string) {
	d.cancel()
	d.generation++
	d.revision.Store(0)
	d.setAddress(address)
}

// watch follows the list. It does nothing while a watch is open: after an address change the balancer may still react to
// the end of the previous one. A watch that falls silent is reopened at once, without the balancer: what it misses counts
// as known soon, whatever backoff the balancer applies to failed calls.
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
			discoveryLog.Warn("endpoint watch failed", "error", err, "revision", call.revision.Load())
			call.reportFailure(err)
		}
	})
}

// fetchList polls the complete list once.
func (d *discoveryClient) fetchList(ctx context.Context) {
	call := d.newCall(ctx)
	d.spawn(func() {
		err := call.readLists(call.baseURL, d.callTimeout, d.callTimeout)
		if !errors.Is(err, errStreamEnded) && ctx.Err() == nil {
			discoveryLog.Warn("endpoint list request failed", "error", err)
			call.reportFailure(err)
		}
	})
}

// maintainWatch keeps a watch open where lists are pushed and the balancer does not ask for them. Only calls that fail at
// once back off: a silent one has taken its time already.
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
				discoveryLog.Warn("endpoint watch at the agent failed", "error", err, "revision", call.revision.Load())
			}
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	})
}

// sleepJittered waits between half of a time and all of it, so that sidecars whose watches ended together do not call
// together.
func sleepJittered(ctx context.Context, maxDelay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(maxDelay/2 + rand.N(maxDelay)/2):
	}
}

// discoveryCall is one call to discovery, or a series of them, on a goroutine of its own.
type discoveryCall struct {
	*discoveryClient
	ctx context.Context

	// Copies from when the call began. They hide the client's fields, which the event loop may change meanwhile.
	baseURL    string
	generation int

	// Of the latest call.
	startedAt time.Time
	received  bool // a list or a heartbeat has arrived
}

func (d *discoveryClient) newCall(ctx context.Context) *discoveryCall {
	return &discoveryCall{discoveryClient: d, ctx: ctx, baseURL: d.baseURL, generation: d.generation}
}

// watchUntilFailure opens a watch, and again each time that it falls silent.
func (c *discoveryCall) watchUntilFailure() error {
	err := c.openWatch(c.callTimeout)
	for unansweredCalls := 0; errors.Is(err, errDiscoveryTimeout) && c.ctx.Err() == nil; {
		discoveryLog.Warn("endpoint watch reopened", "error", err, "revision", c.revision.Load())
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

// reportFailure reports the end of a call or watch. Only a call that is rejected after a while has waited in a queue: an
// unreachable service refuses connections at once, or breaks them at any time.
func (c *discoveryCall) reportFailure(err error) {
	var rejected *unexpectedStatusError
	queued := !c.received && errors.As(err, &rejected) && time.Since(c.startedAt) >= minQueuedTime
	c.post(endpointUpdate{generation: c.generation, kind: balance.UpdateFailed, discoveryUnreachable: !queued})
}

// openWatch follows the changes after the current revision until the watch ends, always with an error.
func (c *discoveryCall) openWatch(firstTimeout time.Duration) error {
	url := c.baseURL + "?watch=1"
	if revision := c.revision.Load(); revision > 0 {
		url += fmt.Sprintf("&after=%d", revision)
	}
	return c.readLists(url, firstTimeout, c.heartbeatTimeout)
}

// readLists posts each list of a response until it ends, with errStreamEnded if that is in order. The timeouts bound the wait for
// the first sign of life and for each later one.
func (c *discoveryCall) readLists(url string, firstTimeout, nextTimeout time.Duration) error {
	c.startedAt = time.Now()
	c.received = false
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

// get returns a response with status 200.
func (c *discoveryCall) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		err = errDiscoveryTimeout // the connection was not established in time
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
		buffered, _ := io.ReadAll(decoder.Buffered()) // in memory: it cannot fail
		reader.listEnded(buffered)
	}
}

// decodeError is why a response has ended: what has cancelled ctx, or else errStreamEnded after at least one list, or else the
// decoder's error.
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
