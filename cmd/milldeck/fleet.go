package main

import (
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
		Short: "The fleet as a whole: what is out, halts, drains",
		Long:  "fleet shows what is out of the fleet and why, halts all that would take more out, and drains servers.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newFleetStatus(), newFleetHalt(disruption.OpHalt), newFleetHalt(disruption.OpResume), newFleetDrain(), newFleetBudgets())
	return c
}

func newFleetStatus() *cobra.Command {
	return asks("status", "Prints what is out, under which permits, budgets and halts", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.LedgerView(ctx, false, false)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v, func(w io.Writer) error { return writeFleet(w, &v) })
		})
}

// writeFleet prints a ledger for people: doubt and halts first.
func writeFleet(out io.Writer, v *disruption.View) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if v.Uncertainty != "" {
		fmt.Fprintln(w, "doubt:", v.Uncertainty)
	}
	for _, h := range v.Halts {
		scope := h.Scope
		if scope == "" {
			scope = "the fleet"
		}
		fmt.Fprintf(w, "halted: %s\tby %s\t%s\n", scope, h.IssuedBy, h.Reason)
	}
	for _, c := range slices.Sorted(maps.Keys(v.Counts)) {
		fmt.Fprintf(w, "%d %s\n", v.Counts[c], c)
	}
	for _, r := range v.Constraints {
		if r.Unavailable > 0 || r.WarmingUp > 0 {
			fmt.Fprintf(w, "%s\t%d of %d out, %d may be\t%.4g of %.4g cold\n", r.Name, r.Unavailable, r.Total, r.MaxUnavailable, r.WarmingUp, r.Capacity)
		}
	}
	for _, p := range v.Permits {
		fmt.Fprintf(w, "permit %s\t%s\t%d units\t%s\t%s\n", p.ID, p.Stage, len(p.Units), p.Purpose, p.WaitReason)
	}
	for _, u := range v.Units {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", u.ID, u.Condition, u.Zone, u.Version)
	}
	return w.Flush()
}

func newFleetHalt(kind disruption.OpKind) *cobra.Command {
	var by, why, scope string
	short := "Halts all that would take more out; ways back go on"
	if kind == disruption.OpResume {
		short = "Ends a halt"
	}
	c := asks(string(kind), short, 0, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
		res, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: kind, Owner: "operator/" + by, Halt: &disruption.Halt{Scope: scope, Reason: why}})
		if err != nil {
			return err
		}
		return a.show(c.OutOrStdout(), res, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s at revision %d\n", kind, res.Revision)
			return err
		})
	})
	c.Flags().StringVar(&scope, "scope", "", "budget/NAME or release/NAME; none: the fleet")
	c.Flags().StringVar(&by, "by", "unnamed", "name of the operator, kept in the log")
	c.Flags().StringVar(&why, "why", "", "reason, kept in the log")
	return c
}

func newFleetDrain() *cobra.Command {
	f := &controlling{}
	var s disruption.Selector
	var deadline time.Duration
	c := &cobra.Command{
		Use:   "drain NAME",
		Short: "Empties and stops servers for good, one after the other within the budgets",
		Long: "drain empties servers and stops them: what stands only there is made ready elsewhere, the list says Terminating, and\n" +
			"once every sidecar that lives has that list and nothing can be open, the platform stops them. NAME is the drain's,\n" +
			"and of its duty, release/NAME: run twice, the second is a candidate. release halt and resume act on it.\n\n" + exitHelp,
		Example: "  milldeck fleet drain rack-7 --ids server/a1,server/a2\n  milldeck fleet drain zone-b --zone b --deadline 6h",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			if s.Zone+s.Model == "" && len(s.IDs) == 0 {
				return usageError{errors.New("drain needs --ids, --zone or --model")}
			}
			if deadline <= 0 {
				return usageError{fmt.Errorf("--deadline: %v is not above 0", deadline)}
			}
			p := release.DrainPlan(args[0], s, deadline.Seconds())
			return f.run(c.Context(), c.OutOrStdout(), p, func(v *fleetView) (*release.State, error) {
				return release.NewDrain(p, time.Now().UnixMilli(), v.ledger.Units, v.platform)
			})
		},
	}
	c.Flags().StringSliceVar(&s.IDs, "ids", nil, "units, as server/UID")
	c.Flags().StringVar(&s.Zone, "zone", "", "all of a zone")
	c.Flags().StringVar(&s.Model, "model", "", "all of a model")
	c.Flags().DurationVar(&deadline, "deadline", time.Hour, "past it the drain halts")
	f.flags(c)
	return c
}
