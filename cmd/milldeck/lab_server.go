package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/spf13/cobra"

	"milldeck/internal/lab/live"
)

// newLabServer is hidden: it is what the lab's platform starts.
func newLabServer() *cobra.Command {
	var listen, configPath, regressionPath string
	var unit live.Unit
	command := &cobra.Command{
		Use: "server", Hidden: true, Short: "Runs one model server until SIGTERM", Args: exactArgs(0),
		Long: "server runs one of the lab's model servers as a process, until SIGTERM, which drains it. It speaks to sidecars as\n" +
			"a real one does, answers GET /health/ready, and reports what it does to the lab at the address in its configuration.\n\n" + exitHelp,
		RunE: func(command *cobra.Command, _ []string) error {
			if configPath == "" {
				return usageError{errors.New("lab server needs --config FILE")}
			}
			server, faults, err := live.LoadServerConfig(configPath, regressionPath)
			if err != nil {
				return err
			}
			if address, err := netip.ParseAddrPort(listen); err != nil || !address.Addr().IsLoopback() {
				return usageError{fmt.Errorf("--listen %s: no address and port on loopback", listen)}
			}
			listener, err := net.Listen("tcp4", listen)
			if err != nil {
				return usageError{fmt.Errorf("--listen: %w", err)}
			}
			return live.ServeServer(command.Context(), listener, unit, server, faults)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address on loopback")
	command.Flags().StringVar(&configPath, "config", "", "TOML file: the model of its kind, rules, request classes and the lab's address")
	command.Flags().StringVar(&regressionPath, "harm", "", "TOML file of the regressions of its version")
	command.Flags().StringVar(&unit.Name, "name", "server", "name of its unit")
	command.Flags().StringVar(&unit.Version, "version", "", "name of its version")
	return command
}
