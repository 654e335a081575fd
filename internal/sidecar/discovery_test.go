package sidecar

import (
	"context"
	"errors"
	"io"
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
		call(t.Context())
		receiveWithin(t, "the call", registry.calls).failWith <- http.StatusServiceUnavailable
		if update := receiveWithin(t, "the failure", updates); update.kind != balance.UpdateFailed {
			t.Errorf("%s: %+v", name, update)
		}
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
	client.silenceTimeout = 50 * time.Millisecond
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

// Asking for a watch while one is open changes nothing. After an address change the old service is ignored, the end
// of its watch is no failure, and the new service is not asked by the old revision.
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

// listWithState is a list of two servers, the first in a given state.
func listWithState(revision int64, serverA, serverB *backend, state string) endpointList {
	first := serverA.endpoint
	first.State = state
	return endpointList{Revision: revision, Endpoints: []endpoint{first, serverB.endpoint}}
}

// A server that drains or is removed gets nothing new, and one that is added is used.
func TestListChangesMoveTraffic(t *testing.T) {
	serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address(), serverA.endpoint))
	watch := receiveWithin(t, "the watch", registry.calls)
	revision := int64(1)
	for _, state := range []string{"Terminating", "Ready", "Gone"} {
		revision++
		watch.sendList(t, listWithState(revision, serverA, serverB, state))
		watch.sendLine(t, "") // accepted only after the line before was written
		waitUntil(t, "the list to be taken", func() bool { return sidecar.loop.discovery.revision.Load() == revision })
		before := serverA.requests.Load()
		for i := range 8 {
			if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
				t.Errorf("%s: request %d: %+v", state, i, got)
			}
		}
		if used := serverA.requests.Load() > before; used != (state == "Ready") {
			t.Errorf("%s: used is %v", state, used)
		}
	}
	if serverB.requests.Load() == 0 {
		t.Error("the new server was not used")
	}
}

// Connections to a process that has ended are closed when discovery reports it, not when they are idle for too long.
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
			server := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				if serveOK(c, r, body) {
					if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
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
				t.Errorf("it closed after %v, by its age", elapsed)
			}
		})
	}
}

// Unusable entries are dropped, invalid numbers count as unknown, and a list that would remove all servers by mistake
// is an error.
func TestInvalidListsAreSanitized(t *testing.T) {
	valid := readyEndpoint("a", "127.0.0.1:7")
	with := func(change func(*endpoint)) endpoint {
		changed := valid
		change(&changed)
		return changed
	}
	list := endpointList{Complete: true, Endpoints: []endpoint{
		with(func(t *endpoint) { t.Address = "127.0.0.1:8" }), // doubled: the later one counts
		with(func(t *endpoint) { t.UID = "" }),
		with(func(t *endpoint) { t.UID, t.Address = "b", "127.0.0.1:0" }),
		with(func(t *endpoint) { t.UID, t.Address = "c", "host.local:80" }),
		with(func(t *endpoint) { t.UID, t.Address = "d", "127.0.0.1:99999" }),
		with(func(t *endpoint) { t.UID, t.Address, t.State = "e", "", "Gone" }),
		with(func(t *endpoint) { t.UID, t.CapacityHint, t.BootMS = "f", 1e12, -5 }),
		with(func(t *endpoint) { t.UID, t.CapacityHint = "g", -1 }),
		valid,
	}}
	if err := list.sanitize(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, entry := range list.Endpoints {
		got = append(got, entry.UID+" "+entry.Address)
		if entry.CapacityHint != 1 || entry.BootMS != 0 {
			t.Errorf("%+v", entry)
		}
	}
	if want := "e ,f 127.0.0.1:7,g 127.0.0.1:7,a 127.0.0.1:7"; strings.Join(got, ",") != want {
		t.Errorf("%q, want %q", got, want)
	}
	for name, list := range map[string]endpointList{
		"no targets":     {Complete: true},
		"nothing usable": {Complete: true, Endpoints: []endpoint{{UID: "a"}, {Address: "127.0.0.1:1"}}},
	} {
		if list.sanitize() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A line that is no list, or never ends, ends the watch; the known servers stay in use.
func TestUnreadableListEndsWatch(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	registry := newFakeRegistry(t)
	sidecar := startSidecar(t, newConfigDocument(registry.address(), server.endpoint))
	for _, line := range []string{`{"rev":9,"all":true}`, `{"rev":9,`, "[]", strings.Repeat("x", 2*maxListBytes)} {
		call := receiveWithin(t, "the watch", registry.calls)
		call.sendLine(t, line)
		receiveWithin(t, "the watch to end", call.disconnected)
		if got := sidecar.do(sidecar.newRequest("lookup", time.Second)); got.status != 200 {
			t.Errorf("after %.20q: %+v", line, got)
		}
		close(call.lines)
	}
}

// A server whose clock is ahead is in slow start from when it is first listed, not from a time in the future, and
// only once.
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
	sidecar.do(sidecar.newRequest("lookup", time.Second)) // the event loop has handled both lists
	sidecar.terminate()
	if err := receiveWithin(t, "the end", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
	for _, upstream := range sidecar.loop.readyUpstreams {
		if now := sidecar.loop.clock.unixMS(time.Now()); upstream.startedAtMS <= 0 || upstream.startedAtMS > now {
			t.Errorf("started at %v, now is %v", upstream.startedAtMS, now)
		}
	}
	if len(sidecar.loop.readyUpstreams) != 1 {
		t.Errorf("%d servers", len(sidecar.loop.readyUpstreams))
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
