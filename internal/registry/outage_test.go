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

// The control plane is down under load for longer than any lease while servers restart. The sidecars lose no requests
// beyond those that the servers lose. experiments/registry-loss.toml is the long form, with an outage of a minute.
func TestControlPlaneDownUnderLoad(t *testing.T) {
	t.Parallel()
	experiment, err := lab.Load("../../experiments/registry-loss.toml")
	if err != nil {
		t.Fatal(err)
	}
	// In the short form the outage lasts four lease durations.
	experiment.DurationS, experiment.Discovery.LeaseMS = 8, 1000
	experiment.Phases[0].Rate = 100
	for index := range experiment.Faults {
		fault := &experiment.Faults[index]
		switch lab.FaultKind(fault.Kind) {
		case lab.FaultRegistryDown:
			fault.AtS, fault.DurationS = 2.5, 4
		case lab.FaultKill:
			fault.AtS, fault.DurationS = 3+fault.AtS/40, 1
		case lab.FaultRollingReplacement:
			fault.AtS, fault.DurationS = 0.5, 1
		}
	}
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	report, err := live.Run(ctx, experiment.NewPlan(0), live.Options{SidecarPath: proctest.Program(t, "sidecar"), MilldeckPath: proctest.Program(t, "milldeck"), Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if report.ViolationCount > 0 || report.CutShort || report.ServedShare < 0.97 {
		for _, violation := range report.Violations {
			t.Errorf("rule %s: %s\n  %s", violation.Rule, violation.Detail, strings.Join(violation.History, "\n  "))
		}
		t.Errorf("%d requests, %.4f served in time, %d rules broken\n%s", report.Requests, report.ServedShare, report.ViolationCount, live.LogTail(dir))
	}
}
