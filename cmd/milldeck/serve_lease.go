package main

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"milldeck/internal/leaderelection"
	"milldeck/internal/readiness"
	"milldeck/internal/registry"
	"milldeck/internal/sockets"
)

// Bounds of the random pause after a failed campaign.
const (
	minCampaignPause = 500 * time.Millisecond
	maxCampaignPause = 1500 * time.Millisecond
)

// leaseServerTimeout limits the reading of a request's header, and the graceful shutdown. The write timeout is twice as long.
const leaseServerTimeout = 10 * time.Second

// serveUnderLease serves HTTP with a readiness check and campaigns for a lease, until ctx is cancelled or the server fails. It calls work while the
// lease is held, and campaigns again after each loss.
func serveUnderLease(ctx context.Context, listen string, handler http.Handler, client *registry.Client, lease string, ttl time.Duration,
	work func(context.Context, *leaderelection.Lease) error) error {
	listener, err := sockets.Listen("tcp", listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+readiness.Path, readiness.Handler())
	mux.Handle("/", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: leaseServerTimeout, WriteTimeout: 2 * leaseServerTimeout, IdleTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(sockets.RetryAccept(listener)) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	electionEnded := make(chan struct{})
	go func() {
		defer close(electionEnded)
		campaignRepeatedly(ctx, client, lease, ttl, work)
	}()
	readiness.LogListening(listener.Addr().String())
	select {
	case err = <-failed:
		cancel(err)
	case <-ctx.Done():
	}
	<-electionEnded
	shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), leaseServerTimeout)
	defer cancelShutdown()
	return errors.Join(err, server.Shutdown(shutdownCtx))
}

// campaignRepeatedly campaigns for a lease until ctx is cancelled, and calls work while the lease is held.
func campaignRepeatedly(ctx context.Context, client *registry.Client, lease string, ttl time.Duration,
	work func(context.Context, *leaderelection.Lease) error) {
	options := leaderelection.Options{TTL: ttl, OnEvent: leaderelection.LogEvent}
	for {
		err := leaderelection.Run(ctx, client, lease, options, work)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("campaign ended", "component", "leaderelection", "lease", lease, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(minCampaignPause + rand.N(maxCampaignPause-minCampaignPause)):
		}
	}
}
