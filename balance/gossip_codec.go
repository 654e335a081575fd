package balance

import (
	"encoding/binary"
	"errors"
)

// This file is the form of what sidecars tell each other, and what is remembered of it. What is told, to whom and
// what it changes is decided in hints.go.
//
// A message is a version byte, two bytes of checksum over all that follows, four bytes of the sender's clock in
// milliseconds, and up to maxFindings entries of six bytes: what, how long ago in units of findingAgeUnit, whom. Numbers are
// little-endian. Anything else is dropped as a whole.

const (
	gossipVersion    = 1
	gossipHeaderSize = 7
	findingSize      = 6
	maxFindings      = 24 // of one message: 151 bytes, where 256 are allowed
	findingAgeUnit   = 20 // ms; a byte reaches 5.1 s, by when a hint is no longer of use
)

// findingKind says what a sidecar has found, or asks.
type findingKind uint8

const (
	findingQuery    findingKind = 1 + iota // what do you know? Whom is 0
	findingFault                           // a server is late, fails or is out of reach
	findingRecovery                        // a server answers in time again
	findingKindEnd
)

// finding is one entry: whom it is about and when that was found, by the own clock.
type finding struct {
	kind       findingKind
	subject    uint32
	observedAt float64
}

var errMalformedGossip = errors.New("not a message of sidecars")

// serverTag names a server in a message. Two servers of a fleet hardly share one; if they do, a hint may go to the wrong
// one, which it can harm no more than a lie.
func serverTag(id ServerID) uint32 { return uint32(splitmix64(uint64(id)) >> 32) }

// appendGossip writes what was found, as at now.
func appendGossip(to []byte, now float64, findings []finding) []byte {
	start := len(to)
	to = append(to, gossipVersion, 0, 0)
	to = binary.LittleEndian.AppendUint32(to, gossipTimestamp(now))
	for _, f := range findings {
		age := clamp((now-f.observedAt)/findingAgeUnit, 0, 255)
		to = append(to, byte(f.kind), byte(age))
		to = binary.LittleEndian.AppendUint32(to, f.subject)
	}
	binary.LittleEndian.PutUint16(to[start+1:], checksum(to[start+3:]))
	return to
}

// readGossip reads a message into hints, with its sender's clock. It refuses whatever appendGossip cannot write.
func readGossip(data []byte, now float64, findings []finding) (uint32, []finding, error) {
	count := (len(data) - gossipHeaderSize) / findingSize
	if count < 1 || count > maxFindings || len(data) != gossipHeaderSize+count*findingSize || data[0] != gossipVersion ||
		binary.LittleEndian.Uint16(data[1:]) != checksum(data[3:]) {
		return 0, nil, errMalformedGossip
	}
	for entry := data[gossipHeaderSize:]; len(entry) > 0; entry = entry[findingSize:] {
		f := finding{findingKind(entry[0]), binary.LittleEndian.Uint32(entry[2:]), now - findingAgeUnit*float64(entry[1])}
		if f.kind < findingQuery || f.kind >= findingKindEnd {
			return 0, nil, errMalformedGossip
		}
		findings = append(findings, f)
	}
	return binary.LittleEndian.Uint32(data[3:]), findings, nil
}

// gossipTimestamp is the clock as messages carry it; it wraps after seven weeks.
func gossipTimestamp(now float64) uint32 { return uint32(uint64(int64(now))) }

// checksum finds what was garbled under way or is not from a sidecar. It keeps no liar out.
func checksum(data []byte) uint16 {
	sum := uint64(len(data))
	for _, c := range data {
		sum = splitmix64(sum ^ uint64(c))
	}
	return uint16(sum)
}

// gossipSender is what is remembered of another sidecar that has told something.
type gossipSender struct {
	lastTimestamp  uint32  // of its last message
	contradictions float64 // times that own answers contradicted it, halved with each gossipLifetime
	contradictedAt float64
}

// gossipState is what this sidecar tells and was told.
type gossipState struct {
	pending      []finding
	timerSet     bool // for the timer
	budgetBytes  float64
	bootstrapped bool
	senders      map[int]*gossipSender
	serversByTag map[uint32]*server
	readBuffer   []finding // of the last message, to be used again
}

func (b *Balancer) postGossip(peer int, data []byte) bool {
	if b.gossip.budgetBytes < float64(len(data)) {
		return false
	}
	b.gossip.budgetBytes -= float64(len(data))
	b.emit(Action{Kind: SendGossip, Peer: peer, Data: data})
	return true
}

func (b *Balancer) clearGossipEjection(s *server) {
	if s.gossipEjectedUntil > 0 {
		s.gossipEjectedUntil, s.gossipSource, s.gossipConfirmations = 0, -1, 0
		b.scheduleRefresh(s)
	}
}
