package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milldeck/internal/config"
	"milldeck/internal/disruption"
	"milldeck/internal/registry"
)

// budgetsFile is the budgets of a fleet as operators write them.
type budgetsFile struct {
	Budgets []disruption.Budget `toml:"budget"`
}

// readBudgets reads a file of budgets and checks each, so that none is set where one cannot be.
func readBudgets(path string) (map[string]*disruption.Budget, error) {
	var f budgetsFile
	file, err := config.Load(path, &f)
	if err != nil {
		return nil, err
	}
	byName := map[string]*disruption.Budget{}
	for i := range f.Budgets {
		b := &f.Budgets[i]
		err := b.Validate()
		if err == nil && byName[b.Name] != nil {
			err = fmt.Errorf("name: there are two budgets %q", b.Name)
		}
		if err != nil {
			return nil, file.Errorf(fmt.Sprintf("budget[%d]", i), "%v", err)
		}
		byName[b.Name] = b
	}
	return byName, nil
}

func newFleetBudgets() *cobra.Command {
	a := &asking{}
	var by string
	c := &cobra.Command{
		Use:   "budgets [FILE]",
		Short: "Prints what may be out at a time, or sets it from a file",
		Long: "budgets prints the budgets that are set. With a file it makes them those of the file: it sets each that is new or\n" +
			"differs and drops those that the file lacks, drops last, so that the fleet is never bound less than by either.\n" +
			"What holds without any budget: docs/ledger.md, \"Built in\".\n\n" + exitHelp,
		Example: "  milldeck fleet budgets\n  milldeck fleet budgets budgets.toml --by ana",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var want map[string]*disruption.Budget
			if len(args) > 0 {
				var err error
				if want, err = readBudgets(args[0]); err != nil {
					return usageError{err}
				}
			}
			return a.with(c, func(ctx context.Context, client *registry.Client) error {
				v, err := client.LedgerView(ctx, true, false)
				if err == nil && len(args) > 0 {
					if err = setBudgets(ctx, client, "operator/"+by, v.Budgets, want); err == nil {
						v, err = client.LedgerView(ctx, true, false)
					}
				}
				if err != nil {
					return err
				}
				return a.show(c.OutOrStdout(), v.Budgets, func(w io.Writer) error { return writeBudgets(w, v.Budgets) })
			})
		},
	}
	a.flags(c)
	c.Flags().StringVar(&by, "by", "unnamed", "name of the operator, kept in the log")
	return c
}

// setBudgets makes the budgets that there are those that are wanted, one entry of the log each. A repeat goes on where
// one that failed has ended.
func setBudgets(ctx context.Context, client *registry.Client, owner string, have []disruption.Budget, want map[string]*disruption.Budget) error {
	for _, name := range slices.Sorted(maps.Keys(want)) {
		op := disruption.Op{Kind: disruption.OpSetBudget, Owner: owner, Budget: want[name]}
		if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, op); err != nil {
			return fmt.Errorf("budget %s: %w", name, err)
		}
	}
	for i := range have {
		if want[have[i].Name] != nil {
			continue
		}
		op := disruption.Op{Kind: disruption.OpSetBudget, Owner: owner, Budget: &have[i], Delete: true}
		if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, op); err != nil {
			return fmt.Errorf("budget %s: %w", have[i].Name, err)
		}
	}
	return nil
}

func writeBudgets(out io.Writer, budgets []disruption.Budget) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	limit := func(l disruption.Limit) string {
		switch {
		case l.Count != nil && l.Fraction != nil:
			return fmt.Sprintf("%d and %.4g%%", *l.Count, 100**l.Fraction)
		case l.Count != nil:
			return fmt.Sprint(*l.Count)
		case l.Fraction != nil:
			return fmt.Sprintf("%.4g%%", 100**l.Fraction)
		}
		return "any"
	}
	for i := range budgets {
		b := &budgets[i]
		fmt.Fprintf(w, "%s\t%s out\t%s cold\tof %s\n", b.Name, limit(b.MaxUnavailable), limit(b.MaxWarmingUp), of(&b.Selector))
	}
	return w.Flush()
}

// of says in words which units a selector selects.
func of(s *disruption.Selector) string {
	text := "all units"
	if s.Kind != "" {
		text = string(s.Kind) + "s"
	}
	for _, f := range [][2]string{{"zone", s.Zone}, {"model", s.Model}, {"tenant", s.Tenant}, {"version", s.Version}} {
		if f[1] != "" {
			text += ", " + f[0] + " " + f[1]
		}
	}
	if s.PodGroup != nil {
		text += fmt.Sprintf(", pod group %d", *s.PodGroup)
	}
	if len(s.IDs) > 0 {
		text += fmt.Sprintf(", %d named", len(s.IDs))
	}
	return text
}
