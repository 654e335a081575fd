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
	testTimeout = 20 * time.Second // limit of every wait; no wait is expected to reach it
	// notificationDeadline is the time from the beginning of a silence of discovery until requests to a draining server must
	// have ended: the 6 s after which the platform's protocol counts the drain as known, plus the grace period of the settings
	// below.
	notificationDeadline = 6*time.Second + drainGracePeriod
	// addressChangeDeadline is the same limit, counted from a SIGHUP that changes the discovery address.
	addressChangeDeadline = 4*time.Second + drainGracePeriod
	drainGracePeriod      = 750 * time.Millisecond // drain_grace_ms of the settings below

	listResponseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
)

// fakeRegistry is a discovery service. The test answers its calls one by one.
type fakeRegistry struct {
	net.Listener
	calls chan net.Conn // connections whose request has been read
}

func newFakeRegistry(t *testing.T) *fakeRegistry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := &fakeRegistry{listener, make(chan net.Conn, 64)}
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				registry.calls <- conn
			}
		}
	})
	t.Cleanup(func() { listener.Close(); goroutines.Wait() })
	return registry
}

func (registry *fakeRegistry) nextCall(t *testing.T) net.Conn {
	t.Helper()
	select {
	case conn := <-registry.calls:
		return conn
	case <-time.After(testTimeout):
		t.Fatal("the sidecar did not call discovery")
		return nil
	}
}

// sidecarRig is a sidecar process with two servers. The test changes the state of one of them.
type sidecarRig struct {
	t               *testing.T
	registry        *fakeRegistry
	address         string
	reloadDiscovery func(discovery string) // writes the configuration with another discovery address and sends SIGHUP
	drainingIndex   int                    // index of the server whose state the test changes
	terminate       func()                 // stops the program with SIGTERM and checks its exit status
	servers         []*httptest.Server
	client          *http.Client
	pid             int
}

func startRig(t *testing.T) *sidecarRig {
	t.Helper()
	return startRigWith(t, rigOptions{discoveryMode: "automatic", sidecars: 1})
}

// rigOptions are the variable parts of a rig's configuration.
type rigOptions struct {
	discoveryMode string // "automatic" or "subscribe"
	sidecars      int    // number of sidecars according to the settings
	sockets       int    // limit on descriptors in the configuration and by ulimit; 0: the defaults
}

func startRigWith(t *testing.T, options rigOptions) *sidecarRig {
	t.Helper()
	rig := &sidecarRig{t: t, registry: newFakeRegistry(t), client: http.DefaultClient}
	for i := range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, i) }))
		t.Cleanup(server.Close)
		rig.servers = append(rig.servers, server)
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"sockets":%d},"settings":{
		"discovery":%q,"peers_total":%d,"quantum_ms":2,"rules":{"drain_grace_ms":750,"ask_within_ms":10000},
		"limits":{"max_attempts":2},
		"classes":[{"name":"c","effect":"read_like","group":"all","on_time_ms":500,"hard_limit_ms":2000}]}}`,
			discovery, options.sockets, options.discoveryMode, options.sidecars)
	}
	command, _ := newProgram(t, config(rig.registry.Addr().String()))
	if options.sockets > 0 {
		command.Args = []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, options.sockets), command.Path}
		command.Path = "/bin/sh"
	}
	command, lines, address := awaitListening(t, command)
	rig.address, rig.pid = address, command.Process.Pid
	rig.reloadDiscovery = func(discovery string) {
		for _, variable := range command.Env {
			if path, found := strings.CutPrefix(variable, "NODE_CONFIG="); found {
				if err := os.WriteFile(path, []byte(config(discovery)), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := command.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	rig.terminate = func() { terminate(t, command, lines) }
	return rig
}

// listJSON returns a list of the two servers, with the given state for one of them. An indent spreads it over several lines.
func (rig *sidecarRig) listJSON(revision int, complete bool, state string, indent string) string {
	var targets []map[string]any
	for i, server := range rig.servers {
		entryState := "Ready"
		if i == rig.drainingIndex {
			entryState = state
		}
		targets = append(targets, map[string]any{"uid": fmt.Sprint("s", i), "endpoint": server.Listener.Addr().String(), "state": entryState, "capacity_hint": 1})
	}
	list := map[string]any{"rev": revision, "all": complete, "targets": targets}
	data, err := json.Marshal(list)
	if indent != "" {
		data, err = json.MarshalIndent(list, "", indent)
	}
	if err != nil {
		rig.t.Fatal(err)
	}
	return string(data) + "\n"
}

// request sends a request and returns the index of the server that answered, or "" if no server did.
func (rig *sidecarRig) request() string {
	rig.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+rig.address+"/api", nil)
	if err != nil {
		rig.t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Request-ID": fmt.Sprintf("%016x", time.Now().UnixNano()), "X-Priority-Class": "c", "X-Timeout-Ms": "1000"} {
		req.Header.Set(name, value)
	}
	resp, err := rig.client.Do(req)
	if err != nil {
		rig.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// awaitAnswers sends requests until ten consecutive answers match. It fails the test after the deadline.
func (rig *sidecarRig) awaitAnswers(description string, deadline time.Time, matches func(answer string) bool) {
	rig.t.Helper()
	for consecutive := 0; consecutive < 10; {
		if consecutive++; !matches(rig.request()) {
			consecutive = 0
		}
		if time.Now().After(deadline) {
			rig.t.Fatalf("%s: the answers do not match by the deadline", description)
		}
	}
}

// Discovery may indent a list, both the first one of a watch and a later change.
func TestIndentedLists(t *testing.T) {
	rig := startRig(t)
	defer rig.terminate()
	watch := rig.registry.nextCall(t)
	tryWrite(watch, listResponseHeader+rig.listJSON(1, true, "Ready", "  "))
	rig.awaitAnswers("the list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
	tryWrite(watch, "\n"+rig.listJSON(2, false, "Terminating", "\t")+"\n")
	rig.awaitAnswers("the change", time.Now().Add(testTimeout), func(answer string) bool { return answer == "1" })
	tryWrite(watch, rig.listJSON(3, true, "Ready", " "))
	rig.awaitAnswers("the full list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
	// A server that has answered slowly so far gets few requests, so the test sends requests until each server has answered.
	answeredBy := map[string]bool{}
	for deadline := time.Now().Add(testTimeout); !answeredBy["0"] || !answeredBy["1"]; answeredBy[rig.request()] = true {
		if time.Now().After(deadline) {
			t.Fatalf("answered by %v only", answeredBy)
		}
	}
	if calls := len(rig.registry.calls); calls > 0 {
		t.Errorf("%d more calls to discovery: the sidecar rejected a list", calls)
	}
}

// Discovery falls silent while a server begins to drain, at any point of its stream, and the next call is silent as well.
// Once the platform's protocol counts the drain as known, the sidecar must send no request to the server.
func TestDrainAnnouncedAfterSilence(t *testing.T) {
	for name, partialLine := range map[string]string{
		"between lines":             "",
		"in the middle of a line":   `{"rev":2,"all":false,"tar`,
		"inside an indented object": "{\n \"rev\": 2,\n",
	} {
		for _, secondResponse := range []string{"", listResponseHeader} {
			t.Run(fmt.Sprintf("%s, then after %d bytes", name, len(secondResponse)), func(t *testing.T) {
				t.Parallel()
				rig := startRig(t)
				defer rig.terminate()
				watch := rig.registry.nextCall(t)
				tryWrite(watch, listResponseHeader+rig.listJSON(1, true, "Ready", ""))
				rig.awaitAnswers("the list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
				tryWrite(watch, "\n")
				silentFrom := time.Now()
				tryWrite(watch, partialLine)
				tryWrite(rig.registry.nextCall(t), secondResponse)
				tryWrite(rig.registry.nextCall(t), listResponseHeader+rig.listJSON(2, false, "Terminating", ""))
				rig.awaitAnswers("the drain", silentFrom.Add(notificationDeadline), func(answer string) bool { return answer == "1" })
			})
		}
	}
}

// After a SIGHUP that changes the discovery address, the first call to the new address is silent and the old address sends
// nothing more. The sidecar must still learn of a drain in time.
func TestDrainAnnouncedAfterSilentAddressChange(t *testing.T) {
	rig := startRig(t)
	defer rig.terminate()
	tryWrite(rig.registry.nextCall(t), listResponseHeader+rig.listJSON(1, true, "Ready", ""))
	rig.awaitAnswers("the list", time.Now().Add(testTimeout), func(answer string) bool { return answer != "" })
	next := newFakeRegistry(t)
	rig.reloadDiscovery(next.Addr().String())
	changedAt := time.Now()
	next.nextCall(t)
	tryWrite(next.nextCall(t), listResponseHeader+rig.listJSON(1, true, "Terminating", strings.Repeat(" ", 2)))
	rig.awaitAnswers("the drain", changedAt.Add(addressChangeDeadline), func(answer string) bool { return answer == "1" })
}
