package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// benchmarkResult is what a benchmark found: its JSON is the result.
type benchmarkResult interface {
	writeTable(io.Writer) error
	failure() error // what it found that must not be
}

// benchmark is a command that measures processes of this program.
type benchmark struct {
	short, long, fullHelp string
	run                   func(ctx context.Context, fullHelp bool, self, dir string, say func(string)) (benchmarkResult, error)
}

func (b benchmark) command() *cobra.Command {
	var path string
	var full bool
	command := &cobra.Command{
		Use: "bench", Short: b.short, Long: b.long + "\n\n" + exitHelp, Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "milldeck-bench-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(dir) }() // a temporary directory that stays is no failure of the benchmark
			result, err := b.run(command.Context(), full, program, dir, func(line string) { fmt.Fprintln(command.ErrOrStderr(), line) })
			if err != nil {
				return err
			}
			if path != "" {
				if err := writeJSON(command.OutOrStdout(), path, result); err != nil {
					return err
				}
			}
			if path != "-" {
				if err := result.writeTable(command.OutOrStdout()); err != nil {
					return err
				}
			}
			return result.failure()
		},
	}
	command.Flags().StringVar(&path, "json", "", "write the result to this file as JSON (- for standard output)")
	command.Flags().BoolVar(&full, "full", false, b.fullHelp)
	return command
}
