package sidecar

import (
	"context"
	"errors"
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
