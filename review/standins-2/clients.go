package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients stands in for the application of one sidecar: several clients that each send one request at a time on a
// connection that they keep.
type clients struct {
	log     *record
	name    string // the prefix of the request IDs
	sidecar string
	class   string // sent with GET
	timeout time.Duration

	group                        sync.WaitGroup
	stop                         context.CancelFunc
	sent, served, refused, wrong atomic.Int64
	unanswered                   atomic.Int64
}

// startClients starts clients that send count requests each second together, until stopClients.
func startClients(ctx context.Context, c *clients, count, requestsPerSecond int) {
	ctx, c.stop = context.WithCancel(ctx)
	for i := range count {
		c.group.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			pause := time.Duration(count) * time.Second / time.Duration(requestsPerSecond)
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					c.send(transport, fmt.Sprintf("%s-%d-%d", c.name, i, n), (i*31+n*7)%97)
				}
			}
		})
	}
}

// stopClients lets the clients end their requests.
func (c *clients) stopClients() {
	c.stop()
	c.group.Wait()
	c.log.printf("clients of %s: %d sent, %d served, %d refused, %d other answers, %d unanswered",
		c.name, c.sent.Load(), c.served.Load(), c.refused.Load(), c.wrong.Load(), c.unanswered.Load())
}

func (c *clients) send(transport *http.Transport, id string, key int) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.sidecar+"/api", http.NoBody)
	if err != nil {
		c.log.printf("request: %v", err)
		return
	}
	request.Host = "backend.local"
	request.Header.Set("X-Request-ID", id)
	request.Header.Set("X-Priority-Class", c.class)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	request.AddCookie(&http.Cookie{Name: "k", Value: fmt.Sprintf("%016x", key)})
	c.sent.Add(1)
	c.log.detailf("client sends %s", id)
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.unanswered.Add(1)
		c.log.detailf("client got no answer to %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.log.detailf("client got %d %q to %s, error %v", response.StatusCode, body, id, err)
	switch {
	case err != nil:
		c.unanswered.Add(1)
	case response.StatusCode == http.StatusOK && strings.HasPrefix(string(body), id+" by "):
		c.served.Add(1)
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		c.refused.Add(1)
	default:
		c.wrong.Add(1)
	}
}

// mostlyServed returns an error if the run shows nothing, as fewer than nine tenths of the requests were served.
func (c *clients) mostlyServed() error {
	if sent, served := c.sent.Load(), c.served.Load(); sent < 20 || served*10 < sent*9 {
		return fmt.Errorf("%s: only %d of %d requests were served", c.name, served, sent)
	}
	return nil
}
