package loadreport

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"

	"milldeck/internal/placement"
)

// buffer holds one body while it is read.
type buffer struct{ bytes.Buffer }

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// decodeBatch reads a batch. encoding/json alone takes a third of a core for what 2,000 sidecars report in a second; so
// what its encoder writes is read directly, and what differs from that in any way is left to it.
func decodeBatch(data []byte) ([]placement.LoadReport, error) {
	if reports, ok := decodeFast(data); ok {
		return reports, nil
	}
	var batch struct {
		Reports []placement.LoadReport `json:"reports"`
	}
	err := json.Unmarshal(data, &batch)
	return batch.Reports, err
}

// decodeFast reads a batch of known fields, each named once, with plain texts and numbers in their usual form; false
// tells that there is something else, which may be right or wrong.
func decodeFast(data []byte) (reports []placement.LoadReport, ok bool) {
	s := &scanner{remaining: data}
	ok = s.readObject(func(name []byte) int {
		return fieldIndex(string(name) == "reports" && readArray(s, 1, &reports, s.readReport), 0)
	})
	return reports, ok && s.peek() == 0 && len(s.remaining) == 0
}

// scanner reads JSON from the front of rest. Its methods tell whether what they read is plain.
type scanner struct{ remaining []byte }

// fieldIndex is a field's place for object, -1 where its value is not plain.
func fieldIndex(ok bool, index int) int {
	if ok {
		return index
	}
	return -1
}

// peek skips white space and gives the byte there, 0 at the end.
func (s *scanner) peek() byte {
	for len(s.remaining) > 0 {
		switch c := s.remaining[0]; c {
		case ' ', '\t', '\n', '\r':
			s.remaining = s.remaining[1:]
		default:
			return c
		}
	}
	return 0
}

// consume takes a byte if it is the next.
func (s *scanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.remaining = s.remaining[1:]
	return true
}

// readMembers reads an object; value is called after each name to read what belongs to it.
func (s *scanner) readMembers(readValue func(name []byte) bool) bool {
	if !s.consume('{') {
		return false
	}
	if s.consume('}') {
		return true
	}
	for {
		name, ok := s.readASCII()
		if !ok || !s.consume(':') || !readValue(name) {
			return false
		}
		if s.consume('}') {
			return true
		}
		if !s.consume(',') {
			return false
		}
	}
}

// readObject reads an object whose fields come once each; value gives the field's place, under 32, or -1.
func (s *scanner) readObject(readField func(name []byte) int) bool {
	present := uint32(0)
	return s.readMembers(func(name []byte) bool {
		index := readField(name)
		if index < 0 || present&(1<<index) != 0 {
			return false
		}
		present |= 1 << index
		return true
	})
}

// readArray reads an array into out; room is how many values are usual.
func readArray[T any](s *scanner, capacity int, values *[]T, readValue func(*T) bool) bool {
	if !s.consume('[') {
		return false
	}
	if s.consume(']') {
		*values = []T{}
		return true
	}
	*values = make([]T, 0, capacity)
	for {
		var zero T
		*values = append(*values, zero)
		if !readValue(&(*values)[len(*values)-1]) {
			return false
		}
		if s.consume(']') {
			return true
		}
		if !s.consume(',') {
			return false
		}
	}
}

// readASCII reads a text of ASCII without escapes.
func (s *scanner) readASCII() ([]byte, bool) {
	if !s.consume('"') {
		return nil, false
	}
	for end, c := range s.remaining {
		switch {
		case c == '"':
			text := s.remaining[:end]
			s.remaining = s.remaining[end+1:]
			return text, true
		case c < ' ' || c == '\\' || c >= 0x80:
			return nil, false
		}
	}
	return nil, false
}

func (s *scanner) readString(out *string) bool {
	text, ok := s.readASCII()
	*out = string(text)
	return ok
}

// skipDigits skips digits and tells how many there were.
func (s *scanner) skipDigits() int {
	count := 0
	for count < len(s.remaining) && s.remaining[count] >= '0' && s.remaining[count] <= '9' {
		count++
	}
	s.remaining = s.remaining[count:]
	return count
}

// readUnsigned reads a whole number of at most 19 digits.
func (s *scanner) readUnsigned(limit uint64) (n uint64, ok bool) {
	s.peek()
	start := s.remaining
	digits := s.skipDigits()
	if digits == 0 || digits > 19 || digits > 1 && start[0] == '0' || len(s.remaining) > 0 && (s.remaining[0] == '.' || s.remaining[0] == 'e' || s.remaining[0] == 'E') {
		return 0, false
	}
	for _, c := range start[:digits] {
		n = 10*n + uint64(c-'0')
	}
	return n, n <= limit
}

func (s *scanner) readUint64(out *uint64) (ok bool) {
	*out, ok = s.readUnsigned(1<<64 - 1)
	return ok
}

func (s *scanner) readUint32(out *uint32) bool {
	n, ok := s.readUnsigned(1<<32 - 1)
	*out = uint32(n)
	return ok
}

func (s *scanner) readInt(out *int) bool {
	n, ok := s.readUnsigned(1<<31 - 1)
	*out = int(n)
	return ok
}

// readFloat reads a number as JSON words it.
func (s *scanner) readFloat(out *float64) bool {
	s.peek()
	start := s.remaining
	if len(s.remaining) > 0 && s.remaining[0] == '-' {
		s.remaining = s.remaining[1:]
	}
	integerPart := s.remaining
	if digits := s.skipDigits(); digits == 0 || digits > 1 && integerPart[0] == '0' {
		return false
	}
	if len(s.remaining) > 0 && s.remaining[0] == '.' {
		s.remaining = s.remaining[1:]
		if s.skipDigits() == 0 {
			return false
		}
	}
	if len(s.remaining) > 0 && (s.remaining[0] == 'e' || s.remaining[0] == 'E') {
		s.remaining = s.remaining[1:]
		if len(s.remaining) > 0 && (s.remaining[0] == '+' || s.remaining[0] == '-') {
			s.remaining = s.remaining[1:]
		}
		if s.skipDigits() == 0 {
			return false
		}
	}
	var err error
	*out, err = strconv.ParseFloat(string(start[:len(start)-len(s.remaining)]), 64)
	return err == nil
}
