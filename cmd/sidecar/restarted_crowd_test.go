package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

const (
	crowdSidecars    = 24
	crowdServiceTime = 300 * time.Millisecond // of one call to discovery
	crowdCallsBefore = 47                     // calls of the same crowd when calls were given up
	// crowdReserve is what the test leaves to a busy machine; when calls were given up, the last list came 1.5 s too late.
	crowdReserve = 500 * time.Millisecond
)

// crowdedDiscovery is a discovery service that answers calls in turn, one each serviceTime. A call that was given up is
// skipped.
type crowdedDiscovery struct {
	serviceTime time.Duration
	list        string
	queue       chan *queuedCall

	mu             sync.Mutex
	calls, lists   int
	firstCall      time.Time
	latestListSent time.Time
}

// queuedCall is a call that waits in turn.
type queuedCall struct {
	ctx  context.Context
	turn chan struct{} // closed when the call is to be answered
}

func startCrowdedDiscovery(t *testing.T, serviceTime time.Duration, list string) (discovery *crowdedDiscovery, address string) {
	t.Helper()
	discovery = &crowdedDiscovery{serviceTime: serviceTime, list: list, queue: make(chan *queuedCall, 10000)}
	server := httptest.NewServer(discovery)
	var goroutines sync.WaitGroup
	goroutines.Go(discovery.serveInTurn)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		close(discovery.queue)
		goroutines.Wait()
	})
	return discovery, server.Listener.Addr().String()
}

// serveInTurn answers the calls of the queue. The answers are at fixed times, so that a busy machine does not add up delays.
func (d *crowdedDiscovery) serveInTurn() {
	var servedAt time.Time
	for call := range d.queue {
		if call.ctx.Err() != nil {
			continue
		}
		if idleSince := time.Now().Add(-d.serviceTime); servedAt.Before(idleSince) {
			servedAt = time.Now()
		}
		servedAt = servedAt.Add(d.serviceTime)
		time.Sleep(time.Until(servedAt))
		close(call.turn)
	}
}

// ServeHTTP answers a call when its turn has come. Then it sends an empty line every second.
func (d *crowdedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	if d.calls++; d.calls == 1 {
		d.firstCall = time.Now()
	}
	d.mu.Unlock()
	call := &queuedCall{r.Context(), make(chan struct{})}
	d.queue <- call
	select {
	case <-call.turn:
	case <-r.Context().Done():
		return
	}
	d.mu.Lock()
	d.lists++
	d.latestListSent = time.Now()
	d.mu.Unlock()
	fmt.Fprint(w, d.list)
	for http.NewResponseController(w).Flush() == nil {
		select {
		case <-time.After(time.Second):
			fmt.Fprint(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// listsSent returns the number of lists that were sent.
func (d *crowdedDiscovery) listsSent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lists
}

// Sidecars that are restarted at once crowd discovery. They gave up calls that waited, which lost their turns, and the last
// list came later than discovery can answer one call of each sidecar.
func TestRestartedCrowdLosesItsTurns(t *testing.T) {
	discovery, address := startCrowdedDiscovery(t, crowdServiceTime, `{"rev":1,"all":true,"targets":[]}`+"\n")
	for i := range crowdSidecars {
		config := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"%x","settings":{
			"discovery":"subscribe","my_number":%d,"peers_total":%d,"quantum_ms":2,"rules":{"drain_grace_ms":750,"ask_within_ms":10000},
			"classes":[{"name":"c","effect":"read_like","group":"all","on_time_ms":500,"hard_limit_ms":2000}]}}`,
			i, address, i+1, i, crowdSidecars)
		command, _ := newProgram(t, config)
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = command.Process.Kill() // fails only if the process has ended
			_ = command.Wait()
		})
	}
	shortest := crowdSidecars * crowdServiceTime
	for deadline := time.Now().Add(4 * shortest); discovery.listsSent() < crowdSidecars; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d sidecars have a list after %v", discovery.listsSent(), crowdSidecars, 4*shortest)
		}
	}
	last := discovery.latestListSent.Sub(discovery.firstCall)
	t.Logf("%d sidecars, %v a call: the last list after %v, %d calls", crowdSidecars, crowdServiceTime, last, discovery.calls)
	if last > shortest+crowdReserve {
		t.Errorf("the last list was sent %v after the first call, discovery can send all within %v", last, shortest)
	}
	if discovery.calls > crowdCallsBefore {
		t.Errorf("%d calls, %d before", discovery.calls, crowdCallsBefore)
	}
}
