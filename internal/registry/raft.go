package registry

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

func (r *Replica) openRaft() error {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.options.HTTPAddr)
	config.HeartbeatTimeout, config.ElectionTimeout, config.LeaderLeaseTimeout = raftHeartbeatTimeout, raftElectionTimeout, raftLeaderLeaseTimeout
	config.CommitTimeout = raftCommitTimeout
	config.SnapshotThreshold = r.options.SnapshotThreshold
	config.TrailingLogs = r.options.SnapshotThreshold / 2
	config.SnapshotInterval = 2 * time.Second
	config.Logger = hclog.FromStandardLogger(slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		&hclog.LoggerOptions{Name: "raft", Level: hclog.Info})

	var logs raft.LogStore
	var stable raft.StableStore
	var snapshots raft.SnapshotStore
	if r.options.DataDir == "" {
		memory := raft.NewInmemStore()
		logs, stable, snapshots, r.logStore = memory, memory, raft.NewInmemSnapshotStore(), io.NopCloser(nil)
	} else {
		if err := os.MkdirAll(r.options.DataDir, 0o700); err != nil {
			return fmt.Errorf("dir: %w", err)
		}
		store, err := openLogStore(filepath.Join(r.options.DataDir, logFileName))
		if err != nil {
			return err
		}
		r.logStore = store
		fileSnapshots, err := raft.NewFileSnapshotStoreWithLogger(r.options.DataDir, retainedSnapshots, config.Logger)
		if err == nil {
			err = verifyDataDir(store, fileSnapshots)
		}
		if err != nil {
			store.Close()
			return fmt.Errorf("%s: %w", r.options.DataDir, err)
		}
		logs, stable, snapshots = store, store, fileSnapshots
	}
	layer, err := newStreamLayer(r.options.RaftAddr, r.options.AdvertiseRaftAddr)
	if err != nil {
		r.logStore.Close()
		return fmt.Errorf("raft: %w", err)
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer, MaxPool: maxRaftConnections, Timeout: applyTimeout, Logger: config.Logger,
	})
	exists, err := raft.HasExistingState(logs, stable, snapshots)
	if err == nil && !exists && len(r.options.Members) > 0 {
		var servers []raft.Server
		for _, member := range r.options.Members {
			servers = append(servers, raft.Server{ID: raft.ServerID(member.HTTPAddr), Address: raft.ServerAddress(member.RaftAddr)})
		}
		err = raft.BootstrapCluster(config, logs, stable, snapshots, r.transport, raft.Configuration{Servers: servers})
	}
	if err == nil {
		r.raft, err = raft.NewRaft(config, (*fsm)(r), logs, stable, snapshots, r.transport)
	}
	if err != nil {
		r.transport.Close()
		r.logStore.Close()
		return fmt.Errorf("raft: %w", err)
	}
	return nil
}

// openLogStore opens the log's file. The library panics on some torn files; that is an error like any other here.
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

// verifyDataDir reads all that the replica would build on, so that what is torn is found before it votes.
func verifyDataDir(store *raftboltdb.BoltStore, snapshots raft.SnapshotStore) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("log: %v", panicked)
		}
	}()
	available, err := snapshots.List()
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	for _, metadata := range available { // the older one is what is left when the newest cannot be read
		_, reader, err := snapshots.Open(metadata.ID)
		if err == nil {
			_, err = ReadSnapshot(reader)
			reader.Close()
		}
		if err != nil {
			return fmt.Errorf("snapshot %s: %w", metadata.ID, err)
		}
	}
	first, err := store.FirstIndex()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	last, err := store.LastIndex()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	for index := first; index != 0 && index <= last; index++ {
		var entry raft.Log
		if err := store.GetLog(index, &entry); err != nil {
			return fmt.Errorf("log entry %d: %w", index, err)
		}
		if entry.Index != index {
			return fmt.Errorf("log entry %d: %w", index, errChecksumMismatch)
		}
		if entry.Type == raft.LogCommand {
			if _, err := DecodeRecord(entry.Data); err != nil {
				return fmt.Errorf("log entry %d: %w", index, err)
			}
		}
	}
	return nil
}

// streamLayer is the connections between replicas. It dials from the replica's own address, so that the other side, and
// whatever stands between, sees who it is.
type streamLayer struct {
	net.Listener
	localIP   net.IP
	advertise net.Addr
}

func newStreamLayer(address, advertise string) (*streamLayer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	advertised, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		listener.Close()
		return nil, err
	}
	return &streamLayer{listener, listener.Addr().(*net.TCPAddr).IP, advertised}, nil
}

func (l *streamLayer) Addr() net.Addr { return l.advertise }

func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: min(timeout, dialTimeout), LocalAddr: &net.TCPAddr{IP: l.localIP}}
	conn, err := dialer.Dial("tcp", string(to))
	if err != nil {
		return nil, err
	}
	return &responseAgeConn{Conn: conn, maxAge: maxResponseAge}, nil
}

const (
	// maxResponseAge is how old an answer of another replica may be. Who answered a heartbeat elects nobody else for the
	// time of the heartbeat; an answer that is read later, as after this process was frozen or a link cut, proves no
	// leadership of now. Raft would take it as the proof of a read that was asked for meanwhile, and a deposed leader
	// would answer what is out of date as fresh.
	maxResponseAge = raftHeartbeatTimeout - 50*time.Millisecond
	// maxHeartbeatBytes is the most bytes of a question that is answered at once: heartbeats are far under it, batches of the
	// log and snapshots, which take the other side's disk its time, are not.
	maxHeartbeatBytes = 1 << 10
)

var errStaleResponse = errors.New("the answer is too old to count")

// responseAgeConn is a connection to another replica on which answers count while they are young alone.
type responseAgeConn struct {
	net.Conn
	maxAge time.Duration

	mu        sync.Mutex
	sentAt    time.Time // when the last bytes were written
	sentBytes int       // how many, since the last answer
}

func (p *responseAgeConn) Write(b []byte) (int, error) {
	p.mu.Lock()
	p.sentAt = time.Now()
	p.sentBytes += len(b)
	p.mu.Unlock()
	return p.Conn.Write(b)
}

func (p *responseAgeConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 && p.sentBytes <= maxHeartbeatBytes && time.Since(p.sentAt) > p.maxAge {
		return 0, errStaleResponse
	}
	p.sentBytes = 0
	return n, err
}

// fsm is the replica as raft drives it.
type fsm Replica

func (f *fsm) Apply(entry *raft.Log) any {
	replica := (*Replica)(f)
	record, err := DecodeRecord(entry.Data)
	if err == nil {
		var result Result
		if result, err = replica.hub.Apply(entry.Index, record); err == nil {
			return result
		}
	}
	// Every replica would have to skip it alike, and this one cannot know that they do.
	replica.fail(fmt.Errorf("log entry %d: %w", entry.Index, err))
	return err
}

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	var buffer snapshotBuffer
	var err error
	(*Replica)(f).hub.Read(func(state *StateMachine) { err = state.WriteSnapshot(&buffer) })
	return &buffer, err
}

func (f *fsm) Restore(reader io.ReadCloser) error {
	defer reader.Close()
	state, err := ReadSnapshot(reader)
	if err != nil {
		return err
	}
	(*Replica)(f).hub.Replace(state)
	return nil
}

// snapshotBuffer keeps a snapshot's bytes, taken at one moment, until raft has written them.
type snapshotBuffer struct{ data []byte }

func (w *snapshotBuffer) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

func (w *snapshotBuffer) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(w.data); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (w *snapshotBuffer) Release() {}
