package registry_test

import (
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/registry"
)

// Each sidecar has its own lease. A sidecar that misses its heartbeats counts as lost. If many sidecars miss their
// heartbeats at once, their condition is unknown, and the ledger grants no permit until they renew their leases.
func TestSidecarLeases(t *testing.T) {
	env := startEnv(t, 1, false, "")
	env.registerFleet(8, 3)
	appliedIndex := func() uint64 { return env.status(env.awaitLeader()).AppliedIndex }
	list := func(names ...string) (sidecars []registry.Sidecar) {
		for ordinal, name := range names {
			sidecars = append(sidecars, registry.Sidecar{Name: name, Zone: "1", Ready: true, ListRevision: uint64(ordinal)})
		}
		return sidecars
	}
	renew := func(names ...string) {
		t.Helper()
		if _, err := env.client.RegisterSidecars(env.ctx, registry.SidecarRequest{TTLMS: 2000, Sidecars: list(names...)}); err != nil {
			t.Fatal(err)
		}
	}
	all := []string{"a", "b", "c", "d", "e"}
	renew(all...)
	before := appliedIndex()
	renew(all...)
	if now := appliedIndex(); now != before {
		t.Errorf("a renewal made %d entries of the log", now-before)
	}
	if got, err := env.client.Sidecars(env.ctx); err != nil || len(got) != 5 || got[4].ListRevision != 4 {
		t.Errorf("sidecars are %+v: %v", got, err)
	}
	env.eventually("the one without heartbeats is lost", func() bool {
		renew(all[1:]...)
		return env.ledgerView(false).Counts[disruption.ConditionLost] == 1
	})
	env.eventually("the condition of all others is unknown", func() bool { return env.ledgerView(false).Counts[disruption.ConditionUnknown] == 4 })
	if result := env.applyLedgerOp(requestPermit("p", "s0")); result.Permit.Stage != disruption.StageRequested || !strings.Contains(result.Permit.WaitReason, "doubt") {
		t.Errorf("with unknown conditions: %+v", result.Permit)
	}
	renew(all...)
	if permit, err := env.client.Permit(env.ctx, "p"); err != nil || permit.Stage != disruption.StageGranted {
		t.Errorf("with known conditions again: %+v: %v", permit, err)
	}
}
