package registry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"milldeck/internal/window"
	"milldeck/internal/window/contract"
)

// WriteWindow makes one operation about windows or contracts; the controller's need the write's guard to be the duty
// window.Duty and its time in at, others take none. What becomes of it is the outcome, and why; an error says that it is
// not known.
func (c *Client) WriteWindow(ctx context.Context, w Write, op window.Op, at window.Stamp) (window.Outcome, string, uint64, error) {
	var res Result
	in := WindowWrite{ID: w.id(), Guard: w.Guard, AtMS: at.ControllerMS, OffMS: at.UncertaintyMS, Op: op}
	err := c.post(ctx, "/windows/"+url.PathEscape(string(op.Kind)), in, &res)
	var status *StatusError
	if errors.As(err, &status) {
		for outcome, code := range windowStatus {
			if code == status.Status {
				return outcome, status.Text, 0, nil
			}
		}
	}
	return window.Outcome(res.Outcome), res.Why, res.Rev, err
}

// SetContract brings a contract into force.
func (c *Client) SetContract(ctx context.Context, w Write, one *contract.Contract) (window.Outcome, string, error) {
	outcome, why, _, err := c.WriteWindow(ctx, w, window.Op{Kind: window.OpContract, Contract: one}, window.Stamp{})
	return outcome, why, err
}

// WithdrawContract ends a tenant's contract: no server of that tenant's is approved to be taken out from then on.
func (c *Client) WithdrawContract(ctx context.Context, w Write, tenant string) (window.Outcome, string, error) {
	outcome, why, _, err := c.WriteWindow(ctx, w, window.Op{Kind: window.OpWithdraw, Tenant: tenant}, window.Stamp{})
	return outcome, why, err
}

// Windows reads all windows and contracts, as the leader has them.
func (c *Client) Windows(ctx context.Context) (WindowsView, error) {
	var v WindowsView
	return v, c.call(ctx, http.MethodGet, "/windows?fresh=1", nil, &v)
}

// Window reads a window, as the leader has it; a StatusError of 404 says that there is none.
func (c *Client) Window(ctx context.Context, name string) (*window.Window, error) {
	v := &window.Window{}
	return v, c.call(ctx, http.MethodGet, "/windows/"+url.PathEscape(name)+"?fresh=1", nil, v)
}

// LookAtWindows reads what the controller decides by, as the leader has it. Where nothing has changed since the mark of an
// earlier look, only the revision is told; 0: all is.
func (c *Client) LookAtWindows(ctx context.Context, mark uint64) (WindowLook, error) {
	var v WindowLook
	return v, c.call(ctx, http.MethodGet, "/windows?fresh=1&look="+strconv.FormatUint(mark, 10), nil, &v)
}
