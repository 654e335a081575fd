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
	// MaxCall bounds a call's body in bytes: a few whole configurations, or many without.
	MaxCall = 8 << 20
)

const (
	attemptWait  = 2 * time.Second // for one attempt: a platform answers at once, it does not wait for processes
	firstBackoff = 50 * time.Millisecond
	mostBackoff  = time.Second
	mostTries    = 8 // of one call; with the longest waits 20 s, after which its caller has to look anew
	dialWait     = time.Second
	maxAnswer    = 32 << 20 // bytes; a list of 65,536 units has about 20 MB
	maxSaid      = 200      // bytes of an answer that stand in an error
)

// Call is the body of a call.
type Call struct {
	Requests []Request `json:"requests"`
}

// Answer is the body of an answer: outcomes, or why there are none.
type Answer struct {
	Outcomes []Outcome `json:"outcomes,omitempty"`
	Error    string    `json:"error,omitempty"`
}

// Client is a platform met over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	wait time.Duration
}

var _ Supervisor = (*Client)(nil)

// NewClient makes a client of the platform at an address on loopback.
func NewClient(addr string) (*Client, error) {
	if at, err := netip.ParseAddrPort(addr); err != nil || !at.Addr().IsLoopback() {
		return nil, fmt.Errorf("supervisor: %q is no address and port on loopback", addr)
	}
	return &Client{
		base: "http://" + addr, wait: attemptWait,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{Timeout: dialWait}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close ends the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do asks until it has an answer, as each request is done once however often it is asked for.
func (c *Client) Do(ctx context.Context, reqs ...Request) ([]Outcome, error) {
	if err := CheckCall(reqs); err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	body, err := json.Marshal(Call{reqs})
	if err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	if len(body) > MaxCall {
		return nil, fmt.Errorf("supervisor: a call of %d bytes, at most %d can be", len(body), MaxCall)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("supervisor: nothing was asked: %w", err)
	}
	reached := false // an attempt may have come to the platform
	out, err := retry(ctx, func() ([]Outcome, error) {
		data, err := c.once(ctx, http.MethodPost, body, &reached)
		if err != nil {
			return nil, err
		}
		var a Answer
		if err := decode(data, &a); err != nil {
			return nil, err
		}
		return a.Outcomes, a.check(reqs)
	})
	if err != nil && reached {
		return nil, fmt.Errorf("supervisor: %w: %w", ErrUnknown, err)
	}
	if err != nil {
		return nil, fmt.Errorf("supervisor: nothing was asked: %w", err)
	}
	return out, nil
}

// List asks until it has an answer.
func (c *Client) List(ctx context.Context) (*List, error) {
	var reached bool // of no interest: a list changes nothing
	l, err := retry(ctx, func() (*List, error) {
		data, err := c.once(ctx, http.MethodGet, nil, &reached)
		if err != nil {
			return nil, err
		}
		l := &List{}
		if err := decode(data, l); err != nil {
			return nil, err
		}
		return l, l.check()
	})
	if err != nil {
		return nil, fmt.Errorf("supervisor: list: %w", err)
	}
	return l, nil
}

// retry tries until it succeeds, the failure is a lasting one, or tries or ctx end. The error is the last failure.
func retry[T any](ctx context.Context, try func() (T, error)) (T, error) {
	b := backoff.NewExponentialBackOff() // jittered by half to both sides
	b.InitialInterval, b.MaxInterval = firstBackoff, mostBackoff
	var last error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := try()
		if err != nil && (last == nil || ctx.Err() == nil) {
			last = err // what an attempt says that ctx has cut off tells less than the one before
		}
		return v, err
	}, backoff.WithBackOff(b), backoff.WithMaxTries(mostTries), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return v, nil
	}
	var lasting *backoff.PermanentError
	if errors.As(last, &lasting) {
		last = lasting.Unwrap()
	}
	if ctx.Err() != nil && !errors.Is(last, ctx.Err()) {
		if last == nil {
			last = ctx.Err()
		} else {
			last = fmt.Errorf("%w, after %w", ctx.Err(), last)
		}
	}
	var zero T
	return zero, last
}

// once makes one attempt. It notes where the platform may have read a request that it may have carried out.
func (c *Client) once(ctx context.Context, method string, body []byte, reached *bool) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(ctx, method, c.base+UnitsPath, bytes.NewReader(body))
	if err != nil {
		return nil, backoff.Permanent(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		*reached = *reached || sent
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	code := resp.StatusCode
	if code >= 400 && code < 500 && code != http.StatusConflict && code != http.StatusRequestTimeout {
		// Not taken, and no repeat would fare better. What attempts before it did is another matter.
		return nil, backoff.Permanent(fmt.Errorf("%d: %s", code, said(data)))
	}
	*reached = true
	switch {
	case err != nil:
		return nil, err
	case len(data) > maxAnswer:
		return nil, fmt.Errorf("an answer of more than %d bytes", maxAnswer)
	case code != http.StatusOK && code != http.StatusConflict:
		return nil, fmt.Errorf("%d: %s", code, said(data))
	}
	return data, nil
}

// said is what a failed answer says, on one line.
func said(data []byte) string {
	var a Answer
	if json.Unmarshal(data, &a) == nil && a.Error != "" {
		data = []byte(a.Error)
	}
	return strings.Join(strings.Fields(fmt.Sprintf("%.*s", maxSaid, data)), " ")
}

// decode reads one JSON value and no more. Keys that are not known are left alone, as a newer platform may have them.
func decode(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

// check holds an answer against what was asked.
func (a *Answer) check(reqs []Request) error {
	if len(a.Outcomes) != len(reqs) {
		return fmt.Errorf("answer: %d outcomes of %d requests", len(a.Outcomes), len(reqs))
	}
	for i := range a.Outcomes {
		o, r := &a.Outcomes[i], &reqs[i]
		if o.ID != r.ID || o.Unit != r.Unit || o.Memory == 0 {
			return fmt.Errorf("answer: outcome %d is not of request %s", i, r.ID)
		}
		if o.Refused == "" && (o.Memory != r.Memory || o.Incarnation == 0) {
			return fmt.Errorf("answer: outcome %d has memory %d and incarnation %d", i, o.Memory, o.Incarnation)
		}
	}
	return nil
}

// check refuses a list that cannot be.
func (l *List) check() error {
	if l.Memory == 0 || l.Units == nil {
		return errors.New("list: has no memory or no units")
	}
	for i := range l.Units {
		u := &l.Units[i]
		if err := checkName(u.Name); err != nil {
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
		if err := u.Kind.check(); err != nil || u.Incarnation == 0 {
			return fmt.Errorf("list: %s has kind %.40q and incarnation %d", u.Name, u.Kind, u.Incarnation)
		}
	}
	return nil
}
