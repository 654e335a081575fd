// Package proctest supports tests that start the project's programs as processes: it builds each program once per test
// binary, and reserves loopback addresses. Package proc starts the processes.
package proctest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// builtPrograms are the programs that this test binary has built.
var builtPrograms struct {
	mu    sync.Mutex
	dir   string
	paths map[string]string // by the name of the program
}

// Main runs a package's tests, removes the programs built for them and exits. Call it from TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if builtPrograms.dir != "" {
		_ = os.RemoveAll(builtPrograms.dir) // a temporary folder: remaining files are no reason for the tests to fail
	}
	os.Exit(code)
}

// Program returns the path of the program in cmd/NAME. It builds each program once for all tests of the package.
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
