package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/sidecar"
)

// resetConn resets a connection, as if the process at this end had exited.
func resetConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	conn.Close()
}

// answerAll answers all later calls, and those that are waiting, with the same text.
func (registry *fakeRegistry) answerAll(t *testing.T, text string) { registry.answerLate(t, 0, text) }

// fillWithClients connects more clients than the sidecar has capacity for. Every other client sends a request, reads the
// response and stays idle; the others send nothing.
func (rig *sidecarRig) fillWithClients() {
	rig.t.Helper()
	for i := range 300 {
		conn, err := net.Dial("tcp", rig.address)
		if err != nil {
			rig.t.Fatal(err)
		}
		rig.t.Cleanup(func() { conn.Close() })
		setTestDeadline(rig.t, conn)
		if i%2 == 0 {
			continue
		}
		fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: %016x\r\nX-Priority-Class: c\r\nX-Timeout-Ms: 1000\r\n\r\n",
			time.Now().UnixNano())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			rig.t.Fatalf("client %d: %v, %v", i, resp, err)
		}
		discard(resp.Body)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", rig.pid))
	if err != nil {
		rig.t.Fatal(err)
	}
	rig.t.Logf("%d descriptors are open", len(open))
}

// Discovery resets the watch and the next calls, and then reports a drain. Requests to the draining server must end within
// the grace period after the platform's protocol counts the drain as known, in a large fleet and even while idle clients use
// all descriptors. Afterwards the sidecar must apply a SIGHUP, and exit in time after SIGTERM.
func TestDiscoveryOutage(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		for _, manyClients := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, many clients %v", mode, manyClients), func(t *testing.T) {
				t.Parallel()
				fillWithClients, sockets := func() {}, 0
				if manyClients {
					sockets = 128
				}
				rig := startRigWith(t, rigOptions{discoveryMode: mode, sidecars: 80, sockets: sockets})
				rig.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // a new connection for each request
				if manyClients {
					fillWithClients = rig.fillWithClients
				}
				watch := rig.registry.nextCall(t)
				tryWrite(watch, listResponseHeader+rig.listJSON(1, true, "Ready", ""))
				rig.awaitAnswers("the list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
				resetConn(t, watch)
				fillWithClients()
				resetConn(t, rig.registry.nextCall(t))
				resetConn(t, rig.registry.nextCall(t))
				availableFrom := time.Now()
				rig.registry.answerAll(t, listResponseHeader+rig.listJSON(2, false, "Terminating", ""))
				rig.awaitAnswers("the drain", availableFrom.Add(notificationDeadline), func(answer string) bool { return answer == "1" })

				fillWithClients()
				next := newFakeRegistry(t)
				rig.drainingIndex = 1
				rig.reloadDiscovery(next.Addr().String())
				reloadedAt := time.Now()
				next.answerAll(t, listResponseHeader+rig.listJSON(1, true, "Terminating", ""))
				rig.awaitAnswers("the address change", reloadedAt.Add(addressChangeDeadline), func(answer string) bool { return answer == "0" })

				fillWithClients()
				terminatedAt := time.Now()
				rig.terminate()
				if elapsed := time.Since(terminatedAt); elapsed >= 3700*time.Millisecond { // SIGKILL may follow then
					t.Errorf("the sidecar exited %v after SIGTERM", elapsed)
				}
			})
		}
	}
}

// The sidecar becomes ready without an answer from discovery.
func TestReadyWithoutDiscovery(t *testing.T) {
	silent := newFakeRegistry(t)
	for _, address := range []string{"127.0.0.1:1", silent.Addr().String()} {
		for _, mode := range []string{"automatic", "subscribe"} {
			t.Run(mode+" at "+address, func(t *testing.T) {
				startedAt := time.Now()
				command, lines, listen := startProgram(t, strings.NewReplacer(
					"127.0.0.1:1", address, `"classes"`, `"discovery":"`+mode+`","classes"`).Replace(config))
				resp, err := http.Get("http://" + listen + "/health/ready")
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if elapsed := time.Since(startedAt); resp.StatusCode != http.StatusOK || elapsed >= 10*time.Second {
					t.Errorf("%s after %v", resp.Status, elapsed)
				}
				terminate(t, command, lines)
			})
		}
	}
}

// A signal that arrives while the sidecar reads its configuration, here from a pipe, takes effect once the sidecar is
// ready.
func TestSignalsDuringStart(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(sig.String(), func(t *testing.T) {
			command, _ := newProgram(t, config)
			pipe := newConfigPipe(t, command)
			lines := startWithLog(t, command)
			watchdog := time.AfterFunc(testTimeout, func() { _ = command.Process.Kill() })
			t.Cleanup(func() { watchdog.Stop() })
			go pipe.write(config, func() error { return command.Process.Signal(sig) })
			awaitLogLine(t, lines, sidecar.ListenKey+"=")
			if err := <-pipe.written; err != nil {
				t.Fatal(err)
			}
			if sig == syscall.SIGHUP {
				go pipe.write(strings.Replace(config, "127.0.0.1:1", "127.0.0.1:3", 1), func() error { return nil })
				if line, _ := awaitLogLine(t, lines, sidecar.ReloadedMessage); !strings.Contains(line, sidecar.DiscoveryKey+"=127.0.0.1:3") {
					t.Errorf("logged %q", line)
				}
				if err := <-pipe.written; err != nil {
					t.Fatal(err)
				}
				terminate(t, command, lines)
				return
			}
			awaitLogLine(t, lines, sidecar.DrainedMessage)
			if err := command.Wait(); err != nil {
				t.Errorf("exited with %v", err)
			}
		})
	}
}

// configPipe is a named pipe in place of a program's configuration file.
type configPipe struct {
	path    string
	written chan error // the result of each write
}

func newConfigPipe(t *testing.T, command *exec.Cmd) *configPipe {
	t.Helper()
	path := strings.TrimPrefix(command.Env[len(command.Env)-1], "NODE_CONFIG=")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return &configPipe{path: path, written: make(chan error, 1)}
}

// write waits until the program opens the pipe, calls beforeWrite, and then writes a configuration.
func (pipe *configPipe) write(text string, beforeWrite func() error) {
	file, err := os.OpenFile(pipe.path, os.O_WRONLY, 0)
	if err == nil {
		err = beforeWrite()
		tryWrite(file, text)
		file.Close()
	}
	pipe.written <- err
}

// Another signal during the drain, or just before the process exits, has no effect: the sidecar answers the request in
// flight and exits with status 0.
func TestSignalsDuringDrain(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(sig.String(), func(t *testing.T) {
			arrived, release := make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(arrived)
				<-release
				fmt.Fprint(w, "0")
			}))
			defer server.Close()
			command, _ := newProgram(t, strings.NewReplacer(`"seed"`, fmt.Sprintf(`"known":{"rev":1,"all":true,"targets":[
				{"uid":"s0","endpoint":%q,"state":"Ready","capacity_hint":1}]},"seed"`, server.Listener.Addr()),
				"50", "1500", "100", "2000").Replace(config))
			command.Env = append(command.Env, signalAtExitVariable+"=1")
			command, lines, address := awaitListening(t, command)
			rig := &sidecarRig{t: t, address: address, client: &http.Client{}}
			answer := make(chan string, 1)
			go func() { answer <- rig.request() }()
			<-arrived
			if err := command.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			awaitLogLine(t, lines, sidecar.DrainingMessage)
			if err := command.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			close(release)
			if got := <-answer; got != "0" {
				t.Errorf("answered %q", got)
			}
			awaitLogLine(t, lines, sidecar.DrainedMessage)
			if err := command.Wait(); err != nil {
				t.Errorf("exited with %v", err)
			}
		})
	}
}
