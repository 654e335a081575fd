package loadreport

import (
	"math"
	"strconv"
	"strings"
)

// scanner reads JSON of the form that encoding/json writes. Each of its read methods reports whether what it has read is
// of that form; after a false the scanner must not be used any more.
type scanner struct{ remaining []byte }

// fieldID numbers the fields of one kind of object, below 32.
type fieldID uint

// maxDigits is how many digits of an unsigned number cannot overflow a uint64.
const maxDigits = 19

// peek skips white space and returns the next byte, 0 at the end.
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

// atEnd reports whether only white space is left.
func (s *scanner) atEnd() bool { return s.peek() == 0 && len(s.remaining) == 0 }

// consume skips a byte if it is the next one.
func (s *scanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.remaining = s.remaining[1:]
	return true
}

// readMembers reads an object. It calls readValue after each name, to read the value.
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

// readObject reads an object whose fields occur at most once. It calls readField after each name, to read the value of a
// field; false means that the field is unknown or its value of another form.
func (s *scanner) readObject(readField func(name []byte) (fieldID, bool)) bool {
	present := uint32(0)
	return s.readMembers(func(name []byte) bool {
		field, ok := readField(name)
		if !ok || present&(1<<field) != 0 {
			return false
		}
		present |= 1 << field
		return true
	})
}

// readIntMap reads an object with numbers into a map.
func (s *scanner) readIntMap(values map[string]int) bool {
	return s.readMembers(func(name []byte) bool {
		n := 0
		ok := s.readInt(&n)
		values[string(name)] = n
		return ok
	})
}

// readArray reads an array. The capacity is what is allocated at first.
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

// readASCII reads a string of ASCII without escapes. The result is a part of the input.
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

// skipDigits skips digits and returns how many there were.
func (s *scanner) skipDigits() int {
	count := 0
	for count < len(s.remaining) && s.remaining[count] >= '0' && s.remaining[count] <= '9' {
		count++
	}
	s.remaining = s.remaining[count:]
	return count
}

// skipInteger skips the digits of an integer without a leading zero, and returns how many there were.
func (s *scanner) skipInteger() (digits int, ok bool) {
	start := s.remaining
	digits = s.skipDigits()
	return digits, digits == 1 || digits > 1 && start[0] != '0'
}

// nextIsAny reports whether the next byte, white space included, is one of a set.
func (s *scanner) nextIsAny(set string) bool {
	return len(s.remaining) > 0 && strings.IndexByte(set, s.remaining[0]) >= 0
}

// readUnsigned reads an unsigned integer of at most maxDigits digits.
func (s *scanner) readUnsigned(limit uint64) (n uint64, ok bool) {
	s.peek()
	start := s.remaining
	digits, ok := s.skipInteger()
	if !ok || digits > maxDigits || s.nextIsAny(".") || s.nextIsAny("eE") {
		return 0, false
	}
	for _, c := range start[:digits] {
		n = 10*n + uint64(c-'0')
	}
	return n, n <= limit
}

func (s *scanner) readUint64(out *uint64) (ok bool) {
	*out, ok = s.readUnsigned(math.MaxUint64)
	return ok
}

func (s *scanner) readUint32(out *uint32) bool {
	n, ok := s.readUnsigned(math.MaxUint32)
	*out = uint32(n)
	return ok
}

// readInt reads an integer that is not negative and fits any size of int.
func (s *scanner) readInt(out *int) bool {
	n, ok := s.readUnsigned(math.MaxInt32)
	*out = int(n)
	return ok
}

// readFloat reads a number by JSON's grammar.
func (s *scanner) readFloat(out *float64) bool {
	s.peek()
	start := s.remaining
	if s.nextIsAny("-") {
		s.remaining = s.remaining[1:]
	}
	if _, ok := s.skipInteger(); !ok || !s.skipFraction() || !s.skipExponent() {
		return false
	}
	var err error
	*out, err = strconv.ParseFloat(string(start[:len(start)-len(s.remaining)]), 64)
	return err == nil
}

// skipFraction skips a fraction, if there is one, and reports whether it is complete.
func (s *scanner) skipFraction() bool {
	if !s.nextIsAny(".") {
		return true
	}
	s.remaining = s.remaining[1:]
	return s.skipDigits() > 0
}

// skipExponent skips an exponent, if there is one, and reports whether it is complete.
func (s *scanner) skipExponent() bool {
	if !s.nextIsAny("eE") {
		return true
	}
	s.remaining = s.remaining[1:]
	if s.nextIsAny("+-") {
		s.remaining = s.remaining[1:]
	}
	return s.skipDigits() > 0
}
