package leaderelection

import (
	"context"
	"fmt"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

// Lease is a lease that this process holds, or has held. It is safe for concurrent use.
type Lease struct {
	Name       string
	Holder     string // the candidate that acquired it
	Token      uint64 // the fencing token
	Checkpoint []byte // the last checkpoint saved before this tenure

	client *registry.Client
	clock  Clock

	mu         sync.Mutex
	validUntil time.Time // with a monotonic reading
	ended      bool      // the tenure is over: the answer to a renewal in flight no longer extends the lease
}

// ValidUntil returns the time by which the holder must have stopped its work unless the lease is renewed before. It returns
// the zero time once the tenure has ended.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// Valid reports whether the lease is valid now. The lease may end before the caller acts on the result: see the package
// comment.
func (l *Lease) Valid() bool { return l.clock.Now().Before(l.ValidUntil()) }

// Guard returns the guard that makes a write to the registry conditional on this lease's fencing token.
func (l *Lease) Guard() *registry.Guard { return &registry.Guard{Lease: l.Name, Token: l.Token} }

// SaveCheckpoint stores the progress of the work for the next holder. It fails with a registry.StatusError once the token is
// no longer valid.
func (l *Lease) SaveCheckpoint(ctx context.Context, checkpoint []byte) error {
	request := registry.LeaseRequest{Candidate: l.Holder, Token: l.Token, Data: checkpoint}
	if _, err := l.client.UpdateLease(ctx, leasetable.Checkpoint, l.Name, request); err != nil {
		return fmt.Errorf("checkpoint of %s: %w", l.Name, err)
	}
	return nil
}

// extend moves the end of the lease forward, never back. It does nothing once the tenure has ended.
func (l *Lease) extend(validUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if validUntil.After(l.validUntil) && !l.ended {
		l.validUntil = validUntil
	}
}

// invalidate ends the tenure permanently and returns a time at which the lease was no longer valid.
func (l *Lease) invalidate() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.validUntil = true, time.Time{}
	return l.clock.Now()
}
