package main

import (
	"bufio"
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

// reset ends a connection as the end of its process does.
func reset(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	c.Close()
}

// back has a service answer every call from now on, also one that has waited, with the same text.
func (s *service) back(t *testing.T, text string) {
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for {
			select {
			case c := <-s.calls:
				io.WriteString(c, text)
			case <-done:
				return
			}
		}
	})
	t.Cleanup(func() { close(done); work.Wait() })
}

// crowd fills the sidecar with more clients than it has room for: every other one sends a request, gets its answer and
// rests, the others send nothing.
func (f *fleet) crowd() {
	f.t.Helper()
	for i := range 300 {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		if i%2 == 0 {
			continue
		}
		fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: %016x\r\nX-Priority-Class: c\r\nX-Timeout-Ms: 1000\r\n\r\n",
			time.Now().UnixNano())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			f.t.Fatalf("client %d: %v, %v", i, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.pid))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Logf("%d descriptors are open", len(open))
}

// Discovery resets the watch, resets calls for a while, and is back with a drain: sends there end within the grace of
// when it counts as told, also in a large fleet, and also where idle clients fill all descriptors that the system
// allows. Then SIGHUP is followed, and SIGTERM ends the program in time.
func TestOutageOfDiscovery(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		for _, crowded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, crowded %v", mode, crowded), func(t *testing.T) {
				t.Parallel()
				crowd, sockets := func() {}, 0
				if crowded {
					sockets = 128
				}
				f := newFleetOf(t, mode, 80, sockets)
				f.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // each request is a new client's
				if crowded {
					crowd = f.crowd
				}
				watch := f.service.call(t)
				io.WriteString(watch, listHead+f.list(1, true, "Ready", ""))
				f.settles("the list", time.Now().Add(patience), func(a string) bool { return a != "" })
				reset(t, watch)
				crowd()
				reset(t, f.service.call(t))
				reset(t, f.service.call(t))
				back := time.Now()
				f.service.back(t, listHead+f.list(2, false, "Terminating", ""))
				f.settles("the drain", back.Add(toldBy), func(a string) bool { return a == "1" })

				crowd()
				next := newService(t)
				f.first = 1
				f.hangUp(next.Addr().String())
				hup := time.Now()
				next.back(t, listHead+f.list(1, true, "Terminating", ""))
				f.settles("the move", hup.Add(4*time.Second+750*time.Millisecond), func(a string) bool { return a == "0" })

				crowd()
				term := time.Now()
				f.end()
				if took := time.Since(term); took >= 3700*time.Millisecond { // SIGKILL may come then
					t.Errorf("it ends %v after SIGTERM", took)
				}
			})
		}
	}
}

// Ready does not wait for discovery.
func TestReadyWithoutDiscovery(t *testing.T) {
	silent := newService(t)
	for _, addr := range []string{"127.0.0.1:1", silent.Addr().String()} {
		for _, mode := range []string{"automatic", "subscribe"} {
			began := time.Now()
			cmd, lines, listen := started(t, strings.NewReplacer(
				"127.0.0.1:1", addr, `"classes"`, `"discovery":"`+mode+`","classes"`).Replace(config))
			resp, err := http.Get("http://" + listen + "/health/ready")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if took := time.Since(began); resp.StatusCode != http.StatusOK || took >= 10*time.Second {
				t.Errorf("%s at %s: %s after %v", mode, addr, resp.Status, took)
			}
			end(t, cmd, lines)
		}
	}
}

// A signal that comes while the configuration is read, which is a pipe here, is obeyed once the sidecar is ready.
func TestSignalsDuringTheStart(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		cmd, _ := program(t, config)
		path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "NODE_CONFIG=")
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Mkfifo(path, 0o600); err != nil {
			t.Fatal(err)
		}
		told := make(chan error, 1)
		tell := func(text string, before func() error) { // once the program reads
			file, err := os.OpenFile(path, os.O_WRONLY, 0)
			if err == nil {
				err = before()
				io.WriteString(file, text)
				file.Close()
			}
			told <- err
		}
		lines := begin(t, cmd)
		late := time.AfterFunc(patience, func() { cmd.Process.Kill() })
		defer late.Stop()
		go tell(config, func() error { return cmd.Process.Signal(sig) })
		logged(t, lines, "listen=")
		if err := <-told; err != nil {
			t.Fatal(err)
		}
		if sig == syscall.SIGHUP {
			go tell(strings.Replace(config, "127.0.0.1:1", "127.0.0.1:3", 1), func() error { return nil })
			if line, _ := logged(t, lines, "reloaded"); !strings.Contains(line, "discovery=127.0.0.1:3") {
				t.Errorf("said %q", line)
			}
			if err := <-told; err != nil {
				t.Fatal(err)
			}
			end(t, cmd, lines)
			continue
		}
		logged(t, lines, "drained")
		if err := cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}
}

// A further signal during the drain, or in the last moment of the process, costs nothing: the request under way has its
// answer, and the program ends in good order.
func TestSignalsDuringTheDrain(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(sig.String(), func(t *testing.T) {
			came, release := make(chan struct{}), make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(came)
				<-release
				fmt.Fprint(w, "0")
			}))
			defer srv.Close()
			cmd, _ := program(t, strings.NewReplacer(`"seed"`, fmt.Sprintf(`"known":{"rev":1,"all":true,"targets":[
				{"uid":"s0","endpoint":%q,"state":"Ready","capacity_hint":1}]},"seed"`, srv.Listener.Addr()),
				"50", "1500", "100", "2000").Replace(config))
			cmd.Env = append(cmd.Env, lastSignals+"=1")
			cmd, lines, addr := launch(t, cmd)
			f := &fleet{t: t, addr: addr, client: &http.Client{}}
			answer := make(chan string, 1)
			go func() { answer <- f.ask() }()
			<-came
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			logged(t, lines, "draining")
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			close(release)
			if got := <-answer; got != "0" {
				t.Errorf("answered %q", got)
			}
			logged(t, lines, "drained")
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}
