package registry_test

import (
	"errors"
	"net/http"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// newReleaseState returns a release of two servers, selected from a fleet of four.
func newReleaseState(t *testing.T, name, version string) *release.State {
	t.Helper()
	parsed, err := plan.Parse("p.toml", []byte("name = \""+name+"\"\non_halt = \"back\"\ndeadline_s = 600\n[what]\nserver = \""+version+
		"\"\n[select]\nids = [\"server/a\", \"server/b\"]\n[[wave]]\n"))
	if err != nil {
		t.Fatal(err)
	}
	processes := &supervisor.List{Epoch: 1, Complete: true}
	var units []disruption.Unit
	for ordinal, server := range []string{"a", "b", "c", "d"} {
		units = append(units, disruption.Unit{ID: "server/" + server, Kind: disruption.KindServer, Zone: "z", PodGroup: ordinal % 2, Capacity: 1, Condition: disruption.ConditionUp})
		processes.Units = append(processes.Units, supervisor.Unit{Name: server, Kind: supervisor.Server, Version: "1", State: supervisor.Running, Incarnation: 1})
	}
	state, err := release.New(parsed, 1000, units, nil, processes)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// The steps of a release need the token of the release's lease, and each step is applied once, even if the leader
// is killed.
func TestReleaseSurvivesLeaderLoss(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 5")
	write := func(guard *registry.Guard, name string, op release.Operation) int {
		t.Helper()
		_, err := env.client.WriteRelease(env.ctx, registry.WriteOptions{Guard: guard}, name, op)
		var status *registry.StatusError
		switch {
		case errors.As(err, &status):
			return status.StatusCode
		case err != nil:
			t.Fatal(err)
		}
		return 0
	}
	guard, other := env.acquireLease("release/r"), env.acquireLease("release/q")
	if status := write(nil, "r", release.Operation{Start: newReleaseState(t, "r", "2")}); status != 0 {
		t.Fatalf("the start is rejected: %d", status)
	}
	step := func(sequence uint64, wave int) release.Operation {
		return release.Operation{Delta: &release.Delta{Sequence: sequence, Status: &release.Status{Phase: release.PhaseRollout, Wave: wave}}}
	}
	if status := write(guard, "r", step(0, 1)); status != 0 {
		t.Fatalf("a step is rejected: %d", status)
	}
	env.awaitLeader().Process.Kill()
	for what, tc := range map[string]struct {
		guard *registry.Guard
		name  string
		op    release.Operation
		want  int
	}{
		"the same step again":                 {guard, "r", step(0, 1), http.StatusConflict},
		"another's token":                     {other, "r", step(1, 2), http.StatusConflict},
		"no token":                            {nil, "r", step(1, 2), http.StatusBadRequest},
		"an old token":                        {&registry.Guard{Lease: guard.Lease, Token: guard.Token - 1}, "r", step(1, 2), http.StatusConflict},
		"an edited plan":                      {nil, "r", release.Operation{Start: newReleaseState(t, "r", "3")}, http.StatusConflict},
		"another release of the same units":   {nil, "q", release.Operation{Start: newReleaseState(t, "q", "2")}, http.StatusConflict},
		"a name that is not that of the path": {nil, "x", release.Operation{Start: newReleaseState(t, "q", "2")}, http.StatusBadRequest},
		"an unknown command":                  {nil, "r", release.Operation{Command: &release.Command{Action: "jump"}}, http.StatusConflict},
		"finalized while it is in progress":   {nil, "r", release.Operation{Command: &release.Command{Action: release.ActionFinalize}}, http.StatusConflict},
	} {
		if status := write(tc.guard, tc.name, tc.op); status != tc.want {
			t.Errorf("%s: %d, want %d", what, status, tc.want)
		}
	}
	if status := write(nil, "r", release.Operation{Command: &release.Command{Action: release.ActionHalt, Operator: "operator/eva"}}); status != 0 {
		t.Errorf("a halt is rejected: %d", status)
	}
	if status := write(guard, "r", step(1, 2)); status != 0 {
		t.Errorf("the next step is rejected: %d", status)
	}
	view, err := env.client.Release(env.ctx, "r", false, true)
	if err != nil || view.Sequence != 2 || view.Status.Wave != 2 || len(view.Commands) != 1 || len(view.Units) != 2 || view.StartRevision == 0 {
		t.Errorf("%+v, %v", view.State, err)
	}
	all, err := env.client.Releases(env.ctx)
	if err != nil || len(all) != 1 || all[0].Name != "r" || all[0].Units != nil {
		t.Errorf("%+v, %v", all, err)
	}
}
