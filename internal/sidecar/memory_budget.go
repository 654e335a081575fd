package sidecar

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"
)

const (
	defaultMemoryMB = 256 // used if the configuration sets no memory limit
	bytesPerMB      = 1 << 20

	// programMemory is the memory of the process that the Go runtime's limit does not cover: the resident part of the
	// program file, the C library and thread stacks.
	programMemory = 10 * bytesPerMB
	// runtimeMemoryFraction is the part of the remaining memory for the Go runtime. The runtime may exceed its limit for a
	// moment.
	runtimeMemoryFraction = 0.85
	// clientMemoryFraction is the part of the runtime's memory that may be live for connections and requests. The rest is
	// for the balancer, and for garbage between two collections.
	clientMemoryFraction = 0.75
)

// Shares of the memory for connections and requests. Each kind of use has its own, so that no kind can use up the memory of
// another.
const (
	clientConnShare   = 0.30
	upstreamConnShare = 0.15
	requestShare      = 0.28
	partialShare      = 0.08
	responseShare     = 0.08
	readAheadShare    = 0.06
	requestIDShare    = 0.05
)

// Memory of one connection or request: buffers, stacks and tables, in bytes.
const (
	clientConnMemory   = 12 << 10
	upstreamConnMemory = 6 << 10
	requestMemory      = 8<<10 + smallResponseBytes // of a request in flight, with a small response, without its head and body
	smallResponseBytes = 4 << 10                    // the part of a response that needs no memory beyond that of its request
	headerFieldMemory  = 128                        // of a parsed header field, without its text
	// requestCopies is how often the head and the body of a request in flight are held: as received and as sent.
	requestCopies = 2
)

// memoryPlan divides the memory limit of the process.
type memoryPlan struct {
	runtimeLimit       int64 // the Go runtime's soft limit, in bytes
	maxClientConns     int
	maxUpstreamConns   int
	partialRequests    int // bytes; requests that are not read completely
	requests           int // bytes; requests in flight
	responses          int // bytes; response bodies beyond smallResponseBytes
	readAheadOfClients int // bytes; read ahead behind active requests
	requestIDs         int // IDs of requests that have ended
}

// newMemoryPlan divides a memory limit in megabytes; 0 stands for defaultMemoryMB.
func newMemoryPlan(memoryMB int) memoryPlan {
	limit := cmp.Or(memoryMB, defaultMemoryMB) * bytesPerMB
	runtimeLimit := runtimeMemoryFraction * float64(max(limit-programMemory, limit/2))
	clientMemory := clientMemoryFraction * runtimeLimit
	share := func(fraction float64) int { return int(fraction * clientMemory) }
	return memoryPlan{
		runtimeLimit:       int64(runtimeLimit),
		maxClientConns:     share(clientConnShare) / clientConnMemory,
		maxUpstreamConns:   share(upstreamConnShare) / upstreamConnMemory,
		partialRequests:    share(partialShare),
		requests:           share(requestShare),
		responses:          share(responseShare),
		readAheadOfClients: share(readAheadShare),
		requestIDs:         share(requestIDShare) / requestIDMemory,
	}
}

// budgetPollInterval is the interval at which a response that waits for memory tries again.
const budgetPollInterval = 5 * time.Millisecond

// byteBudget limits how many bytes are reserved at a time, for example for all response bodies in memory. A nil budget has no
// limit.
type byteBudget struct{ remaining atomic.Int64 }

// newByteBudget returns a budget of size bytes.
func newByteBudget(size int) *byteBudget {
	budget := &byteBudget{}
	budget.release(size)
	return budget
}

// reserve takes bytes from the budget. It takes none and returns false if too few remain.
func (b *byteBudget) reserve(size int) bool {
	if b == nil || b.remaining.Add(-int64(size)) >= 0 {
		return true
	}
	b.release(size)
	return false
}

// await takes bytes from the budget as soon as enough remain. It returns false if ctx ends or the deadline passes before.
func (b *byteBudget) await(ctx context.Context, deadline time.Time, size int) bool {
	if b.reserve(size) {
		return true
	}
	ticker := time.NewTicker(budgetPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case now := <-ticker.C:
			if b.reserve(size) {
				return true
			}
			if !now.Before(deadline) {
				return false
			}
		}
	}
}

// release returns bytes to the budget.
func (b *byteBudget) release(size int) {
	if b != nil {
		b.remaining.Add(int64(size))
	}
}
