package release

import (
	"errors"
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

// Op is one operation on the table: Start, or a Step or Tell of Name.
type Op struct {
	Name  string   `json:"name"`
	Start *State   `json:"start,omitempty"`
	Step  *Delta   `json:"step,omitempty"` // under the token of the duty Owner(Name)
	Tell  *Command `json:"tell,omitempty"`
}

// Guarded tells whether an operation counts only under the owner's duty and token.
func (op *Op) Guarded() bool { return op.Step != nil }

// Apply takes one operation in; rev is its place in the log. An error says why it changed nothing.
func (t *Table) Apply(rev uint64, op *Op) error {
	switch {
	case op == nil:
		return errors.New("no operation")
	case op.Start != nil:
		return t.start(rev, op.Start)
	case op.Step != nil:
		return t.step(op.Name, *op.Step)
	case op.Tell != nil:
		return t.tell(op.Name, *op.Tell)
	}
	return errors.New("no operation")
}

// start takes a release in and claims its units; its run is the revision. The same start again changes nothing; a release
// that is over and needs its units no more makes room for another of its name.
func (t *Table) start(rev uint64, s *State) error {
	if s.Plan == nil || !validName(s.Name) || s.Hash != s.Plan.Hash() {
		return errors.New("a release has a name of 1 to 64 characters, a plan, and that plan's hash")
	}
	if old := t.releases[s.Name]; old != nil {
		switch {
		case old.Hash == s.Hash && !old.Head.Phase.Over():
			return nil
		case !old.Head.Phase.Over():
			return fmt.Errorf("release %s is under way with another plan (%s, not %s): send it back or let it end first", s.Name, old.Hash, s.Hash)
		case !old.free():
			return fmt.Errorf("release %s is %s and may go back still: finalize it first", s.Name, old.Head.Phase)
		}
	} else if len(t.releases) >= maxReleases && !t.forget() {
		return fmt.Errorf("%d releases are under way", maxReleases)
	}
	if len(s.Units) == 0 || len(s.Units) > maxUnits {
		return fmt.Errorf("release %s has %d units, 1 to %d can be", s.Name, len(s.Units), maxUnits)
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
	c.Units, c.Run, c.Seq, c.Head = slices.Clone(s.Units), rev, 0, Head{Phase: Forward}
	t.releases[s.Name] = &c
	delete(t.commands, s.Name)
	return nil
}

// free tells whether a release needs its units no more: it is back, or over and final.
func (s *State) free() bool { return s.Head.Phase == Backed || s.Head.Phase.Over() && s.Head.Final }

// step takes a step in. A release that may still go back keeps its claims.
func (t *Table) step(name string, d Delta) error {
	s := t.releases[name]
	if s == nil {
		return fmt.Errorf("there is no release %s", name)
	}
	if err := s.Apply(d); err != nil {
		return err
	}
	t.unclaim(s)
	return nil
}

// tell takes an operator's command in. It counts once the release's controller has taken it up; what is made final is so
// at once, as nobody works on it any more.
func (t *Table) tell(name string, c Command) error {
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
	if c.What == CmdFinalize {
		s.Head.Final = true
		s.Seq++ // a step that was decided before counts no more
		t.unclaim(s)
		return nil
	}
	t.commands[name] = append(t.commands[name], c)
	return nil
}

// unclaim gives the units of a release that needs them no more to others.
func (t *Table) unclaim(s *State) {
	if s.free() {
		maps.DeleteFunc(t.claims, func(_, by string) bool { return by == s.Name })
	}
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

// Saved is the table as it is kept in a snapshot.
type Saved struct {
	Releases []*State             `json:"releases"` // by name
	Commands map[string][]Command `json:"commands,omitempty"`
}

// Save gives the whole table, in a fixed order. What it holds is shared with the table until that is next changed.
func (t *Table) Save() *Saved {
	s := &Saved{Releases: []*State{}, Commands: t.commands}
	for _, name := range t.Names() {
		s.Releases = append(s.Releases, t.releases[name])
	}
	return s
}

// Load makes a table of what was saved; nil is the empty one. Claims follow from the releases.
func Load(s *Saved) *Table {
	t := NewTable()
	if s == nil {
		return t
	}
	for _, r := range s.Releases {
		t.releases[r.Name] = r
		if cmds := s.Commands[r.Name]; len(cmds) > 0 {
			t.commands[r.Name] = cmds
		}
		for i := range r.Units {
			if !r.free() {
				t.claims[r.Units[i].ID] = r.Name
			}
		}
	}
	return t
}

func validName(s string) bool { return s != "" && len(s) <= 64 }
