package agent

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"milldeck/internal/registry"
)

// mergeResult is what became of a list or change that a replica sent.
type mergeResult uint8

const (
	listApplied       mergeResult = iota
	listOutdated                  // it is older than what is known
	listDiscontinuous             // a change that does not continue what is known: the full list has to be fetched
	listUnknown                   // the replica has no epoch: it has just started, and knows no list
	listUnconfirmed               // it removes most ready instances, or begins another epoch: a second replica has to confirm it
)

// minLossToConfirm is how many ready instances a list has to remove to need confirmation: of two instances, one is a half.
const minLossToConfirm = 3

// instanceList is the list of instances as the agent knows it. It has no clock and does no I/O: lists go in, changes come
// out. The revision that it serves only increases, whatever becomes of the registry's.
type instanceList struct {
	maxLossFraction float64 // of the ready instances that may be removed without confirmation

	revision, epoch uint64 // of the registry
	servedRevision  uint64 // as the sidecar's watches know it
	targets         map[string]registry.Target
}

// listChanges is what the sidecar's watches are to be sent.
type listChanges struct {
	upserted []registry.Instance
	removed  []registry.InstanceRef
}

// known reports whether there is any list.
func (l *instanceList) known() bool { return l.revision != 0 }

// merge applies a list or change and returns what it changes. Confirmed means that a second replica agrees with it.
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

// targetsAfter returns the targets as they are after a list or change.
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

// diffTargets returns what changes from one list to the next, by UID.
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

// exceedsLossLimit reports whether a list leaves too few of the instances that are ready.
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

// encode returns the bytes of the list file.
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

// decode reads a list file. It uses nothing of a corrupt one.
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

// load reads the list file; a missing one is no error.
func (l *instanceList) load(path string) error {
	data, err := readStateFile(path)
	if data == nil || err != nil {
		return err
	}
	return l.decode(data)
}
