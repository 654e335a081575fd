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
		Long: "lab plays experiments: a fleet of sidecars and servers under load, with scheduled faults and rules that are\n" +
			"checked. An experiment is a TOML file, as those in experiments/; docs/lab.md describes its keys and the faults.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newLabSim(), newLabRun(), newLabCompare(), newLabSweep(), newLabDiff(), newLabFaults(), newLabServer(),
		newLabSoak(), newLabSoakServer(), newLabSoakLaunch())
	return command
}

// outputFlags say where results go.
type outputFlags struct {
	jsonPath, reportDir string
}

func (o *outputFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&o.jsonPath, "json", "", "write the result to this file as JSON (- for standard output)")
	command.Flags().StringVar(&o.reportDir, "report", "", "write a report with plots to this folder")
}

// write puts a result where the flags say, and its table on standard output unless the JSON goes there.
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

// errCutShort is the error of a run that an interrupt ended.
var errCutShort = errors.New("cut short")

// violationError is the error of a run whose sidecars broke rules, or that could not be judged.
func violationError(result *lab.Result) error {
	if result.ViolationCount > 0 {
		return fmt.Errorf("%s, seed %d: %d rule(s) broken (%s)", result.Name, result.Seed, result.ViolationCount, strings.Join(ruleNames(result), ", "))
	}
	if result.Overloaded {
		return fmt.Errorf("%s: this machine cannot play the load: it was %.0f ms late (99th percentile) and sent %d requests too late; the sidecars are not judged",
			result.Name, result.Lateness, result.SkippedLate)
	}
	if result.CutShort {
		return errCutShort
	}
	return nil
}

// ruleNames are the rules that a run broke, of those that count.
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

// planFlags are the flags that change how a plan is drawn from an experiment.
type planFlags struct {
	seed    uint64
	without []string
	hotKeyFlags
}

func (f *planFlags) register(command *cobra.Command) {
	command.Flags().Uint64Var(&f.seed, "seed", 0, "draw the experiment from this seed in place of the file's")
	command.Flags().StringSliceVar(&f.without, "without", nil, "leave out faults of these kinds")
	f.hotKeyFlags.register(command)
}

// plan reads an experiment and draws its plan.
func (f *planFlags) plan(path string) (*lab.Plan, error) {
	experiment, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	for _, kind := range f.without {
		if !slices.Contains(lab.FaultKinds(), kind) {
			return nil, usageError{fmt.Errorf("--without %s: there are %s", kind, strings.Join(lab.FaultKinds(), ", "))}
		}
		experiment.Faults = slices.DeleteFunc(experiment.Faults, func(fault lab.FaultSpec) bool { return fault.Kind == kind })
	}
	if experiment, err = f.apply(experiment); err != nil {
		return nil, err
	}
	return experiment.NewPlan(f.seed), nil
}

// simCommand is `milldeck lab sim`.
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
		Short: "Plays an experiment on a virtual clock, without sockets",
		Long: "sim plays an experiment on a virtual clock: the decision module itself, a model of the servers and clients, and\n" +
			"no sockets. The same file and seed give the same bytes, whatever the number of workers. An experiment with a\n" +
			"control plane is a simulation of that, without requests, unless --policy is given;\n" +
			"docs/control-plane-simulation.md has more.\n\n" + exitHelp,
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
	command.Flags().StringVar(&s.policy, "policy", sim.Module, "policy that decides: "+strings.Join(sim.Policies(), ", ")+", or all of them side by side")
	s.controlPlane.register(command)
	command.Flags().IntVar(&s.workers, "workers", 0, "sidecars simulated in parallel (default: one for each core); the result is the same")
}

// run plays the experiment that the arguments name: as a simulation of its control plane, or with one or all policies.
func (s *simCommand) run(command *cobra.Command, args []string) error {
	plan, err := s.planning.plan(args[0])
	if err != nil {
		return err
	}
	if plan.Experiment.HasControlPlane() && !command.Flags().Changed("policy") {
		return s.controlPlane.play(command, plan, &s.output, s.workers)
	}
	policies := []string{s.policy}
	if s.policy == "all" {
		policies = sim.Policies()
	} else if !slices.Contains(sim.Policies(), s.policy) {
		return usageError{fmt.Errorf("--policy %s: not all, %s", s.policy, strings.Join(sim.Policies(), ", "))}
	}
	results, err := s.play(command, plan, policies)
	if err != nil {
		return err
	}
	if len(results) == 1 {
		return s.finishOne(command, results[0])
	}
	return s.finishComparison(command, results)
}

// play plays the plan once with each policy.
func (s *simCommand) play(command *cobra.Command, plan *lab.Plan, policies []string) ([]*lab.Result, error) {
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

// finishOne writes a single result. Rules that a baseline policy breaks are its finding, no error.
func (s *simCommand) finishOne(command *cobra.Command, result *lab.Result) error {
	if err := s.output.write(command, result); err != nil {
		return err
	}
	if s.policy != sim.Module {
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
