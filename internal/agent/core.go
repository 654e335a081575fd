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

// verdict is what becomes of a list that a replica told.
type verdict uint8

const (
	applied verdict = iota
	ignored         // it is older than what is known
	strange         // changes that do not continue what is known: the whole list has to be asked for
	held            // it would take most servers away, or begins another history: a second replica is to confirm it
)

// fewestHeld servers at least have to go for a list to be held: of two servers one is half.
const fewestHeld = 3

// core is what the agent knows. It is pure: lists in, changes out. The revision that it serves never goes back,
// whatever becomes of the registry's.
type core struct {
	share float64 // of the ready servers that may go at once

	rev, epoch uint64 // the registry's
	served     uint64 // what sidecars are told
	targets    map[string]registry.Target
}

// update is what sidecars are to be told.
type update struct {
	set  []registry.Instance
	gone []registry.Ref
}

// take takes a list in. Confirmed tells that a second source agrees, so that it is not held.
func (c *core) take(l *registry.List, confirmed bool) (verdict, update) {
	known := c.rev != 0
	switch {
	case known && l.Epoch == c.epoch && (l.Rev < c.rev || l.Rev == c.rev && !l.All):
		return ignored, update{}
	case !l.All && (!known || l.Epoch != c.epoch):
		return strange, update{}
	}
	next := map[string]registry.Target{}
	if !l.All {
		for uid, t := range c.targets {
			next[uid] = t
		}
	}
	for _, t := range l.Targets {
		if t.State == registry.Gone {
			delete(next, t.UID)
		} else {
			next[t.UID] = t
		}
	}
	if known && !confirmed && (l.Epoch != c.epoch || c.shrinks(next)) {
		return held, update{}
	}
	var u update
	for uid := range c.targets {
		if _, still := next[uid]; !still {
			u.gone = append(u.gone, registry.Ref{UID: uid})
		}
	}
	for uid, t := range next {
		if old, had := c.targets[uid]; !had || old != t {
			u.set = append(u.set, registry.Instance{Target: t})
		}
	}
	slices.SortFunc(u.gone, func(a, b registry.Ref) int { return strings.Compare(a.UID, b.UID) })
	slices.SortFunc(u.set, func(a, b registry.Instance) int { return strings.Compare(a.UID, b.UID) })
	c.rev, c.epoch, c.targets = l.Rev, l.Epoch, next
	c.served = max(c.served+1, l.Rev)
	return applied, u
}

// shrinks tells whether a list would leave too few of the servers that are ready.
func (c *core) shrinks(next map[string]registry.Target) bool {
	ready, lost := 0, 0
	for uid, t := range c.targets {
		if t.State == registry.Ready {
			ready++
			if next[uid].State != registry.Ready {
				lost++
			}
		}
	}
	return lost >= fewestHeld && float64(lost) > c.share*float64(ready)
}

// A saved list is a line that names its form, the checksum of the rest, and JSON.
const (
	savedMagic = "milldeck-agent-list 1\n"
	maxSaved   = 64 << 20
)

type saved struct {
	Rev     uint64            `json:"rev"`
	Epoch   uint64            `json:"epoch"`
	Served  uint64            `json:"served"`
	Targets []registry.Target `json:"targets"`
}

// encode gives the bytes of a saved list.
func (c *core) encode() ([]byte, error) {
	s := saved{Rev: c.rev, Epoch: c.epoch, Served: c.served, Targets: []registry.Target{}}
	for _, t := range c.targets {
		s.Targets = append(s.Targets, t)
	}
	slices.SortFunc(s.Targets, func(a, b registry.Target) int { return cmp.Compare(a.UID, b.UID) })
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return seal(savedMagic, body), nil
}

// seal gives the bytes of a file that names its form and has a checksum.
func seal(magic string, body []byte) []byte {
	out := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return append(out, body...)
}

// unseal gives the body of what seal made, or says what is wrong with it.
func unseal(magic string, data []byte) ([]byte, error) {
	rest, is := bytes.CutPrefix(data, []byte(magic))
	if !is {
		return nil, fmt.Errorf("it does not begin with %q", strings.TrimSpace(magic))
	}
	if len(rest) < 8 || binary.BigEndian.Uint64(rest[:8]) != xxhash.Sum64(rest[8:]) {
		return nil, errTorn
	}
	return rest[8:], nil
}

var errTorn = errors.New("checksum does not match")

// decode reads a saved list, or says what is wrong with it; nothing of a torn one is used.
func (c *core) decode(data []byte) error {
	body, err := unseal(savedMagic, data)
	if err != nil {
		return err
	}
	var s saved
	if err := json.Unmarshal(body, &s); err != nil {
		return err
	}
	c.rev, c.epoch, c.served, c.targets = s.Rev, s.Epoch, s.Served, map[string]registry.Target{}
	for _, t := range s.Targets {
		c.targets[t.UID] = t
	}
	return nil
}

// load reads the saved list of a file; a missing one is no error.
func (c *core) load(path string) error {
	data, err := read(path)
	if data == nil || err != nil {
		return err
	}
	return c.decode(data)
}

// read reads what was saved, nil where nothing was.
func read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSaved {
		return nil, fmt.Errorf("%d bytes, at most %d are read", info.Size(), maxSaved)
	}
	return os.ReadFile(path)
}

// save writes a file so that a crash leaves the old or the new one whole.
func save(path string, data []byte) error { return renameio.WriteFile(path, data, 0o600) }
