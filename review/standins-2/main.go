// Command standins-2 plays the cases of the second review: it starts the programs of this repository as processes of
// their own, takes the place of the servers, the clients and the platform, and judges one rule. The exit status is 1
// if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption of the case does not come.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseTimeout is less than the 120 s that a case may take.
const caseTimeout = 110 * time.Second

// The exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// errBroken is the result of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// run is the run of one case.
type run struct {
	*record
	*processes
	trouble bool
	scratch string // a temporary folder
}

var cases = map[string]func(context.Context, *run) error{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(exitCouldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case from the root of the repository, and writes the record into a folder.
func play(name, folder string) int {
	body, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitCouldNotRun
	}
	log, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer log.close()
	scratch, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	started := &run{record: log, processes: &processes{log: log}, trouble: os.Getenv("TROUBLE") != "0", scratch: scratch}
	defer started.killAll()
	log.printf("case %s, trouble: %v", name, started.trouble)
	switch err = body(ctx, started); {
	case err == nil:
		log.printf("RESULT: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		log.printf("RESULT: %v", err)
		return exitBroken
	default:
		log.printf("RESULT: the case could not run: %v", err)
		return exitCouldNotRun
	}
}

// sleep waits for a duration or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// await polls until a condition holds.
func await(ctx context.Context, what string, atMost time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(atMost); !holds(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %v for %s", atMost, what)
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
