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
	attemptWait  = 4 * time.Second // for one call; the registry answers or gives up within 3 s
	firstBackoff = 50 * time.Millisecond
	mostBackoff  = 250 * time.Millisecond // an election takes about a second: most of it would be missed otherwise
	mostTries    = 100                    // of one call; ctx usually ends it sooner
	maxAnswer    = 64 << 20
	// Silence is two empty lines that did not come: the connection is cut off, or its replica is.
	Silence = 4500 * time.Millisecond
)

// StatusError is an answer that is no success and that no other replica would better.
type StatusError struct {
	Status int
	Text   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

// Client talks to a cluster: to one replica, and to another when that fails. It is safe for concurrent use.
type Client struct {
	replicas []string
	http     *http.Client
	at       atomic.Int64
}

// NewClient makes a client of the replicas at these HTTP addresses.
func NewClient(replicas []string) (*Client, error) {
	if len(replicas) == 0 {
		return nil, errors.New("no replicas")
	}
	for _, a := range replicas {
		if err := loopback("replica", a); err != nil {
			return nil, err
		}
	}
	c := &Client{replicas: replicas, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialWait}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}}}
	c.at.Store(int64(mrand.IntN(len(replicas))))
	return c, nil
}

// Close ends the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Replicas are the addresses it knows.
func (c *Client) Replicas() []string { return c.replicas }

// NewID names a write, so that its repeat is not done twice.
func NewID() string { return rand.Text() }

// call makes one call until an answer comes that counts, moving on from replica to replica. Each call may be
// repeated: writes carry an id.
func (c *Client) call(ctx context.Context, method, path string, in []byte, out any) error {
	backoff := firstBackoff
	var last error
	for range mostTries {
		n := c.at.Load()
		err := c.once(ctx, method, "http://"+c.replicas[int(n)%len(c.replicas)]+path, in, out)
		var status *StatusError
		switch {
		case err == nil, errors.As(err, &status) && status.Status != http.StatusServiceUnavailable:
			return err
		case ctx.Err() != nil:
			return errors.Join(last, ctx.Err())
		}
		last = err
		c.at.CompareAndSwap(n, n+1)
		select {
		case <-ctx.Done():
			return errors.Join(last, ctx.Err())
		case <-time.After(backoff/2 + mrand.N(backoff)):
		}
		backoff = min(2*backoff, mostBackoff)
	}
	return fmt.Errorf("no replica answers: %w", last)
}

func (c *Client) once(ctx context.Context, method, url string, in []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(in))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var said struct {
			Error string `json:"error"`
			Why   string `json:"why"`
		}
		if json.Unmarshal(data, &said) != nil || said.Error+said.Why == "" {
			said.Error = strings.TrimSpace(string(data))
		}
		return &StatusError{resp.StatusCode, said.Error + said.Why}
	}
	if raw, is := out.(*[]byte); is {
		*raw = data
		return nil
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, data, out)
}

// Write is what all writes carry.
type Write struct {
	ID    string  // "" takes a new one
	IfRev *uint64 // the revision that the entry must have; 0: it must not be there. nil: any
	Guard *Guard  // the duty under whose token the write counts, for Register and SetState; nil: none
}

func (w *Write) id() string {
	if w.ID == "" {
		w.ID = NewID()
	}
	return w.ID
}

// Register registers instances, all or none.
func (c *Client) Register(ctx context.Context, w Write, targets ...Instance) (Result, error) {
	var res Result
	in := map[string]any{"id": w.id(), "targets": targets}
	if w.IfRev != nil {
		in["if_rev"] = *w.IfRev
	}
	if w.Guard != nil {
		in["guard"] = w.Guard
	}
	return res, c.post(ctx, "/registry/instances", in, &res)
}

// Renew extends the leases of instances; those unknown have to be registered again.
func (c *Client) Renew(ctx context.Context, uids []string) (Renewal, error) {
	var res Renewal
	return res, c.post(ctx, "/registry/renew", map[string]any{"uids": uids}, &res)
}

// SetState sets an instance's state.
func (c *Client) SetState(ctx context.Context, w Write, uid, state string) (Result, error) {
	var res Result
	in := map[string]any{"id": w.id(), "uid": uid, "state": state}
	if w.IfRev != nil {
		in["if_rev"] = *w.IfRev
	}
	if w.Guard != nil {
		in["guard"] = w.Guard
	}
	return res, c.post(ctx, "/registry/state", in, &res)
}

// Deregister removes an instance.
func (c *Client) Deregister(ctx context.Context, w Write, uid string) (Result, error) {
	q := url.Values{"id": {w.id()}}
	if w.IfRev != nil {
		q.Set("if_rev", strconv.FormatUint(*w.IfRev, 10))
	}
	var res Result
	return res, c.call(ctx, http.MethodDelete, "/registry/instances/"+url.PathEscape(uid)+"?"+q.Encode(), nil, &res)
}

// Get reads one instance; fresh asks the leader for what no later write has changed.
func (c *Client) Get(ctx context.Context, uid string, fresh bool) (Instance, error) {
	path := "/registry/instances/" + url.PathEscape(uid)
	if fresh {
		path += "?fresh=1"
	}
	var i Instance
	return i, c.call(ctx, http.MethodGet, path, nil, &i)
}

// List reads the whole list.
func (c *Client) List(ctx context.Context, fresh bool) (List, error) {
	path := "/registry/instances"
	if fresh {
		path += "?fresh=1"
	}
	var l List
	return l, c.call(ctx, http.MethodGet, path, nil, &l)
}

// Suspects decides on what was held back: expire removes them, else they count as alive.
func (c *Client) Suspects(ctx context.Context, expire bool) (Result, error) {
	var res Result
	return res, c.post(ctx, "/registry/suspects", map[string]bool{"expire": expire}, &res)
}

// Members lists the replicas.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var out []Member
	return out, c.call(ctx, http.MethodGet, "/registry/members", nil, &out)
}

// AddMember takes a replica into the cluster; it has to run, with an empty folder.
func (c *Client) AddMember(ctx context.Context, m Member) ([]Member, error) {
	var out []Member
	return out, c.post(ctx, "/registry/members", m, &out)
}

// RemoveMember takes a replica out of the cluster.
func (c *Client) RemoveMember(ctx context.Context, http string) ([]Member, error) {
	var out []Member
	return out, c.call(ctx, "DELETE", "/registry/members?"+url.Values{"http": {http}}.Encode(), nil, &out)
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
	var res Result
	return res, c.call(ctx, http.MethodPost, "/registry/snapshot", data, &res)
}

// StatusOf asks one replica how it is.
func (c *Client) StatusOf(ctx context.Context, replica string) (Status, error) {
	var st Status
	return st, c.once(ctx, http.MethodGet, "http://"+replica+"/registry/status", nil, &st)
}

// errSilent is why a watch ends that says nothing.
var errSilent = errors.New("no line in time")

// maxLine bounds one line of a watch.
const maxLine = 32 << 20

// WatchReplica follows one replica's list after a revision of an epoch, until ctx or the watch ends, which is
// always an error. Each line is handed on; nil is an empty one. Age is how old the replica's list was at first.
func (c *Client) WatchReplica(ctx context.Context, replica string, rev, epoch uint64, line func(l *List, age time.Duration) error) error {
	return watchLines(ctx, c, replica, "instances", rev, epoch, line)
}

// follow reads a watch line by line until ctx, the watch or the replica's voice ends, which is always an error.
func (c *Client) follow(ctx context.Context, url string, begin func(http.Header), line func([]byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := time.AfterFunc(Silence, func() { cancel(errSilent) })
	defer guard.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode, resp.Status}
	}
	begin(resp.Header)
	in := bufio.NewScanner(resp.Body)
	in.Buffer(make([]byte, 0, 4096), maxLine)
	for in.Scan() {
		guard.Reset(Silence)
		if err := line(bytes.TrimSpace(in.Bytes())); err != nil {
			return err
		}
	}
	return cmp.Or(context.Cause(ctx), in.Err(), io.ErrUnexpectedEOF)
}
