package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
	"milldeck/internal/lab/report"
	"milldeck/internal/lab/sim"
)

func newLab() *cobra.Command {
	command := &cobra.Command{
		Use:   "lab",
		Short: "Tests a fleet on this machine: load, fault injection, rule checks and reports",
		Long: "lab runs experiments: a fleet of sidecars and servers under load, with scheduled faults and checked rules.\n" +
			"An experiment is a TOML file; experiments/ has examples, and docs/lab.md describes the keys and the faults.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newLabSim(), newLabRun(), newLabCompare(), newLabSweep(), newLabDiff(), newLabFaults(), newLabServer(),
		newLabSoak(), newLabSoakServer(), newLabSoakLaunch())
	return command
}

// outputFlags select where results are written.
type outputFlags struct {
	jsonPath, reportDir string
}

func (o *outputFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&o.jsonPath, "json", "", "write the result to this file as JSON (- for standard output)")
	command.Flags().StringVar(&o.reportDir, "report", "", "write a report with plots to this directory")
}

// write writes a result as the flags say, and its table to standard output unless the JSON is written there.
func (o *outputFlags) write(command *cobra.Command, result *lab.Result) error {
	if o.jsonPath != "-" {
		if err := report.WriteTable(command.OutOrStdout(), result); err != nil {
			return err
		}
	}
	if o.jsonPath != "" {
		if err := writeJSON(command.OutOrStdout(), o.jsonPath, result); err != nil {
			return err
		}
	}
	if o.reportDir != "" {
		return report.WriteReport(o.reportDir, result)
	}
	return nil
}

func writeJSON(out io.Writer, path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if path == "-" {
		_, err = out.Write(data)
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// errInterrupted is the error of a run that an interrupt ended.
var errInterrupted = errors.New("interrupted before the end")

// notJudgedError marks a run that does not show the experiment, because a fault was late. Its exit code is exitNotJudged.
type notJudgedError struct{ error }

func (e notJudgedError) Unwrap() error { return e.error }

// lateFaultError returns the error of a run in which faults were late, or nil.
func lateFaultError(result *lab.Result) error {
	if result.LateFaults == 0 {
		return nil
	}
	return notJudgedError{fmt.Errorf("%s, seed %d: not judged: %d fault(s) came or ended over %.0f ms late",
		result.Name, result.Seed, result.LateFaults, lab.MaxFaultLatenessMS)}
}

// violationError returns the error of a run that is not judged, violated rules, overloaded the machine or was interrupted, or
// nil.
func violationError(result *lab.Result) error {
	if err := lateFaultError(result); err != nil {
		return err
	}
	if result.ViolationCount > 0 {
		return fmt.Errorf("%s, seed %d: %d rule(s) broken (%s)", result.Name, result.Seed, result.ViolationCount, strings.Join(ruleNames(result), ", "))
	}
	if result.Overloaded {
		return fmt.Errorf(
			"%s: machine too slow for the load: %.0f ms late (99th percentile), %d requests sent too late; the sidecars are not judged",
			result.Name, result.Lateness, result.SkippedLate)
	}
	if result.CutShort {
		return errInterrupted
	}
	return nil
}

// ruleNames returns the rules that a run violated. If the machine was overloaded, only the control plane's rules count.
func ruleNames(result *lab.Result) []string {
	rules := lab.Rules
	if result.Overloaded {
		rules = lab.ControlPlaneRules
	}
	var names []string
	for _, rule := range rules {
		if result.ViolationsByRule[rule] > 0 {
			names = append(names, string(rule))
		}
	}
	return names
}

// planFlags are the flags that change how a plan is generated from an experiment.
type planFlags struct {
	seed    uint64
	without []string
	hotKeyFlags
}

func (f *planFlags) register(command *cobra.Command) {
	command.Flags().Uint64Var(&f.seed, "seed", 0, "random seed; it overrides the seed in the file")
	command.Flags().StringSliceVar(&f.without, "without", nil, "omit faults of these kinds")
	f.hotKeyFlags.register(command)
}

// plan reads an experiment and generates its plan.
func (f *planFlags) plan(path string) (*lab.Plan, error) {
	experiment, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	for _, kind := range f.without {
		if !slices.Contains(lab.FaultKinds(), kind) {
			return nil, usageError{fmt.Errorf("--without %s: unknown kind of fault, want one of %s",
				kind, strings.Join(lab.FaultKinds(), ", "))}
		}
		experiment.Faults = slices.DeleteFunc(experiment.Faults, func(fault lab.FaultSpec) bool { return fault.Kind == kind })
	}
	if experiment, err = f.apply(experiment); err != nil {
		return nil, err
	}
	return experiment.NewPlan(f.seed), nil
}

// simCommand holds the flags of `milldeck lab sim`.
type simCommand struct {
	planning     planFlags
	output       outputFlags
	controlPlane controlPlaneFlags
	policy       string
	workers      int
}

func newLabSim() *cobra.Command {
	var simulation simCommand
	command := &cobra.Command{
		Use:   "sim FILE",
		Short: "Simulates an experiment on a virtual clock, without sockets",
		Long: "sim runs the real decision module with models of the servers and clients, on a virtual clock and without\n" +
			"sockets. The same file and seed give the same bytes with any number of workers. If the experiment has a\n" +
			"control plane, sim simulates only the control plane, without requests, unless --policy is given;\n" +
			"docs/control-plane-simulation.md has the details.\n\n" + exitHelp,
		Example: "  milldeck lab sim experiments/fleet.toml --seed 3 --json out.json\n  milldeck lab sim experiments/fleet.toml --policy all",
		Args:    exactArgs(1),
		RunE:    simulation.run,
	}
	simulation.register(command)
	return command
}

func (s *simCommand) register(command *cobra.Command) {
	s.output.register(command)
	s.planning.register(command)
	command.Flags().StringVar(&s.policy, "policy", sim.PolicyModule,
		"balancing policy: "+strings.Join(sim.Policies(), ", ")+", or all to compare them")
	s.controlPlane.register(command)
	command.Flags().IntVar(&s.workers, "workers", 0,
		"sidecars simulated in parallel (default: one per core); the result does not depend on it")
}

// run simulates the experiment in args[0]: its control plane, or its requests with one or all policies.
func (s *simCommand) run(command *cobra.Command, args []string) error {
	plan, err := s.planning.plan(args[0])
	if err != nil {
		return err
	}
	if plan.Experiment.HasControlPlane() && !command.Flags().Changed("policy") {
		return s.controlPlane.simulate(command, plan, &s.output, s.workers)
	}
	policies := []string{s.policy}
	if s.policy == "all" {
		policies = sim.Policies()
	} else if !slices.Contains(sim.Policies(), s.policy) {
		return usageError{fmt.Errorf("--policy %s: unknown policy, want all or one of %s",
			s.policy, strings.Join(sim.Policies(), ", "))}
	}
	results, err := s.runPolicies(command, plan, policies)
	if err != nil {
		return err
	}
	if len(results) == 1 {
		return s.finishOne(command, results[0])
	}
	return s.finishComparison(command, results)
}

// runPolicies runs the plan once with each policy.
func (s *simCommand) runPolicies(command *cobra.Command, plan *lab.Plan, policies []string) ([]*lab.Result, error) {
	var results []*lab.Result
	for _, policy := range policies {
		options := sim.Options{Policy: policy, Workers: s.workers, Progress: simProgress(command, policy)}
		result, stats, err := sim.Run(command.Context(), plan, options)
		if err != nil {
			return nil, err
		}
		slog.Info("simulation completed", "component", "lab", "policy", policy, "events", stats.Events, "seconds", stats.Elapsed.Seconds(),
			"events_a_second", int(float64(stats.Events)/stats.Elapsed.Seconds()))
		results = append(results, result)
	}
	return results, nil
}

// finishOne writes a single result. Violations by a baseline policy are part of its result and not an error.
func (s *simCommand) finishOne(command *cobra.Command, result *lab.Result) error {
	if err := s.output.write(command, result); err != nil {
		return err
	}
	if s.policy != sim.PolicyModule {
		return nil
	}
	return violationError(result)
}

// finishComparison writes the results of several policies side by side.
func (s *simCommand) finishComparison(command *cobra.Command, results []*lab.Result) error {
	if s.output.jsonPath != "" {
		if err := writeJSON(command.OutOrStdout(), s.output.jsonPath, results); err != nil {
			return err
		}
	}
	if s.output.reportDir != "" {
		if err := report.WriteReport(s.output.reportDir, results[0]); err != nil {
			return err
		}
	}
	if s.output.jsonPath == "-" {
		return nil
	}
	return report.WriteComparison(command.OutOrStdout(), results)
}

func simProgress(command *cobra.Command, name string) func(float64) {
	if !isTerminal(command.ErrOrStderr()) {
		return nil
	}
	return func(done float64) {
		fmt.Fprintf(command.ErrOrStderr(), "\r%s %3.0f%%", name, 100*done)
		if done >= 1 {
			fmt.Fprint(command.ErrOrStderr(), "\r\x1b[K")
		}
	}
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
