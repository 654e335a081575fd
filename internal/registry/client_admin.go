package registry

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
)

// Members lists the replicas of the cluster.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	return get[[]Member](ctx, c, "/registry/members")
}

// AddMember adds a replica to the cluster. The replica has to be running, with an empty data directory.
func (c *Client) AddMember(ctx context.Context, member Member) ([]Member, error) {
	return post[[]Member](ctx, c, "/registry/members", member)
}

// RemoveMember removes a replica from the cluster.
func (c *Client) RemoveMember(ctx context.Context, httpAddr string) ([]Member, error) {
	return remove[[]Member](ctx, c, "/registry/members?"+url.Values{"http": {httpAddr}}.Encode())
}

// SaveSnapshot reads the leader's state as a snapshot, and verifies the snapshot.
func (c *Client) SaveSnapshot(ctx context.Context) ([]byte, error) {
	var data []byte
	if err := c.call(ctx, http.MethodGet, "/registry/snapshot?fresh=1", nil, &data); err != nil {
		return nil, err
	}
	_, err := ReadSnapshot(bytes.NewReader(data))
	return data, err
}

// RestoreSnapshot replaces the cluster's state with a snapshot, under a new epoch.
func (c *Client) RestoreSnapshot(ctx context.Context, data []byte) (Result, error) {
	var result Result
	err := c.call(ctx, http.MethodPost, "/registry/snapshot", data, &result)
	return result, err
}

// ReplicaStatus reads the status of one replica, without retries.
func (c *Client) ReplicaStatus(ctx context.Context, replica string) (Status, error) {
	var status Status
	err := c.attempt(ctx, http.MethodGet, "http://"+replica+"/registry/status", nil, &status)
	return status, err
}
