package sidecar

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/balance"
)

// newRecordingClient makes a discovery client whose updates the test receives.
func newRecordingClient(t *testing.T, address string) (*discoveryClient, chan endpointUpdate) {
	updates := make(chan endpointUpdate, 16)
	var work sync.WaitGroup
	client := newDiscoveryClient(address, func(event loopEvent) { updates <- event.(endpointUpdate) }, func(task func()) { work.Go(task) })
	t.Cleanup(func() {
		client.cancel()
		work.Wait()
	})
	return client, updates
}

func TestWatchReportsEachKindOfUpdate(t *testing.T) {
	registry := newFakeRegistry(t)
	client, updates := newRecordingClient(t, registry.address())
	client.revision.Store(41)
	client.watch(t.Context())
	call := receiveWithin(t, "the call", registry.calls)
	if call.query != "watch=1&after=41" {
		t.Errorf("requested %q", call.query)
	}
	call.sendList(t, endpointList{Revision: 43, Endpoints: []endpoint{readyEndpoint("a", "127.0.0.1:1")}})
	if update := receiveWithin(t, "the change", updates); update.kind != balance.UpdateDelta || update.endpoints.Revision != 43 || update.endpoints.Endpoints[0].UID != "a" {
		t.Errorf("%+v", update)
	}
	call.sendLine(t, "")
	call.sendList(t, endpointList{Revision: 44, Complete: true, Endpoints: []endpoint{}})
	if update := receiveWithin(t, "the list", updates); update.kind != balance.UpdateFull {
		t.Errorf("%+v", update)
	}
	close(call.lines)
	if update := receiveWithin(t, "the end", updates); update.kind != balance.UpdateFailed {
		t.Errorf("%+v", update)
	}
	if len(updates)+len(registry.calls) > 0 {
		t.Error("more than one report of the end, or a call by itself")
	}
}

func TestFailedCallIsReportedOnce(t *testing.T) {
	registry := newFakeRegistry(t)
	client, updates := newRecordingClient(t, registry.address())
	for name, call := range map[string]func(context.Context){"watch": client.watch, "list": client.fetchList} {
		t.Run(name, func(t *testing.T) {
			call(t.Context())
			receiveWithin(t, "the call", registry.calls).failWith <- http.StatusServiceUnavailable
			if update := receiveWithin(t, "the failure", updates); update.kind != balance.UpdateFailed {
				t.Errorf("%+v", update)
			}
		})
	}
	registry.Close()
	client.watch(t.Context())
	if update := receiveWithin(t, "the refused connection", updates); update.kind != balance.UpdateFailed {
		t.Errorf("%+v", update)
	}
	if len(updates)+len(registry.calls) > 0 {
		t.Error("more than one report of a failure, or a call by itself")
	}
}

func TestFetchReportsFullList(t *testing.T) {
	registry := newFakeRegistry(t)
	client, updates := newRecordingClient(t, registry.address())
	client.fetchList(t.Context())
	call := receiveWithin(t, "the call", registry.calls)
	call.sendList(t, endpointList{Revision: 7, Complete: true, Endpoints: []endpoint{readyEndpoint("a", "127.0.0.1:1")}})
	close(call.lines)
	if update := receiveWithin(t, "the list", updates); update.kind != balance.UpdateFull || len(update.endpoints.Endpoints) != 1 {
		t.Errorf("%+v", update)
	}
	if call.query != "" || len(updates) > 0 {
		t.Errorf("requested %q, %d more updates", call.query, len(updates))
	}
}

// A watch without a line for longer than the heartbeat interval has ended, although its connection is open. It is
// reopened.
func TestSilentWatchIsReopened(t *testing.T) {
	registry := newFakeRegistry(t)
	client, updates := newRecordingClient(t, registry.address())
	client.heartbeatTimeout = 50 * time.Millisecond
	client.watch(t.Context())
	call := receiveWithin(t, "the call", registry.calls)
	call.sendList(t, endpointList{Revision: 1})
	receiveWithin(t, "the first line", updates)
	nextCall := receiveWithin(t, "the next call", registry.calls)
	select {
	case <-call.disconnected:
	case <-time.After(testTimeout):
		t.Error("the silent connection is still open")
	}
	close(nextCall.lines)
	if update := receiveWithin(t, "the end", updates); update.kind != balance.UpdateFailed || len(updates) > 0 {
		t.Errorf("%+v", update)
	}
}

// A call that discovery accepts and never answers fails as well.
func TestUnansweredCallFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, updates := newRecordingClient(t, listener.Addr().String())
	client.callTimeout = 50 * time.Millisecond
	client.fetchList(t.Context())
	if update := receiveWithin(t, "the failure", updates); update.kind != balance.UpdateFailed {
		t.Errorf("%+v", update)
	}
}

// A second watch changes nothing while one is open. After an address change the previous service is ignored, the end
// of its watch is no failure, and the first request to the new service does not name the previous revision.
func TestWatchAfterAddressChange(t *testing.T) {
	previous, registry := newFakeRegistry(t), newFakeRegistry(t)
	client, updates := newRecordingClient(t, previous.address())
	client.revision.Store(41)
	client.watch(t.Context())
	first := receiveWithin(t, "the first call", previous.calls)
	client.watch(t.Context())
	client.switchAddress(registry.address())
	client.watch(t.Context())
	receiveWithin(t, "the old watch to end", first.disconnected)
	second := receiveWithin(t, "the second call", registry.calls)
	if second.query != "watch=1" {
		t.Errorf("requested %q", second.query)
	}
	client.watch(t.Context())
	second.sendList(t, endpointList{Revision: 2})
	if update := receiveWithin(t, "the new line", updates); update.kind != balance.UpdateDelta || update.generation != client.generation || len(updates) > 0 {
		t.Errorf("%+v", update)
	}
	if len(previous.calls)+len(registry.calls) > 0 {
		t.Error("a watch was opened twice")
	}
}

// reloadDiscovery reloads the configuration with another discovery address.
func (sidecar *testSidecar) reloadDiscovery(address string) {
	config, err := newConfigDocument(address).load(sidecar.t)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	sidecar.Reload(config)
}

// Reloads change the discovery address several times, once to a service that is down, with lists that are pushed and
// polled. Servers that stay listed keep their connections, requests are served, and queued updates of the old service
// do not override those of the new one.
func TestReloadsSwitchDiscovery(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
			registry := newFakeRegistry(t)
			sidecar := startSidecar(t, newConfigDocument(registry.address(), serverA.endpoint).replaceSetting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`))
			watch := receiveWithin(t, "the watch", registry.calls)
			for revision := int64(101); revision < 104; revision++ { // revisions that the next service does not know
				next := newFakeRegistry(t)
				sidecar.loop.post(endpointUpdate{generation: int(revision-101) * 2, endpoints: listWithState(900, serverA, serverB, "Ready")}) // of the present generation: in force
				sidecar.reloadDiscovery("127.0.0.1:1")                                                                                         // nobody listens there: calls fail
				sidecar.reloadDiscovery(next.address())
				sidecar.loop.post(endpointUpdate{generation: int(revision-101) * 2, endpoints: listWithState(901, serverA, serverB, "Gone")}) // of a previous generation: ignored
				receiveWithin(t, "the old watch to end", watch.disconnected)
				watch = receiveWithin(t, "the new watch", next.calls)
				if watch.query != "watch=1" {
					t.Errorf("requested %q", watch.query)
				}
				both := listWithState(revision-100, serverA, serverB, "Ready")
				both.Complete = true
				watch.sendList(t, both)
				waitUntil(t, "the new list", func() bool { return sidecar.loop.discovery.revision.Load() == revision-100 })
				before := serverA.requests.Load()
				for range 8 {
					if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
						t.Errorf("%+v", got)
					}
				}
				if serverA.requests.Load() == before {
					t.Error("server A is not used: an old update overrode the new one")
				}
			}
			if conns := serverA.conns.Load(); conns != 1 {
				t.Errorf("%d connections to a server that was there all the time", conns)
			}
			sidecar.reloadDiscovery(newFakeRegistry(t).address()) // the test ends with a watch that was just opened
		})
	}
}

// While the new service is unavailable after a reload, the known servers are used, and it is called until it is
// available.
func TestReloadWhileDiscoveryIsUnavailable(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address(), server.endpoint))
	watch := receiveWithin(t, "the watch", registry.calls)
	unavailable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unavailable.Close()
	setTestDeadline(t, unavailable.(*net.TCPListener))
	sidecar.reloadDiscovery(unavailable.Addr().String())
	receiveWithin(t, "the old watch to end", watch.disconnected)
	for i := range 2 { // each call fails and is followed by another
		call, err := unavailable.Accept()
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		call.Close()
		if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
			t.Errorf("%+v", got)
		}
	}
}

// The list of the configuration is used until discovery answers. The first call asks for the changes after it.
func TestConfiguredListServesImmediately(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address(), server.endpoint))
	if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
		t.Errorf("%+v", got)
	}
	if call := receiveWithin(t, "the watch", registry.calls); !strings.HasPrefix(call.query, "watch=1") {
		t.Errorf("requested %q", call.query)
	}
}

// Where lists are pushed the balancer asks for nothing: the sidecar keeps a watch open by itself.
func TestPushedListsAreWatched(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address()).replaceSetting(`"discovery": "subscribe"`, `"discovery": "automatic"`))
	close(receiveWithin(t, "the watch", registry.calls).lines)
	nextWatch := receiveWithin(t, "the next watch", registry.calls)
	nextWatch.sendList(t, endpointList{Revision: 5, Complete: true, Endpoints: []endpoint{server.endpoint}})
	waitUntil(t, "the list to be taken", func() bool { return sidecar.loop.discovery.revision.Load() == 5 })
	if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
		t.Errorf("%+v", got)
	}
}
