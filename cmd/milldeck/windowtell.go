package main

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/window"
	"milldeck/internal/window/contract"
)

// person names who types.
func person() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func newWindowPropose() *cobra.Command {
	return asks("propose FILE", "Proposes a window; the controller plans it", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			w, after, work, err := loadWish(args[0], false)
			if err != nil {
				return err
			}
			return tell(ctx, c, client, window.Op{Kind: window.OpPropose, Name: w.Name, By: person(), Servers: w.Servers,
				WorkMS: work.Milliseconds(), AfterMS: after})
		})
}

// tell writes a person's operation.
func tell(ctx context.Context, c *cobra.Command, client *registry.Client, op window.Op) error {
	if err := op.Check(); err != nil {
		return usageError{err}
	}
	res, err := client.WriteWindow(ctx, registry.Write{}, window.Stamp{}, op)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "done, revision %d\n", res.Rev)
	return err
}

// newWindowTell makes a command of one operation about one window.
func newWindowTell(use, short string, op func(name, why string) window.Op) *cobra.Command {
	var why string
	c := asks(use+" NAME", short, 1, func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
		return tell(ctx, c, client, op(args[0], why))
	})
	c.Flags().StringVar(&why, "why", "", "a reason, for those who look it up")
	return c
}

func newWindowList() *cobra.Command {
	return asks("list", "Prints windows and halts", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v.Table, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, one := range v.Table.Windows {
					fmt.Fprintf(w, "%s\t%s\t%d servers\t%s\t%s\n", one.Name, one.Stage, len(one.Servers), when(one.FromMS), one.Why)
				}
				for scope, why := range v.Table.Halts {
					fmt.Fprintf(w, "halted: %q\t%s\n", scope, why)
				}
				if v.Table.Doubt != "" {
					fmt.Fprintln(w, "in doubt:", v.Table.Doubt)
				}
				return w.Flush()
			})
		})
}

func when(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newWindowShow() *cobra.Command {
	return asks("show NAME", "Prints one window", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			v, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			one := window.Load(v.Table).Window(args[0])
			if one == nil {
				return fmt.Errorf("there is no window %s", args[0])
			}
			return a.show(c.OutOrStdout(), one, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				fmt.Fprintf(w, "%s\t%s\t%s\n", one.Name, one.Stage, one.Why)
				for _, line := range []struct {
					what string
					at   int64
				}{{"begins", one.FromMS}, {"closes", one.CloseMS}, {"out", one.OutMS}, {"free", one.FreeMS}, {"returned", one.ReturnMS}, {"back", one.BackMS}} {
					fmt.Fprintf(w, "%s\t%s\t\n", line.what, when(line.at))
				}
				for _, g := range one.Grants {
					fmt.Fprintf(w, "%s approves\t%s\tto %s\n", g.Tenant, when(g.OpenMS), when(g.CloseMS))
				}
				return w.Flush()
			})
		})
}

func newContractSet() *cobra.Command {
	return asks("set FILE", "Brings a contract into force, and the ledger's budget that goes with it", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			one, err := contract.Load(args[0])
			if err != nil {
				return err
			}
			// The budget first: a contract that is not in force approves nothing.
			if _, err := client.Ledger(ctx, registry.Write{}, disruption.Op{Kind: disruption.OpBudget, Owner: "operator/" + person(),
				Budget: window.BudgetOf(one)}); err != nil {
				return err
			}
			now := window.NewPlanner().Grant(&window.Kept{Contract: *one}, time.Now().UnixMilli(), 0)
			return tell(ctx, c, client, window.Op{Kind: window.OpContract, Contract: one, Grant: now})
		})
}

func newContractWithdraw() *cobra.Command {
	return asks("withdraw TENANT", "Ends a contract; windows under way come back", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, client, window.Op{Kind: window.OpWithdraw, Tenant: args[0]})
		})
}

func newContractList() *cobra.Command {
	return asks("list", "Prints the contracts in force, with the minutes used this month", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v.Table.Contracts, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, one := range v.Table.Contracts {
					used := int64(0)
					if h, err := one.Hours(); err == nil {
						now := time.Now().UnixMilli()
						for _, m := range h.Months(now, now+1) {
							used = v.Table.Used[one.Tenant][m.Name] / time.Minute.Milliseconds()
						}
					}
					fmt.Fprintf(w, "%s\tversion %d\t%s\t%d of %d minutes\n", one.Tenant, one.Version, one.Zone, used, one.MinutesAMonth)
				}
				return w.Flush()
			})
		})
}

func newContractResume() *cobra.Command {
	return asks("resume TENANT", "Lets windows of a tenant go on that an overrun has halted", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, client, window.Op{Kind: window.OpResume, Scope: "tenant/" + args[0]})
		})
}
