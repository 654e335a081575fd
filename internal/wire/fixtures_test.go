package wire

import (
	"bytes"
	"encoding/binary"
	"flag"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"milldeck/balance"
)

// update makes the fixture tests rewrite their golden files before they compare with them.
var update = flag.Bool("update", false, "write the golden files under testdata")

// goldenFile returns the contents of a file in testdata. With -update, it writes data to the file first.
func goldenFile(t *testing.T, name string, data []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// frameBuilder encodes frames as the simulator sends them.
type frameBuilder struct{ out []byte }

func (f *frameBuilder) addFrame(clock float64, records ...[]byte) {
	body := bytes.Join(records, nil)
	f.out = binary.BigEndian.AppendUint32(f.out, uint32(len(records)))
	f.out = binary.BigEndian.AppendUint32(f.out, uint32(16+len(body)))
	f.out = binary.BigEndian.AppendUint64(f.out, math.Float64bits(clock))
	f.out = append(f.out, body...)
}

// encode encodes values big-endian. A server ID has four bytes of address and two bytes of port.
func encode(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		switch v := v.(type) {
		case string:
			b.WriteString(v)
		case balance.ServerID:
			b.Write(binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint32(nil, uint32(v>>16)), uint16(v)))
		default:
			if err := binary.Write(&b, binary.BigEndian, v); err != nil {
				panic(err)
			}
		}
	}
	return b.Bytes()
}

const (
	firstServer  = balance.ServerID(0x0a124a07232b)
	secondServer = balance.ServerID(0x0a9011f22354)
	thirdServer  = balance.ServerID(0x0a9011f22355)
)

// eventFixtures returns frames with every kind of event that the simulator sends, and the records expected from them.
func eventFixtures() ([]byte, []Record) {
	servers := []balance.Server{
		{ID: firstServer, RelativeCapacity: 1, Cell: 300, Zone: 2, Kind: 3},
		{ID: secondServer, StartedAt: 6100, State: balance.Draining, RelativeCapacity: 1.5, Zone: 1},
		{ID: thirdServer, StartedAt: 0, State: balance.Removed, RelativeCapacity: 0.25},
	}
	var want []Record
	f := &frameBuilder{}
	addEvent := func(clock float64, instance uint16, record []byte, event balance.Event) {
		f.addFrame(clock, record)
		want = append(want, Record{Instance: instance, Event: event})
	}
	settings := `{"classes": []}`
	f.addFrame(1000, encode(uint16(1070), uint16(3), uint64(0x8c1f30d27a5be964), uint32(len(settings)), settings))
	want = append(want, Record{Instance: 3, Started: &InstanceStarted{Seed: 0x8c1f30d27a5be964, Settings: []byte(settings)}})
	f.addFrame(1000, encode(uint16(1000), uint16(2), uint32(3),
		0.0, uint8(0), firstServer, float32(1), uint16(300), uint8(2), uint8(3),
		6100.0, uint8(2), secondServer, float32(1.5), uint16(0), uint8(1), uint8(0),
		math.Inf(1), uint8(1), thirdServer, float32(0.25), uint16(0), uint8(0), uint8(0)))
	addEvent(1001, 3, encode(uint16(1040), uint16(3), uint8(0), uint32(41), uint16(2)),
		balance.EndpointUpdate{Kind: balance.UpdateFull, Servers: servers})
	addEvent(1001, 4, encode(uint16(1040), uint16(4), uint8(1), uint32(41), uint16(2)),
		balance.EndpointUpdate{Kind: balance.UpdateCached, Servers: servers})
	addEvent(1002, 4, encode(uint16(1040), uint16(4), uint8(3), uint32(42), uint16(2)),
		balance.EndpointUpdate{Kind: balance.UpdateDelta, Servers: servers})
	addEvent(1003, 4, encode(uint16(1040), uint16(4), uint8(2), uint32(0), uint16(9)),
		balance.EndpointUpdate{Kind: balance.UpdateFailed})
	addEvent(1004, 3, encode(uint16(1010), uint16(3), uint64(77), uint16(2), 12.5, uint16(7), uint64(0x91f03b7c55d20a64),
		240.0, uint16(1)),
		balance.Request{ID: 77, Class: 1, Tenant: 2, ExpectedWork: 12.5, Key: 0x91f03b7c55d20a64, Timeout: 240,
			ClientRetry: true, Write: true})
	addEvent(1004, 3, encode(uint16(1010), uint16(3), uint64(78), uint16(0xffff), 12.5, uint16(0), uint64(0), math.NaN(), uint16(0)),
		balance.Request{ID: 78, Tenant: 0xffff})
	addEvent(1005, 3, encode(uint16(1020), uint16(3), uint64(1<<60)), balance.TimerFired{Token: 1 << 60})
	addEvent(1006, 3, encode(uint16(1030), uint16(3), uint64(77), uint8(2), firstServer, 18.5),
		balance.StreamStarted{Request: 77, Attempt: 2, Server: firstServer, Elapsed: 18.5})
	addEvent(1007, 3, encode(uint16(1050), uint16(3), uint16(12), uint16(4), "\x01\x02\x03\x04"),
		balance.GossipMessage{From: 12, Data: []byte{1, 2, 3, 4}})
	for i, r := range []struct {
		code   uint16
		result balance.Result
	}{
		{0, balance.OK}, {1, balance.Cancelled}, {4, balance.TimedOut}, {8, balance.Overloaded}, {9, balance.Obsolete},
		{10, balance.Reset}, {13, balance.Failed}, {14, balance.ConnectFailed},
	} {
		addEvent(1008, 3, encode(uint16(1090), uint16(3), uint64(100+i), uint8(i), secondServer, r.code, 7.25, uint8(i%2),
			uint8(2), float32(3), float32(0.5)),
			balance.Outcome{
				Request: balance.RequestID(100 + i), Attempt: i, Server: secondServer, Result: r.result, Elapsed: 7.25,
				RequestDone: i%2 == 1, LoadReport: []float32{3, 0.5},
			})
		addEvent(1009, 3, encode(uint16(1080), uint16(3), 2.5, r.code, firstServer, uint8(1), float32(math.NaN())),
			balance.HealthCheckResult{Server: firstServer, Result: r.result, Elapsed: 2.5, LoadReport: []float32{0}})
	}
	addEvent(1010, 3, encode(uint16(1100), uint16(3), uint64(77)), balance.ClientDisconnected{Request: 77})
	f.addFrame(1011, encode(uint16(1060), uint16(3)))
	want = append(want, Record{Instance: 3, Killed: true})
	return f.out, want
}

// Guards the simulator's frame format, which must not change: the stored bytes of every kind of event decode to the
// expected record.
func TestEventFixtures(t *testing.T) {
	built, want := eventFixtures()
	stored := goldenFile(t, "events.bin", built)
	if !bytes.Equal(stored, built) {
		t.Error("the built events differ from the stored ones")
	}
	i := 0
	r := NewReader(bytes.NewReader(stored))
	for {
		err := r.Read(func(_ float64, rec Record) error {
			if i >= len(want) || !reflect.DeepEqual(rec, want[i]) {
				t.Errorf("unexpected record %d: %#v", i, rec)
			}
			i++
			return nil
		})
		if err != nil {
			break
		}
	}
	if i != len(want) {
		t.Errorf("%d records, want %d", i, len(want))
	}
}

// actionFixtures returns every kind of action.
func actionFixtures() []balance.Action {
	return []balance.Action{
		{Kind: balance.Send, Request: 0x2978f5d3a91c4, Server: firstServer, Deadline: 8492},
		{Kind: balance.Send, Request: 1, Server: secondServer},
		{Kind: balance.Reject, Request: 2, RetryAfter: 31.25},
		{Kind: balance.Fail, Request: 3},
		{Kind: balance.Cancel, Request: 4, Attempt: 2},
		{Kind: balance.SetTimer, Token: 1<<60 + 1, Delay: 500},
		{Kind: balance.HealthCheck, Server: firstServer},
		{Kind: balance.CloseIdleConnections, Server: secondServer},
		{Kind: balance.SendGossip, Peer: -1, Data: []byte("to all")},
		{Kind: balance.SendGossip, Peer: 12, Data: []byte{1, 0, 0xff}},
		{Kind: balance.Log, Text: "two servers known"},
		{Kind: balance.WatchEndpoints},
		{Kind: balance.FetchEndpoints},
	}
}

// actionReader decodes a reply frame as the simulator does.
type actionReader struct {
	frameDecoder
	t *testing.T
}

func (r *actionReader) next() (uint16, balance.Action) {
	code, instance := r.uint16(), r.uint16()
	var a balance.Action
	switch code {
	case 1000:
		a = balance.Action{Kind: balance.Send, Request: balance.RequestID(r.uint64()), Deadline: r.float64(),
			Server: r.serverID()}
	case 1010:
		a = balance.Action{Kind: balance.Reject, Request: balance.RequestID(r.uint64()), RetryAfter: r.float64()}
	case 1020:
		a = balance.Action{Kind: balance.Fail, Request: balance.RequestID(r.uint64())}
	case 1030:
		a = balance.Action{Kind: balance.Cancel, Request: balance.RequestID(r.uint64()), Attempt: int(r.uint8())}
	case 1040:
		a = balance.Action{Kind: balance.SetTimer, Token: r.uint64(), Delay: r.float64()}
	case 1050:
		a = balance.Action{Kind: balance.HealthCheck, Server: r.serverID()}
	case 1060:
		a = balance.Action{Kind: balance.CloseIdleConnections, Server: r.serverID()}
	case 1070:
		a = balance.Action{Kind: balance.SendGossip, Peer: int(int32(r.uint32()))}
		a.Data = bytes.Clone(r.bytes(uint32(r.uint16())))
	case 1080:
		a = balance.Action{Kind: balance.Log, Text: string(r.bytes(uint32(r.uint16())))}
	case 1100:
		a = balance.Action{Kind: balance.WatchEndpoints}
		if n := r.uint8(); n != 1 {
			r.t.Errorf("watch argument %d, want 1", n)
		}
	case 1110:
		a = balance.Action{Kind: balance.FetchEndpoints}
	default:
		r.t.Fatalf("unknown action %d", code)
	}
	return instance, a
}

// Guards the reply format, which must not change: every kind of action is encoded as the stored bytes, and these decode
// to the same action.
func TestActionFixtures(t *testing.T) {
	var reply Reply
	reply.Reset()
	for i, a := range actionFixtures() {
		reply.Add(uint16(i), []balance.Action{a})
	}
	var out bytes.Buffer
	if _, err := reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	stored := goldenFile(t, "actions.bin", out.Bytes())
	if !bytes.Equal(stored, out.Bytes()) {
		t.Errorf("encoded as\n%x, want\n%x", out.Bytes(), stored)
	}
	if n := binary.BigEndian.Uint32(stored); int(n) != len(stored) {
		t.Fatalf("frame of %d bytes has the length field %d", len(stored), n)
	}
	r := actionReader{frameDecoder{data: stored[4:]}, t}
	for i, want := range actionFixtures() {
		if instance, a := r.next(); int(instance) != i || !reflect.DeepEqual(a, want) || r.truncated {
			t.Errorf("action %d of instance %d: %+v, want %+v", i, instance, a, want)
		}
	}
	if r.pos != len(r.data) {
		t.Errorf("%d bytes after the last action", len(r.data)-r.pos)
	}
}

// A fault is encoded as the stored bytes: its own action code and the text.
func TestFaultFixture(t *testing.T) {
	var reply Reply
	reply.Reset()
	reply.Fault(3, "settings: no classes")
	var out bytes.Buffer
	if _, err := reply.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if stored := goldenFile(t, "fault.bin", out.Bytes()); !bytes.Equal(stored, out.Bytes()) {
		t.Errorf("encoded as\n%x, want\n%x", out.Bytes(), stored)
	}
}

const allSettings = `{
  "classes": [
    {"name": "lookup", "effect": "read_like", "group": "all", "on_time_ms": 100, "aim_stretch": 1.5, "hard_limit_ms": 400, "worth": 2, "late_worth": 0.25, "stream": true},
    {"name": "pay", "effect": "non_idempotent", "on_time_ms": 300, "hard_limit_ms": 600, "worth": 0},
    {"name": "book", "effect": "idempotency_key", "group": "zone", "window_ms": 1200, "on_time_ms": 250, "hard_limit_ms": 2000},
    {"name": "file", "effect": "idempotency_key", "group": "cell", "hard_limit_ms": 800}
  ],
  "tenants": [{"name": "a", "allowance_per_s": 12.5, "share": 0.6}, {"name": "b", "share": 0.4}],
  "discovery": "subscribe", "my_number": 7, "peers_total": 50, "zone": 2, "over_share_worth": 0.3, "quantum_ms": 4,
  "report": {"via": "piggyback", "fields": ["rif", "q", "busy", "lat_ms", "rate", "fail_rate", "of another version"]},
  "limits": {"cancel": true, "connect_timeout_ms": 150, "max_attempts": 3, "max_retry_after_ms": 1000, "may_tell": true, "parallel_tries": true, "probes": true, "retry_after": true},
  "rules": {"answer_slack_ms": 16, "ask_within_ms": 10000, "cold_from": 0.2, "cold_ms": 20000, "drain_grace_ms": 2000, "fall_ms": 1000, "fall_multiple": 2.5},
  "family_info": {"warm_keys": true},
  "result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
  "penalties": {"cross_zone": 0.01, "waste": 0.02, "handshake": 0.03, "probe": 0.04, "peer": 0.05, "late_fail": 0.06},
  "of another version": {"x": [1]}
}
`

// Every key of the settings sets its own field of the Config, and absent keys have their defaults.
func TestSettingsFixtures(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want balance.Config
	}{
		"settings.json": {allSettings, balance.Config{
			Seed: 9, SidecarIndex: 7, SidecarCount: 50, Zone: 2,
			Classes: []balance.Class{
				{Idempotency: balance.Idempotent, IdempotencyWindow: math.Inf(1), LatencyObjective: 100,
					LatencyObjectivePerWork: 1.5, Deadline: 400, PriorityWeight: 2, LateWeight: 0.25, Streaming: true},
				{Idempotency: balance.NonIdempotent, IdempotencyWindow: math.Inf(1), LatencyObjective: 300, Deadline: 600},
				{Idempotency: balance.IdempotentWithKey, DeduplicationScope: balance.ScopeZone,
					IdempotencyWindow: 1200, LatencyObjective: 250, Deadline: 2000, PriorityWeight: 1},
				{Idempotency: balance.IdempotentWithKey, DeduplicationScope: balance.ScopeCell,
					IdempotencyWindow: math.Inf(1), LatencyObjective: 800, Deadline: 800, PriorityWeight: 1},
			},
			Tenants:         []balance.Tenant{{QuotaRate: 12.5, Quota: 0.6}, {Quota: 0.4}},
			OverQuotaWeight: 0.3, EventInterval: 4, KeyAffinity: true, Subscribe: true, LoadReports: balance.LoadReportPiggyback,
			LoadReportFields: []balance.LoadReportField{
				balance.FieldInFlight, balance.FieldQueueLength, balance.FieldUtilization, balance.FieldLatency, balance.FieldRequestRate,
				balance.FieldErrorRate, balance.FieldUnknown,
			},
			MaxAttempts: 3, AllowParallelAttempts: true, AllowCancel: true, AllowHealthChecks: true, AllowGossip: true, SendRetryAfter: true, MaxRetryAfter: 1000,
			ConnectTimeout: 150, DrainGracePeriod: 2000, SlowStartMinCapacity: 0.2, SlowStartDuration: 20000, OverloadMultiple: 2.5, OverloadDuration: 1000,
			PollInterval: 10000, AnswerGracePeriod: 16,
			Objective: balance.Objective{Overall: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1},
			Costs: balance.Costs{CrossZone: 0.01, WastedWork: 0.02, Handshake: 0.03, HealthCheck: 0.04,
				Gossip: 0.05, LateFailure: 0.06},
		}},
		"settings-least.json": {`{"classes": [{"effect": "read_like", "hard_limit_ms": 400}]}` + "\n", balance.Config{
			Seed: 9, SidecarCount: 1, OverQuotaWeight: 1, MaxAttempts: 1, SlowStartMinCapacity: 1,
			Classes: []balance.Class{{Idempotency: balance.Idempotent, IdempotencyWindow: math.Inf(1),
				LatencyObjective: 400, Deadline: 400, PriorityWeight: 1}},
		}},
	} {
		cfg, err := ParseSettings(9, goldenFile(t, name, []byte(c.text)))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(cfg, c.want) {
			t.Errorf("%s: parsed as\n%+v, want\n%+v", name, cfg, c.want)
		}
	}
}
