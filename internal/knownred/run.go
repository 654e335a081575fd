package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strings"
	"time"
)

// commandTimeout bounds the command of one entry.
const commandTimeout = 5 * time.Minute

// Exit statuses of a usage error and of commands that the shell cannot run. They do not show whether the failure still occurs.
const (
	statusUsage         = 2
	statusNotExecutable = 126
	statusNotFound      = 127
)

// commandResult is the exit status and the output of an entry's command.
type commandResult struct {
	status int
	output string
}

// runner runs a shell command.
type runner func(command string) (commandResult, error)

// runInShell runs a command with bash in the current directory.
func runInShell(command string) (commandResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, "/bin/bash", "-c", command).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		return commandResult{}, fmt.Errorf("command did not finish within %v: %s", commandTimeout, command)
	case err == nil:
		return commandResult{0, string(output)}, nil
	case errors.As(err, &exit):
		return commandResult{exit.ExitCode(), string(output)}, nil
	default:
		return commandResult{}, err
	}
}

// runAll runs the command of every entry and prints the entry with its result. The error joins the problems of all entries.
func runAll(out io.Writer, entries []entry, run runner) error {
	var errs []error
	for i := range entries {
		errs = append(errs, runEntry(out, &entries[i], run))
	}
	return errors.Join(errs...)
}

func runEntry(out io.Writer, listed *entry, run runner) error {
	result, err := run(listed.Command)
	if err != nil {
		return err
	}
	failed, err := listed.reproduces(result)
	if err != nil {
		return err
	}
	verdict := "failed"
	if !failed {
		verdict = "passed"
	}
	fmt.Fprintf(out, "known red, %s: %s: %s (%s); now: %s\n", listed.Kind, listed.name(), listed.Observed, listed.Issue, verdict)
	if listed.Kind == failsAlways && !failed {
		return fmt.Errorf("%s passes: remove it from the list", listed.name())
	}
	return nil
}

// name returns the test of the entry, or its command if it has no test.
func (e *entry) name() string {
	if e.Test != noTest {
		return e.Test
	}
	return e.Command
}

// reproduces reports whether a result shows the failure of the entry. The error says why the result is inconclusive.
func (e *entry) reproduces(result commandResult) (failed bool, err error) {
	inconclusive := func(reason string) error {
		return fmt.Errorf("%s: %s:\n%s", e.name(), reason, result.output)
	}
	switch {
	case result.status == statusNotExecutable || result.status == statusNotFound:
		return false, inconclusive("the command does not exist or is not executable")
	case e.Test == noTest && result.status == statusUsage:
		return false, inconclusive("the command ended with a usage error")
	case e.Test == noTest:
		return result.status != 0, nil
	case strings.Contains(result.output, "no tests to run"):
		return false, inconclusive("go test found no such test")
	case result.status == 0:
		return false, nil
	}
	failure := regexp.MustCompile(`(?m)^\s*--- FAIL: ` + e.Test + `[ /]`)
	if !failure.MatchString(result.output) {
		return false, inconclusive("the command failed without a failure of the test")
	}
	return true, nil
}
