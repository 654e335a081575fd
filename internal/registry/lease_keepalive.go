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
	renewalsPerLease  = 3               // in one TTL, so that two renewals may be lost
	maxRenewalBatch   = 1000            // instances registered or renewed by one call
	deregisterTimeout = 2 * time.Second // of the deregistration when Run ends
)

// LeaseKeepAlive keeps instances registered: it registers them, renews their leases in batches, registers an instance again
// if the registry does not know it, and deregisters all instances when it ends.
type LeaseKeepAlive struct {
	client *Client
	logger *slog.Logger

	mu        sync.Mutex
	instances map[string]Instance // by uid
	pending   []Instance          // to be registered
}

// NewLeaseKeepAlive returns a keep-alive for these instances. It sends no request before Run or RenewOnce.
func NewLeaseKeepAlive(client *Client, instances ...Instance) *LeaseKeepAlive {
	keepAlive := &LeaseKeepAlive{client: client, logger: componentLogger(), instances: map[string]Instance{}}
	keepAlive.Add(instances...)
	return keepAlive
}

// Add adds instances, or updates those that were added before.
func (k *LeaseKeepAlive) Add(instances ...Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, instance := range instances {
		k.instances[instance.UID] = instance
		k.pending = append(k.pending, instance)
	}
}

// Remove stops renewing the lease of an instance. It does not deregister the instance.
func (k *LeaseKeepAlive) Remove(uid string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.instances, uid)
	k.pending = slices.DeleteFunc(k.pending, func(instance Instance) bool { return instance.UID == uid })
}

// renewInterval returns the time between two renewals, which depends on the instance with the shortest TTL.
func (k *LeaseKeepAlive) renewInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	shortestTTL := int64(maxTTLMS)
	for _, instance := range k.instances {
		if instance.TTLMS > 0 {
			shortestTTL = min(shortestTTL, instance.TTLMS)
		}
	}
	return milliseconds(shortestTTL) / renewalsPerLease
}

// Run keeps the instances registered until ctx ends, and then deregisters them.
func (k *LeaseKeepAlive) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.RenewOnce(ctx); err != nil && ctx.Err() == nil {
			k.logger.Warn("lease renewal failed", "error", err)
		}
		interval := k.renewInterval()
		jitter := rand.N(interval / 4) // so that many clients do not renew at the same time
		select {
		case <-ctx.Done():
		case <-time.After(interval - jitter):
		}
	}
	return k.deregisterAll()
}

func (k *LeaseKeepAlive) deregisterAll() error {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	var errs error
	for _, uid := range k.uids() {
		_, err := k.client.Deregister(ctx, WriteOptions{}, uid)
		errs = errors.Join(errs, err)
	}
	return errs
}

// uids returns the uids of all instances, sorted.
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

// RenewOnce registers the pending instances and renews the leases of all instances.
func (k *LeaseKeepAlive) RenewOnce(ctx context.Context) error {
	if err := k.registerPending(ctx); err != nil {
		return err
	}
	for batch := range slices.Chunk(k.uids(), maxRenewalBatch) {
		renewal, err := k.client.RenewInstances(ctx, batch)
		if err != nil {
			return err
		}
		k.addPending(renewal.Unknown)
	}
	return nil
}

// registerPending registers the pending instances in batches. After an error, the remaining instances stay pending.
func (k *LeaseKeepAlive) registerPending(ctx context.Context) error {
	k.mu.Lock()
	pending := k.pending
	k.pending = nil
	k.mu.Unlock()
	for len(pending) > 0 {
		size := min(len(pending), maxRenewalBatch)
		if _, err := k.client.Register(ctx, WriteOptions{}, pending[:size]...); err != nil {
			k.restorePending(pending)
			return err
		}
		pending = pending[size:]
	}
	return nil
}

// restorePending returns instances whose registration failed to the front of the pending instances.
func (k *LeaseKeepAlive) restorePending(instances []Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = slices.Concat(instances, k.pending)
}

// addPending marks instances for another registration, except those that were removed in the meantime.
func (k *LeaseKeepAlive) addPending(uids []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, uid := range uids {
		if instance, ok := k.instances[uid]; ok {
			k.pending = append(k.pending, instance)
		}
	}
}
