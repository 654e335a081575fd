package balance

import (
	"encoding/binary"
	"errors"
)

// A gossip message, numbers in little-endian order:
//
//	byte 0       version
//	bytes 1..2   checksum of all that follows
//	bytes 3..6   the sender's clock in milliseconds
//	then 1 to maxFindings findings of 6 bytes:
//	byte 0       kind
//	byte 1       age in units of findingAgeUnit
//	bytes 2..5   tag of the server, 0 in a query
const (
	gossipVersion    = 1
	gossipHeaderSize = 7
	findingSize      = 6
	maxFindings      = 24 // per message: 151 bytes, of the 256 that are allowed
	findingAgeUnit   = 20 // ms; one byte covers 5.1 s, after which a finding no longer holds
)

// findingKind is the kind of a finding. A query is encoded as a finding as well.
type findingKind uint8

const (
	findingQuery    findingKind = 1 + iota // requests the faults that the receiver knows
	findingFault                           // a server is late, fails or is unreachable
	findingRecovery                        // a server answers in time again
	findingKindEnd
)

// finding is one entry of a gossip message.
type finding struct {
	kind       findingKind
	subject    uint32  // tag of the server
	observedAt float64 // by this sidecar's clock
}

var errMalformedGossip = errors.New("malformed gossip message")

// serverTag identifies a server in a message. Two servers of a fleet almost never share a tag. If they do, a finding
// may be applied to the other server, which does no more harm than a wrong finding.
func serverTag(id ServerID) uint32 { return uint32(splitmix64(uint64(id)) >> 32) }

// encodeGossip returns a message with the given findings, sent at now.
func encodeGossip(now float64, findings []finding) []byte {
	data := []byte{gossipVersion, 0, 0}
	data = binary.LittleEndian.AppendUint32(data, gossipTimestamp(now))
	for _, f := range findings {
		age := clamp((now-f.observedAt)/findingAgeUnit, 0, 255)
		data = append(data, byte(f.kind), byte(age))
		data = binary.LittleEndian.AppendUint32(data, f.subject)
	}
	binary.LittleEndian.PutUint16(data[1:], checksum(data[3:]))
	return data
}

// decodeGossip appends the findings of a message to findings, and returns them with the timestamp of the sender. It
// returns errMalformedGossip for any message that encodeGossip cannot produce.
func decodeGossip(data []byte, now float64, findings []finding) (uint32, []finding, error) {
	count := (len(data) - gossipHeaderSize) / findingSize
	if count < 1 || count > maxFindings || len(data) != gossipHeaderSize+count*findingSize || data[0] != gossipVersion ||
		binary.LittleEndian.Uint16(data[1:]) != checksum(data[3:]) {
		return 0, nil, errMalformedGossip
	}
	for entry := data[gossipHeaderSize:]; len(entry) > 0; entry = entry[findingSize:] {
		f := finding{
			kind:       findingKind(entry[0]),
			subject:    binary.LittleEndian.Uint32(entry[2:]),
			observedAt: now - findingAgeUnit*float64(entry[1]),
		}
		if f.kind < findingQuery || f.kind >= findingKindEnd {
			return 0, nil, errMalformedGossip
		}
		findings = append(findings, f)
	}
	return binary.LittleEndian.Uint32(data[3:]), findings, nil
}

// gossipTimestamp returns the clock as messages carry it. It wraps after seven weeks.
func gossipTimestamp(now float64) uint32 { return uint32(uint64(int64(now))) }

// checksum detects messages that were damaged in transit or do not come from a sidecar. It does not authenticate.
func checksum(data []byte) uint16 {
	sum := uint64(len(data))
	for _, c := range data {
		sum = splitmix64(sum ^ uint64(c))
	}
	return uint16(sum)
}
