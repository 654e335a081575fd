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

// serverFile is the configuration of a server's process.
func (c *control) serverFile(s *server) string {
	f := c.f.plan.Experiment
	k, p := s.plan.Spec, s.plan
	var b strings.Builder
	fmt.Fprintf(&b, "lab = %q\nnumber = %d\nzone = %d\npod = %d\nspeed = %v\ncold_ms = %v\nwarm = true\nseed = %d\nprobes = %v\n",
		c.observerAddr(), s.n, p.Zone, p.Cell, float(p.Speed), float(p.SlowStartMS), c.f.plan.Seed>>1, f.Limits.AllowHealthChecks)
	fmt.Fprintf(&b, "[rules]\nfall_multiple = %v\nfall_ms = %v\n", float(f.Rules.OverloadMultiple), float(f.Rules.OverloadWindowMS))
	fmt.Fprintf(&b, "[kind]\nkind = %q\ncores = %d\nqueue = %d\npod_size = %d\ncold_from = %v\n", k.Kind, k.Cores, k.QueueLength, k.CellSize, float(k.SlowStartFrom))
	fmt.Fprintf(&b, "choke_at = %v\nchoke_for_ms = %v\nchoke_slower = %v\nchoke_idle_ms = %v\nchoke_most_ms = %v\n",
		float(k.CongestionQueuePerCore), float(k.CongestionAfterMS), float(k.CongestionSlowdown), float(k.CongestionIdleMS), float(k.CongestionMaxMS))
	fmt.Fprintf(&b, "warm_gain = %v\nwarm_ms = %v\nwarm_keys = %d\nconnections = %d\nidle_close_ms = %v\nhandshake_ms = %v\nerror_rate = %v\n",
		float(k.CacheGain), float(k.CacheTTLMS), k.CacheKeys, k.MaxConnections, float(k.IdleCloseMS), float(k.HandshakeMS), float(k.ErrorRate))
	for i := range f.Classes {
		k := &f.Classes[i]
		fmt.Fprintf(&b, "[[class]]\nname = %q\nshare = %v\nwork_ms = [%v, %v]\naim_ms = %v\ndeadline_ms = %v\nworth = %v\neffect = %q\n",
			k.Name, float(k.Share), float(k.WorkMS.Min), float(k.WorkMS.Max), float(k.LatencyObjectiveMS), float(k.DeadlineMS), float(k.PriorityWeight), k.Idempotency)
		if k.DeduplicationScope != "" {
			fmt.Fprintf(&b, "group = %q\nwindow_ms = %v\n", k.DeduplicationScope, float(k.IdempotencyWindowMS))
		}
	}
	return b.String()
}

// float is a figure as TOML has it: with a point.
func float(v float64) string {
	s := fmt.Sprintf("%g", v)
	if !strings.ContainsAny(s, ".e") {
		s += ".0"
	}
	return s
}

// register has a server in the list for the first time, before anybody reads it.
func (c *control) register(ctx context.Context, s *server) error {
	l := c.f.registry
	c.f.listMu.Lock()
	c.f.listed[s.n] = ready
	c.f.listMu.Unlock()
	l.keeper.Add(l.instance(s))
	if err := l.keeper.RenewOnce(ctx); err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	return nil
}

// came lists a server whose process answers the platform's ready check; its first life in the run is warm.
func (c *control) came(s *server, version string, first bool) {
	s.mu.Lock()
	if s.up {
		s.mu.Unlock()
		return
	}
	s.up, s.version = true, version
	s.life++
	if !first {
		s.boot = c.now()
	}
	s.mu.Unlock()
	if !first {
		c.f.publish(s, ready)
	}
}

// went ends a server's life: it deregisters where it was told to end, else its lease runs out.
func (c *control) went(s *server, told bool) {
	s.mu.Lock()
	was := s.up
	s.up = false
	s.mu.Unlock()
	switch {
	case !was || c.over.Load():
	case told:
		c.f.publish(s, gone)
	default:
		c.f.registry.keeper.Remove(s.plan.UID)
	}
}

// findWarm tells the ledger of servers that have warmed up after a start: who operates servers sees that, the list does
// not. A unit that has changed since it was looked at is left alone.
func (c *control) findWarm() {
	client := c.f.registry.client
	for sleep(c.ctx, time.Second) && !c.over.Load() {
		ctx, cancel := context.WithTimeout(c.ctx, writeWait)
		v, err := client.LedgerView(ctx, true, true)
		var warm []disruption.Unit
		for i := range v.Units {
			u := &v.Units[i]
			if n, mine := c.numbers[uid(u.ID)]; mine && u.Condition == disruption.ConditionWarmingUp && c.isWarm(c.f.servers[n]) {
				warm = append(warm, disruption.Unit{ID: u.ID, Condition: disruption.ConditionUp, TransitionRevision: u.TransitionRevision})
			}
		}
		if err == nil && len(warm) > 0 {
			_, err = client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpObserve, Owner: "operator/lab", Observed: warm})
		}
		if err != nil && c.ctx.Err() == nil {
			slog.Debug("not seen as warm", "units", len(warm), "error", err)
		}
		cancel()
	}
}

// uid is the name of a unit of the ledger.
func uid(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

func (c *control) isWarm(s *server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && c.now() >= s.boot+s.plan.SlowStartMS
}
