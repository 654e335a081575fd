package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

func newRegistrySuspects() *cobra.Command {
	return newClientCommand("suspects keep|expire", "Keeps or expires the instances whose expiry is held back", 1,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			decision := args[0]
			if decision != "keep" && decision != "expire" {
				return usageError{fmt.Errorf("registry suspects needs keep or expire, not %q", decision)}
			}
			result, err := client.ResolveSuspects(ctx, decision == "expire")
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), result, func(out io.Writer) error {
				_, err := fmt.Fprintln(out, result.Outcome, result.Reason)
				return err
			})
		})
}
