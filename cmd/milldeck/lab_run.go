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

// liveFlags are the flags of commands that start real processes.
type liveFlags struct {
	sidecarPath, logDir string
}

func (f *liveFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.sidecarPath, "sidecar", "",
		"executable of the sidecar (default: sidecar in the directory of this executable)")
	command.Flags().StringVar(&f.logDir, "logs", "",
		"directory for configurations and logs (default: a temporary one, kept after a failure)")
}

// runPlan runs a plan with real processes.
func (f *liveFlags) runPlan(ctx context.Context, plan *lab.Plan, progress func(live.Progress)) (*lab.Result, error) {
	if plan.Experiment.HotKeys != nil {
		return nil, usageError{errors.New("only lab sim supports [spread]")}
	}
	milldeckPath, err := os.Executable()
	if err != nil {
		return nil, err
	}
	sidecarProgram := f.sidecarPath
	if sidecarProgram == "" {
		sidecarProgram = filepath.Join(filepath.Dir(milldeckPath), "sidecar")
	}
	if _, err := os.Stat(sidecarProgram); err != nil {
		return nil, usageError{fmt.Errorf("sidecar executable: %w", err)}
	}
	dir := f.logDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "milldeck-lab-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	result, err := live.Run(ctx, plan, live.Options{SidecarPath: sidecarProgram, MilldeckPath: milldeckPath, Dir: dir, Progress: progress})
	if err != nil {
		return nil, fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if f.logDir == "" && result.ViolationCount == 0 && result.LateFaults == 0 {
		return result, os.RemoveAll(dir)
	}
	slog.Info("logs retained", "component", "lab", "dir", dir)
	return result, nil
}

// runProgress returns a function that prints the progress of a run: on a terminal in one line that it overwrites, otherwise
// in separate lines.
func runProgress(w io.Writer) func(live.Progress) {
	terminal := isTerminal(w)
	return func(progress live.Progress) {
		faults := "no fault"
		if len(progress.ActiveFaults) > 0 {
			faults = strings.Join(progress.ActiveFaults, ", ")
		}
		line := fmt.Sprintf("%5.1f s  %3.0f%%  %6d requests  %6.2f%% served in time  %s", progress.AtSeconds, 100*progress.LoadShare, progress.Requests, 100*progress.ServedShare, faults)
		if terminal {
			fmt.Fprintf(w, "\r\x1b[K%s", line)
			if progress.LoadShare >= 1 {
				fmt.Fprintln(w)
			}
			return
		}
		fmt.Fprintln(w, line)
	}
}

// notJudgedHelp continues exitHelp for commands that run processes.
const notJudgedHelp = `
3 a fault came, or ended, over 100 ms late, so the run shows nothing of the experiment and is not judged.`

func newLabRun() *cobra.Command {
	var output outputFlags
	var processes liveFlags
	var planning planFlags
	command := &cobra.Command{
		Use:   "run FILE",
		Short: "Runs an experiment with real sidecar processes and sockets",
		Long: "run starts real sidecar processes on loopback addresses. It takes, in real time, the experiment's duration and a few\n" +
			"seconds more. After an interrupt, it ends all child processes and still writes the result.\n\n" +
			exitHelp + notJudgedHelp,
		Example: "  milldeck lab run experiments/quickstart.toml --report out",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := planning.plan(args[0])
			if err != nil {
				return err
			}
			result, err := processes.runPlan(command.Context(), plan, runProgress(command.ErrOrStderr()))
			if err != nil {
				return err
			}
			if err := output.write(command, result); err != nil {
				return err
			}
			return violationError(result)
		},
	}
	output.register(command)
	processes.register(command)
	planning.register(command)
	return command
}

func newLabCompare() *cobra.Command {
	var processes liveFlags
	var planning planFlags
	var path string
	command := &cobra.Command{
		Use:   "compare FILE",
		Short: "Runs an experiment in sim and in run and prints the difference",
		Long: "compare runs the same plan in sim and in run, and prints both results and their difference.\n\n" +
			exitHelp + notJudgedHelp,
		Args: exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := planning.plan(args[0])
			if err != nil {
				return err
			}
			simulated, _, err := sim.Run(command.Context(), plan, sim.Options{})
			if err != nil {
				return err
			}
			measured, err := processes.runPlan(command.Context(), plan, runProgress(command.ErrOrStderr()))
			if err != nil {
				return err
			}
			if path != "" {
				if err := writeJSON(command.OutOrStdout(), path, []*lab.Result{simulated, measured}); err != nil {
					return err
				}
				if path == "-" {
					return lateFaultError(measured)
				}
			}
			if err := writeModeComparison(command.OutOrStdout(), simulated, measured); err != nil {
				return err
			}
			return lateFaultError(measured)
		},
	}
	processes.register(command)
	planning.register(command)
	command.Flags().StringVar(&path, "json", "", "write both results to this file as a JSON array (- for standard output)")
	return command
}

// writeModeComparison writes the simulated and the measured result of a plan side by side, with their difference.
func writeModeComparison(out io.Writer, simulated, measured *lab.Result) error {
	if err := report.WriteComparison(out, []*lab.Result{simulated, measured}); err != nil {
		return err
	}
	differences, pairs, err := report.Compare([]*lab.Result{simulated}, []*lab.Result{measured})
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "\nA is sim, B is run:")
	return report.WriteDiff(out, differences, pairs)
}
