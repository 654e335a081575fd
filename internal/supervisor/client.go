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
)

const (
	// UnitsPath is the path of the platform's HTTP form. POST takes a Batch and is answered with a BatchResponse under
	// status 200, or 409 where it has a rejection; GET is answered with a List.
	UnitsPath = "/supervisor/units"
	// MaxBatchBytes is the size of a batch's body: a few complete configurations, or many requests without.
	MaxBatchBytes = 8 << 20
)

const (
	attemptTimeout   = 2 * time.Second // a platform answers at once, it doesn't wait for processes
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxAttempts      = 8 // of one call; with the longest backoffs 20 s, after which its caller has to decide again
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second // of a connection
	maxIdleConns     = 16
	maxResponseBytes = 32 << 20 // a list of 65,536 units has about 20 MB
	maxErrorBytes    = 200      // of a response that are quoted in an error
)

// errNotExecuted says that the platform has not executed any request of a call.
var errNotExecuted = errors.New("not executed")

// Batch is the body of a call.
type Batch struct {
	Requests []Request `json:"requests"`
}

// BatchResponse is the body of a response: outcomes, or why there are none.
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

// NewClient returns a client of the platform at an address and port on loopback.
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

// Do retries until it has a response, as each request is done once however often it is sent.
func (c *Client) Do(ctx context.Context, requests ...Request) ([]Outcome, error) {
	if err := ValidateBatch(requests); err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	body, err := json.Marshal(Batch{requests})
	if err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	if len(body) > MaxBatchBytes {
		return nil, fmt.Errorf("supervisor: a batch of %d bytes, at most %d can be", len(body), MaxBatchBytes)
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

// List retries until it has a valid list.
func (c *Client) List(ctx context.Context) (*List, error) {
	var mayHaveExecuted bool // of no interest: a list changes nothing
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

// attempt makes one attempt and returns the response's body. It sets mayHaveExecuted where the platform may have read the
// request and carried it out.
func (c *Client) attempt(ctx context.Context, method string, body []byte, mayHaveExecuted *bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+UnitsPath, bytes.NewReader(body))
	if err != nil {
		return nil, backoff.Permanent(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		*mayHaveExecuted = *mayHaveExecuted || connected
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	status := resp.StatusCode
	if isPermanent(status) {
		// Not carried out, and no retry would succeed. Attempts before may have been.
		return nil, backoff.Permanent(fmt.Errorf("%d: %s", status, errorText(data)))
	}
	*mayHaveExecuted = true
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxResponseBytes:
		return nil, fmt.Errorf("a response of more than %d bytes", maxResponseBytes)
	case status != http.StatusOK && status != http.StatusConflict:
		return nil, fmt.Errorf("%d: %s", status, errorText(data))
	}
	return data, nil
}

// isPermanent reports whether a status says that the request itself is at fault.
func isPermanent(status int) bool {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusConflict && status != http.StatusRequestTimeout
}

// errorText is what a failed response says, on one line.
func errorText(data []byte) string {
	var response BatchResponse
	if json.Unmarshal(data, &response) == nil && response.Error != "" {
		data = []byte(response.Error)
	}
	return strings.Join(strings.Fields(fmt.Sprintf("%.*s", maxErrorBytes, data)), " ")
}

// decodeJSON decodes one JSON value and no more. Unknown keys are ignored, as a newer platform may have them.
func decodeJSON(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("response: %w", err)
	}
	return nil
}
