package registry

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"milldeck/internal/placement"
)

const (
	// HeartbeatTimeout is how long a watch may receive no data. After that time two heartbeats are missing, because the
	// connection or the replica is partitioned.
	HeartbeatTimeout = 4500 * time.Millisecond

	initialWatchLineBytes = 4096
	maxWatchLineBytes     = 32 << 20
)

// errHeartbeatTimeout ends a watch that has received no data for HeartbeatTimeout.
var errHeartbeatTimeout = errors.New("heartbeat timeout")

// WatchEndpoints watches the changes of one replica's endpoint list after a revision of an epoch, until ctx or the watch
// ends. It always returns an error. It calls handle with each event, and with nil for each heartbeat. Age is the maximum
// age of the replica's list at the start of the watch.
func (c *Client) WatchEndpoints(
	ctx context.Context, replica string, revision, epoch uint64, handle func(list *EndpointList, age time.Duration) error,
) error {
	return watchStream(ctx, c, replica, "instances", revision, epoch, handle)
}

// WatchPlacement watches the placement of one replica, as WatchEndpoints does the endpoint list. If the replica's version
// does not support placement, the error is a StatusError with status 404.
func (c *Client) WatchPlacement(
	ctx context.Context, replica string, revision, epoch uint64, handle func(list *placement.Update, age time.Duration) error,
) error {
	return watchStream(ctx, c, replica, "placement", revision, epoch, handle)
}

// watchStream watches a resource of one replica, and decodes the lines of the watch.
func watchStream[T any](
	ctx context.Context, client *Client, replica, resource string, revision, epoch uint64,
	handle func(update *T, age time.Duration) error,
) error {
	watchURL := fmt.Sprintf("http://%s/registry/%s?watch=1&after=%d&epoch=%d", replica, resource, revision, epoch)
	var age time.Duration
	onHeader := func(header http.Header) { age = replicaAge(header) }
	return client.streamLines(ctx, watchURL, onHeader, func(line []byte) error {
		if len(line) == 0 {
			return handle(nil, 0)
		}
		update := new(T)
		if err := json.Unmarshal(line, update); err != nil {
			return fmt.Errorf("watch of %s: %w", replica, err)
		}
		return handle(update, age)
	})
}

// replicaAge returns the age in the AgeHeader of a response. The age is 0 without the header, which other implementations
// of the platform's protocol do not send.
func replicaAge(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get(AgeHeader), 10, 64)
	if err != nil {
		return 0
	}
	return milliseconds(ms)
}

// streamLines calls handle with each line of a response until ctx or the response ends, the heartbeat times out, or handle
// fails. It always returns an error.
func (c *Client) streamLines(ctx context.Context, watchURL string, onHeader func(http.Header), handle func([]byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heartbeatTimer := time.AfterFunc(HeartbeatTimeout, func() { cancel(errHeartbeatTimeout) })
	defer heartbeatTimer.Stop()
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
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, initialWatchLineBytes), maxWatchLineBytes)
	for lines.Scan() {
		heartbeatTimer.Reset(HeartbeatTimeout)
		if err := handle(bytes.TrimSpace(lines.Bytes())); err != nil {
			return err
		}
	}
	return cmp.Or(context.Cause(ctx), lines.Err(), io.ErrUnexpectedEOF)
}
