package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/release"
)

func newFleet() *cobra.Command {
	command := &cobra.Command{
		Use:   "fleet",
		Short: "The fleet: unavailable units, halts, drains",
		Long: "fleet shows unavailable units and why, halts whatever would take more out of service, and drains servers.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newFleetStatus(), newFleetHalt(), newFleetResume(), newFleetDrain(), newFleetBudgets())
	return command
}

func newFleetStatus() *cobra.Command {
	return newClientCommand("status", "Prints the unavailable units, and the permits, budgets and halts", 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
			view, err := client.LedgerView(ctx, false, false)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), view, func(out io.Writer) error { return writeFleet(out, &view) })
		})
}

// writeFleet prints a view of the ledger as text. The reason why the view is uncertain, if any, and the halts come first.
func writeFleet(out io.Writer, view *disruption.View) error {
	table := newTable(out)
	if view.Uncertainty != "" {
		fmt.Fprintln(table, "doubt:", view.Uncertainty)
	}
	for _, halt := range view.Halts {
		fmt.Fprintf(table, "halted: %s\tby %s\t%s\n", cmp.Or(halt.Scope, "the fleet"), halt.IssuedBy, halt.Reason)
	}
	for _, condition := range slices.Sorted(maps.Keys(view.Counts)) {
		fmt.Fprintf(table, "%d %s\n", view.Counts[condition], condition)
	}
	for _, status := range view.Constraints {
		if status.Unavailable == 0 && status.WarmingUp == 0 {
			continue
		}
		fmt.Fprintf(table, "%s\t%d of %d unavailable, at most %d\t%.4g of %.4g warming up\n", status.Name, status.Unavailable, status.Total,
			status.MaxUnavailable, status.WarmingUp, status.Capacity)
	}
	for _, permit := range view.Permits {
		fmt.Fprintf(table, "permit %s\t%s\t%d units\t%s\t%s\n", permit.ID, permit.Stage, len(permit.Units), permit.Purpose, permit.WaitReason)
	}
	for _, unit := range view.Units {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", unit.ID, unit.Condition, unit.Zone, unit.Version)
	}
	return table.Flush()
}

func newFleetHalt() *cobra.Command {
	return newHaltCommand(disruption.OpHalt, "Halts whatever would take more units out of service; rollbacks continue")
}

func newFleetResume() *cobra.Command { return newHaltCommand(disruption.OpResume, "Ends a halt") }

// newHaltCommand returns a command that sets or ends a halt. The command has the name of the operation kind.
func newHaltCommand(kind disruption.OpKind, short string) *cobra.Command {
	var operator, reason, scope string
	command := newClientCommand(string(kind), short, 0, func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
		op := disruption.Op{Kind: kind, Owner: disruption.OperatorOwner(operator), Halt: &disruption.Halt{Scope: scope, Reason: reason}}
		result, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, op)
		if err != nil {
			return err
		}
		return flags.print(command.OutOrStdout(), result, func(out io.Writer) error {
			_, err := fmt.Fprintf(out, "%s at revision %d\n", kind, result.Revision)
			return err
		})
	})
	command.Flags().StringVar(&scope, "scope", "", "budget/NAME or release/NAME (default: the whole fleet)")
	operatorFlag(command, &operator)
	command.Flags().StringVar(&reason, "why", "", "reason, stored in the log")
	return command
}

// operatorFlag adds the flag for the name of the operator.
func operatorFlag(command *cobra.Command, operator *string) {
	command.Flags().StringVar(operator, "by", "unnamed", "name of the operator, stored in the log")
}

func newFleetDrain() *cobra.Command {
	f := &controllerFlags{}
	var selector disruption.Selector
	var deadline time.Duration
	command := &cobra.Command{
		Use:   "drain NAME",
		Short: "Drains and stops servers permanently, one after the other within the budgets",
		Long: "drain makes available on other servers what only the selected servers serve, and marks the selected\n" +
			"servers Terminating in the endpoint list. Once every live sidecar has that list and no request can be in\n" +
			"flight, the platform stops them. NAME identifies the drain and its lease, release/NAME; a second process\n" +
			"with the same NAME waits as a candidate. release halt and release resume act on the drain.\n\n" + exitHelp,
		Example: "  milldeck fleet drain rack-7 --ids server/a1,server/a2\n  milldeck fleet drain zone-b --zone b --deadline 6h",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if selector.Zone+selector.Model == "" && len(selector.IDs) == 0 {
				return usageError{errors.New("drain needs --ids, --zone or --model")}
			}
			if deadline <= 0 {
				return usageError{fmt.Errorf("--deadline: %v is not above 0", deadline)}
			}
			plan := release.DrainPlan(args[0], selector, deadline.Seconds())
			return f.runRelease(command.Context(), command.OutOrStdout(), plan, func(inputs *releaseInputs) (*release.State, error) {
				return release.NewDrain(plan, time.Now().UnixMilli(), inputs.ledger.Units, inputs.platform)
			})
		},
	}
	command.Flags().StringSliceVar(&selector.IDs, "ids", nil, "units, as server/UID")
	command.Flags().StringVar(&selector.Zone, "zone", "", "all servers of a zone")
	command.Flags().StringVar(&selector.Model, "model", "", "all servers of a model")
	command.Flags().DurationVar(&deadline, "deadline", time.Hour, "time after which the drain halts")
	f.register(command)
	return command
}
