package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/config"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/contract"
)

func newWindow() *cobra.Command {
	c := &cobra.Command{
		Use:   "window",
		Short: "Maintenance windows by contract",
		Long: "window frees servers for maintenance in the hours that their tenants approve. docs/maintenance-windows.md tells what is promised.\n\n" +
			exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newWindowPlan(), newWindowServe(), newWindowPropose(), newWindowList(), newWindowShow(),
		newWindowHold(maintenance.OpHalt, "Halts a window, a tenant's windows or all: nothing more goes out, a window by name comes back"),
		newWindowHold(maintenance.OpResume, "Has halted windows go on"),
		newWindowTell("cancel", "Cancels a window; one that is out comes back", func(name, why string) maintenance.Operation {
			return maintenance.Operation{Kind: maintenance.OpCancel, Window: name, Reason: why}
		}),
		newWindowTell("finish", "Says that the work of a free window is done", func(name, _ string) maintenance.Operation {
			return maintenance.Operation{Kind: maintenance.OpFinishWork, Window: name}
		}))
	return c
}

// wish is a window as an operator writes it.
type wish struct {
	Name    string              `toml:"name"`
	Servers []string            `toml:"servers"` // by uid
	Work    string              `toml:"work"`    // "30m"
	After   string              `toml:"after"`   // not before, RFC 3339; "": from now on
	Fleet   map[string][]string `toml:"fleet"`   // all servers by uid, each with its tenants; none: all tenants
}

// leastWork and mostWork bound the work of one window: longer work takes several.
const leastWork, mostWork = time.Minute, 24 * time.Hour

func newWindowPlan() *cobra.Command {
	var contracts []string
	var at string
	c := &cobra.Command{
		Use:   "plan FILE --contract FILE...",
		Short: "Finds the earliest time that all contracts approve",
		Long: "plan reads a window and the contracts of its servers' tenants and prints the earliest time at which it may begin, or\n" +
			"says whose contract forbids it and what comes nearest. Nothing is changed, and no list service is asked: what other\n" +
			"windows have taken and what months have used is not counted.\n\n" + exitHelp,
		Example: "  milldeck window plan window.toml --contract portal.toml --contract teller.toml --at 2026-06-10T12:00:00Z",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			now, err := instant(at)
			if err != nil {
				return usageError{fmt.Errorf("--at: %w", err)}
			}
			w, after, work, err := loadWish(args[0], true)
			if err != nil {
				return err
			}
			table := maintenance.New()
			for i, path := range contracts {
				one, err := contract.Load(path)
				if err != nil {
					return err
				}
				if table.Contract(one.Tenant) != nil {
					return usageError{fmt.Errorf("--contract %s: %s has another contract", path, one.Tenant)}
				}
				table.Apply(uint64(i+1), &maintenance.Operation{Kind: maintenance.OpSetContract, Contract: one}, maintenance.Timestamp{})
			}
			plan, err := maintenance.NewPlanner().Plan(table, maintenance.Fleet(w.Fleet), maintenance.Request{Name: w.Name, ServerUIDs: w.Servers,
				WorkMS: work.Milliseconds(), NotBeforeMS: after, ProposedAtMS: now}, now)
			if err != nil {
				return fmt.Errorf("%s: %w", w.Name, err)
			}
			return printPlan(c.OutOrStdout(), w.Name, plan, table)
		},
	}
	c.Flags().StringArrayVar(&contracts, "contract", nil, "a tenant's contract; may be repeated")
	c.Flags().StringVar(&at, "at", "", "plan as if it were this time, RFC 3339 (default now)")
	return c
}

// instant reads a time, in Unix ms; "" is now.
func instant(s string) (int64, error) {
	if s == "" {
		return time.Now().UnixMilli(), nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, fmt.Errorf("%q is no time like 2026-06-10T12:00:00Z", s)
	}
	return t.UnixMilli(), nil
}

// loadWish reads a window; fleet: with all servers and their tenants.
func loadWish(path string, fleet bool) (w *wish, after int64, work time.Duration, err error) {
	w = &wish{}
	f, err := config.Load(path, w)
	if err != nil {
		return nil, 0, 0, err
	}
	if work, err = time.ParseDuration(w.Work); err != nil || work < leastWork || work > mostWork {
		return nil, 0, 0, f.Errorf("work", "%q is no time like 30m, from %s to %s", w.Work, leastWork, mostWork)
	}
	if w.After != "" {
		if after, err = instant(w.After); err != nil {
			return nil, 0, 0, f.Errorf("after", "%v", err)
		}
	}
	if len(w.Servers) == 0 {
		return nil, 0, 0, f.Errorf("servers", "none")
	}
	slices.Sort(w.Servers)
	for _, uid := range w.Servers {
		if _, is := w.Fleet[uid]; fleet && !is {
			return nil, 0, 0, f.Errorf("servers", "%s is not in fleet", uid)
		}
	}
	return w, after, work, nil
}

func printPlan(out io.Writer, name string, plan *maintenance.Plan, table *maintenance.Table) error {
	const form = "Mon 2006-01-02 15:04 MST"
	lines := fmt.Sprintf("%s may begin at %s; %s with drain and return\n", name, time.UnixMilli(plan.StartMS).UTC().Format(form),
		time.Duration(plan.RequiredMS)*time.Millisecond)
	for _, g := range plan.Approvals {
		loc, err := time.LoadLocation(table.Contract(g.Tenant).Zone)
		if err != nil {
			return fmt.Errorf("contract of %s: %w", g.Tenant, err)
		}
		lines += fmt.Sprintf("  %s approves from %s to %s\n", g.Tenant, time.UnixMilli(g.OpensAtMS).In(loc).Format(form),
			time.UnixMilli(g.ClosesAtMS).In(loc).Format(form))
	}
	if _, err := io.WriteString(out, lines); err != nil {
		return fmt.Errorf("standard output: %w", err)
	}
	return nil
}

func newContract() *cobra.Command {
	c := &cobra.Command{
		Use:   "contract",
		Short: "What tenants have agreed to about maintenance",
		Long:  "contract checks and keeps tenants' contracts. docs/maintenance-windows.md tells how they are written.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newContractCheck(), newContractSet(), newContractWithdraw(), newContractList(), newContractResume())
	return c
}

func newContractCheck() *cobra.Command {
	var at string
	var days int
	c := &cobra.Command{
		Use:     "check FILE",
		Short:   "Checks a contract and prints its next approved hours",
		Long:    "check reads a contract and prints the hours that it approves, in the tenant's zone and in UTC.\n\n" + exitHelp,
		Example: "  milldeck contract check portal.toml --days 14",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			const mostDays = 400 // the hours of a year, and more than a closed season
			now, err := instant(at)
			if err != nil {
				return usageError{fmt.Errorf("--at: %w", err)}
			}
			if days < 1 || days > mostDays {
				return usageError{fmt.Errorf("--days: %d is not within 1 to %d", days, mostDays)}
			}
			one, err := contract.Load(args[0])
			if err != nil {
				return err
			}
			return printHours(c.OutOrStdout(), one, now, days)
		},
	}
	c.Flags().StringVar(&at, "at", "", "from this time on, RFC 3339 (default now)")
	c.Flags().IntVar(&days, "days", 7, "how many days ahead")
	return c
}

func printHours(out io.Writer, one *contract.Contract, now int64, days int) error {
	approved, err := one.Calendar()
	if err != nil {
		return err
	}
	loc, err := time.LoadLocation(one.Zone)
	if err != nil {
		return fmt.Errorf("zone: %w", err)
	}
	list := approved.Between(now, now+int64(days)*24*time.Hour.Milliseconds())
	if len(list) == 0 {
		return errors.New("nothing is approved in this time")
	}
	for _, i := range list {
		from, until := time.UnixMilli(i.StartMS), time.UnixMilli(i.EndMS)
		if _, err := fmt.Fprintf(out, "%s to %s  (%s to %s UTC)\n", from.In(loc).Format("Mon 2006-01-02 15:04 MST"), until.In(loc).Format("Mon 15:04 MST"),
			from.UTC().Format("01-02 15:04"), until.UTC().Format("15:04")); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
	return nil
}
