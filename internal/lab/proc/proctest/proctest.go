// Package proctest builds the project's programs for tests that start them as processes.
package proctest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

var builtPrograms struct {
	mu    sync.Mutex
	dir   string
	paths map[string]string // paths by name
}

// Main runs a package's tests and removes what was built for them. It is for TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if builtPrograms.dir != "" {
		os.RemoveAll(builtPrograms.dir)
	}
	os.Exit(code)
}

// Program is the path of a program of cmd, built once for all tests of the package.
func Program(t testing.TB, name string) string {
	t.Helper()
	builtPrograms.mu.Lock()
	defer builtPrograms.mu.Unlock()
	if path := builtPrograms.paths[name]; path != "" {
		return path
	}
	if builtPrograms.dir == "" {
		dir, err := os.MkdirTemp("", "milldeck-test-")
		if err != nil {
			t.Fatal(err)
		}
		builtPrograms.dir, builtPrograms.paths = dir, map[string]string{}
	}
	path := filepath.Join(builtPrograms.dir, name)
	if out, err := exec.Command("go", "build", "-o", path, "milldeck/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", name, err, out)
	}
	builtPrograms.paths[name] = path
	return path
}
