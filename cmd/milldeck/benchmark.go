package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// outcome is what a benchmark found: its JSON is the result.
type outcome interface {
	table(io.Writer) error
	verdict() error // what it found that must not be
}

// benchmark is a command that measures processes of this program.
type benchmark struct {
	short, long, full string
	run               func(ctx context.Context, full bool, self, dir string, say func(string)) (outcome, error)
}

func (b benchmark) command() *cobra.Command {
	var path string
	var full bool
	command := &cobra.Command{
		Use: "bench", Short: b.short, Long: b.long + "\n\n" + exitHelp, Args: exactly(0),
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
				if err := result.table(command.OutOrStdout()); err != nil {
					return err
				}
			}
			return result.verdict()
		},
	}
	command.Flags().StringVar(&path, "json", "", "write the result to this file as JSON (- for standard output)")
	command.Flags().BoolVar(&full, "full", false, b.full)
	return command
}
