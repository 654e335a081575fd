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
	Action   string `json:"what"` // halt, resume, back, finalize
	Operator string `json:"by"`
	Reason   string `json:"why,omitempty"`
}

// The commands.
const (
	CommandHalt     = "halt"
	CommandResume   = "resume"
	CommandRollback = "back"
	CommandFinalize = "finalize"
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

// Operation is one operation on the table: Start, or a Step or Tell of Name.
type Operation struct {
	Name    string   `json:"name"`
	Start   *State   `json:"start,omitempty"`
	Delta   *Delta   `json:"step,omitempty"` // under the token of the duty Owner(Name)
	Command *Command `json:"tell,omitempty"`
}

// RequiresToken tells whether an operation counts only under the owner's duty and token.
func (op *Operation) RequiresToken() bool { return op.Delta != nil }

// Apply takes one operation in; rev is its place in the log. An error says why it changed nothing.
func (t *Table) Apply(revision uint64, op *Operation) error {
	switch {
	case op == nil:
		return errors.New("no operation")
	case op.Start != nil:
		return t.start(revision, op.Start)
	case op.Delta != nil:
		return t.applyDelta(op.Name, *op.Delta)
	case op.Command != nil:
		return t.addCommand(op.Name, *op.Command)
	}
	return errors.New("no operation")
}

// start takes a release in and claims its units; its run is the revision. The same start again changes nothing; a release
// that is over and needs its units no more makes room for another of its name.
func (t *Table) start(revision uint64, state *State) error {
	if state.Plan == nil || !validName(state.Name) || state.PlanHash != state.Plan.Hash() {
		return errors.New("a release has a name of 1 to 64 characters, a plan, and that plan's hash")
	}
	if existing := t.releases[state.Name]; existing != nil {
		switch {
		case existing.PlanHash == state.PlanHash && !existing.Status.Phase.Finished():
			return nil
		case !existing.Status.Phase.Finished():
			return fmt.Errorf("release %s is under way with another plan (%s, not %s): send it back or let it end first", state.Name, existing.PlanHash, state.PlanHash)
		case !existing.holdsNoClaims():
			return fmt.Errorf("release %s is %s and may go back still: finalize it first", state.Name, existing.Status.Phase)
		}
	} else if len(t.releases) >= maxReleases && !t.evictOldest() {
		return fmt.Errorf("%d releases are under way", maxReleases)
	}
	if len(state.Units) == 0 || len(state.Units) > maxUnits {
		return fmt.Errorf("release %s has %d units, 1 to %d can be", state.Name, len(state.Units), maxUnits)
	}
	for i := range state.Units {
		if claimant, claimed := t.claims[state.Units[i].ID]; claimed && claimant != state.Name {
			return fmt.Errorf("release %s: %s is claimed by release %s", state.Name, state.Units[i].ID, claimant)
		}
	}
	for i := range state.Units {
		t.claims[state.Units[i].ID] = state.Name
	}
	started := *state
	started.Units, started.StartRevision, started.Sequence, started.Status = slices.Clone(state.Units), revision, 0, Status{Phase: PhaseRollout}
	t.releases[state.Name] = &started
	delete(t.commands, state.Name)
	return nil
}

// holdsNoClaims tells whether a release needs its units no more: it is back, or over and final.
func (s *State) holdsNoClaims() bool {
	return s.Status.Phase == PhaseRolledBack || s.Status.Phase.Finished() && s.Status.Finalized
}

// applyDelta takes a step in. A release that may still go back keeps its claims.
func (t *Table) applyDelta(name string, delta Delta) error {
	state := t.releases[name]
	if state == nil {
		return fmt.Errorf("there is no release %s", name)
	}
	if err := state.Apply(delta); err != nil {
		return err
	}
	t.dropClaims(state)
	return nil
}

// addCommand takes an operator's command in. It counts once the release's controller has taken it up; what is made final is so
// at once, as nobody works on it any more.
func (t *Table) addCommand(name string, command Command) error {
	state := t.releases[name]
	switch {
	case state == nil:
		return fmt.Errorf("there is no release %s", name)
	case command.Action != CommandHalt && command.Action != CommandResume && command.Action != CommandRollback && command.Action != CommandFinalize:
		return fmt.Errorf("%q is none of halt, resume, back, finalize", command.Action)
	case len(t.commands[name]) >= maxCommands:
		return fmt.Errorf("release %s has been told %d things", name, maxCommands)
	case command.Action == CommandFinalize && !state.Status.Phase.Finished():
		return fmt.Errorf("release %s is %s: only what is over can be finalized", name, state.Status.Phase)
	case command.Action == CommandRollback && state.DrainOnly:
		return fmt.Errorf("a drain has no version to go back to: halt it, and start its servers")
	case command.Action == CommandRollback && state.Status.Finalized:
		return fmt.Errorf("release %s is final", name)
	}
	if command.Action == CommandFinalize {
		state.Status.Finalized = true
		state.Sequence++ // a step that was decided before counts no more
		t.dropClaims(state)
		return nil
	}
	t.commands[name] = append(t.commands[name], command)
	return nil
}

// dropClaims gives the units of a release that needs them no more to others.
func (t *Table) dropClaims(state *State) {
	if state.holdsNoClaims() {
		maps.DeleteFunc(t.claims, func(_, claimant string) bool { return claimant == state.Name })
	}
}

// Get is a release as it stands, which the caller does not change, and what it was told.
func (t *Table) Get(name string) (*State, []Command) { return t.releases[name], t.commands[name] }

// Names are those of all releases, sorted.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.releases)) }

// evictOldest drops the oldest release that claims nothing.
func (t *Table) evictOldest() bool {
	var oldest *State
	for _, name := range t.Names() {
		state := t.releases[name]
		if state.holdsNoClaims() && (oldest == nil || state.StartRevision < oldest.StartRevision) {
			oldest = state
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.releases, oldest.Name)
	delete(t.commands, oldest.Name)
	return true
}

// Snapshot is the table as it is kept in a snapshot.
type Snapshot struct {
	Releases []*State             `json:"releases"` // by name
	Commands map[string][]Command `json:"commands,omitempty"`
}

// Snapshot gives the whole table, in a fixed order. What it holds is shared with the table until that is next changed.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{Releases: []*State{}, Commands: t.commands}
	for _, name := range t.Names() {
		snapshot.Releases = append(snapshot.Releases, t.releases[name])
	}
	return snapshot
}

// Restore makes a table of what was saved; nil is the empty one. Claims follow from the releases.
func Restore(snapshot *Snapshot) *Table {
	table := NewTable()
	if snapshot == nil {
		return table
	}
	for _, state := range snapshot.Releases {
		table.releases[state.Name] = state
		if commands := snapshot.Commands[state.Name]; len(commands) > 0 {
			table.commands[state.Name] = commands
		}
		for i := range state.Units {
			if !state.holdsNoClaims() {
				table.claims[state.Units[i].ID] = state.Name
			}
		}
	}
	return table
}

func validName(s string) bool { return s != "" && len(s) <= 64 }
