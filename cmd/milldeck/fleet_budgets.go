package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/config"
	"milldeck/internal/disruption"
	"milldeck/internal/registry"
)

// budgetsFile is the file format of budgets.
type budgetsFile struct {
	Budgets []disruption.Budget `toml:"budget"`
}

// readBudgets reads a file of budgets and returns them by name. It validates all of them, so that a file with an invalid
// budget sets none.
func readBudgets(path string) (map[string]*disruption.Budget, error) {
	var content budgetsFile
	file, err := config.Load(path, &content)
	if err != nil {
		return nil, err
	}
	byName := map[string]*disruption.Budget{}
	for i := range content.Budgets {
		budget := &content.Budgets[i]
		err := budget.Validate()
		if err == nil && byName[budget.Name] != nil {
			err = fmt.Errorf("name: there are two budgets %q", budget.Name)
		}
		if err != nil {
			return nil, file.Errorf(fmt.Sprintf("budget[%d]", i), "%v", err)
		}
		byName[budget.Name] = budget
	}
	return byName, nil
}

func newFleetBudgets() *cobra.Command {
	flags := &clientFlags{}
	var operator string
	command := &cobra.Command{
		Use:   "budgets [FILE]",
		Short: "Prints the budgets (how much may be unavailable at a time), or sets them from a file",
		Long: "budgets prints the current budgets. With a file, it replaces them: it sets the budgets of the file, and\n" +
			"then deletes those that the file lacks, so that these apply until all budgets of the file are set.\n" +
			"docs/ledger.md, \"Budgets\", describes the limits that apply without a budget.\n\n" +
			exitHelp,
		Example: "  milldeck fleet budgets\n  milldeck fleet budgets budgets.toml --by ana",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return runBudgets(command, flags, disruption.OperatorOwner(operator), args)
		},
	}
	flags.addTo(command)
	operatorFlag(command, &operator)
	return command
}

// runBudgets sets the budgets of a file, if one is given, and prints the budgets that are set afterwards.
func runBudgets(command *cobra.Command, flags *clientFlags, owner string, files []string) error {
	var desired map[string]*disruption.Budget
	if len(files) > 0 {
		var err error
		if desired, err = readBudgets(files[0]); err != nil {
			return usageError{err}
		}
	}
	return flags.withClient(command, func(ctx context.Context, client *registry.Client) error {
		view, err := client.LedgerView(ctx, true, false)
		if err != nil {
			return err
		}
		if len(files) > 0 {
			if err := setBudgets(ctx, client, owner, view.Budgets, desired); err != nil {
				return err
			}
			if view, err = client.LedgerView(ctx, true, false); err != nil {
				return err
			}
		}
		return flags.print(command.OutOrStdout(), view.Budgets, func(out io.Writer) error { return writeBudgets(out, view.Budgets) })
	})
}

// setBudgets replaces the existing budgets by the desired ones. It writes one log entry for each change. After a failure, a
// second call completes the replacement.
func setBudgets(ctx context.Context, client *registry.Client, owner string, existing []disruption.Budget, desired map[string]*disruption.Budget) error {
	for _, change := range disruption.PlanBudgetChanges(existing, desired) {
		op := disruption.Op{Kind: disruption.OpSetBudget, Owner: owner, Budget: change.Budget, Delete: change.Delete}
		if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, op); err != nil {
			return fmt.Errorf("budget %s: %w", change.Budget.Name, err)
		}
	}
	return nil
}

func writeBudgets(out io.Writer, budgets []disruption.Budget) error {
	table := newTable(out)
	for i := range budgets {
		budget := &budgets[i]
		fmt.Fprintf(table, "%s\t%s out\t%s cold\tof %s\n", budget.Name,
			describeLimit(budget.MaxUnavailable), describeLimit(budget.MaxWarmingUp), describeSelector(&budget.Selector))
	}
	return table.Flush()
}

func describeLimit(limit disruption.Limit) string {
	const percent = 100
	switch {
	case limit.Count != nil && limit.Fraction != nil:
		return fmt.Sprintf("%d and %.4g%%", *limit.Count, percent**limit.Fraction)
	case limit.Count != nil:
		return fmt.Sprint(*limit.Count)
	case limit.Fraction != nil:
		return fmt.Sprintf("%.4g%%", percent**limit.Fraction)
	}
	return "any"
}

// describeSelector describes in words which units a selector matches.
func describeSelector(selector *disruption.Selector) string {
	text := "all units"
	if selector.Kind != "" {
		text = string(selector.Kind) + "s"
	}
	for _, field := range []struct{ name, value string }{
		{"zone", selector.Zone}, {"model", selector.Model}, {"tenant", selector.Tenant}, {"version", selector.Version},
	} {
		if field.value != "" {
			text += ", " + field.name + " " + field.value
		}
	}
	if selector.PodGroup != nil {
		text += fmt.Sprintf(", pod group %d", *selector.PodGroup)
	}
	if len(selector.IDs) > 0 {
		text += fmt.Sprintf(", %d named", len(selector.IDs))
	}
	return text
}
