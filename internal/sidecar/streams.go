package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// This file has two readers of JSON streams. Both treat empty lines between objects as heartbeats. Bytes inside an object
// are no heartbeats, as a server that sends single bytes could otherwise keep a watch open forever. The streams accept
// different input, so each has its own reader:
//   - encoding/json decodes an endpoint list while it arrives. Malformed input fails at its first invalid byte, and any
//     white space between lists is a heartbeat.
//   - A placement is read up to its closing brace before it is decoded. It must start with a brace, and only a newline
//     between placements is a heartbeat.

const (
	maxListBytes      = 1 << 20 // enough for thousands of servers; a process may have only 32 MB of memory
	maxPlacementBytes = 2 << 20 // of one object
)

var (
	errListTooLong       = errors.New("endpoint list is too long")
	errPlacementTooLarge = fmt.Errorf("placement is larger than %d bytes", maxPlacementBytes)
)

// heartbeatReader reads a stream of endpoint lists and calls onHeartbeat for white space between two lists.
type heartbeatReader struct {
	source         io.Reader
	onHeartbeat    func()
	onListStart    func() // called when a list begins, unless its beginning was read with the list before
	listStarted    bool   // the first byte of the next list has been read
	bytesSinceList int    // bytes read after the end of the last list
}

// Read implements io.Reader. A list of more than maxListBytes is an error.
func (r *heartbeatReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.bytesSinceList += n
	if r.bytesSinceList > maxListBytes {
		return 0, errListTooLong
	}
	if !r.listStarted && len(bytes.TrimSpace(buffer[:n])) > 0 {
		r.listStarted = true
		r.onListStart()
	}
	if !r.listStarted && n > 0 {
		r.bytesSinceList = 0
		r.onHeartbeat()
	}
	return n, err
}

// listEnded resets the reader after a list was decoded. buffered are the bytes that were read after the list.
func (r *heartbeatReader) listEnded(buffered []byte) {
	r.bytesSinceList = len(buffered)
	r.listStarted = len(bytes.TrimSpace(buffered)) > 0
}

// readObject reads one JSON object, which may span several lines, and calls onHeartbeat for each empty line before it.
func readObject(reader *bufio.Reader, onHeartbeat func()) ([]byte, error) {
	var object []byte
	var nesting jsonNesting
	for {
		char, err := reader.ReadByte()
		if err != nil {
			if object != nil && errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		switch {
		case object == nil && char == '\n':
			onHeartbeat()
			continue
		case object == nil && (char == ' ' || char == '\t' || char == '\r'):
			continue
		case object == nil && char != '{':
			return nil, fmt.Errorf("placement starts with %q in place of a brace", char)
		case len(object) == maxPlacementBytes:
			return nil, errPlacementTooLarge
		}
		object = append(object, char)
		if closed := nesting.add(char); closed {
			return object, nil
		}
	}
}

// jsonNesting tracks the nesting of braces and brackets in a JSON value.
type jsonNesting struct {
	depth             int
	inString, escaped bool
}

// add processes the next byte and reports whether it closes the outermost brace or bracket.
func (j *jsonNesting) add(char byte) (closed bool) {
	switch {
	case j.escaped:
		j.escaped = false
	case j.inString && char == '\\':
		j.escaped = true
	case char == '"':
		j.inString = !j.inString
	case j.inString:
	case char == '{' || char == '[':
		j.depth++
	case char == '}' || char == ']':
		j.depth--
		return j.depth == 0
	}
	return false
}
