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
	c := &cobra.Command{
		Use:   "lab",
		Short: "Tries a fleet out on this machine: load, faults, a judge and reports",
		Long: "lab plays experiments: a fleet of sidecars and servers under load, with scheduled faults, watched by a judge.\n" +
			"An experiment is a TOML file, as those in experiments/; docs/lab.md tells its keys and the faults there are.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newLabSim(), newLabRun(), newLabCompare(), newLabSweep(), newLabDiff(), newLabFaults(), newLabServer())
	return c
}

// outputs are the flags of where results go.
type outputs struct {
	json, report string
}

func (o *outputs) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.json, "json", "", "write the result to this file as JSON (- for standard output)")
	c.Flags().StringVar(&o.report, "report", "", "write a report with plots to this folder")
}

// write puts a result where the flags say, and its table on standard output unless the JSON goes there.
func (o *outputs) write(c *cobra.Command, r *lab.Result) error {
	if o.json != "-" {
		if err := report.Table(c.OutOrStdout(), r); err != nil {
			return err
		}
	}
	if o.json != "" {
		if err := writeJSON(c.OutOrStdout(), o.json, r); err != nil {
			return err
		}
	}
	if o.report != "" {
		return report.Write(o.report, r)
	}
	return nil
}

func writeJSON(out io.Writer, path string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
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

// verdict is the error of a run whose sidecars broke rules.
func verdict(r *lab.Result) error {
	if r.BrokenRules > 0 {
		return fmt.Errorf("%s, seed %d: %d rule(s) broken (%s)", r.Name, r.Seed, r.BrokenRules, strings.Join(ruleNames(r), ", "))
	}
	if r.Overloaded {
		return fmt.Errorf("%s: this machine cannot play the load: it was %.0f ms late (99th percentile) and sent %d requests too late; the sidecars are not judged",
			r.Name, r.Lateness, r.LabLate)
	}
	if r.Cut {
		return errors.New("cut short")
	}
	return nil
}

// ruleNames are the rules that a run broke, of those that count.
func ruleNames(r *lab.Result) []string {
	rules := lab.Rules
	if r.Overloaded {
		rules = lab.ControlRules
	}
	var names []string
	for _, rule := range rules {
		if r.RuleCounts[rule] > 0 {
			names = append(names, string(rule))
		}
	}
	return names
}

// draws are the flags of how an experiment is drawn.
type draws struct {
	seed    uint64
	without []string
	spreadFlags
}

func (d *draws) flags(c *cobra.Command) {
	c.Flags().Uint64Var(&d.seed, "seed", 0, "draw the experiment from this seed in place of the file's")
	c.Flags().StringSliceVar(&d.without, "without", nil, "leave out faults of these kinds")
	d.spreadFlags.flags(c)
}

// plan reads an experiment and draws its plan.
func (d *draws) plan(path string) (*lab.Plan, error) {
	f, err := lab.Load(path)
	if err != nil {
		return nil, err
	}
	for _, kind := range d.without {
		if !slices.Contains(lab.FaultKinds(), kind) {
			return nil, usageError{fmt.Errorf("--without %s: there are %s", kind, strings.Join(lab.FaultKinds(), ", "))}
		}
		f.Faults = slices.DeleteFunc(f.Faults, func(ft lab.FaultFile) bool { return ft.Kind == kind })
	}
	if f, err = d.of(f); err != nil {
		return nil, err
	}
	return f.Draw(d.seed), nil
}

func newLabSim() *cobra.Command {
	var out outputs
	var d draws
	var policy string
	var workers int
	var nights nightFlags
	c := &cobra.Command{
		Use:   "sim FILE",
		Short: "Plays an experiment on a virtual clock, without sockets",
		Long: "sim plays an experiment on a virtual clock: the decision module itself, a model of the servers and clients, and\n" +
			"no sockets. The same file and seed give the same bytes, whatever the number of workers. An experiment with a\n" +
			"control plane is a night of that, without requests, unless --policy is given; docs/control-plane-simulation.md has more.\n\n" + exitHelp,
		Example: "  milldeck lab sim experiments/fleet.toml --seed 3 --json out.json\n  milldeck lab sim experiments/fleet.toml --policy all",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := d.plan(args[0])
			if err != nil {
				return err
			}
			if p.File.Controlled() && !c.Flags().Changed("policy") {
				return nights.play(c, p, &out, workers)
			}
			names := []string{policy}
			if policy == "all" {
				names = sim.Policies()
			} else if !slices.Contains(sim.Policies(), policy) {
				return usageError{fmt.Errorf("--policy %s: not all, %s", policy, strings.Join(sim.Policies(), ", "))}
			}
			var runs []*lab.Result
			for _, name := range names {
				r, stats, err := sim.Run(c.Context(), p, sim.Options{Policy: name, Workers: workers, Progress: simProgress(c, name)})
				if err != nil {
					return err
				}
				slog.Info("played", "policy", name, "events", stats.Events, "seconds", stats.Elapsed.Seconds(),
					"events_a_second", int(float64(stats.Events)/stats.Elapsed.Seconds()))
				runs = append(runs, r)
			}
			if len(runs) == 1 {
				if err := out.write(c, runs[0]); err != nil {
					return err
				}
				if policy != sim.Module {
					return nil // what a baseline breaks is its finding
				}
				return verdict(runs[0])
			}
			if out.json != "" {
				if err := writeJSON(c.OutOrStdout(), out.json, runs); err != nil {
					return err
				}
			}
			if out.report != "" {
				if err := report.Write(out.report, runs[0]); err != nil {
					return err
				}
			}
			if out.json == "-" {
				return nil
			}
			return report.Compare(c.OutOrStdout(), runs)
		},
	}
	out.flags(c)
	d.flags(c)
	c.Flags().StringVar(&policy, "policy", sim.Module, "what decides: "+strings.Join(sim.Policies(), ", ")+", or all of them side by side")
	nights.flags(c)
	c.Flags().IntVar(&workers, "workers", 0, "sidecars that decide at a time (default: one for each core); the result is the same")
	return c
}

func simProgress(c *cobra.Command, name string) func(float64) {
	if !isTerminal(c.ErrOrStderr()) {
		return nil
	}
	return func(done float64) {
		fmt.Fprintf(c.ErrOrStderr(), "\r%s %3.0f%%", name, 100*done)
		if done >= 1 {
			fmt.Fprint(c.ErrOrStderr(), "\r\x1b[K")
		}
	}
}

func isTerminal(w io.Writer) bool {
	f, is := w.(*os.File)
	if !is {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
