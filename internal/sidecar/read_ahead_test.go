package sidecar

import (
	"strings"
	"testing"
	"time"
)

// The head of a request ends with its first empty line, wherever one read ends and the next begins.
func TestHeadScannerFindsTheEmptyLine(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: b\r\n\r\n", "GET / HTTP/1.1\nHost: b\n\n", "GET / HTTP/1.1\r\n\r\n", "\r\n", "\n", "a\r\n\r\r\n",
	} {
		for pieceSize := 1; pieceSize <= len(text); pieceSize++ {
			var scanner headScanner
			behind := text + "POST"
			consumed, ended := 0, false
			for !ended && consumed < len(behind) {
				piece := behind[consumed:min(consumed+pieceSize, len(behind))]
				var n int
				n, ended = scanner.scan([]byte(piece))
				consumed += n
			}
			if !ended || consumed != len(text) {
				t.Errorf("%q in pieces of %d: ended %v after %d bytes", text, pieceSize, ended, consumed)
			}
		}
	}
}

// The buffer returns bytes in order, with their arrival times, and releases the memory of bytes that were removed.
func TestReadAheadBuffer(t *testing.T) {
	memory := &byteBudget{}
	memory.release(2 * maxReadAheadBytes)
	buffer := readAheadBuffer{memory: memory}
	start := time.Now()
	late := start.Add(10 * arrivalResolution)
	for _, added := range []struct {
		text string
		at   time.Time
	}{{"abc", start}, {"", start}, {"de", start.Add(arrivalResolution / 2)}, {"fg", late}} {
		if !buffer.append([]byte(added.text), added.at) {
			t.Fatal("the buffer does not accept bytes within its limit")
		}
	}
	for _, want := range []struct {
		limit int
		text  string
		at    time.Time
	}{{2, "ab", start}, {9, "cde", start}, {1, "f", late}, {9, "g", late}} {
		data, arrivedAt := buffer.first(want.limit)
		if string(data) != want.text || !arrivedAt.Equal(want.at) {
			t.Errorf("%q of %v, want %q of %v", data, arrivedAt.Sub(start), want.text, want.at.Sub(start))
		}
		buffer.discard(len(data))
	}
	if buffer.size != 0 || buffer.segments != nil || memory.remaining.Load() != 2*maxReadAheadBytes {
		t.Errorf("%d bytes are left, %d bytes of the memory are free", buffer.size, memory.remaining.Load())
	}
	full := []byte(strings.Repeat("x", maxReadAheadBytes))
	if !buffer.append(full, start) || buffer.append([]byte("x"), start) {
		t.Error("the buffer does not hold exactly maxReadAheadBytes")
	}
	buffer.clear()
	memory.reserve(int(memory.remaining.Load()))
	if buffer.append([]byte("x"), start) {
		t.Error("bytes were added although the memory is exhausted")
	}
}
