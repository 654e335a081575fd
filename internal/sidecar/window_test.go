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

// smallBuffers is for sockets that take little of a request while the other side does not read.
func smallBuffers(option int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		if err := c.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 4096) }); err != nil {
			return err
		}
		return set
	}
}

// unread listens and hands over each connection as it was accepted; little of what is written to it leaves the sender.
func unread(t *testing.T) (net.Listener, <-chan net.Conn) {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: smallBuffers(syscall.SO_RCVBUF)}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			conns <- c
		}
	}()
	return ln, conns
}

// readWhole reports whether a request comes whole on a connection before it ends.
func readWhole(t *testing.T, c net.Conn) bool {
	t.Helper()
	c.SetDeadline(time.Now().Add(patience))
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && int64(len(body)) == r.ContentLength
}

// A repeat whose window runs out while a server does not read it: its last byte must not come when the key may be
// forgotten. The attempt never ran, and the request is answered without waiting for its deadline.
func TestRepeatEndsWithItsWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	first, firstConns := unread(t)
	second, secondConns := unread(t)
	conf := newConf(newRegistry(t).addr(), ready("a", first.Addr().String()), ready("b", second.Addr().String())).
		setting(`"window_ms": 2000, "on_time_ms": 500, "hard_limit_ms": 1000`, `"window_ms": 600, "on_time_ms": 500, "hard_limit_ms": 8000`)
	s := start(t, conf, func(s *Sidecar) { s.loop.ups.dialer.Control = smallBuffers(syscall.SO_SNDBUF) })
	req := s.request("reserve", 8*time.Second)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody))), maxBody
	answered := s.goDo(req)
	c, other := net.Conn(nil), secondConns
	select {
	case c = <-firstConns:
	case c = <-secondConns:
		other = firstConns
	case <-time.After(patience):
		t.Fatal("no attempt")
	}
	if !readWhole(t, c) {
		t.Fatal("the first attempt is not whole")
	}
	ended := time.Now() // the window began before
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	repeat := receive(t, "the repeat", other)
	select {
	case got := <-answered:
		if got.status != statusFailed {
			t.Errorf("answer %d, want %d: the first attempt may have run", got.status, statusFailed)
		}
	case <-time.After(time.Until(ended.Add(window + 2*time.Second))): // long past the window: now it is read
		t.Error("not answered at the end of the window")
	}
	if readWhole(t, repeat) {
		t.Error("the repeat came whole after the end of the window")
	}
}

// What bounds a repeat: the first attempt that may have run, and only where a key is remembered for a while.
func TestWindowCountsFromTheFirstThatMayHaveRun(t *testing.T) {
	cfg, err := newConf("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(cfg, nil, nil)
	at := func(ms float64) time.Time { return l.clock.time(l.clock.base + ms) }
	attempts := func(clean ...bool) (list []*attempt) { // 100 ms apart
		for i, c := range clean {
			list = append(list, &attempt{from: l.clock.base + 100*float64(i), clean: c})
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
		c.ev.Class = cfg.classes[test.class]
		if got := l.keyEnd(c); !got.Equal(test.want) {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	cfg.balance.Classes[cfg.classes["reserve"]].IdempotencyWindow = math.MaxFloat64
	if got := l.keyEnd(&call{ev: balance.Request{Class: cfg.classes["reserve"]}, deadline: at(5000), attempts: attempts(false)}); !got.IsZero() {
		t.Errorf("an endless window ends at %v", got)
	}
}
