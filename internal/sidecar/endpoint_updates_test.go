package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// listWithState returns an incremental list of two servers, the first in the given state.
func listWithState(revision int64, serverA, serverB *backend, state string) endpointList {
	first := serverA.endpoint
	first.State = state
	return endpointList{Revision: revision, Endpoints: []endpoint{first, serverB.endpoint}}
}

// A draining or removed server gets no new requests, and an added server is used.
func TestListChangesMoveTraffic(t *testing.T) {
	serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address(), serverA.endpoint))
	watch := receiveWithin(t, "the watch", registry.calls)
	revision := int64(1)
	for _, state := range []string{"Terminating", "Ready", "Gone"} {
		revision++
		watch.sendList(t, listWithState(revision, serverA, serverB, state))
		watch.sendLine(t, "") // returns only after the previous line was written
		waitUntil(t, "the list to be applied", func() bool { return sidecar.loop.discovery.revision.Load() == revision })
		before := serverA.requests.Load()
		for i := range 8 {
			if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
				t.Errorf("%s: request %d: %+v", state, i, got)
			}
		}
		if used := serverA.requests.Load() > before; used != (state == "Ready") {
			t.Errorf("%s: the server is used: %v", state, used)
		}
	}
	if serverB.requests.Load() == 0 {
		t.Error("the new server was not used")
	}
}

// When discovery reports a server as restarted, withdrawn or moved to another address, the sidecar closes its connections to
// the previous process immediately, not after their idle timeout.
func TestConnectionsOfReplacedProcessAreClosed(t *testing.T) {
	for name, listAfter := range map[string]func(endpoint) endpointList{
		"restarted": func(listed endpoint) endpointList {
			listed.BootMS = float64(time.Now().UnixMilli())
			return endpointList{Revision: 2, Endpoints: []endpoint{listed}}
		},
		"draining": func(listed endpoint) endpointList {
			listed.State = "Terminating"
			return endpointList{Revision: 2, Endpoints: []endpoint{listed}}
		},
		"removed": func(listed endpoint) endpointList {
			listed.State = "Gone"
			return endpointList{Revision: 2, Endpoints: []endpoint{listed}}
		},
		"address changed": func(listed endpoint) endpointList {
			listed.Address = "127.0.0.1:1"
			return endpointList{Revision: 2, Endpoints: []endpoint{listed}}
		},
		"not in the full list": func(endpoint) endpointList { return endpointList{Revision: 2, Complete: true, Endpoints: []endpoint{}} },
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
				if serveOK(conn, r, body) {
					if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
						closed <- struct{}{}
					}
				}
				return false
			})
			r := newFakeRegistry(t)
			sidecar := startSidecar(t, newConfigDocument(r.address(), server.endpoint))
			watch := receiveWithin(t, "the watch", r.calls)
			if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
				t.Fatalf("%+v", got)
			}
			notifiedAt := time.Now()
			watch.sendList(t, listAfter(server.endpoint))
			receiveWithin(t, "the old connection to close", closed)
			if elapsed := time.Since(notifiedAt); elapsed > 5*time.Second {
				t.Errorf("the connection was closed after %v, by its idle timeout", elapsed)
			}
		})
	}
}

// Discovery lists a boot time in the future for a server whose clock is ahead. The slow start of the server begins when it is
// first listed, not in the future, and does not begin again when it is listed again.
func TestFutureStartTimeIsCapped(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address()))
	watch := receiveWithin(t, "the watch", registry.calls)
	ahead := server.endpoint
	ahead.BootMS = float64(time.Now().Add(time.Hour).UnixMilli())
	for revision := int64(2); revision < 4; revision++ {
		watch.sendList(t, endpointList{Revision: revision, Complete: true, Endpoints: []endpoint{ahead}})
		waitUntil(t, "the list", func() bool { return sidecar.loop.discovery.revision.Load() == revision })
	}
	sidecar.do(sidecar.newRequest("lookup", time.Second)) // its response proves that the event loop has handled both lists
	sidecar.terminate()
	if err := receiveWithin(t, "the end", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
	for _, upstream := range sidecar.loop.readyUpstreams {
		if now := sidecar.loop.clock.unixMS(time.Now()); upstream.startedAtMS <= 0 || upstream.startedAtMS > now {
			t.Errorf("start time %v, current time %v", upstream.startedAtMS, now)
		}
	}
	if len(sidecar.loop.readyUpstreams) != 1 {
		t.Errorf("%d servers", len(sidecar.loop.readyUpstreams))
	}
}
