package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"

	"github.com/spf13/cobra"

	"milldeck/internal/supervisor/standin"
)

// newSupervisor returns the commands of the lab's platform. They are hidden: a site's own platform is met as
// docs/supervisor.md says.
func newSupervisor() *cobra.Command {
	command := &cobra.Command{
		Use:    "supervisor",
		Hidden: true,
		Short:  "The platform that starts and stops processes",
		Args:   exactArgs(0),
		RunE:   func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newStandIn())
	return command
}

// standInOptions are the flags of supervisor stand-in.
type standInOptions struct {
	listen, versions, dir string
}

func newStandIn() *cobra.Command {
	options := &standInOptions{}
	command := &cobra.Command{
		Use:   "stand-in",
		Short: "Runs the lab's platform until SIGTERM, and stops what it has started",
		Long: "stand-in starts, stops and lists processes as a platform does, and fails when a fault is injected. docs/supervisor.md\n" +
			"describes its HTTP form and its faults.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return options.serve(command.Context()) },
	}
	command.Flags().StringVar(&options.listen, "listen", "127.0.0.1:0", "address on loopback")
	command.Flags().StringVar(&options.versions, "versions", "", "TOML file of the versions that it can run")
	command.Flags().StringVar(&options.dir, "dir", "", "folder of logs and configurations (default: one of its own, removed at the end)")
	return command
}

// serve runs a platform until ctx ends.
func (o *standInOptions) serve(ctx context.Context) error {
	if o.versions == "" {
		return usageError{errors.New("supervisor stand-in needs --versions FILE")}
	}
	versions, err := standin.LoadVersions(o.versions)
	if err != nil {
		return err
	}
	dir, removeDir, err := o.makeDir()
	if err != nil {
		return err
	}
	defer removeDir()
	listener, err := net.Listen("tcp4", o.listen)
	if err != nil {
		return usageError{fmt.Errorf("--listen: %w", err)}
	}
	return standin.Serve(ctx, listener, versions, dir)
}

// makeDir makes the folder of logs and configurations. removeDir removes it where it is a temporary one.
func (o *standInOptions) makeDir() (dir string, removeDir func(), err error) {
	if o.dir != "" {
		return o.dir, func() {}, os.MkdirAll(o.dir, 0o755)
	}
	dir, err = os.MkdirTemp("", "milldeck-supervisor-")
	if err != nil {
		return "", nil, err
	}
	removeDir = func() {
		if err := os.RemoveAll(dir); err != nil {
			slog.Warn("temporary folder removal failed", "dir", dir, "error", err)
		}
	}
	return dir, removeDir, nil
}
