package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	patience = 20 * time.Second // bounds every wait; none is expected to last
	// toldBy is after what time of silence a drain counts as told, and sends there must have ended: PROTOCOL's 6 s and
	// the grace of the settings below.
	toldBy = 6*time.Second + 750*time.Millisecond

	listHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
)

// service is a list service whose calls the test plays one by one.
type service struct {
	net.Listener
	calls chan net.Conn // each after its request was read
}

func newService(t *testing.T) *service {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{ln, make(chan net.Conn, 64)}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				s.calls <- c
			}
		}
	})
	t.Cleanup(func() { ln.Close(); work.Wait() })
	return s
}

func (s *service) call(t *testing.T) net.Conn {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(patience):
		t.Fatal("discovery is not asked")
		return nil
	}
}

// fleet is a sidecar as a program with two servers, of which the first is to drain.
type fleet struct {
	t       *testing.T
	service *service
	addr    string
	hangUp  func(discovery string) // a new configuration and SIGHUP
	first   int                    // its place in the answers that ask returns
	end     func()                 // the program, in good order
	servers []*httptest.Server
	client  *http.Client
	pid     int
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetOf(t, "automatic", 1, 0)
}

// newFleetOf says how lists are told, of how many sidecars there is talk, and what descriptors the system and the
// configuration allow; 0: as usual.
func newFleetOf(t *testing.T, mode string, peers, sockets int) *fleet {
	t.Helper()
	f := &fleet{t: t, service: newService(t), client: http.DefaultClient}
	for i := range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, i) }))
		t.Cleanup(srv.Close)
		f.servers = append(f.servers, srv)
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"sockets":%d},"settings":{
		"discovery":%q,"peers_total":%d,"quantum_ms":2,"rules":{"drain_grace_ms":750,"ask_within_ms":10000},
		"limits":{"max_attempts":2},
		"classes":[{"name":"c","effect":"read_like","group":"all","on_time_ms":500,"hard_limit_ms":2000}]}}`,
			discovery, sockets, mode, peers)
	}
	cmd, _ := program(t, config(f.service.Addr().String()))
	if sockets > 0 {
		cmd.Args = []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), cmd.Path}
		cmd.Path = "/bin/sh"
	}
	cmd, lines, addr := launch(t, cmd)
	f.addr, f.pid = addr, cmd.Process.Pid
	f.hangUp = func(discovery string) {
		for _, v := range cmd.Env {
			if path, found := strings.CutPrefix(v, "NODE_CONFIG="); found {
				if err := os.WriteFile(path, []byte(config(discovery)), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	f.end = func() { end(t, cmd, lines) }
	return f
}

// list is what discovery tells; indent spreads it over several lines.
func (f *fleet) list(rev int, all bool, state string, indent string) string {
	var targets []map[string]any
	for i, srv := range f.servers {
		s := "Ready"
		if i == f.first {
			s = state
		}
		targets = append(targets, map[string]any{"uid": fmt.Sprint("s", i), "endpoint": srv.Listener.Addr().String(), "state": s, "capacity_hint": 1})
	}
	told := map[string]any{"rev": rev, "all": all, "targets": targets}
	data, err := json.Marshal(told)
	if indent != "" {
		data, err = json.MarshalIndent(told, "", indent)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return string(data) + "\n"
}

// ask sends a request and tells which server answered it, "" for none.
func (f *fleet) ask() string {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.addr+"/api", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	for name, v := range map[string]string{"X-Request-ID": fmt.Sprintf("%016x", time.Now().UnixNano()), "X-Priority-Class": "c", "X-Timeout-Ms": "1000"} {
		req.Header.Set(name, v)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// settles asks until so many answers in a row fit, and fails at a time when they should have.
func (f *fleet) settles(what string, by time.Time, fits func(answer string) bool) {
	f.t.Helper()
	for row := 0; row < 10; {
		if row++; !fits(f.ask()) {
			row = 0
		}
		if time.Now().After(by) {
			f.t.Fatalf("%s: not by then", what)
		}
	}
}

// Lists may come indented: the first object of a watch, and a change.
func TestIndentedLists(t *testing.T) {
	f := newFleet(t)
	defer f.end()
	watch := f.service.call(t)
	io.WriteString(watch, listHead+f.list(1, true, "Ready", "  "))
	f.settles("the list", time.Now().Add(patience), func(a string) bool { return a != "" })
	io.WriteString(watch, "\n"+f.list(2, false, "Terminating", "\t")+"\n")
	f.settles("the change", time.Now().Add(patience), func(a string) bool { return a == "1" })
	io.WriteString(watch, f.list(3, true, "Ready", " "))
	f.settles("the whole list", time.Now().Add(patience), func(a string) bool { return a != "" })
	both := map[string]bool{}
	for range 20 {
		both[f.ask()] = true
	}
	if !both["0"] || !both["1"] {
		t.Errorf("answered by %v", both)
	}
	if n := len(f.service.calls); n > 0 {
		t.Errorf("%d more calls: a list was refused", n)
	}
}

// Wherever discovery falls silent while a server begins to drain, and though the next call is silent as well, no
// request goes there once it counts as told.
func TestDrainBehindSilence(t *testing.T) {
	for name, quiet := range map[string]string{
		"between lines":             "",
		"in the middle of a line":   `{"rev":2,"all":false,"tar`,
		"inside of an indented one": "{\n \"rev\": 2,\n",
	} {
		for _, again := range []string{"", listHead} {
			t.Run(fmt.Sprintf("%s, then after %d bytes", name, len(again)), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				defer f.end()
				watch := f.service.call(t)
				io.WriteString(watch, listHead+f.list(1, true, "Ready", ""))
				f.settles("the list", time.Now().Add(patience), func(a string) bool { return a != "" })
				io.WriteString(watch, "\n")
				silent := time.Now()
				io.WriteString(watch, quiet)
				io.WriteString(f.service.call(t), again)
				io.WriteString(f.service.call(t), listHead+f.list(2, false, "Terminating", ""))
				f.settles("the drain", silent.Add(toldBy), func(a string) bool { return a == "1" })
			})
		}
	}
}

// After SIGHUP the new service may be silent at first, and the old one tells nothing more.
func TestDrainBehindSilentMove(t *testing.T) {
	f := newFleet(t)
	defer f.end()
	io.WriteString(f.service.call(t), listHead+f.list(1, true, "Ready", ""))
	f.settles("the list", time.Now().Add(patience), func(a string) bool { return a != "" })
	next := newService(t)
	f.hangUp(next.Addr().String())
	moved := time.Now()
	next.call(t)
	io.WriteString(next.call(t), listHead+f.list(1, true, "Terminating", strings.Repeat(" ", 2)))
	f.settles("the drain", moved.Add(4*time.Second+750*time.Millisecond), func(a string) bool { return a == "1" })
}
