package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// transcript collects named messages. It quotes each line of a message on a line of its own.
type transcript struct{ bytes.Buffer }

func (record *transcript) add(name, message string) {
	fmt.Fprintf(record, "## %s\n", name)
	for line := range strings.Lines(message) {
		fmt.Fprintln(record, strconv.Quote(line))
	}
}

// volatileHeaders matches headers whose values depend on the clock.
var volatileHeaders = regexp.MustCompile(`(?m)^(Date|X-Timeout-Ms): .*\r$`)

// withoutVolatile replaces the parts of a message that differ from run to run: an address, and values that depend on the
// clock.
func withoutVolatile(message, address string) string {
	message = strings.ReplaceAll(message, address, "ADDRESS")
	return volatileHeaders.ReplaceAllString(message, "$1: VOLATILE\r")
}

// newRecorder starts a server that records the bytes of each request. It sends the responses in order, one for each
// connection, and then closes the connection.
func newRecorder(t *testing.T, responses ...string) (address string, requests <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recorded := make(chan string, len(responses))
	var work sync.WaitGroup
	work.Go(func() {
		for _, response := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			recorded <- recordRequest(t, conn)
			tryWrite(conn, response)
			conn.Close()
		}
	})
	t.Cleanup(func() {
		listener.Close()
		work.Wait()
	})
	return listener.Addr().String(), recorded
}

// recordRequest reads one request and returns its bytes.
func recordRequest(t *testing.T, conn net.Conn) string {
	t.Helper()
	var raw bytes.Buffer
	setTestDeadline(t, conn)
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
