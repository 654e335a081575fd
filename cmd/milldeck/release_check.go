package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/release/plan"
)

const (
	// maxViewBytes limits the file with a view of a fleet. A view with 100,000 units has about 30 MB.
	maxViewBytes = 64 << 20
	// maxNamesPrinted limits the units of a wave that a dry run prints by name.
	maxNamesPrinted = 8
)

// checkFlags are the flags of `milldeck release check`.
type checkFlags struct {
	viewPath string
	dryRun   bool
}

func newReleaseCheck() *cobra.Command {
	flags := &checkFlags{}
	registryFlags := &clientFlags{}
	command := &cobra.Command{
		Use:   "check PLAN",
		Short: "Checks a plan, and performs a dry run against a view of the fleet",
		Long: "check validates a plan and reports errors by file, line and key. For a dry run it reads the fleet from the\n" +
			"registry (--dry-run) or from a file (--view, the ledger's view with all its units). The dry run assigns the units\n" +
			"to waves, prints the capacity that remains and that warms up, and rejects a plan that the budgets can never allow.\n\n" +
			exitHelp,
		Example: "  milldeck release check plan.toml --dry-run\n  milldeck release check plan.toml --view ledger.json --json",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			path := args[0]
			p, err := plan.Load(path)
			if err != nil {
				return err
			}
			if flags.viewPath == "" && !flags.dryRun {
				_, err = fmt.Fprintf(command.OutOrStdout(), "%s: release %s, plan %s, %d waves\n", path, p.Name, p.Hash(), len(p.Waves))
				return err
			}
			view, err := flags.readView(command, registryFlags)
			if err != nil {
				return err
			}
			return showPreview(command.OutOrStdout(), registryFlags, plan.NewPreview(p, view.Units, view.Budgets))
		},
	}
	command.Flags().BoolVar(&flags.dryRun, "dry-run", false, "perform a dry run against the current fleet")
	command.Flags().StringVar(&flags.viewPath, "view", "",
		"file with a view of the ledger (JSON), for a dry run without the registry")
	registryFlags.addTo(command)
	return command
}

// readView reads the ledger's view from the file in --view, or from the registry if the flag is not set.
func (f *checkFlags) readView(command *cobra.Command, flags *clientFlags) (*disruption.View, error) {
	if f.viewPath != "" {
		view, err := readViewFile(f.viewPath)
		if err != nil {
			return nil, usageError{fmt.Errorf("--view: %w", err)}
		}
		return view, nil
	}
	view := &disruption.View{}
	err := flags.withClient(command, func(ctx context.Context, client *registry.Client) (err error) {
		*view, err = client.LedgerView(ctx, true, true)
		return err
	})
	return view, err
}

func readViewFile(path string) (*disruption.View, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxViewBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxViewBytes {
		return nil, fmt.Errorf("%s: file is larger than %d bytes", path, maxViewBytes)
	}
	view := &disruption.View{}
	if err := json.Unmarshal(data, view); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(view.Units) == 0 {
		return nil, errors.New(path + ": the view has no units")
	}
	return view, nil
}

// showPreview prints the result of a dry run as JSON or text, and returns an error if the plan is infeasible.
func showPreview(out io.Writer, flags *clientFlags, preview *plan.Preview) error {
	err := flags.print(out, preview, func(w io.Writer) error { return printPreview(w, preview) })
	if err != nil {
		return err
	}
	if count := len(preview.Infeasible); count > 0 {
		return fmt.Errorf("release %s is infeasible as planned: %d reasons", preview.Name, count)
	}
	return nil
}

// printPreview prints the result of a dry run as text.
func printPreview(out io.Writer, preview *plan.Preview) error {
	w := newTable(out)
	fmt.Fprintf(w, "release %s, plan %s: at most %d out at once\n", preview.Name, preview.Hash, preview.MaxUnavailable)
	fmt.Fprintln(w, "wave\tunits\tupdated after it\tbake\twarming up\tnames")
	for i := range preview.Waves {
		printPreviewWave(w, i, &preview.Waves[i])
	}
	for _, zone := range slices.Sorted(maps.Keys(preview.RemainingCapacity)) {
		capacity := preview.RemainingCapacity[zone]
		name := "zone " + zone
		if zone == "" {
			name = "the fleet"
		}
		fmt.Fprintf(w, "%s keeps %.4g of a capacity of %.4g\n", name, capacity.Remaining, capacity.Total)
	}
	for _, reason := range preview.Infeasible {
		fmt.Fprintln(w, "refused:", reason)
	}
	return w.Flush()
}

func printPreviewWave(w io.Writer, i int, wave *plan.PreviewWave) {
	names := wave.Units
	more := ""
	if len(names) > maxNamesPrinted {
		more = fmt.Sprintf(" and %d more", len(names)-maxNamesPrinted)
		names = names[:maxNamesPrinted]
	}
	fmt.Fprintf(w, "%d\t%d\t%.0f%%\t%v s\t%.4g\t%v%s\n",
		i, len(wave.Units), 100*wave.UpdatedShare, wave.BakeSeconds, wave.WarmUpCapacity, names, more)
}
