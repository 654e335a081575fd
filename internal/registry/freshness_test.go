package registry

import (
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
)

// A leader may be delayed between the verification of its leadership and its response. The age that it reports must
// include the delay, because another leader may have changed the state meanwhile. The leader used to record the time
// after the verification. The delay was then missing in the reported age, and in the age by which the leader decides
// whether it may still grant a lease. The test first stops the loop that verifies the leadership five times a second,
// because that loop would record later times. It then delays the leader right after a verification.
func TestDelayedReadReportsItsAge(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	address := block.Addr(200, 0, 8500)
	options := Options{HTTPAddr: address, RaftAddr: block.Addr(200, 0, 8501)}
	options.Members = []Member{{HTTPAddr: address, RaftAddr: options.RaftAddr}}
	replica, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = replica.Close() }) // the state is in memory and discarded
	awaitCondition(t, "the replica leads", func() bool { return replica.caughtUp.Load() && replica.leadershipEstablished.Load() })
	replica.cancel()
	awaitCondition(t, "the leader loop has ended", func() bool { return !replica.leadershipEstablished.Load() })
	replica.leadershipEstablished.Store(true)

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
	if age := replica.stateAge(); age < delay {
		t.Errorf("delayed for %v after the verification, the replica reports an age of %v", delay, age)
	}
}

// awaitCondition waits until a condition holds; the test fails after 30 s.
func awaitCondition(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not within 30 s: " + condition)
		}
	}
}
