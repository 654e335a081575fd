package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/collect"
	"milldeck/internal/duty"
	"milldeck/internal/registry"
	"milldeck/internal/window"
	"milldeck/internal/window/drive"
)

const (
	devWindow  = "127.0.0.1:8530"
	windowWait = 10 * time.Second // for the head of a request, and for what is under way at the end
)

func newWindowRun() *cobra.Command {
	var listen, ready string
	var off time.Duration
	a := &asking{}
	c := &cobra.Command{
		Use:   "run",
		Short: "Seeks the duty " + window.Duty + " and carries windows out while it is held, until SIGTERM",
		Long: "run takes sidecars' reports, seeks the duty " + window.Duty + " and carries windows out while it is held. Run two or three;\n" +
			"agents pass reports on to all of them.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := registry.Loopback("listen", listen); err != nil {
				return usageError{err}
			}
			if off < 0 || off.Milliseconds() > window.MaxUncertaintyMS {
				return usageError{fmt.Errorf("--clock-off: %v is not within 0 to %d ms", off, window.MaxUncertaintyMS)}
			}
			if !strings.HasPrefix(ready, "/") {
				return usageError{fmt.Errorf("--ready-path: %q does not begin with /", ready)}
			}
			client, err := registry.NewClient(a.replicas)
			if err != nil {
				return usageError{fmt.Errorf("--replicas: %w", err)}
			}
			defer client.Close()
			reports := collect.New(collect.Options{})
			d := &drive.Driver{Store: client, Reports: reports, Uncertainty: off, Ready: drive.Ready(ready)}
			return runWindows(c.Context(), listen, client, d, reports)
		},
	}
	c.Flags().StringVar(&listen, "listen", devWindow, "address for reports")
	c.Flags().StringSliceVar(&a.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().DurationVar(&off, "clock-off", 250*time.Millisecond, "what this machine's clock may be off")
	c.Flags().StringVar(&ready, "ready-path", "/health/ready", "path at which a server that is back answers 200")
	return c
}

func runWindows(ctx context.Context, listen string, client *registry.Client, d *drive.Driver, reports http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/reports", reports)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: windowWait, WriteTimeout: 2 * windowWait, IdleTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	over := make(chan struct{})
	go func() {
		defer close(over)
		for ctx.Err() == nil {
			err := duty.Run(ctx, client, window.Duty, duty.Options{Events: func(e duty.Event) {
				if e.What != "renewed" {
					slog.Info("duty", "what", e.What, "duty", e.Duty, "token", e.Token)
				}
			}}, d.Work)
			if ctx.Err() == nil {
				slog.Warn("no part in the duty", "error", err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second/2 + rand.N(time.Second)):
			}
		}
	}()
	slog.Info("serves", "listen", l.Addr().String())
	select {
	case err = <-failed:
		stop(err)
	case <-ctx.Done():
	}
	<-over
	down, done := context.WithTimeout(context.WithoutCancel(ctx), windowWait)
	defer done()
	return errors.Join(err, server.Shutdown(down))
}
