package registry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milldeck/internal/sockets"
)

const (
	attemptTimeout   = 4 * time.Second // of one attempt; a replica responds or gives up within 3 s
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 250 * time.Millisecond // elections end within 2 s, see raft.go; longer backoffs would delay calls past that
	maxAttempts      = 100                    // of one call; the call's context usually ends sooner
	maxResponseBytes = 64 << 20

	maxIdleConnsPerReplica = 16
	idleConnTimeout        = 30 * time.Second
)

// StatusError is a response with an HTTP status other than 200. Unless the status is 503 Service Unavailable, other replicas
// would give the same response.
type StatusError struct {
	StatusCode int
	Message    string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.StatusCode, e.Message) }

// Client sends its calls to one replica of a cluster, and fails over to the next replica when an attempt fails. It
// is safe for concurrent use.
type Client struct {
	replicas   []string
	httpClient *http.Client
	failovers  atomic.Int64 // starts at random; modulo len(replicas), it is the index of the replica in use
	logger     *slog.Logger
}

// NewClient returns a client of the replicas at these HTTP addresses (loopback IP address and port).
func NewClient(replicas []string) (*Client, error) {
	if len(replicas) == 0 {
		return nil, errors.New("no replica addresses")
	}
	for _, address := range replicas {
		if err := CheckLoopback("replica", address); err != nil {
			return nil, err
		}
	}
	client := &Client{
		replicas: replicas,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerReplica, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		}},
		logger: componentLogger(),
	}
	client.failovers.Store(int64(mrand.IntN(len(replicas))))
	return client, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Replicas returns the HTTP addresses of the replicas.
func (c *Client) Replicas() []string { return c.replicas }

// NewID returns a random idempotency key for a write.
func NewID() string { return rand.Text() }

// replica returns the address of the replica in use, and the value of c.failovers that selects it.
func (c *Client) replica() (address string, failovers int64) {
	failovers = c.failovers.Load()
	return c.replicas[int(failovers)%len(c.replicas)], failovers
}

// nextReplica fails over from the replica that failovers selects, unless another call has already done so.
func (c *Client) nextReplica(failovers int64) { c.failovers.CompareAndSwap(failovers, failovers+1) }

// call attempts a call at one replica after another, until a replica responds with a status other than 503 Service
// Unavailable. Every call may be repeated, because writes carry an idempotency key.
func (c *Client) call(ctx context.Context, method, path string, body []byte, response any) error {
	backoff := initialBackoff
	var lastErr error
	for range maxAttempts {
		address, failovers := c.replica()
		err := c.attempt(ctx, method, "http://"+address+path, body, response)
		if err == nil || isPermanent(err) {
			return err
		}
		if lastErr == nil || ctx.Err() == nil || !errors.Is(err, ctx.Err()) {
			lastErr = err // the end of ctx does not replace the error of an earlier attempt
		}
		if ctx.Err() != nil {
			return endedCallError(ctx, lastErr)
		}
		c.nextReplica(failovers)
		select {
		case <-ctx.Done():
			return endedCallError(ctx, lastErr)
		case <-time.After(backoff/2 + mrand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return fmt.Errorf("no replica answers: %w", lastErr)
}

// endedCallError returns the error of a call whose context has ended. It names why the last attempt failed.
func endedCallError(ctx context.Context, lastErr error) error {
	if errors.Is(lastErr, ctx.Err()) {
		return lastErr
	}
	return fmt.Errorf("%w, after %w", ctx.Err(), lastErr)
}

// isPermanent reports whether an error is a response that another replica would give as well.
func isPermanent(err error) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.StatusCode != http.StatusServiceUnavailable
}

// attempt makes one attempt of a call. It decodes the JSON body into response, stores the undecoded body if response is a
// *[]byte, and discards it if response is nil.
func (c *Client) attempt(ctx context.Context, method, requestURL string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var dialError sockets.DialError
	request, err := http.NewRequestWithContext(dialError.Trace(ctx), method, requestURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpResponse, err := c.httpClient.Do(request)
	if err != nil {
		return dialError.CauseOf(err)
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return newStatusError(httpResponse.StatusCode, data)
	}
	switch response := response.(type) {
	case nil:
		return nil
	case *[]byte:
		*response = data
		return nil
	default:
		return json.Unmarshal(data, response)
	}
}

// newStatusError returns the error for a response. The body has either an error text or, if it is the result of a write
// that was not applied, a reason.
func newStatusError(statusCode int, data []byte) *StatusError {
	var failure struct {
		Error  string `json:"error"`
		Reason string `json:"why"`
	}
	if json.Unmarshal(data, &failure) != nil || failure.Error+failure.Reason == "" {
		failure.Error = strings.TrimSpace(string(data))
	}
	return &StatusError{statusCode, failure.Error + failure.Reason}
}

// get makes a GET call and decodes the response.
func get[T any](ctx context.Context, client *Client, path string) (T, error) {
	var response T
	err := client.call(ctx, http.MethodGet, path, nil, &response)
	return response, err
}

// post makes a POST call with a JSON body and decodes the response.
func post[T any](ctx context.Context, client *Client, path string, request any) (T, error) {
	var response T
	body, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	err = client.call(ctx, http.MethodPost, path, body, &response)
	return response, err
}

// remove makes a DELETE call and decodes the response.
func remove[T any](ctx context.Context, client *Client, path string) (T, error) {
	var response T
	err := client.call(ctx, http.MethodDelete, path, nil, &response)
	return response, err
}

// withFresh adds the query parameter that requests a linearizable read.
func withFresh(path string, fresh bool) string {
	if fresh {
		return path + "?fresh=1"
	}
	return path
}

// WriteOptions are the options of a write.
type WriteOptions struct {
	ID string // idempotency key; "": a random one
	// IfRevision is the revision that the instance must have; nil: any. With 0, Register requires that the instance does
	// not exist, and other writes accept any revision.
	IfRevision *uint64
	Guard      *Guard // lease whose token must be valid; nil: none
}

func (w *WriteOptions) ensureID() string {
	if w.ID == "" {
		w.ID = NewID()
	}
	return w.ID
}

// Register registers instances, all or none.
func (c *Client) Register(ctx context.Context, options WriteOptions, instances ...Instance) (Result, error) {
	return post[Result](ctx, c, "/registry/instances", registerRequest{
		Guard: options.Guard, ID: options.ensureID(), IfRevision: options.IfRevision, Instances: instances,
	})
}

// RenewInstances sends a heartbeat, which renews the leases of instances. Unknown instances have to be registered again.
func (c *Client) RenewInstances(ctx context.Context, uids []string) (InstanceRenewal, error) {
	return post[InstanceRenewal](ctx, c, "/registry/renew", renewRequest{uids})
}

// SetState sets the state of an instance, InstanceReady or InstanceTerminating.
func (c *Client) SetState(ctx context.Context, options WriteOptions, uid, state string) (Result, error) {
	return post[Result](ctx, c, "/registry/state", setStateRequest{
		Guard: options.Guard, ID: options.ensureID(), IfRevision: options.IfRevision, State: state, UID: uid,
	})
}

// Deregister removes an instance.
func (c *Client) Deregister(ctx context.Context, options WriteOptions, uid string) (Result, error) {
	query := url.Values{"id": {options.ensureID()}}
	if options.IfRevision != nil {
		query.Set("if_rev", strconv.FormatUint(*options.IfRevision, 10))
	}
	return remove[Result](ctx, c, "/registry/instances/"+url.PathEscape(uid)+"?"+query.Encode())
}

// Get reads one instance. Fresh requests a linearizable read from the leader.
func (c *Client) Get(ctx context.Context, uid string, fresh bool) (Instance, error) {
	return get[Instance](ctx, c, withFresh("/registry/instances/"+url.PathEscape(uid), fresh))
}

// List reads the endpoint list. Fresh requests a linearizable read from the leader.
func (c *Client) List(ctx context.Context, fresh bool) (EndpointList, error) {
	return get[EndpointList](ctx, c, withFresh("/registry/instances", fresh))
}

// ResolveSuspects expires all suspects (instances whose expiry is held back), or clears them, so that they count as alive.
func (c *Client) ResolveSuspects(ctx context.Context, expire bool) (Result, error) {
	return post[Result](ctx, c, "/registry/suspects", suspectsRequest{expire})
}
