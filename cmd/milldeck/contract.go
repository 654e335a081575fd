package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/registry"
)

func newContract() *cobra.Command {
	command := &cobra.Command{
		Use:   "contract",
		Short: "Contracts: the maintenance that tenants have agreed to",
		Long: "contract checks, sets and withdraws tenants' contracts. docs/maintenance-windows.md describes the files.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newContractCheck(), newContractSet(), newContractWithdraw(), newContractList(), newContractResume())
	return command
}

func newContractCheck() *cobra.Command {
	var at string
	var days int
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Checks a contract and prints its next approved hours",
		Long: "check reads a contract and prints the hours that it approves, in the tenant's time zone and in UTC.\n\n" +
			exitHelp,
		Example: "  milldeck contract check portal.toml --days 14",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			const maxDays = 400 // more than a year, and longer than any closed season
			now, err := parseTimeMS(at)
			if err != nil {
				return usageError{fmt.Errorf("--at: %w", err)}
			}
			if days < 1 || days > maxDays {
				return usageError{fmt.Errorf("--days: %d is not within 1 to %d", days, maxDays)}
			}
			terms, err := contract.Load(args[0])
			if err != nil {
				return err
			}
			return printApprovedHours(command.OutOrStdout(), terms, now, days)
		},
	}
	command.Flags().StringVar(&at, "at", "", "start of the period, RFC 3339 (default now)")
	command.Flags().IntVar(&days, "days", 7, "length of the period in days")
	return command
}

// printApprovedHours prints the approved hours of the given number of days from now on, in the tenant's time zone and in UTC.
func printApprovedHours(out io.Writer, terms *contract.Contract, now int64, days int) error {
	calendar, err := terms.Calendar()
	if err != nil {
		return err
	}
	location, err := time.LoadLocation(terms.Zone)
	if err != nil {
		return fmt.Errorf("zone: %w", err)
	}
	intervals := calendar.Between(now, now+int64(days)*24*time.Hour.Milliseconds())
	if len(intervals) == 0 {
		return errors.New("the contract approves no hours in this period")
	}
	for _, interval := range intervals {
		from, until := time.UnixMilli(interval.StartMS), time.UnixMilli(interval.EndMS)
		local := from.In(location).Format("Mon 2006-01-02 15:04 MST") + " to " + until.In(location).Format("Mon 15:04 MST")
		utc := from.UTC().Format("01-02 15:04") + " to " + until.UTC().Format("15:04")
		if _, err := fmt.Fprintf(out, "%s  (%s UTC)\n", local, utc); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
	return nil
}

func newContractSet() *cobra.Command {
	command := newClientCommand("set FILE", "Sets a contract and the disruption budget that belongs to it", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			terms, err := contract.Load(args[0])
			if err != nil {
				return err
			}
			approval := maintenance.NewPlanner().Approval(&maintenance.ActiveContract{Contract: *terms}, time.Now().UnixMilli(), 0)
			op := maintenance.Operation{Kind: maintenance.OpSetContract, Contract: terms, CurrentApproval: approval}
			return writeWindowOperation(ctx, command, flags, client, op)
		})
	command.Example = "  milldeck contract set portal.toml"
	return command
}

func newContractWithdraw() *cobra.Command {
	command := newClientCommand("withdraw TENANT", "Withdraws a contract; windows that are out of service return to service", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			return writeWindowOperation(ctx, command, flags, client, maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: args[0]})
		})
	command.Example = "  milldeck contract withdraw member-portal"
	return command
}

func newContractList() *cobra.Command {
	command := newClientCommand("list", "Prints the active contracts, with the minutes used this month", 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
			view, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), view.Table.Contracts, func(out io.Writer) error {
				table := newTable(out)
				for _, active := range view.Table.Contracts {
					fmt.Fprintf(table, "%s\tversion %d\t%s\t%d of %d minutes\n", active.Tenant, active.Version, active.Zone,
						minutesUsed(view.Table, active), active.MinutesPerMonth)
				}
				return table.Flush()
			})
		})
	command.Example = "  milldeck contract list\n  milldeck contract list --json"
	return command
}

// minutesUsed returns how many minutes a tenant's windows have used in the current month of the tenant's time zone.
func minutesUsed(snapshot *maintenance.Snapshot, active *maintenance.ActiveContract) int64 {
	calendar, err := active.Calendar()
	if err != nil {
		return 0 // the contract is of a later version, whose months this build cannot compute
	}
	now := time.Now().UnixMilli()
	usedMS := int64(0)
	for _, month := range calendar.Months(now, now+1) {
		usedMS = snapshot.UsedMS[active.Tenant][month.Name]
	}
	return usedMS / time.Minute.Milliseconds()
}

func newContractResume() *cobra.Command {
	command := newClientCommand("resume TENANT", "Resumes a tenant's windows after an overrun has halted them", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			return writeWindowOperation(ctx, command, flags, client, maintenance.Operation{Kind: maintenance.OpResume, Scope: "tenant/" + args[0]})
		})
	command.Example = "  milldeck contract resume member-portal"
	return command
}
