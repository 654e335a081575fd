package registry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	renewalsPerLease = 3 // so that two may be lost
	// maxRenewalBatch are sent in one call.
	maxRenewalBatch = 1000
	// deregisterTimeout bounds the deregistration at the end.
	deregisterTimeout = 2 * time.Second
)

// LeaseKeepAlive keeps instances registered: it registers them, renews their leases in batches, registers again what the
// registry does not know any more, and deregisters them at its end.
type LeaseKeepAlive struct {
	client *Client

	mu        sync.Mutex
	instances map[string]Instance
	pending   []Instance // to be registered
}

// NewLeaseKeepAlive makes a keeper of these instances.
func NewLeaseKeepAlive(client *Client, instances ...Instance) *LeaseKeepAlive {
	keepAlive := &LeaseKeepAlive{client: client, instances: map[string]Instance{}}
	keepAlive.Add(instances...)
	return keepAlive
}

// Add has it keep more instances, or known ones as they are now.
func (k *LeaseKeepAlive) Add(instances ...Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, instance := range instances {
		k.instances[instance.UID] = instance
		k.pending = append(k.pending, instance)
	}
}

// Remove has it keep an instance no longer; its lease runs out unless it is deregistered.
func (k *LeaseKeepAlive) Remove(uid string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.instances, uid)
	k.pending = slices.DeleteFunc(k.pending, func(instance Instance) bool { return instance.UID == uid })
}

// renewInterval is the time between two renewals.
func (k *LeaseKeepAlive) renewInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	shortestTTL := int64(maxTTLMS)
	for _, instance := range k.instances {
		if instance.TTLMS > 0 {
			shortestTTL = min(shortestTTL, instance.TTLMS)
		}
	}
	return time.Duration(shortestTTL) * time.Millisecond / renewalsPerLease
}

// Run keeps them until ctx ends.
func (k *LeaseKeepAlive) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.RenewOnce(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("leases not renewed", "error", err)
		}
		wait := k.renewInterval()
		select {
		case <-ctx.Done():
		case <-time.After(wait - rand.N(wait/4)): // many keepers do not renew in step
		}
	}
	deregisterCtx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	var failed error
	for _, uid := range k.uids() {
		_, err := k.client.Deregister(deregisterCtx, WriteOptions{}, uid)
		failed = errors.Join(failed, err)
	}
	return failed
}

func (k *LeaseKeepAlive) uids() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var uids []string
	for uid := range k.instances {
		uids = append(uids, uid)
	}
	slices.Sort(uids)
	return uids
}

// RenewOnce registers what is to be registered and renews the rest.
func (k *LeaseKeepAlive) RenewOnce(ctx context.Context) error {
	k.mu.Lock()
	pending := k.pending
	k.pending = nil
	k.mu.Unlock()
	for len(pending) > 0 {
		batch := min(len(pending), maxRenewalBatch)
		if _, err := k.client.Register(ctx, WriteOptions{}, pending[:batch]...); err != nil {
			k.mu.Lock()
			k.pending = append(pending, k.pending...)
			k.mu.Unlock()
			return err
		}
		pending = pending[batch:]
	}
	uids := k.uids()
	for len(uids) > 0 {
		batch := min(len(uids), maxRenewalBatch)
		renewal, err := k.client.RenewInstances(ctx, uids[:batch])
		if err != nil {
			return err
		}
		k.mu.Lock()
		for _, uid := range renewal.Unknown {
			if instance, ok := k.instances[uid]; ok {
				k.pending = append(k.pending, instance)
			}
		}
		k.mu.Unlock()
		uids = uids[batch:]
	}
	return nil
}
