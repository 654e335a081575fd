package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// errSuperseded ends a call because another one beside it was answered first.
var errSuperseded = errors.New("another call to discovery was answered first")

// maxOpenCalls bounds the calls that are open beside each other. The newest two are open for long enough to be answered
// within 6 s of the end of a partition.
const maxOpenCalls = 3

// parallelCalls opens a polled watch. A call that is not answered may wait in discovery's queue, where it loses its turn if
// it is given up. It may also be on a connection that a partition has cut, which stays silent after the partition has ended.
// The sidecar cannot tell these cases apart. It keeps the call open and opens further calls beside it at intervals, until
// one is answered. That call becomes the watch: only it posts lists, and the others are cancelled.
//
// Where maxOpenCalls are open and a further one is due, the second oldest call is given up: the oldest has waited for its
// turn for the longest time, and the newest are the least likely to be on a connection that was cut.
type parallelCalls struct {
	client *discoveryClient
	ctx    context.Context
	call   discoveryCall // copied for each call

	// Only run and the functions that it calls use these fields.
	ended      chan *discoveryCall
	nextCall   *time.Timer
	unanswered int            // calls opened in a row, without those that could not connect
	failed     *discoveryCall // the latest call that ended for a reason other than a timeout
	queued     bool           // a call was rejected after it had waited in discovery's queue
	workers    sync.WaitGroup

	mu       sync.Mutex
	open     []openCall     // in the order in which they were opened
	answered *discoveryCall // the call that was answered first
}

// openCall is a call that has not ended.
type openCall struct {
	call   *discoveryCall
	cancel context.CancelCauseFunc
}

func newParallelCalls(call *discoveryCall) *parallelCalls {
	return &parallelCalls{client: call.discoveryClient, ctx: call.ctx, call: *call, ended: make(chan *discoveryCall)}
}

// run opens calls until one is answered and has ended, or until none is open and at least one has failed. It returns that
// call, which holds the reason of its end. A call that times out is no failure.
func (p *parallelCalls) run() *discoveryCall {
	p.nextCall = time.NewTimer(0)
	defer p.nextCall.Stop()
	defer p.workers.Wait()
	for {
		select {
		case <-p.nextCall.C:
			p.openCall()
		case call := <-p.ended:
			if result := p.handleEnd(call); result != nil {
				return result
			}
		}
	}
}

// openCall opens a call on its own goroutine, unless a call has been answered.
func (p *parallelCalls) openCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered != nil {
		return
	}
	if len(p.open) == maxOpenCalls {
		p.open[1].cancel(errDiscoveryTimeout)
	}
	p.unanswered++
	p.nextCall.Reset(p.client.callInterval(p.unanswered))
	call := p.call
	call.unanswered = p.unanswered
	call.claim = func() bool { return p.claim(&call) }
	ctx, cancel := context.WithCancelCause(p.ctx)
	call.ctx = ctx
	p.open = append(p.open, openCall{&call, cancel})
	p.workers.Go(func() {
		defer cancel(nil)
		call.err = call.openWatch(p.client.callTimeout)
		p.ended <- &call
	})
}

// claim reports whether a call is the one that was answered first. The first call that claims this cancels the others. A
// call that has been given up cannot claim it.
func (p *parallelCalls) claim(call *discoveryCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered == nil && call.ctx.Err() == nil {
		p.answered = call
		for _, other := range p.open {
			if other.call != call {
				other.cancel(errSuperseded)
			}
		}
	}
	return p.answered == call
}

// handleEnd returns the call that run returns, or nil if run goes on.
func (p *parallelCalls) handleEnd(call *discoveryCall) *discoveryCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = slices.DeleteFunc(p.open, func(other openCall) bool { return other.call == call })
	if p.answered == nil && p.ctx.Err() == nil {
		p.handleUnanswered(call)
	}
	switch {
	case len(p.open) > 0:
		return nil
	case p.answered != nil:
		return p.answered
	case p.ctx.Err() != nil:
		return call
	}
	return p.failed
}

// handleUnanswered handles the end of a call before any was answered. A call that could not connect has not reached
// discovery and is repeated soon. A call that was rejected after it had waited in discovery's queue shows that the calls
// before it no longer wait there. The caller holds mu.
func (p *parallelCalls) handleUnanswered(call *discoveryCall) {
	switch {
	case errors.Is(call.err, errDialTimeout):
		p.unanswered--
		p.nextCall.Reset(jitter(initialBackoff))
	case errors.Is(call.err, errDiscoveryTimeout):
		call.logEnd("call to discovery given up")
	default:
		p.failed = call
		if call.rejectedFromQueue() {
			p.queued = true
			p.giveUpBefore(call)
		}
	}
}

// giveUpBefore gives up the calls that were opened before a call. The caller holds mu.
func (p *parallelCalls) giveUpBefore(call *discoveryCall) {
	for _, other := range p.open {
		if other.call.unanswered < call.unanswered {
			other.cancel(errDiscoveryTimeout)
		}
	}
}
