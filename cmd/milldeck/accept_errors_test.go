package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/faultsoak/shim"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
)

// If asCommandVariable is set, the test binary runs as the milldeck command. If underShimVariable is set, it executes itself
// under the shim.
const (
	asCommandVariable = "MILLDECK_TEST_AS_COMMAND"
	underShimVariable = "MILLDECK_TEST_UNDER_SHIM"
	processTimeout    = 20 * time.Second
)

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(underShimVariable) != "":
		if err := os.Unsetenv(underShimVariable); err != nil {
			panic(err)
		}
		panic(shim.Exec(os.Args[0], os.Args[1:], os.Environ(), shim.NotifyDescriptor, shim.ReleaseDescriptor))
	case os.Getenv(asCommandVariable) != "":
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// startCommandUnderShim starts the command under the shim, which can make its system calls fail.
func startCommandUnderShim(t *testing.T, args ...string) (*proc.Process, *shim.Supervisor) {
	t.Helper()
	pipes, err := shim.NewPipes()
	if err != nil {
		t.Fatal(err)
	}
	defer pipes.Close()
	process, err := proc.Start(proc.Spec{
		Name: args[0], Path: os.Args[0], Args: args, Log: filepath.Join(t.TempDir(), "log"),
		Env:        []string{asCommandVariable + "=1", underShimVariable + "=1", "GORACE=atexit_sleep_ms=0"},
		ExtraFiles: []*os.File{pipes.ChildNotify, pipes.ChildRelease},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	pipes.ChildNotify.Close()
	supervisor, err := shim.Supervise(process.PID(), pipes.Notify, pipes.Release)
	if err != nil {
		t.Fatal(err)
	}
	return process, supervisor
}

// After temporary errors of accept, each server process still accepts connections: it neither exits nor runs on without
// listening.
func TestServersContinueAfterAcceptErrors(t *testing.T) {
	const errorDuration = 300 * time.Millisecond
	block := proctest.ReserveAddressBlock(t)
	for index, test := range []struct {
		name, file string
		args       []string
		path       string
	}{
		{"agent", "listen = \"%s\"\nreplicas = [\"127.0.0.1:1\"]\nsaved = \"%s\"\n", []string{"agent", "--config"}, "/metrics"},
		{"registry", "http = \"%s\"\nraft = \"" + block.Addr(1, 0, 8082) + "\"\ndir = \"%s\"\n", []string{"registry", "serve", "--config"}, "/metrics"},
		{"supervisor", "", []string{"supervisor", "stand-in", "--versions", "../../internal/supervisor/standin/testdata/versions.toml"}, "/"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, args := block.Addr(0, index, 8081), test.args
			if test.file != "" {
				path := filepath.Join(t.TempDir(), "config.toml")
				text := fmt.Sprintf(test.file, address, filepath.Join(t.TempDir(), "state"))
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append(args, path)
			} else {
				args = append(args, "--listen", address)
			}
			process, supervisor := startCommandUnderShim(t, args...)
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			get := func() error {
				response, err := client.Get("http://" + address + test.path)
				if err == nil {
					response.Body.Close()
				}
				return err
			}
			for deadline := time.Now().Add(processTimeout); get() != nil; time.Sleep(10 * time.Millisecond) {
				if !process.Running() || time.Now().After(deadline) {
					t.Fatalf("the process does not serve; its log: %s", process.Log())
				}
			}
			supervisor.AddRule(shim.Rule{Call: shim.Accept, Errno: syscall.ENOBUFS, Share: 1, Until: time.Now().Add(errorDuration)})
			if err := get(); err != nil {
				t.Errorf("request after the errors: %v; process running: %v; its log: %s", err, process.Running(), process.Log())
			}
		})
	}
}
