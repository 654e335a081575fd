package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/spf13/cobra"

	"milldeck/internal/supervisor/standin"
)

// newSupervisor is hidden: a platform of one's own is met through docs/supervisor.md, the stand-in serves the lab.
func newSupervisor() *cobra.Command {
	c := &cobra.Command{
		Use: "supervisor", Hidden: true, Short: "The platform that starts and stops processes", Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newStandIn())
	return c
}

func newStandIn() *cobra.Command {
	var listen, versions, dir string
	c := &cobra.Command{
		Use: "stand-in", Short: "Runs the lab's platform until SIGTERM, and ends what it has started", Args: exactly(0),
		Long: "stand-in starts, stops and lists processes as a platform does, and fails when it is told to. docs/supervisor.md\n" +
			"tells its HTTP form and its faults.\n\n" + exitHelp,
		RunE: func(c *cobra.Command, _ []string) error {
			if versions == "" {
				return usageError{errors.New("supervisor stand-in needs --versions FILE")}
			}
			v, err := standin.LoadVersions(versions)
			if err != nil {
				return err
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "milldeck-supervisor-"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			} else if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			ln, err := net.Listen("tcp4", listen)
			if err != nil {
				return usageError{fmt.Errorf("--listen: %w", err)}
			}
			return standin.Serve(c.Context(), ln, v, dir)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address on loopback")
	c.Flags().StringVar(&versions, "versions", "", "TOML file of the versions that it can run")
	c.Flags().StringVar(&dir, "dir", "", "where logs and configurations stand (default: a directory of its own, removed at the end)")
	return c
}
