package registry

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// A stored snapshot consists of a line with snapshotHeader and the version, the checksum of the JSON, and the state as
// JSON.
const (
	snapshotHeader = "milldeck-registry-snapshot"

	// SnapshotVersion is the version of the snapshots that this program writes. It also reads older versions.
	SnapshotVersion = 1

	// maxSnapshotBytes bounds the size of a snapshot that is read. The largest possible state is smaller.
	maxSnapshotBytes = 512 << 20
)

// snapshot is the stored state. It does not contain the history: watchers that reconnect after a restore receive the
// complete list. Tables that an older version did not have are absent.
type snapshot struct {
	Revision        uint64                `json:"rev"`
	AppliedIndex    uint64                `json:"applied"`
	Epoch           uint64                `json:"epoch"`
	Instances       []*Instance           `json:"instances"`
	CompletedWrites map[string]Result     `json:"writes"`
	WriteOrder      []string              `json:"order"`
	Leases          []*leasetable.Lease   `json:"duties,omitempty"`
	Placement       *placement.Snapshot   `json:"placement,omitempty"`
	Releases        *release.Snapshot     `json:"releases,omitempty"`
	Windows         *maintenance.Snapshot `json:"windows,omitempty"`
	Ledger          *ledgerSnapshot       `json:"ledger,omitempty"`
	RestorePending  bool                  `json:"restore_pending,omitempty"` // set in the snapshot of a restore only
}

// WriteSnapshot writes the state in the format that ReadSnapshot reads.
func (s *StateMachine) WriteSnapshot(w io.Writer) error {
	contents := snapshot{
		Revision: s.revision, AppliedIndex: s.appliedIndex, Epoch: s.epoch, Instances: []*Instance{},
		CompletedWrites: s.completedWrites, WriteOrder: s.writeOrder,
		Leases: s.leases.Snapshot(), Placement: s.placement.Snapshot(), Releases: s.releases.Snapshot(),
		Windows: s.windows.Snapshot(), Ledger: s.ledger.snapshot(),
		RestorePending: s.restorePending,
	}
	for _, uid := range slices.Sorted(maps.Keys(s.instances)) {
		contents.Instances = append(contents.Instances, s.instances[uid])
	}
	body, err := json.Marshal(contents)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	encoded := fmt.Appendf(nil, "%s %d\n", snapshotHeader, SnapshotVersion)
	encoded = binary.BigEndian.AppendUint64(encoded, xxhash.Sum64(body))
	if _, err := w.Write(append(encoded, body...)); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// ReadSnapshot reads a state. If the snapshot is corrupt or of a newer version, it returns an error and no state.
func ReadSnapshot(r io.Reader) (*StateMachine, error) {
	body, err := readSnapshotBody(r)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var contents snapshot
	// Unlike Unmarshal, a Decoder accepts data after the value, as earlier versions did.
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&contents); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	state, err := contents.restore()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return state, nil
}

// readSnapshotBody verifies the version and the checksum of a snapshot, and returns its JSON.
func readSnapshotBody(r io.Reader) ([]byte, error) {
	reader := bufio.NewReader(io.LimitReader(r, maxSnapshotBytes+1))
	firstLine, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, fmt.Errorf("reading the first line: %w", unexpectedEOF(err))
	}
	var header string
	var version int
	if n, err := fmt.Sscanf(string(firstLine), "%s %d\n", &header, &version); n != 2 || err != nil || header != snapshotHeader {
		return nil, fmt.Errorf("the first line does not begin with %s", snapshotHeader)
	}
	if version > SnapshotVersion || version < 1 {
		return nil, fmt.Errorf("version %d: %w", version, errNewerVersion)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	if len(data) < checksumSize || len(data) > maxSnapshotBytes {
		return nil, errChecksumMismatch
	}
	body := data[checksumSize:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, errChecksumMismatch
	}
	return body, nil
}

// restore returns the state machine of a snapshot.
func (c *snapshot) restore() (*StateMachine, error) {
	state := NewStateMachine()
	state.revision, state.appliedIndex, state.epoch = c.Revision, c.AppliedIndex, c.Epoch
	state.compactedRevision, state.restorePending = c.Revision, c.RestorePending
	for _, instance := range c.Instances {
		if instance == nil {
			return nil, errors.New("an instance entry is null")
		}
		state.instances[instance.UID] = instance
	}
	if slices.Contains(c.Leases, nil) {
		return nil, errors.New("a lease entry is null")
	}
	state.leases = leasetable.FromSnapshot(c.Leases)
	state.placement = placement.Restore(c.Placement, c.Epoch)
	state.releases = release.Restore(c.Releases)
	state.setWindowTable(maintenance.Restore(c.Windows))
	ledger, err := c.Ledger.restore()
	if err != nil {
		return nil, err
	}
	state.ledger = ledger
	if c.CompletedWrites != nil {
		state.completedWrites, state.writeOrder = c.CompletedWrites, c.WriteOrder
	}
	return state, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for a reader that expects more input.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
