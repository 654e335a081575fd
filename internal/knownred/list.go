// Command knownred checks the list of known failures, KNOWN-RED.txt, and runs its commands for .ci/run.
//
// Each line of the list is one entry of five parts:
//
//	kind | test | command | what was seen | issue
//
// The kind is "always" or "at times". The test is the name of a Go test, or "-" if the entry has a command but no test, as for a
// seed of the fault soak. The command reproduces the failure and names its seed. The issue stays open while the entry is in the
// list.
//
// The command of each entry runs once. An entry of kind "always" that passes is an error: it has to be removed from the list. The
// result of an entry of kind "at times" is only printed.
package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entryKind states how often the command of an entry fails.
type entryKind string

const (
	failsAlways  entryKind = "always"
	failsAtTimes entryKind = "at times"
)

// noTest is the test part of an entry that has a command but no test.
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

// parseList parses a list. The error names the line of the first malformed or duplicate entry.
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
				return nil, fmt.Errorf("line %d: the command is already in the list", number+1)
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
		return entry{}, fmt.Errorf("test %q is neither the name of a Go test nor %q", parsed.Test, noTest)
	case parsed.Command == "":
		return entry{}, fmt.Errorf("the entry has no command")
	case parsed.Test != noTest && !strings.Contains(parsed.Command, parsed.Test):
		return entry{}, fmt.Errorf("the command does not run %s", parsed.Test)
	case parsed.Observed == "":
		return entry{}, fmt.Errorf("the entry does not say what was seen")
	case !issuePattern.MatchString(parsed.Issue):
		return entry{}, fmt.Errorf("issue %q, want \"issue N\"", parsed.Issue)
	}
	return parsed, nil
}

// skipPattern returns the value of go test's -skip flag that skips the tests of the entries; "" if no entry has a test.
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
