package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"milldeck/internal/lab"
	"milldeck/internal/lab/live"
	"milldeck/internal/lab/report"
	"milldeck/internal/lab/sim"
)

// liveFlags are those of what starts real processes.
type liveFlags struct {
	sidecar, logs string
}

func (l *liveFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&l.sidecar, "sidecar", "", "the sidecar's program (default: sidecar beside this program)")
	c.Flags().StringVar(&l.logs, "logs", "", "keep configurations and logs in this folder (default: a temporary one, kept after a failure)")
}

// play plays a plan with real processes.
func (l *liveFlags) play(ctx context.Context, p *lab.Plan, progress func(live.Progress)) (*lab.Result, error) {
	if p.File.Spread != nil {
		return nil, usageError{errors.New("[spread] is played by lab sim alone")}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	path := l.sidecar
	if path == "" {
		path = filepath.Join(filepath.Dir(self), "sidecar")
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
		Long: "run plays an experiment with real sidecar processes on loopback addresses, in real time. It takes as long as\n" +
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
