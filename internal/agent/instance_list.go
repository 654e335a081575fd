package agent

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"milldeck/internal/registry"
)

// mergeResult is the result of merging a list or change that a replica sent.
type mergeResult uint8

const (
	listApplied       mergeResult = iota
	listOutdated                  // the received list is older than the known one, or the change is not newer
	listDiscontinuous             // the change does not continue the known list, so the complete list has to be fetched
	listUnknown                   // the replica has no epoch: it has just started and has no list
	listUnconfirmed               // the list removes most ready instances or has another epoch; a second replica has to confirm it
)

// minLossToConfirm is the least number of removed ready instances for which a list needs confirmation. In a list of two
// instances, the loss of one instance is already a loss of half.
const minLossToConfirm = 3

// instanceList is the agent's copy of the list of instances. It uses no clock and does no I/O: merge takes lists and
// returns changes. servedRevision only increases, even if the registry's revision decreases.
type instanceList struct {
	maxLossFraction float64 // fraction of the ready instances that a list may remove without confirmation

	revision, epoch uint64 // of the registry
	servedRevision  uint64 // the revision that the agent sends to the sidecar
	targets         map[string]registry.Target
}

// listChanges are the differences between two lists, to be sent to the sidecar's watches.
type listChanges struct {
	upserted []registry.Instance
	removed  []registry.InstanceRef
}

// known reports whether the agent has a list.
func (l *instanceList) known() bool { return l.revision != 0 }

// merge applies a complete list or a change and returns the differences. confirmed says that a second replica agrees with
// the received list.
func (l *instanceList) merge(received *registry.EndpointList, confirmed bool) (mergeResult, listChanges) {
	sameEpoch := received.Epoch == l.epoch
	switch {
	case received.Epoch == 0:
		return listUnknown, listChanges{}
	case l.known() && sameEpoch && (received.Revision < l.revision || received.Revision == l.revision && !received.Complete):
		return listOutdated, listChanges{}
	case !received.Complete && (!l.known() || !sameEpoch):
		return listDiscontinuous, listChanges{}
	}
	next := l.targetsAfter(received)
	if l.known() && !confirmed && (!sameEpoch || l.exceedsLossLimit(next)) {
		return listUnconfirmed, listChanges{}
	}
	changes := diffTargets(l.targets, next)
	l.revision, l.epoch, l.targets = received.Revision, received.Epoch, next
	l.servedRevision = max(l.servedRevision+1, received.Revision)
	return listApplied, changes
}

// targetsAfter returns the targets that result from a list or change.
func (l *instanceList) targetsAfter(received *registry.EndpointList) map[string]registry.Target {
	next := map[string]registry.Target{}
	if !received.Complete {
		maps.Copy(next, l.targets)
	}
	for _, target := range received.Targets {
		if target.State == registry.InstanceRemoved {
			delete(next, target.UID)
		} else {
			next[target.UID] = target
		}
	}
	return next
}

// diffTargets returns the differences between two lists, sorted by UID.
func diffTargets(current, next map[string]registry.Target) listChanges {
	var changes listChanges
	for uid := range current {
		if _, ok := next[uid]; !ok {
			changes.removed = append(changes.removed, registry.InstanceRef{UID: uid})
		}
	}
	for uid, target := range next {
		if previous, ok := current[uid]; !ok || previous != target {
			changes.upserted = append(changes.upserted, registry.Instance{Target: target})
		}
	}
	slices.SortFunc(changes.removed, func(a, b registry.InstanceRef) int { return strings.Compare(a.UID, b.UID) })
	slices.SortFunc(changes.upserted, func(a, b registry.Instance) int { return strings.Compare(a.UID, b.UID) })
	return changes
}

// exceedsLossLimit reports whether the next list removes at least minLossToConfirm ready instances and more than
// maxLossFraction of the ready instances.
func (l *instanceList) exceedsLossLimit(next map[string]registry.Target) bool {
	ready, lost := 0, 0
	for uid, target := range l.targets {
		if target.State != registry.InstanceReady {
			continue
		}
		ready++
		if next[uid].State != registry.InstanceReady {
			lost++
		}
	}
	return lost >= minLossToConfirm && float64(lost) > l.maxLossFraction*float64(ready)
}

const listFileHeader = "milldeck-agent-list 1\n"

// listFile is the body of the saved list.
type listFile struct {
	Revision       uint64            `json:"rev"`
	Epoch          uint64            `json:"epoch"`
	ServedRevision uint64            `json:"served"`
	Targets        []registry.Target `json:"targets"`
}

// encode returns the contents of the list file.
func (l *instanceList) encode() ([]byte, error) {
	file := listFile{Revision: l.revision, Epoch: l.epoch, ServedRevision: l.servedRevision, Targets: []registry.Target{}}
	for _, target := range l.targets {
		file.Targets = append(file.Targets, target)
	}
	slices.SortFunc(file.Targets, func(a, b registry.Target) int { return cmp.Compare(a.UID, b.UID) })
	body, err := json.Marshal(file)
	if err != nil {
		return nil, err
	}
	return encodeChecksummed(listFileHeader, body), nil
}

// decode replaces the list by the contents of a list file. It leaves the list unchanged if the file is corrupt.
func (l *instanceList) decode(data []byte) error {
	body, err := decodeChecksummed(listFileHeader, data)
	if err != nil {
		return err
	}
	var file listFile
	if err := json.Unmarshal(body, &file); err != nil {
		return err
	}
	l.revision, l.epoch, l.servedRevision = file.Revision, file.Epoch, file.ServedRevision
	l.targets = map[string]registry.Target{}
	for _, target := range file.Targets {
		l.targets[target.UID] = target
	}
	return nil
}

// load reads the list file. A missing file is not an error.
func (l *instanceList) load(path string) error {
	data, err := readStateFile(path)
	if data == nil || err != nil {
		return err
	}
	return l.decode(data)
}
