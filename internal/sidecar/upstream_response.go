package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"milldeck/balance"
)

const (
	maxBody           = 64 << 10
	maxResponseHeader = 32 << 10
)

var errBodyMemoryExhausted = errors.New("no memory is free")

// readResponse reads the answer to a request that was written whole: what breaks from here on may have run.
func (p *connPool) readResponse(ctx context.Context, conn *upstreamConn, deadline time.Time) (exchangeResult, bool) {
	conn.limit.N = maxResponseHeader + 2*maxBody // a server that sends without end must not fill the memory
	status, header, err := readHeader(conn.reader)
	var body []byte
	reservedBytes := 0
	if err == nil {
		body, reservedBytes, err = p.readBody(conn.reader, status, header)
	}
	if err != nil {
		var timeout net.Error
		switch {
		case ctx.Err() != nil:
			return exchangeResult{outcome: balance.Cancelled}, false
		case errors.As(err, &timeout) && timeout.Timeout():
			return exchangeResult{outcome: balance.TimedOut}, false
		default:
			return exchangeResult{outcome: balance.Reset}, false
		}
	}
	result := exchangeResult{}
	if load := header["X-Server-Load"]; len(load) == 1 {
		result.loadReport = parseLoadReport(load[0], p.loadReportFields)
	}
	switch notProcessed := header.Get("X-Not-Processed") == "1"; {
	case status == http.StatusOK:
		result.response = response{status: http.StatusOK, contentType: header.Get("Content-Type"), body: body, reservedBytes: reservedBytes}
	case notProcessed && (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout):
		result.outcome = balance.Overloaded
	default: // also 503 without the mark: it may have run
		result.outcome = balance.Failed
	}
	if result.outcome != balance.OK {
		p.bodyMemory.release(reservedBytes)
	}
	closes := slices.ContainsFunc(header["Connection"], func(value string) bool { return strings.Contains(strings.ToLower(value), "close") })
	return result, !closes && conn.reader.Buffered() == 0
}

// errMalformedResponse: what came is no answer that can be told apart from anything else.
var errMalformedResponse = errors.New("spoilt answer")

// maxInterimResponses bounds the 1xx answers ahead of the one that counts.
const maxInterimResponses = 5

// readHeader reads the head of an answer, past those that only announce it. net/http's own reader would drop
// a length that stands beside chunks.
func readHeader(reader *bufio.Reader) (int, http.Header, error) {
	lines := textproto.NewReader(reader)
	for range maxInterimResponses {
		line, err := lines.ReadLine()
		if err != nil {
			return 0, nil, err
		}
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.ParseUint(code, 10, 16)
		if version != "HTTP/1.1" || err != nil || len(code) != 3 || status < 100 {
			return 0, nil, errMalformedResponse
		}
		header, err := lines.ReadMIMEHeader()
		switch {
		case err == io.EOF:
			return 0, nil, io.ErrUnexpectedEOF
		case err != nil:
			return 0, nil, err
		case status == http.StatusSwitchingProtocols: // asked for by nobody
			return 0, nil, errMalformedResponse
		case status >= 200:
			return int(status), http.Header(header), nil
		}
	}
	return 0, nil, errMalformedResponse
}

// readBody reads all of a body, or fails: what is cut short, or has no one length, is never passed on. It
// also returns what it holds of the memory for bodies.
func (p *connPool) readBody(reader *bufio.Reader, status int, header http.Header) (body []byte, reservedBytes int, err error) {
	transferEncodings, contentLengths := header["Transfer-Encoding"], header["Content-Length"]
	maxBytes := maxBody
	var source io.Reader
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
		return nil, 0, errMalformedResponse // neither is asked for, and what follows has no length
	case len(transferEncodings) == 1 && len(contentLengths) == 0 && strings.EqualFold(transferEncodings[0], "chunked"):
		source = io.LimitReader(httputil.NewChunkedReader(reader), maxBody+1)
	case len(transferEncodings) == 0 && len(contentLengths) == 1:
		length, err := strconv.ParseUint(contentLengths[0], 10, 63)
		if err != nil || length > maxBody {
			return nil, 0, errMalformedResponse
		}
		maxBytes = int(length)
		source = io.LimitReader(reader, int64(length))
	default: // also none at all: it could be cut short unseen
		return nil, 0, errMalformedResponse
	}
	if !p.bodyMemory.reserve(maxBytes) {
		return nil, 0, errBodyMemoryExhausted
	}
	body, err = io.ReadAll(source) // grows with what comes, not with what is said
	switch {
	case err != nil:
	case len(transferEncodings) > 0 && len(body) > maxBody:
		err = errMalformedResponse
	case len(transferEncodings) > 0:
		_, err = textproto.NewReader(reader).ReadMIMEHeader() // the trailer
	case len(body) < maxBytes:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		p.bodyMemory.release(maxBytes)
		return nil, 0, err
	}
	p.bodyMemory.release(maxBytes - len(body))
	return body, len(body), nil
}

// maxReportValue is more than any figure of a report can be.
const maxReportValue = 1e9

// parseLoadReport reads "name=value,name=value" in the order of names; a report that lacks one, has one twice or
// one that cannot be is none. The module keeps means over reports, in which a NaN would stay for ever.
func parseLoadReport(text string, names []string) []float32 {
	if text == "" || len(names) == 0 {
		return nil
	}
	report, present := make([]float32, len(names)), make([]bool, len(names))
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		number, err := strconv.ParseFloat(value, 32)
		if err != nil || !(number >= 0 && number <= maxReportValue) || present[i] {
			return nil
		}
		report[i], present[i] = float32(number), true
	}
	if slices.Contains(present, false) {
		return nil
	}
	return report
}
