package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"milldeck/balance"
)

const (
	maxBodyBytes           = 64 << 10 // of requests and responses
	maxResponseHeaderBytes = 32 << 10
	maxInterimResponses    = 5 // 1xx responses before the final one
	minBodyRead            = 512

	// closeDelimitedReadTimeout bounds each read of a body without a length, including the read that waits for the end of
	// the connection. Some servers never close it; the timeout leaves time to retry at another server.
	closeDelimitedReadTimeout = 100 * time.Millisecond
)

// Headers of a server's response, in the canonical form that net/textproto stores.
const (
	notProcessedHeader = "X-Not-Processed" // "1": the server did not execute the request
	serverLoadHeader   = "X-Server-Load"   // a load report
)

var (
	errMalformedResponse   = errors.New("malformed response")
	errConnectionNotClosed = errors.New("server did not close the connection after a response without a length")
)

// readResponse reads the response to a completely written request. If the read fails, the server may have executed the
// request. reusable reports whether the connection can be reused.
func (p *connPool) readResponse(ctx context.Context, conn *upstreamConn) (result exchangeResult, reusable bool) {
	conn.responseLimit.N = maxResponseHeaderBytes + 2*maxBodyBytes // bounds the memory for an endless response
	status, header, err := readHeader(conn.reader)
	var body []byte
	reservedBytes := 0
	if err == nil {
		body, reservedBytes, err = p.readBody(ctx, conn, status, header)
	}
	if err != nil {
		return exchangeResult{outcome: incompleteResponseResult(ctx, err)}, false
	}
	if load := header[serverLoadHeader]; len(load) == 1 {
		result.loadReport = parseLoadReport(load[0], p.loadReportFields)
	}
	result.outcome = outcomeOf(status, header)
	if result.outcome == balance.OK {
		result.response = response{
			status:        http.StatusOK,
			contentType:   header.Get("Content-Type"),
			body:          body,
			reservedBytes: reservedBytes,
		}
	} else {
		p.responseMemory.release(reservedBytes)
	}
	return result, !isCloseDelimited(header) && !closesConnection(header) && conn.reader.Buffered() == 0
}

// incompleteResponseResult returns the result of an exchange whose response is incomplete.
func incompleteResponseResult(ctx context.Context, err error) balance.Result {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return balance.Cancelled
	case errors.As(err, &netErr) && netErr.Timeout():
		return balance.TimedOut
	default:
		return balance.Reset
	}
}

// outcomeOf returns the outcome of a complete response. A 503 or 504 proves that the server did not execute the request
// only if it has notProcessedHeader.
func outcomeOf(status int, header http.Header) balance.Result {
	notProcessed := header.Get(notProcessedHeader) == "1"
	switch {
	case status == http.StatusOK:
		return balance.OK
	case notProcessed && (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout):
		return balance.Overloaded
	default:
		return balance.Failed
	}
}

func closesConnection(header http.Header) bool {
	return slices.ContainsFunc(header["Connection"], func(value string) bool {
		return strings.Contains(strings.ToLower(value), "close")
	})
}

// readHeader reads the status and headers of a response and skips interim responses. http.ReadResponse is not used, as it
// ignores a Content-Length next to a Transfer-Encoding.
func readHeader(reader *bufio.Reader) (int, http.Header, error) {
	for range maxInterimResponses {
		head, err := readHead(reader)
		if err != nil {
			return 0, nil, err
		}
		lines := parseHead(head)
		line, err := lines.ReadLine()
		if err != nil {
			return 0, nil, err
		}
		status, err := parseStatusLine(line)
		if err != nil {
			return 0, nil, err
		}
		header, err := lines.ReadMIMEHeader()
		switch {
		case errors.Is(err, io.EOF):
			return 0, nil, io.ErrUnexpectedEOF
		case err != nil:
			return 0, nil, err
		case status == http.StatusSwitchingProtocols: // the sidecar never requests an upgrade
			return 0, nil, errMalformedResponse
		case status >= http.StatusOK:
			return status, http.Header(header), nil
		}
	}
	return 0, nil, errMalformedResponse
}

// readHead reads up to the end of the first empty line. A head that is too long or has too many lines is malformed, and is not
// parsed.
func readHead(reader *bufio.Reader) ([]byte, error) {
	var head []byte
	var scanner headScanner
	for {
		part, err := reader.ReadSlice('\n')
		head = append(head, part...)
		_, ended := scanner.scan(part)
		switch {
		case ended:
			return head, nil
		case len(head) > maxResponseHeaderBytes || scanner.lines > maxHeaderFields:
			return nil, errMalformedResponse
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull): // the line continues after a full buffer
			return nil, err
		}
	}
}

// parseHead returns a reader of the lines of a head.
func parseHead(head []byte) *textproto.Reader {
	return textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
}

func parseStatusLine(line string) (status int, err error) {
	version, afterVersion, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(afterVersion, " ")
	number, err := strconv.ParseUint(code, 10, 16)
	if version != "HTTP/1.1" || err != nil || len(code) != 3 || number < http.StatusContinue {
		return 0, errMalformedResponse
	}
	return int(number), nil
}

// readBody reads a complete body. A truncated body, or one whose length is ambiguous, is an error and is never forwarded.
// reservedBytes is the reserved part of the response memory, 0 on error.
func (p *connPool) readBody(ctx context.Context, conn *upstreamConn, status int, header http.Header) (body []byte, reservedBytes int, err error) {
	framing, err := bodyFraming(status, header)
	if err != nil {
		return nil, 0, err
	}
	if framing.closeDelimited && status != http.StatusOK {
		return nil, 0, nil // only the status is used, and the server may never close the connection
	}
	reservation := &responseReservation{ctx: ctx, deadline: conn.readDeadline, memory: p.responseMemory, maxSize: framing.length}
	switch {
	case framing.chunked:
		body, err = readChunked(conn.reader, reservation)
	case framing.closeDelimited:
		body, err = readUntilClose(ctx, conn, reservation)
	default:
		if err = reservation.cover(framing.length); err == nil {
			body, err = readExactly(conn.reader, framing.length)
		}
	}
	if err != nil {
		reservation.shrink(0)
		return nil, 0, err
	}
	return body, reservation.shrink(len(body)), nil
}

// framing determines the end of a body.
type framing struct {
	length         int // in bytes; an upper bound if the body is chunked or close-delimited
	chunked        bool
	closeDelimited bool
}

// bodyFraming returns the framing of a body. Conflicting or repeated lengths are an error.
func bodyFraming(status int, header http.Header) (framing, error) {
	transferEncodings, contentLengths := header["Transfer-Encoding"], header["Content-Length"]
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified: // no request of the sidecar allows these
		return framing{}, errMalformedResponse
	case isCloseDelimited(header):
		return framing{length: maxBodyBytes, closeDelimited: true}, nil
	case len(transferEncodings) == 1 && len(contentLengths) == 0 && strings.EqualFold(transferEncodings[0], "chunked"):
		return framing{length: maxBodyBytes, chunked: true}, nil
	case len(transferEncodings) == 0 && len(contentLengths) == 1:
		length, err := strconv.ParseUint(contentLengths[0], 10, 63)
		if err != nil || length > maxBodyBytes {
			return framing{}, errMalformedResponse
		}
		return framing{length: int(length)}, nil
	default:
		return framing{}, errMalformedResponse
	}
}

// isCloseDelimited reports whether a response has no length and therefore ends with its connection.
func isCloseDelimited(header http.Header) bool {
	return len(header["Transfer-Encoding"]) == 0 && len(header["Content-Length"]) == 0
}

// readUntilClose reads a body up to the end of the connection. The body is complete if the server closes the connection. A
// reset is an error, as the process has died or the connection was cut. A connection that stays open is an error too, as
// the server does not use the end of the connection to end the body.
func readUntilClose(ctx context.Context, conn *upstreamConn, reservation *responseReservation) ([]byte, error) {
	var body []byte
	for len(body) <= maxBodyBytes {
		if err := reservation.cover(len(body) + minBodyRead); err != nil {
			return nil, err
		}
		setReadDeadline(ctx, conn, time.Now().Add(closeDelimitedReadTimeout))
		body = slices.Grow(body, minBodyRead)
		n, err := conn.reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && conn.responseLimit.N > 0 && len(body) <= maxBodyBytes:
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(conn.readDeadline) && ctx.Err() == nil:
			return nil, errConnectionNotClosed
		case errors.Is(err, io.EOF): // the size limit of a response is reached
			return nil, errMalformedResponse
		case err != nil:
			return nil, err
		}
	}
	return nil, errMalformedResponse
}

// readChunked reads a chunked body and its trailer.
func readChunked(reader *bufio.Reader, reservation *responseReservation) ([]byte, error) {
	chunks := &reservingReader{source: httputil.NewChunkedReader(reader), reservation: reservation}
	body, err := io.ReadAll(io.LimitReader(chunks, maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, errMalformedResponse
	}
	trailer, err := readHead(reader)
	if err != nil {
		return nil, err
	}
	_, err = parseHead(trailer).ReadMIMEHeader()
	return body, err
}

// readExactly reads a body of a known length. Its buffer grows with the bytes that arrive, not with the announced length.
func readExactly(reader *bufio.Reader, length int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
