package registry

import (
	"context"
	"net/url"

	"milldeck/internal/disruption"
)

// ApplyLedgerOp applies an operation to the disruption ledger. The result has the permit of the operation, as it is after the
// operation. A requested permit may have to wait for its grant; poll it with Permit. A StatusError with status 409 has the
// reason of a rejection, one with status 404 says that the permit does not exist. The guard has to be the lease of the
// operation's owner, unless the owner is an operator.
func (c *Client) ApplyLedgerOp(ctx context.Context, options WriteOptions, op disruption.Op) (LedgerResult, error) {
	request := LedgerRequest{ID: options.ensureID(), Guard: options.Guard, Op: op}
	return post[LedgerResult](ctx, c, "/ledger/"+url.PathEscape(string(op.Kind)), request)
}

// LedgerView reads the ledger, with all units or only the unavailable ones. Fresh requests a linearizable read from the
// leader.
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

// RegisterSidecars registers new sidecars, renews the leases of registered ones, and deregisters those in
// request.Deregistered.
func (c *Client) RegisterSidecars(ctx context.Context, request SidecarRequest) (Result, error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	return post[Result](ctx, c, "/registry/sidecars", request)
}

// Sidecars lists the sidecars that the leader knows.
func (c *Client) Sidecars(ctx context.Context) ([]Sidecar, error) {
	return get[[]Sidecar](ctx, c, "/registry/sidecars")
}
