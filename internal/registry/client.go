package registry

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	attemptTimeout   = 4 * time.Second // for one call; the registry answers or gives up within 3 s
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 250 * time.Millisecond // an election takes about a second: most of it would be missed otherwise
	maxAttempts      = 100                    // of one call; ctx usually ends it sooner
	maxResponseBytes = 64 << 20
	// HeartbeatTimeout is two empty lines that did not come: the connection is cut off, or its replica is.
	HeartbeatTimeout = 4500 * time.Millisecond
)

// StatusError is an answer that is no success and that no other replica would better.
type StatusError struct {
	StatusCode int
	Message    string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.StatusCode, e.Message) }

// Client talks to a cluster: to one replica, and to another when that fails. It is safe for concurrent use.
type Client struct {
	replicas   []string
	httpClient *http.Client
	current    atomic.Int64
}

// NewClient makes a client of the replicas at these HTTP addresses.
func NewClient(replicas []string) (*Client, error) {
	if len(replicas) == 0 {
		return nil, errors.New("no replicas")
	}
	for _, address := range replicas {
		if err := checkLoopback("replica", address); err != nil {
			return nil, err
		}
	}
	client := &Client{replicas: replicas, httpClient: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}}}
	client.current.Store(int64(mrand.IntN(len(replicas))))
	return client, nil
}

// Close ends the client's idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Replicas are the addresses it knows.
func (c *Client) Replicas() []string { return c.replicas }

// NewID names a write, so that its repeat is not done twice.
func NewID() string { return rand.Text() }

// call makes one call until an answer comes that counts, moving on from replica to replica. Each call may be
// repeated: writes carry an id.
func (c *Client) call(ctx context.Context, method, path string, body []byte, response any) error {
	backoff := initialBackoff
	var lastErr error
	for range maxAttempts {
		current := c.current.Load()
		err := c.attempt(ctx, method, "http://"+c.replicas[int(current)%len(c.replicas)]+path, body, response)
		var statusErr *StatusError
		switch {
		case err == nil, errors.As(err, &statusErr) && statusErr.StatusCode != http.StatusServiceUnavailable:
			return err
		case ctx.Err() != nil:
			return errors.Join(lastErr, ctx.Err())
		}
		lastErr = err
		c.current.CompareAndSwap(current, current+1)
		select {
		case <-ctx.Done():
			return errors.Join(lastErr, ctx.Err())
		case <-time.After(backoff/2 + mrand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return fmt.Errorf("no replica answers: %w", lastErr)
}

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
		var failure struct {
			Error string `json:"error"`
			Why   string `json:"why"`
		}
		if json.Unmarshal(data, &failure) != nil || failure.Error+failure.Why == "" {
			failure.Error = strings.TrimSpace(string(data))
		}
		return &StatusError{httpResponse.StatusCode, failure.Error + failure.Why}
	}
	if raw, ok := response.(*[]byte); ok {
		*raw = data
		return nil
	}
	if response == nil {
		return nil
	}
	return json.Unmarshal(data, response)
}

func (c *Client) post(ctx context.Context, path string, request, response any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, data, response)
}

// WriteOptions is what all writes carry.
type WriteOptions struct {
	ID         string  // "" takes a new one
	IfRevision *uint64 // the revision that the entry must have; 0: it must not be there. nil: any
	Guard      *Guard  // the duty under whose token the write counts, for Register and SetState; nil: none
}

func (w *WriteOptions) ensureID() string {
	if w.ID == "" {
		w.ID = NewID()
	}
	return w.ID
}

// Register registers instances, all or none.
func (c *Client) Register(ctx context.Context, options WriteOptions, targets ...Instance) (Result, error) {
	var result Result
	body := map[string]any{"id": options.ensureID(), "targets": targets}
	if options.IfRevision != nil {
		body["if_rev"] = *options.IfRevision
	}
	if options.Guard != nil {
		body["guard"] = options.Guard
	}
	return result, c.post(ctx, "/registry/instances", body, &result)
}

// RenewInstances extends the leases of instances; those unknown have to be registered again.
func (c *Client) RenewInstances(ctx context.Context, uids []string) (InstanceRenewal, error) {
	var renewal InstanceRenewal
	return renewal, c.post(ctx, "/registry/renew", map[string]any{"uids": uids}, &renewal)
}

// SetState sets an instance's state.
func (c *Client) SetState(ctx context.Context, options WriteOptions, uid, state string) (Result, error) {
	var result Result
	body := map[string]any{"id": options.ensureID(), "uid": uid, "state": state}
	if options.IfRevision != nil {
		body["if_rev"] = *options.IfRevision
	}
	if options.Guard != nil {
		body["guard"] = options.Guard
	}
	return result, c.post(ctx, "/registry/state", body, &result)
}

// Deregister removes an instance.
func (c *Client) Deregister(ctx context.Context, options WriteOptions, uid string) (Result, error) {
	query := url.Values{"id": {options.ensureID()}}
	if options.IfRevision != nil {
		query.Set("if_rev", strconv.FormatUint(*options.IfRevision, 10))
	}
	var result Result
	return result, c.call(ctx, http.MethodDelete, "/registry/instances/"+url.PathEscape(uid)+"?"+query.Encode(), nil, &result)
}

// Get reads one instance; fresh asks the leader for what no later write has changed.
func (c *Client) Get(ctx context.Context, uid string, fresh bool) (Instance, error) {
	path := "/registry/instances/" + url.PathEscape(uid)
	if fresh {
		path += "?fresh=1"
	}
	var instance Instance
	return instance, c.call(ctx, http.MethodGet, path, nil, &instance)
}

// List reads the whole list.
func (c *Client) List(ctx context.Context, fresh bool) (EndpointList, error) {
	path := "/registry/instances"
	if fresh {
		path += "?fresh=1"
	}
	var list EndpointList
	return list, c.call(ctx, http.MethodGet, path, nil, &list)
}

// ResolveSuspects decides on what was held back: expire removes them, else they count as alive.
func (c *Client) ResolveSuspects(ctx context.Context, expire bool) (Result, error) {
	var result Result
	return result, c.post(ctx, "/registry/suspects", map[string]bool{"expire": expire}, &result)
}

// Members lists the replicas.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var members []Member
	return members, c.call(ctx, http.MethodGet, "/registry/members", nil, &members)
}

// AddMember takes a replica into the cluster; it has to run, with an empty folder.
func (c *Client) AddMember(ctx context.Context, member Member) ([]Member, error) {
	var members []Member
	return members, c.post(ctx, "/registry/members", member, &members)
}

// RemoveMember takes a replica out of the cluster.
func (c *Client) RemoveMember(ctx context.Context, httpAddr string) ([]Member, error) {
	var members []Member
	return members, c.call(ctx, "DELETE", "/registry/members?"+url.Values{"http": {httpAddr}}.Encode(), nil, &members)
}

// SaveSnapshot reads the leader's state as a snapshot, and checks it.
func (c *Client) SaveSnapshot(ctx context.Context) ([]byte, error) {
	var data []byte
	if err := c.call(ctx, http.MethodGet, "/registry/snapshot?fresh=1", nil, &data); err != nil {
		return nil, err
	}
	_, err := ReadSnapshot(bytes.NewReader(data))
	return data, err
}

// RestoreSnapshot puts a snapshot in place of the cluster's state, under a new epoch.
func (c *Client) RestoreSnapshot(ctx context.Context, data []byte) (Result, error) {
	var result Result
	return result, c.call(ctx, http.MethodPost, "/registry/snapshot", data, &result)
}

// ReplicaStatus asks one replica how it is.
func (c *Client) ReplicaStatus(ctx context.Context, replica string) (Status, error) {
	var status Status
	return status, c.attempt(ctx, http.MethodGet, "http://"+replica+"/registry/status", nil, &status)
}

// errHeartbeatTimeout is why a watch ends that says nothing.
var errHeartbeatTimeout = errors.New("no line in time")

// maxWatchLineBytes bounds one line of a watch.
const maxWatchLineBytes = 32 << 20

// WatchEndpoints follows one replica's list after a revision of an epoch, until ctx or the watch ends, which is
// always an error. Each line is handed on; nil is an empty one. Age is how old the replica's list was at first.
func (c *Client) WatchEndpoints(ctx context.Context, replica string, revision, epoch uint64, handle func(list *EndpointList, age time.Duration) error) error {
	return watchStream(ctx, c, replica, "instances", revision, epoch, handle)
}

// streamLines reads a watch line by line until ctx, the watch or the replica's voice ends, which is always an error.
func (c *Client) streamLines(ctx context.Context, watchURL string, onHeader func(http.Header), handle func([]byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(HeartbeatTimeout, func() { cancel(errHeartbeatTimeout) })
	defer silenceTimer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, watchURL, nil)
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &StatusError{response.StatusCode, response.Status}
	}
	onHeader(response.Header)
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxWatchLineBytes)
	for scanner.Scan() {
		silenceTimer.Reset(HeartbeatTimeout)
		if err := handle(bytes.TrimSpace(scanner.Bytes())); err != nil {
			return err
		}
	}
	return cmp.Or(context.Cause(ctx), scanner.Err(), io.ErrUnexpectedEOF)
}
