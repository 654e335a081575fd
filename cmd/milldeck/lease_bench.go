package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/leaderelection/bench"
)

// leaseBenchFlags are the flags of `milldeck duty bench` beside those of every benchmark.
type leaseBenchFlags struct {
	faults    int
	faultTime time.Duration
	logDir    string
}

func newLeaseBench() *cobra.Command {
	var flags leaseBenchFlags
	command := benchmark{
		short: "Injects faults into lease holders and measures how leases change hands",
		long: "bench starts replicas and lease holders as processes, kills, freezes and stops holders at random moments while raft\n" +
			"leaders of the registry are killed as well, and judges from what the processes print whether two ever believed at a\n" +
			"time that they hold one lease. It ends within two minutes; --full injects four times as many faults and ends within\n" +
			"eight. An overlap or a write that took effect twice is a failure.",
		fullHelp: "four times as many faults",
		run: func(ctx context.Context, options benchmarkOptions) (benchmarkResult, error) {
			return runLeaseBench(ctx, options, flags)
		},
	}.command()
	command.Flags().IntVar(&flags.faults, "faults", 0, "how many faults (default 504, with --full 2016)")
	command.Flags().DurationVar(&flags.faultTime, "for", 0, "inject faults for so long at most (default 45s, with --full 3m)")
	command.Flags().StringVar(&flags.logDir, "logs", "", "keep configurations, logs and data in this folder, which is new or empty")
	return command
}

func runLeaseBench(ctx context.Context, options benchmarkOptions, flags leaseBenchFlags) (benchmarkResult, error) {
	benchOptions := bench.QuickOptions()
	if options.full {
		benchOptions = bench.FullOptions()
	}
	benchOptions.Program = options.program
	benchOptions.Dir = options.dir
	benchOptions.Progress = options.progress
	if flags.faults > 0 {
		benchOptions.Faults = flags.faults
	}
	if flags.faultTime > 0 {
		benchOptions.FaultTime = flags.faultTime
	}
	if flags.logDir != "" {
		entries, _ := os.ReadDir(flags.logDir) // a folder that cannot be read yet is created or reported by the bench
		if len(entries) > 0 {                  // logs of another run would be judged with this one's
			return leaseBenchResult{}, usageError{fmt.Errorf("--logs: %s is not empty", flags.logDir)}
		}
		benchOptions.Dir = flags.logDir
	}
	result, err := bench.Run(ctx, benchOptions)
	return leaseBenchResult{result}, err
}

// leaseBenchResult is the result of the bench as a command prints it.
type leaseBenchResult struct{ *bench.Result }

func (r leaseBenchResult) failure() error {
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d overlaps, %d writes counted twice: %v", r.Overlaps, r.DuplicateWrites, r.Violations)
	}
	return nil
}

func (r leaseBenchResult) writeTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, `%d faults (%d kills, %d freezes, %d stops), %d registry leaders killed, %.0f s
%d tenures, %d overlaps; %d guarded writes, %d rejected, %d counted twice
%d notices of a release came after the next tenure had begun, %d leases were granted and expired unclaimed
without a holder after a release  p50 %.0f ms, p99 %.0f ms
after a kill, TTL %d ms           p50 %.0f ms, p99 %.0f ms
%.0f renewals a second
`,
		r.Faults, r.Kills, r.Freezes, r.Stops, r.LeaderKills, r.Seconds,
		r.Tenures, r.Overlaps, r.GuardedWrites, r.RejectedWrites, r.DuplicateWrites,
		r.LateReleaseConfirmations, r.ExpiredUnclaimed,
		r.ReleaseGapP50MS, r.ReleaseGapP99MS,
		r.TTLMS, r.KillGapP50MS, r.KillGapP99MS,
		r.RenewalsPerSecond)
	for _, cost := range r.HandoverCosts {
		if err == nil {
			_, err = fmt.Fprintf(w, "%.1f log entries a handover with %d candidates\n", cost.LogEntries, cost.Candidates)
		}
	}
	return err
}
