package main

import (
	"strings"
	"testing"
)

const (
	alwaysLine  = "always | TestA | go test -run '^TestA$' ./a | it loses requests | issue 3"
	atTimesLine = "at times | - | bin/milldeck lab soak --seed 7 | a late answer | issue 12"
)

func TestParseList(t *testing.T) {
	for name, c := range map[string]struct{ text, wantErr string }{
		"empty":                          {"", ""},
		"one of each kind":               {alwaysLine + "\n\n" + atTimesLine + "\n", ""},
		"unknown kind":                   {"seldom" + strings.TrimPrefix(alwaysLine, "always"), "line 1: kind"},
		"no test":                        {strings.Replace(alwaysLine, "TestA |", "|", 1), "test"},
		"not a test name":                {strings.Replace(alwaysLine, "TestA |", "Testa |", 1), "test"},
		"command of another test":        {strings.Replace(alwaysLine, "TestA |", "TestB |", 1), "does not run TestB"},
		"no command":                     {"at times | - | | a late answer | issue 12", "no command"},
		"no observation":                 {strings.Replace(atTimesLine, "a late answer", "", 1), "what was seen"},
		"no issue":                       {strings.Replace(atTimesLine, "issue 12", "later", 1), "issue"},
		"former format with three parts": {"TestA | it loses requests | issue 3", "3 parts"},
		"duplicate":                      {alwaysLine + "\n" + alwaysLine, "line 2: the command is already"},
		"extra part":                     {alwaysLine + " | more", "6 parts"},
		"second entry malformed":         {alwaysLine + "\nTestB", "line 2"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseList(c.text)
			if (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("error %v, want %q", err, c.wantErr)
			}
		})
	}
}

func TestRunAll(t *testing.T) {
	failing := "--- FAIL: TestA (0.01s)\nFAIL\n"
	for name, c := range map[string]struct {
		line     string
		result   commandResult
		wantErr  string
		wantText string
	}{
		"always, fails":           {alwaysLine, commandResult{1, failing}, "", "now: failed"},
		"always, a subtest fails": {alwaysLine, commandResult{1, "--- FAIL: TestA/case (0s)"}, "", "now: failed"},
		"always, passes":          {alwaysLine, commandResult{0, "ok"}, "remove it from the list", "now: passed"},
		"at times, fails":         {atTimesLine, commandResult{1, "VIOLATION"}, "", "now: failed"},
		"at times, passes":        {atTimesLine, commandResult{0, ""}, "", "now: passed"},
		"the build fails":         {alwaysLine, commandResult{1, "FAIL ./a [build failed]"}, "without a failure", ""},
		"another test fails":      {alwaysLine, commandResult{1, "--- FAIL: TestAB (0s)"}, "without a failure", ""},
		"no such test":            {alwaysLine, commandResult{0, "ok [no tests to run]"}, "no such test", ""},
		"no such command":         {atTimesLine, commandResult{127, ""}, "does not exist", ""},
		"usage error":             {atTimesLine, commandResult{2, ""}, "usage error", ""},
	} {
		t.Run(name, func(t *testing.T) {
			entries, err := parseList(c.line)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			err = runAll(&out, entries, func(string) (commandResult, error) { return c.result, nil })
			if (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("error %v, want %q", err, c.wantErr)
			}
			if !strings.Contains(out.String(), c.wantText) {
				t.Errorf("printed %q, want %q", out.String(), c.wantText)
			}
		})
	}
}

func TestRunInShell(t *testing.T) {
	if result, err := runInShell("echo shown; exit 3"); err != nil || result.status != 3 || result.output != "shown\n" {
		t.Errorf("%+v, %v", result, err)
	}
	if result, err := runInShell("./there-is-no-such-program"); err != nil || result.status != statusNotFound {
		t.Errorf("%+v, %v", result, err)
	}
}

func TestSkipPattern(t *testing.T) {
	entries, err := parseList(alwaysLine + "\n" + atTimesLine)
	if err != nil {
		t.Fatal(err)
	}
	if pattern := skipPattern(entries); pattern != "^(TestA)$" {
		t.Errorf("pattern %q", pattern)
	}
	if pattern := skipPattern(entries[1:]); pattern != "" {
		t.Errorf("pattern %q without a test", pattern)
	}
}
