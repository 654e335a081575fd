package live

import "golang.org/x/sync/errgroup"

// maxParallelActions bounds the goroutines that change the parts of a fleet at the same time.
const maxParallelActions = 16

// forAll calls an action for each item, several at a time, and returns once all calls have ended. The error is that of the
// first call that failed.
func forAll[T any](items []T, action func(T) error) error {
	var group errgroup.Group
	group.SetLimit(maxParallelActions)
	for _, item := range items {
		group.Go(func() error { return action(item) })
	}
	return group.Wait()
}
