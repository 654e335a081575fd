package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// benchmarkResult holds the measurements of a benchmark. --json writes it as JSON.
type benchmarkResult interface {
	writeTable(io.Writer) error
	failure() error // the detected violations, or nil
}

// benchmarkOptions are the options of one run of a benchmark.
type benchmarkOptions struct {
	full     bool
	program  string       // executable of the processes that the benchmark starts
	dir      string       // new directory for logs and data; the caller removes it
	progress func(string) // receives a line for each step
}

// benchmark is a command that measures processes of this executable.
type benchmark struct {
	short, long string
	fullHelp    string // help text of --full
	run         func(context.Context, benchmarkOptions) (benchmarkResult, error)
}

func (b benchmark) command() *cobra.Command {
	var path string
	var full bool
	command := &cobra.Command{
		Use: "bench", Short: b.short, Long: b.long + "\n\n" + exitHelp, Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			result, err := b.runInTempDir(command, full)
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

// runInTempDir runs the benchmark in a temporary directory and prints its progress to standard error.
func (b benchmark) runInTempDir(command *cobra.Command, full bool) (benchmarkResult, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "milldeck-bench-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a directory that cannot be removed does not fail the benchmark
	return b.run(command.Context(), benchmarkOptions{
		full:     full,
		program:  program,
		dir:      dir,
		progress: func(line string) { fmt.Fprintln(command.ErrOrStderr(), line) },
	})
}
