package registry_test

import (
	"fmt"
	"testing"
)

// A replica that is stopped after a restore, before its next snapshot, must start again. A restore skips one index of the
// raft log, and the check of the log at the start must accept the missing entry.
func TestReplicaRestartsAfterRestore(t *testing.T) {
	env := startEnv(t, 1, false, "")
	for i := range 3 {
		env.register(newInstance(fmt.Sprintf("restored-%d", i), i))
	}
	backup, err := env.client.SaveSnapshot(env.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := env.client.RestoreSnapshot(env.ctx, backup); err != nil {
		t.Fatal(err)
	}
	env.register(newInstance("after-restore", 3))
	replica := env.awaitLeader()
	if err := replica.Stop(env.ctx); err != nil {
		t.Fatal(err)
	}
	if err := replica.Start(); err != nil {
		t.Fatal(err)
	}
	env.eventually("the replica has exited or serves", func() bool {
		return !replica.Process.Running() || env.status(replica).Revision != 0
	})
	if !replica.Process.Running() {
		t.Fatalf("the replica exits after the restart: %s", replica.Process.Log())
	}
	env.awaitLeader()
	list, err := env.client.List(env.ctx, true)
	if err != nil || len(list.Targets) != 4 {
		t.Errorf("after the restart %d instances (%v), want 4", len(list.Targets), err)
	}
}
