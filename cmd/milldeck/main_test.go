package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs one command line in this process.
func runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = execute(t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestVersionIsOneObject(t *testing.T) {
	code, out, _ := runCommand(t, "version", "--json")
	var version map[string]any
	if err := json.Unmarshal([]byte(out), &version); code != 0 || err != nil || version["version"] == "" || !strings.HasPrefix(version["go"].(string), "go1") {
		t.Errorf("exit code %d, output %q: %v", code, out, err)
	}
}

func TestBadUseExitsWithTwoAndOneLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	for _, test := range []struct {
		name, file string
		args       []string
		want       string
	}{
		{"unknown command", "", []string{"nonsense"}, "nonsense"},
		{"unknown flag", "", []string{"version", "--colour"}, "--colour"},
		{"unknown level", "", []string{"--log-level", "loud", "version"}, "--log-level loud"},
		{"unknown format", "", []string{"--log-format", "xml", "version"}, "--log-format xml"},
		{"no file", "", []string{"lab", "sim"}, "1 argument"},
		{"no such file", "", []string{"lab", "sim", dir + "/none.toml"}, "none.toml"},
		{"unknown key", "name = \"x\"\nspeed = 3\n", []string{"lab", "run", bad}, "bad.toml:2: speed: unknown key"},
		{"unknown policy", quickExperiment, []string{"lab", "sim", bad, "--policy", "best"}, "--policy best"},
		{"bad seeds", quickExperiment, []string{"lab", "sweep", bad, "--seeds", "9-1"}, "--seeds 9-1"},
		{"negative rate", strings.Replace(quickExperiment, "rate = 100", "rate = -1", 1), []string{"lab", "sim", bad}, "phase[0].rate"},
		{"unknown target", quickExperiment + "[[fault]]\nkind = \"kill\"\nat_s = 1\ntarget = \"server:99\"\n", []string{"lab", "run", bad}, "fault[0].target"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.file != "" {
				if err := os.WriteFile(bad, []byte(test.file), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			code, _, errOut := runCommand(t, test.args...)
			if code != exitUsage || strings.Count(errOut, "\n") != 1 || !strings.Contains(errOut, test.want) {
				t.Errorf("exit code %d, standard error %q; want exit code 2 and one line with %q", code, errOut, test.want)
			}
		})
	}
}

const quickExperiment = `name = "quick"
duration_s = 3
[[server]]
kind = "k"
count = 3
[[class]]
name = "c"
work_ms = [5, 10]
aim_ms = 200
deadline_ms = 500
effect = "safe"
[[phase]]
rate = 100
`

func TestSweepResumesAfterInterruption(t *testing.T) {
	dir := t.TempDir()
	file, results := filepath.Join(dir, "quick.toml"), filepath.Join(dir, "kept.jsonl")
	if err := os.WriteFile(file, []byte(quickExperiment), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errOut := runCommand(t, "lab", "sweep", file, "--seeds", "1-2", "--json", results); code != 0 {
		t.Fatal(out, errOut)
	}
	complete, err := os.ReadFile(results)
	if err != nil {
		t.Fatal(err)
	}
	// An incomplete second line, as after a crash during the write.
	if err := os.WriteFile(results, complete[:len(complete)-40], 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, errOut := runCommand(t, "lab", "sweep", file, "--seeds", "1-2", "--json", results)
	if code != 0 || strings.Count(out, "from the file") != 1 {
		t.Errorf("exit code %d, output %s %s; want one seed from the file", code, out, errOut)
	}
	if resumed, err := os.ReadFile(results); err != nil || !bytes.Equal(complete, resumed) {
		t.Errorf("the file differs from the file of an uninterrupted sweep: %v", err)
	}
	if code, out, errOut := runCommand(t, "lab", "diff", results, results); code != 0 || !strings.HasPrefix(out, "2 pair(s)") {
		t.Errorf("diff: exit code %d, output %s %s", code, out, errOut)
	}
}

func TestAllPoliciesSideBySide(t *testing.T) {
	file := filepath.Join(t.TempDir(), "quick.toml")
	if err := os.WriteFile(file, []byte(quickExperiment), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, errOut := runCommand(t, "lab", "sim", file, "--policy", "all")
	if code != 0 {
		t.Fatal(errOut)
	}
	for _, name := range []string{"module", "random", "round-robin", "least", "two-choices"} {
		if !strings.Contains(out, name) {
			t.Errorf("policy %s is missing in\n%s", name, out)
		}
	}
}
