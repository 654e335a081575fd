package registry

import (
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"

	"milldeck/internal/lab/proc/proctest"
)

// A new leader waits until the records of earlier leaders are applied. On a slow disk this wait can time out while the
// replica still leads. The replica used to give up and wait for the next election, which nothing triggers: raft's
// followers still followed the replica, and it redirected every write to itself ("there is no leader"). In this test
// the first two waits fail.
func TestLeadershipIsEstablishedAfterTimeouts(t *testing.T) {
	block := proctest.ReserveAddressBlock(t)
	options := Options{HTTPAddr: block.Addr(200, 0, 8500), RaftAddr: block.Addr(200, 0, 8501)}
	options.Members = []Member{{HTTPAddr: options.HTTPAddr, RaftAddr: options.RaftAddr}}
	var barrierCalls atomic.Int64
	replica, err := openWith(options, func(replica *Replica) {
		awaitBarrier := replica.awaitBarrier
		replica.awaitBarrier = func() error {
			if barrierCalls.Add(1) <= 2 {
				return raft.ErrEnqueueTimeout
			}
			return awaitBarrier()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = replica.Close() }) // the state is in memory and discarded
	awaitCondition(t, "the replica leads, caught up", func() bool { return replica.leadershipEstablished.Load() && replica.caughtUp.Load() })
	if barrierCalls.Load() != 3 {
		t.Errorf("the replica waited %d times, want 3", barrierCalls.Load())
	}
}
