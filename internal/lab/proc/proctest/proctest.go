// Package proctest builds the project's programs for tests that start them as processes.
package proctest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

var built struct {
	mu  sync.Mutex
	dir string
	of  map[string]string // paths by name
}

// Main runs a package's tests and removes what was built for them. It is for TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// Program is the path of a program of cmd, built once for all tests of the package.
func Program(t testing.TB, name string) string {
	t.Helper()
	built.mu.Lock()
	defer built.mu.Unlock()
	if path := built.of[name]; path != "" {
		return path
	}
	if built.dir == "" {
		dir, err := os.MkdirTemp("", "milldeck-test-")
		if err != nil {
			t.Fatal(err)
		}
		built.dir, built.of = dir, map[string]string{}
	}
	path := filepath.Join(built.dir, name)
	if out, err := exec.Command("go", "build", "-o", path, "milldeck/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", name, err, out)
	}
	built.of[name] = path
	return path
}
