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

// drawn is a release of two servers, drawn from a fleet of four.
func drawn(t *testing.T, name, version string) *release.State {
	t.Helper()
	p, err := plan.Parse("p.toml", []byte("name = \""+name+"\"\non_halt = \"back\"\ndeadline_s = 600\n[what]\nserver = \""+version+
		"\"\n[select]\nids = [\"server/a\", \"server/b\"]\n[[wave]]\n"))
	if err != nil {
		t.Fatal(err)
	}
	l := &supervisor.List{Epoch: 1, Complete: true}
	var units []disruption.Unit
	for i, n := range []string{"a", "b", "c", "d"} {
		units = append(units, disruption.Unit{ID: "server/" + n, Kind: disruption.KindServer, Zone: "z", PodGroup: i % 2, Capacity: 1, Condition: disruption.ConditionUp})
		l.Units = append(l.Units, supervisor.Unit{Name: n, Kind: supervisor.Server, Version: "1", State: supervisor.Running, Incarnation: 1})
	}
	s, err := release.New(p, 1000, units, nil, l)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A release's steps count under its token alone, each once, over a lost leader and a restart of all.
func TestReleaseOverALostLeader(t *testing.T) {
	b := start(t, 3, false, "snapshot_every = 5")
	write := func(g *registry.Guard, name string, op release.Op) int {
		t.Helper()
		_, err := b.client.WriteRelease(b.ctx, registry.Write{Guard: g}, name, op)
		var status *registry.StatusError
		switch {
		case errors.As(err, &status):
			return status.Status
		case err != nil:
			t.Fatal(err)
		}
		return 0
	}
	g, other := b.seek("release/r"), b.seek("release/q")
	if status := write(nil, "r", release.Op{Start: drawn(t, "r", "2")}); status != 0 {
		t.Fatalf("not started: %d", status)
	}
	step := func(seq uint64, wave int) release.Op {
		return release.Op{Step: &release.Delta{Seq: seq, Head: &release.Head{Phase: release.Forward, Wave: wave}}}
	}
	if status := write(g, "r", step(0, 1)); status != 0 {
		t.Fatalf("a step is refused: %d", status)
	}
	b.leader().Proc.Kill()
	for what, c := range map[string]struct {
		g    *registry.Guard
		name string
		op   release.Op
		want int
	}{
		"the same step again":                 {g, "r", step(0, 1), http.StatusConflict},
		"another's token":                     {other, "r", step(1, 2), http.StatusConflict},
		"no token":                            {nil, "r", step(1, 2), http.StatusBadRequest},
		"an old token":                        {&registry.Guard{Duty: g.Duty, Token: g.Token - 1}, "r", step(1, 2), http.StatusConflict},
		"an edited plan":                      {nil, "r", release.Op{Start: drawn(t, "r", "3")}, http.StatusConflict},
		"another release of the same units":   {nil, "q", release.Op{Start: drawn(t, "q", "2")}, http.StatusConflict},
		"a name that is not that of the path": {nil, "x", release.Op{Start: drawn(t, "q", "2")}, http.StatusBadRequest},
		"an order that there is not":          {nil, "r", release.Op{Tell: &release.Command{What: "jump"}}, http.StatusConflict},
		"final while it is under way":         {nil, "r", release.Op{Tell: &release.Command{What: release.CmdFinalize}}, http.StatusConflict},
	} {
		if status := write(c.g, c.name, c.op); status != c.want {
			t.Errorf("%s: %d, want %d", what, status, c.want)
		}
	}
	if status := write(nil, "r", release.Op{Tell: &release.Command{What: release.CmdHalt, By: "operator/eva"}}); status != 0 {
		t.Errorf("a halt is refused: %d", status)
	}
	if status := write(g, "r", step(1, 2)); status != 0 {
		t.Errorf("the next step is refused: %d", status)
	}
	v, err := b.client.Release(b.ctx, "r", false, true)
	if err != nil || v.Seq != 2 || v.Head.Wave != 2 || len(v.Told) != 1 || len(v.Units) != 2 || v.Run == 0 {
		t.Errorf("%+v, %v", v.State, err)
	}
	all, err := b.client.Releases(b.ctx)
	if err != nil || len(all) != 1 || all[0].Name != "r" || all[0].Units != nil {
		t.Errorf("%+v, %v", all, err)
	}
}
