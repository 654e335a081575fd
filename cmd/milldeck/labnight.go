package main

import (
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
	"milldeck/internal/lab/controlplane"
	"milldeck/internal/lab/controlplane/batch"
)

// nightFlags are those of nights of the control plane on the virtual clock.
type nightFlags struct {
	seeds             string
	sidecars, servers int
	releases          int
}

func (n *nightFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&n.seeds, "seeds", "", "with a control plane: play the nights of these seeds, as 1-300 (default: the file's or --seed)")
	c.Flags().IntVar(&n.sidecars, "sidecars", 1000, "with a control plane: sidecars of the fleet, 16 to 10,000")
	c.Flags().IntVar(&n.servers, "servers", 2000, "with a control plane: servers of the fleet, 160 to 10,000")
	c.Flags().IntVar(&n.releases, "releases", 0, "with a control plane: also play so many releases of harmful and of healthy versions")
}

// play plays nights and writes what came of them; it is an error where a rule was broken.
func (n *nightFlags) play(c *cobra.Command, p *lab.Plan, out *outputs, workers int) error {
	first, last, err := n.span(p.Seed)
	if err != nil {
		return err
	}
	if n.sidecars < 16 || n.sidecars > 10_000 || n.servers < 160 || n.servers > 10_000 || n.releases < 0 || n.releases > 10_000 {
		return usageError{fmt.Errorf("%d sidecars, %d servers, %d releases: beyond what can be played", n.sidecars, n.servers, n.releases)}
	}
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	r, err := batch.Run(c.Context(), p.File.Name, first, last, n.releases, controlplane.Options{Sidecars: n.sidecars, Servers: n.servers}, workers)
	if err != nil {
		return err
	}
	if out.json != "-" {
		if err := nightTable(c.OutOrStdout(), r); err != nil {
			return err
		}
	}
	if out.json != "" {
		if err := writeJSON(c.OutOrStdout(), out.json, r); err != nil {
			return err
		}
	}
	if f := r.Figures; f.BrokenRules+f.ReleaseRules > 0 {
		return fmt.Errorf("%s: %d rule(s) broken, in the nights of seeds %v", r.Name, f.BrokenRules+f.ReleaseRules, f.BrokenNights)
	}
	return nil
}

const mostNights = 100_000

func (n *nightFlags) span(seed uint64) (first, last uint64, err error) {
	if n.seeds == "" {
		return seed, seed, nil
	}
	from, to, is := strings.Cut(n.seeds, "-")
	if !is {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 63)
	if err == nil {
		last, err = strconv.ParseUint(to, 10, 63)
	}
	if err != nil || last < first || last-first >= mostNights {
		return 0, 0, usageError{fmt.Errorf("--seeds %s: not A-B with A at most B and at most %d seeds", n.seeds, mostNights)}
	}
	return first, last, nil
}

func nightTable(w io.Writer, r *batch.Result) error {
	f := &r.Figures
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row(r.Name, "%d nights of the control plane, %.0f s in all, %d writes", f.Nights, f.Seconds, f.Writes)
	row("rules broken", "%d", f.BrokenRules+f.ReleaseRules)
	row("kept off", "%.0f s by all sidecars, %.3f s outside approved hours", f.KeptS, f.OutsideS)
	row("windows", "%.4f of %d that could fit were held", f.HeldShare, f.Fit)
	if f.Harmful > 0 {
		row("harmful versions", "%.4f of %d stopped under a tenth of the fleet", f.Early, f.Harmful)
		row("healthy versions", "%.4f of %d halted", f.FalseHalts, f.Healthy)
		row("way back", "%.2f of the time forward, median %.2f", f.WayBack, f.WayBackMid)
	}
	for _, n := range r.Nights {
		for i, b := range n.First {
			if i == 3 {
				break
			}
			row("broken", "seed %d at %.1f s: %s: %s", n.Seed, b.AtS, b.Rule, b.What)
		}
		if n.Broken > 0 && len(r.Nights) == 1 {
			for _, fault := range n.Faults {
				row("fault", "%s", fault)
			}
		}
	}
	return t.Flush()
}
