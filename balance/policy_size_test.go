package balance

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	maxPolicyLines   = 200 // per file
	maxPolicyColumns = 110
	policyHeader     = "// This file decides "
)

// Only the files that deploy/balancer.toml lists as policy make decisions. Each must state what it decides, and be
// short and narrow enough to be read on its own.
func TestPolicyFilesStayShort(t *testing.T) {
	listed := policyFiles(t)
	for _, name := range listed {
		text := readText(t, name)
		lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
		if len(lines) > maxPolicyLines {
			t.Errorf("%s: %d lines, at most %d", name, len(lines), maxPolicyLines)
		}
		for i, line := range lines {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxPolicyColumns {
				t.Errorf("%s: line %d is %d columns wide", name, i+1, width)
			}
		}
		if !strings.Contains(text, "\n"+policyHeader) {
			t.Errorf("%s does not state what it decides", name)
		}
	}
	others, err := filepath.Glob("*.go")
	if err != nil || len(others) <= len(listed) {
		t.Fatalf("%d files of the module, %d of them listed: %v", len(others), len(listed), err)
	}
	for _, name := range others {
		listedHere := slices.Contains(listed, filepath.Join("..", "balance", name))
		if !listedHere && strings.Contains(readText(t, name), "\n"+policyHeader) {
			t.Errorf("%s makes decisions, but the deploy file does not list it", name)
		}
	}
}

// policyFiles returns the paths of the policy files in the deploy file.
func policyFiles(t *testing.T) (paths []string) {
	t.Helper()
	_, list, found := strings.Cut(readText(t, "../deploy/balancer.toml"), "policy = [")
	list, _, closed := strings.Cut(list, "]")
	if !found || !closed {
		t.Fatal("the deploy file lists no policy")
	}
	for _, name := range strings.Split(list, ",") {
		paths = append(paths, filepath.Join("..", strings.Trim(name, "\" ")))
	}
	return paths
}

func readText(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The example in README must be the tested one.
func TestReadmeShowsTheTestedExample(t *testing.T) {
	example, err := os.ReadFile("example_test.go")
	if err != nil {
		t.Fatal(err)
	}
	readme, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, body, found := strings.Cut(string(example), "\nfunc Example() {")
	if !found || !strings.Contains(string(readme), "```go\nfunc Example() {"+body+"```") {
		t.Fatal("README does not hold the text of Example")
	}
}
