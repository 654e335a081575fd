package agent

import (
	"bytes"
	"fmt"
	"testing"

	"milldeck/internal/registry"
)

func newList(revision, epoch uint64, complete bool, uids ...string) *registry.EndpointList {
	list := &registry.EndpointList{Revision: revision, Epoch: epoch, Complete: complete, Targets: []registry.Target{}}
	for _, uid := range uids {
		state := registry.InstanceReady
		if uid[0] == '-' {
			uid, state = uid[1:], registry.InstanceRemoved
		}
		list.Targets = append(list.Targets, registry.Target{UID: uid, Endpoint: "10.0.0.1:80", State: state})
	}
	return list
}

func TestInstanceListMerge(t *testing.T) {
	uids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	list := &instanceList{maxLossFraction: 0.5}
	for _, step := range []struct {
		name      string
		received  *registry.EndpointList
		confirmed bool
		want      mergeResult
		instances int
	}{
		{"a change before the first list", newList(4, 9, false, "a"), false, listDiscontinuous, 0},
		{"the first list", newList(5, 9, true, uids...), false, listApplied, 8},
		{"an older list", newList(4, 9, true, "a"), false, listOutdated, 8},
		{"a change of the same revision", newList(5, 9, false, "-a"), false, listOutdated, 8},
		{"one removed", newList(6, 9, false, "-a"), false, listApplied, 7},
		{"most removed", newList(7, 9, true, "b", "c"), false, listUnconfirmed, 7},
		{"most removed, by a change", newList(7, 9, false, "-b", "-c", "-d", "-e"), false, listUnconfirmed, 7},
		{"most removed, confirmed", newList(7, 9, true, "b", "c"), true, listApplied, 2},
		{"the last two removed: too few to need confirmation", newList(8, 9, false, "-b", "-c"), false, listApplied, 0},
		{"all added again", newList(9, 9, false, uids...), false, listApplied, 8},
		{"a change of another epoch", newList(20, 10, false, "-a"), false, listDiscontinuous, 8},
		{"another epoch, as after a restore", newList(3, 10, true, uids...), false, listUnconfirmed, 8},
		{"another epoch, confirmed", newList(3, 10, true, uids[:6]...), true, listApplied, 6},
	} {
		previousRev := list.servedRevision
		result, changes := list.merge(step.received, step.confirmed)
		if result != step.want || len(list.targets) != step.instances {
			t.Errorf("%s: result %d, %d instances, want %d, %d", step.name, result, len(list.targets), step.want, step.instances)
		}
		if result == listApplied && list.servedRevision <= previousRev || result != listApplied && (list.servedRevision != previousRev || len(changes.upserted)+len(changes.removed) > 0) {
			t.Errorf("%s: served revision %d after %d, changes %+v", step.name, list.servedRevision, previousRev, changes)
		}
	}
}

func TestCorruptListFileIsRejected(t *testing.T) {
	list := &instanceList{maxLossFraction: 0.5}
	list.merge(newList(5, 9, true, "a", "b"), false)
	data, err := list.encode()
	if err != nil {
		t.Fatal(err)
	}
	var decoded instanceList
	if err := decoded.decode(data); err != nil || fmt.Sprint(decoded.targets) != fmt.Sprint(list.targets) || decoded.servedRevision != list.servedRevision {
		t.Errorf("%+v, want %+v: %v", decoded, list, err)
	}
	for k := range data {
		corrupted := bytes.Clone(data)
		corrupted[k] ^= 1
		if (&instanceList{}).decode(corrupted) == nil {
			t.Errorf("the file was accepted with a flipped bit in byte %d", k)
		}
	}
}
