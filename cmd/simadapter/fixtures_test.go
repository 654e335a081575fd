package main

import (
	"bytes"
	"encoding/binary"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update makes the fixture test rewrite its golden files before it compares with them.
var update = flag.Bool("update", false, "write the golden files under testdata")

const sessionSettings = `{"classes": [
	{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500},
	{"effect": "non_idempotent", "on_time_ms": 200, "hard_limit_ms": 600, "worth": 3},
	{"effect": "idempotency_key", "group": "zone", "window_ms": 1200, "on_time_ms": 250, "hard_limit_ms": 2000}],
	"my_number": 2, "peers_total": 40, "quantum_ms": 4, "discovery": "subscribe",
	"limits": {"max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 1000, "may_tell": true, "connect_timeout_ms": 150},
	"rules": {"ask_within_ms": 10000, "cold_from": 0.2, "cold_ms": 20000, "fall_ms": 1000, "fall_multiple": 2.5, "drain_grace_ms": 2000},
	"family_info": {"warm_keys": true}, "penalties": {"peer": 0.06}}`

// sessionFrames encodes a session of two instances: requests whose attempts have many results, timers, gossip messages,
// failed endpoint updates, a changed server table, and an instance that is killed and restarted. The result of an attempt
// depends only on its number and the request ID. Each frame has the outcomes of the attempts that the previous reply sent.
func sessionFrames(t *testing.T) []byte {
	var input []byte
	results := []uint16{0, 0, 0, 0, 0, 0, 8, 13, 14, 10}
	attemptCounts := map[[2]uint64]int{} // attempts by instance and request ID
	var outcomes [][]byte                // outcome records for the next frame
	runFrame := func(clock float64, records ...[]byte) {
		s := &frameBuilder{}
		s.addFrame(clock, records...)
		input = append(input, s.Bytes()...)
		var out bytes.Buffer
		if err := run(bytes.NewReader(input), &out); err != nil {
			t.Fatal(err)
		}
		outcomes = outcomes[:0]
		for _, a := range lastReply(out.Bytes()) {
			if binary.BigEndian.Uint16(a) != actionSend {
				continue
			}
			instance, id := binary.BigEndian.Uint16(a[2:]), binary.BigEndian.Uint64(a[4:])
			attempt := attemptCounts[[2]uint64{uint64(instance), id}]
			attemptCounts[[2]uint64{uint64(instance), id}]++
			result := results[(int(id)*7+attempt*3)%len(results)]
			done := uint8(0)
			if result == 0 {
				done = 1
			}
			outcomes = append(outcomes, record(recordOutcome, instance, id, uint8(attempt), a[20:26], result, 10.5+float64(id%7),
				done, uint8(0)))
		}
	}
	runFrame(1000, startInstance(1, 7, sessionSettings), startInstance(2, 8, sessionSettings), serverTable(20),
		cachedUpdate(1), cachedUpdate(2))
	for id := uint64(1); id <= 150; id++ {
		clock := 1000 + 12*float64(id)
		records := append([][]byte(nil), outcomes...)
		instance := uint16(1 + id%2)
		records = append(records, record(recordRequest, instance, id, uint16(0), 0.0, uint16(0), id*7919%40, 1000.0,
			uint16(id%3)))
		switch {
		case id%20 == 0:
			records = append(records, record(recordTimerFired, instance, uint64(1<<60)),
				record(recordTimerFired, instance, uint64(1<<60+1)))
		case id%33 == 0:
			records = append(records, record(recordEndpointUpdate, instance, uint8(2), uint32(0), uint16(0)))
		case id%35 == 0:
			records = append(records, record(recordGossip, instance, uint16(3), uint16(4), []byte{1, 2, 3, 4}))
		case id == 90:
			records = append(records, serverTable(25), record(recordEndpointUpdate, uint16(1), uint8(0), uint32(2), uint16(0)))
		}
		runFrame(clock, records...)
	}
	runFrame(3000, record(recordInstanceKilled, uint16(1)), startInstance(1, 9, sessionSettings), cachedUpdate(1), request(1, 1000))
	return input
}

// lastReply returns the encoded actions of the last reply frame.
func lastReply(replies []byte) (actions [][]byte) {
	var last []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		last, replies = replies[4:size], replies[size:]
	}
	for len(last) > 0 {
		n := 0
		switch binary.BigEndian.Uint16(last) {
		case 1000:
			n = 26
		case 1010, 1040:
			n = 20
		case 1020:
			n = 12
		case 1030:
			n = 13
		case 1050, 1060:
			n = 10
		case 1070:
			n = 10 + int(binary.BigEndian.Uint16(last[8:]))
		case 1080, 1090:
			n = 6 + int(binary.BigEndian.Uint16(last[4:]))
		case 1100:
			n = 5
		case 1110:
			n = 4
		}
		actions, last = append(actions, last[:n]), last[n:]
	}
	return actions
}

// The replies to a recorded session equal the recorded replies byte for byte.
func TestSessionFixture(t *testing.T) {
	input, output := filepath.Join("testdata", "session.in"), filepath.Join("testdata", "session.out")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(input, sessionFrames(t), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	frames, err := os.ReadFile(input)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(frames), &out); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(output, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(output)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("replies of %d bytes differ from the %d recorded bytes", out.Len(), len(want))
	}
}
