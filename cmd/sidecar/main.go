// Command sidecar is a client-side load-balancing sidecar: it accepts the requests of one application and forwards each to
// one of the servers that discovery lists.
//
// The environment variable NODE_CONFIG names the configuration file. SIGHUP reloads the file. SIGTERM and SIGINT drain
// the sidecar, which then exits. The exit status is 1 if the sidecar cannot start or serve.
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

// logLevelVariable is the environment variable with the minimum level of the log: debug, info, warn or error.
const logLevelVariable = "NODE_LOG_LEVEL"

// setLogLevel applies the log level that the environment sets. The default is info.
func setLogLevel() error {
	text := os.Getenv(logLevelVariable)
	if text == "" {
		return nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return fmt.Errorf("%s: %w", logLevelVariable, err)
	}
	slog.SetLogLoggerLevel(level)
	return nil
}

func run() error {
	// The process handles these signals from its start to its exit: SIGHUP never ends it, and a second SIGTERM does not
	// interrupt a drain.
	reloadSignals, stopSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stopSignals
		cancel()
	}()
	if err := setLogLevel(); err != nil {
		return err
	}
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

// reload applies the configuration file at each SIGHUP until ctx ends. It logs an invalid configuration and keeps the
// previous one.
func reload(ctx context.Context, reloadSignals <-chan os.Signal, instance *sidecar.Sidecar) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		}
		config, err := sidecar.ReloadConfig(os.Getenv)
		if err != nil {
			slog.Error(sidecar.NotReloadedMessage+", the previous configuration stays in force", "error", err)
			continue
		}
		instance.Reload(config)
	}
}
