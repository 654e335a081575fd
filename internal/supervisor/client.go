package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"milldeck/internal/sockets"
)

const (
	// UnitsPath is the path of the platform's HTTP interface. POST takes a Batch and returns a BatchResponse with status
	// 200, or with 409 if a request was rejected. GET returns a List.
	UnitsPath = "/supervisor/units"
	// MaxBatchBytes bounds the body of a batch. A batch fits a few configurations of the maximum size, or many requests
	// without a configuration.
	MaxBatchBytes = 8 << 20
)

const (
	attemptTimeout   = 2 * time.Second // a platform responds without waiting for processes
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxAttempts      = 8 // per call; takes at most 20 s, after which the caller has to decide again
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second // of a connection
	maxIdleConns     = 16
	maxResponseBytes = 32 << 20 // a list of 65,536 units has about 20 MB
	maxErrorBytes    = 200      // limit of the part of a response that an error quotes
)

// errNotExecuted marks the error of a call if the platform has executed none of its requests.
var errNotExecuted = errors.New("not executed")

// Batch is the body of a POST to UnitsPath.
type Batch struct {
	Requests []Request `json:"requests"`
}

// BatchResponse is the response to a Batch: the outcomes, or an error if no outcome can be returned.
type BatchResponse struct {
	Outcomes []Outcome `json:"outcomes,omitempty"`
	Error    string    `json:"error,omitempty"`
}

// Client is a Supervisor over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL        string
	httpClient     *http.Client
	attemptTimeout time.Duration
}

var _ Supervisor = (*Client)(nil)

// NewClient returns a client of the platform at a loopback address with a port.
func NewClient(addr string) (*Client, error) {
	if addrPort, err := netip.ParseAddrPort(addr); err != nil || !addrPort.Addr().IsLoopback() {
		return nil, fmt.Errorf("supervisor: %q is not an address and port on loopback", addr)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		baseURL:        "http://" + addr,
		attemptTimeout: attemptTimeout,
		httpClient: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do implements Supervisor. It retries failed attempts, because the platform executes a request at most once, even if it
// receives the request several times.
func (c *Client) Do(ctx context.Context, requests ...Request) ([]Outcome, error) {
	if err := ValidateBatch(requests); err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	body, err := json.Marshal(Batch{requests})
	if err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	if len(body) > MaxBatchBytes {
		return nil, fmt.Errorf("supervisor: batch has %d bytes, the limit is %d", len(body), MaxBatchBytes)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("supervisor: %w: %w", errNotExecuted, err)
	}
	mayHaveExecuted := false
	outcomes, err := retry(ctx, func() ([]Outcome, error) {
		data, err := c.attempt(ctx, http.MethodPost, body, &mayHaveExecuted)
		if err != nil {
			return nil, err
		}
		var response BatchResponse
		if err := decodeJSON(data, &response); err != nil {
			return nil, err
		}
		if err := response.validate(requests); err != nil {
			return nil, err
		}
		return response.Outcomes, nil
	})
	switch {
	case err == nil:
		return outcomes, nil
	case mayHaveExecuted:
		return nil, fmt.Errorf("supervisor: %w: %w", ErrOutcomeUnknown, err)
	}
	return nil, fmt.Errorf("supervisor: %w: %w", errNotExecuted, err)
}

// List implements Supervisor. It retries failed attempts and invalid lists.
func (c *Client) List(ctx context.Context) (*List, error) {
	var mayHaveExecuted bool // not used: reading the list has no side effects
	list, err := retry(ctx, func() (*List, error) {
		data, err := c.attempt(ctx, http.MethodGet, nil, &mayHaveExecuted)
		if err != nil {
			return nil, err
		}
		list := &List{}
		if err := decodeJSON(data, list); err != nil {
			return nil, err
		}
		if err := list.validate(); err != nil {
			return nil, err
		}
		return list, nil
	})
	if err != nil {
		return nil, fmt.Errorf("supervisor: list: %w", err)
	}
	return list, nil
}

// attempt makes one attempt and returns the response's body. It sets mayHaveExecuted if the platform may have read and
// executed the request.
func (c *Client) attempt(ctx context.Context, method string, body []byte, mayHaveExecuted *bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	var dialError sockets.DialError
	req, err := http.NewRequestWithContext(dialError.Trace(ctx), method, c.baseURL+UnitsPath, bytes.NewReader(body))
	if err != nil {
		return nil, backoff.Permanent(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		*mayHaveExecuted = *mayHaveExecuted || connected
		return nil, dialError.CauseOf(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	status := resp.StatusCode
	if isPermanent(status) {
		// The platform has not executed this attempt, and no retry would succeed. It may have executed a previous attempt.
		return nil, backoff.Permanent(fmt.Errorf("%d: %s", status, errorText(data)))
	}
	*mayHaveExecuted = true
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxResponseBytes:
		return nil, fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	case status != http.StatusOK && status != http.StatusConflict:
		return nil, fmt.Errorf("%d: %s", status, errorText(data))
	}
	return data, nil
}

// isPermanent reports whether a status is a client error that no retry can resolve. Exceptions are 409, whose body
// contains the outcomes, and 408, a timeout that a retry may resolve.
func isPermanent(status int) bool {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusConflict && status != http.StatusRequestTimeout
}

// errorText returns the error of a failed response, or the start of its body, on one line.
func errorText(data []byte) string {
	var response BatchResponse
	if json.Unmarshal(data, &response) == nil && response.Error != "" {
		data = []byte(response.Error)
	}
	return strings.Join(strings.Fields(fmt.Sprintf("%.*s", maxErrorBytes, data)), " ")
}

// decodeJSON decodes exactly one JSON value. It ignores unknown keys, because a newer platform may send them.
func decodeJSON(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("response: %w", err)
	}
	return nil
}
