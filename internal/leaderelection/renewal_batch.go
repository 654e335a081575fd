package leaderelection

import (
	"context"
	"slices"
	"sync"
	"time"

	"milldeck/internal/registry"
)

const (
	// lingerDivisor gives the part of a lease for which a renewal waits to be sent together with others of the same
	// candidate: a process that holds a thousand leases would otherwise make hundreds of requests a second.
	lingerDivisor = 100
	maxLinger     = 100 * time.Millisecond
	// maxBatchSize is how many renewals are sent in one request.
	maxBatchSize = 1000
)

// renewalBatch is renewals that are sent in one request.
type renewalBatch struct {
	ctx        context.Context // of the request; cancelled when nobody waits for the answer any more
	cancel     context.CancelFunc
	renewals   []registry.LeaseRenewal
	waiters    int           // callers that still wait for the answer
	done       chan struct{} // closed once lostLeases and err are set
	lostLeases []string
	err        error
}

// batchKey identifies renewals that can be sent together.
type batchKey struct {
	client    *registry.Client
	candidate string
}

// pendingBatches are the batches that still accept renewals, of all candidates of the process.
var pendingBatches = struct {
	sync.Mutex
	open map[batchKey]*renewalBatch
}{open: map[batchKey]*renewalBatch{}}

// renewBatched renews one lease in a request with others of the candidate that are renewed within linger; with linger 0
// it sends a request of its own at once. It reports whether the lease, or the place in its queue, is lost.
func renewBatched(ctx context.Context, client *registry.Client, candidate string, renewal registry.LeaseRenewal,
	linger time.Duration) (lost bool, err error) {
	if linger == 0 {
		lostLeases, err := client.RenewLeases(ctx, candidate, []registry.LeaseRenewal{renewal})
		return len(lostLeases) > 0, err
	}
	key := batchKey{client, candidate}
	batch := joinBatch(ctx, key, renewal, min(linger, maxLinger))
	defer batch.leave(key)
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-batch.done:
		return slices.Contains(batch.lostLeases, renewal.Name), batch.err
	}
}

// joinBatch adds a renewal to the open batch, or opens one that is sent after linger.
func joinBatch(ctx context.Context, key batchKey, renewal registry.LeaseRenewal, linger time.Duration) *renewalBatch {
	pendingBatches.Lock()
	defer pendingBatches.Unlock()
	batch := pendingBatches.open[key]
	if batch == nil {
		batch = &renewalBatch{done: make(chan struct{})}
		batch.ctx, batch.cancel = context.WithCancel(context.WithoutCancel(ctx))
		pendingBatches.open[key] = batch
		time.AfterFunc(linger, func() { batch.send(key) })
	}
	batch.renewals = append(batch.renewals, renewal)
	batch.waiters++
	if len(batch.renewals) == maxBatchSize {
		delete(pendingBatches.open, key)
	}
	return batch
}

// leave ends a caller's wait. The last one cancels the request.
func (b *renewalBatch) leave(key batchKey) {
	pendingBatches.Lock()
	defer pendingBatches.Unlock()
	b.waiters--
	if b.waiters == 0 {
		b.cancel()
		b.close(key)
	}
}

// close lets the batch accept no more renewals. The caller holds the lock.
func (b *renewalBatch) close(key batchKey) {
	if pendingBatches.open[key] == b {
		delete(pendingBatches.open, key)
	}
}

func (b *renewalBatch) send(key batchKey) {
	pendingBatches.Lock()
	b.close(key)
	pendingBatches.Unlock()
	b.lostLeases, b.err = key.client.RenewLeases(b.ctx, key.candidate, b.renewals)
	close(b.done)
}
