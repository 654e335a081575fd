// Package batch plays many nights at a time. Each is played by itself: the result is the same with any number of workers.
package batch

import (
	"context"

	"golang.org/x/sync/errgroup"

	"milldeck/internal/lab/night"
)

// Result is what many nights gave.
type Result struct {
	Name    string          `json:"name"`
	Figures night.Figures   `json:"figures"`
	Nights  []*night.Result `json:"nights"`
	Harmful []night.Rollout `json:"harmful,omitempty"`
	Healthy []night.Rollout `json:"healthy,omitempty"`
}

// Run plays the nights of the seeds from first to last, and releases of harmful and of healthy versions on seeds from 0.
func Run(ctx context.Context, name string, first, last uint64, releases int, opt night.Options, workers int) (*Result, error) {
	r := &Result{Name: name, Nights: make([]*night.Result, last-first+1),
		Harmful: make([]night.Rollout, releases), Healthy: make([]night.Rollout, releases)}
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
		do(func() { r.Nights[i] = night.Run(first+uint64(i), opt) })
	}
	for i := range releases {
		do(func() { r.Harmful[i] = night.Release(uint64(i), &night.Harms[i%len(night.Harms)]) })
		do(func() { r.Healthy[i] = night.Release(uint64(i), nil) })
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	r.Figures = night.Sum(r.Nights, r.Harmful, r.Healthy)
	return r, nil
}
