package duty

import (
	"context"
	"slices"
	"sync"
	"time"

	"milldeck/internal/registry"
)

const (
	// lingerPart of a lease is how long a renewal waits for others of the same candidate, to go in one call with them;
	// a process that holds a thousand duties would otherwise make hundreds of calls a second.
	lingerPart = 100
	mostLinger = 100 * time.Millisecond
	// mostTogether are sent in one call.
	mostTogether = 1000
)

// batch is renewals that go in one call.
type batch struct {
	ctx    context.Context
	cancel context.CancelFunc
	of     []registry.DutyRenewal
	askers int           // that still wait for the answer
	done   chan struct{} // closed once lost and err are there
	lost   []string
	err    error
}

type batchKey struct {
	client *registry.Client
	who    string
}

// gathering are the batches that take more renewals, of all candidates of the process.
var gathering = struct {
	sync.Mutex
	of map[batchKey]*batch
}{of: map[batchKey]*batch{}}

// renewTogether renews one duty in a call with others of the candidate that come within linger; 0: at once, by itself.
func renewTogether(ctx context.Context, client *registry.Client, who string, r registry.DutyRenewal, linger time.Duration) (lost bool, err error) {
	if linger == 0 {
		names, err := client.RenewDuties(ctx, who, []registry.DutyRenewal{r})
		return len(names) > 0, err
	}
	key := batchKey{client, who}
	gathering.Lock()
	b := gathering.of[key]
	if b == nil {
		b = &batch{done: make(chan struct{})}
		b.ctx, b.cancel = context.WithCancel(context.WithoutCancel(ctx))
		gathering.of[key] = b
		time.AfterFunc(min(linger, mostLinger), func() { b.send(key) })
	}
	b.of = append(b.of, r)
	b.askers++
	if len(b.of) == mostTogether {
		delete(gathering.of, key) // the next ones begin another
	}
	gathering.Unlock()
	defer func() {
		gathering.Lock()
		defer gathering.Unlock()
		if b.askers--; b.askers == 0 { // nobody wants to know any more
			b.cancel()
			if gathering.of[key] == b {
				delete(gathering.of, key)
			}
		}
	}()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-b.done:
		return slices.Contains(b.lost, r.Name), b.err
	}
}

func (b *batch) send(key batchKey) {
	gathering.Lock()
	if gathering.of[key] == b {
		delete(gathering.of, key)
	}
	gathering.Unlock()
	b.lost, b.err = key.client.RenewDuties(b.ctx, key.who, b.of)
	close(b.done)
}
