package registry_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/live"
	"milldeck/internal/lab/proc/proctest"
)

// 9. The whole control plane is down under load, for longer than any lease, with servers restarting and rolling
// before it: sidecars lose nothing beyond what the fleet really lost. experiments/registry-loss.toml is the long form,
// of a minute.
func TestControlPlaneDownUnderLoad(t *testing.T) {
	t.Parallel()
	f, err := lab.Load("../../experiments/registry-loss.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The same in short: the outage lasts four leases.
	f.DurationS, f.Discovery.LeaseMS = 8, 1000
	f.Phases[0].Rate = 100
	for i := range f.Faults {
		ft := &f.Faults[i]
		switch lab.FaultKind(ft.Kind) {
		case lab.RegistryDown:
			ft.AtS, ft.ForS = 2.5, 4
		case lab.Kill:
			ft.AtS, ft.ForS = 3+ft.AtS/40, 1
		case lab.Roll:
			ft.AtS, ft.ForS = 0.5, 1
		}
	}
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	r, err := live.Run(ctx, f.Draw(0), live.Options{Sidecar: proctest.Program(t, "silverreel"), Milldeck: proctest.Program(t, "milldeck"), Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if r.BrokenRules > 0 || r.Cut || r.ServedShare < 0.97 {
		for _, b := range r.Broken {
			t.Errorf("rule %s: %s\n  %s", b.Rule, b.What, strings.Join(b.Story, "\n  "))
		}
		t.Errorf("%d requests, %.4f served in time, %d rules broken\n%s", r.Requests, r.ServedShare, r.BrokenRules, live.LogTail(dir))
	}
}
