package registry

import (
	"sync/atomic"
	"testing"

	"github.com/hashicorp/raft"

	"milldeck/internal/lab/proc/proctest"
)

// A new leader waits until the records of earlier leaders are applied. Where its disk is slow just then that fails with a timeout while
// the replica still leads. It gave up then and waited for the next election, which nothing brings about: a leader that raft's followers
// obey and that redirects every write to itself ("there is no leader"). In the test the first two waits fail.
func TestLeadershipIsEstablishedAfterTimeouts(t *testing.T) {
	block := proctest.Block(t)
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
	t.Cleanup(func() { _ = replica.Close() }) // nothing is left to be lost
	awaitCondition(t, "it leads and knows its state", func() bool { return replica.isLeader.Load() && replica.caughtUp.Load() })
	if barrierCalls.Load() != 3 {
		t.Errorf("it waited %d times", barrierCalls.Load())
	}
}
