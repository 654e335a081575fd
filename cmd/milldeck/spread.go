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
	devSpread  = "127.0.0.1:8520"
	spreadWait = 10 * time.Second // for the head of a request, and for what is under way at the end
	mostAnswer = 8 << 20          // bytes of the table
)

func newSpread() *cobra.Command {
	c := &cobra.Command{
		Use:   "spread",
		Short: "The spreader of hot keys",
		Long:  "spread decides which keys are spread over more servers than their own, and shows it. docs/hot-keys.md tells how.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newSpreadServe(), newSpreadShow())
	return c
}

func newSpreadServe() *cobra.Command {
	var listen string
	var bear, work float64
	var coldFor time.Duration
	a := &asking{}
	c := &cobra.Command{
		Use:   "serve",
		Short: "Seeks the duty " + hotkey.LeaseName + " and decides while it is held, until SIGTERM",
		Long: "serve takes sidecars' reports, seeks the duty " + hotkey.LeaseName + " and decides while it is held. Run two or three; agents\n" +
			"pass reports on to all of them.\n\n" + exitHelp,
		Args: exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			config := hotkey.DefaultConfig(bear, work)
			if err := config.Validate(); err != nil {
				return usageError{err}
			}
			if err := registry.CheckLoopback("listen", listen); err != nil {
				return usageError{err}
			}
			client, err := registry.NewClient(a.replicas)
			if err != nil {
				return usageError{fmt.Errorf("--replicas: %w", err)}
			}
			defer client.Close()
			reports := loadreport.New(loadreport.Options{})
			return serveSpread(c.Context(), listen, client, &hotkey.Controller{Store: client, Reports: reports, Config: config, ServerWarmup: coldFor}, reports)
		},
	}
	c.Flags().StringVar(&listen, "listen", devSpread, "address for reports and questions")
	c.Flags().StringSliceVar(&a.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().Float64Var(&bear, "bear", 1000, "work that a server of capacity 1 does, ms a second: 1000 for each core")
	c.Flags().Float64Var(&work, "work", 50, "work of a usual request, ms")
	c.Flags().DurationVar(&coldFor, "cold-for", time.Minute, "how long after its start a server gets no copies")
	return c
}

func serveSpread(ctx context.Context, listen string, client *registry.Client, dr *hotkey.Controller, reports http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("/reports", reports)
	mux.Handle("/spread", dr.Handler())
	mux.Handle("/spread/", dr.Handler())
	return serveUnderLease(ctx, listen, mux, client, hotkey.LeaseName, leaderelection.DefaultTTL, dr.Run)
}

func newSpreadShow() *cobra.Command {
	var at string
	a := &asking{}
	c := &cobra.Command{
		Use:   "show",
		Short: "Prints the keys that are spread, as their decider sees them",
		Long:  "show prints the keys that are spread, as their decider sees them: it asks the one that holds the duty.\n\n" + exitHelp,
		Args:  exactly(0),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), a.wait)
			defer cancel()
			rows, err := askSpread(ctx, at)
			if err != nil {
				return err
			}
			return a.show(c.OutOrStdout(), rows, func(w io.Writer) error {
				t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				for _, r := range rows {
					fmt.Fprintf(t, "%s\t%.0f to %.0f ms/s\t%d warming\t%d carrying\t%d cooling\n", r.Key, r.LowerBound, r.UpperBound, r.Warming, r.Active, r.Retiring)
				}
				return t.Flush()
			})
		},
	}
	c.Flags().StringVar(&at, "at", devSpread, "address of the decider")
	c.Flags().DurationVar(&a.wait, "wait", defaultWait, "how long to try")
	c.Flags().BoolVar(&a.json, "json", false, "print JSON")
	return c
}

func askSpread(ctx context.Context, at string) (rows []hotkey.KeyStatus, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/spread", nil)
	if err != nil {
		return nil, usageError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, mostAnswer)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, 1<<10)) // what came says enough
		return nil, fmt.Errorf("%s: %s: %s", at, resp.Status, text)
	}
	return rows, json.NewDecoder(body).Decode(&rows)
}
