package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

// watchRetryDelay is the delay after a failed watch.
const watchRetryDelay = time.Second

func newRegistryWatch() *cobra.Command {
	flags := &clientFlags{}
	w := &endpointWatch{flags: flags}
	command := &cobra.Command{
		Use: "watch", Short: "Prints each change of the instances, until an interrupt", Args: exactArgs(0),
		Long: "watch prints each change of the instances, until an interrupt. When a replica fails, it watches another one.\n\n" +
			exitHelp,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.withClient(command, func(_ context.Context, client *registry.Client) error {
				return w.run(command.Context(), command.OutOrStdout(), client)
			})
		},
	}
	flags.addTo(command)
	command.Flags().Uint64Var(&w.revision, "after", 0, "print the changes after this revision; 0: print the complete list first")
	command.Flags().Uint64Var(&w.epoch, "epoch", 0, "epoch of the revision in --after")
	return command
}

// endpointWatch prints the changes of the endpoint list after a revision in an epoch. It advances the revision and epoch with
// each change.
type endpointWatch struct {
	flags           *clientFlags
	revision, epoch uint64
}

// run watches one replica after the other until ctx is cancelled. After the failure of a replica, it continues from the last
// printed revision.
func (w *endpointWatch) run(ctx context.Context, out io.Writer, client *registry.Client) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		replica := client.Replicas()[attempt%len(client.Replicas())]
		err := client.WatchEndpoints(ctx, replica, w.revision, w.epoch, func(list *registry.EndpointList, _ time.Duration) error {
			return w.print(out, list)
		})
		slog.Debug("endpoint watch failed", "component", "watch", "replica", replica, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
	return nil
}

// print prints an event of the watch unless it was printed before. A nil list is a heartbeat.
func (w *endpointWatch) print(out io.Writer, list *registry.EndpointList) error {
	if list == nil || list.Epoch == w.epoch && list.Revision <= w.revision && !list.Complete {
		return nil
	}
	w.revision, w.epoch = list.Revision, list.Epoch
	return w.flags.print(out, list, func(out io.Writer) error {
		for _, target := range list.Targets {
			fmt.Fprintf(out, "%d %s %s %s\n", list.Revision, target.UID, target.Endpoint, target.State)
		}
		return nil
	})
}
