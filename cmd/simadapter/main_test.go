package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// Codes of records and actions; see package wire.
const (
	recordServerTable     = uint16(1000)
	recordRequest         = uint16(1010)
	recordTimerFired      = uint16(1020)
	recordEndpointUpdate  = uint16(1040)
	recordGossip          = uint16(1050)
	recordInstanceKilled  = uint16(1060)
	recordInstanceStarted = uint16(1070)
	recordOutcome         = uint16(1090)

	actionSend     = 1000
	actionSetTimer = 1040
	actionFault    = 1090
)

// frameBuilder encodes frames as the simulator sends them.
type frameBuilder struct{ bytes.Buffer }

func (s *frameBuilder) addFrame(clock float64, records ...[]byte) {
	body := bytes.Join(records, nil)
	s.Write(record([]uint32{uint32(len(records)), uint32(16 + len(body))}, clock))
	s.Write(body)
}

// record encodes its fields big-endian.
func record(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err) // the type of the field has no fixed size
		}
	}
	return b.Bytes()
}

const settings = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

func startInstance(instance uint16, seed uint64, settingsJSON string) []byte {
	return record(recordInstanceStarted, instance, seed, uint32(len(settingsJSON)), []byte(settingsJSON))
}

func serverTable(n int) []byte {
	b := record(recordServerTable, uint16(0), uint32(n))
	for i := range n {
		b = append(b, record(0.0, uint8(0), uint32(i+1), uint16(80), float32(1), uint16(i), uint8(0), uint8(0))...)
	}
	return b
}

func cachedUpdate(instance uint16) []byte {
	return record(recordEndpointUpdate, instance, uint8(1), uint32(1), uint16(0))
}

func request(instance uint16, id uint64) []byte {
	return record(recordRequest, instance, id, uint16(0), 0.0, uint16(0), uint64(0), 1500.0, uint16(0))
}

func mustRun(t *testing.T, s *frameBuilder) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&s.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// countSends returns the number of sends by instance. The replies must hold only sends and timers.
func countSends(t *testing.T, replies []byte) map[uint16]int {
	t.Helper()
	n := map[uint16]int{}
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for p := replies[4:size]; len(p) > 0; {
			switch binary.BigEndian.Uint16(p) {
			case actionSend:
				n[binary.BigEndian.Uint16(p[2:])]++
				p = p[26:]
			case actionSetTimer:
				p = p[20:]
			default:
				t.Fatalf("unexpected action %d", binary.BigEndian.Uint16(p))
			}
		}
		replies = replies[size:]
	}
	return n
}

func TestSameActionsInOneProcessAndInThree(t *testing.T) {
	runInstances := func(instances ...uint16) []byte {
		s := &frameBuilder{}
		var first [][]byte
		for _, i := range instances {
			first = append(first, startInstance(i, uint64(i)*7, settings), serverTable(5), cachedUpdate(i))
		}
		s.addFrame(1000, first...)
		for id := range uint64(60) {
			for _, i := range instances {
				s.addFrame(1001+float64(id), request(i, id))
			}
		}
		return mustRun(t, s)
	}
	shared := runInstances(1, 2, 3)
	for _, i := range []uint16{1, 2, 3} {
		alone := runInstances(i)
		if n, m := countSends(t, shared)[i], countSends(t, alone)[i]; n != 60 || m != 60 {
			t.Fatalf("instance %d sent %d requests in a shared process, %d in a process of its own, want 60", i, n, m)
		}
		if !bytes.Equal(actionsOf(shared, i), actionsOf(alone, i)) {
			t.Fatalf("instance %d: its actions differ between a shared process and a process of its own", i)
		}
	}
}

// actionsOf returns the encoded actions of one instance. The replies must hold only sends and timers.
func actionsOf(replies []byte, instance uint16) []byte {
	var out []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for p := replies[4:size]; len(p) > 0; {
			n := 20
			if binary.BigEndian.Uint16(p) == actionSend {
				n = 26
			}
			if binary.BigEndian.Uint16(p[2:]) == instance {
				out = append(out, p[:n]...)
			}
			p = p[n:]
		}
		replies = replies[size:]
	}
	return out
}

func TestRestartWithinAFrame(t *testing.T) {
	s := &frameBuilder{}
	s.addFrame(1000, startInstance(1, 7, settings), serverTable(3), cachedUpdate(1), request(1, 5),
		record(recordInstanceKilled, uint16(1)), startInstance(1, 8, settings), cachedUpdate(1), request(1, 6))
	s.addFrame(1001, record(recordTimerFired, uint16(1), uint64(5))) // a timer of the killed instance, to be ignored
	if n := countSends(t, mustRun(t, s)); n[1] != 2 {
		t.Fatalf("%d sends, want one before and one after the restart", n[1])
	}
}

func TestUnusableSettingsAreReported(t *testing.T) {
	s := &frameBuilder{}
	s.addFrame(1000, startInstance(1, 7, `{"classes": []}`), serverTable(1), cachedUpdate(1))
	out := mustRun(t, s)
	if len(out) < 8 || binary.BigEndian.Uint16(out[4:]) != actionFault || !strings.Contains(string(out), "no classes") {
		t.Fatalf("reply %q", out)
	}
}

func TestInvalidInputEndsTheProcess(t *testing.T) {
	notStarted := &frameBuilder{}
	notStarted.addFrame(1000, request(4, 1))
	infiniteClock := &frameBuilder{}
	infiniteClock.addFrame(math.Inf(1))
	validFrame := &frameBuilder{}
	validFrame.addFrame(1000, serverTable(1))
	for name, input := range map[string][]byte{
		"instance not started":   notStarted.Bytes(),
		"infinite clock":         infiniteClock.Bytes(),
		"truncated header":       validFrame.Bytes()[:7],
		"frame without its body": validFrame.Bytes()[:16],
		"truncated frame":        validFrame.Bytes()[:20],
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(bytes.NewReader(input), &out); err == nil || out.Len() > 0 {
				t.Errorf("error %v, %d bytes of reply", err, out.Len())
			}
		})
	}
}
