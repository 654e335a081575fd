// Command standin holds the stand-ins and the drivers of the review's cases: a server and a client that follow the
// platform's protocol, a proxy, and for each case the sequence of events and the check of the rule.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errRuleBroken ends a case in which the rule was broken.
var errRuleBroken = errors.New("the rule was broken")

// cases are the cases by the name that their scripts pass.
var cases = map[string]func(*run) error{
	"lease":   leaseCase,
	"drain":   drainCase,
	"removed": removedCase,
	"restore": restoreCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := serveServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "server:", err)
			os.Exit(exitCannotRun)
		}
		return
	}
	const wantedArgs = 4
	if len(os.Args) != wantedArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD, or standin server FLAGS")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs a case and returns its exit status.
func play(runCase func(*run) error, root, recordPath string) int {
	r, err := newRun(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	err = runCase(r)
	r.close()
	switch {
	case err == nil:
		r.note("RESULT held")
		return exitHeld
	case errors.Is(err, errRuleBroken):
		r.note("RESULT broken")
		return exitBroken
	default:
		r.note("RESULT could not run: %v", err)
		return exitCannotRun
	}
}
