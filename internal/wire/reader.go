// Package wire translates the simulator's binary frames and settings to the types
// of package balance and back. It takes no decisions.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"milldeck/balance"
)

// Event codes.
const (
	eventServerTable        = 1000
	eventRequest            = 1010
	eventTimerFired         = 1020
	eventStreamStarted      = 1030
	eventEndpointUpdate     = 1040
	eventGossip             = 1050
	eventInstanceKilled     = 1060
	eventInstanceStarted    = 1070
	eventHealthCheckResult  = 1080
	eventOutcome            = 1090
	eventClientDisconnected = 1100
)

const (
	headerSize     = 16
	tableEntrySize = 23
	maxFrameSize   = 1 << 28 // far above any batch of the simulator
	maxTables      = 16
)

var resultsByCode = map[uint16]balance.Result{
	0: balance.OK, 13: balance.Failed, 8: balance.Overloaded, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Cancelled, 9: balance.Obsolete,
}

// InstanceStarted starts an instance; Settings is the raw profile for ParseSettings.
type InstanceStarted struct {
	Seed     uint64
	Settings []byte
}

// InstanceKilled says that an instance was killed.
type InstanceKilled struct{}

// Record is one event for one instance: a Begin, a Down or a balance.Event.
type Record struct {
	Instance uint16
	Event    any
}

// Reader reads frames. Server tables live across frames.
type Reader struct {
	input        io.Reader
	buffer       bytes.Buffer
	tables       [maxTables][]balance.Server
	tableKnown   [maxTables]bool
	reportBuffer []float32
}

// NewReader returns a reader of the frames of in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{input: in} }

// Read hands the events of the next frame to handle, in order, with the frame's clock.
// It returns io.EOF at an end of input between frames. Slices in events are valid
// during the call only.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	var head [headerSize]byte
	if _, err := io.ReadFull(r.input, head[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("frame header cut short: %w", err)
	}
	count := binary.BigEndian.Uint32(head[0:])
	size := binary.BigEndian.Uint32(head[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(head[8:]))
	if size < headerSize || size > maxFrameSize {
		return fmt.Errorf("frame length %d: want %d to %d", size, headerSize, maxFrameSize)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("frame clock is %v", clock)
	}
	r.buffer.Reset()
	// The buffer grows with what arrives, not with what the header claims.
	if n, err := io.CopyN(&r.buffer, r.input, int64(size-headerSize)); err != nil {
		return fmt.Errorf("frame of %d bytes cut short after %d: %w", size, n+headerSize, err)
	}
	f := frameDecoder{data: r.buffer.Bytes()}
	for i := uint32(0); i < count; i++ {
		at := f.pos
		rec, err := r.readRecord(&f)
		if err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at+headerSize, err)
		}
		if rec.Event == nil {
			continue
		}
		if err := handle(clock, rec); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, at+headerSize, err)
		}
	}
	if f.pos != len(f.data) {
		return fmt.Errorf("%d bytes after the last of %d records", len(f.data)-f.pos, count)
	}
	return nil
}

func (r *Reader) readRecord(f *frameDecoder) (Record, error) {
	code, first := f.u16(), f.u16()
	if f.truncated {
		return Record{}, errTruncated
	}
	rec := Record{Instance: first}
	var err error
	switch code {
	case eventServerTable:
		err = r.readServerTable(f, first)
	case eventInstanceStarted:
		seed := f.u64()
		rec.Event = InstanceStarted{Seed: seed, Settings: f.bytes(f.u32())}
	case eventInstanceKilled:
		rec.Event = InstanceKilled{}
	case eventEndpointUpdate:
		rec.Event, err = r.readEndpointUpdate(f)
	case eventRequest:
		rec.Event = readRequest(f)
	case eventTimerFired:
		rec.Event = balance.TimerFired{Token: f.u64()}
	case eventStreamStarted:
		ev := balance.StreamStarted{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.serverID()}
		ev.Elapsed = f.f64()
		rec.Event = ev
	case eventOutcome:
		rec.Event, err = r.readOutcome(f)
	case eventClientDisconnected:
		rec.Event = balance.ClientDisconnected{Request: balance.RequestID(f.u64())}
	case eventHealthCheckResult:
		rec.Event, err = r.readHealthCheckResult(f)
	case eventGossip:
		from := int(f.u16())
		rec.Event = balance.GossipMessage{From: from, Data: f.bytes(uint32(f.u16()))}
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	if err == nil && f.truncated {
		err = errTruncated
	}
	if err != nil {
		return rec, fmt.Errorf("event code %d: %w", code, err)
	}
	return rec, nil
}

func (r *Reader) readServerTable(f *frameDecoder, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", table, maxTables-1)
	}
	count := f.u32()
	if uint64(count)*tableEntrySize > uint64(len(f.data)-f.pos) {
		return fmt.Errorf("%d entries: %w", count, errTruncated)
	}
	list := make([]balance.Server, count)
	for i := range list {
		s := &list[i]
		s.StartedAt = f.f64()
		switch state := f.u8(); state {
		case 0:
			s.State = balance.Ready
		case 2:
			s.State = balance.Draining
		case 1:
			s.State = balance.Removed
		default:
			return fmt.Errorf("entry %d: unknown condition %d", i, state)
		}
		s.ID = f.serverID()
		s.RelativeCapacity = float64(f.f32())
		s.Cell, s.Zone, s.Kind = int(f.u16()), int(f.u8()), int(f.u8())
	}
	r.tables[table], r.tableKnown[table] = list, true
	return nil
}

func (r *Reader) readEndpointUpdate(f *frameDecoder) (any, error) {
	kind, _, table := f.u8(), f.u32(), f.u16()
	if f.truncated {
		return nil, errTruncated
	}
	update := balance.EndpointUpdate{}
	switch kind {
	case 0:
		update.Kind = balance.UpdateFull
	case 1:
		update.Kind = balance.UpdateCached
	case 3:
		update.Kind = balance.UpdateDelta
	case 2:
		return balance.EndpointUpdate{Kind: balance.UpdateFailed}, nil
	default:
		return nil, fmt.Errorf("unknown list kind %d", kind)
	}
	if table >= maxTables || !r.tableKnown[table] {
		return nil, fmt.Errorf("server table %d was never sent", table)
	}
	update.Servers = r.tables[table]
	return update, nil
}

func readRequest(f *frameDecoder) balance.Request {
	request := balance.Request{ID: balance.RequestID(f.u64()), Tenant: int(f.u16())}
	expectedWork, flags := f.f64(), f.u16()
	if flags&1 != 0 {
		request.ExpectedWork = expectedWork
	}
	request.ClientRetry, request.Write = flags&2 != 0, flags&4 != 0
	request.Key, request.Timeout = f.u64(), f.f64()
	request.Class = int(f.u16())
	return request
}

func (r *Reader) readOutcome(f *frameDecoder) (any, error) {
	outcome := balance.Outcome{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.serverID()}
	code := f.u16()
	outcome.Elapsed, outcome.RequestDone = f.f64(), f.u8() != 0
	outcome.LoadReport = r.readLoadReport(f)
	var err error
	outcome.Result, err = resultOf(code, f)
	return outcome, err
}

func (r *Reader) readHealthCheckResult(f *frameDecoder) (any, error) {
	ev := balance.HealthCheckResult{Elapsed: f.f64()}
	code := f.u16()
	ev.Server, ev.LoadReport = f.serverID(), r.readLoadReport(f)
	var err error
	ev.Result, err = resultOf(code, f)
	return ev, err
}

func resultOf(code uint16, f *frameDecoder) (balance.Result, error) {
	result, ok := resultsByCode[code]
	if !ok && !f.truncated {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return result, nil
}

func (r *Reader) readLoadReport(f *frameDecoder) []float32 {
	r.reportBuffer = r.reportBuffer[:0]
	for n := f.u8(); n > 0; n-- {
		r.reportBuffer = append(r.reportBuffer, f.f32())
	}
	return r.reportBuffer
}

var errTruncated = errors.New("record runs past the end of the frame")

// frameDecoder takes values off a frame. A read past the end sets bad and gives zero.
type frameDecoder struct {
	data      []byte
	pos       int
	truncated bool
}

func (f *frameDecoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(f.data)-f.pos) {
		f.truncated, f.pos = true, len(f.data)
		return nil
	}
	f.pos += int(n)
	return f.data[f.pos-int(n) : f.pos : f.pos]
}

func (f *frameDecoder) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *frameDecoder) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *frameDecoder) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *frameDecoder) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f64 reads a number; what is no finite number counts as absent.
func (f *frameDecoder) f64() float64 {
	v := math.Float64frombits(f.u64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (f *frameDecoder) f32() float32 {
	v := math.Float32frombits(f.u32())
	if v != v || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// serverID packs four bytes of address and a port into an ID.
func (f *frameDecoder) serverID() balance.ServerID {
	host := f.u32()
	return balance.ServerID(uint64(host)<<16 | uint64(f.u16()))
}
