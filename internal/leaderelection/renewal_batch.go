package leaderelection

import (
	"context"
	"slices"
	"sync"
	"time"

	"milldeck/internal/registry"
)

const (
	// lingerDivisor of a lease is how long a renewal waits for others of the same candidate, to go in one call with them;
	// a process that holds a thousand duties would otherwise make hundreds of calls a second.
	lingerDivisor = 100
	maxLinger     = 100 * time.Millisecond
	// maxBatchSize are sent in one call.
	maxBatchSize = 1000
)

// renewalBatch is renewals that go in one call.
type renewalBatch struct {
	ctx        context.Context
	cancel     context.CancelFunc
	renewals   []registry.LeaseRenewal
	waiters    int           // that still wait for the answer
	done       chan struct{} // closed once lost and err are there
	lostLeases []string
	err        error
}

type batchKey struct {
	client    *registry.Client
	candidate string
}

// pendingBatches are the batches that take more renewals, of all candidates of the process.
var pendingBatches = struct {
	sync.Mutex
	open map[batchKey]*renewalBatch
}{open: map[batchKey]*renewalBatch{}}

// renewBatched renews one duty in a call with others of the candidate that come within linger; 0: at once, by itself.
func renewBatched(ctx context.Context, client *registry.Client, candidateName string, renewal registry.LeaseRenewal, linger time.Duration) (lost bool, err error) {
	if linger == 0 {
		lostLeases, err := client.RenewLeases(ctx, candidateName, []registry.LeaseRenewal{renewal})
		return len(lostLeases) > 0, err
	}
	key := batchKey{client, candidateName}
	pendingBatches.Lock()
	batch := pendingBatches.open[key]
	if batch == nil {
		batch = &renewalBatch{done: make(chan struct{})}
		batch.ctx, batch.cancel = context.WithCancel(context.WithoutCancel(ctx))
		pendingBatches.open[key] = batch
		time.AfterFunc(min(linger, maxLinger), func() { batch.send(key) })
	}
	batch.renewals = append(batch.renewals, renewal)
	batch.waiters++
	if len(batch.renewals) == maxBatchSize {
		delete(pendingBatches.open, key) // the next ones begin another
	}
	pendingBatches.Unlock()
	defer func() {
		pendingBatches.Lock()
		defer pendingBatches.Unlock()
		if batch.waiters--; batch.waiters == 0 { // nobody wants to know any more
			batch.cancel()
			if pendingBatches.open[key] == batch {
				delete(pendingBatches.open, key)
			}
		}
	}()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-batch.done:
		return slices.Contains(batch.lostLeases, renewal.Name), batch.err
	}
}

func (b *renewalBatch) send(key batchKey) {
	pendingBatches.Lock()
	if pendingBatches.open[key] == b {
		delete(pendingBatches.open, key)
	}
	pendingBatches.Unlock()
	b.lostLeases, b.err = key.client.RenewLeases(b.ctx, key.candidate, b.renewals)
	close(b.done)
}
