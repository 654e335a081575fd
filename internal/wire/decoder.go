package wire

import (
	"encoding/binary"
	"errors"
	"math"

	"milldeck/balance"
)

var (
	errTruncated    = errors.New("record runs past the end of the frame")
	errUnknownEvent = errors.New("unknown")
)

// frameDecoder decodes the values of a frame in order. A read past the end sets truncated and returns a zero value.
type frameDecoder struct {
	data      []byte
	pos       int
	truncated bool
}

// bytes returns the next n bytes, without copying them.
func (d *frameDecoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(d.data)-d.pos) {
		d.truncated, d.pos = true, len(d.data)
		return nil
	}
	d.pos += int(n)
	return d.data[d.pos-int(n) : d.pos : d.pos]
}

func (d *frameDecoder) uint8() uint8 {
	if b := d.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *frameDecoder) uint16() uint16 {
	if b := d.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *frameDecoder) uint32() uint32 {
	if b := d.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *frameDecoder) uint64() uint64 {
	if b := d.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// float64 decodes a number. NaN and infinities count as absent and yield 0.
func (d *frameDecoder) float64() float64 {
	v := math.Float64frombits(d.uint64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// float32 decodes a number. NaN and infinities count as absent and yield 0.
func (d *frameDecoder) float32() float32 {
	v := math.Float32frombits(d.uint32())
	if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// serverID decodes an IPv4 address and a port.
func (d *frameDecoder) serverID() balance.ServerID {
	address := d.uint32()
	return balance.ServerID(uint64(address)<<16 | uint64(d.uint16()))
}
