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
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
)

func newRelease() *cobra.Command {
	c := &cobra.Command{
		Use:   "release",
		Short: "Releases: another version, wave by wave, within the fleet's budgets",
		Long:  "release moves servers or sidecars to another version. docs/release.md tells what is promised.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newReleaseCheck(), newReleaseStart(), newReleaseStatus(),
		newReleaseTell(release.CommandHalt, "Halts a release: nothing further goes out, what is out comes to rest"),
		newReleaseTell(release.CommandResume, "Has a halted release go on"),
		newReleaseTell(release.CommandRollback, "Sends a release back to the version that its units had"),
		newReleaseTell(release.CommandFinalize, "Makes a release that is over final: it goes back no more, and its units are free"))
	return c
}

// maxView bounds a view of a fleet that is read from a file, in bytes: 100,000 units have about 30 MB.
const maxView = 64 << 20

func newReleaseCheck() *cobra.Command {
	var view string
	var dryRun bool
	a := &asking{}
	c := &cobra.Command{
		Use:   "check PLAN",
		Short: "Checks a plan, and plays it dry against a view of the fleet",
		Long: "check reads a plan and says what is wrong with it, by file, line and key. With --dry-run it asks the list service for\n" +
			"the fleet, with --view it reads it from a file (the ledger as the list service shows it, with all its units): it\n" +
			"draws the waves, says what capacity stays and what is warmed anew, and refuses what budgets can never allow.\n\n" + exitHelp,
		Example: "  milldeck release check plan.toml --dry-run\n  milldeck release check plan.toml --view ledger.json --json",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := plan.Load(args[0])
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if view == "" && !dryRun {
				_, err = fmt.Fprintf(out, "%s: release %s, plan %s, %d waves\n", args[0], p.Name, p.Hash(), len(p.Waves))
				return err
			}
			v := &disruption.View{}
			if view != "" {
				if v, err = readView(view); err != nil {
					return usageError{fmt.Errorf("--view: %w", err)}
				}
			} else if err = a.with(c, func(ctx context.Context, client *registry.Client) error {
				*v, err = client.LedgerView(ctx, true, true)
				return err
			}); err != nil {
				return err
			}
			dry := plan.NewPreview(p, v.Units, v.Budgets)
			if err := a.show(out, dry, func(w io.Writer) error { return writeDry(w, dry) }); err != nil {
				return err
			}
			if n := len(dry.Infeasible); n > 0 {
				return fmt.Errorf("release %s can never be as it is planned: %d reasons", p.Name, n)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "play the plan dry against the fleet as it is")
	c.Flags().StringVar(&view, "view", "", "file with the ledger's view (JSON), for a dry run without the list service")
	a.flags(c)
	return c
}

func readView(path string) (*disruption.View, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxView+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxView {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxView)
	}
	v := &disruption.View{}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(v.Units) == 0 {
		return nil, errors.New(path + ": it has no units")
	}
	return v, nil
}

// writeDry prints a dry run for people.
func writeDry(out io.Writer, dry *plan.Preview) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "release %s, plan %s: at most %d out at once\n", dry.Name, dry.Hash, dry.MaxUnavailable)
	fmt.Fprintln(w, "wave\tunits\tmoved after it\tbake\twarmed anew\tnames")
	for i, wave := range dry.Waves {
		names := wave.Units
		more := ""
		if len(names) > 8 {
			more = fmt.Sprintf(" and %d more", len(names)-8)
			names = names[:8]
		}
		fmt.Fprintf(w, "%d\t%d\t%.0f%%\t%v s\t%.4g\t%v%s\n", i, len(wave.Units), 100*wave.UpdatedShare, wave.BakeSeconds, wave.WarmUpCapacity, names, more)
	}
	for _, zone := range slices.Sorted(maps.Keys(dry.RemainingCapacity)) {
		c, name := dry.RemainingCapacity[zone], "zone "+zone
		if zone == "" {
			name = "the fleet"
		}
		fmt.Fprintf(w, "%s keeps %.4g of a capacity of %.4g\n", name, c.Remaining, c.Total)
	}
	for _, why := range dry.Infeasible {
		fmt.Fprintln(w, "refused:", why)
	}
	return w.Flush()
}
