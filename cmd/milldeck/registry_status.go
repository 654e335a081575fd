package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

// replicaStatus is the status of a replica, or the error of the request for it.
type replicaStatus struct {
	registry.Status
	Error string `json:"error,omitempty"`
}

func newRegistryStatus() *cobra.Command {
	return newClientCommand("status", "Prints the status of each replica", 0,
		func(ctx context.Context, command *cobra.Command, flags *clientFlags, client *registry.Client, _ []string) error {
			var replicas []replicaStatus
			for _, address := range client.Replicas() {
				status, err := client.ReplicaStatus(ctx, address)
				replica := replicaStatus{Status: status}
				if err != nil {
					replica.HTTPAddr, replica.Error = address, err.Error()
				}
				replicas = append(replicas, replica)
			}
			return flags.print(command.OutOrStdout(), replicas, func(out io.Writer) error { return writeReplicas(out, replicas) })
		})
}

// writeReplicas writes the status of replicas as a table.
func writeReplicas(out io.Writer, replicas []replicaStatus) error {
	table := newTable(out)
	fmt.Fprintln(table, "replica\trole\trevision\tinstances\tsuspects\twatchers\tage ms")
	for _, replica := range replicas {
		if replica.Error != "" {
			fmt.Fprintf(table, "%s\t%s\n", replica.HTTPAddr, replica.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", replica.HTTPAddr, replica.Role, replica.Revision,
			replica.Instances, replica.Suspects, replica.Watchers, replica.AgeMS)
	}
	return table.Flush()
}
