package main

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/agent"
	"milldeck/internal/config"
	"milldeck/internal/readiness"
	"milldeck/internal/registry"
)

// agentFile is the configuration of an agent.
type agentFile struct {
	Listen          string   `toml:"listen"`
	Replicas        []string `toml:"replicas"`
	ListFile        string   `toml:"saved"` // stores the last good endpoint list
	FleetSize       int      `toml:"fleet"` // approximate number of agents
	MaxLossFraction float64  `toml:"share"` // of the ready servers: a list that removes more needs confirmation by a second replica

	PlacementFile   string   `toml:"saved_placement"`
	ReportAddresses []string `toml:"reports"` // addresses to which load reports are forwarded

	Sidecar *sidecarFile `toml:"sidecar"` // absent: no sidecar is registered
}

// sidecarFile is the configuration of the sidecar that an agent registers.
type sidecarFile struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Tenant  string `toml:"tenant"`
	Version string `toml:"version"`
	LeaseMS int64  `toml:"lease_ms"`
}

// options returns the options of the sidecar, or nil if none is configured.
func (f *sidecarFile) options() *agent.SidecarOptions {
	if f == nil {
		return nil
	}
	return &agent.SidecarOptions{
		Name:     f.Name,
		Address:  f.Address,
		Zone:     f.Zone,
		Tenant:   f.Tenant,
		Version:  f.Version,
		LeaseTTL: time.Duration(f.LeaseMS) * time.Millisecond,
	}
}

// load reads the configuration of an agent and returns its options.
func (f *agentFile) load(path string) (agent.Options, error) {
	file, err := config.Load(path, f)
	if err != nil {
		return agent.Options{}, err
	}
	if err := registry.CheckLoopback("listen", f.Listen); err != nil {
		return agent.Options{}, file.Errorf("listen", "%v", err)
	}
	if _, err := registry.NewClient(f.Replicas); err != nil {
		return agent.Options{}, file.Errorf("replicas", "%v", err)
	}
	if f.FleetSize < 0 || f.MaxLossFraction < 0 || f.MaxLossFraction > 1 {
		return agent.Options{}, file.Errorf("share", "fleet %d is negative, or share %v is not within 0 to 1", f.FleetSize, f.MaxLossFraction)
	}
	sidecar := f.Sidecar.options()
	if sidecar != nil {
		if err := sidecar.Validate(); err != nil {
			return agent.Options{}, file.Errorf("sidecar", "%v", err)
		}
	}
	return agent.Options{
		Listen:          f.Listen,
		Replicas:        f.Replicas,
		ListFile:        f.ListFile,
		FleetSize:       f.FleetSize,
		MaxLossFraction: f.MaxLossFraction,
		PlacementFile:   f.PlacementFile,
		ReportAddresses: f.ReportAddresses,
		Sidecar:         sidecar,
	}, nil
}

func newAgent() *cobra.Command {
	var path string
	var reports []string
	command := &cobra.Command{
		Use:   "agent",
		Short: "Runs the node agent beside a sidecar until SIGTERM",
		Long: "agent watches the registry and serves discovery, as the platform's protocol defines it, to the sidecar on this\n" +
			"machine. While the registry is unavailable, it serves the last good list, even after a restart of the agent.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				return usageError{errors.New("agent needs --config FILE")}
			}
			var file agentFile
			options, err := file.load(path)
			if err != nil {
				return err
			}
			options.ReportAddresses = slices.Concat(options.ReportAddresses, reports)
			return serveAgent(command.Context(), options)
		},
	}
	command.Flags().StringVar(&path, "config", "", "configuration file of the agent (TOML)")
	command.Flags().StringSliceVar(&reports, "reports", nil,
		"addresses to which load reports are forwarded, in addition to those in the configuration")
	return command
}

// serveAgent runs an agent until ctx is cancelled.
func serveAgent(ctx context.Context, options agent.Options) error {
	started, err := agent.Start(options)
	if err != nil {
		return err
	}
	readiness.LogListening(started.Addr(), "replicas", strings.Join(options.Replicas, ","))
	<-ctx.Done()
	return started.Close()
}
