package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"milldeck/internal/registry"
)

func newRegistryRegister() *cobra.Command {
	var instance registry.Instance
	var hold bool
	registryFlags := &clientFlags{}
	command := &cobra.Command{
		Use: "register UID ENDPOINT", Short: "Registers an instance", Args: exactArgs(2),
		Long: "register registers an instance. With --hold it renews the lease, and deregisters after an interrupt.\n\n" +
			exitHelp,
		RunE: func(command *cobra.Command, args []string) error {
			instance.UID, instance.Endpoint, instance.State = args[0], args[1], registry.InstanceReady
			return registryFlags.withClient(command, func(ctx context.Context, client *registry.Client) error {
				if hold {
					return registry.NewLeaseKeepAlive(client, instance).Run(command.Context())
				}
				result, err := client.Register(ctx, registry.WriteOptions{}, instance)
				if err != nil {
					return err
				}
				return registryFlags.print(command.OutOrStdout(), result, func(out io.Writer) error {
					_, err := fmt.Fprintf(out, "registered at revision %d\n", result.Revision)
					return err
				})
			})
		},
	}
	registryFlags.addTo(command)
	flags := command.Flags()
	flags.StringVar(&instance.Zone, "zone", "", "zone")
	flags.StringVar(&instance.Model, "model", "", "machine model")
	flags.IntVar(&instance.PodGroup, "pod", 0, "pod group")
	flags.Float64Var(&instance.Capacity, "capacity", 1, "capacity hint")
	flags.Float64Var(&instance.BootMS, "boot-ms", 0, "time of the last start, in Unix ms")
	flags.Int64Var(&instance.TTLMS, "ttl-ms", 0, "lease duration in ms; 0: the registration never expires")
	flags.BoolVar(&hold, "hold", false, "keep running, renew the lease, and deregister at the end")
	return command
}
