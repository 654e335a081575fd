package collect

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"

	"milldeck/internal/placement"
)

// buffer holds one body while it is read.
type buffer struct{ bytes.Buffer }

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// decode reads a batch. encoding/json alone takes a third of a core for what 2,000 sidecars report in a second; so
// what its encoder writes is read directly, and what differs from that in any way is left to it.
func decode(data []byte) ([]placement.LoadReport, error) {
	if reports, plain := decodePlain(data); plain {
		return reports, nil
	}
	var in struct {
		Reports []placement.LoadReport `json:"reports"`
	}
	err := json.Unmarshal(data, &in)
	return in.Reports, err
}

// decodePlain reads a batch of known fields, each named once, with plain texts and numbers in their usual form; false
// tells that there is something else, which may be right or wrong.
func decodePlain(data []byte) (out []placement.LoadReport, plain bool) {
	s := &scan{rest: data}
	plain = s.object(func(name []byte) int {
		return place(string(name) == "reports" && list(s, 1, &out, s.report), 0)
	})
	return out, plain && s.next() == 0 && len(s.rest) == 0
}

// scan reads JSON from the front of rest. Its methods tell whether what they read is plain.
type scan struct{ rest []byte }

// place is a field's place for object, -1 where its value is not plain.
func place(plain bool, k int) int {
	if plain {
		return k
	}
	return -1
}

// next skips white space and gives the byte there, 0 at the end.
func (s *scan) next() byte {
	for len(s.rest) > 0 {
		switch c := s.rest[0]; c {
		case ' ', '\t', '\n', '\r':
			s.rest = s.rest[1:]
		default:
			return c
		}
	}
	return 0
}

// take takes a byte if it is the next.
func (s *scan) take(c byte) bool {
	if s.next() != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// pairs reads an object; value is called after each name to read what belongs to it.
func (s *scan) pairs(value func(name []byte) bool) bool {
	if !s.take('{') {
		return false
	}
	if s.take('}') {
		return true
	}
	for {
		name, plain := s.bytes()
		if !plain || !s.take(':') || !value(name) {
			return false
		}
		if s.take('}') {
			return true
		}
		if !s.take(',') {
			return false
		}
	}
}

// object reads an object whose fields come once each; value gives the field's place, under 32, or -1.
func (s *scan) object(value func(name []byte) int) bool {
	seen := uint32(0)
	return s.pairs(func(name []byte) bool {
		k := value(name)
		if k < 0 || seen&(1<<k) != 0 {
			return false
		}
		seen |= 1 << k
		return true
	})
}

// list reads an array into out; room is how many values are usual.
func list[T any](s *scan, room int, out *[]T, read func(*T) bool) bool {
	if !s.take('[') {
		return false
	}
	if s.take(']') {
		*out = []T{}
		return true
	}
	*out = make([]T, 0, room)
	for {
		var zero T
		*out = append(*out, zero)
		if !read(&(*out)[len(*out)-1]) {
			return false
		}
		if s.take(']') {
			return true
		}
		if !s.take(',') {
			return false
		}
	}
}

// bytes reads a text of ASCII without escapes.
func (s *scan) bytes() ([]byte, bool) {
	if !s.take('"') {
		return nil, false
	}
	for k, c := range s.rest {
		switch {
		case c == '"':
			text := s.rest[:k]
			s.rest = s.rest[k+1:]
			return text, true
		case c < ' ' || c == '\\' || c >= 0x80:
			return nil, false
		}
	}
	return nil, false
}

func (s *scan) text(out *string) bool {
	text, plain := s.bytes()
	*out = string(text)
	return plain
}

// digits skips digits and tells how many there were.
func (s *scan) digits() int {
	k := 0
	for k < len(s.rest) && s.rest[k] >= '0' && s.rest[k] <= '9' {
		k++
	}
	s.rest = s.rest[k:]
	return k
}

// whole reads a whole number of at most 19 digits.
func (s *scan) whole(most uint64) (n uint64, plain bool) {
	s.next()
	from := s.rest
	k := s.digits()
	if k == 0 || k > 19 || k > 1 && from[0] == '0' || len(s.rest) > 0 && (s.rest[0] == '.' || s.rest[0] == 'e' || s.rest[0] == 'E') {
		return 0, false
	}
	for _, c := range from[:k] {
		n = 10*n + uint64(c-'0')
	}
	return n, n <= most
}

func (s *scan) uint64(out *uint64) (plain bool) {
	*out, plain = s.whole(1<<64 - 1)
	return plain
}

func (s *scan) uint32(out *uint32) bool {
	n, plain := s.whole(1<<32 - 1)
	*out = uint32(n)
	return plain
}

func (s *scan) int(out *int) bool {
	n, plain := s.whole(1<<31 - 1)
	*out = int(n)
	return plain
}

// float reads a number as JSON words it.
func (s *scan) float(out *float64) bool {
	s.next()
	from := s.rest
	if len(s.rest) > 0 && s.rest[0] == '-' {
		s.rest = s.rest[1:]
	}
	first := s.rest
	if k := s.digits(); k == 0 || k > 1 && first[0] == '0' {
		return false
	}
	if len(s.rest) > 0 && s.rest[0] == '.' {
		s.rest = s.rest[1:]
		if s.digits() == 0 {
			return false
		}
	}
	if len(s.rest) > 0 && (s.rest[0] == 'e' || s.rest[0] == 'E') {
		s.rest = s.rest[1:]
		if len(s.rest) > 0 && (s.rest[0] == '+' || s.rest[0] == '-') {
			s.rest = s.rest[1:]
		}
		if s.digits() == 0 {
			return false
		}
	}
	var err error
	*out, err = strconv.ParseFloat(string(from[:len(from)-len(s.rest)]), 64)
	return err == nil
}
