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

// Exit statuses that a shell gives for commands that cannot be run, and that a program gives for a wrong use: nothing was shown.
const (
	statusUsage         = 2
	statusNotExecutable = 126
	statusNotFound      = 127
)

// played is the result of an entry's command.
type commandResult struct {
	status int
	output string
}

// runner runs a command with the shell.
type runner func(command string) (commandResult, error)

// runInShell runs a command from the present folder.
func runInShell(command string) (commandResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, "/bin/bash", "-c", command).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		return commandResult{}, fmt.Errorf("not over within %v: %s", commandTimeout, command)
	case err == nil:
		return commandResult{0, string(output)}, nil
	case errors.As(err, &exit):
		return commandResult{exit.ExitCode(), string(output)}, nil
	default:
		return commandResult{}, err
	}
}

// playAll plays every entry and prints it with its result. The error says what is wrong with the list.
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
		return fmt.Errorf("%s passes: take it off the list", listed.name())
	}
	return nil
}

// name is what an entry is called.
func (e *entry) name() string {
	if e.Test != noTest {
		return e.Test
	}
	return e.Command
}

// judge reports whether a result is the failure of the entry. The error says why the command shows nothing.
func (e *entry) reproduces(result commandResult) (failed bool, err error) {
	inconclusive := func(reason string) error {
		return fmt.Errorf("%s: %s:\n%s", e.name(), reason, result.output)
	}
	switch {
	case result.status == statusNotExecutable || result.status == statusNotFound:
		return false, inconclusive("its command does not exist")
	case e.Test == noTest && result.status == statusUsage:
		return false, inconclusive("its command is used wrongly")
	case e.Test == noTest:
		return result.status != 0, nil
	case strings.Contains(result.output, "no tests to run"):
		return false, inconclusive("there is no such test")
	case result.status == 0:
		return false, nil
	}
	failure := regexp.MustCompile(`(?m)^\s*--- FAIL: ` + e.Test + `[ /]`)
	if !failure.MatchString(result.output) {
		return false, inconclusive("it ends without a failure of the test")
	}
	return true, nil
}
