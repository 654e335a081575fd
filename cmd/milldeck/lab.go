package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
	"milldeck/internal/lab/live"
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
}

func (d *draws) flags(c *cobra.Command) {
	c.Flags().Uint64Var(&d.seed, "seed", 0, "draw the experiment from this seed in place of the file's")
	c.Flags().StringSliceVar(&d.without, "without", nil, "leave out faults of these kinds")
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
			"control plane is a night of that, without requests, unless --policy is given; docs/night.md has more.\n\n" + exitHelp,
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

// liveFlags are those of what starts real processes.
type liveFlags struct {
	sidecar, logs string
}

func (l *liveFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&l.sidecar, "sidecar", "", "the sidecar's program (default: silverreel beside this program)")
	c.Flags().StringVar(&l.logs, "logs", "", "keep configurations and logs in this folder (default: a temporary one, kept after a failure)")
}

// play plays a plan with real processes.
func (l *liveFlags) play(ctx context.Context, p *lab.Plan, progress func(live.Progress)) (*lab.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path := l.sidecar
	if path == "" {
		path = filepath.Join(filepath.Dir(self), "silverreel")
	}
	if _, err := os.Stat(path); err != nil {
		return nil, usageError{fmt.Errorf("the sidecar's program: %w", err)}
	}
	dir := l.logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "milldeck-lab-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r, err := live.Run(ctx, p, live.Options{Sidecar: path, Milldeck: self, Dir: dir, Progress: progress})
	if err != nil {
		return nil, fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if l.logs == "" && r.BrokenRules == 0 {
		return r, os.RemoveAll(dir)
	}
	slog.Info("logs kept", "folder", dir)
	return r, nil
}

// runProgress shows how a run goes: one line that changes on a terminal, plain lines when piped.
func runProgress(w io.Writer) func(live.Progress) {
	terminal := isTerminal(w)
	return func(p live.Progress) {
		faults := "no fault"
		if len(p.Faults) > 0 {
			faults = strings.Join(p.Faults, ", ")
		}
		line := fmt.Sprintf("%5.1f s  %3.0f%%  %6d requests  %6.2f%% served in time  %s", p.AtS, 100*p.Done, p.Requests, 100*p.Served, faults)
		if terminal {
			fmt.Fprintf(w, "\r\x1b[K%s", line)
			if p.Done >= 1 {
				fmt.Fprintln(w)
			}
			return
		}
		fmt.Fprintln(w, line)
	}
}

func newLabRun() *cobra.Command {
	var out outputs
	var l liveFlags
	var d draws
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Plays an experiment with real sidecar processes and sockets",
		Long: "run plays an experiment with real silverreel processes on loopback addresses, in real time. It takes as long as\n" +
			"the experiment says and a few seconds more. An interrupt ends all children and still writes the result.\n\n" + exitHelp,
		Example: "  milldeck lab run experiments/quickstart.toml --report out",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := d.plan(args[0])
			if err != nil {
				return err
			}
			r, err := l.play(c.Context(), p, runProgress(c.ErrOrStderr()))
			if err != nil {
				return err
			}
			if err := out.write(c, r); err != nil {
				return err
			}
			return verdict(r)
		},
	}
	out.flags(c)
	l.flags(c)
	d.flags(c)
	return c
}

func newLabCompare() *cobra.Command {
	var l liveFlags
	var d draws
	var path string
	c := &cobra.Command{
		Use:   "compare FILE",
		Short: "Plays an experiment both ways and tells how far apart they are",
		Long:  "compare plays an experiment in sim and in run, from the same plan, and prints both with their difference.\n\n" + exitHelp,
		Args:  exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := d.plan(args[0])
			if err != nil {
				return err
			}
			virtual, _, err := sim.Run(c.Context(), p, sim.Options{})
			if err != nil {
				return err
			}
			real, err := l.play(c.Context(), p, runProgress(c.ErrOrStderr()))
			if err != nil {
				return err
			}
			if path != "" {
				if err := writeJSON(c.OutOrStdout(), path, []*lab.Result{virtual, real}); err != nil || path == "-" {
					return err
				}
			}
			if err := report.Compare(c.OutOrStdout(), []*lab.Result{virtual, real}); err != nil {
				return err
			}
			diffs, pairs, err := report.Diff([]*lab.Result{virtual}, []*lab.Result{real})
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "\nA is sim, B is run:")
			return report.WriteDiff(c.OutOrStdout(), diffs, pairs)
		},
	}
	l.flags(c)
	d.flags(c)
	c.Flags().StringVar(&path, "json", "", "write both results to this file as a JSON array (- for standard output)")
	return c
}

// many are the flags of what is played on many seeds, in either mode.
type many struct {
	liveFlags
	seeds, mode, policy string
}

func (m *many) flags(c *cobra.Command) {
	m.liveFlags.flags(c)
	c.Flags().StringVar(&m.seeds, "seeds", "1-10", "seeds, as 1-20 or 3,5,8")
	c.Flags().StringVar(&m.mode, "mode", "sim", "sim or run")
	c.Flags().StringVar(&m.policy, "policy", sim.Module, "in sim, what decides")
}

// player plays one plan of many.
type player func(context.Context, *lab.Plan) (*lab.Result, error)

// parse gives the experiment, the seeds and what plays them.
func (m *many) parse(path string) (*lab.File, []uint64, player, error) {
	list, err := parseSeeds(m.seeds)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	var play player
	switch {
	case !slices.Contains(sim.Policies(), m.policy):
		return nil, nil, nil, usageError{fmt.Errorf("--policy %s: not %s", m.policy, strings.Join(sim.Policies(), ", "))}
	case m.mode == "run":
		play = func(ctx context.Context, p *lab.Plan) (*lab.Result, error) { return m.play(ctx, p, nil) }
	case m.mode == "sim":
		play = func(ctx context.Context, p *lab.Plan) (*lab.Result, error) {
			r, _, err := sim.Run(ctx, p, sim.Options{Policy: m.policy})
			return r, err
		}
	default:
		return nil, nil, nil, usageError{fmt.Errorf("--mode %s: not sim or run", m.mode)}
	}
	f, err := lab.Load(path)
	return f, list, play, err
}

func newLabSweep() *cobra.Command {
	var m many
	var path string
	c := &cobra.Command{
		Use:   "sweep FILE",
		Short: "Plays an experiment on many seeds",
		Long: "sweep plays an experiment on many seeds and shows the worst one. Results go to a file, one JSON object a line;\n" +
			"a sweep that was cut off goes on where the file ends.\n\n" + exitHelp,
		Example: "  milldeck lab sweep experiments/fleet.toml --seeds 1-20 --json sweep.jsonl",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, list, play, err := m.parse(args[0])
			if err != nil {
				return err
			}
			s := sweep{file: f, path: path, out: c.OutOrStdout(), play: play}
			return s.run(c.Context(), list)
		},
	}
	m.flags(c)
	c.Flags().StringVar(&path, "json", "", "file of results, one a line; seeds that it has are not played again")
	return c
}

// maxSeeds bounds one sweep.
const maxSeeds = 100_000

func parseSeeds(text string) ([]uint64, error) {
	var out []uint64
	for part := range strings.SplitSeq(text, ",") {
		from, to, ranged := strings.Cut(part, "-")
		first, err := strconv.ParseUint(from, 10, 63)
		last := first
		if err == nil && ranged {
			last, err = strconv.ParseUint(to, 10, 63)
		}
		if err != nil || first == 0 || last < first || last-first >= maxSeeds {
			return nil, fmt.Errorf("--seeds %s: wanted as 1-20 or 3,5,8, from 1 on", text)
		}
		for s := first; s <= last; s++ {
			out = append(out, s)
		}
	}
	return out, nil
}

// sweep plays one experiment on many seeds.
type sweep struct {
	file *lab.File
	path string
	out  io.Writer
	play player
}

func (s *sweep) run(ctx context.Context, seeds []uint64) error {
	done := map[uint64]*lab.Result{}
	var keep *os.File
	if s.path != "" {
		var err error
		if keep, err = s.resume(done); err != nil {
			return err
		}
		defer keep.Close()
	}
	var worst *lab.Result
	broken, sum := 0, 0.0
	for i, seed := range seeds {
		r, again := done[seed]
		began := time.Now()
		if !again {
			var err error
			if r, err = s.play(ctx, s.file.Draw(seed)); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			if ctx.Err() != nil {
				return fmt.Errorf("cut short after %d of %d seeds; the same command goes on from there", i, len(seeds))
			}
			if keep != nil {
				if err := json.NewEncoder(keep).Encode(r); err != nil {
					return err
				}
			}
		}
		note := fmt.Sprintf("%.1f s", time.Since(began).Seconds())
		if again {
			note = "from the file"
		}
		fmt.Fprintf(s.out, "%4d/%d  seed %-6d  worth %.4f  p99 %8.1f ms  lost %4d  rules broken %d  (%s)\n",
			i+1, len(seeds), seed, r.WorthShare, r.P99, r.Lost, r.BrokenRules, note)
		if worst == nil || r.BrokenRules > worst.BrokenRules || r.BrokenRules == worst.BrokenRules && r.WorthShare < worst.WorthShare {
			worst = r
		}
		broken += r.BrokenRules
		sum += r.WorthShare
	}
	fmt.Fprintf(s.out, "worth served %.4f in the mean; worst seed %d: worth %.4f, %d rule(s) broken\n",
		sum/float64(len(seeds)), worst.Seed, worst.WorthShare, worst.BrokenRules)
	if broken > 0 {
		return fmt.Errorf("%s: %d rule(s) broken", s.file.Name, broken)
	}
	return nil
}

// resume reads what an earlier sweep found and opens the file for more. A torn last line is taken off.
func (s *sweep) resume(done map[uint64]*lab.Result) (*os.File, error) {
	keep, err := os.OpenFile(s.path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(keep)
	whole := int64(strings.LastIndexByte(string(data), '\n') + 1)
	if err == nil {
		err = keep.Truncate(whole)
	}
	if err == nil {
		_, err = keep.Seek(whole, io.SeekStart)
	}
	if err == nil && whole > 0 {
		var old []*lab.Result
		if old, err = report.Read(s.path); err == nil {
			for _, r := range old {
				if r.Name != s.file.Name {
					err = usageError{fmt.Errorf("%s holds results of %s, not of %s", s.path, r.Name, s.file.Name)}
				}
				done[r.Seed] = r
			}
		}
	}
	if err != nil {
		keep.Close()
		return nil, err
	}
	return keep, nil
}

func newLabDiff() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "diff A.json B.json",
		Short: "Compares two runs, or two sweeps seed by seed",
		Long: "diff compares results that --json wrote. Runs with the same seed make a pair; over several pairs it gives the\n" +
			"95% interval of the mean difference.\n\n" + exitHelp,
		Args: exactly(2),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := report.Read(args[0])
			if err != nil {
				return usageError{err}
			}
			b, err := report.Read(args[1])
			if err != nil {
				return usageError{err}
			}
			diffs, pairs, err := report.Diff(a, b)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), "-", map[string]any{"pairs": pairs, "differences": diffs})
			}
			return report.WriteDiff(c.OutOrStdout(), diffs, pairs)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return c
}

func newLabFaults() *cobra.Command {
	var m many
	c := &cobra.Command{
		Use:   "faults FILE",
		Short: "Plays each kind of fault of an experiment alone, and counts the rules broken",
		Long: "faults plays an experiment once for each kind of fault that it has, with that kind alone, over some seeds, and\n" +
			"prints kinds by rules broken.\n\n" + exitHelp,
		Example: "  milldeck lab faults experiments/faults.toml --seeds 1-10",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, list, play, err := m.parse(args[0])
			if err != nil {
				return err
			}
			return faultTable(c.Context(), c.OutOrStdout(), f, list, play)
		},
	}
	m.flags(c)
	return c
}

// faultTable plays each kind of fault alone and writes one row of Markdown for each.
func faultTable(ctx context.Context, w io.Writer, f *lab.File, seeds []uint64, play player) error {
	byKind := map[string][]lab.FaultFile{}
	for _, ft := range f.Faults {
		byKind[ft.Kind] = append(byKind[ft.Kind], ft)
	}
	fmt.Fprint(w, "| fault | worth served | worst seed |")
	for _, rule := range f.Judged() {
		fmt.Fprintf(w, " %s |", rule)
	}
	fmt.Fprintf(w, "\n| --- | --- | --- |%s\n", strings.Repeat(" --- |", len(f.Judged())))
	broken := 0
	for _, kind := range lab.FaultKinds() {
		if len(byKind[kind]) == 0 {
			continue
		}
		alone := *f
		alone.Faults = byKind[kind]
		counts, sum, worst := map[lab.Rule]int{}, 0.0, 1.0
		for _, seed := range seeds {
			r, err := play(ctx, alone.Draw(seed))
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", kind, seed, err)
			}
			if ctx.Err() != nil {
				return errors.New("cut short")
			}
			sum += r.WorthShare
			worst = min(worst, r.WorthShare)
			for rule, n := range r.RuleCounts {
				counts[rule] += n
				broken += n
			}
		}
		fmt.Fprintf(w, "| `%s` | %.4f | %.4f |", kind, sum/float64(len(seeds)), worst)
		for _, rule := range f.Judged() {
			fmt.Fprintf(w, " %d |", counts[rule])
		}
		fmt.Fprintln(w)
	}
	if broken > 0 {
		return fmt.Errorf("%s: %d rule(s) broken", f.Name, broken)
	}
	return nil
}
