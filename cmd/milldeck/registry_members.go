package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

func newRegistryMembers() *cobra.Command {
	command := &cobra.Command{
		Use: "members", Short: "Lists, adds and removes replicas",
		Long: "members lists the replicas of the cluster, and adds and removes replicas while the cluster runs.\n\n" + exitHelp,
		Args: exactArgs(0), RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(
		newMembersCommand("list", "Prints the replicas", 0,
			func(ctx context.Context, client *registry.Client, _ []string) ([]registry.Member, error) {
				return client.Members(ctx)
			}),
		newMembersCommand("add HTTP RAFT", "Adds a replica that runs with an empty data directory", 2,
			func(ctx context.Context, client *registry.Client, args []string) ([]registry.Member, error) {
				return client.AddMember(ctx, registry.Member{HTTPAddr: args[0], RaftAddr: args[1]})
			}),
		newMembersCommand("remove HTTP", "Removes a replica", 1,
			func(ctx context.Context, client *registry.Client, args []string) ([]registry.Member, error) {
				return client.RemoveMember(ctx, args[0])
			}))
	return command
}

// membersCall is a call to the registry that returns the members of the cluster.
type membersCall func(ctx context.Context, client *registry.Client, args []string) ([]registry.Member, error)

// newMembersCommand returns a command that performs a call and prints the members.
func newMembersCommand(use, short string, args int, call membersCall) *cobra.Command {
	return newClientCommand(use, short, args,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, args []string) error {
			members, err := call(ctx, client, args)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), members, func(out io.Writer) error {
				for _, member := range members {
					fmt.Fprintf(out, "%s (raft %s)\n", member.HTTPAddr, member.RaftAddr)
				}
				return nil
			})
		})
}
