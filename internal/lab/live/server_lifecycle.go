package live

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
)

// serverConfig is the configuration of a server's process.
func (c *controlPlane) serverConfig(server *server) string {
	experiment := c.fleet.plan.Experiment
	spec, plan := server.plan.Spec, server.plan
	var text strings.Builder
	fmt.Fprintf(&text, "lab = %q\nnumber = %d\nzone = %d\npod = %d\nspeed = %v\ncold_ms = %v\nwarm = true\nseed = %d\nprobes = %v\n",
		c.labServiceAddress(), server.number, plan.Zone, plan.Cell, tomlFloat(plan.Speed), tomlFloat(plan.SlowStartMS), c.fleet.plan.Seed>>1, experiment.Limits.AllowHealthChecks)
	fmt.Fprintf(&text, "[rules]\nfall_multiple = %v\nfall_ms = %v\n", tomlFloat(experiment.Rules.OverloadMultiple), tomlFloat(experiment.Rules.OverloadWindowMS))
	fmt.Fprintf(&text, "[kind]\nkind = %q\ncores = %d\nqueue = %d\npod_size = %d\ncold_from = %v\n", spec.Kind, spec.Cores, spec.QueueLength, spec.CellSize, tomlFloat(spec.SlowStartFrom))
	fmt.Fprintf(&text, "choke_at = %v\nchoke_for_ms = %v\nchoke_slower = %v\nchoke_idle_ms = %v\nchoke_most_ms = %v\n",
		tomlFloat(spec.CongestionQueuePerCore), tomlFloat(spec.CongestionAfterMS), tomlFloat(spec.CongestionSlowdown), tomlFloat(spec.CongestionIdleMS), tomlFloat(spec.CongestionMaxMS))
	fmt.Fprintf(&text, "warm_gain = %v\nwarm_ms = %v\nwarm_keys = %d\nconnections = %d\nidle_close_ms = %v\nhandshake_ms = %v\nerror_rate = %v\n",
		tomlFloat(spec.CacheGain), tomlFloat(spec.CacheTTLMS), spec.CacheKeys, spec.MaxConnections, tomlFloat(spec.IdleCloseMS), tomlFloat(spec.HandshakeMS), tomlFloat(spec.ErrorRate))
	for i := range experiment.Classes {
		spec := &experiment.Classes[i]
		fmt.Fprintf(&text, "[[class]]\nname = %q\nshare = %v\nwork_ms = [%v, %v]\naim_ms = %v\ndeadline_ms = %v\nworth = %v\neffect = %q\n",
			spec.Name, tomlFloat(spec.Share), tomlFloat(spec.WorkMS.Min), tomlFloat(spec.WorkMS.Max), tomlFloat(spec.LatencyObjectiveMS), tomlFloat(spec.DeadlineMS), tomlFloat(spec.PriorityWeight), spec.Idempotency)
		if spec.DeduplicationScope != "" {
			fmt.Fprintf(&text, "group = %q\nwindow_ms = %v\n", spec.DeduplicationScope, tomlFloat(spec.IdempotencyWindowMS))
		}
	}
	return text.String()
}

// tomlFloat is a figure as TOML has it: with a point.
func tomlFloat(value float64) string {
	text := fmt.Sprintf("%g", value)
	if !strings.ContainsAny(text, ".e") {
		text += ".0"
	}
	return text
}

// registerServer has a server in the list for the first time, before anybody reads it.
func (c *controlPlane) registerServer(ctx context.Context, server *server) error {
	registryService := c.fleet.registryService
	c.fleet.publishedMu.Lock()
	c.fleet.publishedStates[server.number] = stateReady
	c.fleet.publishedMu.Unlock()
	registryService.leases.Add(registryService.instance(server))
	if err := registryService.leases.RenewOnce(ctx); err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	return nil
}

// serverReady lists a server whose process answers the platform's ready check; its first life in the run is warm.
func (c *controlPlane) serverReady(server *server, version string, firstIncarnation bool) {
	server.mu.Lock()
	if server.up {
		server.mu.Unlock()
		return
	}
	server.up, server.version = true, version
	server.incarnation++
	if !firstIncarnation {
		server.bootMS = c.now()
	}
	server.mu.Unlock()
	if !firstIncarnation {
		c.fleet.publishState(server, stateReady)
	}
}

// serverExited ends a server's life: it deregisters where it was told to end, else its lease runs out.
func (c *controlPlane) serverExited(server *server, terminationRequested bool) {
	server.mu.Lock()
	wasUp := server.up
	server.up = false
	server.mu.Unlock()
	switch {
	case !wasUp || c.finished.Load():
	case terminationRequested:
		c.fleet.publishState(server, stateGone)
	default:
		c.fleet.registryService.leases.Remove(server.plan.UID)
	}
}

// reportWarmedUp tells the ledger of servers that have warmed up after a start: who operates servers sees that, the list does
// not. A unit that has changed since it was looked at is left alone.
func (c *controlPlane) reportWarmedUp() {
	client := c.fleet.registryService.client
	for sleep(c.ctx, time.Second) && !c.finished.Load() {
		ctx, cancel := context.WithTimeout(c.ctx, registryWriteTimeout)
		view, err := client.LedgerView(ctx, true, true)
		var warmedUp []disruption.Unit
		for i := range view.Units {
			unit := &view.Units[i]
			if number, ok := c.serverByUnit[unitName(unit.ID)]; ok && unit.Condition == disruption.ConditionWarmingUp && c.isWarm(c.fleet.servers[number]) {
				warmedUp = append(warmedUp, disruption.Unit{ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: unit.TransitionRevision})
			}
		}
		if err == nil && len(warmedUp) > 0 {
			_, err = client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpObserve, Owner: "operator/lab", Observed: warmedUp})
		}
		if err != nil && c.ctx.Err() == nil {
			slog.Debug("not seen as warm", "units", len(warmedUp), "error", err)
		}
		cancel()
	}
}

// unitName is the name of a unit of the ledger.
func unitName(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

func (c *controlPlane) isWarm(server *server) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.up && c.now() >= server.bootMS+server.plan.SlowStartMS
}
