package loadreport

import (
	"math"
	"strconv"
	"strings"
)

// scanner reads JSON in the form that encoding/json writes. Each read method returns whether the input has that form. If
// a method returns false, the scanner must not be used any more.
type scanner struct{ remaining []byte }

// fieldID identifies a field within one kind of object. It is less than 32: readObject uses it as a bit of a uint32.
type fieldID uint

// maxDigits is the largest number of decimal digits for which each number fits a uint64.
const maxDigits = 19

// peek skips white space and returns the next byte without consuming it, or 0 at the end of the input.
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

// atEnd reports whether only white space remains.
func (s *scanner) atEnd() bool { return s.peek() == 0 && len(s.remaining) == 0 }

// consume skips white space and a given byte. It returns false if a different byte follows the white space.
func (s *scanner) consume(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.remaining = s.remaining[1:]
	return true
}

// readMembers reads an object. It calls readValue with the name of each member to read the member's value.
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

// readObject reads an object in which each field occurs at most once. It calls readField with the name of each field to
// read the field's value. ReadField returns false if the field is unknown or its value has another form.
func (s *scanner) readObject(readField func(name []byte) (fieldID, bool)) bool {
	presentFields := uint32(0)
	return s.readMembers(func(name []byte) bool {
		field, ok := readField(name)
		if !ok || presentFields&(1<<field) != 0 {
			return false
		}
		presentFields |= 1 << field
		return true
	})
}

// readIntMap reads an object of integers into a map.
func (s *scanner) readIntMap(values map[string]int) bool {
	return s.readMembers(func(name []byte) bool {
		n := 0
		ok := s.readInt(&n)
		values[string(name)] = n
		return ok
	})
}

// readArray reads an array into a slice with the given initial capacity.
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

// readASCII reads an ASCII string without escapes. The result shares the memory of the input.
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

// skipDigits skips digits and returns their number.
func (s *scanner) skipDigits() int {
	count := 0
	for count < len(s.remaining) && s.remaining[count] >= '0' && s.remaining[count] <= '9' {
		count++
	}
	s.remaining = s.remaining[count:]
	return count
}

// skipInteger skips the digits of an integer and returns their number. It returns false without digits or with a
// leading zero.
func (s *scanner) skipInteger() (digits int, ok bool) {
	start := s.remaining
	digits = s.skipDigits()
	return digits, digits == 1 || digits > 1 && start[0] != '0'
}

// nextIsAny reports whether the next byte is one of a set. It does not skip white space.
func (s *scanner) nextIsAny(set string) bool {
	return len(s.remaining) > 0 && strings.IndexByte(set, s.remaining[0]) >= 0
}

// readUnsigned reads an unsigned integer of at most maxDigits digits. It returns false for a number above the limit.
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

// readInt reads a non-negative integer. It accepts only values that fit a 32-bit int.
func (s *scanner) readInt(out *int) bool {
	n, ok := s.readUnsigned(math.MaxInt32)
	*out = int(n)
	return ok
}

// readFloat reads a number according to the JSON grammar.
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

// skipFraction skips a fraction, if present. It returns false if the fraction has no digits.
func (s *scanner) skipFraction() bool {
	if !s.nextIsAny(".") {
		return true
	}
	s.remaining = s.remaining[1:]
	return s.skipDigits() > 0
}

// skipExponent skips an exponent, if present. It returns false if the exponent has no digits.
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
