package sidecar

import (
	"context"
	"net/http"
	"net/url"
	"testing"
	"time"

	"milldeck/balance"
)

// steppedLoop is an event loop whose events the test handles one by one, in an order that the test chooses. Its attempts
// are sent on real connections.
type steppedLoop struct {
	*eventLoop
	t      *testing.T
	memory int64
}

func newSteppedLoop(t *testing.T, document configDocument, tweaks ...func(*connPool)) *steppedLoop {
	t.Helper()
	config, err := document.load(t)
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := balance.New(config.settings)
	if err != nil {
		t.Fatal(err)
	}
	memory := &byteBudget{}
	memory.release(4 * maxBodyBytes)
	loop := &steppedLoop{newEventLoop(config, balancer, newConnPool(config, 10, memory)), t, 4 * maxBodyBytes}
	loop.pool.reuseDelay = 0
	for _, tweak := range tweaks {
		tweak(loop.pool)
	}
	var cancel context.CancelFunc
	loop.ctx, cancel = context.WithCancel(context.Background())
	loop.discovery = newDiscoveryClient(config.DiscoveryAddress, &config.settings, loop.post, func(func()) {})
	t.Cleanup(func() {
		cancel()
		close(loop.stopped)
		loop.workers.Wait()
		loop.pool.closeAll()
		if loop.pool.openConns != 0 {
			t.Errorf("%d connections are still counted as open", loop.pool.openConns)
		}
		if violations := loop.pool.guard.monitor.totalViolations(); violations != 0 {
			t.Errorf("%d violations of invariants", violations)
		}
		if remaining := memory.remaining.Load(); remaining != loop.memory {
			t.Errorf("%d bytes of the body memory are not released", loop.memory-remaining)
		}
	})
	loop.execute(loop.nowMS(), balancer.Start(loop.nowMS()))
	loop.applyEndpointUpdate(loop.nowMS(), endpointUpdate{kind: balance.UpdateCached, endpoints: config.knownEndpoints})
	return loop
}

func (loop *steppedLoop) nowMS() float64 { return loop.clock.unixMS(time.Now()) }

// submit handles the arrival of a request, which starts its first attempt.
func (loop *steppedLoop) submit(class string) *call {
	call := loop.newCall(class)
	loop.handleEvent(loop.nowMS(), requestArrived{call})
	return call
}

func (loop *steppedLoop) newCall(class string) *call {
	created := &call{response: make(chan response, 1), deadline: time.Now().Add(testTimeout), outbound: &outboundRequest{
		method: "POST", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}, body: []byte("plate 12-34"),
	}}
	created.request.Class = loop.config.classIndexes[class]
	return created
}

// nextCompleted waits for the end of an attempt and returns the event without handling it.
func (loop *steppedLoop) nextCompleted() attemptCompleted {
	loop.t.Helper()
	return receiveWithin(loop.t, "the end of an attempt", loop.events).(attemptCompleted)
}

// disconnect ends a call as the frontend does when the client disconnects.
func (loop *steppedLoop) disconnect(call *call) {
	loop.t.Helper()
	if !call.markAnswered() {
		loop.t.Fatal("call is already answered")
	}
	loop.handleEvent(loop.nowMS(), clientDisconnected{call})
}

// takeResponse receives the response of a call as the frontend does. It fails the test if there is no response.
func (loop *steppedLoop) takeResponse(call *call) response {
	loop.t.Helper()
	select {
	case resp := <-call.response:
		loop.pool.responseMemory.release(resp.reservedBytes)
		return resp
	default:
		loop.t.Fatal("call is not answered")
		panic("unreachable")
	}
}

// assertReleased checks that a call is answered and that no state of it is left.
func (loop *steppedLoop) assertReleased(call *call) {
	loop.t.Helper()
	if len(call.response) != 0 || len(loop.calls.byID) != 0 || !call.answered.Load() {
		loop.t.Errorf("%d unread responses, %d calls in the table, answered %v", len(call.response), len(loop.calls.byID), call.answered.Load())
	}
}

// deltaUpdate returns an update with changed endpoints.
func deltaUpdate(revision int64, changed ...endpoint) endpointUpdate {
	return endpointUpdate{kind: balance.UpdateDelta, endpoints: endpointList{Revision: revision, Endpoints: changed}}
}

// fullUpdate returns an update with a complete endpoint list.
func fullUpdate(revision int64, listed ...endpoint) endpointUpdate {
	return endpointUpdate{kind: balance.UpdateFull, endpoints: endpointList{Revision: revision, Endpoints: listed}}
}
