package controller

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/internal/leaderelection"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
)

const testPlan = `name = "r"
on_halt = "back"
deadline_s = 3600
[what]
server = "2"
[[wave]]
count = 1
bake_s = 10
[[wave]]
`

// startRelease starts the release r after all servers are up.
func (f *fakeCluster) startRelease(t *testing.T) {
	t.Helper()
	releasePlan, err := plan.Parse("p.toml", []byte(testPlan))
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		time.Sleep(advanceInterval)
		f.advance()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state, err := release.New(releasePlan, time.Now().UnixMilli(), f.ledger.Units(), f.ledger.Budgets(), f.mustList())
	if err != nil {
		t.Fatal(err)
	}
	f.revision++
	if err := f.releases.Apply(f.revision, &release.Operation{Start: state}); err != nil {
		t.Fatal(err)
	}
}

// runRelease executes the release r with one controller after another. The first shortTerms controllers hold the lease for
// only a few steps each.
func (f *fakeCluster) runRelease(t *testing.T, shortTerms int) *release.State {
	t.Helper()
	f.startRelease(t)
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	background.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(advanceInterval)
			f.advance()
		}
	})
	defer background.Wait()
	defer cancel()
	for i := range 400 {
		token := f.nextToken()
		if state, finished := f.release(); finished {
			return state
		}
		limit := 20 * time.Minute
		if i < shortTerms {
			limit = time.Duration(1000+i*370) * time.Millisecond
		}
		f.runTerm(t, token, limit)
	}
	state, _ := f.release()
	return state
}

// runTerm runs a controller with a fencing token until it ends, the release is finished, or the time limit is reached.
func (f *fakeCluster) runTerm(t *testing.T, token uint64, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	controller := &Controller{
		Name: "r", Store: f, Platform: fakePlatform{f}, Reports: f, MaxRequestDuration: 2 * time.Second, Strata: 2,
	}
	done := make(chan error, 1)
	go func() { done <- controller.Run(ctx, &leaderelection.Lease{Name: release.Owner("r"), Token: token}) }()
	for {
		select {
		case err := <-done:
			if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("the controller returned %v", err)
			}
			return
		case <-time.After(time.Second):
			if _, finished := f.release(); finished {
				cancel()
			}
		}
	}
}

// checkVersion checks that each server runs the version in one process, that no version of a server was started twice, and
// that no server was stopped while it was Ready.
func (f *fakeCluster) checkVersion(t *testing.T, version string) {
	t.Helper()
	for _, name := range serverNames {
		if processes := f.platform.LiveProcesses(name); f.versions[name] != version || processes != 1 {
			t.Errorf("%s runs version %s in %d processes, want one process of version %s", name, f.versions[name], processes, version)
		}
	}
	for serverAndVersion, count := range f.startCounts {
		if count > 1 {
			t.Errorf("%s was started %d times", serverAndVersion, count)
		}
	}
	if len(f.stoppedWhileReady) > 0 {
		t.Errorf("%v were stopped while they were Ready in the endpoint list", f.stoppedWhileReady)
	}
}

func TestSuccessiveControllers(t *testing.T) {
	for _, c := range []struct {
		name                     string
		shortTerms, failEveryNth int
	}{
		{"one controller", 0, 0},
		{"forty short terms", 40, 0},
		{"ten short terms, every seventh call fails", 10, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster()
				cluster.failEveryNth = c.failEveryNth
				state := cluster.runRelease(t, c.shortTerms)
				if state.Status.Phase != release.PhaseCompleted {
					t.Fatalf("%s: %s, %+v", state.Status.Phase, state.Status.HaltReason, state.Units)
				}
				cluster.checkVersion(t, "2")
				if len(cluster.cohort) == 0 {
					t.Error("the sidecars got no directive to count requests to the new version separately")
				}
			})
		})
	}
}

func TestBrokenVersionRollsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster()
		cluster.newVersionFails = true
		state := cluster.runRelease(t, 0)
		if state.Status.Phase != release.PhaseRolledBack {
			t.Fatalf("%s: %s, %+v", state.Status.Phase, state.Status.HaltReason, state.Units)
		}
		for _, name := range serverNames {
			if cluster.versions[name] != "1" || cluster.platform.LiveProcesses(name) != 1 {
				t.Errorf("%s runs version %s, want one process of version 1", name, cluster.versions[name])
			}
		}
	})
}
