package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
	"milldeck/internal/lab/report"
	"milldeck/internal/lab/sim"
)

// seedFlags are the flags of commands that run an experiment with many seeds, simulated or live.
type seedFlags struct {
	liveFlags
	hotKeyFlags
	seeds, mode, policy string
}

func (f *seedFlags) register(command *cobra.Command) {
	f.liveFlags.register(command)
	f.hotKeyFlags.register(command)
	command.Flags().StringVar(&f.seeds, "seeds", "1-10", "seeds, such as 1-20 or 3,5,8")
	command.Flags().StringVar(&f.mode, "mode", "sim", "sim or run")
	command.Flags().StringVar(&f.policy, "policy", sim.PolicyModule, "balancing policy in sim")
}

type planRunner func(context.Context, *lab.Plan) (*lab.Result, error)

// load returns the experiment, the seeds, and the function that runs a plan in the selected mode.
func (f *seedFlags) load(path string) (*lab.Experiment, []uint64, planRunner, error) {
	seeds, err := parseSeeds(f.seeds)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	var runPlan planRunner
	switch {
	case !slices.Contains(sim.Policies(), f.policy):
		return nil, nil, nil, usageError{fmt.Errorf("--policy %s: unknown policy, want one of %s",
			f.policy, strings.Join(sim.Policies(), ", "))}
	case f.mode == "run":
		runPlan = func(ctx context.Context, plan *lab.Plan) (*lab.Result, error) { return f.runPlan(ctx, plan, nil) }
	case f.mode == "sim":
		runPlan = func(ctx context.Context, plan *lab.Plan) (*lab.Result, error) {
			result, _, err := sim.Run(ctx, plan, sim.Options{Policy: f.policy})
			return result, err
		}
	default:
		return nil, nil, nil, usageError{fmt.Errorf("--mode %s: not sim or run", f.mode)}
	}
	experiment, err := lab.Load(path)
	if err == nil {
		experiment, err = f.apply(experiment)
	}
	return experiment, seeds, runPlan, err
}

func newLabSweep() *cobra.Command {
	var flags seedFlags
	var path string
	command := &cobra.Command{
		Use:   "sweep FILE",
		Short: "Runs an experiment with many seeds",
		Long: "sweep runs an experiment with many seeds and shows the worst seed. --json appends each result to a file, one\n" +
			"JSON object per line; a repeated command skips the seeds in the file, and so continues an interrupted sweep.\n\n" +
			exitHelp + notJudgedHelp,
		Example: "  milldeck lab sweep experiments/fleet.toml --seeds 1-20 --json sweep.jsonl",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			experiment, seeds, runPlan, err := flags.load(args[0])
			if err != nil {
				return err
			}
			sweep := seedSweep{experiment: experiment, path: path, output: command.OutOrStdout(), runPlan: runPlan}
			return sweep.run(command.Context(), seeds)
		},
	}
	flags.register(command)
	command.Flags().StringVar(&path, "json", "", "file of results, one per line; seeds with a result there are not run again")
	return command
}

// maxSeeds limits each range of seeds.
const maxSeeds = 100_000

func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		from, to, isRange := strings.Cut(part, "-")
		first, err := strconv.ParseUint(from, 10, 63)
		last := first
		if err == nil && isRange {
			last, err = strconv.ParseUint(to, 10, 63)
		}
		if err != nil || first == 0 || last < first || last-first >= maxSeeds {
			return nil, fmt.Errorf("--seeds %s: want seeds from 1 on, such as 1-20 or 3,5,8", text)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// seedSweep runs one experiment with many seeds. If path is set, it appends each result to that file, and reuses the
// results in the file.
type seedSweep struct {
	experiment *lab.Experiment
	path       string
	output     io.Writer
	runPlan    planRunner
}

func (s *seedSweep) run(ctx context.Context, seeds []uint64) error {
	earlierResults := map[uint64]*lab.Result{}
	var resultFile *os.File
	if s.path != "" {
		var err error
		if resultFile, err = s.resume(earlierResults); err != nil {
			return err
		}
		defer resultFile.Close()
	}
	var worst *lab.Result
	violationCount, servedShareSum := 0, 0.0
	var notJudged error // of the first run that is not judged
	for i, seed := range seeds {
		started := time.Now()
		result, reused := earlierResults[seed]
		source := "from the file"
		if !reused {
			var err error
			result, err = s.runSeed(ctx, seed, resultFile)
			if errors.Is(err, errInterrupted) {
				return fmt.Errorf("interrupted after %d of %d seeds; with --json, the same command continues the sweep",
					i, len(seeds))
			}
			if err != nil {
				return err
			}
			source = fmt.Sprintf("%.1f s", time.Since(started).Seconds())
		}
		fmt.Fprintf(s.output, "%4d/%d  seed %-6d  worth %.4f  p99 %8.1f ms  lost %4d  rules broken %d  (%s)\n",
			i+1, len(seeds), seed, result.WeightedServedShare, result.P99, result.Unanswered, result.ViolationCount, source)
		if worst == nil || isWorse(result, worst) {
			worst = result
		}
		violationCount += result.ViolationCount
		servedShareSum += result.WeightedServedShare
		if notJudged == nil {
			notJudged = lateFaultError(result)
		}
	}
	fmt.Fprintf(s.output, "worth served %.4f in the mean; worst seed %d: worth %.4f, %d rule(s) broken\n",
		servedShareSum/float64(len(seeds)), worst.Seed, worst.WeightedServedShare, worst.ViolationCount)
	if violationCount > 0 {
		return fmt.Errorf("%s: %d rule(s) broken", s.experiment.Name, violationCount)
	}
	return notJudged
}

// runSeed runs one seed and appends the result to the file, which may be nil. It returns errInterrupted if ctx was
// cancelled.
func (s *seedSweep) runSeed(ctx context.Context, seed uint64, resultFile *os.File) (*lab.Result, error) {
	result, err := s.runPlan(ctx, s.experiment.NewPlan(seed))
	switch {
	case err != nil:
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	case ctx.Err() != nil:
		return nil, errInterrupted
	case resultFile == nil:
		return result, nil
	}
	return result, json.NewEncoder(resultFile).Encode(result)
}

// isWorse reports whether a result has more violations than another, or as many and a smaller weighted served share.
func isWorse(result, other *lab.Result) bool {
	if result.ViolationCount != other.ViolationCount {
		return result.ViolationCount > other.ViolationCount
	}
	return result.WeightedServedShare < other.WeightedServedShare
}

// resume reads the results of an earlier sweep, removes an incomplete last line, and returns the file open for appending.
func (s *seedSweep) resume(earlierResults map[uint64]*lab.Result) (*os.File, error) {
	resultFile, err := os.OpenFile(s.path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(resultFile)
	completeLength := int64(strings.LastIndexByte(string(data), '\n') + 1)
	if err == nil {
		err = resultFile.Truncate(completeLength)
	}
	if err == nil {
		_, err = resultFile.Seek(completeLength, io.SeekStart)
	}
	if err == nil && completeLength > 0 {
		var results []*lab.Result
		if results, err = report.ReadResults(s.path); err == nil {
			for _, result := range results {
				if result.Name != s.experiment.Name {
					err = usageError{fmt.Errorf("%s holds results of %s, not of %s", s.path, result.Name, s.experiment.Name)}
				}
				earlierResults[result.Seed] = result
			}
		}
	}
	if err != nil {
		resultFile.Close()
		return nil, err
	}
	return resultFile, nil
}

func newLabDiff() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "diff A.json B.json",
		Short: "Compares two results, or two sweeps seed by seed",
		Long: "diff compares results that --json wrote. Results with the same seed form a pair. For several pairs, it\n" +
			"prints the 95% confidence interval of the mean difference.\n\n" + exitHelp,
		Args: exactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			before, err := report.ReadResults(args[0])
			if err != nil {
				return usageError{err}
			}
			after, err := report.ReadResults(args[1])
			if err != nil {
				return usageError{err}
			}
			differences, pairs, err := report.Compare(before, after)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), "-", map[string]any{"pairs": pairs, "differences": differences})
			}
			return report.WriteDiff(command.OutOrStdout(), differences, pairs)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return command
}

func newLabFaults() *cobra.Command {
	var flags seedFlags
	command := &cobra.Command{
		Use:   "faults FILE",
		Short: "Runs an experiment with each of its kinds of fault alone, and counts the violations",
		Long: "faults runs an experiment with each of its kinds of fault alone, with several seeds, and prints a table of the\n" +
			"violations of each rule by kind of fault.\n\n" + exitHelp + notJudgedHelp,
		Example: "  milldeck lab faults experiments/faults.toml --seeds 1-10",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			experiment, seeds, runPlan, err := flags.load(args[0])
			if err != nil {
				return err
			}
			return writeFaultTable(command.Context(), command.OutOrStdout(), experiment, seeds, runPlan)
		},
	}
	flags.register(command)
	return command
}

// writeFaultTable runs each kind of fault alone and writes one row of a Markdown table for it.
func writeFaultTable(ctx context.Context, w io.Writer, experiment *lab.Experiment, seeds []uint64, runPlan planRunner) error {
	byKind := map[string][]lab.FaultSpec{}
	for _, fault := range experiment.Faults {
		byKind[fault.Kind] = append(byKind[fault.Kind], fault)
	}
	fmt.Fprint(w, "| fault | worth served | worst seed |")
	for _, rule := range experiment.ApplicableRules() {
		fmt.Fprintf(w, " %s |", rule)
	}
	fmt.Fprintf(w, "\n| --- | --- | --- |%s\n", strings.Repeat(" --- |", len(experiment.ApplicableRules())))
	violationCount := 0
	for _, kind := range lab.FaultKinds() {
		if len(byKind[kind]) == 0 {
			continue
		}
		withKind := *experiment
		withKind.Faults = byKind[kind]
		summary, err := summarizeSeeds(ctx, &withKind, seeds, runPlan)
		if err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		violationCount += summary.violationCount
		fmt.Fprintf(w, "| `%s` | %.4f | %.4f |", kind, summary.meanServedShare, summary.worstServedShare)
		for _, rule := range experiment.ApplicableRules() {
			fmt.Fprintf(w, " %d |", summary.violationsByRule[rule])
		}
		fmt.Fprintln(w)
	}
	if violationCount > 0 {
		return fmt.Errorf("%s: %d rule(s) broken", experiment.Name, violationCount)
	}
	return nil
}

// seedSummary summarizes the results of one experiment over several seeds. Shares are weighted by priority.
type seedSummary struct {
	meanServedShare  float64
	worstServedShare float64
	violationsByRule map[lab.Rule]int
	violationCount   int
}

// summarizeSeeds runs an experiment with all seeds. It returns errInterrupted if ctx is cancelled before the end.
func summarizeSeeds(ctx context.Context, experiment *lab.Experiment, seeds []uint64, runPlan planRunner) (*seedSummary, error) {
	summary := &seedSummary{worstServedShare: 1, violationsByRule: map[lab.Rule]int{}}
	servedShareSum := 0.0
	for _, seed := range seeds {
		result, err := runPlan(ctx, experiment.NewPlan(seed))
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", seed, err)
		}
		if ctx.Err() != nil {
			return nil, errInterrupted
		}
		if err := lateFaultError(result); err != nil {
			return nil, err
		}
		servedShareSum += result.WeightedServedShare
		summary.worstServedShare = min(summary.worstServedShare, result.WeightedServedShare)
		for rule, count := range result.ViolationsByRule {
			summary.violationsByRule[rule] += count
			summary.violationCount += count
		}
	}
	summary.meanServedShare = servedShareSum / float64(len(seeds))
	return summary, nil
}
