package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// serverModeEnv makes the test binary a model server: "good" serves, "deaf" also ignores SIGTERM, "loud" logs 4 MB before,
// "crash" ends at once.
const serverModeEnv = "STANDIN_TEST_AS_SERVER"

func TestMain(m *testing.M) {
	if mode, ok := os.LookupEnv(serverModeEnv); ok {
		serveAsModel(mode)
		return
	}
	proctest.Main(m)
}

func serveAsModel(mode string) {
	if mode == "crash" {
		fmt.Fprintln(os.Stderr, "cannot go on")
		os.Exit(3)
	}
	if mode == "loud" {
		for range 64 {
			fmt.Fprintln(os.Stderr, strings.Repeat("x", 64<<10))
		}
	}
	if mode == "deaf" {
		signal.Ignore(syscall.SIGTERM)
	}
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	fmt.Fprintln(os.Stderr, http.ListenAndServe(os.Args[1], nil))
}

const waitTimeout = 10 * time.Second // of what takes milliseconds on an idle machine

// testPlatform is a stand-in as a process, and a client of it.
type testPlatform struct {
	t           testing.TB
	ctx         context.Context
	block       *proc.Block
	process     *proc.Process
	addr        string
	dir         string
	client      *supervisor.Client
	lastRequest int
}

const sidecarConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":
	{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`

// writeVersionsFile writes a versions' file with the sidecar as versions 1 and 2, and the test binary as servers.
func writeVersionsFile(t testing.TB) string {
	t.Helper()
	text := ""
	for _, v := range []string{"1", "2"} {
		text += fmt.Sprintf("[[version]]\nname = %q\nkind = \"sidecar\"\nargv = [%q]\nready = \"/health/ready\"\ngrace_ms = 5000\n"+
			"env = { NODE_CONFIG = \"{config}\", NODE_LISTEN = \"{listen}\", NODE_NAME = \"{name}\" }\n", v, proctest.Program(t, "sidecar"))
	}
	for _, mode := range []string{"good", "deaf", "loud", "crash"} {
		text += fmt.Sprintf("[[version]]\nname = %q\nkind = \"server\"\nargv = [%q, \"{listen}\"]\nready = \"/health/ready\"\nrestarts = 2\n"+
			"env = { %s = %q }\n", mode, os.Args[0], serverModeEnv, mode)
	}
	path := filepath.Join(t.TempDir(), "versions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newTestPlatform(t testing.TB) *testPlatform {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	r := &testPlatform{t: t, ctx: ctx, dir: t.TempDir()}
	var err error
	if r.block, err = proc.ReserveBlock(); err != nil {
		t.Fatal(err)
	}
	r.process, err = proc.Start(proc.Spec{
		Name: "stand-in", Path: proctest.Program(t, "milldeck"), Log: filepath.Join(r.dir, "standin-log"),
		Args: []string{"supervisor", "stand-in", "--versions", writeVersionsFile(t), "--dir", r.dir},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if r.process.Running() {
			r.process.Kill()
		}
		r.block.Release()
	})
	line, err := r.process.WaitLog(ctx, "msg=serves")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(line, "listen=")
	r.addr, _, _ = strings.Cut(after, " ")
	if r.client, err = supervisor.NewClient(r.addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.client.Close)
	return r
}

func (r *testPlatform) listenAddr(n int) string { return r.block.Addr(0, n, 9000) }

func (r *testPlatform) mustList() *supervisor.List {
	r.t.Helper()
	l, err := r.client.List(r.ctx)
	if err != nil {
		r.t.Fatalf("%v\n%s", err, r.process.Log())
	}
	return l
}

// request returns a request with the present epoch and incarnation.
func (r *testPlatform) request(op supervisor.Op, n int, version string) supervisor.Request {
	r.t.Helper()
	r.lastRequest++
	l := r.mustList()
	q := supervisor.Request{ID: fmt.Sprint("r", r.lastRequest), Op: op, Epoch: l.Epoch, Unit: fmt.Sprint("u", n)}
	if u := l.Find(q.Unit); u != nil {
		q.Incarnation = u.Incarnation
	}
	if op == supervisor.Start || op == supervisor.Restart {
		q.Version, q.Listen, q.Kind = version, r.listenAddr(n), supervisor.Server
		if version == "1" || version == "2" {
			q.Kind, q.ConfigName, q.ConfigText = supervisor.Sidecar, "c1", sidecarConfig
		}
	}
	return q
}

func (r *testPlatform) mustDo(requests ...supervisor.Request) []supervisor.Outcome {
	r.t.Helper()
	out, err := r.client.Do(r.ctx, requests...)
	if err != nil {
		r.t.Fatalf("%v\n%s", err, r.process.Log())
	}
	for i := range out {
		if err := out[i].Err(); err != nil {
			r.t.Fatal(err)
		}
	}
	return out
}

// waitState waits for a unit's state.
func (r *testPlatform) waitState(n int, state supervisor.State) supervisor.Unit {
	r.t.Helper()
	var u *supervisor.Unit
	r.eventually(fmt.Sprintf("u%d %s", n, state), func() bool {
		u = r.mustList().Find(fmt.Sprint("u", n))
		return u != nil && u.State == state
	})
	return *u
}

// eventually waits for something that takes milliseconds.
func (r *testPlatform) eventually(what string, done func() bool) {
	r.t.Helper()
	for began := time.Now(); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			r.t.Fatalf("not within %v: %s\n%s", waitTimeout, what, r.process.Log())
		}
	}
}

func (r *testPlatform) startSidecars(ns ...int) {
	r.t.Helper()
	for _, n := range ns {
		r.mustDo(r.request(supervisor.Start, n, "1"))
	}
	for _, n := range ns {
		r.waitState(n, supervisor.Running)
	}
}

func (r *testPlatform) setFault(f core.Fault) {
	r.t.Helper()
	if err := SetFault(r.ctx, r.addr, f); err != nil {
		r.t.Fatal(err)
	}
}

// startCount is how many processes of a unit were started.
func (r *testPlatform) startCount(n int) int {
	return strings.Count(r.readFile("standin-log"), fmt.Sprintf("msg=started unit=u%d ", n))
}

func (r *testPlatform) readFile(name string) string {
	r.t.Helper()
	data, err := os.ReadFile(filepath.Join(r.dir, name))
	if err != nil {
		r.t.Fatal(err)
	}
	return string(data)
}

// isListening reports whether something listens at a unit's address.
func (r *testPlatform) isListening(n int) bool {
	c, err := net.Dial("tcp4", r.listenAddr(n))
	if err == nil {
		c.Close()
	}
	return err == nil
}
