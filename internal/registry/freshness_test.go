package registry

import (
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
)

// A leader that is held up between the check of its leadership and the answer must not call its state as new as the answer: by then
// another leader may have changed it. It noted the time after the check, so the hold-up was missing in the age that it told, and in
// the age by which it decides whether it may still grant a lease. The test holds it up right after the check. The loop that verifies
// the leadership five times a second is ended before, as it would note later times by itself.
func TestDelayedReadReportsItsAge(t *testing.T) {
	block := proctest.Block(t)
	address := block.Addr(200, 0, 8500)
	options := Options{HTTPAddr: address, RaftAddr: block.Addr(200, 0, 8501)}
	options.Members = []Member{{HTTPAddr: address, RaftAddr: options.RaftAddr}}
	replica, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = replica.Close() }) // nothing is left to be lost
	awaitCondition(t, "it leads", func() bool { return replica.caughtUp.Load() && replica.isLeader.Load() })
	replica.cancel()
	awaitCondition(t, "its loop has ended", func() bool { return !replica.isLeader.Load() })
	replica.isLeader.Store(true)

	const delay = 300 * time.Millisecond
	verifyLeader := replica.verifyLeader
	replica.verifyLeader = func() error {
		err := verifyLeader()
		time.Sleep(delay)
		return err
	}
	if err := replica.verifyFreshness(t.Context()); err != nil {
		t.Fatal(err)
	}
	if age := replica.listAge(); age < delay {
		t.Errorf("held up for %v after the check it calls its state %v old", delay, age)
	}
}

// awaitCondition waits for a condition that has to come true.
func awaitCondition(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not within 30 s: " + condition)
		}
	}
}
