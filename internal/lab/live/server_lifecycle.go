package live

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab"
	"milldeck/internal/registry"
)

const (
	// ledgerOwner is the owner that the lab states in its own operations on the ledger.
	ledgerOwner = "operator/lab"
	// warmUpPollInterval is how often the lab looks for servers that have warmed up.
	warmUpPollInterval = time.Second
)

// serverConfig returns the configuration of a server's process, a ServerConfig in TOML.
func (c *controlPlane) serverConfig(server *server) string {
	experiment, plan := c.fleet.plan.Experiment, server.plan
	var text strings.Builder
	fmt.Fprintf(&text, "lab = %q\n", c.labServiceAddress())
	fmt.Fprintf(&text, "number = %d\nzone = %d\npod = %d\n", server.number, plan.Zone, plan.Cell)
	fmt.Fprintf(&text, "speed = %v\ncold_ms = %v\nwarm = true\n", tomlFloat(plan.Speed), tomlFloat(plan.SlowStartMS))
	fmt.Fprintf(&text, "seed = %d\n", c.fleet.plan.Seed>>1) // a TOML integer has 63 bits and a sign
	fmt.Fprintf(&text, "probes = %v\n", experiment.Limits.AllowHealthChecks)
	text.WriteString("[rules]\n")
	fmt.Fprintf(&text, "fall_multiple = %v\n", tomlFloat(experiment.Rules.OverloadMultiple))
	fmt.Fprintf(&text, "fall_ms = %v\n", tomlFloat(experiment.Rules.OverloadWindowMS))
	writeServerSpec(&text, plan.Spec)
	for i := range experiment.Classes {
		writeClassSpec(&text, &experiment.Classes[i])
	}
	return text.String()
}

// writeServerSpec writes the [kind] table of a server's configuration.
func writeServerSpec(text *strings.Builder, spec *lab.ServerSpec) {
	text.WriteString("[kind]\n")
	fmt.Fprintf(text, "kind = %q\ncores = %d\nqueue = %d\n", spec.Kind, spec.Cores, spec.QueueLength)
	fmt.Fprintf(text, "pod_size = %d\n", spec.CellSize)
	fmt.Fprintf(text, "cold_from = %v\n", tomlFloat(spec.SlowStartFrom))
	fmt.Fprintf(text, "choke_at = %v\n", tomlFloat(spec.CongestionQueuePerCore))
	fmt.Fprintf(text, "choke_for_ms = %v\n", tomlFloat(spec.CongestionAfterMS))
	fmt.Fprintf(text, "choke_slower = %v\n", tomlFloat(spec.CongestionSlowdown))
	fmt.Fprintf(text, "choke_idle_ms = %v\n", tomlFloat(spec.CongestionIdleMS))
	fmt.Fprintf(text, "choke_most_ms = %v\n", tomlFloat(spec.CongestionMaxMS))
	fmt.Fprintf(text, "warm_gain = %v\n", tomlFloat(spec.CacheGain))
	fmt.Fprintf(text, "warm_ms = %v\n", tomlFloat(spec.CacheTTLMS))
	fmt.Fprintf(text, "warm_keys = %d\n", spec.CacheKeys)
	fmt.Fprintf(text, "connections = %d\n", spec.MaxConnections)
	fmt.Fprintf(text, "idle_close_ms = %v\n", tomlFloat(spec.IdleCloseMS))
	fmt.Fprintf(text, "handshake_ms = %v\n", tomlFloat(spec.HandshakeMS))
	fmt.Fprintf(text, "error_rate = %v\n", tomlFloat(spec.ErrorRate))
}

// writeClassSpec writes a [[class]] table of a server's configuration.
func writeClassSpec(text *strings.Builder, spec *lab.ClassSpec) {
	text.WriteString("[[class]]\n")
	fmt.Fprintf(text, "name = %q\n", spec.Name)
	fmt.Fprintf(text, "share = %v\n", tomlFloat(spec.Share))
	fmt.Fprintf(text, "work_ms = [%v, %v]\n", tomlFloat(spec.WorkMS.Min), tomlFloat(spec.WorkMS.Max))
	fmt.Fprintf(text, "aim_ms = %v\n", tomlFloat(spec.LatencyObjectiveMS))
	fmt.Fprintf(text, "deadline_ms = %v\n", tomlFloat(spec.DeadlineMS))
	fmt.Fprintf(text, "worth = %v\n", tomlFloat(spec.PriorityWeight))
	fmt.Fprintf(text, "effect = %q\n", spec.Idempotency)
	if spec.DeduplicationScope != "" {
		fmt.Fprintf(text, "group = %q\n", spec.DeduplicationScope)
		fmt.Fprintf(text, "window_ms = %v\n", tomlFloat(spec.IdempotencyWindowMS))
	}
}

// tomlFloat formats a float for TOML, which requires a decimal point or an exponent.
func tomlFloat(value float64) string {
	text := fmt.Sprintf("%g", value)
	if !strings.ContainsAny(text, ".e") {
		text += ".0"
	}
	return text
}

// registerServer registers a server for the first time, before any agent reads the endpoint list.
func (c *controlPlane) registerServer(ctx context.Context, server *server) error {
	registryService := c.fleet.registryService
	c.fleet.publishedMu.Lock()
	c.fleet.publishedStates[server.number] = stateReady
	c.fleet.publishedMu.Unlock()
	registryService.leases.Add(registryService.instance(server))
	if err := registryService.leases.RenewOnce(ctx); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	return nil
}

// serverReady publishes a server whose process passes the supervisor's readiness check. The first incarnation in the run
// starts warm, and startServers registers it.
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

// serverExited ends a server's incarnation. It deregisters a server that was requested to terminate; otherwise the server's
// lease expires.
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

// reportWarmedUp reports to the ledger, until the run ends, the servers that have warmed up after a start. The lab reports
// this as the operator of the servers, because the endpoint list does not show which servers are warm. The ledger ignores
// the report on a unit that has changed since the lab read the unit.
func (c *controlPlane) reportWarmedUp() {
	for sleep(c.ctx, warmUpPollInterval) && !c.finished.Load() {
		ctx, cancel := context.WithTimeout(c.ctx, registryWriteTimeout)
		if err := c.reportWarmedUpOnce(ctx); err != nil && c.ctx.Err() == nil {
			slog.Debug("warm-up report failed", "error", err)
		}
		cancel()
	}
}

func (c *controlPlane) reportWarmedUpOnce(ctx context.Context) error {
	client := c.fleet.registryService.client
	view, err := client.LedgerView(ctx, true, true)
	if err != nil {
		return err
	}
	var warmedUp []disruption.Unit
	for i := range view.Units {
		unit := &view.Units[i]
		number, ok := c.serverByUnit[unitName(unit.ID)]
		if !ok || unit.Condition != disruption.ConditionWarmingUp || !c.isWarm(c.fleet.servers[number]) {
			continue
		}
		warmedUp = append(warmedUp, disruption.Unit{
			ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: unit.TransitionRevision,
		})
	}
	if len(warmedUp) == 0 {
		return nil
	}
	_, err = client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{
		Kind: disruption.OpObserve, Owner: ledgerOwner, Observed: warmedUp,
	})
	return err
}

// unitName returns the name in the ID of a unit of the ledger. The ID has the form kind/name.
func unitName(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

// isWarm reports whether a server runs and has finished its slow start.
func (c *controlPlane) isWarm(server *server) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.up && c.now() >= server.bootMS+server.plan.SlowStartMS
}
