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

// newSupervisor returns the commands of the lab's platform. They are hidden because a site uses its own platform, through
// the interface in docs/supervisor.md.
func newSupervisor() *cobra.Command {
	command := &cobra.Command{
		Use:    "supervisor",
		Hidden: true,
		Short:  "Platform that starts and stops processes",
		Args:   exactArgs(0),
		RunE:   func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newStandIn())
	return command
}

// standInOptions are the flags of `milldeck supervisor stand-in`.
type standInOptions struct {
	listen, versions, dir string
}

func newStandIn() *cobra.Command {
	options := &standInOptions{}
	command := &cobra.Command{
		Use:   "stand-in",
		Short: "Runs the lab's platform until SIGTERM, and then stops the processes that it has started",
		Long: "stand-in starts, stops and lists processes like a production platform, and fails as injected faults demand.\n" +
			"docs/supervisor.md describes its HTTP interface and its faults.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return options.serve(command.Context()) },
	}
	command.Flags().StringVar(&options.listen, "listen", "127.0.0.1:0", "address and port on loopback")
	command.Flags().StringVar(&options.versions, "versions", "", "TOML file with the versions that the platform can run")
	command.Flags().StringVar(&options.dir, "dir", "",
		"directory for logs and configurations (default: a temporary one, removed at the end)")
	return command
}

// serve runs a platform until ctx is cancelled.
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

// makeDir creates the directory for logs and configurations. removeDir removes it if it is a temporary one.
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
