package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"milldeck/internal/lab"
)

const (
	// playTimeout bounds one play; the longest file takes a minute and a half.
	playTimeout = 4 * time.Minute
	// interruptGrace is how long a play may take to end its processes after an interrupt.
	interruptGrace = 15 * time.Second
	// maxRepetitions bounds how often a file is played again, alone, where the machine was too slow to judge the sidecars.
	maxRepetitions = 2
	// outputTailBytes is how much of an unexpected play's output is printed.
	outputTailBytes = 3000
)

// options say what is played and how.
type options struct {
	program, dir, scratch, only string
	seed                        uint64
	short                       bool
}

// outcome is a play with the verdict that was found.
type outcome struct {
	play    *play
	found   verdict
	known   bool // a known failure: not played
	seconds float64
	output  string
}

// expected reports whether the verdict is the expected one. Where the machine was too slow the sidecars were not judged, so a
// play that should violate nothing has shown nothing.
func (o *outcome) expected() bool {
	if o.known {
		return true
	}
	return o.found.equal(o.play.verdict()) && (!o.found.overloaded || o.found.status != 0)
}

// row returns the line of the table.
func (o *outcome) row() string {
	found, mark := o.found.String(), "ok"
	switch {
	case o.known:
		found, mark = "known red, not played", "-"
	case o.inconclusive():
		mark = "NOT JUDGED"
	case !o.expected():
		mark = "UNEXPECTED"
	}
	return fmt.Sprintf("%-28s %-4s expected %-26s found %-26s %6.1f s  %s", o.play.file, o.play.mode, o.play.verdict(), found, o.seconds, mark)
}

// selectPlays returns the plays of the files that were asked for.
func (o *options) selectPlays(all []play) []play {
	return slices.DeleteFunc(slices.Clone(all), func(p play) bool { return !strings.Contains(p.file, o.only) })
}

// playKnown plays a file unless the command of its play is a known failure.
func (o *options) playKnown(ctx context.Context, p *play, known []string) outcome {
	command := strings.Join([]string{o.program, "lab", string(p.mode), filepath.Join(o.dir, p.file)}, " ")
	if slices.Contains(known, command) {
		return outcome{play: p, known: true}
	}
	began := time.Now()
	result := o.play(ctx, p)
	result.seconds = time.Since(began).Seconds()
	return result
}

// inconclusive reports whether the machine was too slow for a play that should violate nothing, and no rule that is judged all
// the same was violated.
func (o *outcome) inconclusive() bool {
	return o.found.overloaded && len(o.found.rules) == 0 && !o.expected()
}

func (o *options) play(ctx context.Context, p *play) outcome {
	failed := func(err error) outcome { return outcome{play: p, found: verdict{status: -1}, output: err.Error()} }
	path, err := o.prepare(p)
	if err != nil {
		return failed(err)
	}
	resultPath := path + "." + string(p.mode) + ".json"
	if err := os.RemoveAll(resultPath); err != nil {
		return failed(err)
	}
	status, output, err := execute(ctx, o.program, o.arguments(p, path, resultPath))
	if err != nil {
		return failed(err)
	}
	found, err := readVerdict(status, resultPath)
	if err != nil {
		return failed(err)
	}
	tail := output[max(0, len(output)-outputTailBytes):]
	return outcome{play: p, found: found, output: tail}
}

// prepare returns the path of the file to play: the experiment, or a shortened copy.
func (o *options) prepare(p *play) (string, error) {
	text, err := os.ReadFile(filepath.Join(o.dir, p.file))
	if err != nil {
		return "", err
	}
	content := string(text)
	if o.short && p.mode == modeRun {
		if content, err = shorten(content, p.short); err != nil {
			return "", fmt.Errorf("%s: %w", p.file, err)
		}
	}
	path := filepath.Join(o.scratch, string(p.mode)+"-"+p.file)
	return path, os.WriteFile(path, []byte(content), 0o600)
}

// shorten makes replacements in the text of an experiment. Each has to match exactly once.
func shorten(text string, replacements []replacement) (string, error) {
	for _, r := range replacements {
		if count := strings.Count(text, r.old); count != 1 {
			return "", fmt.Errorf("%q occurs %d times, want once", r.old, count)
		}
		text = strings.Replace(text, r.old, r.new, 1)
	}
	return text, nil
}

func (o *options) arguments(p *play, path, resultPath string) []string {
	arguments := []string{"lab", string(p.mode), path, "--json", resultPath}
	if o.seed != 0 {
		arguments = append(arguments, "--seed", fmt.Sprint(o.seed))
	}
	if o.short && p.mode == modeSim && p.controlPlane {
		arguments = append(arguments, "--sidecars", "40", "--servers", "160")
	}
	return arguments
}

// execute runs a program and returns its exit status with its output. An interrupt lets it end its own processes.
func execute(ctx context.Context, program string, arguments []string) (status int, output string, err error) {
	ctx, cancel := context.WithTimeout(ctx, playTimeout)
	defer cancel()
	var text bytes.Buffer
	command := exec.CommandContext(ctx, program, arguments...)
	command.Stdout, command.Stderr = &text, &text
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGINT) }
	command.WaitDelay = interruptGrace
	err = command.Run()
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		return 0, "", fmt.Errorf("%s: %w", strings.Join(arguments, " "), ctx.Err())
	case errors.As(err, &exit):
		return exit.ExitCode(), text.String(), nil
	default:
		return 0, text.String(), err
	}
}

// readCommands reads the commands of known failures, one per line; none if the path is empty.
func readCommands(path string) ([]string, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	return strings.Split(string(text), "\n"), err
}

// isControlPlaneRule reports whether a rule is judged also on a machine that was too slow.
func isControlPlaneRule(rule string) bool {
	return slices.Contains(lab.ControlPlaneRules, lab.Rule(rule))
}
