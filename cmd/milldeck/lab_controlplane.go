package main

import (
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
	"milldeck/internal/lab/controlplane"
	"milldeck/internal/lab/controlplane/batch"
)

// controlPlaneFlags select the simulations of the control plane.
type controlPlaneFlags struct {
	seeds             string
	sidecars, servers int
	releases          int
}

func (f *controlPlaneFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.seeds, "seeds", "",
		"with a control plane: range of seeds, such as 1-300 (default: --seed or the file's seed)")
	command.Flags().IntVar(&f.sidecars, "sidecars", 1000, "with a control plane: number of sidecars, 16 to 10,000")
	command.Flags().IntVar(&f.servers, "servers", 2000, "with a control plane: number of servers, 160 to 10,000")
	command.Flags().IntVar(&f.releases, "releases", 0,
		"with a control plane: also simulate this many releases each of regressed and of healthy versions")
}

// Bounds of a simulation.
const (
	minSidecars = 16
	maxSidecars = 10_000
	minServers  = 160
	maxServers  = 10_000
	maxReleases = 10_000
)

// validate checks the size of a simulation.
func (f *controlPlaneFlags) validate() error {
	valid := f.sidecars >= minSidecars && f.sidecars <= maxSidecars &&
		f.servers >= minServers && f.servers <= maxServers &&
		f.releases >= 0 && f.releases <= maxReleases
	if !valid {
		return usageError{fmt.Errorf("%d sidecars, %d servers, %d releases: outside the limits of a simulation",
			f.sidecars, f.servers, f.releases)}
	}
	return nil
}

// simulate runs the simulations and writes their results. It returns an error if a rule was violated.
func (f *controlPlaneFlags) simulate(command *cobra.Command, plan *lab.Plan, output *outputFlags, workers int) error {
	firstSeed, lastSeed, err := f.seedRange(plan.Seed)
	if err != nil {
		return err
	}
	if err := f.validate(); err != nil {
		return err
	}
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	options := controlplane.Options{Sidecars: f.sidecars, Servers: f.servers}
	result, err := batch.Run(command.Context(), plan.Experiment.Name, firstSeed, lastSeed, f.releases, options, workers)
	if err != nil {
		return err
	}
	if output.jsonPath != "-" {
		if err := writeControlPlaneTable(command.OutOrStdout(), result); err != nil {
			return err
		}
	}
	if output.jsonPath != "" {
		if err := writeJSON(command.OutOrStdout(), output.jsonPath, result); err != nil {
			return err
		}
	}
	if summary := result.Summary; summary.Violations+summary.RolloutViolations > 0 {
		return fmt.Errorf("%s: %d rule(s) broken, in the simulations of seeds %v", result.Name, summary.Violations+summary.RolloutViolations, summary.FailedSeeds)
	}
	return nil
}

// maxSimulations limits the number of seeds of one command.
const maxSimulations = 100_000

// seedRange returns the first and last seed of --seeds, or the given seed if the flag is not set.
func (f *controlPlaneFlags) seedRange(seed uint64) (first, last uint64, err error) {
	if f.seeds == "" {
		return seed, seed, nil
	}
	from, to, isRange := strings.Cut(f.seeds, "-")
	if !isRange {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 63)
	if err == nil {
		last, err = strconv.ParseUint(to, 10, 63)
	}
	if err != nil || last < first || last-first >= maxSimulations {
		return 0, 0, usageError{fmt.Errorf("--seeds %s: want A-B with A at most B, and at most %d seeds",
			f.seeds, maxSimulations)}
	}
	return first, last, nil
}

// maxListedViolations limits the violations that are printed per simulation.
const maxListedViolations = 3

func writeControlPlaneTable(w io.Writer, result *batch.Result) error {
	summary := &result.Summary
	table := newTable(w)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row(result.Name, "%d simulations of the control plane, %.0f s in all, %d writes", summary.Simulations, summary.SimulatedSeconds, summary.Writes)
	row("rules broken", "%d", summary.Violations+summary.RolloutViolations)
	row("excluded", "%.0f s by all sidecars, %.3f s outside approved hours", summary.ExcludedSeconds, summary.ExcludedOutsideHoursSeconds)
	row("windows", "%.4f of %d feasible ones were completed", summary.CompletedWindowShare, summary.FeasibleWindows)
	if summary.RegressedRollouts > 0 {
		row("regressed versions", "%.4f of %d stopped under a tenth of the fleet", summary.StoppedEarlyShare, summary.RegressedRollouts)
		row("healthy versions", "%.4f of %d halted", summary.FalseHaltShare, summary.HealthyRollouts)
		row("rollback", "at most %.2f of the rollout's duration, median %.2f", summary.MaxRollbackRatio, summary.MedianRollbackRatio)
	}
	for _, simulation := range result.Simulations {
		for i, violation := range simulation.FirstViolations {
			if i == maxListedViolations {
				break
			}
			row("broken", "seed %d at %.1f s: %s: %s", simulation.Seed, violation.AtS, violation.Rule, violation.Detail)
		}
		if simulation.Violations > 0 && len(result.Simulations) == 1 {
			for _, fault := range simulation.Faults {
				row("fault", "%s", fault)
			}
		}
	}
	return table.Flush()
}
