package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Pipelined requests are treated like requests on connections of their own: the timeout of each request starts at its
// arrival, and each request that was read is answered, however many are pipelined and whatever ends the connection.
func TestPipelinedRequestsAreServedLikeOthers(t *testing.T) {
	t.Run("timeouts start at arrival", func(t *testing.T) {
		const wait = 400 * time.Millisecond
		forwardedTimeouts := make(chan time.Duration, 10)
		server := newBlockingBackend(t, func(conn net.Conn, r *http.Request, body string) bool {
			ms, err := strconv.Atoi(r.Header.Get(timeoutHeader))
			if err != nil {
				t.Error(err)
			}
			forwardedTimeouts <- time.Duration(ms) * time.Millisecond
			return serveOK(conn, r, body)
		})
		sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
		conn := sidecar.dial()
		first, second := sidecar.newRequest("lookup", testTimeout), sidecar.newRequest("lookup", time.Second)
		writeTo(t, conn, sidecar.wireText(first)+sidecar.wireText(second))
		receiveWithin(t, "the first request", server.arrivals)
		time.Sleep(wait)
		server.release <- struct{}{}
		server.release <- struct{}{}
		receiveWithin(t, "the timeout of the first request", forwardedTimeouts)
		if got := receiveWithin(t, "the timeout of the second request", forwardedTimeouts); got > time.Second-wait {
			t.Errorf("after a wait of %v the second request is sent with a timeout of %v, of one second", wait, got)
		}
		reader := bufio.NewReader(conn)
		for i := range 2 {
			if got := readStatus(t, reader); got != 200 {
				t.Errorf("response %d: status %d", i, got)
			}
		}
	})
	t.Run("an overdue request is answered in turn", func(t *testing.T) {
		server := newBlockingBackend(t, serveOK)
		sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
		conn := sidecar.dial()
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout))+sidecar.wireText(sidecar.newRequest("charge", 100*time.Millisecond)))
		receiveWithin(t, "the first request", server.arrivals)
		time.Sleep(200 * time.Millisecond)
		server.release <- struct{}{}
		reader := bufio.NewReader(conn)
		if got := readStatus(t, reader); got != 200 {
			t.Errorf("first response: status %d", got)
		}
		if got := readStatus(t, reader); got != statusRejected && got != statusTimedOut {
			t.Errorf("second response: status %d", got)
		}
		if got := server.requests.Load(); got != 1 {
			t.Errorf("the server got %d requests, one of them for a client that no longer waits", got)
		}
	})
	for name, behind := range map[string]func(sidecar *testSidecar) []*http.Request{
		"many": func(sidecar *testSidecar) (requests []*http.Request) {
			for range 60 {
				requests = append(requests, sidecar.newRequest("lookup", testTimeout))
			}
			return requests
		},
		"one with a large body": func(sidecar *testSidecar) []*http.Request {
			large := sidecar.newRequest("charge", testTimeout)
			large.Body, large.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes))), maxBodyBytes
			return []*http.Request{large, sidecar.newRequest("lookup", testTimeout)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBlockingBackend(t, serveOK)
			sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
			conn := sidecar.dial()
			requests := append([]*http.Request{sidecar.newRequest("lookup", testTimeout)}, behind(sidecar)...)
			for _, request := range requests {
				writeTo(t, conn, sidecar.wireText(request))
				if request == requests[0] {
					receiveWithin(t, "the first request", server.arrivals)
				}
			}
			close(server.release)
			reader := bufio.NewReader(conn)
			for i := range requests {
				if got := readStatus(t, reader); got != 200 {
					t.Fatalf("response %d of %d: status %d", i, len(requests), got)
				}
			}
		})
	}
	t.Run("at the end of a drain", func(t *testing.T) {
		const count = 5
		server := newBlockingBackend(t, serveOK)
		sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
		sidecar.serveWindow = 300 * time.Millisecond
		conn := sidecar.dial()
		for i := range count {
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
			if i == 0 {
				receiveWithin(t, "the first request", server.arrivals)
			}
		}
		sidecar.terminate()
		waitUntil(t, "connections to be closed", sidecar.frontend.closeAfterResponse.Load)
		close(server.release)
		reader := bufio.NewReader(conn)
		for i := range count {
			if got := readStatus(t, reader); got != 200 {
				t.Fatalf("response %d of %d: status %d", i, count, got)
			}
		}
		if _, err := reader.ReadByte(); err == nil {
			t.Error("the connection stays open after the last response")
		}
	})
}
