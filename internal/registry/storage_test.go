package registry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// flipByte flips a byte of a file, at a fraction of the file's length.
func flipByte(t *testing.T, path string, fraction float64) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[int(fraction*float64(len(data)))] ^= 0xff
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// All replicas are killed during writes and started again: no acknowledged write is lost. A replica whose store is
// corrupt fails to start with a one-line error, while the others continue. With an empty data directory the replica
// catches up by snapshot.
func TestAllReplicasKilledAndCorruptStores(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 50")
	acked := env.writeUntilKilled()

	// One replica has a flipped byte in each of its snapshots.
	victim := env.cluster.Replicas[0]
	snapshots, err := snapshotFiles(victim)
	if err != nil || len(snapshots) == 0 {
		t.Fatal("no snapshot", err)
	}
	for _, path := range snapshots {
		flipByte(t, path, 0.6)
	}
	for _, replica := range env.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	env.requireStartFailure(victim, "snapshot")
	env.awaitLeader()
	list, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	for _, target := range list.Targets {
		listed[target.UID] = true
	}
	for uid := range acked {
		if !listed[uid] {
			t.Errorf("%s was acknowledged and is not in the list", uid)
		}
	}
	env.restartWithEmptyDataDir(victim, list)

	// A flipped byte in the log, and a truncated log.
	for name, damage := range map[string]func(*testing.T, string){"flipped": flipRecords, "truncated": truncateLog} {
		victim := env.cluster.Replicas[1]
		victim.Process.Kill()
		damage(t, filepath.Join(victim.DataDir, "raft.db"))
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		env.requireStartFailure(victim, victim.DataDir)
		env.awaitLeader() // the other replicas continue
		if _, err := env.client.List(env.ctx, true); err != nil {
			t.Error(name, err)
		}
		env.restartWithEmptyDataDir(victim, list)
	}
}

// A replica whose data directory cannot be created fails to start with a one-line error.
func TestUnwritableDataDir(t *testing.T) {
	command := exec.Command(proctest.Program(t, "milldeck"), "registry", "serve", "--config", unwritableConfig(t))
	if output, err := command.CombinedOutput(); err == nil || strings.Count(string(output), "\n") != 1 || !strings.Contains(string(output), "dir") {
		t.Errorf("a data directory that cannot be created: %v, %q", err, output)
	}
}

// writeUntilKilled writes until every replica has compacted its log, and kills all replicas during the writes. It
// returns the uids whose registrations were acknowledged. A replica compacts its log after it has persisted a snapshot,
// and a kill in between leaves the whole log. A second snapshot shows that the replica has compacted its log after the
// first.
func (e *testEnv) writeUntilKilled() map[string]bool {
	e.Helper()
	ctx, stop := context.WithCancel(e.ctx)
	acked := map[string]bool{}
	var mu sync.Mutex
	var writers sync.WaitGroup
	for writer := range 4 {
		writers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				instance := newInstance(fmt.Sprintf("w%d-%d", writer, n%100), 1)
				instance.BootMS = float64(n)
				if _, err := e.client.Register(ctx, registry.WriteOptions{}, instance); err == nil {
					mu.Lock()
					acked[instance.UID] = true
					mu.Unlock()
				}
			}
		})
	}
	e.eventually("logs are compacted", func() bool {
		for _, replica := range e.cluster.Replicas {
			found, err := snapshotFiles(replica)
			if err != nil || len(found) < 2 {
				return false
			}
		}
		return true
	})
	for _, replica := range e.cluster.Replicas {
		replica.Process.Kill()
	}
	stop()
	writers.Wait()
	return acked
}

// snapshotFiles returns the files of the complete snapshots of a replica.
func snapshotFiles(replica *cluster.Replica) ([]string, error) {
	return filepath.Glob(filepath.Join(replica.DataDir, "snapshots", "*[0-9]", "state.bin")) // others are incomplete
}

// requireStartFailure waits until the process of a replica has exited, and checks for a one-line error that contains a
// reason.
func (e *testEnv) requireStartFailure(replica *cluster.Replica, reason string) {
	e.Helper()
	select {
	case <-replica.Process.Done():
	case <-time.After(20 * time.Second):
		e.Fatalf("corrupt %s: replica %d still runs", reason, replica.Index)
	}
	lines := strings.Split(strings.TrimSpace(replica.Process.Log()), "\n")
	last := lines[len(lines)-1]
	if replica.Process.Wait() == nil || !strings.HasPrefix(last, "milldeck: ") || !strings.Contains(last, reason) {
		e.Errorf("the replica exited with %v and %q, want a line that contains %q", replica.Process.Wait(), last, reason)
	}
}

// restartWithEmptyDataDir starts a replica with an empty data directory. The replica has to catch up with a list by
// snapshot, because the others have compacted their logs.
func (e *testEnv) restartWithEmptyDataDir(replica *cluster.Replica, list registry.EndpointList) {
	e.Helper()
	if err := os.RemoveAll(replica.DataDir); err != nil {
		e.Fatal(err)
	}
	if err := replica.Start(); err != nil {
		e.Fatal(err)
	}
	e.eventually("the replaced replica catches up", func() bool {
		status := e.status(replica)
		return status.Revision == list.Revision && status.Instances == len(list.Targets)
	})
	if found, err := filepath.Glob(filepath.Join(replica.DataDir, "snapshots", "*", "state.bin")); err != nil || len(found) == 0 {
		e.Errorf("the replica caught up without a snapshot: %v", err)
	}
}

// flipRecords flips a byte in every registration record that a log file contains.
func flipRecords(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	record := []byte(`"instances":[{"uid"`)
	if !bytes.Contains(data, record) {
		t.Fatal("no record in the store")
	}
	for k := 0; ; {
		n := bytes.Index(data[k:], record)
		if n < 0 {
			break
		}
		data[k+n+3] ^= 0x20
		k += n + 1
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func truncateLog(t *testing.T, path string) {
	t.Helper()
	if err := os.Truncate(path, 6000); err != nil {
		t.Fatal(err)
	}
}

// unwritableConfig returns the path of a configuration whose data directory nobody can create, not even root.
func unwritableConfig(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "replica.toml")
	text := "http = \"127.0.0.1:1\"\nraft = \"127.0.0.1:1\"\ndir = \"/proc/none/of/this\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A replica whose disk is full cannot store log entries, and the other replicas continue. The replica catches up once it
// has space again. A limit on the size of the replica's files stands in for the full disk.
func TestFullDisk(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 100000")
	victim := env.cluster.Replicas[0]
	if err := victim.Process.LimitFileSize(256 << 10); err != nil {
		t.Fatal(err)
	}
	batch := make([]registry.Instance, 200)
	for n := range 20 {
		for k := range batch {
			batch[k] = newInstance(fmt.Sprintf("%s-%d", strings.Repeat("x", 90), k), n)
		}
		if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, batch...); err != nil {
			t.Fatal(err)
		}
	}
	result := env.register(newInstance("last", 1))
	env.awaitLeader()
	victim.Process.Kill()
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	env.eventually("the replica with space again catches up", func() bool { return env.status(victim).Revision >= result.Revision })
}

// A cluster that is restored from an older backup has another epoch, and its revision does not decrease.
func TestRestoreFromOlderBackup(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.register(newInstance("old", 1))
	backup, err := env.client.SaveSnapshot(env.ctx)
	if err != nil {
		t.Fatal(err)
	}
	env.register(newInstance("new", 2))
	before, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := env.client.RestoreSnapshot(env.ctx, append([]byte("x"), backup...)); err == nil {
		t.Error("a corrupt backup was accepted")
	}
	if _, err := env.client.RestoreSnapshot(env.ctx, backup); err != nil {
		t.Fatal(err)
	}
	after, err := env.client.List(env.ctx, true)
	if err != nil || len(after.Targets) != 1 || after.Epoch == before.Epoch || after.Revision <= before.Revision {
		t.Errorf("after the restore %+v (%v), before %+v", after, err, before)
	}
	// A cursor of the old epoch gets the complete list from every replica.
	for _, replica := range env.cluster.Replicas {
		env.eventually("the replica has the restored list", func() bool { return env.status(replica).Revision == after.Revision })
		ctx, cancel := context.WithCancel(env.ctx)
		err := env.client.WatchEndpoints(ctx, replica.HTTPAddr, before.Revision, before.Epoch, func(list *registry.EndpointList, _ time.Duration) error {
			if !list.Complete || len(list.Targets) != 1 {
				t.Errorf("a watcher of the old epoch receives %+v", list)
			}
			cancel()
			return nil
		})
		if !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}
