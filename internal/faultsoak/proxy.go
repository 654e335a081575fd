package faultsoak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	proxyDialTimeout        = 200 * time.Millisecond
	cutPollInterval         = 5 * time.Millisecond
	maxSecondResponse       = 2 * time.Millisecond  // longest delay between two responses to one request
	closeAfterResponseShare = 0.01                  // share of responses after which the proxy closes the connection
	maxLateError            = 20 * time.Millisecond // longest delay between a response and the error that follows it
)

const (
	notProcessedResponse = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	errorResponse        = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
)

// faultSet holds the active faults of the links to one server, or of the clients of one sidecar, with the end of each fault and
// the share of requests or clients that the fault affects.
type faultSet struct {
	mu    sync.Mutex
	until map[faultKind]time.Time
	share map[faultKind]float64
}

func newFaultSet() *faultSet {
	return &faultSet{until: map[faultKind]time.Time{}, share: map[faultKind]float64{}}
}

func (f *faultSet) add(kind faultKind, until time.Time, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[kind], f.share[kind] = until, share
}

// hits reports whether a fault is active and affects this request or client. Its probability is the share of the fault.
func (f *faultSet) hits(kind faultKind, random *generator) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[kind]) && random.Float64() < f.share[kind]
}

func (f *faultSet) active(kind faultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[kind])
}

// link is the fault proxy between one sidecar and one server.
type link struct {
	sidecar, server int
	backend         string // the server's address
	listener        net.Listener
	faults          *faultSet // of the server
	random          *generator
	lateRandom      *generator // of second responses, which came later than the other faults
	records         *records
	ctx             context.Context
	connections     sync.WaitGroup
}

func (l *link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.connections.Go(func() { l.serveConn(conn.(*net.TCPConn)) })
	}
}

// proxiedConn is a connection of a sidecar to a server.
type proxiedConn struct {
	*net.TCPConn
	reader *bufio.Reader
	closed chan struct{} // closed when the sidecar closes its side during the present request
	// onResponse is called before the first byte of a complete response to the present request: the sidecar may send the request
	// again as soon as it has read an error.
	onResponse func()
}

// respondWhole writes a complete response and reports whether that succeeded.
func (c *proxiedConn) respondWhole(text string) bool {
	c.onResponse()
	return writeAll(c, text)
}

func (l *link) serveConn(tcpConn *net.TCPConn) {
	stop := context.AfterFunc(l.ctx, func() { _ = tcpConn.Close() })
	defer stop()
	defer func() { _ = tcpConn.Close() }() // an error does not matter: nothing uses the connection afterwards
	conn := &proxiedConn{TCPConn: tcpConn, reader: bufio.NewReader(tcpConn)}
	for l.serveRequest(conn) {
	}
}

// awaitLinkUp waits while the link is cut. It returns false if the run ends or the sidecar closes the connection; in both cases
// the data on the link is lost. The proxy records a request at once even if the link is cut, because the oracle checks when the
// sidecar sent the request.
func (l *link) awaitLinkUp(conn *proxiedConn) bool {
	for l.faults.active(faultCut) {
		select {
		case <-conn.closed:
			return false
		case <-l.ctx.Done():
			return false
		case <-time.After(cutPollInterval):
		}
	}
	return l.ctx.Err() == nil
}

// serveRequest serves one request and reports whether the connection is reusable.
func (l *link) serveRequest(conn *proxiedConn) bool {
	if _, err := conn.reader.Peek(1); err != nil {
		return false
	}
	record := &attemptRecord{Sidecar: l.sidecar, Server: l.server, FirstByteAt: time.Now()}
	request, err := http.ReadRequest(conn.reader)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false // an incomplete request counts as never sent
	}
	record.LastByteAt = time.Now()
	if request.URL.Path != "/api" {
		return writeAll(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	timeoutMS, err := strconv.Atoi(request.Header.Get("X-Timeout-Ms"))
	if err != nil {
		l.records.addViolation("timeout", request.Header.Get("X-Request-ID"), "the server is told no timeout")
	}
	record.ForwardedTimeout = time.Duration(timeoutMS) * time.Millisecond
	record.conn = conn.TCPConn
	conn.onResponse = func() { l.records.endAttempt(record) }
	l.records.addAttempt(request.Header.Get("X-Request-ID"), record)
	stopWatch := conn.watchClose(func() { l.records.endAttempt(record) })
	reusable := l.respond(conn, request, body)
	stillOpen := stopWatch()
	l.records.endAttempt(record)
	return reusable && stillOpen
}

// watchClose calls onClose when the sidecar closes its side of the connection. Calling stop ends the watch and reports whether
// the connection is still open.
func (c *proxiedConn) watchClose(onClose func()) (stop func() bool) {
	c.closed = make(chan struct{})
	done := make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		var timeout net.Error
		if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
			done <- nil
			return
		}
		onClose()
		close(c.closed)
		done <- err
	}()
	return func() bool {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // makes Peek return; on a closed connection it has returned already
		err := <-done
		return c.SetReadDeadline(time.Time{}) == nil && err == nil
	}
}

// respond forwards a request and writes the response, or injects one of the active faults. It reports whether the connection is
// reusable.
func (l *link) respond(conn *proxiedConn, request *http.Request, body []byte) (reusable bool) {
	if !l.awaitLinkUp(conn) {
		return false
	}
	switch {
	case l.faults.hits(faultLateErrors, l.lateRandom):
		return l.respondTwice(conn, request, body)
	case l.faults.hits(faultErrors, l.random):
		if l.random.IntN(2) == 0 {
			return conn.respondWhole(notProcessedResponse)
		}
		return conn.respondWhole(errorResponse)
	case l.faults.hits(faultReset, l.random) && l.random.IntN(3) == 0:
		return conn.reset()
	}
	status, notProcessed, response, err := l.forward(conn, request, body)
	if err != nil {
		return conn.reset()
	}
	if !l.awaitLinkUp(conn) {
		return false
	}
	if l.faults.hits(faultReset, l.random) {
		text := sizedResponse(status, notProcessed, response)
		writeAll(conn, text[:l.random.IntN(len(text))])
		return conn.reset()
	}
	if status == http.StatusOK && l.faults.hits(faultResponses, l.random) {
		return l.writeUnusualResponse(conn, response)
	}
	if !conn.respondWhole(sizedResponse(status, notProcessed, response)) {
		return false
	}
	return l.random.Float64() >= closeAfterResponseShare
}

// forward sends a request to the server on a new connection and returns the response. It gives up when the sidecar closes its
// connection.
func (l *link) forward(conn *proxiedConn, request *http.Request, body []byte) (status int, notProcessed bool, response string, err error) {
	backend, err := net.DialTimeout("tcp", l.backend, proxyDialTimeout)
	if err != nil {
		return 0, false, "", err
	}
	defer backend.Close()
	finished := make(chan struct{})
	defer close(finished)
	closed := conn.closed // copied, because the next request replaces conn.closed
	go func() {
		select {
		case <-closed:
		case <-l.ctx.Done():
		case <-finished:
		}
		backend.Close()
	}()
	outbound := request.Clone(l.ctx)
	outbound.Body, outbound.ContentLength, outbound.Close = io.NopCloser(bytes.NewReader(body)), int64(len(body)), true
	if err := outbound.Write(backend); err != nil {
		return 0, false, "", err
	}
	answer, err := http.ReadResponse(bufio.NewReader(backend), request)
	if err != nil {
		return 0, false, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header.Get("X-Not-Processed") != "", string(text), err
}

// writeUnusualResponse writes a response in an unusual form, drawn at random. Some forms are incomplete.
func (l *link) writeUnusualResponse(conn *proxiedConn, body string) (reusable bool) {
	text := sizedResponse(http.StatusOK, false, body)
	switch l.random.IntN(6) {
	case 0: // no length: the close of the connection ends the response
		writeAll(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
		return false
	case 1: // no length, and a reset: the response is incomplete
		writeAll(conn, "HTTP/1.1 200 OK\r\n\r\n"+body[:len(body)/2])
		time.Sleep(time.Millisecond) // lets the sidecar read the first half
		return conn.reset()
	case 2: // in pieces
		for start := 0; start < len(text); start += 97 {
			if !writeAll(conn, text[start:min(start+97, len(text))]) {
				return false
			}
			time.Sleep(time.Millisecond / 2)
		}
		return true
	case 3: // two responses to one request
		if !writeAll(conn, text) {
			return false
		}
		time.Sleep(l.random.Below(maxSecondResponse))
		return writeAll(conn, sizedResponse(http.StatusOK, false, "another"))
	case 4: // one byte short
		writeAll(conn, text[:len(text)-1])
		return false
	default: // 100 Continue first, then a chunked body
		half := len(body) / 2
		return writeAll(conn, fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			half, body[:half], len(body)-half, body[half:]))
	}
}

// reset makes the coming close of the connection send a reset. It always returns false, as the connection is not reusable.
func (c *proxiedConn) reset() (reusable bool) {
	_ = c.SetLinger(0) // fails only on a closed connection
	return false
}

func sizedResponse(status int, notProcessed bool, body string) string {
	mark := ""
	if notProcessed {
		mark = "X-Not-Processed: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, strings.ToUpper(http.StatusText(status)), mark, len(body), body)
}

// writeAll writes a text and reports whether that succeeded.
func writeAll(conn io.Writer, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
