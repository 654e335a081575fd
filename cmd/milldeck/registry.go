package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

// The addresses of a replica that runs with --dev. Commands connect to devHTTP by default.
const (
	devHTTP = "127.0.0.1:8500"
	devRaft = "127.0.0.1:8501"
)

// defaultWait is the default time limit of a command that calls the registry.
const defaultWait = 10 * time.Second

func newRegistry() *cobra.Command {
	command := &cobra.Command{
		Use:   "registry",
		Short: "The service registry: replicated discovery with leases and watches",
		Long: "registry runs and queries the service registry: one, three or five replicas that share one log and one revision.\n" +
			"docs/registry.md describes it, and its behaviour when parts of it fail.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newRegistryServe(), newRegistryList(), newRegistryGet(), newRegistryWatch(), newRegistryRegister(),
		newRegistryDeregister(), newRegistryStatus(), newRegistrySuspects(), newRegistryMembers(), newRegistrySnapshot(),
		newRegistryBench())
	return command
}

// clientFlags are the flags of commands that call the registry.
type clientFlags struct {
	replicas []string
	wait     time.Duration
	json     bool
}

func (f *clientFlags) addTo(command *cobra.Command) {
	command.Flags().StringSliceVar(&f.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	command.Flags().DurationVar(&f.wait, "wait", defaultWait, "time limit of the command, with its retries")
	command.Flags().BoolVar(&f.json, "json", false, "print JSON")
}

// withClient calls run with a client, and with a context whose timeout is --wait.
func (f *clientFlags) withClient(command *cobra.Command, run func(context.Context, *registry.Client) error) error {
	client, err := registry.NewClient(f.replicas)
	if err != nil {
		return usageError{fmt.Errorf("--replicas: %w", err)}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(command.Context(), f.wait)
	defer cancel()
	return run(ctx, client)
}

// print prints a value as JSON if --json is set, otherwise as text.
func (f *clientFlags) print(out io.Writer, value any, writeText func(io.Writer) error) error {
	if f.json {
		return json.NewEncoder(out).Encode(value)
	}
	return writeText(out)
}

// runClientCommand is the body of a command that calls the registry.
type runClientCommand func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error

// newClientCommand returns a command that calls the registry and takes args positional arguments.
func newClientCommand(use, short string, args int, run runClientCommand) *cobra.Command {
	flags := &clientFlags{}
	command := &cobra.Command{
		Use: use, Short: short, Long: short + ".\n\n" + exitHelp, Args: exactArgs(args),
		RunE: func(command *cobra.Command, args []string) error {
			return flags.withClient(command, func(ctx context.Context, client *registry.Client) error {
				return run(ctx, command, flags, client, args)
			})
		},
	}
	flags.addTo(command)
	return command
}

// addFreshFlag adds the flag that requests a linearizable read.
func addFreshFlag(command *cobra.Command, fresh *bool) {
	command.Flags().BoolVar(fresh, "fresh", false, "read the latest state from the leader, or fail")
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer {
	const tabWidth, padding = 4, 2
	return tabwriter.NewWriter(out, 0, tabWidth, padding, ' ', 0)
}
