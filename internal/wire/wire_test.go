package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"milldeck/balance"
)

// unhex decodes hex text and ignores its white space.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads all frames of the input. It returns their records and the clock of the last record.
func readAll(r *Reader) (records []Record, clock float64, err error) {
	for {
		err := r.Read(func(at float64, record Record) error {
			records, clock = append(records, record), at
			return nil
		})
		if errors.Is(err, io.EOF) {
			return records, clock, nil
		}
		if err != nil {
			return records, clock, err
		}
	}
}

const (
	emptyFrame  = "00000000 00000010 40c06e2000000000"
	eventsFrame = `00000003 00000052 40c06e2000000000
		03f2 0003 0002978f5d3a91c4 0000 4028000000000000 0001 91f03b7c55d20a64 406e000000000000 0000
		03fc 0003 000000000000004d
		044c 0005 000b677a0e6f2b19`
	serverTableFrame = `00000002 00000051 40c06e2000000000
		03e8 0000 00000002
		0000000000000000 00 0a124a07 232b 3f800000 0000 00 00
		40b7d40000000000 00 0a9011f2 2354 3fc00000 0000 01 00
		0410 0003 01 00000029 0000`
	outcomeFrame = `00000001 0000002f 40c06e2000000000
		0442 0003 0002978f5d3a91c4 00 0a124a07 232b 0000 4032800000000000 01 00`
)

func TestDecodesProtocolExamples(t *testing.T) {
	in := unhex(t, emptyFrame+eventsFrame+serverTableFrame+outcomeFrame)
	records, clock, err := readAll(NewReader(bytes.NewReader(in)))
	if err != nil {
		t.Fatal(err)
	}
	if clock != 8412.25 || len(records) != 5 {
		t.Fatalf("clock %v, %d records", clock, len(records))
	}
	request, ok := records[0].Event.(balance.Request)
	want := balance.Request{ID: 0x2978f5d3a91c4, ExpectedWork: 12, Key: 0x91f03b7c55d20a64, Timeout: 240}
	if !ok || request != want || records[0].Instance != 3 {
		t.Errorf("request: %+v", records[0])
	}
	if ev := records[1].Event; ev != balance.Event(balance.TimerFired{Token: 77}) {
		t.Errorf("timer: %+v", ev)
	}
	disconnected := balance.Event(balance.ClientDisconnected{Request: 0xb677a0e6f2b19})
	if ev := records[2].Event; ev != disconnected || records[2].Instance != 5 {
		t.Errorf("disconnected client: %+v", records[2])
	}
	update := records[3].Event.(balance.EndpointUpdate)
	if update.Kind != balance.UpdateCached || len(update.Servers) != 2 {
		t.Fatalf("endpoint update: %+v", update)
	}
	second := balance.Server{ID: 0x0a9011f22354, StartedAt: 6100, RelativeCapacity: 1.5, Zone: 1}
	if update.Servers[0].ID != 0x0a124a07232b || update.Servers[1] != second {
		t.Errorf("servers of the endpoint update: %+v", update.Servers)
	}
	outcome := records[4].Event.(balance.Outcome)
	if outcome.Request != 0x2978f5d3a91c4 || outcome.Server != 0x0a124a07232b || outcome.Elapsed != 18.5 ||
		!outcome.RequestDone || outcome.Result != balance.OK {
		t.Errorf("outcome: %+v", outcome)
	}
}

func TestEncodesProtocolExamples(t *testing.T) {
	var r Reply
	r.Reset()
	r.Add(3, []balance.Action{
		{Kind: balance.Send, Request: 0x2978f5d3a91c4, Deadline: 8492, Server: 0x0a124a07232b},
		{Kind: balance.SetTimer, Token: 77, Delay: 500},
	})
	r.Add(5, []balance.Action{{Kind: balance.Log, Text: "two servers known"}})
	r.Add(3, []balance.Action{{Kind: balance.SendGossip, Peer: -1, Data: []byte("hi 7")}})
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `00000057
		03e8 0003 0002978f5d3a91c4 40c0960000000000 0a124a07232b
		0410 0003 000000000000004d 407f400000000000
		0438 0005 0011 74776f2073657276657273206b6e6f776e
		042e 0003 ffffffff 0004 68692037`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestMalformedFramesAreErrors(t *testing.T) {
	for name, frame := range map[string]string{
		"truncated header":    "00000000 0000",
		"length under header": "00000000 0000000f 40c06e2000000000",
		"length past the end": "00000001 00000050 40c06e2000000000 03fc",
		"huge length":         "00000001 ffffffff 40c06e2000000000",
		"clock not a number":  "00000000 00000010 7ff8000000000000",
		"unknown code":        "00000001 00000014 40c06e2000000000 ffff 0003",
		"truncated record":    "00000001 00000016 40c06e2000000000 03fc 0003 0000",
		"trailing bytes":      "00000000 00000012 40c06e2000000000 0000",
		"count past the end":  "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff",
		"settings past end":   "00000001 00000020 40c06e2000000000 042e 0000 0000000000000001 7fffffff",
		"table never sent":    "00000001 0000001b 40c06e2000000000 0410 0003 00 00000001 0003",
		"table out of range":  "00000001 00000018 40c06e2000000000 03e8 0010 00000000",
		"unknown update kind": "00000001 0000001b 40c06e2000000000 0410 0003 07 00000001 0000",
		"unknown result":      strings.Replace(outcomeFrame, "232b 0000", "232b 0055", 1),
		"missing record":      strings.Replace(outcomeFrame, "00000001", "00000002", 1),
	} {
		t.Run(name, func(t *testing.T) {
			if records, _, err := readAll(NewReader(bytes.NewReader(unhex(t, frame)))); err == nil {
				t.Errorf("no error, records %+v", records)
			}
		})
	}
}

func TestSettings(t *testing.T) {
	config, err := ParseSettings(9, []byte(`{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "discovery": "subscribe", "my_number": 2, "peers_total": 5,
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000},
		"result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if config.Seed != 9 || !config.Subscribe || config.SidecarIndex != 2 || config.SidecarCount != 5 ||
		!config.AllowParallelAttempts || !config.AllowHealthChecks || config.AllowCancel || config.MaxAttempts != 4 ||
		config.SlowStartMinCapacity != 0.2 || config.Tenants[0].Quota != 0.4 {
		t.Errorf("%+v", config)
	}
	if want := (balance.Objective{Overall: 0.4, WorstWindow: 0.3, WorstClass: 0.2,
		WorstTenant: 0.1}); config.Objective != want {
		t.Errorf("objective %+v", config.Objective)
	}
	want := balance.Costs{CrossZone: 1, WastedWork: 2, Handshake: 3, HealthCheck: 4, Gossip: 5, LateFailure: 6}
	if config.Costs != want {
		t.Errorf("costs %+v", config.Costs)
	}
	second := config.Classes[1]
	if second.Idempotency != balance.IdempotentWithKey || second.DeduplicationScope != balance.ScopeCell ||
		second.LatencyObjective != 600 || second.PriorityWeight != 1 {
		t.Errorf("class with absent keys: %+v", second)
	}
	if config.LoadReports != balance.LoadReportHealthCheck || len(config.LoadReportFields) != 3 ||
		config.LoadReportFields[1] != balance.FieldUnknown {
		t.Errorf("load reports %v %v", config.LoadReports, config.LoadReportFields)
	}
}

func TestSettingsErrorsNameTheKey(t *testing.T) {
	class := `{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], `
	for key, rest := range map[string]string{
		"rules.cold_ms":       `"rules": {"cold_ms": -1}}`,
		"limits.max_attempts": `"limits": {"max_attempts": -2}}`,
		"penalties.probe":     `"penalties": {"probe": -0.1}}`,
		"rules.fall_ms":       `"rules": {"fall_ms": 1e999}}`, // JSON has no infinity: the number is too large
	} {
		t.Run(key, func(t *testing.T) {
			_, err := ParseSettings(1, []byte(class+rest))
			if err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, text := range map[string]string{
		"empty":              ``,
		"not an object":      `[]`,
		"no keys":            `{}`,
		"no classes":         `{"classes": []}`,
		"negative worth":     `{"classes": [{"effect": "read_like", "hard_limit_ms": 1, "worth": -1}]}`,
		"unknown group":      `{"classes": [{"effect": "read_like", "hard_limit_ms": 1, "group": "moon"}]}`,
		"unknown effect":     `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		"no hard limit":      `{"classes": [{"effect": "read_like"}]}`,
		"negative limit":     `{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		"unknown discovery":  `{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		"unknown report.via": `{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseSettings(1, []byte(text)); err == nil {
				t.Errorf("no error for %s", text)
			}
		})
	}
}

// The seed corpus runs in CI as an ordinary test.
func FuzzReader(f *testing.F) {
	for _, frame := range []string{emptyFrame, eventsFrame, serverTableFrame, outcomeFrame, eventsFrame + serverTableFrame} {
		f.Add(unhex(f, frame))
	}
	f.Add(unhex(f, "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		records, _, err := readAll(NewReader(bytes.NewReader(in)))
		if err == nil && len(in) > 0 && len(in) < headerSize {
			t.Fatalf("%d bytes read as %d records", len(in), len(records))
		}
	})
}
