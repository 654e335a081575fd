package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// After SIGTERM requests are served on open and new connections until the drain deadline, because the application continues
// to use its open connections. Then each connection is closed after its response, and the address can be bound again.
func TestDrainServesUntilDeadline(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		if r.URL.RawQuery == "slow" {
			arrived <- struct{}{}
			<-release
		}
		return serveOK(conn, r, body)
	})
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	sidecar := startSidecar(t, document)
	sidecar.serveWindow = time.Second
	sidecar.do(sidecar.newRequest("charge", time.Second)) // leaves an idle connection
	slow := sidecar.newRequest("lookup", 2500*time.Millisecond)
	slow.URL.RawQuery = "slow"
	pending := sidecar.doAsync(slow)
	receiveWithin(t, "the slow request", arrived)

	sidecar.terminate()
	waitUntil(t, "the drain", func() bool { return sidecar.frontend.drainDeadline.Load() != nil })
	for range 3 {
		if r := sidecar.do(sidecar.newRequest("charge", time.Second)); r.status != 200 || r.connClosed {
			t.Errorf("on an open connection while draining: %+v", r)
		}
	}
	newClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: false}}
	resp, err := newClient.Do(sidecar.newRequest("charge", time.Second))
	if err != nil {
		t.Fatal("on a new connection while draining:", err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("on a new connection while draining: %s", resp.Status)
	}
	newClient.CloseIdleConnections()
	waitUntil(t, "connections to be closed", sidecar.frontend.closeAfterResponse.Load)
	close(release)
	if r := receiveWithin(t, "the slow response", pending); r.status != 200 {
		t.Errorf("client got %+v", r)
	}
	if err := receiveWithin(t, "the end of the sidecar", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil

	document["listen"] = sidecar.Addr()
	again := startSidecar(t, document)
	if r := again.do(again.newRequest("charge", time.Second)); r.status != 200 {
		t.Errorf("after the restart: %+v", r)
	}
}

// Clients that continue to send for some time after SIGTERM lose no request.
func TestDrainUnderLoad(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.serveWindow = testTimeout
	stop := make(chan struct{})
	served := make(chan int)
	for range 8 {
		go func() {
			count := 0
			for {
				select {
				case <-stop:
					served <- count
					return
				default:
				}
				if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
					t.Errorf("client got %+v", got)
				}
				count++
			}
		}()
	}
	waitUntil(t, "some load", func() bool { return server.requests.Load() > 50 })
	sidecar.terminate()
	waitUntil(t, "the drain", func() bool { return sidecar.frontend.drainDeadline.Load() != nil })
	before := server.requests.Load()
	waitUntil(t, "requests during the drain", func() bool { return server.requests.Load() > before+50 })
	close(stop)
	for range 8 {
		if count := receiveWithin(t, "the count of a client", served); count == 0 {
			t.Error("a client got no response")
		}
	}
	sidecar.client.CloseIdleConnections() // without connections the drain does not wait
	if err := receiveWithin(t, "the end of the sidecar", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}

// Connections without a request, or with a partial request, do not delay a drain. A request in flight is answered before the
// process may be killed.
func TestDrainWithIncompleteRequests(t *testing.T) {
	server := newBackend(t, "a", func(net.Conn, *http.Request, string) bool { select {} })
	server.Close() // refuses connections, so that the request waits in the balancer
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.serveWindow = time.Second
	for _, text := range []string{"", "GET /api HTT"} {
		conn, err := net.Dial("tcp", sidecar.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		tryWrite(conn, text)
	}
	pending := sidecar.doAsync(sidecar.newRequest("lookup", 800*time.Millisecond))
	waitUntil(t, "the connections", func() bool {
		return sidecar.frontend.listener.openCount() == 3 && sidecar.frontend.inFlight.Load() == 1
	})
	startedAt := time.Now()
	sidecar.terminate()
	waitUntil(t, "the drain", func() bool { return sidecar.frontend.drainDeadline.Load() != nil })
	if got := receiveWithin(t, "the response", pending); got.status == 0 {
		t.Error("the request was dropped")
	}
	err := receiveWithin(t, "the end of the sidecar", sidecar.done)
	if elapsed := time.Since(startedAt); err != nil || elapsed > 2500*time.Millisecond {
		t.Errorf("drain ended with %v after %v", err, elapsed)
	}
	sidecar.done <- nil
}

// SIGKILL follows SIGTERM after at most 3.7 s, however long the deadline of a class is. The sidecar must write the last
// response before SIGKILL.
func TestDrainEndsBeforeKill(t *testing.T) {
	for _, test := range []struct {
		deadlineMS string
		kill       time.Duration
	}{{"2000", 2700 * time.Millisecond}, {"3000", 3700 * time.Millisecond}, {"5000", 3700 * time.Millisecond}} {
		t.Run("deadline of "+test.deadlineMS+" ms", func(t *testing.T) {
			document := newConfigDocument("127.0.0.1:1").replaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": `+test.deadlineMS)
			config, err := document.load(t)
			if err != nil {
				t.Fatal(err)
			}
			instance, err := New(config)
			if err != nil {
				t.Fatal(err)
			}
			if err := instance.frontend.listener.Close(); err != nil {
				t.Error(err)
			}
			end := instance.serveWindow + finalResponseWindow
			if end > test.kill-shutdownMargin || end < test.kill-500*time.Millisecond {
				t.Errorf("the last response is due %v after SIGTERM, SIGKILL after %v", end, test.kill)
			}
		})
	}
}

// A request that arrived before SIGTERM, and whose deadline is after the end of the process, is answered before that end.
func TestDrainAnswersLongRequests(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := newBackend(t, "a", func(conn net.Conn, _ *http.Request, _ string) bool {
		arrived <- struct{}{}
		discard(conn)
		return false
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.serveWindow = 100 * time.Millisecond
	pending := sidecar.doAsync(sidecar.newRequest("charge", testTimeout))
	receiveWithin(t, "the request", arrived)
	sidecar.terminate()
	if response := receiveWithin(t, "its response", pending); response.status != statusTimedOut {
		t.Errorf("client got %+v, want status %d", response, statusTimedOut)
	}
	if err := receiveWithin(t, "the end of the sidecar", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}
