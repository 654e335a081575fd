package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Two readers of JSON streams stand here. Both take empty lines between objects as heartbeats, and ignore what arrives
// inside an object, as a trickle of bytes could otherwise hold up a watch forever. They are two because the streams
// differ in what they accept: the endpoint list is decoded by encoding/json as it arrives, so that malformed input fails
// at its first bad byte and any white space is a heartbeat; a placement is read as a balanced object first, must begin
// with a brace, and only a newline is a heartbeat.

const (
	maxListBytes      = 1 << 20 // thousands of servers; a process may have no more than 32 MB
	maxPlacementBytes = 2 << 20 // of one object
)

var (
	errListTooLong       = errors.New("endpoint list is too long")
	errPlacementTooLarge = fmt.Errorf("placement is larger than %d bytes", maxPlacementBytes)
)

// heartbeatReader reads a stream of endpoint lists and calls onHeartbeat for white space between two of them.
type heartbeatReader struct {
	source         io.Reader
	onHeartbeat    func()
	listStarted    bool // a list has begun
	bytesSinceList int  // since the last list ended
}

// Read implements io.Reader. A list that is longer than maxListBytes is an error.
func (r *heartbeatReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.bytesSinceList += n
	if r.bytesSinceList > maxListBytes {
		return 0, errListTooLong
	}
	r.listStarted = r.listStarted || len(bytes.TrimSpace(buffer[:n])) > 0
	if !r.listStarted && n > 0 {
		r.bytesSinceList = 0
		r.onHeartbeat()
	}
	return n, err
}

// listEnded notes that a list has been decoded; buffered is what was read after it.
func (r *heartbeatReader) listEnded(buffered []byte) {
	r.bytesSinceList = len(buffered)
	r.listStarted = len(bytes.TrimSpace(buffered)) > 0
}

// readObject reads one JSON object, over one line or several, and calls onHeartbeat for each empty line before it.
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
			return nil, fmt.Errorf("%q begins no placement", char)
		case len(object) == maxPlacementBytes:
			return nil, errPlacementTooLarge
		}
		object = append(object, char)
		if closed := nesting.add(char); closed {
			return object, nil
		}
	}
}

// jsonNesting follows the braces and brackets of a JSON value.
type jsonNesting struct {
	depth             int
	inString, escaped bool
}

// add takes the next byte and reports whether it closes the outermost brace or bracket.
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
