package supervisor

import (
	"context"
	"errors"
	"fmt"

	"github.com/cenkalti/backoff/v5"
)

// retry makes attempts until one succeeds or fails permanently, maxAttempts were made, or ctx ends. The error is that of
// the last attempt; where ctx has ended, both errors.
func retry[T any](ctx context.Context, attempt func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff() // with a jitter of half to both sides
	policy.InitialInterval, policy.MaxInterval = initialBackoff, maxBackoff
	var lastErr error
	value, err := backoff.Retry(ctx, func() (T, error) {
		value, err := attempt()
		if err != nil && (lastErr == nil || ctx.Err() == nil) {
			lastErr = err // the error of an attempt that ctx has ended says less than the one before
		}
		return value, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(maxAttempts), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return value, nil
	}
	var zero T
	return zero, retryError(ctx, lastErr)
}

// retryError is the error of a call whose last attempt failed by lastErr; nil: there was none.
func retryError(ctx context.Context, lastErr error) error {
	var permanent *backoff.PermanentError
	if errors.As(lastErr, &permanent) {
		lastErr = permanent.Unwrap()
	}
	switch {
	case ctx.Err() == nil || errors.Is(lastErr, ctx.Err()):
		return lastErr
	case lastErr == nil:
		return ctx.Err()
	}
	return fmt.Errorf("%w, after %w", ctx.Err(), lastErr)
}
