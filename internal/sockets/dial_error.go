package sockets

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
)

// DialError keeps the error of the last connection that an HTTP request could not open. If the request's context ends before
// net/http has delivered that error, net/http reports only the end of the context.
type DialError struct{ last atomic.Pointer[error] }

// Trace returns a context for one HTTP request, whose failed connections are recorded.
func (d *DialError) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{ConnectDone: func(_, _ string, err error) {
		if err != nil && !errors.Is(err, context.Canceled) { // a dial that the end of the context has cancelled has no cause
			d.last.Store(&err)
		}
	}})
}

// CauseOf returns the recorded error if err, the error of the request, is the end of its context; otherwise it returns err.
func (d *DialError) CauseOf(err error) error {
	dialErr := d.last.Load()
	if dialErr != nil && (errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)) {
		return *dialErr
	}
	return err
}
