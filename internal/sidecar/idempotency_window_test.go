package sidecar

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"milldeck/balance"
)

// smallSocketBuffers is for sockets that take little of a request while the other side does not read.
func smallSocketBuffers(option int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, rawConn syscall.RawConn) error {
		var set error
		if err := rawConn.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 4096) }); err != nil {
			return err
		}
		return set
	}
}

// newUnreadListener listens and hands over each connection as it was accepted; little of what is written to it leaves the sender.
func newUnreadListener(t *testing.T) (net.Listener, <-chan net.Conn) {
	t.Helper()
	listener, err := (&net.ListenConfig{Control: smallSocketBuffers(syscall.SO_RCVBUF)}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			conns <- conn
		}
	}()
	return listener, conns
}

// readsCompleteRequest reports whether a request comes whole on a connection before it ends.
func readsCompleteRequest(t *testing.T, conn net.Conn) bool {
	t.Helper()
	conn.SetDeadline(time.Now().Add(testTimeout))
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && int64(len(body)) == r.ContentLength
}

// A repeat whose window runs out while a server does not read it: its last byte must not come when the key may be
// forgotten. The attempt never ran, and the request is answered without waiting for its deadline.
func TestRetryEndsWithIdempotencyWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	first, firstConns := newUnreadListener(t)
	second, secondConns := newUnreadListener(t)
	document := newConfigDocument(newFakeRegistry(t).address(), readyEndpoint("a", first.Addr().String()), readyEndpoint("b", second.Addr().String())).
		replaceSetting(`"window_ms": 2000, "on_time_ms": 500, "hard_limit_ms": 1000`, `"window_ms": 600, "on_time_ms": 500, "hard_limit_ms": 8000`)
	sidecar := startSidecar(t, document, func(sidecar *Sidecar) { sidecar.loop.pool.dialer.Control = smallSocketBuffers(syscall.SO_SNDBUF) })
	req := sidecar.newRequest("reserve", 8*time.Second)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody))), maxBody
	answered := sidecar.doAsync(req)
	firstConn, other := net.Conn(nil), secondConns
	select {
	case firstConn = <-firstConns:
	case firstConn = <-secondConns:
		other = firstConns
	case <-time.After(testTimeout):
		t.Fatal("no attempt")
	}
	if !readsCompleteRequest(t, firstConn) {
		t.Fatal("the first attempt is not whole")
	}
	ended := time.Now() // the window began before
	firstConn.(*net.TCPConn).SetLinger(0)
	firstConn.Close()
	retry := receiveWithin(t, "the repeat", other)
	select {
	case got := <-answered:
		if got.status != statusFailed {
			t.Errorf("answer %d, want %d: the first attempt may have run", got.status, statusFailed)
		}
	case <-time.After(time.Until(ended.Add(window + 2*time.Second))): // long past the window: now it is read
		t.Error("not answered at the end of the window")
	}
	if readsCompleteRequest(t, retry) {
		t.Error("the repeat came whole after the end of the window")
	}
}

// What bounds a repeat: the first attempt that may have run, and only where a key is remembered for a while.
func TestIdempotencyWindowStartsAtFirstPossibleExecution(t *testing.T) {
	config, err := newConfigDocument("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	loop := newEventLoop(config, nil, nil)
	at := func(ms float64) time.Time { return loop.clock.timeAt(loop.clock.startUnixMS + ms) }
	attempts := func(neverExecuted ...bool) (list []*attempt) { // 100 ms apart
		for i, c := range neverExecuted {
			list = append(list, &attempt{decidedAtMS: loop.clock.startUnixMS + 100*float64(i), neverExecuted: c})
		}
		return list
	}
	for name, test := range map[string]struct {
		class    string
		attempts []*attempt
		want     time.Time
	}{
		"no attempt":        {"reserve", nil, time.Time{}},
		"never ran":         {"reserve", attempts(true, true), time.Time{}},
		"second may have":   {"reserve", attempts(true, false, false), at(2100)},
		"first may have":    {"reserve", attempts(false, true), at(2000)},
		"safe":              {"lookup", attempts(false), time.Time{}},
		"unsafe, never ran": {"charge", attempts(true), time.Time{}},
	} {
		c := &call{deadline: at(5000), attempts: test.attempts}
		c.request.Class = config.classNumbers[test.class]
		if got := loop.idempotencyWindowEnd(c); !got.Equal(test.want) {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	config.settings.Classes[config.classNumbers["reserve"]].IdempotencyWindow = math.MaxFloat64
	if got := loop.idempotencyWindowEnd(&call{request: balance.Request{Class: config.classNumbers["reserve"]}, deadline: at(5000), attempts: attempts(false)}); !got.IsZero() {
		t.Errorf("an endless window ends at %v", got)
	}
}
