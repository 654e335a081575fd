// Package batch plays many nights at a time. Each is played by itself: the result is the same with any number of workers.
package batch

import (
	"context"

	"golang.org/x/sync/errgroup"

	"milldeck/internal/lab/controlplane"
)

// Result is what many nights gave.
type Result struct {
	Name              string                       `json:"name"`
	Summary           controlplane.Summary         `json:"figures"`
	Simulations       []*controlplane.Result       `json:"nights"`
	RegressedRollouts []controlplane.RolloutResult `json:"harmful,omitempty"`
	HealthyRollouts   []controlplane.RolloutResult `json:"healthy,omitempty"`
}

// Run plays the nights of the seeds from first to last, and releases of harmful and of healthy versions on seeds from 0.
func Run(ctx context.Context, name string, firstSeed, lastSeed uint64, rollouts int, options controlplane.Options, workers int) (*Result, error) {
	result := &Result{Name: name, Simulations: make([]*controlplane.Result, lastSeed-firstSeed+1),
		RegressedRollouts: make([]controlplane.RolloutResult, rollouts), HealthyRollouts: make([]controlplane.RolloutResult, rollouts)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(workers, 1))
	start := func(play func()) {
		group.Go(func() error {
			if ctx.Err() == nil {
				play()
			}
			return ctx.Err()
		})
	}
	for index := range result.Simulations {
		start(func() { result.Simulations[index] = controlplane.Run(firstSeed+uint64(index), options) })
	}
	for index := range rollouts {
		start(func() {
			result.RegressedRollouts[index] = controlplane.RunRollout(uint64(index), &controlplane.Regressions[index%len(controlplane.Regressions)])
		})
		start(func() { result.HealthyRollouts[index] = controlplane.RunRollout(uint64(index), nil) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	result.Summary = controlplane.Summarize(result.Simulations, result.RegressedRollouts, result.HealthyRollouts)
	return result, nil
}
