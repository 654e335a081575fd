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
	renewsInLease = 3 // so that two may be lost
	// mostRenewals are sent in one call.
	mostRenewals = 1000
	// byeWait bounds the deregistration at the end.
	byeWait = 2 * time.Second
)

// Keeper keeps instances registered: it registers them, renews their leases in batches, registers again what the
// registry does not know any more, and deregisters them at its end.
type Keeper struct {
	client *Client

	mu   sync.Mutex
	of   map[string]Instance
	todo []Instance // to be registered
}

// NewKeeper makes a keeper of these instances.
func NewKeeper(c *Client, instances ...Instance) *Keeper {
	k := &Keeper{client: c, of: map[string]Instance{}}
	k.Add(instances...)
	return k
}

// Add has it keep more instances, or known ones as they are now.
func (k *Keeper) Add(instances ...Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range instances {
		k.of[i.UID] = i
		k.todo = append(k.todo, i)
	}
}

// Drop has it keep an instance no longer; its lease runs out unless it is deregistered.
func (k *Keeper) Drop(uid string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.of, uid)
	k.todo = slices.DeleteFunc(k.todo, func(i Instance) bool { return i.UID == uid })
}

// every is the time between two renewals.
func (k *Keeper) every() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	least := int64(maxTTLMS)
	for _, i := range k.of {
		if i.TTLMS > 0 {
			least = min(least, i.TTLMS)
		}
	}
	return time.Duration(least) * time.Millisecond / renewsInLease
}

// Run keeps them until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.Once(ctx); err != nil && ctx.Err() == nil {
			slog.Warn("leases not renewed", "error", err)
		}
		wait := k.every()
		select {
		case <-ctx.Done():
		case <-time.After(wait - rand.N(wait/4)): // many keepers do not renew in step
		}
	}
	bye, cancel := context.WithTimeout(context.Background(), byeWait)
	defer cancel()
	var failed error
	for _, uid := range k.uids() {
		_, err := k.client.Deregister(bye, Write{}, uid)
		failed = errors.Join(failed, err)
	}
	return failed
}

func (k *Keeper) uids() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for uid := range k.of {
		out = append(out, uid)
	}
	slices.Sort(out)
	return out
}

// Once registers what is to be registered and renews the rest.
func (k *Keeper) Once(ctx context.Context) error {
	k.mu.Lock()
	todo := k.todo
	k.todo = nil
	k.mu.Unlock()
	for len(todo) > 0 {
		n := min(len(todo), mostRenewals)
		if _, err := k.client.Register(ctx, Write{}, todo[:n]...); err != nil {
			k.mu.Lock()
			k.todo = append(todo, k.todo...)
			k.mu.Unlock()
			return err
		}
		todo = todo[n:]
	}
	uids := k.uids()
	for len(uids) > 0 {
		n := min(len(uids), mostRenewals)
		res, err := k.client.Renew(ctx, uids[:n])
		if err != nil {
			return err
		}
		k.mu.Lock()
		for _, uid := range res.Unknown {
			if i, still := k.of[uid]; still {
				k.todo = append(k.todo, i)
			}
		}
		k.mu.Unlock()
		uids = uids[n:]
	}
	return nil
}
