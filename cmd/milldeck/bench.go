package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"milldeck/internal/registry/bench"
)

func newBench() *cobra.Command {
	var path string
	var full bool
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measures the list service with processes of this program",
		Long: "bench starts replicas on loopback addresses and measures how soon changes reach thousands of watchers, how many\n" +
			"writes one and three replicas take, and how long a killed leader is missed. It ends within a minute; --full\n" +
			"takes several and adds the restart with a long log.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			o := bench.Quick()
			if full {
				o = bench.Full()
			}
			o.Progress = func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) }
			var r *bench.Result
			err := inFolder("milldeck-bench-", func(self, dir string) (err error) {
				o.Program, o.Dir = self, dir
				r, err = bench.Run(c.Context(), o)
				return err
			})
			if err != nil {
				return err
			}
			if path != "" {
				if err := writeJSON(c.OutOrStdout(), path, r); err != nil || path == "-" {
					return err
				}
			}
			return benchTable(c.OutOrStdout(), r)
		},
	}
	c.Flags().StringVar(&path, "json", "", "write the result to this file as JSON (- for standard output)")
	c.Flags().BoolVar(&full, "full", false, "the long form: 30 kills, longer loads, restarts with 100,000 log entries")
	return c
}

// inFolder runs a benchmark of processes of this program, with a folder of its own that goes afterwards.
func inFolder(prefix string, run func(self, dir string) error) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", prefix)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return run(self, dir)
}

func benchTable(w io.Writer, r *bench.Result) error {
	_, err := fmt.Fprintf(w, `%d instances, %d watchers, %d changes (%.0f s in all)
acknowledged write to the last watcher  p50 %.1f ms, p99 %.1f ms, at most %.1f ms; %d missed
bytes a change and watcher              %.0f, of the whole list %d: ratio %.5f
memory of a watcher at its replica      %.0f bytes
writes a second, 1 replica              %.0f, p99 %.1f ms
writes a second, 3 replicas             %.0f, p99 %.1f ms
without a leader after a kill           p50 %.0f ms, at most %.0f ms over %d kills
`, r.Instances, r.Watchers, r.Changes, r.Seconds, r.WatchP50, r.WatchP99, r.WatchMax, r.Missed, r.DeltaBytes, r.WholeBytes, r.DeltaRatio,
		r.PerWatcher, r.Writes1, r.Writes1P99, r.Writes3, r.Writes3P99, r.LeaderGapP50, r.LeaderGapMax, r.Kills)
	if err == nil && r.LogEntries > 0 {
		_, err = fmt.Fprintf(w, "restart with %d log entries           %.0f ms, with a snapshot %.0f ms\n", r.LogEntries, r.RestartPlain, r.RestartByCopy)
	}
	return err
}
