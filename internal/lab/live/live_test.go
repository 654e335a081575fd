package live

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc/proctest"
)

func TestMain(m *testing.M) { proctest.Main(m) }

const fleetFile = `name = "live"
seed = 4
duration_s = %s
zones = ["a", "b"]
[discovery]
notice_ms = [50, 150]
silent_ms = [1500, 2000]
[sidecars]
count = 3
[clients]
retries = 1
wait_ms = 100
keys = 20
[[server]]
kind = "k"
count = 6
cores = 4
queue = 60
cold_from = 0.3
cold_s = 2
pod_size = 3
[[class]]
name = "read"
work_ms = [5, 15]
aim_ms = 300
deadline_ms = 800
effect = "safe"
[[class]]
name = "book"
work_ms = [5, 15]
aim_ms = 300
deadline_ms = 800
effect = "keyed"
group = "zone"
window_ms = 3000
[[phase]]
rate = 120
`

func run(t *testing.T, ctx context.Context, duration, faults string) (*lab.Result, string) {
	t.Helper()
	return runFile(t, ctx, fleetFile, duration, faults)
}

func runFile(t *testing.T, ctx context.Context, file, duration, faults string) (*lab.Result, string) {
	t.Helper()
	f, err := lab.Parse("live.toml", []byte(fmt.Sprintf(file, duration)+faults))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r, err := Run(ctx, f.NewPlan(0), Options{Sidecar: proctest.Program(t, "sidecar"), Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if r.ViolationCount > 0 {
		for _, b := range r.Violations {
			t.Errorf("rule %s: %s\n  %s", b.Rule, b.Detail, strings.Join(b.History, "\n  "))
		}
		t.Log(LogTail(dir))
	}
	return r, dir
}

func fault(kind, target, at, lasts, more string) string {
	out := fmt.Sprintf("[[fault]]\nkind = %q\nat_s = %s\n%s\n", kind, at, more)
	if target != "" {
		out += fmt.Sprintf("target = %q\n", target)
	}
	if lasts != "" {
		out += "for_s = " + lasts + "\n"
	}
	return out
}

// Real processes, with every kind of fault between them, break no rule and serve what can be served.
func TestFleetUnderFaults(t *testing.T) {
	for name, faults := range map[string]string{
		"processes": fault("kill", "sidecar:0", "0.8", "0.3", "") + fault("freeze", "sidecar:1", "1", "0.4", "") +
			fault("restart", "sidecar:2", "1.5", "", "") + fault("reload", "sidecars", "0.5", "", "") +
			fault("descriptors", "sidecar:1", "2", "0.5", ""),
		"servers": fault("kill", "server:0", "0.5", "0.8", "") + fault("slow", "server:1", "0.5", "1", "by = 8") +
			fault("errors", "server:2", "0.5", "1", "part = 0.7") + fault("silent", "server:3", "1", "0.5", "") +
			fault("refused", "server:4", "1", "0.5", "") + fault("reset", "server:5", "1.2", "0.6", "part = 0.4") +
			fault("spoilt", "server:1", "1.6", "0.6", "part = 0.4") + fault("freeze", "server:2", "1.6", "0.4", ""),
		"network": fault("zone-lost", "zone:b", "0.4", "0.8", "") + fault("cut", "", "1.4", "0.4", `between = ["zone:a", "server:1"]`) +
			fault("cut", "", "1.5", "0.4", "between = [\"sidecar:0\", \"server:0\"]\ndirection = \"back\"") +
			fault("delay", "", "2", "0.4", "between = [\"sidecars\", \"server:2\"]\nms = 60") +
			fault("loss", "", "2", "0.4", "between = [\"sidecars\", \"servers\"]\npart = 0.05"),
		"discovery": fault("roll", "server:0-2", "0.3", "0.6", "steps = 3\nreuse = true") + fault("discovery-down", "", "0.6", "0.6", "") +
			fault("discovery-late", "", "1.3", "0.5", "ms = 300") + fault("discovery-bad", "", "1.8", "0.3", "share = 0.3") +
			fault("restart", "server:5", "0.4", "", ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, dir := run(t, t.Context(), "2.6", faults)
			if r.Requests < 200 || r.ServedShare < 0.6 {
				t.Errorf("%d requests, %.3f served; attempts %v\n%s", r.Requests, r.ServedShare, r.AttemptsByResult, LogTail(dir))
			}
		})
	}
}

func TestASidecarThatDiesAtStartIsNamedWithItsLog(t *testing.T) {
	f, err := lab.Parse("live.toml", fmt.Appendf(nil, fleetFile, "1"))
	if err != nil {
		t.Fatal(err)
	}
	script := filepath.Join(t.TempDir(), "dies")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho no luck today >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	_, err = Run(t.Context(), f.NewPlan(0), Options{Sidecar: script, Dir: t.TempDir()})
	if err == nil || !strings.Contains(err.Error(), "sidecar n0") || !strings.Contains(err.Error(), "no luck today") {
		t.Errorf("%v names neither the sidecar nor its log", err)
	}
}

// An interrupt ends all children and still gives a result.
func TestACutShortRunEndsItsChildren(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(1500*time.Millisecond, cancel) // in mid-run, whenever that is
	r, _ := run(t, ctx, "60", fault("freeze", "sidecar:0", "0.2", "50", ""))
	if !r.CutShort || r.Requests == 0 {
		t.Errorf("cut short: %v, %d requests", r.CutShort, r.Requests)
	}
	children, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range children {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // ended meanwhile
		}
		var pid, parent int
		var name, state string
		fmt.Sscan(string(data), &pid, &name, &state, &parent)
		if parent == syscall.Getpid() && name == "(sidecar)" && state != "Z" {
			t.Errorf("process %d is left", pid)
		}
	}
}

// Sidecars that meet each server seldom tell each other of those that are late, but not over links that are cut; once these are whole again
// no more is told than the requests pay for.
func TestHintsBetweenProcesses(t *testing.T) {
	const perRequest, atOnce = 2.2, 400 + 39 // bytes: balance's tellSpend at a price of 0.06, tellBurst and the question
	const questions = 3 * 2                  // each asks the others at its start, which is before the first fault
	told := func(t *testing.T, cut string) *lab.Result {
		faults := "[limits]\nmay_tell = true\ncancel = true\n[prices]\npeer = 0.06\n" +
			fault("slow", "server:0-19", "0.4", "1", "by = 40") + fault("slow", "server:0-19", "1.8", "1", "by = 40")
		large := strings.Replace(fleetFile, "count = 6\n", "count = 60\nwarm_gain = 0.3\nwarm_ms = 5000\nwarm_keys = 50\n", 1)
		r, _ := runFile(t, t.Context(), large, "2.8", faults+cut)
		if most := perRequest*float64(r.Requests) + 3*atOnce; float64(r.GossipBytes) > most {
			t.Errorf("%d bytes told with %d requests, at most %.0f", r.GossipBytes, r.Requests, most)
		}
		return r
	}
	cut := func(at, lasts string) string {
		return fault("cut", "", at, lasts, `between = ["sidecars", "sidecars"]`)
	}
	t.Run("whole", func(t *testing.T) {
		t.Parallel()
		if r := told(t, ""); r.GossipMessages <= questions {
			t.Errorf("nothing was told, %d messages", r.GossipMessages)
		}
	})
	t.Run("cut", func(t *testing.T) {
		t.Parallel()
		if r := told(t, cut("0", "9")); r.GossipMessages > questions {
			t.Errorf("%d messages crossed cut links", r.GossipMessages)
		}
	})
	t.Run("healed", func(t *testing.T) {
		t.Parallel()
		if r := told(t, cut("0", "1.6")); r.GossipMessages <= questions {
			t.Error("nothing was told once the links were whole")
		}
	})
}
