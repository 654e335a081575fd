// Package release updates the units of a fleet to another version or configuration in waves, or drains and stops them
// permanently. It takes units out of service only within the budgets of the disruption ledger.
//
// The package makes the decisions of a release and defines its replicated state. A State is one release as stored in the
// replicated log. A Table is all releases, and each registry replica has a copy. State.Reconcile is a pure function: it
// takes a View, which is a timestamped observation of the fleet, and returns effects. The last effect writes the next
// state.
//
// The files:
//   - state.go, table.go: the stored state
//   - reconciler.go: State.Reconcile
//   - command.go: operators' commands and the guards that halt a release
//   - rollout.go, rollback.go: the order in which units are updated or rolled back
//   - unit.go, permit.go, process.go, warmup.go: the stages of one unit
//   - drain_tracker.go, analysis.go, interval.go: evidence from the observations
//
// Reconcile derives every effect from state that is already in the log, and moves a unit to its next stage only on
// evidence. An effect may therefore be executed twice or not at all: the IDs of platform requests are derived from the
// written state, and ledger operations are idempotent. A controller that takes over under the next fencing token
// continues where its predecessor stopped.
//
// The package does no I/O and reads no clock. Package controller observes the fleet and executes the effects, package
// plan reads plan files, and package judge compares the new version with the old one.
package release
