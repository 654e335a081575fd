package main

import (
	"github.com/spf13/cobra"

	"milldeck/internal/release"
)

func newRelease() *cobra.Command {
	command := &cobra.Command{
		Use:   "release",
		Short: "Releases: update units to another version, wave by wave, within the fleet's budgets",
		Long:  "release updates servers or sidecars to another version. docs/release.md describes the guarantees.\n\n" + exitHelp,
		Args:  exactArgs(0),
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newReleaseCheck(), newReleaseStart(), newReleaseStatus(),
		newReleaseCommand(release.ActionHalt, "Halts a release: no further unit is taken out of service"),
		newReleaseCommand(release.ActionResume, "Resumes a halted release"),
		newReleaseCommand(release.ActionRollback, "Rolls a release back: its units return to their previous versions"),
		newReleaseCommand(release.ActionFinalize,
			"Finalizes a finished release: it can no longer be rolled back, and its units are free for other releases"))
	return command
}
