package faultsoak

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file has the crowds of clients that never complete a request, the clients at full speed, and the check of the memory limit
// beside them.

const (
	partialClients        = 300
	fastClients           = 8
	memorySampleInterval  = 50 * time.Millisecond
	partialHeadBytes      = 7000
	partialBodyBytes      = 65536
	reconnectAfterFailure = 10 * time.Millisecond
)

// sidecarLimits are the limits in the configuration of the sidecars.
type sidecarLimits struct {
	memoryMB, sockets int
}

// The limits that the platform's pages name, from which those of a run are drawn.
var (
	memoryLimitsMB = []int{32, 48, 64, 192}
	socketLimits   = []int{400, 1024}
)

// partialRequests are the shapes of requests that stop before their end.
var partialRequests = []string{
	"GET /api HTTP/1.1\r\nHost: b\r\nX-Long: " + strings.Repeat("x", partialHeadBytes),
	"POST /api HTTP/1.1\r\nHost: b\r\n" + strings.Repeat("ab:\r\n", partialHeadBytes/5),
	fmt.Sprintf("POST /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: partial\r\nX-Priority-Class: charge\r\nContent-Length: %d\r\n\r\n%s",
		partialBodyBytes, strings.Repeat("x", partialBodyBytes/2)),
	"",
}

// fastRequest is small, and is answered by the sidecar alone.
const fastRequest = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"

// crowdPartialRequests lets many clients send a part of a request and wait, again and again. While they are there, the sidecar may
// close new connections without reading from them.
func (c *clients) crowdPartialRequests(until time.Time, random *generator) {
	c.mu.Lock()
	c.descriptorsExhaustedUntil = laterOf(c.descriptorsExhaustedUntil, until.Add(clientDialTimeout))
	c.mu.Unlock()
	text := partialRequests[random.IntN(len(partialRequests))]
	c.reconnectUntil(partialClients, until, func(conn net.Conn) {
		_, _ = io.WriteString(conn, text) // the sidecar may close the connection at any time
		_, _ = io.Copy(io.Discard, conn)
	})
}

// sendAtFullSpeed lets a few clients send small requests without waiting for the responses.
func (c *clients) sendAtFullSpeed(until time.Time) {
	text := strings.Repeat(fastRequest, 20)
	c.reconnectUntil(fastClients, until, func(conn net.Conn) {
		var reading sync.WaitGroup
		reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
		for _, err := io.WriteString(conn, text); err == nil; {
			_, err = io.WriteString(conn, text)
		}
		conn.Close()
		reading.Wait()
	})
}

// reconnectUntil lets clients use connections, one after the other, until a time, and waits for them.
func (c *clients) reconnectUntil(count int, until time.Time, use func(net.Conn)) {
	var using sync.WaitGroup
	for range count {
		using.Go(func() {
			for time.Now().Before(until) {
				conn, err := net.DialTimeout("tcp", c.sidecar.address, clientDialTimeout)
				if err != nil {
					time.Sleep(reconnectAfterFailure)
					continue
				}
				_ = conn.SetDeadline(until) // fails only on a closed connection
				use(conn)
				conn.Close()
			}
		})
	}
	using.Wait()
}

// watchMemory records a violation if the process of a sidecar exceeds its memory limit, until stop is closed.
func (s *sidecar) watchMemory(stop <-chan struct{}) {
	ticker := time.NewTicker(memorySampleInterval)
	defer ticker.Stop()
	exceeded := map[int]bool{}
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		process := s.process
		s.mu.Unlock()
		if process == nil || exceeded[process.PID()] {
			continue
		}
		if peak, err := peakMemoryMB(process.PID()); err == nil && peak > float64(s.limits.memoryMB) {
			exceeded[process.PID()] = true
			s.records.addViolation("memory", "", fmt.Sprintf("sidecar %d had %.0f MB, its limit is %d", s.number, peak, s.limits.memoryMB))
		}
	}
}

// peakMemoryMB returns the largest resident set of a process so far. It fails if the process has ended.
func peakMemoryMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(data), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("process %d has no memory", pid)
	}
	fields := strings.Fields(after)
	kilobytes, err := strconv.ParseFloat(fields[0], 64)
	return kilobytes / 1024, err
}
