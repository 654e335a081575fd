package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/hotkey"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/registry"
	"milldeck/internal/sockets"
)

const (
	defaultHotKeyAddr  = "127.0.0.1:8520"
	maxStatusBytes     = 8 << 20 // limit of a status response
	maxStatusErrorText = 1 << 10 // limit of the part of an error response that is quoted, in bytes
)

func newHotKey() *cobra.Command {
	command := &cobra.Command{
		Use:   "spread",
		Short: "Hot keys: the controller that replicates them to additional servers",
		Long: "spread replicates hot keys to additional servers and shows the replicated keys. docs/hot-keys.md describes it.\n\n" +
			exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newHotKeyServe(), newHotKeyShow())
	return command
}

// hotKeyServeOptions are the flags of `milldeck spread serve`.
type hotKeyServeOptions struct {
	listen         string
	replicas       []string
	serverCapacity float64
	requestWork    float64
	serverWarmup   time.Duration
}

func newHotKeyServe() *cobra.Command {
	options := &hotKeyServeOptions{}
	command := &cobra.Command{
		Use:   "serve",
		Short: "Campaigns for the lease " + hotkey.LeaseName + " and replicates hot keys while it holds the lease, until SIGTERM",
		Long: "serve receives the sidecars' load reports, campaigns for the lease " + hotkey.LeaseName + ", and replicates hot keys\n" +
			"while it holds the lease. Run two or three controllers; agents forward reports to all of them.\n\n" + exitHelp,
		Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error { return options.serve(command.Context()) },
	}
	command.Flags().StringVar(&options.listen, "listen", defaultHotKeyAddr, "address for load reports and status requests")
	command.Flags().StringSliceVar(&options.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	command.Flags().Float64Var(&options.serverCapacity, "bear", 1000,
		"capacity of a server with relative capacity 1, in ms of work per second: 1000 per core")
	command.Flags().Float64Var(&options.requestWork, "work", 50, "work of an average request, in ms")
	command.Flags().DurationVar(&options.serverWarmup, "cold-for", time.Minute,
		"warm-up time after the start of a server, during which it gets no replicas of keys")
	return command
}

// serve runs a controller until ctx is cancelled.
func (o *hotKeyServeOptions) serve(ctx context.Context) error {
	config := hotkey.DefaultConfig(o.serverCapacity, o.requestWork)
	if err := config.Validate(); err != nil {
		return usageError{err}
	}
	if err := registry.CheckLoopback("listen", o.listen); err != nil {
		return usageError{err}
	}
	client, err := registry.NewClient(o.replicas)
	if err != nil {
		return usageError{fmt.Errorf("--replicas: %w", err)}
	}
	defer client.Close()
	reports := loadreport.New(loadreport.Options{})
	controller := &hotkey.Controller{Store: client, Reports: reports, Config: config, ServerWarmup: o.serverWarmup}
	mux := http.NewServeMux()
	mux.Handle("/reports", reports)
	mux.Handle("/spread", controller.Handler())
	mux.Handle("/spread/", controller.Handler())
	return serveUnderLease(ctx, o.listen, mux, client, hotkey.LeaseName, leaderelection.DefaultTTL, controller.Run)
}

func newHotKeyShow() *cobra.Command {
	var addr string
	flags := &clientFlags{}
	command := &cobra.Command{
		Use:   "show",
		Short: "Prints the replicated keys",
		Long:  "show requests the replicated keys from the controller that holds the lease, and prints them.\n\n" + exitHelp,
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), flags.wait)
			defer cancel()
			statuses, err := fetchKeyStatuses(ctx, addr)
			if err != nil {
				return err
			}
			return flags.print(command.OutOrStdout(), statuses, func(w io.Writer) error { return printKeyStatuses(w, statuses) })
		},
	}
	command.Flags().StringVar(&addr, "at", defaultHotKeyAddr, "address of the controller")
	command.Flags().DurationVar(&flags.wait, "wait", defaultWait, "timeout of the request")
	command.Flags().BoolVar(&flags.json, "json", false, "print JSON")
	return command
}

// printKeyStatuses prints a line for each key.
func printKeyStatuses(w io.Writer, statuses []hotkey.KeyStatus) error {
	table := newTable(w)
	for _, status := range statuses {
		fmt.Fprintf(table, "%s\t%.0f to %.0f ms/s\t%d warming up\t%d active\t%d retiring\n",
			status.Key, status.LowerBound, status.UpperBound, status.Warming, status.Active, status.Retiring)
	}
	return table.Flush()
}

// fetchKeyStatuses requests the status of the replicated keys from the controller at an address.
func fetchKeyStatuses(ctx context.Context, addr string) (statuses []hotkey.KeyStatus, err error) {
	var dialError sockets.DialError
	request, err := http.NewRequestWithContext(dialError.Trace(ctx), http.MethodGet, "http://"+addr+"/spread", nil)
	if err != nil {
		return nil, usageError{err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", addr, dialError.CauseOf(err))
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxStatusBytes)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, maxStatusErrorText)) // an incomplete text is enough for the error
		return nil, fmt.Errorf("%s: %s: %s", addr, response.Status, text)
	}
	if err := json.NewDecoder(body).Decode(&statuses); err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	return statuses, nil
}
