package release

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of the table.
const (
	maxReleases  = 64     // kept at a time, finished ones included
	maxUnits     = 10_000 // of one release
	maxCommands  = 1000   // of operators, to one release
	maxNameBytes = 64     // of a release's name
)

var errNoOperation = errors.New("no operation")

// Action is what an operator wants of a release. Its values are stored.
type Action string

// The actions.
const (
	CommandHalt     Action = "halt"
	CommandResume   Action = "resume"
	CommandRollback Action = "back"
	CommandFinalize Action = "finalize"
)

// Command is an operator's command to a release.
type Command struct {
	Action   Action `json:"what"`
	Operator string `json:"by"`
	Reason   string `json:"why,omitempty"`
}

// Table is all releases as they stand in the replicated state. It is deterministic: the same operations in the same order
// give the same table on every replica. Whoever applies an operation has checked its fencing token.
//
// Two releases never have the same unit: a release claims its units from its start until it has rolled back, or is
// finalized, and the start of another that needs one of them is rejected.
type Table struct {
	releases map[string]*State
	commands map[string][]Command
	claims   map[string]string // unit ID to release name
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{releases: map[string]*State{}, commands: map[string][]Command{}, claims: map[string]string{}}
}

// Operation is one operation on the table. One of Start, Delta and Command is set; the latter two are about Name.
type Operation struct {
	Name    string   `json:"name"`
	Start   *State   `json:"start,omitempty"`
	Delta   *Delta   `json:"step,omitempty"` // under the token of the lease Owner(Name)
	Command *Command `json:"tell,omitempty"`
}

// RequiresToken reports whether the operation is valid only under the token of the release's lease.
func (op *Operation) RequiresToken() bool { return op.Delta != nil }

// Apply applies one operation. Revision is its place in the log. An error says why the operation was rejected; no release
// under way has changed then, though a start at a full table may have evicted a finished one.
func (t *Table) Apply(revision uint64, op *Operation) error {
	switch {
	case op == nil:
		return errNoOperation
	case op.Start != nil:
		return t.start(revision, op.Start)
	case op.Delta != nil:
		return t.applyDelta(op.Name, *op.Delta)
	case op.Command != nil:
		return t.addCommand(op.Name, *op.Command)
	}
	return errNoOperation
}

// start adds a release and claims its units. The same start again changes nothing. A finished release that holds no claims
// is replaced by a new one of its name.
func (t *Table) start(revision uint64, state *State) error {
	if state.Plan == nil || !validName(state.Name) || state.PlanHash != state.Plan.Hash() {
		return errors.New("a release has a name of 1 to 64 characters, a plan, and that plan's hash")
	}
	existing := t.releases[state.Name]
	if existing != nil && existing.PlanHash == state.PlanHash && !existing.Status.Phase.Finished() {
		return nil
	}
	if err := t.admit(state, existing); err != nil {
		return err
	}
	if len(state.Units) == 0 || len(state.Units) > maxUnits {
		return fmt.Errorf("release %s has %d units, 1 to %d can be", state.Name, len(state.Units), maxUnits)
	}
	for i := range state.Units {
		id := state.Units[i].ID
		if claimant, claimed := t.claims[id]; claimed && claimant != state.Name {
			return fmt.Errorf("release %s: %s is claimed by release %s", state.Name, id, claimant)
		}
	}
	started := *state
	started.Units = slices.Clone(state.Units)
	started.StartRevision = revision
	started.Sequence = 0
	started.Status = Status{Phase: PhaseRollout}
	t.releases[state.Name] = &started
	t.claimUnits(&started)
	delete(t.commands, state.Name)
	return nil
}

// admit reports why there is no place for a release: one of its name is under way, or the table is full. A full table
// evicts its oldest release without claims.
func (t *Table) admit(state, existing *State) error {
	if existing == nil {
		if len(t.releases) >= maxReleases && !t.evictOldest() {
			return fmt.Errorf("%d releases are under way", maxReleases)
		}
		return nil
	}
	if !existing.Status.Phase.Finished() {
		return fmt.Errorf("release %s is under way with another plan (%s, not %s): roll it back or let it finish first",
			state.Name, existing.PlanHash, state.PlanHash)
	}
	if !existing.canDropClaims() {
		return fmt.Errorf("release %s is %s and may still be rolled back: finalize it first",
			state.Name, existing.Status.Phase)
	}
	return nil
}

// canDropClaims reports whether a release no longer needs its units: it has rolled back, or is finished and final.
func (s *State) canDropClaims() bool {
	return s.Status.Phase == PhaseRolledBack || s.Status.Phase.Finished() && s.Status.Finalized
}

// applyDelta applies a controller's change.
func (t *Table) applyDelta(name string, delta Delta) error {
	state := t.releases[name]
	if state == nil {
		return unknownRelease(name)
	}
	if err := state.Apply(delta); err != nil {
		return err
	}
	t.dropClaimsIfDone(state)
	return nil
}

// addCommand records an operator's command for the release's controller. Finalizing takes effect here and at once, as no
// controller works on a finished release.
func (t *Table) addCommand(name string, command Command) error {
	state := t.releases[name]
	if state == nil {
		return unknownRelease(name)
	}
	if err := state.checkCommand(command.Action); err != nil {
		return err
	}
	if len(t.commands[name]) >= maxCommands {
		return fmt.Errorf("release %s has had %d commands", name, maxCommands)
	}
	if command.Action == CommandFinalize {
		state.Status.Finalized = true
		state.Sequence++ // a delta that was computed before no longer applies
		t.dropClaimsIfDone(state)
		return nil
	}
	t.commands[name] = append(t.commands[name], command)
	return nil
}

// checkCommand reports why an action is not possible as the release stands.
func (s *State) checkCommand(action Action) error {
	switch action {
	case CommandHalt, CommandResume:
	case CommandRollback:
		if s.DrainOnly {
			return errors.New("a drain has no version to go back to: halt it, and start its servers")
		}
		if s.Status.Finalized {
			return fmt.Errorf("release %s is final", s.Name)
		}
	case CommandFinalize:
		if !s.Status.Phase.Finished() {
			return fmt.Errorf("release %s is %s: only a finished release can be finalized", s.Name, s.Status.Phase)
		}
	default:
		return fmt.Errorf("%q is none of halt, resume, back, finalize", action)
	}
	return nil
}

func unknownRelease(name string) error { return fmt.Errorf("there is no release %s", name) }

// claimUnits claims a release's units, unless it no longer needs them.
func (t *Table) claimUnits(state *State) {
	if state.canDropClaims() {
		return
	}
	for i := range state.Units {
		t.claims[state.Units[i].ID] = state.Name
	}
}

// dropClaimsIfDone frees the units of a release that no longer needs them.
func (t *Table) dropClaimsIfDone(state *State) {
	if state.canDropClaims() {
		maps.DeleteFunc(t.claims, func(_, claimant string) bool { return claimant == state.Name })
	}
}

// Get is a release, nil where there is none, and the commands to it, oldest first. The caller must not change either.
func (t *Table) Get(name string) (*State, []Command) { return t.releases[name], t.commands[name] }

// Names are the names of all releases, sorted.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.releases)) }

// evictOldest removes the oldest release that holds no claims, and reports whether there was one.
func (t *Table) evictOldest() bool {
	var oldest *State
	for _, name := range t.Names() {
		state := t.releases[name]
		if state.canDropClaims() && (oldest == nil || state.StartRevision < oldest.StartRevision) {
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

// Snapshot is the table as it is stored.
type Snapshot struct {
	Releases []*State             `json:"releases"` // by name
	Commands map[string][]Command `json:"commands,omitempty"`
}

// Snapshot returns the whole table, sorted. It shares memory with the table, so it is valid until the next operation.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{Releases: []*State{}, Commands: t.commands}
	for _, name := range t.Names() {
		snapshot.Releases = append(snapshot.Releases, t.releases[name])
	}
	return snapshot
}

// Restore makes a table of a snapshot, an empty one of nil. The claims follow from the releases.
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
		table.claimUnits(state)
	}
	return table
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }
