package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

// UpdateLease applies an operation to a leader election lease, and returns the lease as it is after the operation.
func (c *Client) UpdateLease(
	ctx context.Context, kind leasetable.OperationKind, name string, request LeaseRequest,
) (leasetable.Lease, error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	return post[leasetable.Lease](ctx, c, "/duties/"+url.PathEscape(name)+"/"+string(kind), request)
}

// Lease reads a lease; the read is linearizable.
func (c *Client) Lease(ctx context.Context, name string) (leasetable.Lease, error) {
	return get[leasetable.Lease](ctx, c, withFresh("/duties/"+url.PathEscape(name), true))
}

// Leases lists all leases; the read is linearizable.
func (c *Client) Leases(ctx context.Context) ([]leasetable.Lease, error) {
	return get[[]leasetable.Lease](ctx, c, withFresh("/duties", true))
}

// RenewLeases renews leases that a candidate holds or waits for, and returns the names of those that it has lost.
func (c *Client) RenewLeases(ctx context.Context, candidate string, renewals []LeaseRenewal) ([]string, error) {
	response, err := post[renewLeasesResponse](ctx, c, "/duties/renew", renewLeasesRequest{renewals, candidate})
	return response.Lost, err
}

// WatchLease calls notify with the current state of a lease, and again after each change, until ctx ends. When the watch of
// a replica fails, WatchLease continues at the next replica. It does not repeat a state, and skips older states.
func (c *Client) WatchLease(ctx context.Context, name string, notify func(leasetable.Lease)) error {
	newestRevision, started := uint64(0), false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		address, failovers := c.replica()
		err := c.watchLeaseAt(ctx, address, name, func(lease leasetable.Lease) {
			backoff = initialBackoff
			if lease.Revision > newestRevision || !started {
				newestRevision, started = lease.Revision, true
				notify(lease)
			}
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.logger.Debug("lease watch failed", "lease", name, "replica", address, "error", err)
		c.nextReplica(failovers)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
	}
}

// watchLeaseAt watches a lease at one replica until ctx or the watch ends. It always returns an error.
func (c *Client) watchLeaseAt(ctx context.Context, replica, name string, notify func(leasetable.Lease)) error {
	watchURL := "http://" + replica + "/duties?watch=" + url.QueryEscape(name)
	return c.streamLines(ctx, watchURL, func(http.Header) {}, func(line []byte) error {
		if len(line) == 0 {
			return nil
		}
		var lease leasetable.Lease
		if err := json.Unmarshal(line, &lease); err != nil {
			return fmt.Errorf("watch of lease %s: %w", name, err)
		}
		notify(lease)
		return nil
	})
}
