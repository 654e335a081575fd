package registry

import (
	"context"
	"fmt"
	"net/url"

	"milldeck/internal/maintenance"
	"milldeck/internal/placement"
	"milldeck/internal/release"
)

// SetPlacement sets directives and removes those with the given ids, all or none. The guard has to be the lease of the
// directives' owner. WriterTimeMS is the time (Unix ms) by the writer's clock, on which the expiry of the directives is
// based: the leader rejects the write if its own clock differs by more than 5 s. The result's revision is that of the
// placement.
func (c *Client) SetPlacement(
	ctx context.Context, options WriteOptions, writerTimeMS int64, set []placement.Directive, remove ...string,
) (Result, error) {
	return post[Result](ctx, c, "/registry/placement", PlacementRequest{
		ID: options.ensureID(), Guard: options.Guard, WriterTimeMS: writerTimeMS, Set: set, Remove: remove,
	})
}

// RemovePlacement removes directives. A directive that does not exist counts as removed.
func (c *Client) RemovePlacement(ctx context.Context, options WriteOptions, ids ...string) (Result, error) {
	return c.SetPlacement(ctx, options, 0, nil, ids...)
}

// PlacementView reads the complete placement. Fresh requests a linearizable read from the leader.
func (c *Client) PlacementView(ctx context.Context, fresh bool) (placement.Update, error) {
	return get[placement.Update](ctx, c, withFresh("/registry/placement", fresh))
}

// WriteRelease applies an operation to a release. A step of the release controller requires the release's lease as guard.
func (c *Client) WriteRelease(ctx context.Context, options WriteOptions, name string, op release.Operation) (Result, error) {
	if op.Start == nil {
		op.Name = name
	}
	return post[Result](ctx, c, "/releases/"+url.PathEscape(name), ReleaseRequest{options.ensureID(), options.Guard, op})
}

// Release reads a release. Brief omits the units and the plan; fresh requests a linearizable read from the leader.
func (c *Client) Release(ctx context.Context, name string, brief, fresh bool) (ReleaseView, error) {
	query := url.Values{}
	if brief {
		query.Set("brief", "1")
	}
	if fresh {
		query.Set("fresh", "1")
	}
	return get[ReleaseView](ctx, c, "/releases/"+url.PathEscape(name)+"?"+query.Encode())
}

// Releases reads all releases, without their units and plans.
func (c *Client) Releases(ctx context.Context) ([]ReleaseView, error) {
	return get[[]ReleaseView](ctx, c, "/releases")
}

// Windows reads the contracts and maintenance windows, and the other state that their controller reads. Fresh requests a
// linearizable read from the leader.
func (c *Client) Windows(ctx context.Context, fresh bool) (*WindowsView, error) {
	view, err := get[WindowsView](ctx, c, withFresh("/windows", fresh))
	if err != nil {
		return nil, fmt.Errorf("windows: %w", err)
	}
	return &view, nil
}

// WriteWindow applies an operation to contracts and maintenance windows. A step of the controller requires the controller's
// lease as guard, and a Timestamp by the controller's clock. An operation of an operator has the zero Timestamp.
func (c *Client) WriteWindow(
	ctx context.Context, options WriteOptions, at maintenance.Timestamp, op maintenance.Operation,
) (Result, error) {
	return post[Result](ctx, c, "/windows", WindowRequest{
		ID: options.ensureID(), Guard: options.Guard, WriterTimeMS: at.ControllerMS, UncertaintyMS: at.UncertaintyMS, Op: op,
	})
}
