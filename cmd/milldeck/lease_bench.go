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

// leaseBenchFlags are the flags of `milldeck duty bench` in addition to the flags of all benchmarks.
type leaseBenchFlags struct {
	faults    int
	faultTime time.Duration
	logDir    string
}

func newLeaseBench() *cobra.Command {
	var flags leaseBenchFlags
	command := benchmark{
		short: "Injects faults into lease holders and measures the transitions of leases",
		long: "bench starts replicas and lease holders as processes, kills, freezes and stops holders at random times, and\n" +
			"kills raft leaders of the registry as well. From the output of the processes it determines whether two ever\n" +
			"considered themselves the holder of one lease at the same time. It ends within two minutes; --full injects\n" +
			"four times as many faults and ends within eight. An overlap or a write that took effect twice is a failure.",
		fullHelp: "four times as many faults",
		run: func(ctx context.Context, options benchmarkOptions) (benchmarkResult, error) {
			return runLeaseBench(ctx, options, flags)
		},
	}.command()
	command.Flags().IntVar(&flags.faults, "faults", 0, "number of faults (default 504, with --full 2016)")
	command.Flags().DurationVar(&flags.faultTime, "for", 0,
		"maximum duration of the fault injection (default 45s, with --full 3m)")
	command.Flags().StringVar(&flags.logDir, "logs", "",
		"directory for configurations, logs and data, new or empty (default: a temporary one, removed at the end)")
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
		entries, _ := os.ReadDir(flags.logDir) // bench.Run creates a missing directory and reports an unreadable one
		if len(entries) > 0 {                  // the bench would also analyse the logs of an earlier run
			return leaseBenchResult{}, usageError{fmt.Errorf("--logs: %s is not empty", flags.logDir)}
		}
		benchOptions.Dir = flags.logDir
	}
	result, err := bench.Run(ctx, benchOptions)
	return leaseBenchResult{result}, err
}

// leaseBenchResult makes a result of the bench printable as a benchmarkResult.
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
