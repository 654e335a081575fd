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

// The addresses of a replica without a configuration.
const (
	devHTTP = "127.0.0.1:8500"
	devRaft = "127.0.0.1:8501"
)

// defaultWait bounds a command that calls the registry.
const defaultWait = 10 * time.Second

func newRegistry() *cobra.Command {
	command := &cobra.Command{
		Use:   "registry",
		Short: "The service registry: replicated discovery with leases and watches",
		Long: "registry runs and queries the service registry: one, three or five replicas that share one log and one revision.\n" +
			"docs/registry.md describes it, also when parts of it fail.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newRegistryServe(), newRegistryList(), newRegistryGet(), newRegistryWatch(), newRegistryRegister(),
		newRegistryDeregister(), newRegistryStatus(), newRegistrySuspects(), newRegistryMembers(), newRegistrySnapshot(),
		newRegistryBench())
	return command
}

// asking are the flags of commands that call the registry.
type asking struct {
	replicas []string
	wait     time.Duration
	json     bool
}

// flags adds the flags to a command.
func (a *asking) flags(command *cobra.Command) {
	command.Flags().StringSliceVar(&a.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	command.Flags().DurationVar(&a.wait, "wait", defaultWait, "how long to retry")
	command.Flags().BoolVar(&a.json, "json", false, "print JSON")
}

// with calls run with a client, and a context that ends after --wait.
func (a *asking) with(command *cobra.Command, run func(context.Context, *registry.Client) error) error {
	client, err := registry.NewClient(a.replicas)
	if err != nil {
		return usageError{fmt.Errorf("--replicas: %w", err)}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(command.Context(), a.wait)
	defer cancel()
	return run(ctx, client)
}

// show prints a value as JSON, or as text.
func (a *asking) show(out io.Writer, value any, writeText func(io.Writer) error) error {
	if a.json {
		return json.NewEncoder(out).Encode(value)
	}
	return writeText(out)
}

// runAsking runs a command that calls the registry.
type runAsking func(ctx context.Context, command *cobra.Command, a *asking, client *registry.Client, args []string) error

// asks makes a command that calls the registry.
func asks(use, short string, args int, run runAsking) *cobra.Command {
	a := &asking{}
	command := &cobra.Command{
		Use: use, Short: short, Long: short + ".\n\n" + exitHelp, Args: exactly(args),
		RunE: func(command *cobra.Command, args []string) error {
			return a.with(command, func(ctx context.Context, client *registry.Client) error {
				return run(ctx, command, a, client, args)
			})
		},
	}
	a.flags(command)
	return command
}

// addFreshFlag adds the flag of a linearizable read.
func addFreshFlag(command *cobra.Command, fresh *bool) {
	command.Flags().BoolVar(fresh, "fresh", false, "read the newest state from the leader, or fail")
}

// newTable makes a writer of tables with columns separated by tabs.
func newTable(out io.Writer) *tabwriter.Writer {
	const tabWidth, padding = 4, 2
	return tabwriter.NewWriter(out, 0, tabWidth, padding, ' ', 0)
}
