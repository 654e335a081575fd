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
	"milldeck/internal/registry"
)

// currentOperator is the name of the operating system's user, for the record.
func currentOperator() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func newWindowPropose() *cobra.Command {
	c := asks("propose FILE", "Proposes a window; the controller plans it", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			request, _, err := loadWindowFile(args[0], false)
			if err != nil {
				return err
			}
			return writeWindowOperation(ctx, c, a, client, maintenance.Operation{
				Kind:        maintenance.OpPropose,
				Window:      request.Name,
				Operator:    currentOperator(),
				ServerUIDs:  request.ServerUIDs,
				WorkMS:      request.WorkMS,
				NotBeforeMS: request.NotBeforeMS,
			})
		})
	c.Example = `  milldeck window propose window.toml --replicas 127.0.0.1:8500

  # window.toml
  name = "disks-3"
  servers = ["s17", "s18"]
  work = "30m"
  after = "2026-06-10T12:00:00Z"`
	return c
}

// writeWindowOperation writes an operator's operation to the registry and prints its revision.
func writeWindowOperation(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, op maintenance.Operation) error {
	if err := op.Validate(); err != nil {
		return usageError{err}
	}
	result, err := client.WriteWindow(ctx, registry.WriteOptions{}, maintenance.Timestamp{}, op)
	if err != nil {
		return err
	}
	return a.show(c.OutOrStdout(), result, func(out io.Writer) error {
		line := fmt.Sprintf("done, revision %d", result.Revision)
		if result.Reason != "" {
			line += ": " + result.Reason
		}
		_, err := fmt.Fprintln(out, line)
		return err
	})
}

// newWindowHalt returns the command halt or resume: of a window, of a tenant's windows, or of all.
func newWindowHalt(kind maintenance.OperationKind, short string) *cobra.Command {
	var tenant, reason string
	c := asks(string(kind)+" [NAME]", short, 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			op := maintenance.Operation{Kind: kind, Operator: currentOperator(), Reason: reason}
			switch {
			case len(args) == 1:
				op.Scope = "window/" + args[0]
			case tenant != "":
				op.Scope = "tenant/" + tenant
			}
			return writeWindowOperation(ctx, c, a, client, op)
		})
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) > 1 || len(args) == 1 && tenant != "" {
			return usageError{fmt.Errorf("%s takes one name at most, or --tenant", c.CommandPath())}
		}
		return nil
	}
	c.Example = fmt.Sprintf(`  milldeck window %[1]s disks-3
  milldeck window %[1]s --tenant member-portal --why "rates announced"
  milldeck window %[1]s`, kind)
	c.Flags().StringVar(&tenant, "tenant", "", "only the windows of this tenant")
	c.Flags().StringVar(&reason, "why", "", "a reason, for the record")
	return c
}

// newWindowOperation returns the command that writes an operation of a kind on one window. It is called like the kind.
func newWindowOperation(kind maintenance.OperationKind, short string) *cobra.Command {
	var reason string
	c := asks(string(kind)+" NAME", short, 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			op := maintenance.Operation{Kind: kind, Window: args[0]}
			if kind == maintenance.OpCancel { // the only one that stores a reason
				op.Reason = reason
			}
			return writeWindowOperation(ctx, c, a, client, op)
		})
	c.Example = "  milldeck window " + string(kind) + " disks-3"
	c.Flags().StringVar(&reason, "why", "", "a reason, for the record")
	return c
}

func newWindowList() *cobra.Command {
	c := asks("list", "Prints windows and halts", 0,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, _ []string) error {
			view, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), view.Table, func(out io.Writer) error {
				table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				for _, window := range view.Table.Windows {
					fmt.Fprintf(table, "%s\t%s\t%d servers\t%s\t%s\n", window.Name, window.Stage, len(window.ServerUIDs),
						formatTimeMS(window.PlannedStartMS), window.Reason)
				}
				for _, scope := range slices.Sorted(maps.Keys(view.Table.Halts)) {
					fmt.Fprintf(table, "halted: %s\t%s\n", cmp.Or(scope, "all windows"), view.Table.Halts[scope])
				}
				if view.Table.ClockFault != "" {
					fmt.Fprintln(table, "in doubt:", view.Table.ClockFault)
				}
				return table.Flush()
			})
		})
	c.Example = "  milldeck window list\n  milldeck window list --json"
	return c
}

// formatTimeMS formats a time in Unix ms; 0 is "-".
func formatTimeMS(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newWindowShow() *cobra.Command {
	c := asks("show NAME", "Prints one window", 1,
		func(ctx context.Context, c *cobra.Command, a *asking, client *registry.Client, args []string) error {
			view, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			window := maintenance.Restore(view.Table).Window(args[0])
			if window == nil {
				return fmt.Errorf("there is no window %s", args[0])
			}
			return a.show(c.OutOrStdout(), window, func(out io.Writer) error {
				table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
				fmt.Fprintf(table, "%s\t%s\t%s\n", window.Name, window.Stage, window.Reason)
				for _, times := range []struct {
					name string
					at   int64
				}{
					{"begins", window.PlannedStartMS},
					{"closes", window.ClosesAtMS},
					{"out", window.DrainStartedAtMS},
					{"free", window.DrainedAtMS},
					{"returned", window.ReturnStartedAtMS},
					{"back", window.ReturnedAtMS},
				} {
					fmt.Fprintf(table, "%s\t%s\t\n", times.name, formatTimeMS(times.at))
				}
				for _, approval := range window.Approvals {
					fmt.Fprintf(table, "%s approves\t%s\tto %s\n", approval.Tenant, formatTimeMS(approval.OpensAtMS), formatTimeMS(approval.ClosesAtMS))
				}
				return table.Flush()
			})
		})
	c.Example = "  milldeck window show disks-3\n  milldeck window show disks-3 --json"
	return c
}
