package sidecar

import (
	"time"
)

const (
	// maxReadAheadBytes limits the bytes that are read ahead on a connection behind the active request. It is enough for
	// several requests of the largest size, or hundreds of the usual size. A client that sends more is disconnected.
	maxReadAheadBytes = 256 << 10
	// arrivalResolution is the time within which later bytes join the segment of earlier ones and count as arrived with
	// them. Otherwise a client that sends byte by byte would need a segment for each byte.
	arrivalResolution = 5 * time.Millisecond
)

// segment is a sequence of bytes that arrived together.
type segment struct {
	data      []byte
	arrivedAt time.Time
}

// readAheadBuffer holds the bytes that were read from a connection behind the active request, with their arrival times. The
// timeout of a request starts when its last byte arrives, however long the requests before it take.
type readAheadBuffer struct {
	segments []segment
	size     int
	memory   *byteBudget // shared by all connections; nil: no limit
}

// append adds bytes. If they do not fit, it adds nothing and reports false.
func (b *readAheadBuffer) append(data []byte, arrivedAt time.Time) bool {
	if len(data) == 0 {
		return true
	}
	if b.size+len(data) > maxReadAheadBytes || !b.memory.reserve(len(data)) {
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

// first returns the oldest bytes, at most limit of them, without removing them. The buffer must not be empty.
func (b *readAheadBuffer) first(limit int) (data []byte, arrivedAt time.Time) {
	oldest := &b.segments[0]
	return oldest.data[:min(limit, len(oldest.data))], oldest.arrivedAt
}

// discard removes the oldest bytes, which first has returned.
func (b *readAheadBuffer) discard(count int) {
	b.size -= count
	b.memory.release(count)
	oldest := &b.segments[0]
	oldest.data = oldest.data[count:]
	if len(oldest.data) == 0 {
		b.segments = b.segments[1:]
	}
	if len(b.segments) == 0 {
		b.segments = nil
	}
}

// clear removes all bytes.
func (b *readAheadBuffer) clear() {
	b.memory.release(b.size)
	b.segments = nil
	b.size = 0
}

// headScanner finds the end of a request's head: its first empty line. net/http gets no byte beyond the head, so it has read
// one request at most, and has not read any byte that follows.
type headScanner struct {
	lineLength int // of the current line, without the line terminator
	lines      int // complete lines so far, without empty ones
}

// scan returns how many of the bytes belong to the head, and whether the head ends with them.
func (s *headScanner) scan(data []byte) (length int, ended bool) {
	for i, char := range data {
		switch {
		case char == '\n' && s.lineLength == 0:
			return i + 1, true
		case char == '\n':
			s.lineLength = 0
			s.lines++
		case char != '\r':
			s.lineLength++
		}
	}
	return len(data), false
}
