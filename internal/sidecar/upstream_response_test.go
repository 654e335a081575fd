package sidecar

import (
	"strings"
	"testing"
	"time"
)

// Only a complete 503 or 504 with X-Not-Processed proves that a server did not execute a request: the sidecar then rejects
// a non-idempotent request. After any other error response, or an incomplete response, the request fails.
func TestOutcomesOfNonIdempotentRequest(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   int
	}{
		"error":                              {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"503 without mark":                   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"504 without mark":                   {"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"429":                                {"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"500 with mark":                      {"HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"503 with mark":                      {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", statusRejected},
		"504 with mark":                      {"HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", statusRejected},
		"body cut short":                     {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ndone", statusFailed},
		"chunks cut short":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", statusFailed},
		"no framing":                         {"HTTP/1.1 200 OK\r\n\r\ndone", 200},
		"no framing, an error":               {"HTTP/1.1 500 Oh\r\n\r\ndone", statusFailed},
		"endless headers":                    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: of the same\r\n", 20000) + "Content-Length: 4\r\n\r\ndone", statusFailed},
		"thousands of fields":                {"HTTP/1.1 200 OK\r\n" + strings.Repeat("ab:\r\n", 5000) + "Content-Length: 4\r\n\r\ndone", statusFailed},
		"as many fields as are allowed":      {"HTTP/1.1 200 OK\r\n" + strings.Repeat("ab:\r\n", maxHeaderFields-2) + "Content-Length: 4\r\n\r\ndone", 200},
		"thousands of fields in the trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" + strings.Repeat("ab:\r\n", 5000) + "\r\n", statusFailed},
		"not HTTP":                           {"hello\r\n\r\n", statusFailed},
		"complete":                           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 200},
		"complete after an interim response": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 200},
		"complete, chunked":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 200},
		"both framings":                      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", statusFailed},
		"two lengths":                        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"negative length":                    {"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone", statusFailed},
		"length with a sign":                 {"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ndone", statusFailed},
		"3 GB":                               {"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20), statusFailed},
		"another encoding":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", statusFailed},
		"no trailer's end":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n", statusFailed},
		"other protocol":                     {"HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"endless interim responses":          {strings.Repeat("HTTP/1.1 103 Soon\r\n\r\n", 1000), statusFailed},
		"status is no number":                {"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"no content":                         {"HTTP/1.1 204 OK\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"unreadable report":                  {"HTTP/1.1 200 OK\r\nX-Server-Load: busy=NaN,,=\r\nContent-Length: 4\r\n\r\ndone", 200},
		"header cut short":                   {"HTTP/1.1 200 OK\r\nConte", statusFailed},
		"body above the limit":               {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), statusFailed},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "a", respondWith(test.answer, false))
			sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
			got := sidecar.do(sidecar.newRequest("charge", 300*time.Millisecond))
			if got.status != test.want || test.want == 200 && got.body != "done" {
				t.Errorf("answer %d %q, want %d", got.status, got.body, test.want)
			}
			if attempts := server.requests.Load(); attempts != 1 {
				t.Errorf("%d requests reached the server, want 1", attempts)
			}
		})
	}
}
