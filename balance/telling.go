package balance

import (
	"encoding/binary"
	"errors"
)

// This file is the form of what sidecars tell each other, and what is remembered of it. What is told, to whom and
// what it changes is decided in hints.go.
//
// A message is a version byte, two bytes of checksum over all that follows, four bytes of the sender's clock in
// milliseconds, and up to mostHints entries of six bytes: what, how long ago in units of ageUnit, whom. Numbers are
// little-endian. Anything else is dropped as a whole.

const (
	tellVersion = 1
	tellHeader  = 7
	hintSize    = 6
	mostHints   = 24 // of one message: 151 bytes, where 256 are allowed
	ageUnit     = 20 // ms; a byte reaches 5.1 s, by when a hint is no longer of use
)

// hintKind says what a sidecar has found, or asks.
type hintKind uint8

const (
	hintAsk  hintKind = 1 + iota // what do you know? Whom is 0
	hintBad                      // a server is late, fails or is out of reach
	hintBack                     // a server answers in time again
	hintKinds
)

// hint is one entry: whom it is about and when that was found, by the own clock.
type hint struct {
	kind hintKind
	whom uint32
	at   float64
}

var errMessage = errors.New("not a message of sidecars")

// tag names a server in a message. Two servers of a fleet hardly share one; if they do, a hint may go to the wrong
// one, which it can harm no more than a lie.
func tag(id ServerID) uint32 { return uint32(mix(uint64(id)) >> 32) }

// appendMessage writes what was found, as at now.
func appendMessage(to []byte, now float64, hints []hint) []byte {
	start := len(to)
	to = append(to, tellVersion, 0, 0)
	to = binary.LittleEndian.AppendUint32(to, stamp(now))
	for _, h := range hints {
		age := bound((now-h.at)/ageUnit, 0, 255)
		to = append(to, byte(h.kind), byte(age))
		to = binary.LittleEndian.AppendUint32(to, h.whom)
	}
	binary.LittleEndian.PutUint16(to[start+1:], checksum(to[start+3:]))
	return to
}

// readMessage reads a message into hints, with its sender's clock. It refuses whatever appendMessage cannot write.
func readMessage(data []byte, now float64, hints []hint) (uint32, []hint, error) {
	n := (len(data) - tellHeader) / hintSize
	if n < 1 || n > mostHints || len(data) != tellHeader+n*hintSize || data[0] != tellVersion ||
		binary.LittleEndian.Uint16(data[1:]) != checksum(data[3:]) {
		return 0, nil, errMessage
	}
	for e := data[tellHeader:]; len(e) > 0; e = e[hintSize:] {
		h := hint{hintKind(e[0]), binary.LittleEndian.Uint32(e[2:]), now - ageUnit*float64(e[1])}
		if h.kind < hintAsk || h.kind >= hintKinds {
			return 0, nil, errMessage
		}
		hints = append(hints, h)
	}
	return binary.LittleEndian.Uint32(data[3:]), hints, nil
}

// stamp is the clock as messages carry it; it wraps after seven weeks.
func stamp(now float64) uint32 { return uint32(uint64(int64(now))) }

// checksum finds what was garbled under way or is not from a sidecar. It keeps no liar out.
func checksum(data []byte) uint16 {
	sum := uint64(len(data))
	for _, c := range data {
		sum = mix(sum ^ uint64(c))
	}
	return uint16(sum)
}

// sender is what is remembered of another sidecar that has told something.
type sender struct {
	stamp   uint32  // of its last message
	wrong   float64 // times that own answers contradicted it, halved with each hintLife
	wrongAt float64
}

// telling is what this sidecar tells and was told.
type telling struct {
	toTell  []hint
	waiting bool // for the timer
	bytes   float64
	began   bool
	senders map[int]*sender
	byTag   map[uint32]*server
	read    []hint // of the last message, to be used again
}

func (b *Balancer) post(peer int, data []byte) bool {
	if b.tell.bytes < float64(len(data)) {
		return false
	}
	b.tell.bytes -= float64(len(data))
	b.emit(Action{Kind: Post, Peer: peer, Data: data})
	return true
}

func (b *Balancer) unhint(s *server) {
	if s.hintUntil > 0 {
		s.hintUntil, s.hintBy, s.heard = 0, -1, 0
		b.mark(s)
	}
}
