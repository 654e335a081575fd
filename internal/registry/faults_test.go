package registry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"milldeck/internal/registry"
)

// After an outage of the registry that is longer than the leases, no instance is removed, although every instance has
// missed its renewals.
func TestRegistryOutageLongerThanLeases(t *testing.T) {
	env := startEnv(t, 3, false, "")
	var all []registry.Instance
	for n := range 30 {
		instance := newInstance(fmt.Sprint("i", n), n)
		instance.TTLMS = 1000
		all = append(all, instance)
	}
	ctx, cancel := context.WithCancel(env.ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := registry.NewLeaseKeepAlive(env.client, all...).Run(ctx); err != nil {
			t.Logf("keep-alive: %v", err)
		}
	})
	env.eventually("all are registered", func() bool { list, err := env.client.List(env.ctx, true); return err == nil && len(list.Targets) == 30 })
	removed := make(chan string, 100)
	wg.Go(func() {
		env.watch(ctx, func(list *registry.EndpointList) {
			for _, target := range list.Targets {
				if target.State == registry.InstanceRemoved {
					removed <- target.UID
				}
			}
		}, env.cluster.Replicas...)
	})
	for _, replica := range env.cluster.Replicas {
		replica.Process.Kill()
	}
	// The outage lasts three lease durations: the test needs this time to pass.
	select {
	case <-time.After(3 * time.Second):
	case <-env.ctx.Done():
	}
	for _, replica := range env.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	env.awaitLeader()
	leaderSince := time.Now()
	env.eventually("two leases have passed under the new leader", func() bool { return time.Since(leaderSince) > 2*time.Second })
	list, err := env.client.List(env.ctx, true)
	if err != nil || len(list.Targets) != 30 {
		t.Errorf("%d instances are left: %v", len(list.Targets), err)
	}
	select {
	case uid := <-removed:
		t.Errorf("%s was reported as removed", uid)
	default:
	}
	cancel()
	wg.Wait()
}

// The expiry of many leases at once is held back until an operator decides.
func TestMassExpiryIsHeldBack(t *testing.T) {
	env := startEnv(t, 1, false, "")
	var all []registry.Instance
	for n := range 10 {
		instance := newInstance(fmt.Sprint("i", n), n)
		instance.TTLMS = 600
		all = append(all, instance)
	}
	if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, all...); err != nil {
		t.Fatal(err)
	}
	replica := env.cluster.Replicas[0]
	// Eight instances never renew their leases, the other two do.
	renew := func() bool {
		_, err := env.client.RenewInstances(env.ctx, []string{"i8", "i9"})
		return err == nil && env.status(replica).Suspects == 8
	}
	env.eventually("eight are held back", renew)
	if status := env.status(replica); status.Instances != 10 {
		t.Errorf("%d instances are left of 10", status.Instances)
	}
	if _, err := env.client.RenewInstances(env.ctx, []string{"i0"}); err != nil {
		t.Fatal(err)
	}
	if status := env.status(replica); status.Suspects != 7 {
		t.Errorf("after a renewal %d are held back, want 7", status.Suspects)
	}
	if _, err := env.client.ResolveSuspects(env.ctx, true); err != nil {
		t.Fatal(err)
	}
	if status := env.status(replica); status.Instances != 3 || status.Suspects != 0 {
		t.Errorf("after the decision %+v", status)
	}
}
