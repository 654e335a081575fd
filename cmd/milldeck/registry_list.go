package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

func newRegistryList() *cobra.Command {
	var fresh bool
	command := newClientCommand("list", "Prints the instances", 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
			list, err := client.List(ctx, fresh)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), list, func(out io.Writer) error { return writeEndpointList(out, list) })
		})
	addFreshFlag(command, &fresh)
	return command
}

// writeEndpointList writes the endpoint list as a table.
func writeEndpointList(out io.Writer, list registry.EndpointList) error {
	fmt.Fprintf(out, "revision %d, epoch %d, %d instances\n", list.Revision, list.Epoch, len(list.Targets))
	table := newTable(out)
	for _, target := range list.Targets {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%g\n",
			target.UID, target.Endpoint, target.Zone, target.Model, target.State, target.Capacity)
	}
	return table.Flush()
}
