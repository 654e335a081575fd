package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A malformed request gets a status that does not tell the client to retry, its connection is closed, and no server gets the
// request.
func TestMalformedRequests(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for name, test := range map[string]struct {
		class  string
		change func(*http.Request)
		want   int
	}{
		"no id":                     {"charge", func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"no class":                  {"charge", func(r *http.Request) { r.Header.Del("X-Priority-Class") }, 400},
		"unknown class":             {"charge", func(r *http.Request) { r.Header.Set("X-Priority-Class", "nope") }, 400},
		"no tenant":                 {"charge", func(r *http.Request) { r.Header.Del("X-Tenant-Id") }, 400},
		"unknown tenant":            {"charge", func(r *http.Request) { r.Header.Set("X-Tenant-Id", "nope") }, 400},
		"timeout is no number":      {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "soon") }, 400},
		"timeout 0":                 {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "0") }, 400},
		"negative timeout":          {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "-5") }, 400},
		"endless timeout":           {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "4294967295") }, 400},
		"cost is no number":         {"charge", func(r *http.Request) { r.Header.Set("X-Cost", "NaN") }, 400},
		"no idempotency key":        {"reserve", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"non-idempotent with a key": {"charge", func(r *http.Request) { r.Header.Set("Idempotency-Key", "1") }, 400},
		"non-idempotent by GET":     {"charge", func(r *http.Request) { r.Method, r.Body, r.ContentLength = "GET", nil, 0 }, 400},
		"idempotent by POST":        {"lookup", func(r *http.Request) { r.Method = "POST" }, 400},
		"idempotent with a body": {"lookup", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1
		}, 400},
		"other method":        {"charge", func(r *http.Request) { r.Method = "PUT" }, 405},
		"other path":          {"charge", func(r *http.Request) { r.URL.Path = "/other" }, 404},
		"ready check by POST": {"charge", func(r *http.Request) { r.URL.Path = readyPath }, 404},
		"two ids":             {"charge", func(r *http.Request) { r.Header.Add("X-Request-ID", "2") }, 400},
		"endless id":          {"charge", func(r *http.Request) { r.Header.Set("X-Request-ID", strings.Repeat("1", 999)) }, 400},
		"two classes":         {"charge", func(r *http.Request) { r.Header.Add("X-Priority-Class", "lookup") }, 400},
		"two times":           {"charge", func(r *http.Request) { r.Header.Add("X-Timeout-Ms", "100") }, 400},
		"two keys":            {"reserve", func(r *http.Request) { r.Header.Add("Idempotency-Key", "2") }, 400},
		"body too large": {"charge", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBodyBytes+1))), maxBodyBytes+1
		}, 413},
		"chunked": {"charge", func(r *http.Request) { r.ContentLength = -1 }, 411},
	} {
		t.Run(name, func(t *testing.T) {
			req := sidecar.newRequest(test.class, time.Second)
			test.change(req)
			if got := sidecar.do(req); got.status != test.want || !got.connClosed {
				t.Errorf("%d %q, closed %v; want %d and closed", got.status, got.body, got.connClosed, test.want)
			}
		})
	}
	if n := server.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	req := sidecar.newRequest("charge", time.Second)
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBodyBytes))), maxBodyBytes
	if got := sidecar.do(req); got.status != 200 {
		t.Errorf("a request with the largest body: %+v", got)
	}
	if got := sidecar.do(sidecar.newRequest("reserve", time.Second)); got.status != 200 {
		t.Errorf("a request with an idempotency key: %+v", got)
	}
}

// dial opens a connection for requests that http.Client cannot send.
func (sidecar *testSidecar) dial() net.Conn {
	sidecar.t.Helper()
	conn, err := net.Dial("tcp", sidecar.Addr())
	if err != nil {
		sidecar.t.Fatal(err)
	}
	sidecar.t.Cleanup(func() { conn.Close() })
	setTestDeadline(sidecar.t, conn)
	return conn
}

// A request whose length can be interpreted in two ways may hide another request in its body. The sidecar forwards neither
// request: the client gets one response, whose status never tells the client to retry, and the connection is closed.
func TestRequestSmugglingIsRejected(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	const head = " HTTP/1.1\r\nHost: b\r\nX-Tenant-Id: kita\r\nX-Timeout-Ms: 900\r\n"
	const hidden = "GET /api" + head + "X-Priority-Class: lookup\r\nX-Request-ID: hidden\r\n\r\n"
	outer := func(version, framing, body string) string {
		return "POST /api" + strings.Replace(head, "HTTP/1.1", version, 1) +
			"X-Priority-Class: charge\r\nX-Request-ID: outer\r\n" + framing + "\r\n" + body
	}
	for name, text := range map[string]string{
		"chunks and a length":     outer("HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden),
		"a length and chunks":     outer("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"hidden in the length":    outer("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 900\r\n", "0\r\n\r\n"+hidden),
		"chunks in HTTP/1.0":      outer("HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden),
		"another encoding":        outer("HTTP/1.1", "Transfer-Encoding: identity\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"an encoding with a tail": outer("HTTP/1.1", "Transfer-Encoding: chunked, x\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"a space in the name":     outer("HTTP/1.1", "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"two lengths":             outer("HTTP/1.1", "Content-Length: 5\r\nContent-Length: 6\r\n", "0\r\n\r\n"+hidden),
		"a negative length":       outer("HTTP/1.1", "Content-Length: -5\r\n", "0\r\n\r\n"+hidden),
		"a huge length":           outer("HTTP/1.1", "Content-Length: 99999999999999999999\r\n", hidden),
		"60 MB":                   outer("HTTP/1.1", "Content-Length: 62914560\r\n", hidden),
		"behind a bad class":      strings.Replace(outer("HTTP/1.1", "Content-Length: 0\r\n", hidden), "charge", "none", 1),
		"behind another path":     strings.Replace(outer("HTTP/1.1", "Content-Length: 0\r\n", hidden), "/api", "/", 1),
		"a body for the check": "GET /health/ready HTTP/1.1\r\nHost: b\r\nContent-Length: " + fmt.Sprint(len(hidden)) +
			"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			conn := sidecar.dial()
			tryWrite(conn, text)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			discard(resp.Body)
			if resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
				t.Errorf("status %s invites a retry or is no error", resp.Status)
			}
			if more, _ := io.ReadAll(reader); len(more) > 0 {
				t.Errorf("the bytes that followed got a response: %q", more)
			}
		})
	}
	if n := server.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}
