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

	"milldeck/internal/registry"
	"milldeck/internal/window"
	"milldeck/internal/window/contract"
)

// applied makes an error of an outcome that is none.
func applied(outcome window.Outcome, why string, err error) error {
	switch {
	case err != nil:
		return err
	case outcome == window.Applied:
		return nil
	case outcome == window.Bad:
		return usageError{errors.New(why)}
	}
	return fmt.Errorf("%s: %s", outcome, why)
}

// told is what a command that writes answers.
type told struct {
	What string `json:"what"`
	Rev  uint64 `json:"rev"`
	Note string `json:"note,omitempty"`
}

// tell writes one operation and says that it is done.
func tell(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, what string, op window.Op) error {
	outcome, why, rev, err := client.WriteWindow(ctx, registry.Write{}, op, window.Stamp{})
	if err := applied(outcome, why, err); err != nil {
		return err
	}
	return a.show(c.OutOrStdout(), told{what, rev, why}, func(w io.Writer) error {
		line := fmt.Sprintf("%s at revision %d", what, rev)
		if why != "" {
			line += "; " + why
		}
		_, err := fmt.Fprintln(w, line)
		return err
	})
}

func newWindowPropose() *cobra.Command {
	var by string
	c := asks("propose FILE", "Asks for servers to be freed for work", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			w, after, work, err := loadWish(args[0], false)
			if err != nil {
				return err
			}
			return tell(ctx, c, a, client, w.Name+" is proposed", window.Op{Kind: window.OpPropose, Name: w.Name, By: "operator/" + by,
				Servers: w.Servers, WorkMS: work.Milliseconds(), AfterMS: after})
		})
	c.Long = "propose asks for servers to be freed for work, as the file says. The controller finds the earliest time that the\n" +
		"contracts of all their tenants approve; window show tells it, or why there is none.\n\n" + exitHelp
	c.Example = "  milldeck window propose window.toml --by eva\n\n  # window.toml\n  name = \"disks-3\"\n  servers = [\"s17\", \"s18\"]\n  work = \"30m\"\n" +
		"  after = \"2026-06-10T12:00:00Z\""
	c.Flags().StringVar(&by, "by", "unnamed", "name of the operator, kept in the log")
	return c
}

func newWindowCancel() *cobra.Command {
	var by, why string
	c := asks("cancel NAME", "Cancels a window: what it has taken out comes back", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, a, client, args[0]+" is cancelled", window.Op{Kind: window.OpCancel, Name: args[0], By: "operator/" + by, Why: why})
		})
	c.Example = "  milldeck window cancel disks-3 --by eva --why \"the parts have not come\""
	c.Flags().StringVar(&by, "by", "unnamed", "name of the operator, kept in the log")
	c.Flags().StringVar(&why, "why", "", "reason, kept in the log")
	return c
}

func newWindowFinish() *cobra.Command {
	c := asks("finish NAME", "Says that the work of a window is done before its time", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, a, client, args[0]+" is done", window.Op{Kind: window.OpFinish, Name: args[0]})
		})
	c.Example = "  milldeck window finish disks-3"
	return c
}

// newWindowHold makes halt or resume: of a window, of a tenant's windows, or of all.
func newWindowHold(kind window.OpKind, short, done string) *cobra.Command {
	var tenant, by, why string
	c := asks(string(kind)+" [NAME]", short, 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			scope, what := "", "all windows are"
			switch {
			case len(args) == 1:
				scope, what = "window/"+args[0], args[0]+" is"
			case tenant != "":
				scope, what = "tenant/"+tenant, "windows of "+tenant+" are"
			}
			return tell(ctx, c, a, client, what+" "+done, window.Op{Kind: kind, Scope: scope, By: "operator/" + by, Why: why})
		})
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) > 1 || len(args) == 1 && tenant != "" {
			return usageError{fmt.Errorf("%s takes one name at most, or --tenant", c.CommandPath())}
		}
		return nil
	}
	c.Example = fmt.Sprintf("  milldeck window %s disks-3\n  milldeck window %s --tenant member-portal --why \"rates announced\"\n  milldeck window %s", kind, kind, kind)
	c.Flags().StringVar(&tenant, "tenant", "", "the windows of this tenant alone")
	c.Flags().StringVar(&by, "by", "unnamed", "name of the operator, kept in the log")
	c.Flags().StringVar(&why, "why", "", "reason, kept in the log")
	return c
}

func newWindowList() *cobra.Command {
	c := asks("list", "Prints all windows, and what holds them", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.Windows(ctx)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, one := range v.Windows {
					fmt.Fprintf(w, "%s\t%s\t%d servers\t%s\t%s\n", one.Name, one.Stage, len(one.Servers), when(one), one.Why)
				}
				for _, scope := range slices.Sorted(maps.Keys(v.Halts)) {
					name := scope
					if name == "" {
						name = "all windows"
					}
					fmt.Fprintf(w, "halted: %s\t%s\n", name, v.Halts[scope])
				}
				if v.Doubt != "" {
					fmt.Fprintf(w, "times are in doubt: %s\n", v.Doubt)
				}
				return w.Flush()
			})
		})
	c.Example = "  milldeck window list\n  milldeck window list --json"
	return c
}

func when(w *window.Window) string {
	if w.FromMS == 0 {
		return "no time yet"
	}
	return clockUTC(w.FromMS) + " to " + clockUTC(w.CloseMS)
}

func clockUTC(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func newWindowShow() *cobra.Command {
	c := asks("show NAME", "Prints a window: where it stands, since when, and what was approved", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			one, err := client.Window(ctx, args[0])
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), one, func(out io.Writer) error { return writeWindow(out, one) })
		})
	c.Example = "  milldeck window show disks-3\n  milldeck window show disks-3 --json"
	return c
}

func writeWindow(out io.Writer, one *window.Window) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s\t%s\tby %s\t%s\n", one.Name, one.Stage, one.By, one.Why)
	fmt.Fprintf(w, "servers\t%v\n", one.Servers)
	fmt.Fprintf(w, "work\t%v\n", time.Duration(one.WorkMS)*time.Millisecond)
	for _, at := range []struct {
		what string
		ms   int64
	}{{"proposed", one.ProposedMS}, {"begins", one.FromMS}, {"drain began", one.OutMS}, {"free", one.FreeMS}, {"tenants keep off until", one.ToldMS},
		{"way back began", one.ReturnMS}, {"back", one.BackMS}, {"closes", one.CloseMS}} {
		if at.ms != 0 {
			fmt.Fprintf(w, "%s\t%s\n", at.what, clockUTC(at.ms))
		}
	}
	if id := one.PermitID(); id != "" {
		fmt.Fprintf(w, "permit\t%s\n", id)
	}
	for _, g := range one.Grants {
		fmt.Fprintf(w, "%s approves\t%s to %s\tcontract %d\n", g.Tenant, clockUTC(g.OpenMS), clockUTC(g.CloseMS), g.Version)
	}
	return w.Flush()
}

func newContractSet() *cobra.Command {
	c := asks("set FILE", "Brings a contract into force, at once", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			one, err := contract.Load(args[0])
			if err != nil {
				return err
			}
			return tell(ctx, c, a, client, "the contract of "+one.Tenant+" is in force", window.Op{Kind: window.OpContract, Contract: one})
		})
	c.Example = "  milldeck contract set portal.toml"
	return c
}

func newContractWithdraw() *cobra.Command {
	c := asks("withdraw TENANT", "Ends a tenant's contract, at once: nothing of that tenant's may be taken out any more", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			return tell(ctx, c, a, client, "the contract of "+args[0]+" is withdrawn", window.Op{Kind: window.OpWithdraw, Tenant: args[0]})
		})
	c.Example = "  milldeck contract withdraw member-portal"
	return c
}

func newContractList() *cobra.Command {
	c := asks("list", "Prints the contracts in force", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			v, err := client.Windows(ctx)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), v.Contracts, func(out io.Writer) error {
				w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, one := range v.Contracts {
					fmt.Fprintf(w, "%s\t%s\tnotice %s\t%d minutes a month\tat least %.4g stay\tversion %d\n", one.Tenant, one.Zone, one.Notice,
						one.MinutesAMonth, one.LeastShare, one.Version)
				}
				return w.Flush()
			})
		})
	c.Example = "  milldeck contract list\n  milldeck contract list --json"
	return c
}
