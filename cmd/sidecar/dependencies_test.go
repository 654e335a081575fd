package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar must not link libraries of the control plane, because its start-up time, memory and processor time are
// measured.
func TestNoControlPlaneLibraryIsLinked(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for name := range strings.Lines(string(out)) {
		for _, word := range []string{"cobra", "toml", "raft", "prometheus", "gonum", "hdrhistogram", "milldeck/internal/lab",
			"milldeck/internal/registry", "milldeck/internal/agent", "milldeck/internal/disruption"} {
			if strings.Contains(name, word) {
				t.Errorf("the sidecar links %s", name)
			}
		}
	}
}
