package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/controller"
	"milldeck/internal/readiness"
	"milldeck/internal/registry"
)

const (
	defaultWindowReportsAddr = "127.0.0.1:8550"
	maxClockUncertainty      = maintenance.MaxClockUncertaintyMS * time.Millisecond
)

func newWindowServe() *cobra.Command {
	var listen, readyPath string
	var uncertainty, clockError, ttl time.Duration
	flags := &clientFlags{}
	command := &cobra.Command{
		Use:     "serve",
		Aliases: []string{"run"},
		Short:   "Campaigns for the lease " + maintenance.LeaseName + " and executes windows while it is held, until SIGTERM",
		Long: "serve receives load reports, campaigns for the lease " + maintenance.LeaseName + " and executes all windows\n" +
			"while it holds the lease. Run two or three controllers; agents forward reports to all of them. When the\n" +
			"holder stops, another one continues. The controller is ready when it answers GET " + readiness.Path + "\n" +
			"with status 200 at that address.\n\n" + exitHelp,
		Example: "  milldeck window serve --replicas 127.0.0.1:8500,127.0.0.2:8500 --reports-listen 127.0.0.1:8550 --clock-off 100ms",
		Args:    exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			if uncertainty <= 0 || uncertainty > maxClockUncertainty {
				return usageError{fmt.Errorf("--clock-off: %v is not within 1ms to %v", uncertainty, maxClockUncertainty)}
			}
			if !strings.HasPrefix(readyPath, "/") {
				return usageError{fmt.Errorf("--ready-path: %q does not begin with /", readyPath)}
			}
			if err := registry.CheckLoopback("reports-listen", listen); err != nil {
				return usageError{err}
			}
			client, err := registry.NewClient(flags.replicas)
			if err != nil {
				return usageError{fmt.Errorf("--replicas: %w", err)}
			}
			defer client.Close()
			reports := loadreport.New(loadreport.Options{})
			windows := &controller.Controller{
				Registry:    client,
				Reports:     reports,
				Uncertainty: uncertainty,
				CheckReady:  controller.HTTPReadyCheck(readyPath),
				Now:         func() time.Time { return time.Now().Add(clockError) },
			}
			mux := http.NewServeMux()
			mux.Handle("/reports", reports)
			return serveUnderLease(command.Context(), listen, mux, client, maintenance.LeaseName, ttl, windows.Run)
		},
	}
	command.Flags().StringVar(&listen, "reports-listen", defaultWindowReportsAddr, "address for load reports, which agents forward")
	command.Flags().StringSliceVar(&flags.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	command.Flags().DurationVar(&uncertainty, "clock-off", 250*time.Millisecond,
		"uncertainty of this machine's clock, as its time service reports it")
	command.Flags().StringVar(&readyPath, "ready-path", "/health/ready", "path at which a ready server answers 200")
	command.Flags().DurationVar(&ttl, "ttl", leaderelection.DefaultTTL,
		"TTL of the lease: it expires this long after the last renewal")
	command.Flags().DurationVar(&clockError, "clock-ahead", 0, "error to add to the clock, to test clock faults")
	command.Flags().StringVar(&listen, "listen", defaultWindowReportsAddr,
		"alias of --reports-listen, which other controllers call --listen")
	for _, name := range []string{"clock-ahead", "listen"} {
		if err := command.Flags().MarkHidden(name); err != nil {
			panic(err) // the flag is defined above
		}
	}
	return command
}
