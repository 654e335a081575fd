package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
)

// The tests of this file compare what the sidecar reads and writes with the golden files in testdata, byte by byte.
// Run them with -update-golden after a change of a format that is wanted.
var updateGolden = flag.Bool("update-golden", false, "write the golden files in testdata")

// checkGolden compares got with a golden file, or writes that file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s has changed:\n%s\nwant\n%s", path, got, want)
	}
}

// transcript collects messages under their names, one quoted line for each line of a message.
type transcript struct{ bytes.Buffer }

func (tr *transcript) add(name, message string) {
	fmt.Fprintf(tr, "## %s\n", name)
	for line := range strings.Lines(message) {
		fmt.Fprintln(tr, strconv.Quote(line))
	}
}

// volatileHeaders are those whose values follow the clock.
var volatileHeaders = regexp.MustCompile(`(?m)^(Date|X-Timeout-Ms): .*\r$`)

// withoutVolatile replaces in a message what differs from run to run: an address and values that follow the clock.
func withoutVolatile(message, address string) string {
	message = strings.ReplaceAll(message, address, "ADDRESS")
	return volatileHeaders.ReplaceAllString(message, "$1: VOLATILE\r")
}

// newRecorder listens and records each request as it came. The requests are answered with the responses in turn, and
// each connection ends after one.
func newRecorder(t *testing.T, responses ...string) (address string, requests <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recorded := make(chan string, len(responses))
	var work sync.WaitGroup
	work.Go(func() {
		for _, response := range responses {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			recorded <- recordRequest(conn)
			io.WriteString(conn, response)
			conn.Close()
		}
	})
	t.Cleanup(func() {
		ln.Close()
		work.Wait()
	})
	return ln.Addr().String(), recorded
}

// recordRequest reads one request and returns its bytes.
func recordRequest(conn net.Conn) string {
	var raw bytes.Buffer
	conn.SetDeadline(time.Now().Add(patience))
	req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
	if err != nil {
		return err.Error()
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err.Error()
	}
	return raw.String()
}

const endedStream = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// The configuration is read from its file's JSON as ever.
func TestConfigurationFixture(t *testing.T) {
	environment := map[string]string{"NODE_CONFIG": filepath.Join("testdata", "config.json")}
	cfg, err := LoadConfig(func(name string) string { return environment[name] })
	if err != nil {
		t.Fatal(err)
	}
	var peers []string
	for _, address := range cfg.peers.addrs {
		peers = append(peers, address.String())
	}
	got, err := json.MarshalIndent(map[string]any{
		"name": cfg.Name, "listen": cfg.Listen, "discovery": cfg.Discovery, "placement": cfg.Placement,
		"application": cfg.Application, "version": cfg.Version,
		"cores": cfg.Cores, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets,
		"classes": cfg.classes, "tenants": cfg.tenants, "zones": cfg.zones, "kinds": cfg.kinds,
		"report_fields": cfg.reportNames, "conn_idle": cfg.connIdle.String(), "open_cap": cfg.maxOpen,
		"known": cfg.known, "peer_listen": cfg.peers.listen.String(), "peers": peers, "peers_all": cfg.peers.all.String(),
		"settings": settingsAsRead(&cfg.balance),
	}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "config.golden.json", append(got, '\n'))
}

// settingsAsRead names the module's settings by their keys in the configuration.
func settingsAsRead(cfg *balance.Config) map[string]any {
	var classes, tenants []map[string]any
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		classes = append(classes, map[string]any{
			"effect": class.Idempotency, "group": class.DeduplicationScope, "window_ms": fmt.Sprint(class.IdempotencyWindow), "on_time_ms": class.LatencyObjective,
			"aim_stretch": class.LatencyObjectivePerWork, "hard_limit_ms": class.Deadline, "worth": class.PriorityWeight,
			"late_worth": class.LateWeight, "stream": class.Streaming,
		})
	}
	for _, tenant := range cfg.Tenants {
		tenants = append(tenants, map[string]any{"allowance_per_s": tenant.QuotaRate, "share": tenant.Quota})
	}
	return map[string]any{
		"seed": cfg.Seed, "my_number": cfg.SidecarIndex, "peers_total": cfg.SidecarCount, "zone": cfg.Zone,
		"classes": classes, "tenants": tenants, "over_share_worth": cfg.OverQuotaWeight, "quantum_ms": cfg.EventInterval,
		"warm_keys": cfg.KeyAffinity, "subscribe": cfg.Subscribe, "report_via": cfg.LoadReports, "report_fields": fmt.Sprint(cfg.LoadReportFields),
		"max_attempts": cfg.MaxAttempts, "parallel_tries": cfg.AllowParallelAttempts, "cancel": cfg.AllowCancel, "probes": cfg.AllowHealthChecks,
		"may_tell": cfg.AllowGossip, "retry_after": cfg.SendRetryAfter, "max_retry_after_ms": cfg.MaxRetryAfter,
		"connect_timeout_ms": cfg.ConnectTimeout, "drain_grace_ms": cfg.DrainGracePeriod, "cold_from": cfg.SlowStartMinCapacity,
		"cold_ms": cfg.SlowStartDuration, "fall_multiple": cfg.OverloadMultiple, "fall_ms": cfg.OverloadDuration,
		"ask_within_ms": cfg.PollInterval, "answer_slack_ms": cfg.AnswerGracePeriod,
		"result_mix": fmt.Sprint(cfg.Objective), "penalties": fmt.Sprint(cfg.Costs),
	}
}

// Discovery is asked in the same words, and its lists are read with the same values and written with the same keys.
func TestDiscoveryFixture(t *testing.T) {
	stream, err := os.ReadFile(filepath.Join("testdata", "watch.txt"))
	if err != nil {
		t.Fatal(err)
	}
	address, requests := newRecorder(t, endedStream+string(stream), endedStream+string(stream), endedStream+string(stream))
	posted := make(chan news, 64)
	var work sync.WaitGroup
	d := newDiscovery(address, func(ev any) { posted <- ev.(news) }, func(f func()) { work.Go(f) })
	t.Cleanup(func() { d.stop() })
	var got transcript
	for _, call := range []struct {
		name string
		make func()
	}{
		{"a list call", func() { d.fetch(t.Context()) }},
		{"a first watch", func() { d.watch(t.Context()) }},
		{"a watch after revision 41", func() { d.rev.Store(41); d.watch(t.Context()) }},
	} {
		call.make()
		got.add(call.name, withoutVolatile(receive(t, call.name, requests), address))
		work.Wait()
		for len(posted) > 0 {
			got.add("is told", describeNews(t, <-posted))
		}
	}
	checkGolden(t, "discovery.golden.txt", got.Bytes())
}

func describeNews(t *testing.T, n news) string {
	t.Helper()
	if n.kind == balance.UpdateFailed {
		return fmt.Sprintf("failed, unqueued %v", n.unqueued)
	}
	data, err := json.Marshal(n.list)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("kind %d %s", n.kind, data)
}

// The placement is asked for in the same words, and a report is posted in the same bytes.
func TestPlacementFixture(t *testing.T) {
	l, start := newFixtureLoop(t)
	address, requests := newRecorder(t,
		endedStream+`{"rev":3,"all":true,"epoch":5,"entries":[]}`+"\n",
		endedStream+`{"rev":4,"epoch":6,"entries":[]}`+"\n",
		endedStream+`{"rev":4,"all":true,"epoch":6,"entries":[]}`+"\n",
		"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	p := newPlacing(address, 0, func(any) {}, placementPace{patience, patience, patience, unixMS})
	var got transcript
	for _, name := range []string{"a first watch", "a watch that goes on", "a watch for the whole"} {
		if _, err := p.watch(t.Context()); err == nil {
			t.Error("a watch ends without an error")
		}
		got.add(name, withoutVolatile(receive(t, name, requests), address))
	}
	if err := p.tell(t.Context(), fixtureReport(l, p, start)); err != nil {
		t.Error(err)
	}
	got.add("a report", withoutVolatile(receive(t, "the report", requests), address))
	checkGolden(t, "placement.golden.txt", got.Bytes())
}

// newFixtureLoop is a loop under a clock that stands in the past, so that none of its attempts is sent. It knows the
// servers a and b.
func newFixtureLoop(t *testing.T) (l *loop, startMS float64) {
	t.Helper()
	c := newConf("127.0.0.1:1", ready("a", "127.0.0.1:7"), ready("b", "127.0.0.1:8"))
	c["version"] = "v7"
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	bal, err := balance.New(cfg.balance)
	if err != nil {
		t.Fatal(err)
	}
	l = newLoop(cfg, bal, newUpstreams(cfg, 10, &budget{}))
	l.clock = clock{start: time.Unix(1_700_000_000, 0), base: 1_700_000_000_000}
	l.disc = newDiscovery(cfg.Discovery, l.post, func(func()) {})
	l.ctx = t.Context()
	l.act(l.clock.base, bal.Start(l.clock.base))
	l.takeNews(l.clock.base, news{kind: balance.UpdateCached, list: cfg.known})
	t.Cleanup(func() {
		close(l.stopped)
		l.workers.Wait()
	})
	return l, l.clock.base
}

// fixtureReport is the report of a loop with each kind of entry in force and requests that ended in each way.
func fixtureReport(l *loop, p *placing, startMS float64) *placement.LoadReport {
	l.placed = &inForce{placing: p, gather: newGather(l.cfg, startMS), numbers: map[string]int{}}
	list := placement.Update{Revision: 12, Epoch: 5, Directives: entries()}
	for i := range list.Directives {
		list.Directives[i].ExpiresAtMS, list.Directives[i].RemainingMS = 1_700_000_600_000, 600_000
	}
	l.takePlaced(startMS, placed{at: l.clock.time(startMS), list: list})
	c := &call{answers: make(chan answer, 1), deadline: l.clock.time(startMS + 900), out: &outbound{
		method: "GET", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{},
	}}
	c.ev.Key, c.ev.ExpectedWork = 0x335f24192ff5d0d4, 3
	l.take(startMS+10, arrival{c})
	for i, ended := range []struct {
		class  string
		server string
		result balance.Result
		took   float64
	}{
		{"lookup", "a", balance.OK, 0.4}, {"lookup", "a", balance.OK, 20}, {"lookup", "b", balance.OK, 760},
		{"lookup", "b", balance.Failed, 5}, {"reserve", "b", balance.Reset, 90}, {"charge", "a", balance.OK, 500},
		{"charge", "a", balance.Cancelled, 1}, {"charge", "a", balance.Obsolete, 1}, {"charge", "b", balance.TimedOut, 1000},
	} {
		now := startMS + 100*float64(i)
		request := balance.Request{Class: l.cfg.classes[ended.class], Key: uint64(i % 3)}
		l.placed.arrived(now, &request)
		l.placed.ended(now+ended.took, &attempt{
			call: &call{ev: request}, up: &upstream{id: l.cfg.serverID(ended.server), zone: "z"}, from: now,
		}, ended.result)
	}
	due := make(chan *placement.LoadReport, 1)
	l.takePlaced(startMS+1000, placed{at: l.clock.time(startMS), list: list, report: due})
	return <-due
}

// The sidecar's own answers to its client are the same bytes, but for the date.
func TestOwnAnswersFixture(t *testing.T) {
	var l *loop
	actions := map[string]balance.Action{
		"hold-off=1": {Kind: balance.Reject, At: 1250}, "hold-off=0": {Kind: balance.Reject}, "fail": {Kind: balance.Fail},
	}
	f := bareFrontend(t, 10, 10, func(ev any) {
		a, ok := ev.(arrival)
		if !ok {
			return
		}
		if query := a.call.out.url.RawQuery; query == "serve" {
			a.call.finish()
			a.call.answers <- answer{status: 200, contentType: "text/plain", body: []byte("done")}
		} else if action, ok := actions[query]; ok {
			l.lastID++
			a.call.ev.ID, action.Request = l.lastID, l.lastID
			l.calls[l.lastID] = a.call
			l.act(l.clock.ms(time.Now()), []balance.Action{action})
		} else if query == "late" {
			l.lastID++
			a.call.ev.ID = l.lastID
			l.calls[l.lastID] = a.call
			l.act(l.clock.ms(a.call.deadline), []balance.Action{{Kind: balance.Fail, Request: l.lastID}})
		}
	})
	l = newLoop(f.cfg, nil, nil)
	srv := f.server()
	go srv.Serve(f.conns)
	defer srv.Close()

	const lookup = "X-Priority-Class: lookup\r\n"
	const charge = "X-Priority-Class: charge\r\n"
	const reserve = "X-Priority-Class: reserve\r\n"
	var got transcript
	last := 0
	ask := func(name, line, headers, body string) {
		t.Helper()
		last++
		conn, err := net.Dial("tcp", f.conns.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		text := line + " HTTP/1.1\r\nHost: b\r\nX-Tenant-Id: kita\r\n" + headers
		if !strings.Contains(headers, "X-Request-ID") {
			text += fmt.Sprintf("X-Request-ID: %d\r\n", last)
		}
		if body != "" {
			text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		send(t, conn, text+"\r\n"+body)
		var raw bytes.Buffer
		in := bufio.NewReader(io.TeeReader(conn, &raw))
		if status(t, in) == 0 {
			t.Errorf("%s: no answer", name)
		}
		got.add(name, withoutVolatile(raw.String(), f.conns.Addr().String()))
	}
	ask("ready", "GET /health/ready", "", "")
	ask("served", "GET /api?serve", lookup, "")
	ask("rejected with Retry-After", "GET /api?hold-off=1", lookup, "")
	ask("rejected without", "GET /api?hold-off=0", lookup, "")
	ask("failed", "POST /api?fail", charge, "body")
	ask("timed out", "GET /api?late", lookup, "")
	ask("no request ID", "GET /api", "X-Request-ID: \r\n"+lookup, "")
	ask("two request IDs", "GET /api", "X-Request-ID: 1\r\nX-Request-ID: 2\r\n"+lookup, "")
	ask("request ID in use", "GET /api?serve", "X-Request-ID: 2\r\n"+lookup, "")
	ask("unknown class", "GET /api", "X-Priority-Class: none\r\n", "")
	ask("timeout that cannot be", "GET /api", "X-Timeout-Ms: soon\r\n"+lookup, "")
	ask("cost that cannot be", "GET /api", "X-Cost: NaN\r\n"+lookup, "")
	ask("GET class by POST", "POST /api", lookup, "")
	ask("POST class by GET", "GET /api", charge, "")
	ask("no idempotency key", "POST /api", reserve, "")
	ask("unsafe class with a key", "POST /api", charge+"Idempotency-Key: 1\r\n", "")
	ask("GET with a body", "GET /api", lookup, "body")
	ask("chunked", "POST /api", charge+"Transfer-Encoding: chunked\r\n", "")
	ask("body too large", "POST /api", charge, strings.Repeat("x", maxBody+1))
	ask("other path", "GET /other", lookup, "")
	ask("other method", "PUT /api", lookup, "")
	f.maxTaken = 0
	ask("too many requests", "GET /api", lookup, "")
	f.memory.left.Store(0)
	ask("no memory for a body", "POST /api", charge, "body")
	f.maxTaken = 10
	drainEnd := time.Now().Add(patience)
	f.drain.Store(&drainEnd)
	ask("not ready while draining", "GET /health/ready", "", "")
	f.closing.Store(true)
	ask("served on a connection that ends", "GET /api?serve", lookup, "")
	close(f.ending)
	ask("ended with the process", "GET /api?never", lookup, "")
	checkGolden(t, "answers.golden.txt", got.Bytes())
}

// What servers get, attempts and health checks, is the same bytes, but for the time left.
func TestUpstreamRequestsFixture(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 15\r\n\r\nbusy=0.5,rate=7"
	cfg, err := newConf("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	address, requests := newRecorder(t, response, response, response, response)
	memory := &budget{}
	memory.give(4 * maxBody)
	up := &upstream{id: 1, endpoint: address}
	var got transcript
	record := func(name string, r reply) {
		t.Helper()
		if r.result != balance.OK {
			t.Errorf("%s: %+v", name, r)
		}
		got.add(name, withoutVolatile(receive(t, name, requests), address))
		got.add("its report", fmt.Sprint(r.report))
	}
	record("a health check with a load report", newUpstreams(cfg, 10, memory).probe(t.Context(), up))
	cfg.balance.LoadReports = balance.LoadReportNone
	p := newUpstreams(cfg, 10, memory)
	record("a health check", p.probe(t.Context(), up))
	for _, out := range []*outbound{
		{method: "GET", url: &url.URL{Path: "/api", RawQuery: "b=2&a=%2F"}, host: "backend.local", header: http.Header{
			"X-Request-Id": {"9b1f03aa5c7e2d41"}, "X-Priority-Class": {"lookup"}, "Cookie": {"k=7f3a9c21e0b4d655"}, "X-Timeout-Ms": {"900"},
		}},
		{method: "POST", url: &url.URL{Path: "/api"}, host: "backend.local", body: []byte("plate 12-34"), header: http.Header{
			"X-Request-Id": {"9b1f03aa5c7e2d42"}, "Idempotency-Key": {"5c0f6e1a2b3d4c59"}, "User-Agent": {"shop/1"},
		}},
	} {
		a := &attempt{call: &call{out: out}, up: up, cut: time.Now().Add(patience), ctx: t.Context()}
		record("an attempt by "+out.method, p.send(a))
	}
	checkGolden(t, "upstream.golden.txt", got.Bytes())
}
