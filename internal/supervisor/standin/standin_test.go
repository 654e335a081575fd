package standin

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

func TestSidecarLifecycle(t *testing.T) {
	r := newTestPlatform(t)
	r.startSidecars(1, 2)
	reload := r.request(supervisor.Reload, 1, "")
	reload.ConfigName, reload.ConfigText = "c2", strings.Replace(sidecarConfig, "127.0.0.1:1", "127.0.0.1:2", 1)
	r.mustDo(reload)
	r.eventually("reloaded", func() bool { return strings.Contains(r.readFile("u1.log"), "reloaded discovery=127.0.0.1:2") })
	if u := r.waitState(1, supervisor.Running); u.ConfigName != "c2" {
		t.Errorf("%+v, want configuration c2", u)
	}
	was := r.waitState(1, supervisor.Running).Incarnation
	if now := r.mustDo(r.request(supervisor.Restart, 1, "2"))[0].Incarnation; now == was {
		t.Errorf("incarnation %d also after the restart", now)
	}
	if u := r.waitState(1, supervisor.Running); u.Version != "2" || u.Restarts != 0 {
		t.Errorf("%+v, want version 2", u)
	}
	stop := r.request(supervisor.Stop, 1, "")
	first := r.mustDo(stop)
	if u := r.waitState(1, supervisor.Exited); u.Exit != "exit status 0" {
		t.Errorf("%+v, want status 0", u)
	}
	r.mustDo(r.request(supervisor.Start, 1, "1"))
	r.waitState(1, supervisor.Running)
	if again := r.mustDo(stop); again[0] != first[0] || r.waitState(1, supervisor.Running).State != supervisor.Running {
		t.Errorf("a late repeat got %+v, the first %+v", again, first)
	}
	other := stop
	other.GraceMS = 1
	if out, err := r.client.Do(r.ctx, other); err != nil || out[0].Rejected != supervisor.RequestIDReused {
		t.Errorf("%+v, %v, want the id rejected", out, err)
	}
	if err := r.process.Stop(r.ctx); err != nil {
		t.Errorf("%v\n%s", err, r.process.Log())
	}
	if r.isListening(1) || r.isListening(2) {
		t.Error("a sidecar outlived the platform")
	}
	if _, err := r.client.Do(r.ctx, stop); err == nil || errors.Is(err, supervisor.ErrOutcomeUnknown) || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v, want one line and a known outcome", err)
	}
}

func TestMisbehavingServers(t *testing.T) {
	r := newTestPlatform(t)
	r.mustDo(r.request(supervisor.Start, 1, "deaf"), r.request(supervisor.Start, 2, "crash"), r.request(supervisor.Start, 3, "good"),
		r.request(supervisor.Start, 4, "loud"))
	for _, n := range []int{1, 3, 4} {
		r.waitState(n, supervisor.Running)
	}
	stop := r.request(supervisor.Stop, 1, "")
	stop.GraceMS = 100
	r.mustDo(stop, r.request(supervisor.Stop, 3, ""))
	if u := r.waitState(1, supervisor.Exited); u.Exit != "signal: killed" {
		t.Errorf("%+v, want it killed", u)
	}
	if u := r.waitState(3, supervisor.Exited); u.Exit != "signal: terminated" {
		t.Errorf("%+v, want it terminated", u)
	}
	r.eventually("two restarts", func() bool { return r.waitState(2, supervisor.Exited).Restarts == 2 })
	if u := r.waitState(2, supervisor.Exited); u.Exit != "exit status 3 cannot go on" || r.startCount(2) != 3 {
		t.Errorf("%+v after %d starts", u, r.startCount(2))
	}
	r.eventually("its log truncated", func() bool { return len(r.readFile("u4.log")) <= maxLogBytes })
	r.process.Kill()
	r.eventually("the end of what a killed platform ran", func() bool { return !r.isListening(4) })
}

func TestFaultsBetweenClientAndPlatform(t *testing.T) {
	r := newTestPlatform(t)
	r.startSidecars(1, 2)
	short := func(t *testing.T) context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	for i, f := range []core.Fault{
		{Kind: core.FaultError, On: core.OnDo, Count: 2}, {Kind: core.FaultDropResponse, On: core.OnDo, Count: 2}, {Kind: core.FaultDelay, On: core.OnDo, DelayMS: 100},
	} {
		t.Run(string(f.Kind)+" and a retry", func(t *testing.T) {
			n := 10 + i
			q := r.request(supervisor.Start, n, "1")
			r.setFault(f)
			out := r.mustDo(q)
			u := r.waitState(n, supervisor.Running)
			if r.startCount(n) != 1 || u.Incarnation != out[0].Incarnation {
				t.Errorf("started %d times, %+v, outcome %+v", r.startCount(n), u, out)
			}
		})
	}
	t.Run("fail without end", func(t *testing.T) {
		q := r.request(supervisor.Start, 20, "1")
		r.setFault(core.Fault{Kind: core.FaultError, DurationMS: 60_000})
		if _, err := r.client.Do(short(t), q); !errors.Is(err, supervisor.ErrOutcomeUnknown) {
			t.Errorf("%v, want the outcome unknown", err)
		}
		if _, err := r.client.List(short(t)); err == nil {
			t.Error("a list was returned")
		}
		if err := ClearFaults(r.ctx, r.addr); err != nil {
			t.Fatal(err)
		}
		if u := r.mustList().Find("u20"); u != nil {
			t.Errorf("%+v was started", u)
		}
	})
	t.Run("hang", func(t *testing.T) {
		q := r.request(supervisor.Stop, 1, "")
		r.setFault(core.Fault{Kind: core.FaultHang, On: core.OnDo})
		if _, err := r.client.Do(short(t), q); !errors.Is(err, supervisor.ErrOutcomeUnknown) {
			t.Errorf("%v, want the outcome unknown", err)
		}
		r.waitState(1, supervisor.Running)
		restart := r.request(supervisor.Restart, 1, "2") // the caller has read the list and decides again
		now := r.mustDo(restart)[0].Incarnation
		r.waitState(1, supervisor.Running)
		if err := ClearFaults(r.ctx, r.addr); err != nil {
			t.Fatal(err)
		}
		if out, err := r.client.Do(r.ctx, q); err != nil || out[0].Rejected != supervisor.IncarnationMismatch {
			t.Errorf("%+v, %v, want the late stop rejected", out, err)
		}
		if u := r.waitState(1, supervisor.Running); u.Incarnation != now || u.Version != "2" {
			t.Errorf("%+v, want incarnation %d left alone", u, now)
		}
	})
	t.Run("half of two starts", func(t *testing.T) {
		a, b := r.request(supervisor.Start, 30, "1"), r.request(supervisor.Start, 31, "1")
		r.setFault(core.Fault{Kind: core.FaultPartial, On: core.OnDo})
		r.mustDo(a, b)
		r.waitState(30, supervisor.Running)
		r.waitState(31, supervisor.Running)
		if r.startCount(30) != 1 || r.startCount(31) != 1 {
			t.Errorf("started %d and %d times", r.startCount(30), r.startCount(31))
		}
	})
	t.Run("half of a restart", func(t *testing.T) {
		q := r.request(supervisor.Restart, 30, "2")
		r.setFault(core.Fault{Kind: core.FaultPartial, Unit: "u30", On: core.OnDo})
		r.mustDo(q)
		if u := r.waitState(30, supervisor.Exited); u.Version != "1" || r.isListening(30) {
			t.Errorf("%+v, want it stopped and not started", u)
		}
	})
	t.Run("twice", func(t *testing.T) {
		q := r.request(supervisor.Start, 40, "1")
		r.setFault(core.Fault{Kind: core.FaultDuplicate, On: core.OnDo})
		r.mustDo(q)
		// One gets the address and the other ends: the listed one, or the one that the platform doesn't know.
		r.eventually("one serves", func() bool { return r.isListening(40) })
		if r.startCount(40) != 2 {
			t.Errorf("started %d times", r.startCount(40))
		}
	})
	t.Run("wrong", func(t *testing.T) {
		q := r.request(supervisor.Stop, 1, "")
		r.setFault(core.Fault{Kind: core.FaultWrongUnit, On: core.OnDo})
		r.mustDo(q)
		r.waitState(10, supervisor.Exited) // the next by name after u1
		if u := r.waitState(1, supervisor.Running); !r.isListening(1) {
			t.Errorf("%+v was stopped", u)
		}
	})
	t.Run("forget", func(t *testing.T) {
		q, before := r.request(supervisor.Stop, 2, ""), r.mustList()
		r.setFault(core.Fault{Kind: core.FaultLoseState, DurationMS: 1000})
		if l := r.mustList(); l.Epoch <= before.Epoch || l.Complete || len(l.Units) != 0 || !r.isListening(2) {
			t.Errorf("%+v, want no unit listed and u2 serving", l)
		}
		if out, err := r.client.Do(r.ctx, q); err != nil || out[0].Rejected != supervisor.EpochMismatch {
			t.Errorf("%+v, %v, want the stop rejected", out, err)
		}
		r.waitState(2, supervisor.Running)
		if l := r.mustList(); !l.Complete {
			t.Errorf("%+v, want all units found", l)
		}
		r.mustDo(r.request(supervisor.Stop, 2, ""))
		r.waitState(2, supervisor.Exited)
	})
	// A platform that ends also stops what it has forgotten and what it didn't know.
	if err := r.process.Stop(r.ctx); err != nil {
		t.Errorf("%v\n%s", err, r.process.Log())
	}
	for _, n := range []int{1, 11, 12, 31, 40} {
		if r.isListening(n) {
			t.Errorf("u%d outlived the platform", n)
		}
	}
}

// Serve in this process leaves no goroutines.
func TestServeLeaksNothing(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	v, err := LoadVersions(writeVersionsFile(t))
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
		ID: "a", Op: supervisor.Start, Epoch: l.Epoch, Unit: "a", Kind: supervisor.Server, Version: "good", Listen: ln.Addr().String(),
	}
	if out, err := client.Do(ctx, q); err != nil || out[0].Err() != nil {
		t.Fatal(out, err)
	}
	if err := SetFault(ctx, ln.Addr().String(), core.Fault{Kind: core.FaultHang, DurationMS: 60_000}); err != nil {
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

func TestInvalidVersionsAreRejectedByLine(t *testing.T) {
	const valid = "[[version]]\nname = \"1\"\nkind = \"sidecar\"\nargv = [\"x\"]\n"
	for _, test := range []struct{ name, text, want string }{
		{"empty", "", "0 versions"},
		{"unknown key", valid + "speed = 1\n", ":5: version.speed: unknown key"},
		{"unknown kind", strings.Replace(valid, "sidecar", "car", 1), ":2: version[0].name: kind"},
		{"twice", valid + valid, ":6: version[1].name: sidecar 1 stands twice"},
		{"no program", strings.Replace(valid, `["x"]`, `[]`, 1), ":4: version[0].argv: 0 parts"},
		{"unknown placeholder", strings.Replace(valid, `"x"`, `"x", "{host}"`, 1), ":4: version[0].argv: {host} stands for nothing"},
		{"relative ready path", valid + "ready = \"ready\"\n", ":5: version[0].ready"},
		{"negative grace period", valid + "grace_ms = -1\n", ":5: version[0].grace_ms"},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "versions.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadVersions(path)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line with %q", err, test.want)
			}
		})
	}
}
