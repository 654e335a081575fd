package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"milldeck/internal/placement"
)

// SetPlacement sets entries and drops ids, all or none, under the write's guard, which has to be their owner's duty.
// WriterTimeMS is the writer's clock (Unix ms), by which it chose the entries' ends: a write whose clock is more than 5 s from
// the leader's is refused. The result's revision is that of the placement, which has the change.
func (c *Client) SetPlacement(ctx context.Context, options WriteOptions, writerTimeMS int64, set []placement.Directive, remove ...string) (Result, error) {
	var result Result
	return result, c.post(ctx, "/registry/placement", PlacementRequest{options.ensureID(), options.Guard, writerTimeMS, set, remove}, &result)
}

// RemovePlacement drops entries; one that is not there counts as dropped.
func (c *Client) RemovePlacement(ctx context.Context, options WriteOptions, ids ...string) (Result, error) {
	return c.SetPlacement(ctx, options, 0, nil, ids...)
}

// PlacementView reads the whole placement; fresh asks the leader for what no later write has changed.
func (c *Client) PlacementView(ctx context.Context, fresh bool) (placement.Update, error) {
	path := "/registry/placement"
	if fresh {
		path += "?fresh=1"
	}
	var list placement.Update
	return list, c.call(ctx, http.MethodGet, path, nil, &list)
}

// WatchPlacement follows one replica's placement after a revision of an epoch, until ctx or the watch ends, which is
// always an error: a StatusError of 404 from a replica that knows no placement. Each line is handed on; nil is an
// empty one. Age is how old the replica's state was at first.
func (c *Client) WatchPlacement(ctx context.Context, replica string, revision, epoch uint64, handle func(list *placement.Update, age time.Duration) error) error {
	return watchStream(ctx, c, replica, "placement", revision, epoch, handle)
}

// watchStream follows what a replica tells of one kind, line by line.
func watchStream[T any](ctx context.Context, client *Client, replica, resource string, revision, epoch uint64, handle func(update *T, age time.Duration) error) error {
	watchURL := fmt.Sprintf("http://%s/registry/%s?watch=1&after=%d&epoch=%d", replica, resource, revision, epoch)
	var age time.Duration
	onHeader := func(header http.Header) {
		ageMS, _ := strconv.ParseInt(header.Get(AgeHeader), 10, 64) // none from a stand-in that does not say
		age = time.Duration(ageMS) * time.Millisecond
	}
	return client.streamLines(ctx, watchURL, onHeader, func(data []byte) error {
		if len(data) == 0 {
			return handle(nil, 0)
		}
		update := new(T)
		if err := json.Unmarshal(data, update); err != nil {
			return fmt.Errorf("watch of %s: %w", replica, err)
		}
		return handle(update, age)
	})
}
