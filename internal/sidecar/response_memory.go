package sidecar

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// errNoResponseMemory means that the memory for a response was not available before the end of the exchange. It counts as a
// timeout: the server has answered, but not in time for the response to be read.
var errNoResponseMemory = fmt.Errorf("%w: no memory for the response", os.ErrDeadlineExceeded)

// responseReservation is the memory of one response. A server executes a request before it responds, so memory never makes the
// sidecar drop a response: a small one needs none beyond that of its request, and a larger one waits, with its bytes in the
// kernel, until others have been delivered.
type responseReservation struct {
	ctx      context.Context
	deadline time.Time // of the exchange
	memory   *byteBudget
	maxSize  int // the length of the body, or its upper bound
	reserved int
}

// cover waits until the memory for size bytes is reserved. As the final size may be unknown, it reserves maxSize at once if the
// response is not a small one: responses that hold a part and wait for more could wait for each other.
func (r *responseReservation) cover(size int) error {
	if size <= smallResponseBytes || r.reserved > 0 {
		return nil
	}
	if !r.memory.await(r.ctx, r.deadline, r.maxSize) {
		return errNoResponseMemory
	}
	r.reserved = r.maxSize
	return nil
}

// shrink releases what a response of size bytes does not need, and returns what stays reserved.
func (r *responseReservation) shrink(size int) (reserved int) {
	needed := min(size, r.reserved)
	r.memory.release(r.reserved - needed)
	r.reserved = needed
	return needed
}

// reservingReader reserves memory for the bytes that are read from it.
type reservingReader struct {
	source      io.Reader
	reservation *responseReservation
	size        int // bytes that were read
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	if r.reservation.reserved == 0 {
		if r.size >= smallResponseBytes {
			if err := r.reservation.cover(r.size + 1); err != nil {
				return 0, err
			}
		} else {
			p = p[:min(len(p), smallResponseBytes-r.size)]
		}
	}
	n, err := r.source.Read(p)
	r.size += n
	return n, err
}
