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

// newRecordingClient returns a discovery client and the channel to which it posts its updates.
func newRecordingClient(t *testing.T, address string) (*discoveryClient, chan endpointUpdate) {
	updates := make(chan endpointUpdate, 16)
	var work sync.WaitGroup
	client := newDiscoveryClient(address, &balance.Config{SidecarCount: 80}, func(event loopEvent) { updates <- event.(endpointUpdate) }, func(task func()) { work.Go(task) })
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
		t.Error("the end was reported more than once, or the client called again by itself")
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
		t.Error("a failure was reported more than once, or the client called again by itself")
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

// A watch without data for longer than the heartbeat timeout ends, although its connection is open. The client reopens it.
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
		t.Error("the connection of the silent watch is still open")
	}
	close(nextCall.lines)
	if update := receiveWithin(t, "the end", updates); update.kind != balance.UpdateFailed || len(updates) > 0 {
		t.Errorf("%+v", update)
	}
}

// A call fails if discovery accepts the connection and never responds.
func TestUnansweredCallFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, updates := newRecordingClient(t, listener.Addr().String())
	client.listTimeout = 50 * time.Millisecond
	client.fetchList(t.Context())
	if update := receiveWithin(t, "the failure", updates); update.kind != balance.UpdateFailed {
		t.Errorf("%+v", update)
	}
}

// A call of watch has no effect while a watch is open. After an address change, updates of the previous service are ignored,
// the end of the watch there is not reported as a failure, and the first request to the new service does not name the
// revision of the previous service.
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
		t.Error("a second watch was opened")
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

// Reloads change the discovery address several times, each time first to an address where nobody listens, with pushed and
// polled lists. Servers that stay listed keep their connections, requests are served, and queued updates of the previous
// service do not override those of the new one.
func TestReloadsSwitchDiscovery(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
			registry := newFakeRegistry(t)
			sidecar := startSidecar(t, newConfigDocument(registry.address(), serverA.endpoint).replaceSetting(`"discovery": "subscribe"`, `"discovery": "`+mode+`"`))
			watch := receiveWithin(t, "the watch", registry.calls)
			for revision := int64(101); revision < 104; revision++ { // revisions that the next service does not know
				next := newFakeRegistry(t)
				// This update is of the current generation and is applied.
				sidecar.loop.post(endpointUpdate{generation: int(revision-101) * 2, endpoints: listWithState(900, serverA, serverB, "Ready")})
				// Nobody listens at this address, so calls fail.
				sidecar.reloadDiscovery("127.0.0.1:1")
				sidecar.reloadDiscovery(next.address())
				// This update is of an earlier generation and is ignored.
				sidecar.loop.post(endpointUpdate{generation: int(revision-101) * 2, endpoints: listWithState(901, serverA, serverB, "Gone")})
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
					t.Error("server A is not used: an update of the previous service overrode the new list")
				}
			}
			if conns := serverA.conns.Load(); conns != 1 {
				t.Errorf("%d connections to a server that stayed listed, want 1", conns)
			}
			sidecar.reloadDiscovery(newFakeRegistry(t).address()) // so that the test ends while a watch is being opened
		})
	}
}

// While the new discovery service is unavailable after a reload, the sidecar uses the known servers and retries its calls to
// the service.
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

// The sidecar uses the endpoint list of its configuration until discovery answers. The first call of the sidecar to
// discovery watches the changes after that list.
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

// Where lists are pushed, the balancer requests no lists: the sidecar keeps a watch open by itself.
func TestPushedListsAreWatched(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address()).replaceSetting(`"discovery": "subscribe"`, `"discovery": "automatic"`))
	close(receiveWithin(t, "the watch", registry.calls).lines)
	nextWatch := receiveWithin(t, "the next watch", registry.calls)
	nextWatch.sendList(t, endpointList{Revision: 5, Complete: true, Endpoints: []endpoint{server.endpoint}})
	waitUntil(t, "the list to be applied", func() bool { return sidecar.loop.discovery.revision.Load() == 5 })
	if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
		t.Errorf("%+v", got)
	}
}
