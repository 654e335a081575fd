package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/release"
)

func newFleet() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "The fleet as a whole: what is unavailable, halts, drains",
		Long:  "fleet shows what is unavailable and why, halts all that would take more out of service, and drains servers.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newFleetStatus(), newFleetHalt(), newFleetResume(), newFleetDrain(), newFleetBudgets())
	return c
}

func newFleetStatus() *cobra.Command {
	return asks("status", "Prints what is unavailable, under which permits, budgets and halts", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			view, err := client.LedgerView(ctx, false, false)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), view, func(w io.Writer) error { return writeFleet(w, &view) })
		})
}

// writeFleet prints a ledger for people: uncertainty and halts first.
func writeFleet(out io.Writer, view *disruption.View) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if view.Uncertainty != "" {
		fmt.Fprintln(w, "doubt:", view.Uncertainty)
	}
	for _, halt := range view.Halts {
		fmt.Fprintf(w, "halted: %s\tby %s\t%s\n", cmp.Or(halt.Scope, "the fleet"), halt.IssuedBy, halt.Reason)
	}
	for _, condition := range slices.Sorted(maps.Keys(view.Counts)) {
		fmt.Fprintf(w, "%d %s\n", view.Counts[condition], condition)
	}
	for _, status := range view.Constraints {
		if status.Unavailable == 0 && status.WarmingUp == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%d of %d out, %d may be\t%.4g of %.4g cold\n", status.Name, status.Unavailable, status.Total,
			status.MaxUnavailable, status.WarmingUp, status.Capacity)
	}
	for _, permit := range view.Permits {
		fmt.Fprintf(w, "permit %s\t%s\t%d units\t%s\t%s\n", permit.ID, permit.Stage, len(permit.Units), permit.Purpose, permit.WaitReason)
	}
	for _, unit := range view.Units {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", unit.ID, unit.Condition, unit.Zone, unit.Version)
	}
	return w.Flush()
}

func newFleetHalt() *cobra.Command {
	return newHaltCommand(disruption.OpHalt, "Halts all that would take more out of service; rollbacks go on")
}

func newFleetResume() *cobra.Command { return newHaltCommand(disruption.OpResume, "Ends a halt") }

// newHaltCommand is a command that applies an operation about a halt; it is named like the operation.
func newHaltCommand(kind disruption.OpKind, short string) *cobra.Command {
	var operator, reason, scope string
	c := asks(string(kind), short, 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
		op := disruption.Op{Kind: kind, Owner: disruption.OperatorOwner(operator), Halt: &disruption.Halt{Scope: scope, Reason: reason}}
		result, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, op)
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), result, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s at revision %d\n", kind, result.Revision)
			return err
		})
	})
	c.Flags().StringVar(&scope, "scope", "", "budget/NAME or release/NAME; none: the fleet")
	operatorFlag(c, &operator)
	c.Flags().StringVar(&reason, "why", "", "reason, stored in the log")
	return c
}

// operatorFlag adds the flag with the name of the operator.
func operatorFlag(c *cobra.Command, operator *string) {
	c.Flags().StringVar(operator, "by", "unnamed", "name of the operator, stored in the log")
}

func newFleetDrain() *cobra.Command {
	f := &controllerFlags{}
	var selector disruption.Selector
	var deadline time.Duration
	c := &cobra.Command{
		Use:   "drain NAME",
		Short: "Drains and stops servers for good, one after the other within the budgets",
		Long: "drain drains servers and stops them: what only they serve is made ready elsewhere, the endpoint list says\n" +
			"Terminating, and once every live sidecar has that list and no request can be in flight, the platform stops them.\n" +
			"NAME is the drain's, and of its lease, release/NAME: of two that run the second is a candidate. release halt and\n" +
			"resume act on it.\n\n" + exitHelp,
		Example: "  milldeck fleet drain rack-7 --ids server/a1,server/a2\n  milldeck fleet drain zone-b --zone b --deadline 6h",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			if selector.Zone+selector.Model == "" && len(selector.IDs) == 0 {
				return usageError{errors.New("drain needs --ids, --zone or --model")}
			}
			if deadline <= 0 {
				return usageError{fmt.Errorf("--deadline: %v is not above 0", deadline)}
			}
			plan := release.DrainPlan(args[0], selector, deadline.Seconds())
			return f.runRelease(c.Context(), c.OutOrStdout(), plan, func(view *releaseInputs) (*release.State, error) {
				return release.NewDrain(plan, time.Now().UnixMilli(), view.ledger.Units, view.platform)
			})
		},
	}
	c.Flags().StringSliceVar(&selector.IDs, "ids", nil, "units, as server/UID")
	c.Flags().StringVar(&selector.Zone, "zone", "", "all of a zone")
	c.Flags().StringVar(&selector.Model, "model", "", "all of a model")
	c.Flags().DurationVar(&deadline, "deadline", time.Hour, "past it the drain halts")
	f.register(c)
	return c
}
