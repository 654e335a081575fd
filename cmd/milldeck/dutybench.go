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

func newDutyBench() *cobra.Command {
	var faults int
	var most time.Duration
	var logs string
	c := benchmark{
		short: "Harms holders of duties and measures how they are passed on",
		long: "bench starts replicas and holders as processes, kills, freezes and stops holders at random moments while registry\n" +
			"leaders are killed as well, and tells from what the processes print whether two ever believed at a time that they\n" +
			"hold one duty. It ends within two minutes; --full harms four times as many and ends within eight. An overlap\n" +
			"or a write that counted twice is a failure.",
		full: "four times as many faults",
		run: func(ctx context.Context, full bool, self, dir string, say func(string)) (outcome, error) {
			o := bench.QuickOptions()
			if full {
				o = bench.FullOptions()
			}
			if faults > 0 {
				o.Faults = faults
			}
			if most > 0 {
				o.FaultTime = most
			}
			if logs != "" {
				if there, _ := os.ReadDir(logs); len(there) > 0 { // logs of another run would be judged with this one's
					return dutyOutcome{}, usageError{fmt.Errorf("--logs: %s is not empty", logs)}
				}
				dir = logs
			}
			o.Program, o.Dir, o.Progress = self, dir, say
			r, err := bench.Run(ctx, o)
			return dutyOutcome{r}, err
		},
	}.command()
	c.Flags().IntVar(&faults, "faults", 0, "how many faults (default 504, with --full 2016)")
	c.Flags().DurationVar(&most, "for", 0, "harm for so long at most (default 45s, with --full 3m)")
	c.Flags().StringVar(&logs, "logs", "", "keep configurations, logs and data in this folder, which is new or empty")
	return c
}

type dutyOutcome struct{ *bench.Result }

func (r dutyOutcome) verdict() error {
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d overlaps, %d writes counted twice: %v", r.Overlaps, r.DuplicateWrites, r.Violations)
	}
	return nil
}

func (r dutyOutcome) table(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d faults (%d kills, %d freezes, %d stops), %d registry leaders killed, %.0f s\n"+
		"%d tenures, %d overlaps; %d guarded writes, %d refused, %d counted twice\n"+
		"%d releases heard of after the next had begun, %d times given and not taken up\n"+
		"without a holder after a release  p50 %.0f ms, p99 %.0f ms\n"+
		"after a kill, lease %d ms         p50 %.0f ms, p99 %.0f ms\n%.0f renewals a second\n",
		r.Faults, r.Kills, r.Freezes, r.Stops, r.LeaderKills, r.Seconds, r.Tenures, r.Overlaps, r.GuardedWrites, r.RejectedWrites, r.DuplicateWrites, r.LateReleaseNotices, r.ExpiredUnclaimed,
		r.ReleaseGapP50MS, r.ReleaseGapP99MS, r.TTLMS, r.KillGapP50MS, r.KillGapP99MS, r.RenewalsPerSecond)
	for _, n := range r.HandoverCosts {
		if err == nil {
			_, err = fmt.Fprintf(w, "%.1f log entries a handover with %d candidates\n", n.LogEntries, n.Candidates)
		}
	}
	return err
}
