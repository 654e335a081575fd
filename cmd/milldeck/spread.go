package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/hotkey"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/registry"
)

const (
	devSpread          = "127.0.0.1:8520"
	maxStatusBytes     = 8 << 20 // of a controller's status
	maxStatusErrorText = 1 << 10 // bytes of an error response that are quoted
)

// newSpread returns the commands for hot keys.
func newSpread() *cobra.Command {
	c := &cobra.Command{
		Use:   "spread",
		Short: "The controller of hot keys",
		Long: "spread replicates hot keys over additional servers, and shows which it replicates. docs/hot-keys.md describes it.\n\n" +
			exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newSpreadServe(), newSpreadShow())
	return c
}

// spreadServeOptions are the flags of spread serve.
type spreadServeOptions struct {
	listen         string
	replicas       []string
	serverCapacity float64
	requestWork    float64
	serverWarmup   time.Duration
}

func newSpreadServe() *cobra.Command {
	o := &spreadServeOptions{}
	c := &cobra.Command{
		Use:   "serve",
		Short: "Campaigns for the lease " + hotkey.LeaseName + " and replicates hot keys while it is held, until SIGTERM",
		Long: "serve receives the sidecars' load reports, campaigns for the lease " + hotkey.LeaseName + ", and replicates hot keys\n" +
			"while it is held. Run two or three; agents forward reports to all of them.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error { return o.serve(c.Context()) },
	}
	c.Flags().StringVar(&o.listen, "listen", devSpread, "address for load reports and status requests")
	c.Flags().StringSliceVar(&o.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().Float64Var(&o.serverCapacity, "bear", 1000, "capacity of a server of relative capacity 1, ms of work a second: 1000 for each core")
	c.Flags().Float64Var(&o.requestWork, "work", 50, "work of a usual request, ms")
	c.Flags().DurationVar(&o.serverWarmup, "cold-for", time.Minute, "how long after its start a server gets no replicas")
	return c
}

// serve runs a controller until ctx ends.
func (o *spreadServeOptions) serve(ctx context.Context) error {
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

func newSpreadShow() *cobra.Command {
	var addr string
	a := &asking{}
	c := &cobra.Command{
		Use:   "show",
		Short: "Prints the keys that are replicated",
		Long:  "show prints the keys that are replicated: it asks the controller that holds the lease.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), a.wait)
			defer cancel()
			statuses, err := fetchKeyStatuses(ctx, addr)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), statuses, func(w io.Writer) error { return printKeyStatuses(w, statuses) })
		},
	}
	c.Flags().StringVar(&addr, "at", devSpread, "address of the controller")
	c.Flags().DurationVar(&a.wait, "wait", defaultWait, "timeout of the request")
	c.Flags().BoolVar(&a.json, "json", false, "print JSON")
	return c
}

// printKeyStatuses prints a line for each key.
func printKeyStatuses(w io.Writer, statuses []hotkey.KeyStatus) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, s := range statuses {
		fmt.Fprintf(t, "%s\t%.0f to %.0f ms/s\t%d warming\t%d carrying\t%d cooling\n",
			s.Key, s.LowerBound, s.UpperBound, s.Warming, s.Active, s.Retiring)
	}
	return t.Flush()
}

// fetchKeyStatuses requests the replicated keys of the controller at an address.
func fetchKeyStatuses(ctx context.Context, addr string) (statuses []hotkey.KeyStatus, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/spread", nil)
	if err != nil {
		return nil, usageError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxStatusBytes)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, maxStatusErrorText)) // a part of it says enough
		return nil, fmt.Errorf("%s: %s: %s", addr, resp.Status, text)
	}
	if err := json.NewDecoder(body).Decode(&statuses); err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	return statuses, nil
}
