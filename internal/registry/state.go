package registry

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/duty/table"
	"milldeck/internal/placement"
	"milldeck/internal/release"
	"milldeck/internal/window"
)

// Bounds of what the state keeps.
const (
	keptChanges = 8192   // at least, and up to twice as many, for watches that come back: beyond it they get the whole list
	keptWrites  = 16_384 // ids of writes that are known to be done
)

// Outcome says what became of a write.
type Outcome string

// The outcomes.
const (
	Done     Outcome = "done"
	Conflict Outcome = "conflict"  // the entry has another revision, or another address holds its uid
	NotFound Outcome = "not_found" // there is no such entry
	TooMany  Outcome = "too_many"  // the list is full
)

// Result answers a write.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Rev     uint64  `json:"rev"` // the revision of the write, or on a conflict that of the entry
	Why     string  `json:"why,omitempty"`
}

// Change is one entry's news, with its line of a watch encoded once for all watchers.
type Change struct {
	Rev    uint64
	Target Target
	Line   []byte
}

// State is the replicated state machine. It is pure: the same records in the same order give the same state on
// every replica. It is not safe for concurrent use.
type State struct {
	rev       uint64 // of the last change of the list
	applied   uint64
	epoch     uint64
	instances map[string]*Instance
	history   []Change // by revision, the newest last
	forgotten uint64   // the revision of the newest change that history has lost
	writes    map[string]Result
	order     []string // of writes, oldest first
	duties    *table.Table
	places    *placement.Table
	releases  *release.Table
	windows   *window.Table
	ledger    *ledger // nil until the first record about it
}

// NewState is the empty state.
func NewState() *State {
	s := &State{instances: map[string]*Instance{}, writes: map[string]Result{}, duties: table.New(), places: placement.NewTable(),
		releases: release.NewTable()}
	s.setWindows(window.New())
	return s
}

// Rev is the revision of the list.
func (s *State) Rev() uint64 { return s.rev }

// Epoch names the history that this list continues; a restored backup begins another.
func (s *State) Epoch() uint64 { return s.epoch }

// Len is the number of instances.
func (s *State) Len() int { return len(s.instances) }

// Get is one instance.
func (s *State) Get(uid string) (Instance, bool) {
	i, is := s.instances[uid]
	if !is {
		return Instance{}, false
	}
	return *i, true
}

// All calls do for each instance, in no order.
func (s *State) All(do func(*Instance)) {
	for _, i := range s.instances {
		do(i)
	}
}

// Apply takes one record of the log in. Index is its place there, which only grows.
func (s *State) Apply(index uint64, r *Record) Result {
	s.applied = index
	if r.ID != "" {
		if old, known := s.writes[r.ID]; known {
			return old
		}
	}
	res := s.do(index, r)
	s.feed(index, r, res)
	if r.ID != "" && res.Outcome == Done {
		s.writes[r.ID] = res
		s.order = append(s.order, r.ID)
		if len(s.order) > keptWrites {
			delete(s.writes, s.order[0])
			s.order = s.order[1:]
		}
	}
	return res
}

func (s *State) do(index uint64, r *Record) Result {
	if g := r.Guard; g != nil && !s.duties.TokenValid(g.Duty, g.Token) {
		return Result{Conflict, s.duties.Rev(), fmt.Sprintf("token %d of duty %s counts no more", g.Token, g.Duty)}
	}
	switch r.Op {
	case OpDuty:
		return s.doDuty(index, r.Duty)
	case OpPlacement:
		return s.doPlacement(index, r)
	case OpRelease:
		return s.doRelease(index, r)
	case OpWindow:
		return s.doWindow(index, r)
	case OpLedger:
		return s.doLedger(index, r)
	case OpSidecars:
		return s.doSidecars(index, r)
	case OpRegister:
		return s.register(index, r)
	case OpState, OpDeregister:
		return s.changeAll(index, r)
	case OpExpire:
		for _, ref := range r.Refs {
			if i := s.instances[ref.UID]; i != nil && i.Rev == ref.Rev && !i.Suspect {
				s.remove(index, i)
			}
		}
		return Result{Outcome: Done, Rev: index}
	case OpFollow:
		for k := range r.Instances {
			n := r.Instances[k]
			if old := s.instances[n.UID]; old == nil || old.Target != n.Target {
				n.Rev = index
				s.instances[n.UID] = &n
				s.tell(index, n.Target)
			}
		}
		for _, ref := range r.Refs {
			if i := s.instances[ref.UID]; i != nil {
				s.remove(index, i)
			}
		}
		return Result{Outcome: Done, Rev: index}
	case OpSuspect:
		for _, ref := range r.Refs {
			if i := s.instances[ref.UID]; i != nil {
				i.Suspect = r.On // no change of the list: sidecars are not told
			}
		}
		return Result{Outcome: Done, Rev: index}
	case OpEpoch:
		s.epoch, s.history, s.forgotten = r.Epoch, nil, index
		s.rev = index
		s.places.StartEpoch(index, r.Epoch)
		return Result{Outcome: Done, Rev: index}
	default:
		// Of a later version: every replica of this one skips it alike.
		return Result{Outcome: Conflict, Rev: s.rev, Why: fmt.Sprintf("unknown operation %q", r.Op)}
	}
}

// Duties is the table of duties, for reading.
func (s *State) Duties() *table.Table { return s.duties }

func (s *State) doDuty(index uint64, op *table.Operation) Result {
	if op == nil {
		return Result{Conflict, s.duties.Rev(), "no operation"}
	}
	outcome, why := s.duties.Apply(index, op)
	of := map[table.Outcome]Outcome{table.Applied: Done, table.Stale: Conflict, table.NotFound: NotFound, table.LimitExceeded: TooMany}
	return Result{of[outcome], s.duties.Rev(), why}
}

// register takes in new instances and new lives of known ones; all of a batch or none.
func (s *State) register(index uint64, r *Record) Result {
	fresh := 0
	for k := range r.Instances {
		n := &r.Instances[k]
		old := s.instances[n.UID]
		if old == nil {
			fresh++
			if r.IfRev != nil && *r.IfRev != 0 {
				return Result{NotFound, 0, n.UID + " is not registered"}
			}
			continue
		}
		if r.IfRev != nil && *r.IfRev != old.Rev {
			return Result{Conflict, old.Rev, fmt.Sprintf("%s has revision %d", n.UID, old.Rev)}
		}
		// Two processes with one uid: the later start has it. An old one that comes back does not take it away.
		if old.Endpoint != n.Endpoint && n.BootMS <= old.BootMS {
			return Result{Conflict, old.Rev, fmt.Sprintf("%s is held by %s, which started no earlier", n.UID, old.Endpoint)}
		}
		if n.BootMS < old.BootMS {
			return Result{Conflict, old.Rev, fmt.Sprintf("%s has started again since", n.UID)}
		}
	}
	if len(s.instances)+fresh > maxInstances {
		return Result{TooMany, s.rev, fmt.Sprintf("the list holds %d instances", len(s.instances))}
	}
	for k := range r.Instances {
		n := r.Instances[k]
		n.Suspect = false
		old := s.instances[n.UID]
		if old != nil && old.Target == n.Target {
			old.Version, old.TTLMS, old.Suspect = n.Version, n.TTLMS, false
			continue // nothing that anybody would be told
		}
		n.Rev = index
		s.instances[n.UID] = &n
		s.tell(index, n.Target)
	}
	return Result{Outcome: Done, Rev: index}
}

// changeAll sets the state of instances or removes them; all of them or none.
func (s *State) changeAll(index uint64, r *Record) Result {
	for _, ref := range r.Refs {
		i := s.instances[ref.UID]
		switch {
		case i == nil && r.Op == OpDeregister && ref.Rev == 0:
			// Gone already: that is what was asked for.
		case i == nil:
			return Result{NotFound, 0, ref.UID + " is not registered"}
		case ref.Rev != 0 && ref.Rev != i.Rev:
			return Result{Conflict, i.Rev, fmt.Sprintf("%s has revision %d", ref.UID, i.Rev)}
		}
	}
	for _, ref := range r.Refs {
		i := s.instances[ref.UID]
		switch {
		case i == nil:
		case r.Op == OpDeregister:
			s.remove(index, i)
		case i.State != r.State:
			next := *i
			next.State, next.Rev = r.State, index
			s.instances[i.UID] = &next
			s.tell(index, next.Target)
		}
	}
	return Result{Outcome: Done, Rev: index}
}

func (s *State) remove(index uint64, i *Instance) {
	delete(s.instances, i.UID)
	t := i.Target
	t.State = Gone
	s.tell(index, t)
}

// tell adds a change to the history. Several of one record share its revision and one line.
func (s *State) tell(index uint64, t Target) {
	s.rev = index
	s.history = append(s.history, Change{Rev: index, Target: t})
	if len(s.history) >= 2*keptChanges { // half goes at a time: moving all for each change would cost more than the change
		extra := len(s.history) - keptChanges
		s.forgotten = s.history[extra-1].Rev
		// A revision is kept whole or not at all.
		for extra < len(s.history) && s.history[extra].Rev == s.forgotten {
			extra++
		}
		s.history = append(s.history[:0], s.history[extra:]...)
	}
}

// Whole is the whole list, in the order of uids.
func (s *State) Whole() List {
	l := List{Rev: s.rev, All: true, Epoch: s.epoch, Targets: make([]Target, 0, len(s.instances))}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		l.Targets = append(l.Targets, s.instances[uid].Target)
	}
	return l
}

// Keeps tells whether the history still holds all that changed after a revision of the epoch.
func (s *State) Keeps(rev, epoch uint64) bool {
	return rev != 0 && rev >= s.forgotten && rev <= s.rev && (epoch == 0 || epoch == s.epoch)
}

// Since is what changed after a revision of the epoch, the newest state of each instance; it is the whole list
// where that is not known any more.
func (s *State) Since(rev, epoch uint64) List {
	if !s.Keeps(rev, epoch) {
		return s.Whole()
	}
	l := List{Rev: s.rev, Epoch: s.epoch, Targets: []Target{}}
	from, _ := slices.BinarySearchFunc(s.history, rev, func(c Change, rev uint64) int {
		if c.Rev <= rev {
			return -1
		}
		return 1
	})
	last := map[string]int{}
	for k := from; k < len(s.history); k++ {
		uid := s.history[k].Target.UID
		if at, known := last[uid]; known {
			l.Targets[at] = s.history[k].Target
			continue
		}
		last[uid] = len(l.Targets)
		l.Targets = append(l.Targets, s.history[k].Target)
	}
	return l
}

// A snapshot is a line that names its form, the checksum of the rest, and JSON.
const snapshotMagic = "milldeck-registry-snapshot"

// SnapshotVersion is the version that this program writes.
const SnapshotVersion = 1

// maxSnapshot bounds what is read of a snapshot, in bytes: the fullest list with its history is under it.
const maxSnapshot = 512 << 20

type snapshot struct {
	Rev       uint64              `json:"rev"`
	Applied   uint64              `json:"applied"`
	Epoch     uint64              `json:"epoch"`
	Instances []*Instance         `json:"instances"`
	Writes    map[string]Result   `json:"writes"`
	Order     []string            `json:"order"`
	Duties    []*table.Lease      `json:"duties,omitempty"`
	Placement *placement.Snapshot `json:"placement,omitempty"`
	Releases  *release.Saved      `json:"releases,omitempty"`
	Windows   *window.Snapshot    `json:"windows,omitempty"`
	Ledger    *savedLedger        `json:"ledger,omitempty"`
}

// Snapshot writes the state. History is left out: watches that come back after a restore get the whole list.
func (s *State) Snapshot(w io.Writer) error {
	snap := snapshot{Rev: s.rev, Applied: s.applied, Epoch: s.epoch, Instances: []*Instance{}, Writes: s.writes, Order: s.order,
		Duties: s.duties.Snapshot(), Placement: s.places.Snapshot(), Releases: s.releases.Save(), Windows: s.windows.Snapshot()}
	snap.Ledger = s.ledger.save()
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		snap.Instances = append(snap.Instances, s.instances[uid])
	}
	body, err := json.Marshal(snap)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	head := fmt.Appendf(nil, "%s %d\n", snapshotMagic, SnapshotVersion)
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(body))
	if _, err := w.Write(append(head, body...)); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// ReadSnapshot reads a state, or says what is wrong with it; nothing of a torn one is used.
func ReadSnapshot(r io.Reader) (*State, error) {
	in := bufio.NewReader(io.LimitReader(r, maxSnapshot+1))
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, fmt.Errorf("snapshot: no first line: %w", noEOF(err))
	}
	var magic string
	var version int
	if n, err := fmt.Sscanf(string(line), "%s %d\n", &magic, &version); n != 2 || err != nil || magic != snapshotMagic {
		return nil, fmt.Errorf("snapshot: it does not begin with %s", snapshotMagic)
	}
	if version > SnapshotVersion || version < 1 {
		return nil, fmt.Errorf("snapshot of version %d: %w", version, errNewer)
	}
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(data) < 8 || len(data) > maxSnapshot || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[8:]) {
		return nil, fmt.Errorf("snapshot: %w", errTorn)
	}
	var snap snapshot
	if err := json.NewDecoder(bytes.NewReader(data[8:])).Decode(&snap); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := NewState()
	s.rev, s.applied, s.epoch, s.forgotten = snap.Rev, snap.Applied, snap.Epoch, snap.Rev
	for _, i := range snap.Instances {
		if i == nil {
			return nil, fmt.Errorf("snapshot: an empty instance")
		}
		s.instances[i.UID] = i
	}
	if slices.Contains(snap.Duties, nil) {
		return nil, fmt.Errorf("snapshot: an empty duty")
	}
	s.duties = table.FromSnapshot(snap.Duties)
	s.places = placement.Restore(snap.Placement, snap.Epoch)
	s.releases = release.Load(snap.Releases)
	s.setWindows(window.Restore(snap.Windows))
	if s.ledger, err = loadLedger(snap.Ledger); err != nil {
		return nil, err
	}
	if snap.Writes != nil {
		s.writes, s.order = snap.Writes, snap.Order
	}
	return s, nil
}

// noEOF tells an end that came too soon from one that was due.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
