// Command knownred checks and plays the list of known failures, KNOWN-RED.txt, for .ci/run.
//
// Each line of the list is one entry of five parts:
//
//	kind | test | command | what was seen | issue
//
// The kind is "always" or "at times". The test is the name of a Go test, or "-" where the command is all there is, as for a seed of
// the fault soak. The command shows the failure, with its seed. The issue is open as long as the entry stands.
//
// An entry that always fails has to fail when it is played: one that passes is to be taken off the list. One that fails at times is
// played once, and its result is printed only.
package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entryKind says how often an entry fails.
type entryKind string

const (
	failsAlways  entryKind = "always"
	failsAtTimes entryKind = "at times"
)

// noTest stands for the test of an entry that is a command alone.
const noTest = "-"

// entry is one known failure.
type entry struct {
	Kind     entryKind
	Test     string // name of a Go test, or noTest
	Command  string
	Observed string
	Issue    string
}

var (
	testNamePattern = regexp.MustCompile(`^Test[A-Z0-9_][A-Za-z0-9_]*$`)
	issuePattern    = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// parseList reads a list. The error names the line of the first entry that is malformed.
func parseList(text string) ([]entry, error) {
	var entries []entry
	for number, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		parsed, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		}
		for _, earlier := range entries {
			if earlier.Command == parsed.Command {
				return nil, fmt.Errorf("line %d: its command stands in the list already", number+1)
			}
		}
		entries = append(entries, parsed)
	}
	return entries, nil
}

func parseEntry(line string) (entry, error) {
	parts := strings.Split(line, "|")
	if len(parts) != 5 {
		return entry{}, fmt.Errorf("%d parts, want kind | test | command | what was seen | issue", len(parts))
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	parsed := entry{entryKind(parts[0]), parts[1], parts[2], parts[3], parts[4]}
	switch {
	case parsed.Kind != failsAlways && parsed.Kind != failsAtTimes:
		return entry{}, fmt.Errorf("kind %q, want %q or %q", parsed.Kind, failsAlways, failsAtTimes)
	case parsed.Test != noTest && !testNamePattern.MatchString(parsed.Test):
		return entry{}, fmt.Errorf("test %q is no name of a test, nor %q", parsed.Test, noTest)
	case parsed.Command == "":
		return entry{}, fmt.Errorf("it has no command")
	case parsed.Test != noTest && !strings.Contains(parsed.Command, parsed.Test):
		return entry{}, fmt.Errorf("its command does not run %s", parsed.Test)
	case parsed.Observed == "":
		return entry{}, fmt.Errorf("it does not say what was seen")
	case !issuePattern.MatchString(parsed.Issue):
		return entry{}, fmt.Errorf("issue %q, want \"issue N\"", parsed.Issue)
	}
	return parsed, nil
}

// skipPattern is what go test's -skip takes to pass over the tests of the entries; "" if there are none.
func skipPattern(entries []entry) string {
	var names []string
	for _, listed := range entries {
		if listed.Test != noTest {
			names = append(names, listed.Test)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return "^(" + strings.Join(names, "|") + ")$"
}
