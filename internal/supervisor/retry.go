package supervisor

import (
	"context"
	"errors"
	"fmt"

	"github.com/cenkalti/backoff/v5"
)

// retry makes attempts until one succeeds or fails permanently, maxAttempts is reached, or ctx ends. It returns the error of
// the last attempt, joined with the error of ctx if ctx has ended.
func retry[T any](ctx context.Context, attempt func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff() // its jitter is half of the delay in both directions
	policy.InitialInterval, policy.MaxInterval = initialBackoff, maxBackoff
	var lastErr error
	value, err := backoff.Retry(ctx, func() (T, error) {
		value, err := attempt()
		if err != nil && (lastErr == nil || ctx.Err() == nil || !errors.Is(err, ctx.Err())) {
			lastErr = err // an error from the end of ctx does not replace a more informative one
		}
		return value, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(maxAttempts), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return value, nil
	}
	var zero T
	return zero, retryError(ctx, lastErr)
}

// retryError returns the error of a call whose last attempt failed with lastErr, which is nil if no attempt was made.
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
