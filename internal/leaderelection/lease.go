package leaderelection

import (
	"context"
	"fmt"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

// Lease is a lease while this process holds it. It is safe for concurrent use.
type Lease struct {
	Name       string
	Holder     string // the candidate that acquired it
	Token      uint64 // the fencing token
	Checkpoint []byte // as the previous holder saved it

	client *registry.Client
	clock  Clock

	mu         sync.Mutex
	validUntil time.Time // with a monotonic reading
	ended      bool      // the tenure is over: the answer to a renewal in flight extends nothing
}

// ValidUntil is when the holder must have stopped unless the lease is renewed before; the zero time once the tenure has
// ended.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// Valid reports whether the lease is valid now. It may not be any more when the caller acts on the answer: see the
// package comment.
func (l *Lease) Valid() bool { return l.clock.Now().Before(l.ValidUntil()) }

// Guard makes a write to the registry conditional on this lease's fencing token.
func (l *Lease) Guard() *registry.Guard { return &registry.Guard{Lease: l.Name, Token: l.Token} }

// SaveCheckpoint stores how far the work has come, for the next holder. It fails with a registry.StatusError once the
// token is no longer valid.
func (l *Lease) SaveCheckpoint(ctx context.Context, checkpoint []byte) error {
	request := registry.LeaseRequest{Candidate: l.Holder, Token: l.Token, Data: checkpoint}
	if _, err := l.client.UpdateLease(ctx, leasetable.Checkpoint, l.Name, request); err != nil {
		return fmt.Errorf("checkpoint of %s: %w", l.Name, err)
	}
	return nil
}

// extend moves the end of the lease forward, never back, unless the tenure has ended.
func (l *Lease) extend(validUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if validUntil.After(l.validUntil) && !l.ended {
		l.validUntil = validUntil
	}
}

// invalidate ends the tenure for good and returns a time at which the lease was no longer valid.
func (l *Lease) invalidate() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.validUntil = true, time.Time{}
	return l.clock.Now()
}
