package leaderelection

import (
	"context"
	"slices"
	"sync"
	"time"

	"milldeck/internal/registry"
)

const (
	// A renewal waits for up to 1/lingerDivisor of the TTL, at most maxLinger, to be sent together with other renewals of
	// the same candidate. A process that holds a thousand leases would otherwise send hundreds of requests per second.
	lingerDivisor = 100
	maxLinger     = 100 * time.Millisecond
	// maxBatchSize is the maximum number of renewals in one request.
	maxBatchSize = 1000
)

// renewalBatch is a set of renewals that are sent in one request.
type renewalBatch struct {
	ctx        context.Context // of the request; cancelled when no caller waits for the answer any more
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

// pendingBatches holds the batches that still accept renewals, for all candidates of the process.
var pendingBatches = struct {
	sync.Mutex
	open map[batchKey]*renewalBatch
}{open: map[batchKey]*renewalBatch{}}

// renewBatched renews one lease, in one request with other leases that the candidate renews within linger. With linger 0 it
// sends a separate request at once. It reports whether the lease, or the place in its queue, is lost.
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

// joinBatch adds a renewal to the open batch, or opens a batch that is sent after linger.
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

// leave ends a caller's wait for the answer. When the last caller leaves, the request is cancelled.
func (b *renewalBatch) leave(key batchKey) {
	pendingBatches.Lock()
	defer pendingBatches.Unlock()
	b.waiters--
	if b.waiters == 0 {
		b.cancel()
		b.close(key)
	}
}

// close stops the batch from accepting renewals. The caller holds the lock of pendingBatches.
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
