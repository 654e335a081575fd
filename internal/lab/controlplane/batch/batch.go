// Package batch plays many nights at a time. Each is played by itself: the result is the same with any number of workers.
package batch

import (
	"context"

	"golang.org/x/sync/errgroup"

	"milldeck/internal/lab/controlplane"
)

// Result is what many nights gave.
type Result struct {
	Name    string                 `json:"name"`
	Figures controlplane.Figures   `json:"figures"`
	Nights  []*controlplane.Result `json:"nights"`
	Harmful []controlplane.Rollout `json:"harmful,omitempty"`
	Healthy []controlplane.Rollout `json:"healthy,omitempty"`
}

// Run plays the nights of the seeds from first to last, and releases of harmful and of healthy versions on seeds from 0.
func Run(ctx context.Context, name string, first, last uint64, releases int, opt controlplane.Options, workers int) (*Result, error) {
	r := &Result{Name: name, Nights: make([]*controlplane.Result, last-first+1),
		Harmful: make([]controlplane.Rollout, releases), Healthy: make([]controlplane.Rollout, releases)}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(workers, 1))
	do := func(f func()) {
		g.Go(func() error {
			if ctx.Err() == nil {
				f()
			}
			return ctx.Err()
		})
	}
	for i := range r.Nights {
		do(func() { r.Nights[i] = controlplane.Run(first+uint64(i), opt) })
	}
	for i := range releases {
		do(func() { r.Harmful[i] = controlplane.Release(uint64(i), &controlplane.Harms[i%len(controlplane.Harms)]) })
		do(func() { r.Healthy[i] = controlplane.Release(uint64(i), nil) })
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	r.Figures = controlplane.Sum(r.Nights, r.Harmful, r.Healthy)
	return r, nil
}
