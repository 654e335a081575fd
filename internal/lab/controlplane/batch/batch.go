// Package batch runs many simulations of the control plane in parallel and summarizes them. Each simulation is independent
// of the others: the result is the same with any number of workers.
package batch

import (
	"context"

	"golang.org/x/sync/errgroup"

	"milldeck/internal/lab/controlplane"
)

// Result holds the simulations and rollouts of a batch, in the order of their seeds, and their summary.
type Result struct {
	Name              string                       `json:"name"` // name of the experiment
	Summary           controlplane.Summary         `json:"figures"`
	Simulations       []*controlplane.Result       `json:"nights"`
	RegressedRollouts []controlplane.RolloutResult `json:"harmful,omitempty"`
	HealthyRollouts   []controlplane.RolloutResult `json:"healthy,omitempty"`
}

// Run runs the simulations of the seeds from firstSeed to lastSeed. It also runs the given number of rollouts of versions
// with a regression, and as many rollouts of healthy versions, with seeds from 0. At most the given number of workers run
// at a time.
// If ctx is cancelled, simulations that have begun run to their end, no other begins, and Run returns the error of ctx.
func Run(ctx context.Context, name string, firstSeed, lastSeed uint64, rollouts int, options controlplane.Options, workers int) (*Result, error) {
	result := &Result{
		Name:              name,
		Simulations:       make([]*controlplane.Result, lastSeed-firstSeed+1),
		RegressedRollouts: make([]controlplane.RolloutResult, rollouts),
		HealthyRollouts:   make([]controlplane.RolloutResult, rollouts),
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(workers, 1))
	start := func(simulate func()) {
		group.Go(func() error {
			if ctx.Err() == nil {
				simulate()
			}
			return ctx.Err()
		})
	}
	for index := range result.Simulations {
		start(func() { result.Simulations[index] = controlplane.Run(firstSeed+uint64(index), options) })
	}
	for index := range rollouts {
		seed := uint64(index)
		regression := &controlplane.Regressions[index%len(controlplane.Regressions)]
		start(func() { result.RegressedRollouts[index] = controlplane.RunRollout(seed, regression) })
		start(func() { result.HealthyRollouts[index] = controlplane.RunRollout(seed, nil) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	result.Summary = controlplane.Summarize(result.Simulations, result.RegressedRollouts, result.HealthyRollouts)
	return result, nil
}
