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

// The HTTP form: POST UnitsPath with a Call, answered with an Answer, under status 200 or, where it holds a refusal,
// 409; GET UnitsPath, answered with a List.
const (
	UnitsPath = "/supervisor/units"
	// MaxBatchBytes bounds a call's body in bytes: a few whole configurations, or many without.
	MaxBatchBytes = 8 << 20
)

const (
	attemptTimeout   = 2 * time.Second // for one attempt: a platform answers at once, it does not wait for processes
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxAttempts      = 8 // of one call; with the longest waits 20 s, after which its caller has to look anew
	dialTimeout      = time.Second
	maxResponseBytes = 32 << 20 // bytes; a list of 65,536 units has about 20 MB
	maxErrorBytes    = 200      // bytes of an answer that stand in an error
)

// Batch is the body of a call.
type Batch struct {
	Requests []Request `json:"requests"`
}

// BatchResponse is the body of an answer: outcomes, or why there are none.
type BatchResponse struct {
	Outcomes []Outcome `json:"outcomes,omitempty"`
	Error    string    `json:"error,omitempty"`
}

// Client is a platform met over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL        string
	httpClient     *http.Client
	attemptTimeout time.Duration
}

var _ Supervisor = (*Client)(nil)

// NewClient makes a client of the platform at an address on loopback.
func NewClient(addr string) (*Client, error) {
	if at, err := netip.ParseAddrPort(addr); err != nil || !at.Addr().IsLoopback() {
		return nil, fmt.Errorf("supervisor: %q is no address and port on loopback", addr)
	}
	return &Client{
		baseURL: "http://" + addr, attemptTimeout: attemptTimeout,
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close ends the client's idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do asks until it has an answer, as each request is done once however often it is asked for.
func (c *Client) Do(ctx context.Context, requests ...Request) ([]Outcome, error) {
	if err := ValidateBatch(requests); err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	body, err := json.Marshal(Batch{requests})
	if err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	if len(body) > MaxBatchBytes {
		return nil, fmt.Errorf("supervisor: a call of %d bytes, at most %d can be", len(body), MaxBatchBytes)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("supervisor: nothing was asked: %w", err)
	}
	mayHaveExecuted := false // an attempt may have come to the platform
	outcomes, err := retry(ctx, func() ([]Outcome, error) {
		data, err := c.attempt(ctx, http.MethodPost, body, &mayHaveExecuted)
		if err != nil {
			return nil, err
		}
		var response BatchResponse
		if err := decodeJSON(data, &response); err != nil {
			return nil, err
		}
		return response.Outcomes, response.validate(requests)
	})
	if err != nil && mayHaveExecuted {
		return nil, fmt.Errorf("supervisor: %w: %w", ErrOutcomeUnknown, err)
	}
	if err != nil {
		return nil, fmt.Errorf("supervisor: nothing was asked: %w", err)
	}
	return outcomes, nil
}

// List asks until it has an answer.
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
		return list, list.validate()
	})
	if err != nil {
		return nil, fmt.Errorf("supervisor: list: %w", err)
	}
	return list, nil
}

// retry tries until it succeeds, the failure is a lasting one, or tries or ctx end. The error is the last failure.
func retry[T any](ctx context.Context, attempt func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff() // jittered by half to both sides
	policy.InitialInterval, policy.MaxInterval = initialBackoff, maxBackoff
	var lastErr error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := attempt()
		if err != nil && (lastErr == nil || ctx.Err() == nil) {
			lastErr = err // what an attempt says that ctx has cut off tells less than the one before
		}
		return v, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(maxAttempts), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return v, nil
	}
	var permanent *backoff.PermanentError
	if errors.As(lastErr, &permanent) {
		lastErr = permanent.Unwrap()
	}
	if ctx.Err() != nil && !errors.Is(lastErr, ctx.Err()) {
		if lastErr == nil {
			lastErr = ctx.Err()
		} else {
			lastErr = fmt.Errorf("%w, after %w", ctx.Err(), lastErr)
		}
	}
	var zero T
	return zero, lastErr
}

// attempt makes one attempt. It notes where the platform may have read a request that it may have carried out.
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
	if status >= 400 && status < 500 && status != http.StatusConflict && status != http.StatusRequestTimeout {
		// Not taken, and no repeat would fare better. What attempts before it did is another matter.
		return nil, backoff.Permanent(fmt.Errorf("%d: %s", status, errorText(data)))
	}
	*mayHaveExecuted = true
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxResponseBytes:
		return nil, fmt.Errorf("an answer of more than %d bytes", maxResponseBytes)
	case status != http.StatusOK && status != http.StatusConflict:
		return nil, fmt.Errorf("%d: %s", status, errorText(data))
	}
	return data, nil
}

// errorText is what a failed answer says, on one line.
func errorText(data []byte) string {
	var response BatchResponse
	if json.Unmarshal(data, &response) == nil && response.Error != "" {
		data = []byte(response.Error)
	}
	return strings.Join(strings.Fields(fmt.Sprintf("%.*s", maxErrorBytes, data)), " ")
}

// decodeJSON reads one JSON value and no more. Keys that are not known are left alone, as a newer platform may have them.
func decodeJSON(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

// validate holds an answer against what was asked.
func (a *BatchResponse) validate(requests []Request) error {
	if len(a.Outcomes) != len(requests) {
		return fmt.Errorf("answer: %d outcomes of %d requests", len(a.Outcomes), len(requests))
	}
	for i := range a.Outcomes {
		outcome, request := &a.Outcomes[i], &requests[i]
		if outcome.ID != request.ID || outcome.Unit != request.Unit || outcome.Epoch == 0 {
			return fmt.Errorf("answer: outcome %d is not of request %s", i, request.ID)
		}
		if outcome.Rejected == "" && (outcome.Epoch != request.Epoch || outcome.Incarnation == 0) {
			return fmt.Errorf("answer: outcome %d has memory %d and incarnation %d", i, outcome.Epoch, outcome.Incarnation)
		}
	}
	return nil
}

// validate refuses a list that cannot be.
func (l *List) validate() error {
	if l.Epoch == 0 || l.Units == nil {
		return errors.New("list: has no memory or no units")
	}
	for i := range l.Units {
		u := &l.Units[i]
		if err := validateName(u.Name); err != nil {
			return fmt.Errorf("list: unit %d: %w", i, err)
		}
		if i > 0 && l.Units[i-1].Name >= u.Name {
			return fmt.Errorf("list: %s is not in order, or twice", u.Name)
		}
		switch u.State {
		case Starting, Running, Stopping, Exited:
		default:
			return fmt.Errorf("list: %s has a state that is not known: %.40q", u.Name, u.State)
		}
		if err := u.Kind.validate(); err != nil || u.Incarnation == 0 {
			return fmt.Errorf("list: %s has kind %.40q and incarnation %d", u.Name, u.Kind, u.Incarnation)
		}
	}
	return nil
}
