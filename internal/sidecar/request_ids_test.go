package sidecar

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request with the ID of another request that is in flight, or was answered recently, gets status 409.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		<-release
		return serveOK(conn, r, body)
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	first, second := sidecar.newRequest("lookup", 2*time.Second), sidecar.newRequest("charge", 2*time.Second)
	second.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))
	pending := sidecar.doAsync(first)
	waitUntil(t, "the request at the server", func() bool { return server.requests.Load() == 1 })
	if got := sidecar.do(second); got.status != http.StatusConflict || !got.connClosed {
		t.Errorf("while the first request is in flight: %+v", got)
	}
	close(release)
	if got := receiveWithin(t, "the response", pending); got.status != 200 {
		t.Errorf("client got %+v", got)
	}
	again := sidecar.newRequest("charge", 2*time.Second)
	again.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))
	if got := sidecar.do(again); got.status != http.StatusConflict {
		t.Errorf("just after the response: %+v", got)
	}
	if requests := server.requests.Load(); requests != 1 {
		t.Errorf("%d requests reached the server", requests)
	}
}

// The IDs of forwarded requests are retained for as long as their memory lasts, and at least for the retention time: before that, no
// further request is accepted in their place. Those of requests that were not forwarded are not retained.
func TestRequestIDsAreBounded(t *testing.T) {
	ids := newRecentRequestIDs(4)
	claim := func(id string, want error) uint64 {
		t.Helper()
		hash, err := ids.claim(id)
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", id, err, want)
		}
		return hash
	}
	claim("open", nil)
	ids.release(claim("unsent", nil), false)
	ids.release(claim("unsent", nil), true)
	ids.rotatedAt = ids.rotatedAt.Add(-time.Hour)
	claim("unsent", errRequestIDInUse)
	ids.release(claim("a", nil), true)
	ids.release(claim("b", nil), true) // the first generation is full, and has been retained for long enough
	claim("a", errRequestIDInUse)
	ids.release(claim("c", nil), true)
	claim("d", errTooManyRequests) // the second one is full, and is too new
	ids.rotatedAt = ids.rotatedAt.Add(-minRequestIDRetention)
	ids.release(claim("d", nil), true)
	claim("c", errRequestIDInUse)
	claim("open", errRequestIDInUse)
	ids.release(claim("a", nil), true) // forgotten with the first generation
	if retained := len(ids.current) + len(ids.previous); retained != 4 {
		t.Errorf("%d IDs are retained", retained)
	}
}
