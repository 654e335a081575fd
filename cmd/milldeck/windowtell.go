package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os/user"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/registry"
)

// person names who types.
func person() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func newWindowPropose() *cobra.Command {
	c := asks("propose FILE", "Proposes a window; the controller plans it", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			w, after, work, err := loadWish(args[0], false)
			if err != nil {
				return err
			}
			return tell(ctx, c, a, client, maintenance.Operation{Kind: maintenance.OpPropose, Window: w.Name, Operator: person(), ServerUIDs: w.Servers,
				WorkMS: work.Milliseconds(), NotBeforeMS: after})
		})
	c.Example = "  milldeck window propose window.toml --replicas 127.0.0.1:8500\n\n  # window.toml\n  name = \"disks-3\"\n  servers = [\"s17\", \"s18\"]\n" +
		"  work = \"30m\"\n  after = \"2026-06-10T12:00:00Z\""
	return c
}

// tell writes a person's operation.
func tell(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, op maintenance.Operation) error {
	if err := op.Validate(); err != nil {
		return usageError{err}
	}
	res, err := client.WriteWindow(ctx, registry.WriteOptions{}, maintenance.Timestamp{}, op)
	if err != nil {
		return err
	}
	return a.show(c.OutOrStdout(), res, func(out io.Writer) error {
		line := fmt.Sprintf("done, revision %d", res.Revision)
		if res.Reason != "" {
			line += ": " + res.Reason
		}
		_, err := fmt.Fprintln(out, line)
		return err
	})
}

// newWindowHold makes halt or resume: of a window, of a tenant's windows, or of all.
func newWindowHold(kind maintenance.OperationKind, short string) *cobra.Command {
	var tenant, why string
	c := asks(string(kind)+" [NAME]", short, 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			op := maintenance.Operation{Kind: kind, Operator: person(), Reason: why}
			switch {
			case len(args) == 1:
				op.Scope = "window/" + args[0]
			case tenant != "":
				op.Scope = "tenant/" + tenant
			}
			return tell(ctx, c, a, client, op)
		})
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) > 1 || len(args) == 1 && tenant != "" {
			return usageError{fmt.Errorf("%s takes one name at most, or --tenant", c.CommandPath())}
		}
		return nil
	}
	c.Example = fmt.Sprintf("  milldeck window %[1]s disks-3\n  milldeck window %[1]s --tenant member-portal --why \"rates announced\"\n  milldeck window %[1]s", kind)
	c.Flags().StringVar(&tenant, "tenant", "", "the windows of this tenant alone")
	c.Flags().StringVar(&why, "why", "", "a reason, for those who look it up")
	return c
}

// newWindowTell makes a command of one operation about one window.
func newWindowTell(use, short string, op func(name, why string) maintenance.Operation) *cobra.Command {
	var why string
	c := asks(use+" NAME", short, 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		return tell(ctx, c, a, client, op(args[0], why))
	})
	c.Example = "  milldeck window " + use + " disks-3"
	c.Flags().StringVar(&why, "why", "", "a reason, for those who look it up")
	return c
}

func newWindowList() *cobra.Command {
	c := asks("list", "Prints windows and halts", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v.Table, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, one := range v.Table.Windows {
					fmt.Fprintf(w, "%s\t%s\t%d servers\t%s\t%s\n", one.Name, one.Stage, len(one.ServerUIDs), when(one.PlannedStartMS), one.Reason)
				}
				for _, scope := range slices.Sorted(maps.Keys(v.Table.Halts)) {
					fmt.Fprintf(w, "halted: %s\t%s\n", cmp.Or(scope, "all windows"), v.Table.Halts[scope])
				}
				if v.Table.ClockFault != "" {
					fmt.Fprintln(w, "in doubt:", v.Table.ClockFault)
				}
				return w.Flush()
			})
		})
	c.Example = "  milldeck window list\n  milldeck window list --json"
	return c
}

func when(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newWindowShow() *cobra.Command {
	c := asks("show NAME", "Prints one window", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			v, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			one := maintenance.Restore(v.Table).Window(args[0])
			if one == nil {
				return fmt.Errorf("there is no window %s", args[0])
			}
			return a.show(c.OutOrStdout(), one, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				fmt.Fprintf(w, "%s\t%s\t%s\n", one.Name, one.Stage, one.Reason)
				for _, line := range []struct {
					what string
					at   int64
				}{{"begins", one.PlannedStartMS}, {"closes", one.ClosesAtMS}, {"out", one.DrainStartedAtMS}, {"free", one.DrainedAtMS}, {"returned", one.ReturnStartedAtMS}, {"back", one.ReturnedAtMS}} {
					fmt.Fprintf(w, "%s\t%s\t\n", line.what, when(line.at))
				}
				for _, g := range one.Approvals {
					fmt.Fprintf(w, "%s approves\t%s\tto %s\n", g.Tenant, when(g.OpensAtMS), when(g.ClosesAtMS))
				}
				return w.Flush()
			})
		})
	c.Example = "  milldeck window show disks-3\n  milldeck window show disks-3 --json"
	return c
}

func newContractSet() *cobra.Command {
	c := asks("set FILE", "Brings a contract into force, and the ledger's budget that goes with it", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			one, err := contract.Load(args[0])
			if err != nil {
				return err
			}
			now := maintenance.NewPlanner().Approval(&maintenance.ActiveContract{Contract: *one}, time.Now().UnixMilli(), 0)
			return tell(ctx, c, a, client, maintenance.Operation{Kind: maintenance.OpSetContract, Contract: one, CurrentApproval: now})
		})
	c.Example = "  milldeck contract set portal.toml"
	return c
}

func newContractWithdraw() *cobra.Command {
	c := asks("withdraw TENANT", "Ends a contract; windows under way come back", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, a, client, maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: args[0]})
		})
	c.Example = "  milldeck contract withdraw member-portal"
	return c
}

func newContractList() *cobra.Command {
	c := asks("list", "Prints the contracts in force, with the minutes used this month", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v.Table.Contracts, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, one := range v.Table.Contracts {
					used := int64(0)
					if h, err := one.Calendar(); err == nil {
						now := time.Now().UnixMilli()
						for _, m := range h.Months(now, now+1) {
							used = v.Table.UsedMS[one.Tenant][m.Name] / time.Minute.Milliseconds()
						}
					}
					fmt.Fprintf(w, "%s\tversion %d\t%s\t%d of %d minutes\n", one.Tenant, one.Version, one.Zone, used, one.MinutesPerMonth)
				}
				return w.Flush()
			})
		})
	c.Example = "  milldeck contract list\n  milldeck contract list --json"
	return c
}

func newContractResume() *cobra.Command {
	c := asks("resume TENANT", "Lets windows of a tenant go on that an overrun has halted", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, a, client, maintenance.Operation{Kind: maintenance.OpResume, Scope: "tenant/" + args[0]})
		})
	c.Example = "  milldeck contract resume member-portal"
	return c
}
