package main

import (
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	successorRequests = 60
	// mostColdShare is the largest share of the requests for a server in slow start beside one that is warm. Its settings give
	// it an eighth of its capacity.
	mostColdShare = 0.3
)

// announceSuccessor replaces the process at a server's address: its connections end, and discovery announces a new server there,
// while the former one stays listed.
func (r *rig) announceSuccessor(former *rigServer, podGroup int) {
	r.t.Helper()
	former.CloseClientConnections()
	successor := former.endpoint()
	successor.UID, successor.PodGroup, successor.BootMS = "successor", podGroup, float64(time.Now().UnixMilli())
	r.changes <- rigList{Revision: 2, Targets: []rigEndpoint{successor}}
	time.Sleep(300 * time.Millisecond) // the sidecar reads the change
}

// requestsTo sends requests of a class and returns their IDs.
func (r *rig) requestsTo(class string) (ids []string) {
	client := &usualClient{address: r.address, class: class}
	defer client.close()
	for range successorRequests {
		ids = append(ids, client.request().id)
	}
	return ids
}

// A new server comes up at the address of one that has gone and is still listed. The sidecar must not reach it under the former
// name: it is not in the former one's cell, so a retry there executes a request twice.
func TestSuccessorAtAddressExecutesRetryTwice(t *testing.T) {
	r := newRig(t, programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: 0.5, servers: 2})
	peer := r.servers[1]
	peer.handle = func(w http.ResponseWriter, _ *http.Request) { // executes, and ends without a response
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0) // otherwise the connection ends in another way
			conn.Close()
		}
	}
	r.announceSuccessor(r.servers[0], 2)
	for _, id := range r.requestsTo("cell") {
		if count := r.executions(id); count > 1 {
			t.Errorf("%s was executed %d times", id, count)
		}
	}
	if len(peer.executed) == 0 {
		t.Error("no request has reached the peer")
	}
}

// A new server in slow start comes up at the address of one that has gone and is still listed. It must not get the requests of the
// former one, which was warm.
func TestSuccessorAtAddressGetsShareOfPredecessor(t *testing.T) {
	r := newRig(t, programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: 0.5, servers: 2})
	r.announceSuccessor(r.servers[0], 0)
	cold := 0
	for _, id := range r.requestsTo("safe") {
		cold += r.servers[0].executions(id)
	}
	if float64(cold) > mostColdShare*successorRequests {
		t.Errorf("the server in slow start got %d of %d requests", cold, successorRequests)
	}
}
