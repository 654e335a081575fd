package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Settings of the servers. Their capacity is far above their load, except during slow start.
const (
	serverQueue     = 40
	meanServiceTime = 25 * time.Millisecond
	capacityPerSec  = float64(time.Second / meanServiceTime) // requests per second of one warm server
	maxExtraBytes   = 400                                    // a response is larger than the request body by fewer bytes than this
	executionPrefix = "executed"                             // first word of a line in a server's log that records an execution
)

// monotonicClock reads the machine's monotonic clock, which is the same for all processes.
func monotonicClock() time.Duration {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // cannot fail for this clock
	return time.Duration(now.Nano())
}

// ServeServer runs one server of a soak until ctx ends. It logs each execution before the execution begins.
func ServeServer(ctx context.Context, listener net.Listener, log io.Writer, seed uint64) error {
	worker := make(chan struct{}, 1)
	queue := make(chan struct{}, serverQueue)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case queue <- struct{}{}:
			defer func() { <-queue }()
		default:
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case worker <- struct{}{}:
			defer func() { <-worker }()
		case <-r.Context().Done():
			return
		}
		id := r.Header.Get("X-Request-ID")
		fmt.Fprintf(log, "%s %s %q %d\n", executionPrefix, id, r.Header.Get("Idempotency-Key"), monotonicClock())
		random := newGenerator(seed, "execution "+id)
		time.Sleep(time.Duration((0.5 + random.Float64()) * float64(meanServiceTime)))
		_, _ = io.WriteString(w, responseBody(id, len(body)+random.IntN(maxExtraBytes))) // fails only on a closed connection
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // at the end of the run
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// responseBody returns the response to a request: the ID of the request, some bytes and a checksum. The oracle uses them to
// detect a response that no server made, that was cut short, or that belongs to another request.
func responseBody(id string, size int) string {
	text := id + " " + strings.Repeat("x", size) + " "
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, text) // a hash accepts any input
	return text + strconv.FormatUint(uint64(hash.Sum32()), 16)
}

// validBody reports whether a body is the complete response to the request with the given ID.
func validBody(id, body string) bool {
	end := strings.LastIndex(body, " ")
	if end < 0 || !strings.HasPrefix(body, id+" ") {
		return false
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, body[:end+1])
	return body[end+1:] == strconv.FormatUint(uint64(hash.Sum32()), 16)
}

// readExecutions adds the executions in a server's log to the records. referenceMonotonic is the reading of the monotonic clock
// at referenceTime.
func readExecutions(path string, server int, records *records, referenceMonotonic time.Duration, referenceTime time.Time) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var id, key string
		var at int64
		if n, _ := fmt.Sscanf(lines.Text(), executionPrefix+" %s %q %d", &id, &key, &at); n == 3 {
			records.addExecution(id, execution{Server: server, Key: key, At: referenceTime.Add(time.Duration(at) - referenceMonotonic)})
		}
	}
	return lines.Err()
}
