package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/spf13/cobra"

	"milldeck/internal/lab/live"
)

// newLabServer returns the hidden command that runs a server of the lab. The lab's platform starts it as a process.
func newLabServer() *cobra.Command {
	var listen, configPath, regressionPath string
	var unit live.Unit
	command := &cobra.Command{
		Use: "server", Hidden: true, Short: "Runs one model server until SIGTERM", Args: exactArgs(0),
		Long: "server runs one model server of the lab as a process, until SIGTERM, which drains it. It serves sidecars like a\n" +
			"real server, answers GET /health/ready, and reports its actions to the lab at the address in its configuration.\n\n" +
			exitHelp,
		RunE: func(command *cobra.Command, _ []string) error {
			if configPath == "" {
				return usageError{errors.New("lab server needs --config FILE")}
			}
			server, faults, err := live.LoadServerConfig(configPath, regressionPath)
			if err != nil {
				return err
			}
			if address, err := netip.ParseAddrPort(listen); err != nil || !address.Addr().IsLoopback() {
				return usageError{fmt.Errorf("--listen %s: not an address and port on loopback", listen)}
			}
			listener, err := net.Listen("tcp4", listen)
			if err != nil {
				return usageError{fmt.Errorf("--listen: %w", err)}
			}
			return live.ServeServer(command.Context(), listener, unit, server, faults)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address and port on loopback")
	command.Flags().StringVar(&configPath, "config", "",
		"TOML file with the server model, the rules, the request classes and the address of the lab")
	command.Flags().StringVar(&regressionPath, "harm", "", "TOML file with the regressions of the version")
	command.Flags().StringVar(&unit.Name, "name", "server", "name of the unit")
	command.Flags().StringVar(&unit.Version, "version", "", "name of the version")
	return command
}
