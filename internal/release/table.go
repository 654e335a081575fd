package release

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Limits of the table.
const (
	maxReleases  = 64     // stored at a time, including finished ones
	maxUnits     = 10_000 // per release
	maxCommands  = 1000   // operators' commands per release
	maxNameBytes = 64     // length of a release's name
)

var errNoOperation = errors.New("no operation")

// Action is what an operator commands a release to do. The values are stored.
type Action string

// The actions.
const (
	ActionHalt     Action = "halt"
	ActionResume   Action = "resume"
	ActionRollback Action = "back"
	ActionFinalize Action = "finalize"
)

// Command is an operator's command to a release.
type Command struct {
	Action   Action `json:"what"`
	Operator string `json:"by"`
	Reason   string `json:"why,omitempty"`
}

// Table is all releases in the replicated state. It is deterministic: the same operations in the same order result in the
// same table on every replica. It does not check fencing tokens; its caller does.
//
// No two releases claim the same unit. A release claims its units from its start until it has rolled back or is finalized.
// Starting another release with one of these units is rejected.
type Table struct {
	releases map[string]*State
	commands map[string][]Command
	claims   map[string]string // unit ID to release name
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{releases: map[string]*State{}, commands: map[string][]Command{}, claims: map[string]string{}}
}

// Operation is one operation on the table. Exactly one of Start, Delta and Command is set. Delta and Command apply to the
// release called Name.
type Operation struct {
	Name    string   `json:"name"`
	Start   *State   `json:"start,omitempty"`
	Delta   *Delta   `json:"step,omitempty"` // requires the fencing token of the lease Owner(Name)
	Command *Command `json:"tell,omitempty"`
}

// RequiresToken reports whether the operation is valid only with the fencing token of the release's lease.
func (op *Operation) RequiresToken() bool { return op.Delta != nil }

// Apply applies one operation, whose log index is revision. An error says why the operation was rejected. A rejected
// operation changes no unfinished release, but a rejected start may have evicted a finished release from a full table.
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

// start adds a release and claims its units. Repeating the start of an unfinished release changes nothing. A new release
// replaces a finished one of the same name that holds no claims.
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

// admit returns an error if a release cannot be added: another one of its name is unfinished or still holds claims, or the
// table is full. In a full table admit first tries to evict the oldest release without claims.
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

// canDropClaims reports whether a release no longer needs its units: it has rolled back, or is finished and finalized.
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

// addCommand records an operator's command for the release's controller. ActionFinalize takes effect immediately, because
// no controller works on a finished release.
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
	if command.Action == ActionFinalize {
		state.Status.Finalized = true
		state.Sequence++ // invalidates deltas that were computed from the earlier state
		t.dropClaimsIfDone(state)
		return nil
	}
	t.commands[name] = append(t.commands[name], command)
	return nil
}

// checkCommand returns an error if the state of the release does not allow an action.
func (s *State) checkCommand(action Action) error {
	switch action {
	case ActionHalt, ActionResume:
	case ActionRollback:
		if s.DrainOnly {
			return errors.New("a drain has no version to go back to: halt it, and start its servers")
		}
		if s.Status.Finalized {
			return fmt.Errorf("release %s is final", s.Name)
		}
	case ActionFinalize:
		if !s.Status.Phase.Finished() {
			return fmt.Errorf("release %s is %s: only a finished release can be finalized", s.Name, s.Status.Phase)
		}
	default:
		return fmt.Errorf("%q is none of halt, resume, back, finalize", action)
	}
	return nil
}

func unknownRelease(name string) error { return fmt.Errorf("there is no release %s", name) }

// claimUnits claims a release's units unless the release no longer needs them.
func (t *Table) claimUnits(state *State) {
	if state.canDropClaims() {
		return
	}
	for i := range state.Units {
		t.claims[state.Units[i].ID] = state.Name
	}
}

// dropClaimsIfDone drops a release's claims if the release no longer needs its units.
func (t *Table) dropClaimsIfDone(state *State) {
	if state.canDropClaims() {
		maps.DeleteFunc(t.claims, func(_, claimant string) bool { return claimant == state.Name })
	}
}

// Get returns a release and its commands, oldest first. It returns nil if there is no such release. The caller must not
// modify the results.
func (t *Table) Get(name string) (*State, []Command) { return t.releases[name], t.commands[name] }

// Names returns the names of all releases, sorted.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.releases)) }

// evictOldest removes the oldest release that holds no claims. It returns false if there is none.
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

// Snapshot is the stored form of the table.
type Snapshot struct {
	Releases []*State             `json:"releases"` // sorted by name
	Commands map[string][]Command `json:"commands,omitempty"`
}

// Snapshot returns the stored form of the whole table. It shares memory with the table, so it is valid only until the next
// operation.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{Releases: []*State{}, Commands: t.commands}
	for _, name := range t.Names() {
		snapshot.Releases = append(snapshot.Releases, t.releases[name])
	}
	return snapshot
}

// Restore returns the table of a snapshot, or an empty table for nil. It derives the claims from the releases.
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
