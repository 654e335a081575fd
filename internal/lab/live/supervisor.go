package live

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"milldeck/internal/lab/proc"
	"milldeck/internal/readiness"
	"milldeck/internal/supervisor"
)

// startSupervisor writes the configuration of the versions that the stand-in supervisor can start, and starts it.
func (c *controlPlane) startSupervisor(ctx context.Context) error {
	text, err := c.versionsConfig()
	if err != nil {
		return err
	}
	dir := c.fleet.options.Dir
	path := filepath.Join(dir, "versions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the supervisor's versions: %w", err)
	}
	if c.supervisorClient, err = supervisor.NewClient(c.supervisorAddress()); err != nil {
		return err
	}
	return c.launchSupervisor(ctx)
}

// launchSupervisor starts the supervisor's process and waits until it listens.
func (c *controlPlane) launchSupervisor(ctx context.Context) error {
	dir := c.fleet.options.Dir
	process, err := proc.Start(proc.Spec{
		Name: "supervisor", Path: c.fleet.options.MilldeckPath, Log: filepath.Join(dir, "supervisor.log"),
		Args: []string{"supervisor", "stand-in", "--listen", c.supervisorAddress(), "--versions", filepath.Join(dir, "versions.toml"),
			"--dir", filepath.Join(dir, "units")},
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.supervisor = process
	c.mu.Unlock()
	return process.WaitReady(ctx, c.supervisorAddress(), readiness.Path)
}

// versionsConfig returns the supervisor's configuration of versions. It also writes, for each server version, a file with
// the regression of that version.
func (c *controlPlane) versionsConfig() (string, error) {
	var text strings.Builder
	for i := range c.spec.Versions {
		version := &c.spec.Versions[i]
		fmt.Fprintf(&text, "[[version]]\nname = %q\nkind = %q\nready = %q\n", version.Name, version.Kind, readyPath)
		fmt.Fprintf(&text, "restarts = %d\ngrace_ms = %d\n", version.MaxRestarts, version.GraceMS)
		environment := fmt.Sprintf("%s = \"{name}\", %s = \"{version}\"", unitEnv, versionEnv)
		if version.Kind == "sidecar" {
			fmt.Fprintf(&text, "argv = [%q]\n", c.fleet.options.SidecarPath)
			fmt.Fprintf(&text, "env = { NODE_CONFIG = \"{config}\", %s }\n", environment)
			continue
		}
		path := filepath.Join(c.fleet.options.Dir, "harm-"+version.Name+".toml")
		if err := os.WriteFile(path, []byte(version.Regression.TOML()), 0o600); err != nil {
			return "", fmt.Errorf("version %s: %w", version.Name, err)
		}
		fmt.Fprintf(&text, "argv = [%q, \"lab\", \"server\", \"--listen\", \"{listen}\", \"--name\", \"{name}\", ",
			c.fleet.options.MilldeckPath)
		fmt.Fprintf(&text, "\"--version\", \"{version}\", \"--config\", \"{config}\", \"--harm\", %q]\n", path)
		fmt.Fprintf(&text, "env = { %s }\n", environment)
	}
	return text.String(), nil
}

// startUnits makes the supervisor start units that it does not have yet, in batches.
func (c *controlPlane) startUnits(ctx context.Context, requests []supervisor.Request) error {
	inventory, err := c.supervisorClient.List(ctx)
	if err != nil {
		return err
	}
	for len(requests) > 0 {
		batch := min(len(requests), startBatchSize)
		for i := range requests[:batch] {
			requests[i].Epoch = inventory.Epoch
		}
		results, err := c.supervisorClient.Do(ctx, requests[:batch]...)
		if err != nil {
			return err
		}
		for i := range results {
			if err := results[i].Err(); err != nil {
				return err
			}
		}
		requests = requests[batch:]
	}
	return nil
}

// startServers starts all servers, waits until they are ready and registers them.
func (c *controlPlane) startServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	var requests []supervisor.Request
	for _, server := range c.fleet.servers {
		requests = append(requests, supervisor.Request{
			ID: "lab/start/" + server.plan.UID, Op: supervisor.Start, Unit: server.plan.UID, Kind: supervisor.Server,
			Version: c.spec.ServerVersion, Listen: c.fleet.addresses.server(server.plan.AddressSlot, 0),
			Zone:       c.fleet.plan.Experiment.Zones[server.plan.Zone],
			ConfigName: "base", ConfigText: c.serverConfig(server),
		})
	}
	if err := c.startUnits(ctx, requests); err != nil {
		return fmt.Errorf("servers: %w", err)
	}
	for _, server := range c.fleet.servers {
		for !server.isUp() {
			if !sleep(ctx, readyPollInterval) {
				return fmt.Errorf("server %s was not ready within %v: %w; %s",
					server.plan.UID, startupTimeout, ctx.Err(), c.supervisor.Log())
			}
		}
		if err := c.registerServer(ctx, server); err != nil {
			return err
		}
	}
	return nil
}

// startSidecars starts all sidecars and waits until they are ready.
func (c *controlPlane) startSidecars(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	var requests []supervisor.Request
	for _, sidecar := range c.fleet.sidecars {
		text, err := sidecar.config()
		if err != nil {
			return err
		}
		plan := &c.fleet.plan.Sidecars[sidecar.number]
		requests = append(requests, supervisor.Request{
			ID: "lab/start/" + plan.Name, Op: supervisor.Start, Unit: plan.Name, Kind: supervisor.Sidecar,
			Version: c.spec.SidecarVersion, Listen: sidecar.address,
			Zone:       c.fleet.plan.Experiment.Zones[plan.Zone],
			ConfigName: "base", ConfigText: string(text),
		})
	}
	if err := c.startUnits(ctx, requests); err != nil {
		return fmt.Errorf("sidecars: %w", err)
	}
	for _, sidecar := range c.fleet.sidecars {
		for !c.isReady(sidecar.address) {
			if !sleep(ctx, readyPollInterval) {
				return fmt.Errorf("sidecar %s was not ready within %v: %w",
					c.fleet.plan.Sidecars[sidecar.number].Name, startupTimeout, ctx.Err())
			}
		}
	}
	return nil
}
