// Command sidecar is a client-side load-balancing sidecar: it takes its application's requests and
// sends each to one of the servers that discovery names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"milldeck/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	// Before all else and up to the end of the process, as one of these may come at any time: SIGHUP never ends it, and
	// a second SIGTERM does not kill what is ending well.
	reloadSignals, stopSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stopSignals
		cancel()
	}()
	config, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	sidecar.ApplyRuntimeLimits(config)
	instance, err := sidecar.New(config)
	if err != nil {
		return err
	}
	go reload(ctx, reloadSignals, instance)
	return instance.Run(ctx)
}

// reload takes a new configuration over at each SIGHUP. A bad one changes nothing.
func reload(ctx context.Context, reloadSignals <-chan os.Signal, instance *sidecar.Sidecar) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		}
		config, err := sidecar.ReloadConfig(os.Getenv)
		if err != nil {
			slog.Error("not reloaded, the configuration before holds", "error", err)
			continue
		}
		instance.Reload(config)
	}
}
