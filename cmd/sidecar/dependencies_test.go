package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar's start-up time, memory and processor time are measured, so it links no library of the control plane.
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
