package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

func newRegistryDeregister() *cobra.Command {
	return newClientCommand("deregister UID", "Removes an instance", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			result, err := client.Deregister(ctx, registry.WriteOptions{}, args[0])
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), result, func(out io.Writer) error {
				_, err := fmt.Fprintf(out, "removed at revision %d\n", result.Revision)
				return err
			})
		})
}
