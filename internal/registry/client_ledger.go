package registry

import (
	"context"
	"net/url"

	"milldeck/internal/disruption"
)

// ApplyLedgerOp applies an operation to the disruption ledger. The result has the permit that it concerns, as it is
// afterwards: a requested one may have to wait, and Permit polls it. A StatusError of 409 says why the operation was
// rejected, one of 404 that the permit does not exist. The guard has to be the lease of the operation's owner, unless
// that is an operator.
func (c *Client) ApplyLedgerOp(ctx context.Context, options WriteOptions, op disruption.Op) (LedgerResult, error) {
	request := LedgerRequest{ID: options.ensureID(), Guard: options.Guard, Op: op}
	return post[LedgerResult](ctx, c, "/ledger/"+url.PathEscape(string(op.Kind)), request)
}

// LedgerView reads the ledger, with all units or only those that count as out. Fresh makes it a linearizable read.
func (c *Client) LedgerView(ctx context.Context, fresh, units bool) (disruption.View, error) {
	query := url.Values{}
	if fresh {
		query.Set("fresh", "1")
	}
	if units {
		query.Set("units", "1")
	}
	return get[disruption.View](ctx, c, "/ledger?"+query.Encode())
}

// Permit reads a permit; the read is linearizable.
func (c *Client) Permit(ctx context.Context, id string) (disruption.Permit, error) {
	return get[disruption.Permit](ctx, c, withFresh("/ledger/permits/"+url.PathEscape(id), true))
}

// RegisterSidecars registers sidecars and renews the leases of known ones.
func (c *Client) RegisterSidecars(ctx context.Context, request SidecarRequest) (Result, error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	return post[Result](ctx, c, "/registry/sidecars", request)
}

// Sidecars lists the sidecars, as the leader knows them.
func (c *Client) Sidecars(ctx context.Context) ([]Sidecar, error) {
	return get[[]Sidecar](ctx, c, "/registry/sidecars")
}
