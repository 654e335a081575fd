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
// AtMS is the writer's clock (Unix ms), by which it chose the entries' ends: a write whose clock is more than 5 s from
// the leader's is refused. The result's revision is that of the placement, which has the change.
func (c *Client) SetPlacement(ctx context.Context, w Write, atMS int64, set []placement.Directive, drop ...string) (Result, error) {
	var res Result
	return res, c.post(ctx, "/registry/placement", PlacementChange{w.id(), w.Guard, atMS, set, drop}, &res)
}

// DropPlacement drops entries; one that is not there counts as dropped.
func (c *Client) DropPlacement(ctx context.Context, w Write, ids ...string) (Result, error) {
	return c.SetPlacement(ctx, w, 0, nil, ids...)
}

// PlacementView reads the whole placement; fresh asks the leader for what no later write has changed.
func (c *Client) PlacementView(ctx context.Context, fresh bool) (placement.Update, error) {
	path := "/registry/placement"
	if fresh {
		path += "?fresh=1"
	}
	var l placement.Update
	return l, c.call(ctx, http.MethodGet, path, nil, &l)
}

// WatchPlacement follows one replica's placement after a revision of an epoch, until ctx or the watch ends, which is
// always an error: a StatusError of 404 from a replica that knows no placement. Each line is handed on; nil is an
// empty one. Age is how old the replica's state was at first.
func (c *Client) WatchPlacement(ctx context.Context, replica string, rev, epoch uint64, line func(l *placement.Update, age time.Duration) error) error {
	return watchLines(ctx, c, replica, "placement", rev, epoch, line)
}

// watchLines follows what a replica tells of one kind, line by line.
func watchLines[T any](ctx context.Context, c *Client, replica, of string, rev, epoch uint64, line func(l *T, age time.Duration) error) error {
	url := fmt.Sprintf("http://%s/registry/%s?watch=1&after=%d&epoch=%d", replica, of, rev, epoch)
	var age time.Duration
	begin := func(head http.Header) {
		ms, _ := strconv.ParseInt(head.Get(AgeHeader), 10, 64) // none from a stand-in that does not say
		age = time.Duration(ms) * time.Millisecond
	}
	return c.follow(ctx, url, begin, func(data []byte) error {
		if len(data) == 0 {
			return line(nil, 0)
		}
		l := new(T)
		if err := json.Unmarshal(data, l); err != nil {
			return fmt.Errorf("watch of %s: %w", replica, err)
		}
		return line(l, age)
	})
}
