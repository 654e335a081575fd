package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// The test binary stands in for a model server where this is set: "good" serves, "deaf" leaves SIGTERM alone as well, "loud"
// logs 4 MB before, "crash" ends at once.
const asServer = "STANDIN_TEST_AS_SERVER"

func TestMain(m *testing.M) {
	if how, is := os.LookupEnv(asServer); is {
		serve(how)
		return
	}
	proctest.Main(m)
}

func serve(how string) {
	if how == "crash" {
		fmt.Fprintln(os.Stderr, "cannot go on")
		os.Exit(3)
	}
	if how == "loud" {
		for range 64 {
			fmt.Fprintln(os.Stderr, strings.Repeat("x", 64<<10))
		}
	}
	if how == "deaf" {
		signal.Ignore(syscall.SIGTERM)
	}
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	fmt.Fprintln(os.Stderr, http.ListenAndServe(os.Args[1], nil))
}

const bound = 10 * time.Second // of what takes milliseconds on a machine that is not busy

// rig is a stand-in as a process, and a client of it.
type rig struct {
	t      testing.TB
	ctx    context.Context
	block  *proc.Block
	proc   *proc.Process
	addr   string
	dir    string
	client *supervisor.Client
	ids    int
}

const config = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":
	{"classes":[{"name":"c","effect":"read_like","on_time_ms":50,"hard_limit_ms":100}]}}`

// versionsFile has silverreel as versions 1 and 2, and servers that are the test binary.
func versionsFile(t testing.TB) string {
	t.Helper()
	text := ""
	for _, v := range []string{"1", "2"} {
		text += fmt.Sprintf("[[version]]\nname = %q\nkind = \"sidecar\"\nargv = [%q]\nready = \"/health/ready\"\ngrace_ms = 5000\n"+
			"env = { NODE_CONFIG = \"{config}\", NODE_LISTEN = \"{listen}\", NODE_NAME = \"{name}\" }\n", v, proctest.Program(t, "silverreel"))
	}
	for _, how := range []string{"good", "deaf", "loud", "crash"} {
		text += fmt.Sprintf("[[version]]\nname = %q\nkind = \"server\"\nargv = [%q, \"{listen}\"]\nready = \"/health/ready\"\nrestarts = 2\n"+
			"env = { %s = %q }\n", how, os.Args[0], asServer, how)
	}
	path := filepath.Join(t.TempDir(), "versions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newRig(t testing.TB) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	r := &rig{t: t, ctx: ctx, dir: t.TempDir()}
	var err error
	if r.block, err = proc.TakeBlock(); err != nil {
		t.Fatal(err)
	}
	r.proc, err = proc.Start(proc.Spec{
		Name: "stand-in", Path: proctest.Program(t, "milldeck"), Log: filepath.Join(r.dir, "standin-log"),
		Args: []string{"supervisor", "stand-in", "--versions", versionsFile(t), "--dir", r.dir},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if r.proc.Running() {
			r.proc.Kill()
		}
		r.block.Release()
	})
	line, err := r.proc.WaitLog(ctx, "msg=serves")
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

func (r *rig) listen(n int) string { return r.block.Addr(0, n, 9000) }

func (r *rig) list() *supervisor.List {
	r.t.Helper()
	l, err := r.client.List(r.ctx)
	if err != nil {
		r.t.Fatalf("%v\n%s", err, r.proc.Log())
	}
	return l
}

// request names the memory and incarnation that stand now.
func (r *rig) request(op supervisor.Op, n int, version string) supervisor.Request {
	r.t.Helper()
	r.ids++
	l := r.list()
	q := supervisor.Request{ID: fmt.Sprint("r", r.ids), Op: op, Memory: l.Memory, Unit: fmt.Sprint("u", n)}
	if u := l.Find(q.Unit); u != nil {
		q.Incarnation = u.Incarnation
	}
	if op == supervisor.Start || op == supervisor.Restart {
		q.Version, q.Listen, q.Kind = version, r.listen(n), supervisor.Server
		if version == "1" || version == "2" {
			q.Kind, q.Config, q.File = supervisor.Sidecar, "c1", config
		}
	}
	return q
}

func (r *rig) do(reqs ...supervisor.Request) []supervisor.Outcome {
	r.t.Helper()
	out, err := r.client.Do(r.ctx, reqs...)
	if err != nil {
		r.t.Fatalf("%v\n%s", err, r.proc.Log())
	}
	for i := range out {
		if err := out[i].Err(); err != nil {
			r.t.Fatal(err)
		}
	}
	return out
}

// until waits for a unit's state.
func (r *rig) until(n int, state supervisor.State) supervisor.Unit {
	r.t.Helper()
	var u *supervisor.Unit
	r.soon(fmt.Sprintf("u%d %s", n, state), func() bool {
		u = r.list().Find(fmt.Sprint("u", n))
		return u != nil && u.State == state
	})
	return *u
}

// soon waits for something that takes milliseconds.
func (r *rig) soon(what string, is func() bool) {
	r.t.Helper()
	for began := time.Now(); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > bound {
			r.t.Fatalf("not within %v: %s\n%s", bound, what, r.proc.Log())
		}
	}
}

func (r *rig) up(ns ...int) {
	r.t.Helper()
	for _, n := range ns {
		r.do(r.request(supervisor.Start, n, "1"))
	}
	for _, n := range ns {
		r.until(n, supervisor.Running)
	}
}

func (r *rig) fault(f core.Fault) {
	r.t.Helper()
	if err := SetFault(r.ctx, r.addr, f); err != nil {
		r.t.Fatal(err)
	}
}

// started is how often processes of a unit were started.
func (r *rig) started(n int) int {
	return strings.Count(r.whole("standin-log"), fmt.Sprintf("msg=started unit=u%d ", n))
}

func (r *rig) whole(name string) string {
	r.t.Helper()
	data, err := os.ReadFile(filepath.Join(r.dir, name))
	if err != nil {
		r.t.Fatal(err)
	}
	return string(data)
}

// serves tells whether something listens at a unit's address.
func (r *rig) serves(n int) bool {
	c, err := net.Dial("tcp4", r.listen(n))
	if err == nil {
		c.Close()
	}
	return err == nil
}

func TestLifeOfSidecars(t *testing.T) {
	r := newRig(t)
	r.up(1, 2)
	reload := r.request(supervisor.Reload, 1, "")
	reload.Config, reload.File = "c2", strings.Replace(config, "127.0.0.1:1", "127.0.0.1:2", 1)
	r.do(reload)
	r.soon("reloaded", func() bool { return strings.Contains(r.whole("u1.log"), "reloaded discovery=127.0.0.1:2") })
	if u := r.until(1, supervisor.Running); u.Config != "c2" {
		t.Errorf("%+v, want configuration c2", u)
	}
	was := r.until(1, supervisor.Running).Incarnation
	if now := r.do(r.request(supervisor.Restart, 1, "2"))[0].Incarnation; now == was {
		t.Errorf("incarnation %d after the restart too", now)
	}
	if u := r.until(1, supervisor.Running); u.Version != "2" || u.Restarts != 0 {
		t.Errorf("%+v, want version 2", u)
	}
	stop := r.request(supervisor.Stop, 1, "")
	first := r.do(stop)
	if u := r.until(1, supervisor.Exited); u.Exit != "exit status 0" {
		t.Errorf("%+v, want status 0", u)
	}
	r.do(r.request(supervisor.Start, 1, "1"))
	r.until(1, supervisor.Running)
	if again := r.do(stop); again[0] != first[0] || r.until(1, supervisor.Running).State != supervisor.Running {
		t.Errorf("a late repeat had %+v, before %+v", again, first)
	}
	other := stop
	other.GraceMS = 1
	if out, err := r.client.Do(r.ctx, other); err != nil || out[0].Refused != supervisor.Reused {
		t.Errorf("%+v, %v, want the id refused", out, err)
	}
	if err := r.proc.Stop(r.ctx); err != nil {
		t.Errorf("%v\n%s", err, r.proc.Log())
	}
	if r.serves(1) || r.serves(2) {
		t.Error("a sidecar outlived the platform")
	}
	if _, err := r.client.Do(r.ctx, stop); err == nil || errors.Is(err, supervisor.ErrUnknown) || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v, want one line that says that nothing was asked", err)
	}
}

func TestServersThatGoWrong(t *testing.T) {
	r := newRig(t)
	r.do(r.request(supervisor.Start, 1, "deaf"), r.request(supervisor.Start, 2, "crash"), r.request(supervisor.Start, 3, "good"),
		r.request(supervisor.Start, 4, "loud"))
	for _, n := range []int{1, 3, 4} {
		r.until(n, supervisor.Running)
	}
	stop := r.request(supervisor.Stop, 1, "")
	stop.GraceMS = 100
	r.do(stop, r.request(supervisor.Stop, 3, ""))
	if u := r.until(1, supervisor.Exited); u.Exit != "signal: killed" {
		t.Errorf("%+v, want it killed", u)
	}
	if u := r.until(3, supervisor.Exited); u.Exit != "signal: terminated" {
		t.Errorf("%+v, want it terminated", u)
	}
	r.soon("two restarts", func() bool { return r.until(2, supervisor.Exited).Restarts == 2 })
	if u := r.until(2, supervisor.Exited); u.Exit != "exit status 3 cannot go on" || r.started(2) != 3 {
		t.Errorf("%+v after %d starts", u, r.started(2))
	}
	r.soon("its log emptied", func() bool { return len(r.whole("u4.log")) <= maxOutput })
	r.proc.Kill()
	r.soon("the end of what a killed platform ran", func() bool { return !r.serves(4) })
}

func TestFaultsBetweenClientAndPlatform(t *testing.T) {
	r := newRig(t)
	r.up(1, 2)
	short := func(t *testing.T) context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	for i, f := range []core.Fault{
		{Kind: core.Fail, On: core.OnDo, Count: 2}, {Kind: core.Lose, On: core.OnDo, Count: 2}, {Kind: core.Late, On: core.OnDo, DelayMS: 100},
	} {
		t.Run(string(f.Kind)+" and asked again", func(t *testing.T) {
			n := 10 + i
			q := r.request(supervisor.Start, n, "1")
			r.fault(f)
			out := r.do(q)
			u := r.until(n, supervisor.Running)
			if r.started(n) != 1 || u.Incarnation != out[0].Incarnation {
				t.Errorf("started %d times, %+v, told %+v", r.started(n), u, out)
			}
		})
	}
	t.Run("fail without end", func(t *testing.T) {
		q := r.request(supervisor.Start, 20, "1")
		r.fault(core.Fault{Kind: core.Fail, ForMS: 60_000})
		if _, err := r.client.Do(short(t), q); !errors.Is(err, supervisor.ErrUnknown) {
			t.Errorf("%v, want the outcome unknown", err)
		}
		if _, err := r.client.List(short(t)); err == nil {
			t.Error("a list came")
		}
		if err := ClearFaults(r.ctx, r.addr); err != nil {
			t.Fatal(err)
		}
		if u := r.list().Find("u20"); u != nil {
			t.Errorf("%+v was started", u)
		}
	})
	t.Run("hang", func(t *testing.T) {
		q := r.request(supervisor.Stop, 1, "")
		r.fault(core.Fault{Kind: core.Hang, On: core.OnDo})
		if _, err := r.client.Do(short(t), q); !errors.Is(err, supervisor.ErrUnknown) {
			t.Errorf("%v, want the outcome unknown", err)
		}
		r.until(1, supervisor.Running)
		restart := r.request(supervisor.Restart, 1, "2") // the caller has looked and decides anew
		now := r.do(restart)[0].Incarnation
		r.until(1, supervisor.Running)
		if err := ClearFaults(r.ctx, r.addr); err != nil {
			t.Fatal(err)
		}
		if out, err := r.client.Do(r.ctx, q); err != nil || out[0].Refused != supervisor.Stale {
			t.Errorf("%+v, %v, want the late stop refused", out, err)
		}
		if u := r.until(1, supervisor.Running); u.Incarnation != now || u.Version != "2" {
			t.Errorf("%+v, want incarnation %d left alone", u, now)
		}
	})
	t.Run("half of two starts", func(t *testing.T) {
		a, b := r.request(supervisor.Start, 30, "1"), r.request(supervisor.Start, 31, "1")
		r.fault(core.Fault{Kind: core.Half, On: core.OnDo})
		r.do(a, b)
		r.until(30, supervisor.Running)
		r.until(31, supervisor.Running)
		if r.started(30) != 1 || r.started(31) != 1 {
			t.Errorf("started %d and %d times", r.started(30), r.started(31))
		}
	})
	t.Run("half of a restart", func(t *testing.T) {
		q := r.request(supervisor.Restart, 30, "2")
		r.fault(core.Fault{Kind: core.Half, Unit: "u30", On: core.OnDo})
		r.do(q)
		if u := r.until(30, supervisor.Exited); u.Version != "1" || r.serves(30) {
			t.Errorf("%+v, want it stopped and not started", u)
		}
	})
	t.Run("twice", func(t *testing.T) {
		q := r.request(supervisor.Start, 40, "1")
		r.fault(core.Fault{Kind: core.Twice, On: core.OnDo})
		r.do(q)
		// One gets the address and the other ends, the platform's own or the one that it does not know.
		r.soon("one serves", func() bool { return r.serves(40) })
		if r.started(40) != 2 {
			t.Errorf("started %d times", r.started(40))
		}
	})
	t.Run("wrong", func(t *testing.T) {
		q := r.request(supervisor.Stop, 1, "")
		r.fault(core.Fault{Kind: core.Wrong, On: core.OnDo})
		r.do(q)
		r.until(10, supervisor.Exited) // by name the next after u1
		if u := r.until(1, supervisor.Running); !r.serves(1) {
			t.Errorf("%+v was stopped", u)
		}
	})
	t.Run("forget", func(t *testing.T) {
		q, before := r.request(supervisor.Stop, 2, ""), r.list()
		r.fault(core.Fault{Kind: core.Forget, ForMS: 1000})
		if l := r.list(); l.Memory <= before.Memory || l.Complete || len(l.Units) != 0 || !r.serves(2) {
			t.Errorf("%+v, want no unit listed and u2 serving", l)
		}
		if out, err := r.client.Do(r.ctx, q); err != nil || out[0].Refused != supervisor.Forgotten {
			t.Errorf("%+v, %v, want the stop refused", out, err)
		}
		r.until(2, supervisor.Running)
		if l := r.list(); !l.Complete {
			t.Errorf("%+v, want all found", l)
		}
		r.do(r.request(supervisor.Stop, 2, ""))
		r.until(2, supervisor.Exited)
	})
	// A platform that ends takes along what it forgot and what it did not know.
	if err := r.proc.Stop(r.ctx); err != nil {
		t.Errorf("%v\n%s", err, r.proc.Log())
	}
	for _, n := range []int{1, 11, 12, 31, 40} {
		if r.serves(n) {
			t.Errorf("u%d outlived the platform", n)
		}
	}
}

// Within the program: nothing is left running.
func TestServeLeavesNothing(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	v, err := LoadVersions(versionsFile(t))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, ln, v, t.TempDir()) }()
	client, err := supervisor.NewClient(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	l, err := client.List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	q := supervisor.Request{
		ID: "a", Op: supervisor.Start, Memory: l.Memory, Unit: "a", Kind: supervisor.Server, Version: "good", Listen: ln.Addr().String(),
	}
	if out, err := client.Do(ctx, q); err != nil || out[0].Err() != nil {
		t.Fatal(out, err)
	}
	if err := SetFault(ctx, ln.Addr().String(), core.Fault{Kind: core.Hang, ForMS: 60_000}); err != nil {
		t.Fatal(err)
	}
	hung := make(chan error, 1)
	go func() {
		_, err := client.List(ctx)
		hung <- err
	}()
	time.AfterFunc(100*time.Millisecond, cancel)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := <-hung; err == nil {
		t.Error("a call that hung was answered")
	}
	client.Close()
	goleak.VerifyNone(t, leaks, goleak.IgnoreTopFunction("milldeck/internal/lab/proc.init.func1.1"))
}

func TestBadVersionsAreRefusedByLine(t *testing.T) {
	const good = "[[version]]\nname = \"1\"\nkind = \"sidecar\"\nargv = [\"x\"]\n"
	for _, c := range []struct{ text, want string }{
		{"", "0 versions"},
		{good + "speed = 1\n", ":5: version.speed: unknown key"},
		{strings.Replace(good, "sidecar", "car", 1), ":2: version[0].name: kind"},
		{good + good, ":6: version[1].name: sidecar 1 stands twice"},
		{strings.Replace(good, `["x"]`, `[]`, 1), ":4: version[0].argv: 0 parts"},
		{strings.Replace(good, `"x"`, `"x", "{host}"`, 1), ":4: version[0].argv: {host} stands for nothing"},
		{good + "ready = \"ready\"\n", ":5: version[0].ready"},
		{good + "grace_ms = -1\n", ":5: version[0].grace_ms"},
	} {
		path := filepath.Join(t.TempDir(), "v.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadVersions(path); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
}

// One sidecar at a time, from the call to ready, and from the call to its end.
func BenchmarkSidecar(b *testing.B) {
	r := newRig(b)
	var up, down []time.Duration
	for b.Loop() {
		q := r.request(supervisor.Start, 1, "1")
		began := time.Now()
		r.do(q)
		r.until(1, supervisor.Running)
		up = append(up, time.Since(began))
		q = r.request(supervisor.Stop, 1, "")
		began = time.Now()
		r.do(q)
		r.until(1, supervisor.Exited)
		down = append(down, time.Since(began))
	}
	for _, of := range []struct {
		name string
		all  []time.Duration
	}{{"start", up}, {"stop", down}} {
		slices.Sort(of.all)
		b.ReportMetric(float64(of.all[len(of.all)/2].Microseconds())/1e3, of.name+"-p50-ms")
		b.ReportMetric(float64(of.all[len(of.all)*99/100].Microseconds())/1e3, of.name+"-p99-ms")
	}
}

// Calls that change nothing: a repeat of a start, and the list of 200 units that have exited.
func BenchmarkCalls(b *testing.B) {
	r := newRig(b)
	var reqs []supervisor.Request
	memory := r.list().Memory
	for n := range 200 {
		unit := fmt.Sprint("u", n)
		reqs = append(reqs, supervisor.Request{
			ID: unit, Op: supervisor.Start, Memory: memory, Unit: unit, Kind: supervisor.Server, Version: "crash", Listen: r.listen(n),
		})
	}
	r.do(reqs...)
	for n := range reqs {
		r.soon("gave up", func() bool { return r.until(n, supervisor.Exited).Restarts == 2 })
	}
	for name, call := range map[string]func() error{
		"repeat": func() error { _, err := r.client.Do(r.ctx, reqs[0]); return err },
		"list":   func() error { _, err := r.client.List(r.ctx); return err },
	} {
		b.Run(name, func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := call(); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
