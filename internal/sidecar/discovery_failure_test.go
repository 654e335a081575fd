package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/balance"
)

// callScript defines how discovery treats one call. If dial is set, it replaces the dialer and no connection is established.
// If dial is not set, handle serves the connection.
type callScript struct {
	name   string
	dial   func(ctx context.Context) error
	handle func(remote net.Conn)
	resets bool // the connection ends with a reset
	silent bool // the call is not answered; discovery may become reachable during this call, and right after any other call
}

func closeImmediately(remote net.Conn) { remote.Close() }

var failureScripts = []callScript{
	{name: "refused", dial: func(context.Context) error { return syscall.ECONNREFUSED }},
	{name: "reset", handle: closeImmediately, resets: true},
	{name: "503", handle: func(remote net.Conn) {
		tryWrite(remote, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}},
	{name: "closed at once", handle: closeImmediately},
	{name: "silent", handle: func(net.Conn) {}, silent: true},
	{name: "dial timeout", silent: true, dial: func(ctx context.Context) error {
		select { // the same as the replaced dialer
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(dialTimeout):
			return os.ErrDeadlineExceeded
		}
	}},
}

// resetConnReader is a connection that returns a reset error from Read after its peer has closed.
type resetConnReader struct{ net.Conn }

func (r resetConnReader) Read(buffer []byte) (int, error) {
	n, err := r.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// loadScriptedConfig returns a configuration for a large fleet and a discovery mode, "automatic" or "subscribe".
func loadScriptedConfig(t *testing.T, mode string, seed int) *Config {
	t.Helper()
	document := newConfigDocument("127.0.0.1:1").replaceSetting(`"subscribe"`, fmt.Sprintf(`%q, "peers_total": 80`, mode))
	document["seed"] = fmt.Sprintf("%x", seed)
	config, err := document.load(t)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// runAgainstScript runs an event loop on a fake clock against a scripted discovery service, which answers the call after the
// script with revision 9. In the scenario "start" the script begins with the first call; in "closed" and "address changed"
// the loop first has a watch, which is closed or whose address changes. It returns the time of each call of the script and
// the time at which revision 9 was received.
func runAgainstScript(t *testing.T, mode, scenario string, seed int, script []callScript) (calls []time.Time, receivedAt time.Time) {
	t.Helper()
	config := loadScriptedConfig(t, mode, seed)
	balancer, err := balance.New(config.settings)
	if err != nil {
		t.Fatal(err)
	}
	discovery := &scriptedDiscovery{}
	synctest.Test(t, func(t *testing.T) {
		established := make(chan net.Conn, 1)
		if scenario != "start" {
			discovery.addCalls(func(remote net.Conn) {
				tryWrite(remote, streamHeader+firstList)
				established <- remote
			})
		}
		listSent := make(chan struct{})
		discovery.script = append(discovery.script, script...)
		discovery.addCalls(func(remote net.Conn) {
			tryWrite(remote, streamHeader+strings.Replace(firstList, "1", "9", 1))
			close(listSent)
		})
		loop := newEventLoop(config, balancer, newConnPool(config, 100, &byteBudget{}))
		loop.discovery = newDiscoveryClient(config.DiscoveryAddress, &config.settings, loop.post, func(task func()) { loop.workers.Go(task) })
		loop.discovery.client.Transport.(*http.Transport).DialContext = discovery.dial
		ctx, cancel := context.WithCancel(t.Context())
		discovery.workers.Go(func() { loop.run(ctx) })
		if scenario != "start" {
			watch := <-established
			synctest.Wait()
			if scenario == "address changed" {
				loop.post(discoveryAddressChanged{"127.0.0.1:2"})
			} else {
				watch.Close()
			}
		}
		select {
		case <-listSent:
		case <-time.After(5 * time.Minute):
		}
		receivedAt = time.Now()
		if synctest.Wait(); loop.discovery.revision.Load() != 9 {
			t.Error("the list was not received")
		}
		cancel()
		discovery.workers.Wait()
	})
	if scenario != "start" {
		return discovery.calls[1:], receivedAt
	}
	return discovery.calls, receivedAt
}

// For all combinations of the last one or two failed calls, with and without earlier failures, the list is received before
// the platform's protocol counts it as known: 6 s after discovery can be reached. Discovery may become reachable right
// after a call that fails immediately, and at the start of a call that is not answered, so the 6 s start then.
func TestFailedCallsEndBeforeNotificationDeadline(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		for _, scenario := range []string{"start", "closed", "address changed"} {
			for _, refusedCalls := range []int{0, 6} { // number of refused calls at the start of the script
				worst := map[string]time.Duration{}
				for lastIndex, last := range failureScripts {
					for otherIndex, other := range append([]callScript{{name: ""}}, failureScripts...) {
						script := make([]callScript, refusedCalls, refusedCalls+3)
						for i := range script {
							script[i] = failureScripts[0]
						}
						firstFailure := refusedCalls
						if other.name != "" {
							script = append(script, other)
							if !other.silent && !last.silent {
								firstFailure++
							}
						}
						script = append(script, last)
						calls, receivedAt := runAgainstScript(t, mode, scenario, 10*lastIndex+otherIndex+1, script)
						elapsed := receivedAt.Sub(calls[firstFailure])
						if elapsed >= notificationDeadline {
							t.Errorf("%s, %s, %d refused, then %q, then %q: after %v", mode, scenario, refusedCalls, other.name, last.name, elapsed)
						}
						kind := fmt.Sprintf("%d in a row, silent %v", len(script)-firstFailure, other.silent || last.silent)
						worst[kind] = max(worst[kind], elapsed)
					}
				}
				t.Logf("worst, %s, %s, %d refused before: %v", mode, scenario, refusedCalls, worst)
			}
		}
	}
}

// Only a call that is rejected after minQueuedTime is reported as queued at discovery. A call that waits keeps its turn: the
// rejection of a later call beside it does not end it, and its own rejection is what is reported. A heartbeat resets the
// number of unanswered calls.
func TestQueuedCallsAreReported(t *testing.T) {
	rejectCall, queueTime := failureScripts[2].handle, 4*time.Second
	after := func(wait time.Duration, handle func(net.Conn)) func(net.Conn) {
		return func(remote net.Conn) { time.Sleep(wait); handle(remote) }
	}
	sendHeartbeat := func(remote net.Conn) { tryWrite(remote, streamHeader+"\n") }
	stall := func(net.Conn) {}
	closeAfterHeartbeat := func(remote net.Conn) {
		sendHeartbeat(remote)
		after(minQueuedTime, closeImmediately)(remote)
	}
	for name, test := range map[string]struct {
		handlers []func(net.Conn)
		queued   bool
		calls    int
	}{
		"rejected at once":          {[]func(net.Conn){rejectCall}, false, 1},
		"rejected after a while":    {[]func(net.Conn){after(minQueuedTime, rejectCall)}, true, 1},
		"closed after a while":      {[]func(net.Conn){after(minQueuedTime, closeImmediately)}, false, 1},
		"heartbeat, then closed":    {[]func(net.Conn){closeAfterHeartbeat}, false, 1},
		"the first queued call":     {[]func(net.Conn){after(queueTime, rejectCall), rejectCall}, true, 2},
		"the third queued call":     {[]func(net.Conn){stall, stall, after(queueTime, rejectCall)}, true, 3},
		"silence after a heartbeat": {[]func(net.Conn){stall, stall, sendHeartbeat, after(queueTime, rejectCall), rejectCall}, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripted := &scriptedDiscovery{}
				scripted.addCalls(test.handlers...)
				updates := make(chan endpointUpdate, 1)
				var work sync.WaitGroup
				client := newDiscoveryClient("127.0.0.1:1", &balance.Config{SidecarCount: 80}, func(event loopEvent) { updates <- event.(endpointUpdate) }, func(task func()) { work.Go(task) })
				client.client.Transport.(*http.Transport).DialContext = scripted.dial
				client.watch(t.Context())
				select {
				case update := <-updates:
					if update.kind != balance.UpdateFailed || update.discoveryUnreachable == test.queued || len(scripted.calls) != test.calls {
						t.Errorf("%+v after %d calls", update, len(scripted.calls))
					}
				case <-time.After(5 * time.Minute):
					t.Error("no failure reported within five minutes")
				}
				client.cancel()
				work.Wait()
				scripted.workers.Wait()
			})
		})
	}
}

// An endpoint list arrives before the first client connection is accepted. The first request must follow the list and avoid
// the draining server, whether the revision of the configured list is older or newer than the revision of the list.
func TestListBeforeFirstRequest(t *testing.T) {
	for _, known := range []int64{1, 5, 900} {
		for _, complete := range []bool{true, false} {
			serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
			registry := newFakeRegistry(t)
			document := newConfigDocument(registry.address())
			document["known"] = endpointList{Revision: known, Complete: true, Endpoints: []endpoint{serverA.endpoint}}
			var serve func()
			sidecar := startSidecar(t, document, func(sidecar *Sidecar) {
				sidecar.frontend.listener.mu.Lock() // no connection is accepted until it is unlocked
				serve = sync.OnceFunc(sidecar.frontend.listener.mu.Unlock)
			})
			t.Cleanup(serve)
			answers := sidecar.doAsync(sidecar.newRequest("charge", 2*time.Second))
			watch := receiveWithin(t, "the watch", registry.calls)
			if want := fmt.Sprintf("watch=1&after=%d", known); watch.query != want {
				t.Errorf("requested %q, want %q", watch.query, want)
			}
			update := listWithState(6, serverA, serverB, "Terminating")
			update.Complete = complete
			watch.sendList(t, update)
			waitUntil(t, "the list", func() bool { return sidecar.loop.discovery.revision.Load() == 6 })
			serve()
			if got := <-answers; got.status != 200 || serverA.requests.Load() != 0 || serverB.requests.Load() != 1 {
				t.Errorf("known revision %d, complete %v: %+v, %d reached the draining server", known, complete, got, serverA.requests.Load())
			}
		}
	}
}

// The event loop handles an endpoint list and the first request in one batch, in either order. The request is answered even
// if no server was known before the batch. If the list is first, the request is not sent to a draining server.
func TestListInSameBatchAsFirstRequest(t *testing.T) {
	for _, first := range []string{"list", "request"} {
		for _, known := range []bool{false, true} {
			serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
			blocked, release := make(chan struct{}), make(chan struct{})
			resume := sync.OnceFunc(func() { close(release) })
			document := newConfigDocument(newFakeRegistry(t).address())
			if known {
				document["known"] = endpointList{Revision: 1, Complete: true, Endpoints: []endpoint{serverA.endpoint}}
			}
			sidecar := startSidecar(t, document, func(sidecar *Sidecar) {
				sidecar.loop.discovery.spawn = func(func()) { // the event loop blocks when it opens its watch
					close(blocked)
					<-release
				}
			})
			t.Cleanup(resume)
			receiveWithin(t, "the event loop to block", blocked)
			var answers <-chan clientResult
			for _, event := range []string{first, "the other"} {
				waiting := len(sidecar.loop.events)
				if event == "list" || event == "the other" && first == "request" {
					sidecar.loop.post(endpointUpdate{kind: balance.UpdateFull, endpoints: listWithState(2, serverA, serverB, "Terminating")})
				} else {
					answers = sidecar.doAsync(sidecar.newRequest("charge", time.Second))
				}
				waitUntil(t, event, func() bool { return len(sidecar.loop.events) == waiting+1 })
			}
			resume()
			if got := <-answers; got.status != 200 || first == "list" && serverA.requests.Load() > 0 {
				t.Errorf("%s first, known %v: %+v, %d reached the draining server", first, known, got, serverA.requests.Load())
			}
		}
	}
}

// Reloads switch to another discovery service and back, with and without a call to the other service, and then name the same
// address again. The new watch of the first service names no revision, updates of the other service that arrive late are
// ignored, and the last reload leaves the watch open.
func TestAddressChangedThereAndBack(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		for _, called := range []bool{true, false} {
			serverA, serverB := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
			first, second := newFakeRegistry(t), newFakeRegistry(t)
			sidecar := startSidecar(t, newConfigDocument(first.address(), serverA.endpoint).replaceSetting(`"subscribe"`, fmt.Sprintf("%q", mode)))
			watch := receiveWithin(t, "the watch", first.calls)
			watch.sendList(t, endpointList{Revision: 5, Complete: true, Endpoints: []endpoint{serverA.endpoint}})
			waitUntil(t, "the list", func() bool { return sidecar.loop.discovery.revision.Load() == 5 })
			sidecar.reloadDiscovery(second.address())
			if called {
				call := receiveWithin(t, "the call elsewhere", second.calls)
				sidecar.reloadDiscovery(first.address())
				receiveWithin(t, "the call elsewhere to end", call.disconnected)
			} else {
				sidecar.reloadDiscovery(first.address())
			}
			receiveWithin(t, "the first watch to end", watch.disconnected)
			if watch = receiveWithin(t, "the watch again", first.calls); watch.query != "watch=1" {
				t.Errorf("requested %q", watch.query)
			}
			sidecar.loop.post(endpointUpdate{generation: 1, endpoints: listWithState(9, serverA, serverB, "Gone")}) // a queued update of the other service
			watch.sendList(t, endpointList{Revision: 3, Endpoints: []endpoint{serverA.endpoint}})
			waitUntil(t, "the list from the first", func() bool { return sidecar.loop.discovery.revision.Load() == 3 })
			sidecar.reloadDiscovery(first.address())
			if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 || serverA.requests.Load() != 1 {
				t.Errorf("%+v", got)
			}
			watch.sendList(t, listWithState(4, serverA, serverB, "Terminating"))
			waitUntil(t, "the change", func() bool { return sidecar.loop.discovery.revision.Load() == 4 })
			if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 || serverB.requests.Load() != 1 || len(first.calls) > 0 {
				t.Errorf("%+v, %d more calls", got, len(first.calls))
			}
		}
	}
}
