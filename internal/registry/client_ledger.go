package registry

import (
	"context"
	"net/http"
	"net/url"

	"milldeck/internal/disruption"
)

// Ledger makes one operation of the ledger. A permit that it is about is in the result as it is after it: one that was
// asked for may have to wait, and is looked at again with Permit. A StatusError of 409 says why it is refused, one of
// 404 that there is no such permit. The write's guard has to be of the operation's owner, unless that is an operator.
func (c *Client) Ledger(ctx context.Context, w Write, op disruption.Op) (LedgerResult, error) {
	var res LedgerResult
	in := LedgerCall{ID: w.id(), Guard: w.Guard, Op: op}
	return res, c.post(ctx, "/ledger/"+url.PathEscape(string(op.Kind)), in, &res)
}

// LedgerView reads the ledger, with all units or those alone that count as out; fresh asks the leader for what no
// later write has changed.
func (c *Client) LedgerView(ctx context.Context, fresh, units bool) (disruption.View, error) {
	q := url.Values{}
	if fresh {
		q.Set("fresh", "1")
	}
	if units {
		q.Set("units", "1")
	}
	var v disruption.View
	return v, c.call(ctx, http.MethodGet, "/ledger?"+q.Encode(), nil, &v)
}

// Permit reads a permit, as the leader has it.
func (c *Client) Permit(ctx context.Context, id string) (disruption.Permit, error) {
	var p disruption.Permit
	return p, c.call(ctx, http.MethodGet, "/ledger/permits/"+url.PathEscape(id)+"?fresh=1", nil, &p)
}

// RegisterSidecars registers sidecars and renews their leases, in one call.
func (c *Client) RegisterSidecars(ctx context.Context, in SidecarCall) (Result, error) {
	if in.ID == "" {
		in.ID = NewID()
	}
	var res Result
	return res, c.post(ctx, "/registry/sidecars", in, &res)
}

// Sidecars lists the sidecars, as the leader knows them.
func (c *Client) Sidecars(ctx context.Context) ([]Sidecar, error) {
	var out []Sidecar
	return out, c.call(ctx, http.MethodGet, "/registry/sidecars", nil, &out)
}
