// Package release rolls a fleet's units over to another version or configuration, wave by wave, or drains them for good,
// within the budgets of the disruption ledger.
//
// It owns the decisions and the replicated state of releases. State is one release as it stands in the log, Table is all
// of them as each registry replica holds them. State.Reconcile is the pure core: it takes an observation of the fleet (a
// View, with its time) and returns effects, the last of which is the next state to write. Files: state.go and table.go
// hold what is stored, reconciler.go the core's entry, command.go operators and guards, rollout.go and rollback.go the
// waves, unit.go with permit.go, process.go and warmup.go one unit's stages; drain_tracker.go, analysis.go and interval.go turn
// observations into evidence.
//
// Every effect follows from state that is already written, and a stage is left only on evidence. Effects may therefore be
// executed twice or not at all: platform requests carry IDs derived from the written state, and ledger operations are
// idempotent. A successor under the next fencing token continues where its predecessor stopped.
//
// The package does no I/O and reads no clock. Package controller observes the fleet and executes the effects, package
// plan reads plan files, and package judge compares the new version with the old one.
package release
