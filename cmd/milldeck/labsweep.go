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

// many are the flags of what is played on many seeds, in either mode.
type many struct {
	liveFlags
	spreadFlags
	seeds, mode, policy string
}

func (m *many) flags(c *cobra.Command) {
	m.liveFlags.flags(c)
	m.spreadFlags.flags(c)
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
	if err == nil {
		f, err = m.of(f)
	}
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
