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
)

const (
	attemptTimeout   = 4 * time.Second // of one attempt; a replica answers or gives up within 3 s
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 250 * time.Millisecond // an election takes about a second: with longer backoffs a call would outlast it
	maxAttempts      = 100                    // of one call; its context usually ends sooner
	maxResponseBytes = 64 << 20

	maxIdleConnsPerReplica = 16
	idleConnTimeout        = 30 * time.Second
)

// StatusError is an answer with an HTTP status other than 200, which another replica would give as well.
type StatusError struct {
	StatusCode int
	Message    string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.StatusCode, e.Message) }

// Client calls a cluster: one replica, and the next when that fails. It is safe for concurrent use.
type Client struct {
	replicas   []string
	httpClient *http.Client
	failovers  atomic.Int64 // counts replicas that have failed: its remainder is the index of the one in use
	logger     *slog.Logger
}

// NewClient makes a client of the replicas at these HTTP addresses (IP address and port, loopback).
func NewClient(replicas []string) (*Client, error) {
	if len(replicas) == 0 {
		return nil, errors.New("no replicas")
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

// Replicas are the addresses that the client was made with.
func (c *Client) Replicas() []string { return c.replicas }

// NewID draws an idempotency key for a write.
func NewID() string { return rand.Text() }

// replica is the address in use, and the value of failovers that goes with it.
func (c *Client) replica() (address string, failovers int64) {
	failovers = c.failovers.Load()
	return c.replicas[int(failovers)%len(c.replicas)], failovers
}

// nextReplica moves on from the replica that failovers stands for, unless another call has done so.
func (c *Client) nextReplica(failovers int64) { c.failovers.CompareAndSwap(failovers, failovers+1) }

// call retries a call, at one replica after the other, until one answers other than 503 Service Unavailable. Every call
// may be repeated: writes carry an idempotency key.
func (c *Client) call(ctx context.Context, method, path string, body []byte, response any) error {
	backoff := initialBackoff
	var lastErr error
	for range maxAttempts {
		address, failovers := c.replica()
		err := c.attempt(ctx, method, "http://"+address+path, body, response)
		if err == nil || isPermanent(err) {
			return err
		}
		if ctx.Err() != nil {
			return errors.Join(lastErr, ctx.Err())
		}
		lastErr = err
		c.nextReplica(failovers)
		select {
		case <-ctx.Done():
			return errors.Join(lastErr, ctx.Err())
		case <-time.After(backoff/2 + mrand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return fmt.Errorf("no replica answers: %w", lastErr)
}

// isPermanent reports whether an error is an answer that another replica would give as well.
func isPermanent(err error) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && statusErr.StatusCode != http.StatusServiceUnavailable
}

// attempt makes one attempt of a call. Response is what the JSON of the answer is decoded into, a *[]byte for the answer
// as it is, or nil.
func (c *Client) attempt(ctx context.Context, method, requestURL string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	httpResponse, err := c.httpClient.Do(request)
	if err != nil {
		return err
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

// newStatusError makes an error of an answer, which has either the text of an error or, as the result of a write that was
// not applied, a reason.
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

// get makes a GET call and decodes its answer.
func get[T any](ctx context.Context, client *Client, path string) (T, error) {
	var response T
	err := client.call(ctx, http.MethodGet, path, nil, &response)
	return response, err
}

// post makes a POST call with a JSON body and decodes its answer.
func post[T any](ctx context.Context, client *Client, path string, request any) (T, error) {
	var response T
	body, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	err = client.call(ctx, http.MethodPost, path, body, &response)
	return response, err
}

// remove makes a DELETE call and decodes its answer.
func remove[T any](ctx context.Context, client *Client, path string) (T, error) {
	var response T
	err := client.call(ctx, http.MethodDelete, path, nil, &response)
	return response, err
}

// withFresh adds the query that asks for a linearizable read.
func withFresh(path string, fresh bool) string {
	if fresh {
		return path + "?fresh=1"
	}
	return path
}

// WriteOptions are the options of a write.
type WriteOptions struct {
	ID         string  // idempotency key; "": one is drawn
	IfRevision *uint64 // revision that the entry must have; 0: it must not exist; nil: any
	Guard      *Guard  // lease whose token must be valid; nil: none
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

// RenewInstances sends the heartbeat of instances: it renews their leases. The unknown ones have to be registered again.
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

// Get reads one instance. Fresh makes it a linearizable read, at the leader.
func (c *Client) Get(ctx context.Context, uid string, fresh bool) (Instance, error) {
	return get[Instance](ctx, c, withFresh("/registry/instances/"+url.PathEscape(uid), fresh))
}

// List reads the endpoint list. Fresh makes it a linearizable read, at the leader.
func (c *Client) List(ctx context.Context, fresh bool) (EndpointList, error) {
	return get[EndpointList](ctx, c, withFresh("/registry/instances", fresh))
}

// ResolveSuspects expires the instances whose expiry is held back, or clears them: they count as alive.
func (c *Client) ResolveSuspects(ctx context.Context, expire bool) (Result, error) {
	return post[Result](ctx, c, "/registry/suspects", suspectsRequest{expire})
}
