package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/balance"
	"milldeck/internal/goldentest"
	"milldeck/internal/placement"
)

// The tests in this file compare the input and output of the sidecar with golden files, byte by byte.

// The values that are read from a configuration file match the golden file.
func TestConfigurationFixture(t *testing.T) {
	environment := map[string]string{"NODE_CONFIG": goldentest.Path("config.json")}
	config, err := LoadConfig(func(name string) string { return environment[name] })
	if err != nil {
		t.Fatal(err)
	}
	var peers []string
	for _, address := range config.peers.addresses {
		peers = append(peers, address.String())
	}
	got, err := json.MarshalIndent(map[string]any{
		"name": config.Name, "listen": config.ListenAddress, "discovery": config.DiscoveryAddress, "placement": config.PlacementAddress,
		"application": config.Application, "version": config.Version,
		"cores": config.Cores, "memory_mb": config.MemoryMB, "sockets": config.Sockets,
		"classes": config.classIndexes, "tenants": config.tenantIndexes, "zones": config.zoneIndexes, "kinds": config.kindIndexes,
		"report_fields": config.loadReportFields, "conn_idle": config.connIdleTimeout.String(), "open_cap": config.maxOpenRequests,
		"known": config.knownEndpoints, "peer_listen": config.peers.listen.String(), "peers": peers, "peers_all": config.peers.broadcast.String(),
		"settings": settingsByKey(&config.settings),
	}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "config.golden.json", append(got, '\n'))
}

// settingsByKey returns the balancer's settings by their keys in the configuration file.
func settingsByKey(config *balance.Config) map[string]any {
	var classes, tenants []map[string]any
	for i := range config.Classes {
		class := &config.Classes[i]
		classes = append(classes, map[string]any{
			"effect": class.Idempotency, "group": class.DeduplicationScope, "window_ms": fmt.Sprint(class.IdempotencyWindow), "on_time_ms": class.LatencyObjective,
			"aim_stretch": class.LatencyObjectivePerWork, "hard_limit_ms": class.Deadline, "worth": class.PriorityWeight,
			"late_worth": class.LateWeight, "stream": class.Streaming,
		})
	}
	for _, tenant := range config.Tenants {
		tenants = append(tenants, map[string]any{"allowance_per_s": tenant.QuotaRate, "share": tenant.Quota})
	}
	return map[string]any{
		"seed": config.Seed, "my_number": config.SidecarIndex, "peers_total": config.SidecarCount, "zone": config.Zone,
		"classes": classes, "tenants": tenants, "over_share_worth": config.OverQuotaWeight, "quantum_ms": config.EventInterval,
		"warm_keys": config.KeyAffinity, "subscribe": config.Subscribe, "report_via": config.LoadReports, "report_fields": fmt.Sprintf("%v", config.LoadReportFields),
		"max_attempts": config.MaxAttempts, "parallel_tries": config.AllowParallelAttempts, "cancel": config.AllowCancel, "probes": config.AllowHealthChecks,
		"may_tell": config.AllowGossip, "retry_after": config.SendRetryAfter, "max_retry_after_ms": config.MaxRetryAfter,
		"connect_timeout_ms": config.ConnectTimeout, "drain_grace_ms": config.DrainGracePeriod, "cold_from": config.SlowStartMinCapacity,
		"cold_ms": config.SlowStartDuration, "fall_multiple": config.OverloadMultiple, "fall_ms": config.OverloadDuration,
		"ask_within_ms": config.PollInterval, "answer_slack_ms": config.AnswerGracePeriod,
		"result_mix": fmt.Sprint(config.Objective), "penalties": fmt.Sprint(config.Costs),
	}
}

// The bytes of requests to discovery, and the values and keys of endpoint lists, match the golden file.
func TestDiscoveryFixture(t *testing.T) {
	stream := goldentest.Read(t, "watch.txt")
	address, requests := newRecorder(t, endedStream+string(stream), endedStream+string(stream), endedStream+string(stream))
	posted := make(chan endpointUpdate, 64)
	var work sync.WaitGroup
	client := newDiscoveryClient(address, &balance.Config{SidecarCount: 80}, func(event loopEvent) { posted <- event.(endpointUpdate) }, func(task func()) { work.Go(task) })
	t.Cleanup(func() { client.cancel() })
	var got transcript
	for _, call := range []struct {
		name string
		make func()
	}{
		{"a list call", func() { client.fetchList(t.Context()) }},
		{"a first watch", func() { client.watch(t.Context()) }},
		{"a watch after revision 41", func() { client.revision.Store(41); client.watch(t.Context()) }},
	} {
		call.make()
		got.add(call.name, withoutVolatile(receiveWithin(t, call.name, requests), address))
		work.Wait()
		for len(posted) > 0 {
			got.add("update", describeUpdate(t, <-posted))
		}
	}
	goldentest.Compare(t, "discovery.golden.txt", got.Bytes())
}

func describeUpdate(t *testing.T, update endpointUpdate) string {
	t.Helper()
	if update.kind == balance.UpdateFailed {
		return fmt.Sprintf("failed, unqueued %v", update.discoveryUnreachable)
	}
	data, err := json.Marshal(update.endpoints)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("kind %d %s", update.kind, data)
}

// The bytes of requests for the placement and of posted load reports match the golden file.
func TestPlacementFixture(t *testing.T) {
	loop, start := newFixtureLoop(t)
	address, requests := newRecorder(t,
		endedStream+`{"rev":3,"all":true,"epoch":5,"entries":[]}`+"\n",
		endedStream+`{"rev":4,"epoch":6,"entries":[]}`+"\n",
		endedStream+`{"rev":4,"all":true,"epoch":6,"entries":[]}`+"\n",
		"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	client := newPlacementClient(address, 0, func(loopEvent) {}, placementTiming{testTimeout, testTimeout, testTimeout, nowUnixMS})
	var got transcript
	for _, name := range []string{"a first watch", "a resumed watch", "a watch for the complete placement"} {
		if _, err := client.watchOnce(t.Context()); err == nil {
			t.Error("a watch ends without an error")
		}
		got.add(name, withoutVolatile(receiveWithin(t, name, requests), address))
	}
	if err := client.postReport(t.Context(), fixtureReport(loop, client, start)); err != nil {
		t.Error(err)
	}
	got.add("a report", withoutVolatile(receiveWithin(t, "the report", requests), address))
	goldentest.Compare(t, "placement.golden.txt", got.Bytes())
}

// newFixtureLoop creates an event loop with the servers a and b. Its clock is in the past, so that no attempt is sent.
func newFixtureLoop(t *testing.T) (loop *eventLoop, startMS float64) {
	t.Helper()
	document := newConfigDocument("127.0.0.1:1", readyEndpoint("a", "127.0.0.1:7"), readyEndpoint("b", "127.0.0.1:8"))
	document["version"] = "v7"
	config, err := document.load(t)
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := balance.New(config.settings)
	if err != nil {
		t.Fatal(err)
	}
	loop = newEventLoop(config, balancer, newConnPool(config, 10, &byteBudget{}))
	loop.clock = clock{start: time.Unix(1_700_000_000, 0), startUnixMS: 1_700_000_000_000}
	loop.discovery = newDiscoveryClient(config.DiscoveryAddress, &config.settings, loop.post, func(func()) {})
	loop.ctx = t.Context()
	loop.execute(loop.clock.startUnixMS, balancer.Start(loop.clock.startUnixMS))
	loop.applyEndpointUpdate(loop.clock.startUnixMS, endpointUpdate{kind: balance.UpdateCached, endpoints: config.knownEndpoints})
	t.Cleanup(func() {
		close(loop.stopped)
		loop.workers.Wait()
	})
	return loop, loop.clock.startUnixMS
}

// fixtureReport returns the load report of an event loop with each kind of directive in force and with requests of each
// outcome.
func fixtureReport(loop *eventLoop, client *placementClient, startMS float64) *placement.LoadReport {
	loop.placement.active = &activePlacement{placementClient: client, recorder: newReportRecorder(loop.config, startMS), balancerIDs: map[string]int{}}
	list := placement.Update{Revision: 12, Epoch: 5, Directives: reportDirectives()}
	for i := range list.Directives {
		list.Directives[i].ExpiresAtMS, list.Directives[i].RemainingMS = 1_700_000_600_000, 600_000
	}
	loop.applyPlacementUpdate(startMS, placementUpdate{takenAt: loop.clock.timeAt(startMS), placement: list})
	fixtureCall := &call{response: make(chan response, 1), deadline: loop.clock.timeAt(startMS + 900), outbound: &outboundRequest{
		method: "GET", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{},
	}}
	fixtureCall.request.Key, fixtureCall.request.ExpectedWork = 0x335f24192ff5d0d4, 3
	loop.handleEvent(startMS+10, requestArrived{fixtureCall})
	for i, completed := range []struct {
		class   string
		server  string
		result  balance.Result
		elapsed float64
	}{
		{"lookup", "a", balance.OK, 0.4}, {"lookup", "a", balance.OK, 20}, {"lookup", "b", balance.OK, 760},
		{"lookup", "b", balance.Failed, 5}, {"reserve", "b", balance.Reset, 90}, {"charge", "a", balance.OK, 500},
		{"charge", "a", balance.Cancelled, 1}, {"charge", "a", balance.Obsolete, 1}, {"charge", "b", balance.TimedOut, 1000},
	} {
		nowMS := startMS + 100*float64(i)
		request := balance.Request{Class: loop.config.classIndexes[completed.class], Key: uint64(i % 3)}
		loop.placement.active.recordRequest(nowMS, &request)
		loop.placement.active.recordOutcome(nowMS+completed.elapsed, &attempt{
			call: &call{request: request}, upstream: &upstreamHost{id: loop.config.serverID(completed.server), zone: "z"}, decidedAtMS: nowMS,
		}, completed.result)
	}
	reportDue := make(chan *placement.LoadReport, 1)
	loop.applyPlacementUpdate(startMS+1000, placementUpdate{takenAt: loop.clock.timeAt(startMS), placement: list, reportDue: reportDue})
	return <-reportDue
}

// localResponses runs a frontend with an event loop whose balancer the test replaces: the query of a request determines the
// response. It records the bytes of each response.
type localResponses struct {
	t      *testing.T
	front  *frontend
	loop   *eventLoop
	got    transcript
	lastID int
}

func newLocalResponses(t *testing.T) *localResponses {
	t.Helper()
	responses := &localResponses{t: t}
	responses.front = newTestFrontend(t, 10, 10, responses.answer)
	responses.loop = newEventLoop(responses.front.config, nil, nil)
	serveUntilCleanup(t, responses.front.httpServer(), responses.front.listener)
	return responses
}

// answer answers a request as its query specifies. A request with any other query gets no answer.
func (responses *localResponses) answer(event loopEvent) {
	arrived, ok := event.(requestArrived)
	if !ok {
		return
	}
	loop := responses.loop
	nowMS := loop.clock.unixMS(time.Now())
	var action balance.Action
	switch arrived.call.outbound.url.RawQuery {
	case "serve":
		arrived.call.markAnswered()
		arrived.call.response <- response{status: 200, contentType: "text/plain", body: []byte("done")}
		return
	case "hold-off=1":
		action = balance.Action{Kind: balance.Reject, RetryAfter: 1250}
	case "hold-off=0":
		action = balance.Action{Kind: balance.Reject}
	case "fail":
		action = balance.Action{Kind: balance.Fail}
	case "late":
		action = balance.Action{Kind: balance.Fail}
		nowMS = loop.clock.unixMS(arrived.call.deadline)
	default:
		return
	}
	loop.calls.add(arrived.call)
	action.Request = arrived.call.request.ID
	loop.execute(nowMS, []balance.Action{action})
}

// add sends a request on a new connection and records the response.
func (responses *localResponses) add(name, line, headers, body string) {
	t := responses.t
	t.Helper()
	responses.lastID++
	address := responses.front.listener.Addr().String()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	setTestDeadline(t, conn)
	text := line + " HTTP/1.1\r\nHost: b\r\nX-Tenant-Id: kita\r\n" + headers
	if !strings.Contains(headers, "X-Request-ID") {
		text += fmt.Sprintf("X-Request-ID: %d\r\n", responses.lastID)
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	writeTo(t, conn, text+"\r\n"+body)
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(conn, &raw))
	if readStatus(t, reader) == 0 {
		t.Errorf("%s: no response", name)
	}
	responses.got.add(name, withoutVolatile(raw.String(), address))
}

// The bytes, except for the date, of the responses that the sidecar itself generates match the golden file.
func TestLocalResponsesFixture(t *testing.T) {
	responses := newLocalResponses(t)
	front := responses.front
	const lookup = "X-Priority-Class: lookup\r\n"
	const charge = "X-Priority-Class: charge\r\n"
	const reserve = "X-Priority-Class: reserve\r\n"
	responses.add("ready", "GET /health/ready", "", "")
	responses.add("served", "GET /api?serve", lookup, "")
	responses.add("rejected with Retry-After", "GET /api?hold-off=1", lookup, "")
	responses.add("rejected without Retry-After", "GET /api?hold-off=0", lookup, "")
	responses.add("failed", "POST /api?fail", charge, "body")
	responses.add("timed out", "GET /api?late", lookup, "")
	responses.add("no request ID", "GET /api", "X-Request-ID: \r\n"+lookup, "")
	responses.add("two request IDs", "GET /api", "X-Request-ID: 1\r\nX-Request-ID: 2\r\n"+lookup, "")
	responses.add("request ID in use", "GET /api?serve", "X-Request-ID: 2\r\n"+lookup, "")
	responses.add("unknown class", "GET /api", "X-Priority-Class: none\r\n", "")
	responses.add("invalid timeout", "GET /api", "X-Timeout-Ms: soon\r\n"+lookup, "")
	responses.add("invalid cost", "GET /api", "X-Cost: NaN\r\n"+lookup, "")
	responses.add("GET class by POST", "POST /api", lookup, "")
	responses.add("POST class by GET", "GET /api", charge, "")
	responses.add("no idempotency key", "POST /api", reserve, "")
	responses.add("non-idempotent class with a key", "POST /api", charge+"Idempotency-Key: 1\r\n", "")
	responses.add("GET with a body", "GET /api", lookup, "body")
	responses.add("chunked", "POST /api", charge+"Transfer-Encoding: chunked\r\n", "")
	responses.add("body too large", "POST /api", charge, strings.Repeat("x", maxBodyBytes+1))
	responses.add("other path", "GET /other", lookup, "")
	responses.add("other method", "PUT /api", lookup, "")
	front.maxInFlight = 0
	responses.add("too many requests", "GET /api", lookup, "")
	front.requestMemory.remaining.Store(0)
	responses.add("body memory exhausted", "POST /api", charge, "body")
	front.requestMemory.remaining.Store(1 << 20)
	front.maxInFlight = 10
	drainEnd := time.Now().Add(testTimeout)
	front.drainDeadline.Store(&drainEnd)
	responses.add("not ready while draining", "GET /health/ready", "", "")
	front.closeAfterResponse.Store(true)
	responses.add("served while connections close", "GET /api?serve", lookup, "")
	close(front.drainExpired)
	responses.add("drain deadline", "GET /api?never", lookup, "")
	goldentest.Compare(t, "answers.golden.txt", responses.got.Bytes())
}

// The bytes, except for the timeout, of the attempts and health checks that servers get match the golden file.
func TestUpstreamRequestsFixture(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 15\r\n\r\nbusy=0.5,rate=7"
	config, err := newConfigDocument("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	address, requests := newRecorder(t, response, response, response, response)
	memory := &byteBudget{}
	memory.release(4 * maxBodyBytes)
	host := &upstreamHost{id: 1, address: address}
	var got transcript
	record := func(name string, exchange exchangeResult) {
		t.Helper()
		if exchange.outcome != balance.OK {
			t.Errorf("%s: %+v", name, exchange)
		}
		got.add(name, withoutVolatile(receiveWithin(t, name, requests), address))
		got.add("load report", fmt.Sprint(exchange.loadReport))
	}
	record("a health check with a load report", newConnPool(config, 10, memory).checkHealth(t.Context(), host))
	config.settings.LoadReports = balance.LoadReportNone
	pool := newConnPool(config, 10, memory)
	record("a health check", pool.checkHealth(t.Context(), host))
	for _, request := range []*outboundRequest{
		{method: "GET", url: &url.URL{Path: "/api", RawQuery: "b=2&a=%2F"}, host: "backend.local", header: http.Header{
			"X-Request-Id": {"9b1f03aa5c7e2d41"}, "X-Priority-Class": {"lookup"}, "Cookie": {"k=7f3a9c21e0b4d655"}, "X-Timeout-Ms": {"900"},
		}},
		{method: "POST", url: &url.URL{Path: "/api"}, host: "backend.local", body: []byte("plate 12-34"), header: http.Header{
			"X-Request-Id": {"9b1f03aa5c7e2d42"}, "Idempotency-Key": {"5c0f6e1a2b3d4c59"}, "User-Agent": {"shop/1"},
		}},
	} {
		upstreamAttempt := &attempt{call: &call{outbound: request}, upstream: host, deadline: time.Now().Add(testTimeout), ctx: t.Context()}
		record("an attempt by "+request.method, pool.sendAttempt(upstreamAttempt))
	}
	goldentest.Compare(t, "upstream.golden.txt", got.Bytes())
}

// reuseDelayAfterError is the reuse delay after an error: the same as after a success.
const reuseDelayAfterError = reuseDelay
