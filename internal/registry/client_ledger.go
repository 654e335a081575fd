package registry

import (
	"context"
	"net/http"
	"net/url"

	"milldeck/internal/disruption"
)

// ApplyLedgerOp makes one operation of the ledger. A permit that it is about is in the result as it is after it: one that was
// asked for may have to wait, and is looked at again with Permit. A StatusError of 409 says why it is refused, one of
// 404 that there is no such permit. The write's guard has to be of the operation's owner, unless that is an operator.
func (c *Client) ApplyLedgerOp(ctx context.Context, options WriteOptions, op disruption.Op) (LedgerResult, error) {
	var result LedgerResult
	request := LedgerRequest{ID: options.ensureID(), Guard: options.Guard, Op: op}
	return result, c.post(ctx, "/ledger/"+url.PathEscape(string(op.Kind)), request, &result)
}

// LedgerView reads the ledger, with all units or those alone that count as out; fresh asks the leader for what no
// later write has changed.
func (c *Client) LedgerView(ctx context.Context, fresh, units bool) (disruption.View, error) {
	query := url.Values{}
	if fresh {
		query.Set("fresh", "1")
	}
	if units {
		query.Set("units", "1")
	}
	var view disruption.View
	return view, c.call(ctx, http.MethodGet, "/ledger?"+query.Encode(), nil, &view)
}

// Permit reads a permit, as the leader has it.
func (c *Client) Permit(ctx context.Context, id string) (disruption.Permit, error) {
	var permit disruption.Permit
	return permit, c.call(ctx, http.MethodGet, "/ledger/permits/"+url.PathEscape(id)+"?fresh=1", nil, &permit)
}

// RegisterSidecars registers sidecars and renews their leases, in one call.
func (c *Client) RegisterSidecars(ctx context.Context, request SidecarRequest) (Result, error) {
	if request.ID == "" {
		request.ID = NewID()
	}
	var result Result
	return result, c.post(ctx, "/registry/sidecars", request, &result)
}

// Sidecars lists the sidecars, as the leader knows them.
func (c *Client) Sidecars(ctx context.Context) ([]Sidecar, error) {
	var sidecars []Sidecar
	return sidecars, c.call(ctx, http.MethodGet, "/registry/sidecars", nil, &sidecars)
}
