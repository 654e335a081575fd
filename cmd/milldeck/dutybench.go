package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/duty/bench"
)

func newDutyBench() *cobra.Command {
	return benchmark{
		short: "Harms holders of duties and measures how they are passed on",
		long: "bench starts replicas and holders as processes, kills, freezes and stops holders at random moments while registry\n" +
			"leaders are killed as well, and tells from what the processes print whether two ever held one duty. It ends\n" +
			"within a minute; --full harms four times as many. An overlap or a write that counted twice is a failure.",
		full: "four times as many faults",
		run: func(ctx context.Context, full bool, self, dir string, say func(string)) (outcome, error) {
			o := bench.Quick()
			if full {
				o = bench.Full()
			}
			o.Program, o.Dir, o.Progress = self, dir, say
			r, err := bench.Run(ctx, o)
			return dutyOutcome{r}, err
		},
	}.command()
}

type dutyOutcome struct{ *bench.Result }

func (r dutyOutcome) verdict() error {
	if r.Overlaps > 0 || r.Twice > 0 {
		return fmt.Errorf("%d overlaps, %d writes counted twice: %v", r.Overlaps, r.Twice, r.Broken)
	}
	return nil
}

func (r dutyOutcome) table(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d faults (%d kills, %d freezes, %d stops), %d registry leaders killed, %.0f s\n"+
		"%d tenures, %d overlaps; %d guarded writes, %d refused, %d counted twice\n"+
		"without a holder after a release  p50 %.0f ms, p99 %.0f ms\n"+
		"after a kill, lease %d ms         p50 %.0f ms, p99 %.0f ms\n%.0f renewals a second\n",
		r.Faults, r.Kills, r.Freezes, r.Stops, r.LeaderKills, r.Seconds, r.Tenures, r.Overlaps, r.Saves, r.Refused, r.Twice,
		r.ReleaseP50, r.ReleaseP99, r.TTLMS, r.KillP50, r.KillP99, r.RenewalsSec)
	for _, n := range r.WritesOf {
		if err == nil {
			_, err = fmt.Fprintf(w, "%.1f log entries a handover with %d candidates\n", n.Entries, n.Candidates)
		}
	}
	return err
}
