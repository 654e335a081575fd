// Package agent is the list agent on a sidecar's machine: it follows the registry's replicas and speaks PROTOCOL's
// discovery to the sidecar. It outlives the registry: absence of news is no news.
package agent

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"milldeck/internal/registry"
)

// mergeResult is what becomes of a list that a replica told.
type mergeResult uint8

const (
	listApplied       mergeResult = iota
	listOutdated                  // it is older than what is known
	listDiscontinuous             // changes that do not continue what is known: the whole list has to be asked for
	listUnconfirmed               // it would take most servers away, or begins another history: a second replica is to confirm it
)

// minLossToConfirm servers at least have to go for a list to be held: of two servers one is half.
const minLossToConfirm = 3

// instanceList is what the agent knows. It is pure: lists in, changes out. The revision that it serves never goes back,
// whatever becomes of the registry's.
type instanceList struct {
	maxLossFraction float64 // of the ready servers that may go at once

	rev, epoch uint64 // the registry's
	servedRev  uint64 // what sidecars are told
	targets    map[string]registry.Target
}

// listChanges is what sidecars are to be told.
type listChanges struct {
	upserted []registry.Instance
	removed  []registry.InstanceRef
}

// merge takes a list in. Confirmed tells that a second source agrees, so that it is not held.
func (l *instanceList) merge(received *registry.EndpointList, confirmed bool) (mergeResult, listChanges) {
	known := l.rev != 0
	switch {
	case known && received.Epoch == l.epoch && (received.Revision < l.rev || received.Revision == l.rev && !received.Full):
		return listOutdated, listChanges{}
	case !received.Full && (!known || received.Epoch != l.epoch):
		return listDiscontinuous, listChanges{}
	}
	next := map[string]registry.Target{}
	if !received.Full {
		for uid, target := range l.targets {
			next[uid] = target
		}
	}
	for _, target := range received.Targets {
		if target.State == registry.InstanceRemoved {
			delete(next, target.UID)
		} else {
			next[target.UID] = target
		}
	}
	if known && !confirmed && (received.Epoch != l.epoch || l.exceedsLossLimit(next)) {
		return listUnconfirmed, listChanges{}
	}
	var changes listChanges
	for uid := range l.targets {
		if _, present := next[uid]; !present {
			changes.removed = append(changes.removed, registry.InstanceRef{UID: uid})
		}
	}
	for uid, target := range next {
		if previous, existed := l.targets[uid]; !existed || previous != target {
			changes.upserted = append(changes.upserted, registry.Instance{Target: target})
		}
	}
	slices.SortFunc(changes.removed, func(a, b registry.InstanceRef) int { return strings.Compare(a.UID, b.UID) })
	slices.SortFunc(changes.upserted, func(a, b registry.Instance) int { return strings.Compare(a.UID, b.UID) })
	l.rev, l.epoch, l.targets = received.Revision, received.Epoch, next
	l.servedRev = max(l.servedRev+1, received.Revision)
	return listApplied, changes
}

// exceedsLossLimit tells whether a list would leave too few of the servers that are ready.
func (l *instanceList) exceedsLossLimit(next map[string]registry.Target) bool {
	ready, lost := 0, 0
	for uid, target := range l.targets {
		if target.State == registry.InstanceReady {
			ready++
			if next[uid].State != registry.InstanceReady {
				lost++
			}
		}
	}
	return lost >= minLossToConfirm && float64(lost) > l.maxLossFraction*float64(ready)
}

// A saved list is a line that names its form, the checksum of the rest, and JSON.
const (
	listFileMagic     = "milldeck-agent-list 1\n"
	maxStateFileBytes = 64 << 20
)

type listFile struct {
	Rev       uint64            `json:"rev"`
	Epoch     uint64            `json:"epoch"`
	ServedRev uint64            `json:"served"`
	Targets   []registry.Target `json:"targets"`
}

// encode gives the bytes of a saved list.
func (l *instanceList) encode() ([]byte, error) {
	file := listFile{Rev: l.rev, Epoch: l.epoch, ServedRev: l.servedRev, Targets: []registry.Target{}}
	for _, target := range l.targets {
		file.Targets = append(file.Targets, target)
	}
	slices.SortFunc(file.Targets, func(a, b registry.Target) int { return cmp.Compare(a.UID, b.UID) })
	body, err := json.Marshal(file)
	if err != nil {
		return nil, err
	}
	return encodeChecksummed(listFileMagic, body), nil
}

// encodeChecksummed gives the bytes of a file that names its form and has a checksum.
func encodeChecksummed(magic string, body []byte) []byte {
	data := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return append(data, body...)
}

// decodeChecksummed gives the body of what seal made, or says what is wrong with it.
func decodeChecksummed(magic string, data []byte) ([]byte, error) {
	remainder, ok := bytes.CutPrefix(data, []byte(magic))
	if !ok {
		return nil, fmt.Errorf("it does not begin with %q", strings.TrimSpace(magic))
	}
	if len(remainder) < 8 || binary.BigEndian.Uint64(remainder[:8]) != xxhash.Sum64(remainder[8:]) {
		return nil, errChecksumMismatch
	}
	return remainder[8:], nil
}

var errChecksumMismatch = errors.New("checksum does not match")

// decode reads a saved list, or says what is wrong with it; nothing of a torn one is used.
func (l *instanceList) decode(data []byte) error {
	body, err := decodeChecksummed(listFileMagic, data)
	if err != nil {
		return err
	}
	var file listFile
	if err := json.Unmarshal(body, &file); err != nil {
		return err
	}
	l.rev, l.epoch, l.servedRev, l.targets = file.Rev, file.Epoch, file.ServedRev, map[string]registry.Target{}
	for _, target := range file.Targets {
		l.targets[target.UID] = target
	}
	return nil
}

// load reads the saved list of a file; a missing one is no error.
func (l *instanceList) load(path string) error {
	data, err := readStateFile(path)
	if data == nil || err != nil {
		return err
	}
	return l.decode(data)
}

// readStateFile reads what was saved, nil where nothing was.
func readStateFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > maxStateFileBytes {
		return nil, fmt.Errorf("%d bytes, at most %d are read", info.Size(), maxStateFileBytes)
	}
	return os.ReadFile(path)
}

// writeStateFile writes a file so that a crash leaves the old or the new one whole.
func writeStateFile(path string, data []byte) error { return renameio.WriteFile(path, data, 0o600) }
