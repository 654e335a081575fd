package live

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
	"milldeck/internal/supervisor"
)

const (
	// platformSlack in ms is how long after a fault of the platform's its doing may still show.
	platformSlack = 5000
	// leaderWait bounds the question who leads, at the time of a fault.
	leaderWait = 2 * time.Second
	forever    = 1e12 // ms
)

// begin begins a fault at processes of the control plane, and tells the judge which units it befalls.
func (c *control) begin(ctx context.Context, ft *lab.Fault) {
	c.excuse(ft)
	if ft.Leader {
		c.leader(ctx, ft)
	}
	for _, n := range ft.Replicas {
		if links := c.f.registry.links; ft.Kind == lab.FaultPartition && links != nil {
			links.Partition(n, lab.RegistryReplicas, true)
		}
	}
	switch ft.Kind {
	case lab.FaultKill:
		for _, p := range c.befallen(ft) {
			p.Kill()
		}
	case lab.FaultFreeze:
		signalAll(syscall.SIGSTOP, c.befallen(ft)...)
	case lab.FaultSupervisor:
		c.trouble(ft.Label, c.misbehave(ctx, ft))
	}
}

// end ends it: what was killed is started again, what was stopped goes on.
func (c *control) end(ctx context.Context, ft *lab.Fault) {
	for _, n := range ft.Replicas {
		if links := c.f.registry.links; ft.Kind == lab.FaultPartition && links != nil {
			links.Partition(n, lab.RegistryReplicas, false)
		}
	}
	switch {
	case ft.Kind == lab.FaultFreeze:
		signalAll(syscall.SIGCONT, c.befallen(ft)...)
	case ft.Kind == lab.FaultKill && ctx.Err() == nil:
		c.trouble(ft.Label, c.again(ctx, ft))
	}
}

// excuse tells the judge of units that the lab itself takes out.
func (c *control) excuse(ft *lab.Fault) {
	until := ft.EndMS + c.file.DetectionMS
	if ft.EndMS == 0 {
		until = forever
	}
	switch ft.Kind {
	case lab.FaultSupervisor:
		c.judge.SupervisorFault(ft.Misbehaviour, ft.StartMS, max(ft.StartMS, ft.EndMS)+platformSlack)
	case lab.FaultKill, lab.FaultFreeze, lab.FaultRestart, lab.FaultZoneOutage:
		for _, i := range ft.Servers {
			c.judge.FaultInjected(c.f.plan.Servers[i].UID, ft.StartMS, until)
		}
		for _, i := range ft.Sidecars {
			c.judge.FaultInjected(c.f.plan.Sidecars[i].Name, ft.StartMS, until)
		}
	}
}

// befall begins a fault at a server that the platform has started.
func (c *control) befall(ctx context.Context, s *server, ft *lab.Fault) {
	switch ft.Kind {
	case lab.FaultKill, lab.FaultZoneOutage:
		c.signal(s.plan.UID, syscall.SIGKILL)
	case lab.FaultRestart:
		c.trouble(ft.Label, c.restart(ctx, s.plan.UID))
	default:
		s.suffer(ft, true) // its process is told with each request
	}
}

// spare ends it.
func (c *control) spare(ctx context.Context, s *server, ft *lab.Fault) {
	switch ft.Kind {
	case lab.FaultKill, lab.FaultZoneOutage:
		if ctx.Err() == nil {
			c.trouble(ft.Label, c.revive(ctx, s.plan.UID))
		}
	default:
		s.suffer(ft, false)
	}
}

// revive has the platform start a unit that a fault has killed, where nobody else has meanwhile.
func (c *control) revive(ctx context.Context, unit string) error {
	return c.once(ctx, unit, supervisor.Start)
}

// restart has the platform restart a unit, as its planned restarts do.
func (c *control) restart(ctx context.Context, unit string) error {
	return c.once(ctx, unit, supervisor.Restart)
}

// once asks the platform for one thing, as it was before. What others have done to the unit meanwhile is no trouble.
func (c *control) once(ctx context.Context, unit string, op supervisor.Op) error {
	known, err := c.client.List(ctx)
	if err != nil {
		return err
	}
	u := known.Find(unit)
	if u == nil || op == supervisor.Start && u.State != supervisor.Exited {
		return nil
	}
	_, err = c.client.Do(ctx, supervisor.Request{
		ID: fmt.Sprintf("lab/%s/%s/%d", op, unit, u.Incarnation), Op: op, Epoch: known.Epoch, Unit: unit, Incarnation: u.Incarnation,
		Kind: u.Kind, Version: u.Version, Listen: u.Listen, Zone: u.Zone, ConfigName: u.ConfigName,
	})
	return err
}

// leader finds who leads now, once for a fault.
func (c *control) leader(ctx context.Context, ft *lab.Fault) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	r, err := c.f.registry.cluster.AwaitLeader(ctx)
	if err != nil {
		slog.Warn("nobody leads, so that replica 0 is taken", "fault", ft.Label)
		ft.Replicas = []int{0}
		return
	}
	ft.Replicas = []int{r.Index}
}

// befallen are the processes that a fault befalls.
func (c *control) befallen(ft *lab.Fault) []*proc.Process {
	var out []*proc.Process
	for _, n := range ft.Replicas {
		out = append(out, c.f.registry.cluster.Replicas[n].Process)
	}
	for _, n := range ft.Agents {
		out = append(out, c.f.registry.agents[n])
	}
	for _, k := range c.named(ft) {
		if p := k.running(); p != nil {
			out = append(out, p)
		}
	}
	if ft.Supervisor {
		c.mu.Lock()
		out = append(out, c.platform)
		c.mu.Unlock()
	}
	return out
}

// named are the controllers that a fault names.
func (c *control) named(ft *lab.Fault) []*controller {
	var out []*controller
	for _, name := range ft.Controllers {
		for _, k := range c.controllers {
			if k.file.Name == name {
				out = append(out, k)
			}
		}
	}
	return out
}

// again starts what a fault has killed.
func (c *control) again(ctx context.Context, ft *lab.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, controllerReady)
	defer cancel()
	for _, n := range ft.Replicas {
		if err := c.f.registry.cluster.Replicas[n].Start(); err != nil {
			return err
		}
	}
	for _, n := range ft.Agents {
		if err := c.f.registry.launchAgent(ctx, c.f.agents[n]); err != nil {
			return err
		}
	}
	for _, k := range c.named(ft) {
		if err := k.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// misbehave has the platform do wrong.
func (c *control) misbehave(ctx context.Context, ft *lab.Fault) error {
	body, err := json.Marshal(map[string]any{
		"kind": ft.Misbehaviour, "on": ft.Operation, "count": ft.CallCount, "for_ms": int64(max(0, ft.EndMS-ft.StartMS)), "delay_ms": int64(ft.DelayMS),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.supervisorAddr()+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	said, err := io.ReadAll(io.LimitReader(resp.Body, mostSaid))
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("the platform answers %s: %s", resp.Status, tail(said))
	}
	return err
}
