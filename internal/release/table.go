package release

import (
	"fmt"
	"maps"
	"slices"
)

// Bounds of what is kept.
const (
	maxReleases = 64     // that are not over, or are kept for their end to be read
	maxUnits    = 10_000 // of one release
	maxCommands = 1000   // of operators, in one release
)

// Command is what an operator tells a release.
type Command struct {
	What string `json:"what"` // halt, resume, back, finalize
	By   string `json:"by"`
	Why  string `json:"why,omitempty"`
}

// The commands.
const (
	CmdHalt     = "halt"
	CmdResume   = "resume"
	CmdBack     = "back"
	CmdFinalize = "finalize"
)

// Table is the releases as they stand in the replicated state: pure, the same on every replica. That a step is its
// owner's, by duty and token, has been checked before it is applied. Two releases that touch the same units exclude each
// other twice: the second one's start is refused when it is applied, as long as the first is not over, and the ledger
// grants no unit to two permits.
type Table struct {
	releases map[string]*State
	commands map[string][]Command
	claims   map[string]string // unit to release
}

// NewTable is the empty table.
func NewTable() *Table {
	return &Table{releases: map[string]*State{}, commands: map[string][]Command{}, claims: map[string]string{}}
}

// Start takes a release in and claims its units. The same start again changes nothing; a release that is over makes room
// for another of its name.
func (t *Table) Start(s *State) error {
	if old := t.releases[s.Name]; old != nil {
		switch {
		case old.Run == s.Run && old.Hash == s.Hash:
			return nil
		case old.Hash != s.Hash && !old.Head.Phase.Over():
			return fmt.Errorf("release %s is under way with another plan (%s, not %s): send it back or let it end first", s.Name, old.Hash, s.Hash)
		case !old.Head.Phase.Over():
			return fmt.Errorf("release %s is under way", s.Name)
		case !old.free():
			return fmt.Errorf("release %s is %s and may go back still: finalize it first", s.Name, old.Head.Phase)
		}
	} else if len(t.releases) >= maxReleases && !t.forget() {
		return fmt.Errorf("%d releases are under way", maxReleases)
	}
	if len(s.Units) > maxUnits {
		return fmt.Errorf("release %s has %d units, at most %d can be", s.Name, len(s.Units), maxUnits)
	}
	for i := range s.Units {
		if by, taken := t.claims[s.Units[i].ID]; taken && by != s.Name {
			return fmt.Errorf("release %s: %s is claimed by release %s", s.Name, s.Units[i].ID, by)
		}
	}
	for i := range s.Units {
		t.claims[s.Units[i].ID] = s.Name
	}
	c := *s
	c.Units = slices.Clone(s.Units)
	t.releases[s.Name], t.commands[s.Name] = &c, nil
	return nil
}

// free tells whether a release needs its units no more: it is back, or over and final.
func (s *State) free() bool { return s.Head.Phase == Backed || s.Head.Phase.Over() && s.Head.Final }

// Step takes a step in. A release that may still go back keeps its claims.
func (t *Table) Step(name string, d Delta) error {
	s := t.releases[name]
	if s == nil {
		return fmt.Errorf("there is no release %s", name)
	}
	if err := s.Apply(d); err != nil {
		return err
	}
	if s.free() {
		maps.DeleteFunc(t.claims, func(_, by string) bool { return by == name })
	}
	return nil
}

// Tell takes an operator's command in. It counts once the release's controller has taken it up.
func (t *Table) Tell(name string, c Command) error {
	s := t.releases[name]
	switch {
	case s == nil:
		return fmt.Errorf("there is no release %s", name)
	case c.What != CmdHalt && c.What != CmdResume && c.What != CmdBack && c.What != CmdFinalize:
		return fmt.Errorf("%q is none of halt, resume, back, finalize", c.What)
	case len(t.commands[name]) >= maxCommands:
		return fmt.Errorf("release %s has been told %d things", name, maxCommands)
	case c.What == CmdFinalize && !s.Head.Phase.Over():
		return fmt.Errorf("release %s is %s: only what is over can be finalized", name, s.Head.Phase)
	case c.What == CmdBack && s.Drain:
		return fmt.Errorf("a drain has no version to go back to: halt it, and start its servers")
	case c.What == CmdBack && s.Head.Final:
		return fmt.Errorf("release %s is final", name)
	}
	t.commands[name] = append(t.commands[name], c)
	return nil
}

// Get is a release as it stands, which the caller does not change, and what it was told.
func (t *Table) Get(name string) (*State, []Command) { return t.releases[name], t.commands[name] }

// Names are those of all releases, sorted.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.releases)) }

// forget drops the oldest release that claims nothing.
func (t *Table) forget() bool {
	var oldest *State
	for _, name := range t.Names() {
		s := t.releases[name]
		if s.free() && (oldest == nil || s.Run < oldest.Run) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.releases, oldest.Name)
	delete(t.commands, oldest.Name)
	return true
}
