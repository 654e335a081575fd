package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os/user"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/maintenance"
	"milldeck/internal/registry"
)

// currentOperator returns the name of the operating system's user, which is stored with operations.
func currentOperator() string {
	if current, err := user.Current(); err == nil && current.Username != "" {
		return current.Username
	}
	return "unknown"
}

func newWindowPropose() *cobra.Command {
	command := newClientCommand("propose FILE", "Proposes a window; the controller plans it", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			request, _, err := loadWindowFile(args[0], false)
			if err != nil {
				return err
			}
			return writeWindowOperation(ctx, command, flags, client, maintenance.Operation{
				Kind:        maintenance.OpPropose,
				Window:      request.Name,
				Operator:    currentOperator(),
				ServerUIDs:  request.ServerUIDs,
				WorkMS:      request.WorkMS,
				NotBeforeMS: request.NotBeforeMS,
			})
		})
	command.Example = `  milldeck window propose window.toml --replicas 127.0.0.1:8500

  # window.toml
  name = "disks-3"
  servers = ["s17", "s18"]
  work = "30m"
  after = "2026-06-10T12:00:00Z"`
	return command
}

// writeWindowOperation writes an operator's operation to the registry and prints the resulting revision.
func writeWindowOperation(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, op maintenance.Operation) error {
	if err := op.Validate(); err != nil {
		return usageError{err}
	}
	result, err := client.WriteWindow(ctx, registry.WriteOptions{}, maintenance.Timestamp{}, op)
	if err != nil {
		return err
	}
	return flags.print(command.OutOrStdout(), result, func(out io.Writer) error {
		line := fmt.Sprintf("done, revision %d", result.Revision)
		if result.Reason != "" {
			line += ": " + result.Reason
		}
		_, err := fmt.Fprintln(out, line)
		return err
	})
}

// newWindowHalt returns the command halt or resume, which applies to a window, to a tenant's windows or to all windows.
func newWindowHalt(kind maintenance.OperationKind, short string) *cobra.Command {
	var tenant, reason string
	command := newClientCommand(string(kind)+" [NAME]", short, 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			op := maintenance.Operation{Kind: kind, Operator: currentOperator(), Reason: reason}
			switch {
			case len(args) == 1:
				op.Scope = "window/" + args[0]
			case tenant != "":
				op.Scope = "tenant/" + tenant
			}
			return writeWindowOperation(ctx, command, flags, client, op)
		})
	command.Args = func(command *cobra.Command, args []string) error {
		if len(args) > 1 || len(args) == 1 && tenant != "" {
			return usageError{fmt.Errorf("%s takes one name at most, or --tenant", command.CommandPath())}
		}
		return nil
	}
	command.Example = fmt.Sprintf(`  milldeck window %[1]s disks-3
  milldeck window %[1]s --tenant member-portal --why "rates announced"
  milldeck window %[1]s`, kind)
	command.Flags().StringVar(&tenant, "tenant", "", "apply only to the windows of this tenant")
	command.Flags().StringVar(&reason, "why", "", "a reason, for the record")
	return command
}

// newWindowOperation returns a command that applies an operation to one window. The command has the name of the operation kind.
func newWindowOperation(kind maintenance.OperationKind, short string) *cobra.Command {
	var reason string
	command := newClientCommand(string(kind)+" NAME", short, 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			op := maintenance.Operation{Kind: kind, Window: args[0]}
			if kind == maintenance.OpCancel { // only a cancellation stores a reason
				op.Reason = reason
			}
			return writeWindowOperation(ctx, command, flags, client, op)
		})
	command.Example = "  milldeck window " + string(kind) + " disks-3"
	command.Flags().StringVar(&reason, "why", "", "a reason, for the record")
	return command
}

func newWindowList() *cobra.Command {
	command := newClientCommand("list", "Prints windows and halts", 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
			view, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), view.Table, func(out io.Writer) error { return writeWindows(out, view.Table) })
		})
	command.Example = "  milldeck window list\n  milldeck window list --json"
	return command
}

// writeWindows writes a line for each window, each halt and a clock fault, if any.
func writeWindows(out io.Writer, snapshot *maintenance.Snapshot) error {
	table := newTable(out)
	for _, window := range snapshot.Windows {
		fmt.Fprintf(table, "%s\t%s\t%d servers\t%s\t%s\n", window.Name, window.Stage, len(window.ServerUIDs),
			formatTimeMS(window.PlannedStartMS), window.Reason)
	}
	for _, scope := range slices.Sorted(maps.Keys(snapshot.Halts)) {
		fmt.Fprintf(table, "halted: %s\t%s\n", cmp.Or(scope, "all windows"), snapshot.Halts[scope])
	}
	if snapshot.ClockFault != "" {
		fmt.Fprintln(table, "in doubt:", snapshot.ClockFault)
	}
	return table.Flush()
}

// formatTimeMS formats a time in Unix ms. It returns "-" for 0.
func formatTimeMS(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newWindowShow() *cobra.Command {
	command := newClientCommand("show NAME", "Prints one window", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			view, err := client.Windows(ctx, true)
			if err != nil {
				return err
			}
			window := maintenance.Restore(view.Table).Window(args[0])
			if window == nil {
				return fmt.Errorf("there is no window %s", args[0])
			}
			return flags.print(command.OutOrStdout(), window, func(out io.Writer) error { return writeWindow(out, window) })
		})
	command.Example = "  milldeck window show disks-3\n  milldeck window show disks-3 --json"
	return command
}

// writeWindow writes a window's stage, the times of its life cycle, and the interval that each contract approves.
func writeWindow(out io.Writer, window *maintenance.Window) error {
	table := newTable(out)
	fmt.Fprintf(table, "%s\t%s\t%s\n", window.Name, window.Stage, window.Reason)
	for _, event := range []struct {
		name string
		atMS int64
	}{
		{"planned start", window.PlannedStartMS},
		{"close", window.ClosesAtMS},
		{"drain started", window.DrainStartedAtMS},
		{"drained", window.DrainedAtMS},
		{"return started", window.ReturnStartedAtMS},
		{"returned", window.ReturnedAtMS},
	} {
		fmt.Fprintf(table, "%s\t%s\t\n", event.name, formatTimeMS(event.atMS))
	}
	for _, approval := range window.Approvals {
		fmt.Fprintf(table, "%s approves\t%s\tto %s\n", approval.Tenant, formatTimeMS(approval.OpensAtMS), formatTimeMS(approval.ClosesAtMS))
	}
	return table.Flush()
}
