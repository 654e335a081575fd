package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
	"milldeck/internal/release"
)

func newReleaseStatus() *cobra.Command {
	command := newClientCommand("status [NAME]", "Prints all releases, or one release with its units", 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			if len(args) == 0 {
				return showReleases(ctx, command, flags, client)
			}
			stored, err := client.Release(ctx, args[0], false, false)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), stored, func(w io.Writer) error { return printRelease(w, stored.State) })
		})
	command.Args = func(command *cobra.Command, args []string) error {
		if len(args) > 1 {
			return usageError{fmt.Errorf("%s takes one name at most", command.CommandPath())}
		}
		return nil
	}
	return command
}

func showReleases(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client) error {
	all, err := client.Releases(ctx)
	if err != nil {
		return err
	}
	return flags.print(command.OutOrStdout(), all, func(out io.Writer) error {
		w := newTable(out)
		for _, stored := range all {
			fmt.Fprintln(w, releaseLine(stored.State))
		}
		return w.Flush()
	})
}

// releaseLine describes a release in one line of tab-separated columns.
func releaseLine(state *release.State) string {
	status := &state.Status
	line := fmt.Sprintf("%s\t%s\twave %d\tplan %s", state.Name, status.Phase, status.Wave, state.PlanHash)
	if status.Finalized {
		line += "\tfinal"
	}
	if status.HaltReason != "" {
		line += fmt.Sprintf("\tby %s: %s", status.HaltedBy, status.HaltReason)
	}
	return line
}

// printRelease prints a release with each unit in progress and the number of other units.
func printRelease(out io.Writer, state *release.State) error {
	w := newTable(out)
	fmt.Fprintln(w, releaseLine(state))
	updated, rolledBack, pending := 0, 0, 0
	for i := range state.Units {
		switch unit := &state.Units[i]; {
		case unit.Stage == release.StageConverged && unit.Rollback:
			rolledBack++
		case unit.Stage == release.StageConverged:
			updated++
		case unit.Stage == release.StagePending:
			pending++
		default:
			printUnit(w, unit)
		}
	}
	fmt.Fprintf(w, "%d units: %d updated, %d rolled back, %d pending\n", len(state.Units), updated, rolledBack, pending)
	for _, line := range state.Status.Stranded {
		fmt.Fprintln(w, "stranded:", line)
	}
	return w.Flush()
}

func printUnit(w io.Writer, unit *release.Unit) {
	image := unit.Target
	if unit.Rollback {
		image = unit.Previous
	}
	fmt.Fprintf(w, "%s\t%s\tto %s %s\tattempt %d\t%s\n",
		unit.ID, unit.Stage, image.Version, image.ConfigName, unit.PermitAttempt, unit.Reason)
}

// newReleaseCommand returns a subcommand that records an operator's command to a release. The command takes effect when the
// release's controller reads it.
func newReleaseCommand(action release.Action, short string) *cobra.Command {
	var operator, reason string
	command := newClientCommand(string(action)+" NAME", short, 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			releaseCommand := &release.Command{Action: action, Operator: "operator/" + operator, Reason: reason}
			result, err := client.WriteRelease(ctx, registry.WriteOptions{}, args[0], release.Operation{Command: releaseCommand})
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), result, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "%s: %s recorded at revision %d\n", args[0], action, result.Revision)
				return err
			})
		})
	operatorFlag(command, &operator)
	command.Flags().StringVar(&reason, "why", "", "reason, stored in the log")
	return command
}
