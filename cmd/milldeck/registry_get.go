package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

func newRegistryGet() *cobra.Command {
	var fresh bool
	command := newClientCommand("get UID", "Prints one instance", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			instance, err := client.Get(ctx, args[0], fresh)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), instance, func(out io.Writer) error {
				_, err := fmt.Fprintf(out, "%s %s %s %s, revision %d, lease %d ms\n",
					instance.UID, instance.Endpoint, instance.Zone, instance.State, instance.Revision, instance.TTLMS)
				return err
			})
		})
	addFreshFlag(command, &fresh)
	return command
}
