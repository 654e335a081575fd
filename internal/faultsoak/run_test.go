package faultsoak

import (
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// A short run breaks no promise. The slack of 2 s widens all time limits, because other tests keep the machine busy.
// docs/fault-soak.md describes the runs with the real limits.
func TestShortSoakBreaksNoPromise(t *testing.T) {
	result, err := Run(t.Context(), Options{
		Seed: 3, Length: 3 * time.Second, FaultRate: 4, Slack: 2 * time.Second,
		SidecarPath: proctest.Program(t, "sidecar"), MilldeckPath: proctest.Program(t, "milldeck"), Dir: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Errorf("%s %s: %s", violation.Rule, violation.Request, violation.Detail)
	}
	if t.Failed() {
		t.Log(result.Faults)
	}
	if result.Requests == 0 || result.Attempts == 0 || len(result.Faults) == 0 {
		t.Errorf("%d requests, %d attempts, %d faults; want some of each", result.Requests, result.Attempts, len(result.Faults))
	}
}
