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

const (
	headerSize     = 16      // bytes of a frame's header
	tableEntrySize = 23      // bytes of one server in a server table
	maxFrameSize   = 1 << 28 // far larger than any frame of the simulator
	maxTables      = 16      // server tables are numbered from 0
)

// Kinds of endpoint updates.
const (
	updateFull   = 0
	updateCached = 1
	updateFailed = 2
	updateDelta  = 3
)

// Conditions of a server in a server table.
const (
	conditionReady    = 0
	conditionRemoved  = 1
	conditionDraining = 2
)

// Bits of a request's flags.
const (
	flagExpectedWork = 1
	flagClientRetry  = 2
	flagWrite        = 4
)

var resultsByCode = map[uint16]balance.Result{
	0:  balance.OK,
	1:  balance.Cancelled,
	4:  balance.TimedOut,
	8:  balance.Overloaded,
	9:  balance.Obsolete,
	10: balance.Reset,
	13: balance.Failed,
	14: balance.ConnectFailed,
}

// Reader decodes frames. It keeps each server table across frames until the simulator replaces the table.
type Reader struct {
	input        io.Reader
	buffer       bytes.Buffer
	tables       [maxTables][]balance.Server
	tableKnown   [maxTables]bool
	reportBuffer []float32
}

// NewReader returns a Reader of the frames of in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{input: in} }

// Read decodes the next frame and calls handle for each record, in order, with the frame's clock. It returns io.EOF if
// the input ends between two frames, and stops at the first error of handle. The slices in a record are valid only until
// handle returns.
func (r *Reader) Read(handle func(clock float64, record Record) error) error {
	count, clock, err := r.readFrame()
	if err != nil {
		return err
	}
	d := frameDecoder{data: r.buffer.Bytes()}
	for i := range count {
		start := d.pos
		if err := r.handleRecord(&d, clock, handle); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, start+headerSize, err)
		}
	}
	if d.pos != len(d.data) {
		return fmt.Errorf("frame has %d bytes after the last of its %d records", len(d.data)-d.pos, count)
	}
	return nil
}

// readFrame reads the body of the next frame into the buffer and returns the frame's record count and clock.
func (r *Reader) readFrame() (count uint32, clock float64, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.input, header[:]); errors.Is(err, io.EOF) {
		return 0, 0, io.EOF
	} else if err != nil {
		return 0, 0, fmt.Errorf("frame header truncated: %w", err)
	}
	count = binary.BigEndian.Uint32(header[0:])
	size := binary.BigEndian.Uint32(header[4:])
	clock = math.Float64frombits(binary.BigEndian.Uint64(header[8:]))
	if size < headerSize || size > maxFrameSize {
		return 0, 0, fmt.Errorf("frame length %d: want %d to %d", size, headerSize, maxFrameSize)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return 0, 0, fmt.Errorf("frame clock %v is not a finite number", clock)
	}
	r.buffer.Reset()
	// The buffer grows with the bytes received, not with the length that the header claims.
	if n, err := io.CopyN(&r.buffer, r.input, int64(size-headerSize)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // io.EOF means that the input ends between frames
		}
		return 0, 0, fmt.Errorf("frame of %d bytes truncated after %d: %w", size, n+headerSize, err)
	}
	return count, clock, nil
}

func (r *Reader) handleRecord(d *frameDecoder, clock float64, handle func(clock float64, record Record) error) error {
	record, err := r.readRecord(d)
	if err != nil || record.empty() {
		return err
	}
	return handle(clock, record)
}

func (r *Reader) readRecord(d *frameDecoder) (Record, error) {
	code, instanceOrTable := d.uint16(), d.uint16()
	if d.truncated {
		return Record{}, errTruncated
	}
	record := Record{Instance: instanceOrTable}
	var err error
	switch code {
	case eventServerTable:
		err = r.readServerTable(d, instanceOrTable)
	case eventInstanceStarted:
		seed := d.uint64()
		record.Started = &InstanceStarted{Seed: seed, Settings: d.bytes(d.uint32())}
	case eventInstanceKilled:
		record.Killed = true
	default:
		record.Event, err = r.readEvent(d, code)
	}
	if err == nil && d.truncated {
		err = errTruncated
	}
	if err != nil {
		return record, fmt.Errorf("event code %d: %w", code, err)
	}
	return record, nil
}

func (r *Reader) readEvent(d *frameDecoder, code uint16) (balance.Event, error) {
	switch code {
	case eventEndpointUpdate:
		return r.readEndpointUpdate(d)
	case eventRequest:
		return readRequest(d), nil
	case eventTimerFired:
		return balance.TimerFired{Token: d.uint64()}, nil
	case eventStreamStarted:
		request, attempt := balance.RequestID(d.uint64()), int(d.uint8())
		return balance.StreamStarted{Request: request, Attempt: attempt, Server: d.serverID(), Elapsed: d.float64()}, nil
	case eventOutcome:
		return r.readOutcome(d)
	case eventClientDisconnected:
		return balance.ClientDisconnected{Request: balance.RequestID(d.uint64())}, nil
	case eventHealthCheckResult:
		return r.readHealthCheckResult(d)
	case eventGossip:
		from := int(d.uint16())
		return balance.GossipMessage{From: from, Data: d.bytes(uint32(d.uint16()))}, nil
	}
	return nil, errUnknownEvent
}

// readServerTable stores a server table. Later endpoint updates refer to the table by its number.
func (r *Reader) readServerTable(d *frameDecoder, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", table, maxTables-1)
	}
	count := d.uint32()
	if uint64(count)*tableEntrySize > uint64(len(d.data)-d.pos) {
		return fmt.Errorf("server table with %d entries: %w", count, errTruncated)
	}
	servers := make([]balance.Server, count)
	for i := range servers {
		if err := readTableEntry(d, &servers[i]); err != nil {
			return fmt.Errorf("server table entry %d: %w", i, err)
		}
	}
	r.tables[table], r.tableKnown[table] = servers, true
	return nil
}

func readTableEntry(d *frameDecoder, server *balance.Server) error {
	server.StartedAt = d.float64()
	switch condition := d.uint8(); condition {
	case conditionReady:
		server.State = balance.Ready
	case conditionDraining:
		server.State = balance.Draining
	case conditionRemoved:
		server.State = balance.Removed
	default:
		return fmt.Errorf("unknown server condition %d", condition)
	}
	server.ID = d.serverID()
	server.RelativeCapacity = float64(d.float32())
	server.Cell, server.Zone, server.Kind = int(d.uint16()), int(d.uint8()), int(d.uint8())
	return nil
}

func (r *Reader) readEndpointUpdate(d *frameDecoder) (balance.Event, error) {
	kind, _, table := d.uint8(), d.uint32(), d.uint16() // the version of the endpoint list is not used
	if d.truncated {
		return nil, errTruncated
	}
	update := balance.EndpointUpdate{}
	switch kind {
	case updateFull:
		update.Kind = balance.UpdateFull
	case updateCached:
		update.Kind = balance.UpdateCached
	case updateDelta:
		update.Kind = balance.UpdateDelta
	case updateFailed:
		return balance.EndpointUpdate{Kind: balance.UpdateFailed}, nil
	default:
		return nil, fmt.Errorf("unknown kind of endpoint update %d", kind)
	}
	if table >= maxTables || !r.tableKnown[table] {
		return nil, fmt.Errorf("server table %d was never sent", table)
	}
	update.Servers = r.tables[table]
	return update, nil
}

func readRequest(d *frameDecoder) balance.Request {
	request := balance.Request{ID: balance.RequestID(d.uint64()), Tenant: int(d.uint16())}
	expectedWork, flags := d.float64(), d.uint16()
	if flags&flagExpectedWork != 0 {
		request.ExpectedWork = expectedWork
	}
	request.ClientRetry, request.Write = flags&flagClientRetry != 0, flags&flagWrite != 0
	request.Key, request.Timeout = d.uint64(), d.float64()
	request.Class = int(d.uint16())
	return request
}

func (r *Reader) readOutcome(d *frameDecoder) (balance.Event, error) {
	outcome := balance.Outcome{Request: balance.RequestID(d.uint64()), Attempt: int(d.uint8()), Server: d.serverID()}
	code := d.uint16()
	outcome.Elapsed, outcome.RequestDone = d.float64(), d.uint8() != 0
	outcome.LoadReport = r.readLoadReport(d)
	var err error
	outcome.Result, err = resultOf(code, d)
	return outcome, err
}

func (r *Reader) readHealthCheckResult(d *frameDecoder) (balance.Event, error) {
	result := balance.HealthCheckResult{Elapsed: d.float64()}
	code := d.uint16()
	result.Server, result.LoadReport = d.serverID(), r.readLoadReport(d)
	var err error
	result.Result, err = resultOf(code, d)
	return result, err
}

// resultOf returns the result with a code. It accepts any code of a truncated record: readRecord reports the truncation.
func resultOf(code uint16, d *frameDecoder) (balance.Result, error) {
	result, ok := resultsByCode[code]
	if !ok && !d.truncated {
		return 0, fmt.Errorf("unknown result code %d", code)
	}
	return result, nil
}

// readLoadReport returns a slice that the next call overwrites.
func (r *Reader) readLoadReport(d *frameDecoder) []float32 {
	r.reportBuffer = r.reportBuffer[:0]
	for n := d.uint8(); n > 0; n-- {
		r.reportBuffer = append(r.reportBuffer, d.float32())
	}
	return r.reportBuffer
}
