package fake

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

func versions() map[core.Version]Version {
	return map[core.Version]Version{
		{Kind: supervisor.Sidecar, Name: "good"}:            {Behave: func(supervisor.Unit) Behavior { return Behavior{ReadyAfterMS: 30, StopAfterMS: 500} }},
		{Kind: supervisor.Sidecar, Name: "ignores-sigterm"}: {ProcessPolicy: core.ProcessPolicy{GraceMS: 2000}, Behave: func(supervisor.Unit) Behavior { return Behavior{ReadyAfterMS: 30, StopAfterMS: -1} }},
		{Kind: supervisor.Sidecar, Name: "bad"}: {
			ProcessPolicy: core.ProcessPolicy{MaxRestarts: 3}, Behave: func(supervisor.Unit) Behavior {
				return Behavior{ReadyAfterMS: -1, ExitAfterMS: 100, ExitText: "exit status 1"}
			},
		},
	}
}

func start(epoch uint64, unit, version string) supervisor.Request {
	return supervisor.Request{
		ID: "start-" + unit, Op: supervisor.Start, Epoch: epoch, Unit: unit, Kind: supervisor.Sidecar, Version: version, Listen: "127.0.0.1:1",
	}
}

func list(t *testing.T, p *Platform) *supervisor.List {
	t.Helper()
	list, err := p.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestProcessesFollowTheirBehavior(t *testing.T) {
	p := New(Options{Versions: versions()}, 1000)
	epoch := list(t, p).Epoch
	if _, err := p.Do(t.Context(), start(epoch, "a", "good"), start(epoch, "b", "ignores-sigterm"), start(epoch, "c", "bad")); err != nil {
		t.Fatal(err)
	}
	states := func() string {
		s := ""
		for _, u := range list(t, p).Units {
			s += fmt.Sprintf("%s %s %d/%d;", u.Name, u.State, u.Restarts, p.LiveProcesses(u.Name))
		}
		return s
	}
	stop := func(n uint64, unit string) supervisor.Request {
		return supervisor.Request{ID: "stop-" + unit, Op: supervisor.Stop, Epoch: epoch, Unit: unit, Incarnation: n}
	}
	for _, step := range []struct {
		at   int64
		want string
	}{
		{1029, "a starting 0/1;b starting 0/1;c starting 0/1;"},
		{1030, "a running 0/1;b running 0/1;c starting 0/1;"},
		{1100, "a running 0/1;b running 0/1;c exited 0/0;"},
		{1300, "a running 0/1;b running 0/1;c starting 1/1;"},
		{2000, "a running 0/1;b running 0/1;c exited 2/0;"},
		{10_000, "a running 0/1;b running 0/1;c exited 3/0;"},
	} {
		p.Advance(step.at)
		if got := states(); got != step.want {
			t.Errorf("at %d: %s, want %s", step.at, got, step.want)
		}
	}
	if _, err := p.Do(t.Context(), stop(1, "a"), stop(2, "b")); err != nil {
		t.Fatal(err)
	}
	p.Advance(10_500)
	if got := states(); got != "a exited 0/0;b stopping 0/1;c exited 3/0;" {
		t.Error(got)
	}
	p.Advance(12_000)
	if got := states(); got != "a exited 0/0;b exited 0/0;c exited 3/0;" {
		t.Error(got)
	}
}

func TestFaults(t *testing.T) {
	p := New(Options{Versions: versions(), TimeoutMS: 2000}, 1)
	epoch := list(t, p).Epoch
	for i, fault := range []core.Fault{
		{Kind: core.FaultError}, {Kind: core.FaultHang}, {Kind: core.FaultDelay, DelayMS: 3000}, {Kind: core.FaultDropResponse},
	} {
		if err := p.SetFault(fault); err != nil {
			t.Fatal(err)
		}
		request := start(epoch, fmt.Sprint("u", i), "good")
		if _, err := p.Do(t.Context(), request); !errors.Is(err, supervisor.ErrOutcomeUnknown) {
			t.Errorf("%s: %v", fault.Kind, err)
		}
		p.ClearFaults()
		outcomes, err := p.Do(t.Context(), request)
		if err != nil || outcomes[0].Rejected != "" || p.LiveProcesses(request.Unit) != 1 {
			t.Errorf("%s: %+v, %v, %d alive", fault.Kind, outcomes, err, p.LiveProcesses(request.Unit))
		}
	}
}

// Two runs with the same calls and 3,000 units end with the same list. Otherwise simulations would not be reproducible.
func TestManyUnitsAreDeterministic(t *testing.T) {
	const units = 3000
	run := func() *supervisor.List {
		p := New(Options{Versions: versions()}, 1)
		epoch := list(t, p).Epoch
		for i := 0; i < units; i += supervisor.MaxRequests {
			var requests []supervisor.Request
			for n := i; n < min(units, i+supervisor.MaxRequests); n++ {
				requests = append(requests, start(epoch, fmt.Sprint("u", n), []string{"good", "ignores-sigterm", "bad"}[n%3]))
			}
			if _, err := p.Do(t.Context(), requests...); err != nil {
				t.Fatal(err)
			}
			p.Advance(int64(i) * 10)
		}
		p.Crash("u0", "signal: killed")
		p.Advance(100_000)
		return list(t, p)
	}
	a, b := run(), run()
	if len(a.Units) != units || !reflect.DeepEqual(a, b) {
		t.Errorf("%d units, equal %v", len(a.Units), reflect.DeepEqual(a, b))
	}
	if u := a.Find("u0"); u.State != supervisor.Exited || u.Exit != "signal: killed" {
		t.Errorf("%+v", u)
	}
}
