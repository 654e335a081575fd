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
	c := &cobra.Command{
		Use: "bench", Short: b.short, Long: b.long + "\n\n" + exitHelp, Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "milldeck-bench-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			r, err := b.run(c.Context(), full, self, dir, func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) })
			if err != nil {
				return err
			}
			if path != "" {
				if err := writeJSON(c.OutOrStdout(), path, r); err != nil {
					return err
				}
			}
			if path != "-" {
				if err := r.table(c.OutOrStdout()); err != nil {
					return err
				}
			}
			return r.verdict()
		},
	}
	c.Flags().StringVar(&path, "json", "", "write the result to this file as JSON (- for standard output)")
	c.Flags().BoolVar(&full, "full", false, b.full)
	return c
}
