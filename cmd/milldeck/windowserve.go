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

	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/controller"
	"milldeck/internal/registry"
)

const (
	devWindows = "127.0.0.1:8550"
	mostOff    = maintenance.MaxClockUncertaintyMS * time.Millisecond
)

func newWindowServe() *cobra.Command {
	var listen, ready string
	var off, ahead, ttl time.Duration
	a := &asking{}
	c := &cobra.Command{
		Use:     "serve",
		Aliases: []string{"run"},
		Short:   "Seeks the duty " + maintenance.LeaseName + " and carries windows out while it is held, until SIGTERM",
		Long: "serve takes sidecars' reports, seeks the duty " + maintenance.LeaseName + " and carries out all windows while it is held. Run two or\n" +
			"three; agents pass reports on to all of them. Where one stops, the next goes on. It is ready once it logs \"serves\".\n\n" + exitHelp,
		Example: "  milldeck window serve --replicas 127.0.0.1:8500,127.0.0.2:8500 --reports-listen 127.0.0.1:8550 --clock-off 100ms",
		Args:    exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if off <= 0 || off > mostOff {
				return usageError{fmt.Errorf("--clock-off: %v is not within 1ms to %v", off, mostOff)}
			}
			if !strings.HasPrefix(ready, "/") {
				return usageError{fmt.Errorf("--ready-path: %q does not begin with /", ready)}
			}
			if err := registry.CheckLoopback("reports-listen", listen); err != nil {
				return usageError{err}
			}
			client, err := registry.NewClient(a.replicas)
			if err != nil {
				return usageError{fmt.Errorf("--replicas: %w", err)}
			}
			defer client.Close()
			reports := loadreport.New(loadreport.Options{})
			d := &controller.Controller{Registry: client, Reports: reports, Uncertainty: off, CheckReady: controller.HTTPReadyCheck(ready),
				Now: func() time.Time { return time.Now().Add(ahead) }}
			mux := http.NewServeMux()
			mux.Handle("/reports", reports)
			return serveDuty(c.Context(), listen, mux, client, maintenance.LeaseName, ttl, d.Run)
		},
	}
	c.Flags().StringVar(&listen, "reports-listen", devWindows, "address for sidecars' reports, which agents pass on")
	c.Flags().StringSliceVar(&a.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().DurationVar(&off, "clock-off", 250*time.Millisecond, "what this machine's clock may be off, as its time service says")
	c.Flags().StringVar(&ready, "ready-path", "/health/ready", "path at which a server that is back answers 200")
	c.Flags().DurationVar(&ttl, "ttl", leaderelection.DefaultTTL, "how long after its last sign of life a controller is taken for dead")
	c.Flags().DurationVar(&ahead, "clock-ahead", 0, "have the clock be wrong by this much, to try out what happens")
	c.Flags().StringVar(&listen, "listen", devWindows, "as --reports-listen, and as other controllers call it")
	for _, name := range []string{"clock-ahead", "listen"} {
		if err := c.Flags().MarkHidden(name); err != nil {
			panic(err) // the flag is there
		}
	}
	return c
}

// serveDuty serves HTTP, seeks a duty and works while it is held, again after each end, until ctx ends.
func serveDuty(ctx context.Context, listen string, h http.Handler, client *registry.Client, name string, ttl time.Duration,
	work func(context.Context, *leaderelection.Lease) error) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: spreadWait, WriteTimeout: 2 * spreadWait, IdleTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	over := make(chan struct{})
	go func() {
		defer close(over)
		for {
			err := leaderelection.Run(ctx, client, name, leaderelection.Options{TTL: ttl, OnEvent: func(e leaderelection.Event) {
				if e.Type != "renewed" {
					slog.Info("duty", "what", e.Type, "duty", e.Lease, "token", e.Token)
				}
			}}, work)
			if ctx.Err() != nil {
				return
			}
			slog.Warn("no part in the duty", "error", err)
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
	down, done := context.WithTimeout(context.WithoutCancel(ctx), spreadWait)
	defer done()
	return errors.Join(err, server.Shutdown(down))
}
