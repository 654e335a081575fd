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
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(r.opts.HTTP)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = heartbeat, election, leaderLease
	cfg.CommitTimeout = commitEvery
	cfg.SnapshotThreshold = r.opts.SnapshotEvery
	cfg.TrailingLogs = r.opts.SnapshotEvery / 2
	cfg.SnapshotInterval = 2 * time.Second
	cfg.Logger = hclog.FromStandardLogger(slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
		&hclog.LoggerOptions{Name: "raft", Level: hclog.Info})

	var logs raft.LogStore
	var stable raft.StableStore
	var snaps raft.SnapshotStore
	if r.opts.Dir == "" {
		mem := raft.NewInmemStore()
		logs, stable, snaps, r.store = mem, mem, raft.NewInmemSnapshotStore(), io.NopCloser(nil)
	} else {
		if err := os.MkdirAll(r.opts.Dir, 0o700); err != nil {
			return fmt.Errorf("dir: %w", err)
		}
		store, err := openStore(filepath.Join(r.opts.Dir, logFile))
		if err != nil {
			return err
		}
		r.store = store
		files, err := raft.NewFileSnapshotStoreWithLogger(r.opts.Dir, keptSnaps, cfg.Logger)
		if err == nil {
			err = verifyFolder(store, files)
		}
		if err != nil {
			store.Close()
			return fmt.Errorf("%s: %w", r.opts.Dir, err)
		}
		logs, stable, snaps = store, store, files
	}
	layer, err := newLayer(r.opts.Raft, r.opts.Advertise)
	if err != nil {
		r.store.Close()
		return fmt.Errorf("raft: %w", err)
	}
	r.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer, MaxPool: poolSize, Timeout: applyWait, Logger: cfg.Logger,
	})
	fresh, err := raft.HasExistingState(logs, stable, snaps)
	if err == nil && !fresh && len(r.opts.Members) > 0 {
		var servers []raft.Server
		for _, m := range r.opts.Members {
			servers = append(servers, raft.Server{ID: raft.ServerID(m.HTTP), Address: raft.ServerAddress(m.Raft)})
		}
		err = raft.BootstrapCluster(cfg, logs, stable, snaps, r.trans, raft.Configuration{Servers: servers})
	}
	if err == nil {
		r.raft, err = raft.NewRaft(cfg, (*fsm)(r), logs, stable, snaps, r.trans)
	}
	if err != nil {
		r.trans.Close()
		r.store.Close()
		return fmt.Errorf("raft: %w", err)
	}
	return nil
}

// openStore opens the log's file. The library panics on some torn files; that is an error like any other here.
func openStore(path string) (store *raftboltdb.BoltStore, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: %v", path, p)
		}
	}()
	store, err = raftboltdb.New(raftboltdb.Options{Path: path})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return store, nil
}

// verifyFolder reads all that the replica would build on, so that what is torn is found before it votes.
func verifyFolder(store *raftboltdb.BoltStore, snaps raft.SnapshotStore) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("log: %v", p)
		}
	}()
	list, err := snaps.List()
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	for _, meta := range list { // the older one is what is left when the newest cannot be read
		_, from, err := snaps.Open(meta.ID)
		if err == nil {
			_, err = ReadSnapshot(from)
			from.Close()
		}
		if err != nil {
			return fmt.Errorf("snapshot %s: %w", meta.ID, err)
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
	for i := first; i != 0 && i <= last; i++ {
		var l raft.Log
		if err := store.GetLog(i, &l); err != nil {
			return fmt.Errorf("log entry %d: %w", i, err)
		}
		if l.Index != i {
			return fmt.Errorf("log entry %d: %w", i, errTorn)
		}
		if l.Type == raft.LogCommand {
			if _, err := DecodeRecord(l.Data); err != nil {
				return fmt.Errorf("log entry %d: %w", i, err)
			}
		}
	}
	return nil
}

// layer is the connections between replicas. It dials from the replica's own address, so that the other side, and
// whatever stands between, sees who it is.
type layer struct {
	net.Listener
	own       net.IP
	advertise net.Addr
}

func newLayer(addr, advertise string) (*layer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	public, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &layer{ln, ln.Addr().(*net.TCPAddr).IP, public}, nil
}

func (l *layer) Addr() net.Addr { return l.advertise }

func (l *layer) Dial(to raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: min(wait, dialWait), LocalAddr: &net.TCPAddr{IP: l.own}}
	c, err := d.Dial("tcp", string(to))
	if err != nil {
		return nil, err
	}
	return &prompt{Conn: c, within: answerWithin}, nil
}

const (
	// answerWithin is how old an answer of another replica may be. Who answered a heartbeat elects nobody else for the
	// time of the heartbeat; an answer that is read later, as after this process was frozen or a link cut, proves no
	// leadership of now. Raft would take it as the proof of a read that was asked for meanwhile, and a deposed leader
	// would answer what is out of date as fresh.
	answerWithin = heartbeat - 50*time.Millisecond
	// smallAsk is the most bytes of a question that is answered at once: heartbeats are far under it, batches of the
	// log and snapshots, which take the other side's disk its time, are not.
	smallAsk = 1 << 10
)

var errLateAnswer = errors.New("the answer is too old to count")

// prompt is a connection to another replica on which answers count while they are young alone.
type prompt struct {
	net.Conn
	within time.Duration

	mu    sync.Mutex
	asked time.Time // when the last bytes were written
	size  int       // how many, since the last answer
}

func (p *prompt) Write(b []byte) (int, error) {
	p.mu.Lock()
	p.asked = time.Now()
	p.size += len(b)
	p.mu.Unlock()
	return p.Conn.Write(b)
}

func (p *prompt) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 && p.size <= smallAsk && time.Since(p.asked) > p.within {
		return 0, errLateAnswer
	}
	p.size = 0
	return n, err
}

// fsm is the replica as raft drives it.
type fsm Replica

func (f *fsm) Apply(l *raft.Log) any {
	r := (*Replica)(f)
	rec, err := DecodeRecord(l.Data)
	if err == nil {
		var res Result
		if res, err = r.hub.Apply(l.Index, rec); err == nil {
			return res
		}
	}
	// Every replica would have to skip it alike, and this one cannot know that they do.
	r.die(fmt.Errorf("log entry %d: %w", l.Index, err))
	return err
}

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	var buf writer
	var err error
	(*Replica)(f).hub.Read(func(s *State) { err = s.Snapshot(&buf) })
	return &buf, err
}

func (f *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	s, err := ReadSnapshot(from)
	if err != nil {
		return err
	}
	(*Replica)(f).hub.Replace(s)
	return nil
}

// writer keeps a snapshot's bytes, taken at one moment, until raft has written them.
type writer struct{ data []byte }

func (w *writer) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

func (w *writer) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(w.data); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (w *writer) Release() {}
