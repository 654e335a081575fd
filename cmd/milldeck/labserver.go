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
	var listen, config, harm string
	var unit live.Unit
	c := &cobra.Command{
		Use: "server", Hidden: true, Short: "Runs one model server until SIGTERM", Args: exactly(0),
		Long: "server runs one of the lab's model servers as a process, until SIGTERM, which drains it. It speaks to sidecars as\n" +
			"a real one does, answers GET /health/ready, and tells the lab that its configuration names what it does.\n\n" + exitHelp,
		RunE: func(c *cobra.Command, _ []string) error {
			if config == "" {
				return usageError{errors.New("lab server needs --config FILE")}
			}
			f, h, err := live.LoadServer(config, harm)
			if err != nil {
				return err
			}
			if at, err := netip.ParseAddrPort(listen); err != nil || !at.Addr().IsLoopback() {
				return usageError{fmt.Errorf("--listen %s: no address and port on loopback", listen)}
			}
			ln, err := net.Listen("tcp4", listen)
			if err != nil {
				return usageError{fmt.Errorf("--listen: %w", err)}
			}
			return live.ServeServer(c.Context(), ln, unit, f, h)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address on loopback")
	c.Flags().StringVar(&config, "config", "", "TOML file: the kind's model, rules, classes and the lab's address")
	c.Flags().StringVar(&harm, "harm", "", "TOML file of what its version does wrong")
	c.Flags().StringVar(&unit.Name, "name", "server", "its unit's name")
	c.Flags().StringVar(&unit.Version, "version", "", "its version's name")
	return c
}
