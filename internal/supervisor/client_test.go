package supervisor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func stopRequest() Request {
	return Request{ID: "a", Op: Stop, Epoch: 7, Unit: "u", Incarnation: 3}
}

// newScriptedClient returns a client of a platform that answers each call with the next of some texts, the last one from
// then on, and the number of calls.
func newScriptedClient(t *testing.T, status int, responses ...string) (*Client, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := min(int(calls.Add(1)), len(responses))
		w.WriteHeader(status)
		if _, err := w.Write([]byte(responses[n-1])); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(srv.Close)
	c, err := NewClient(srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c, &calls
}

func TestInvalidResponsesAreRetried(t *testing.T) {
	const done = `{"outcomes":[{"id":"a","unit":"u","memory":7,"incarnation":3}]}`
	for _, bad := range []string{
		"", "null", "{}", done[:30], done + "{}", `{"outcomes":[]}`, strings.Replace(done, `"a"`, `"b"`, 1), strings.Replace(done, `"u"`, `"v"`, 1),
		strings.Replace(done, "7", "8", 1), strings.Replace(done, "7", "0", 1), strings.Replace(done, "3", "0", 1), strings.Replace(done, "3", `"3"`, 1),
	} {
		c, calls := newScriptedClient(t, 200, bad, done)
		out, err := c.Do(t.Context(), stopRequest())
		if err != nil || len(out) != 1 || out[0].Incarnation != 3 || calls.Load() != 2 {
			t.Errorf("%q: %+v, %v after %d calls, want the second answer", bad, out, err, calls.Load())
		}
	}
	const list = `{"memory":7,"complete":true,"at_ms":1,"units":[{"name":"a","kind":"server","version":"1","listen":"","state":"running","incarnation":1}]}`
	for _, bad := range []string{
		"[]", `{"memory":7}`, strings.Replace(list, "7", "0", 1), strings.Replace(list, "running", "well", 1), strings.Replace(list, `"a"`, `"../a"`, 1),
		strings.Replace(list, `"server"`, `"s"`, 1), strings.Replace(list, `[{`, `[{"name":"a","kind":"server","state":"exited","incarnation":1},{`, 1),
	} {
		c, calls := newScriptedClient(t, 200, bad, list)
		l, err := c.List(t.Context())
		if err != nil || l.Find("a") == nil || l.Find("b") != nil || calls.Load() != 2 {
			t.Errorf("%q: %+v, %v after %d calls, want the second answer", bad, l, err, calls.Load())
		}
	}
}

func TestFailuresAndUnknownOutcomes(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	nobody, err := NewClient(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	failing, _ := newScriptedClient(t, 500, `{"error":"the platform\nfailed"}`)
	refusing, refused := newScriptedClient(t, 400, `{"error":"no"}`)
	for _, c := range []struct {
		name    string
		client  *Client
		timeout time.Duration // 0: the context has ended before the call
		unknown bool
		want    string
	}{
		{"nobody there", nobody, 200 * time.Millisecond, false, "refused"},
		{"500", failing, 200 * time.Millisecond, true, "500: the platform failed"},
		{"400", refusing, 10 * time.Second, false, "400: no"},
		{"ended before", failing, 0, false, "deadline exceeded"},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
		_, err := c.client.Do(ctx, stopRequest())
		cancel()
		if err == nil || errors.Is(err, ErrOutcomeUnknown) != c.unknown || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want unknown %v and one line with %q", c.name, err, c.unknown, c.want)
		}
	}
	if refused.Load() != 1 {
		t.Errorf("%d calls, want one: no repeat would fare better", refused.Load())
	}
}

func TestRequestValidation(t *testing.T) {
	start := Request{ID: "release/3/u", Op: Start, Epoch: 1, Unit: "u", Kind: Sidecar, Version: "1.0", Listen: "127.0.0.1:80"}
	if err := start.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Request){
		"no id": func(r *Request) { r.ID = "" }, "id with an empty part": func(r *Request) { r.ID = "a//b" },
		"long id": func(r *Request) { r.ID = strings.Repeat("a/", 100) + "a" }, "a path": func(r *Request) { r.Unit = "../u" }, "an option": func(r *Request) { r.Version = "-v" },
		"not on loopback": func(r *Request) { r.Listen = "10.0.0.1:80" }, "no port": func(r *Request) { r.Listen = "127.0.0.1:0" },
		"no memory": func(r *Request) { r.Epoch = 0 }, "kind": func(r *Request) { r.Kind = "x" }, "op": func(r *Request) { r.Op = "x" },
		"grace": func(r *Request) { r.GraceMS = 1 }, "stop of none": func(r *Request) { *r = stopRequest(); r.Incarnation = 0 },
		"stop with a version": func(r *Request) { *r = stopRequest(); r.Version = "1" }, "long grace": func(r *Request) { *r = stopRequest(); r.GraceMS = 1e9 },
		"reload of nothing": func(r *Request) { *r = stopRequest(); r.Op = Reload; r.ConfigName = "c" },
		"large file":        func(r *Request) { r.ConfigText = strings.Repeat("x", MaxConfigBytes+1) },
	} {
		r := start
		change(&r)
		if err := r.Validate(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := ValidateBatch([]Request{start, start}); err == nil {
		t.Error("an id stands twice in a call")
	}
}
