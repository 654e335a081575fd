package registry

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	// The timeouts are short because replicas are close to each other. A leader counts as failed after
	// raftHeartbeatTimeout without a heartbeat, and another leader is elected well within two seconds. A paused
	// leader steps down after raftLeaderLeaseTimeout, which is shorter than raftHeartbeatTimeout.
	raftHeartbeatTimeout   = 400 * time.Millisecond
	raftElectionTimeout    = 400 * time.Millisecond
	raftLeaderLeaseTimeout = 250 * time.Millisecond
	raftCommitTimeout      = 10 * time.Millisecond

	snapshotCheckInterval = 2 * time.Second
	retainedSnapshots     = 2
	dataDirMode           = 0o700
	logFileName           = "raft.db"
)

// raftStores are the stores of raft's log, its votes and its snapshots.
type raftStores struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	closer    io.Closer
}

// openRaft opens the stores and the transport, and starts raft.
func (r *Replica) openRaft() error {
	config := r.raftConfig()
	stores, err := openRaftStores(r.options.DataDir, config.Logger)
	if err != nil {
		return err
	}
	r.stores = stores
	layer, err := newStreamLayer(r.options.RaftAddr, r.options.AdvertiseRaftAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("raft: %w", err), r.stores.closer.Close())
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer, MaxPool: maxRaftConnections, Timeout: applyTimeout, Logger: config.Logger,
	})
	if err := r.startRaft(config, stores); err != nil {
		return errors.Join(fmt.Errorf("raft: %w", err), r.transport.Close(), r.stores.closer.Close())
	}
	return nil
}

func (r *Replica) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.options.HTTPAddr)
	config.HeartbeatTimeout = raftHeartbeatTimeout
	config.ElectionTimeout = raftElectionTimeout
	config.LeaderLeaseTimeout = raftLeaderLeaseTimeout
	config.CommitTimeout = raftCommitTimeout
	config.SnapshotThreshold = r.options.SnapshotThreshold
	config.TrailingLogs = r.options.SnapshotThreshold / 2
	config.SnapshotInterval = snapshotCheckInterval
	config.Logger = hclog.FromStandardLogger(slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		&hclog.LoggerOptions{Name: "raft", Level: hclog.Info})
	return config
}

// startRaft starts raft. A replica without stored state starts a new cluster if its options name the members.
func (r *Replica) startRaft(config *raft.Config, stores *raftStores) error {
	exists, err := raft.HasExistingState(stores.logs, stores.stable, stores.snapshots)
	if err != nil {
		return err
	}
	if !exists && len(r.options.Members) > 0 {
		var servers []raft.Server
		for _, member := range r.options.Members {
			servers = append(servers, raft.Server{ID: raft.ServerID(member.HTTPAddr), Address: raft.ServerAddress(member.RaftAddr)})
		}
		configuration := raft.Configuration{Servers: servers}
		err := raft.BootstrapCluster(config, stores.logs, stores.stable, stores.snapshots, r.transport, configuration)
		if err != nil {
			return err
		}
	}
	r.raft, err = raft.NewRaft(config, (*fsm)(r), &guardedLogStore{stores.logs, r}, stores.stable, stores.snapshots, r.transport)
	return err
}

// openRaftStores opens the stores in a directory and verifies their contents. Stores for the directory "" are in
// memory.
func openRaftStores(dir string, logger hclog.Logger) (*raftStores, error) {
	if dir == "" {
		memory := raft.NewInmemStore()
		return &raftStores{memory, memory, raft.NewInmemSnapshotStore(), io.NopCloser(nil)}, nil
	}
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	store, err := openLogStore(filepath.Join(dir, logFileName))
	if err != nil {
		return nil, err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, logger)
	if err == nil {
		err = verifyDataDir(dir, store, snapshots)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", dir, err), store.Close())
	}
	return &raftStores{store, store, snapshots, store}, nil
}

// openLogStore opens the file of the log. The library panics on some corrupt files; openLogStore returns such a panic
// as an error.
func openLogStore(path string) (store *raftboltdb.BoltStore, err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("%s: %v", path, panicked)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{Path: path})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return store, nil
}
