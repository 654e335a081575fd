package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workSpread is the part of its mean, as a divisor, by which the time for a request varies.
const workSpread = 5

// serverEvent is a line of a server's record.
type serverEvent struct {
	AtMS int64  `json:"at_ms"` // Unix time
	What string `json:"what"`  // begin, end, sigterm
	ID   string `json:"id,omitempty"`
	Open int    `json:"open"` // requests that the server works on, after the event
}

// standInServer is a server of the platform's protocol. The time that it takes for a request varies by a fifth. After SIGTERM it finishes
// what it has.
type standInServer struct {
	name, address string
	work          time.Duration

	mu     sync.Mutex
	open   map[string]bool
	record *os.File
}

func serveServer(args []string) error {
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	name := flags.String("name", "s", "uid of the server")
	listen := flags.String("listen", "127.0.0.1:0", "address")
	recordPath := flags.String("record", "", "file for what the server sees")
	work := flags.Duration("work", 0, "mean time for a request")
	replica := flags.String("replicas", "", "registry replicas to register at; empty: none")
	zone := flags.String("zone", "", "zone")
	if err := flags.Parse(args); err != nil {
		return err
	}
	record, err := os.OpenFile(*recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	s := &standInServer{name: *name, address: *listen, work: *work, open: map[string]bool{}, record: record}
	const headerTimeout = 5 * time.Second
	server := &http.Server{Addr: *listen, Handler: s, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		if *replica != "" {
			s.stayRegistered(ctx, strings.Split(*replica, ","), *zone)
		}
	}()
	go func() {
		<-ctx.Done()
		s.write("sigterm", "")
		_ = server.Shutdown(context.Background()) // waits for the open requests
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	_ = server.Shutdown(context.Background())
	<-registered
	return nil
}

// write appends an event to the server's record.
func (s *standInServer) write(what, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch what {
	case "begin":
		s.open[id] = true
	case "end":
		delete(s.open, id)
	}
	data, err := json.Marshal(serverEvent{time.Now().UnixMilli(), what, id, len(s.open)})
	if err == nil {
		_, _ = s.record.Write(append(data, '\n')) // a missing line would show in the case
	}
}

// ServeHTTP answers requests as the protocol's page says.
func (s *standInServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-ID")
	switch {
	case r.URL.Path == "/health/ready":
		_, _ = io.WriteString(w, "ready\n")
		return
	case r.URL.Path != "/api" || id == "":
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.write("begin", id)
	time.Sleep(s.work - s.work/workSpread + rand.N(2*s.work/workSpread))
	s.write("end", id)
	fmt.Fprintf(w, "%s %s %d", id, s.name, len(body))
}

// stayRegistered registers the server, renews its lease and, after SIGTERM, deregisters it.
func (s *standInServer) stayRegistered(ctx context.Context, replicas []string, zone string) {
	const ttlMS, renewEvery = 5000, 1500 * time.Millisecond
	target := map[string]any{
		"uid": s.name, "endpoint": s.address, "az": zone, "model": "m", "pod_group": 0, "state": "Ready", "capacity_hint": 1,
		"boot_ms": time.Now().UnixMilli(), "ttl_ms": ttlMS,
	}
	registered := false
	for n := 0; ctx.Err() == nil; n++ {
		replica := "http://" + replicas[n%len(replicas)]
		if !registered {
			registered = callJSON(http.MethodPost, replica+"/registry/instances",
				map[string]any{"id": fmt.Sprintf("%s-%d", s.name, time.Now().UnixNano()), "targets": []any{target}}, nil) == nil
		}
		var renewal struct {
			Unknown []string `json:"unknown"`
		}
		if callJSON(http.MethodPost, replica+"/registry/renew", map[string]any{"uids": []string{s.name}}, &renewal) == nil {
			registered = len(renewal.Unknown) == 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewEvery):
		}
	}
	_ = callJSON(http.MethodDelete, "http://"+replicas[0]+"/registry/instances/"+s.name, nil, nil) // otherwise the lease expires
}

// callJSON makes an HTTP call with a JSON body and decodes the JSON response. Any status other than 200 and 204 is an error.
func callJSON(method, url string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, strings.NewReader(string(data)))
	if err != nil {
		return err
	}
	const timeout = 4 * time.Second
	answer, err := (&http.Client{Timeout: timeout}).Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return err
	case answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusNoContent:
		return fmt.Errorf("%s %s: %s %s", method, url, answer.Status, text)
	case response == nil:
		return nil
	}
	return json.Unmarshal(text, response)
}

// serverEvents reads a server's record.
func serverEvents(path string) []serverEvent {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var events []serverEvent
	for line := range strings.Lines(string(data)) {
		var event serverEvent
		if json.Unmarshal([]byte(line), &event) == nil {
			events = append(events, event)
		}
	}
	return events
}
