package sidecar

import (
	"time"
)

const (
	// maxReadAheadBytes bounds what is read ahead on a connection behind the request that is being served: several requests
	// of the largest size, or hundreds of the usual one. A client that sends more is disconnected.
	maxReadAheadBytes = 256 << 10
	// arrivalResolution: bytes that arrive within it of each other count as arrived with the first, so that a client that
	// sends byte by byte does not take a segment for each.
	arrivalResolution = 5 * time.Millisecond
)

// segment is a run of bytes that arrived together.
type segment struct {
	data      []byte
	arrivedAt time.Time
}

// readAheadBuffer holds what has been read from a connection behind the request that is being served, with the time at which it
// arrived: a request's time runs from its last byte, however long others before it take.
type readAheadBuffer struct {
	segments []segment
	size     int
	memory   *byteBudget // of all connections; nil: no bound
}

// append adds bytes; it reports false, and adds nothing, if there is no room for them.
func (b *readAheadBuffer) append(data []byte, arrivedAt time.Time) bool {
	if len(data) == 0 {
		return true
	}
	if b.size+len(data) > maxReadAheadBytes || b.memory != nil && !b.memory.reserve(len(data)) {
		return false
	}
	b.size += len(data)
	if n := len(b.segments); n > 0 && arrivedAt.Sub(b.segments[n-1].arrivedAt) < arrivalResolution {
		b.segments[n-1].data = append(b.segments[n-1].data, data...)
		return true
	}
	b.segments = append(b.segments, segment{append([]byte(nil), data...), arrivedAt})
	return true
}

// first returns the bytes that arrived first, at most limit of them; they stay in the buffer. It must not be empty.
func (b *readAheadBuffer) first(limit int) (data []byte, arrivedAt time.Time) {
	oldest := &b.segments[0]
	return oldest.data[:min(limit, len(oldest.data))], oldest.arrivedAt
}

// discard removes the first bytes.
func (b *readAheadBuffer) discard(count int) {
	b.size -= count
	b.releaseMemory(count)
	oldest := &b.segments[0]
	oldest.data = oldest.data[count:]
	if len(oldest.data) == 0 {
		b.segments = b.segments[1:]
	}
	if len(b.segments) == 0 {
		b.segments = nil
	}
}

// clear removes all.
func (b *readAheadBuffer) clear() {
	b.releaseMemory(b.size)
	b.segments = nil
	b.size = 0
}

func (b *readAheadBuffer) releaseMemory(count int) {
	if b.memory != nil {
		b.memory.release(count)
	}
}

// headScanner finds the end of a request's head: its first empty line. net/http gets no byte beyond it, so that what it has
// read is one request, and what follows is known to be unread by it.
type headScanner struct {
	lineLength int // of the current line, without the characters that end it
}

// scan returns how many of the bytes belong to the head, and whether it ends with them.
func (s *headScanner) scan(data []byte) (length int, ended bool) {
	for i, char := range data {
		switch {
		case char == '\n' && s.lineLength == 0:
			return i + 1, true
		case char == '\n':
			s.lineLength = 0
		case char != '\r':
			s.lineLength++
		}
	}
	return len(data), false
}
