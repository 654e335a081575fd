package sidecar

import (
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

// Request IDs are discarded after the retention time that follows their responses, so that IDs do not exhaust the memory.
func TestRequestIDsExpire(t *testing.T) {
	ids := newRecentRequestIDs()
	claim := func(id string, want bool) uint64 {
		t.Helper()
		hash, ok := ids.claim(id)
		if ok != want {
			t.Errorf("%s: %v", id, ok)
		}
		return hash
	}
	hash, open := claim("a", true), claim("open", true)
	ids.release(hash)
	ids.rotatedAt = ids.rotatedAt.Add(-requestIDRetention)
	claim("a", false)
	ids.rotatedAt = ids.rotatedAt.Add(-requestIDRetention)
	ids.release(claim("a", true))
	ids.rotatedAt = ids.rotatedAt.Add(-3 * requestIDRetention)
	claim("a", true)
	claim("open", false)
	ids.release(open)
	if retained := len(ids.inFlight) + len(ids.current) + len(ids.previous); retained != 2 {
		t.Errorf("%d IDs are retained", retained)
	}
}
