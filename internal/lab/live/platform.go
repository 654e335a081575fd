package live

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"milldeck/internal/lab/proc"
	"milldeck/internal/supervisor"
)

// startPlatform writes the versions' file and starts the platform.
func (c *control) startPlatform(ctx context.Context) error {
	text, err := c.versions()
	if err != nil {
		return err
	}
	dir := c.f.opts.Dir
	path := filepath.Join(dir, "versions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	if c.client, err = supervisor.NewClient(c.supervisorAddr()); err != nil {
		return err
	}
	return c.launchPlatform(ctx)
}

func (c *control) launchPlatform(ctx context.Context) error {
	dir := c.f.opts.Dir
	p, err := proc.Start(proc.Spec{
		Name: "supervisor", Path: c.f.opts.Milldeck, Log: filepath.Join(dir, "supervisor.log"),
		Args: []string{"supervisor", "stand-in", "--listen", c.supervisorAddr(), "--versions", filepath.Join(dir, "versions.toml"),
			"--dir", filepath.Join(dir, "units")},
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.platform = p
	c.mu.Unlock()
	_, err = p.WaitLog(ctx, "msg=serves")
	return err
}

// versions is the platform's file, with a file beside it for what each version of servers does wrong.
func (c *control) versions() (string, error) {
	var b strings.Builder
	for i := range c.file.Versions {
		v := &c.file.Versions[i]
		fmt.Fprintf(&b, "[[version]]\nname = %q\nkind = %q\nready = %q\nrestarts = %d\ngrace_ms = %d\n", v.Name, v.Kind, readyPath, v.MaxRestarts, v.GraceMS)
		env := fmt.Sprintf("%s = \"{name}\", %s = \"{version}\"", unitEnv, versionEnv)
		if v.Kind == "sidecar" {
			fmt.Fprintf(&b, "argv = [%q]\nenv = { NODE_CONFIG = \"{config}\", %s }\n", c.f.opts.Sidecar, env)
			continue
		}
		path := filepath.Join(c.f.opts.Dir, "harm-"+v.Name+".toml")
		if err := os.WriteFile(path, []byte(v.Regression.TOML()), 0o600); err != nil {
			return "", fmt.Errorf("version %s: %w", v.Name, err)
		}
		fmt.Fprintf(&b, "argv = [%q, \"lab\", \"server\", \"--listen\", \"{listen}\", \"--name\", \"{name}\", \"--version\", \"{version}\", \"--config\", \"{config}\", \"--harm\", %q]\nenv = { %s }\n",
			c.f.opts.Milldeck, path, env)
	}
	return b.String(), nil
}

// launch asks the platform to start units that it does not know.
func (c *control) launch(ctx context.Context, all []supervisor.Request) error {
	known, err := c.client.List(ctx)
	if err != nil {
		return err
	}
	for len(all) > 0 {
		n := min(len(all), startBatch)
		for i := range all[:n] {
			all[i].Epoch = known.Epoch
		}
		out, err := c.client.Do(ctx, all[:n]...)
		if err != nil {
			return err
		}
		for i := range out {
			if err := out[i].Err(); err != nil {
				return err
			}
		}
		all = all[n:]
	}
	return nil
}

func (c *control) startServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, planeReady)
	defer cancel()
	var all []supervisor.Request
	for _, s := range c.f.servers {
		all = append(all, supervisor.Request{
			ID: "lab/start/" + s.plan.UID, Op: supervisor.Start, Unit: s.plan.UID, Kind: supervisor.Server,
			Version: c.file.ServerVersion, Listen: c.f.addrs.server(s.plan.AddressSlot, 0), Zone: c.f.plan.Experiment.Zones[s.plan.Zone],
			ConfigName: "base", ConfigText: c.serverFile(s),
		})
	}
	if err := c.launch(ctx, all); err != nil {
		return fmt.Errorf("servers: %w", err)
	}
	for _, s := range c.f.servers {
		for !s.isUp() {
			if !sleep(ctx, readyPoll) {
				return fmt.Errorf("server %s did not get ready within %v: %w; %s", s.plan.UID, planeReady, ctx.Err(), c.platform.Log())
			}
		}
		if err := c.register(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (c *control) startSidecars(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, planeReady)
	defer cancel()
	var all []supervisor.Request
	for _, n := range c.f.nodes {
		text, err := n.config()
		if err != nil {
			return err
		}
		p := &c.f.plan.Sidecars[n.n]
		all = append(all, supervisor.Request{
			ID: "lab/start/" + p.Name, Op: supervisor.Start, Unit: p.Name, Kind: supervisor.Sidecar,
			Version: c.file.SidecarVersion, Listen: n.addr, Zone: c.f.plan.Experiment.Zones[p.Zone], ConfigName: "base", ConfigText: string(text),
		})
	}
	if err := c.launch(ctx, all); err != nil {
		return fmt.Errorf("sidecars: %w", err)
	}
	for _, n := range c.f.nodes {
		for !c.answers(n.addr) {
			if !sleep(ctx, readyPoll) {
				return fmt.Errorf("sidecar %s did not get ready within %v: %w", c.f.plan.Sidecars[n.n].Name, planeReady, ctx.Err())
			}
		}
	}
	return nil
}
