package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"milldeck/internal/disruption"
	"milldeck/internal/hotkey"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/readiness"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/controller"
	"milldeck/internal/release/plan"
	"milldeck/internal/sockets"
	"milldeck/internal/supervisor"
)

const (
	devReports  = "127.0.0.1:8530" // address at which a release's controller accepts load reports
	devPlatform = "127.0.0.1:8540"

	defaultMaxRequestDuration = 10 * time.Second
	defaultWarmUpTime         = time.Minute
	defaultStrata             = 32

	reportsTimeout     = 5 * time.Second // for reading the header of a request, and for open requests at shutdown
	reportsIdleTimeout = time.Minute     // for an idle connection between two reports

	prepareTimeout  = 2 * time.Second // for one request to the hot-key controller
	preparePath     = "/spread/leave" // path of the request to the hot-key controller
	maxPrepareBytes = 1 << 10         // limit of the response of the hot-key controller
)

// controllerFlags are the flags of the commands that run a release's controller.
type controllerFlags struct {
	replicas           []string
	platform           string
	listen             string
	hotKeyController   string
	configDir          string
	maxRequestDuration time.Duration
	warmUpTime         time.Duration
	strata             int
}

func (f *controllerFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&f.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	flags.StringVar(&f.platform, "platform", devPlatform, "address of the platform, which starts and stops processes")
	flags.StringVar(&f.listen, "listen", devReports, "address for sidecars' load reports, which agents forward")
	flags.StringVar(&f.hotKeyController, "spread", "",
		"address of the hot-key controller, which replicates a server's keys elsewhere before its drain; empty: none")
	flags.StringVar(&f.configDir, "files", "", "directory of configurations: CONFIG/UNIT for one unit, or CONFIG for all units")
	flags.DurationVar(&f.maxRequestDuration, "longest", defaultMaxRequestDuration,
		"maximum duration of a request: the largest hard limit in the settings")
	flags.DurationVar(&f.warmUpTime, "warm-after", defaultWarmUpTime,
		"time after which a ready server counts as warm; 0: another process reports it as warm")
	flags.IntVar(&f.strata, "strata", defaultStrata,
		"expected number of classes × zones, which share the false-alarm rate of the canary analysis")
}

// releaseInputs are the inputs of a release's initial state, besides its plan.
type releaseInputs struct {
	ledger   disruption.View
	platform *supervisor.List
}

// newStateFunc creates a release's initial state.
type newStateFunc func(*releaseInputs) (*release.State, error)

// runRelease starts a release, unless it is in progress, and executes it until it is finished. A second process with the same
// plan is a candidate for the release's lease, and continues the release if this process stops.
func (f *controllerFlags) runRelease(ctx context.Context, out io.Writer, p *plan.Plan, newState newStateFunc) error {
	client, err := registry.NewClient(f.replicas)
	if err != nil {
		return usageError{fmt.Errorf("--replicas: %w", err)}
	}
	defer client.Close()
	platform, err := supervisor.NewClient(f.platform)
	if err != nil {
		return usageError{fmt.Errorf("--platform: %w", err)}
	}
	defer platform.Close()
	if err := registry.CheckLoopback("listen", f.listen); err != nil {
		return usageError{err}
	}
	if err := startRelease(ctx, client, platform, p, newState); err != nil {
		return err
	}
	if err := f.control(ctx, client, platform, p.Name); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil
	}
	return printOutcome(ctx, out, client, p.Name)
}

// control campaigns for the release's lease and executes the release while it holds the lease. Meanwhile it
// accepts load reports.
func (f *controllerFlags) control(
	ctx context.Context, client *registry.Client, platform supervisor.Supervisor, name string,
) error {
	reports := loadreport.New(loadreport.Options{})
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	stopServing := serveReports(listener, reports)
	releaseController := &controller.Controller{
		Name:               name,
		Store:              client,
		Platform:           platform,
		Reports:            reports,
		MaxRequestDuration: f.maxRequestDuration,
		WarmUpTime:         f.warmUpTime,
		Strata:             f.strata,
		ConfigText:         f.configText,
		PrepareUnit:        f.prepareUnit(),
	}
	logger := releaseLogger(name)
	logger.Info("release controller started", "reports", listener.Addr().String())
	options := leaderelection.Options{OnEvent: func(event leaderelection.Event) {
		if event.Type != leaderelection.Renewed {
			logger.Info("lease event", "type", event.Type, "lease", event.Lease, "token", event.Token)
		}
	}}
	err = leaderelection.Run(ctx, client, release.Owner(name), options, releaseController.Run)
	if stopErr := stopServing(context.WithoutCancel(ctx)); err == nil {
		err = stopErr
	}
	return err
}

func releaseLogger(name string) *slog.Logger {
	return slog.With("component", "release", "release", name)
}

// serveReports accepts load reports by HTTP, and answers the readiness check. The returned function stops the server after open requests have ended.
func serveReports(listener net.Listener, reports http.Handler) (stop func(context.Context) error) {
	mux := http.NewServeMux()
	mux.Handle("/reports", reports)
	mux.Handle("GET "+readiness.Path, readiness.Handler())
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: reportsTimeout,
		WriteTimeout:      2 * reportsTimeout,
		IdleTimeout:       reportsIdleTimeout,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(sockets.RetryAccept(listener)) }()
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
		defer cancel()
		err := server.Shutdown(ctx)
		if serveErr := <-served; err == nil && !errors.Is(serveErr, http.ErrServerClosed) {
			err = serveErr
		}
		return err
	}
}

// printOutcome prints a finished release, and returns an error unless the release is completed.
func printOutcome(ctx context.Context, out io.Writer, client *registry.Client, name string) error {
	stored, err := client.Release(ctx, name, false, true)
	if err != nil {
		return err
	}
	if err := printRelease(out, stored.State); err != nil {
		return err
	}
	if stored.Status.Phase != release.PhaseCompleted {
		return fmt.Errorf("release %s is %s: %s", name, stored.Status.Phase, stored.Status.HaltReason)
	}
	return nil
}

// startRelease writes a release's initial state to the log. It writes nothing if the release is in progress with the same plan,
// or if the controller has not handled a command to the release yet.
func startRelease(
	ctx context.Context, client *registry.Client, platform supervisor.Supervisor, p *plan.Plan, newState newStateFunc,
) error {
	underWay, err := releaseUnderWay(ctx, client, p)
	if err != nil || underWay {
		return err
	}
	inputs := &releaseInputs{}
	inputs.ledger, err = client.LedgerView(ctx, true, true)
	if err != nil {
		return err
	}
	inputs.platform, err = platform.List(ctx)
	if err != nil {
		return err
	}
	state, err := newState(inputs)
	if err != nil {
		return err
	}
	_, err = client.WriteRelease(ctx, registry.WriteOptions{}, p.Name, release.Operation{Start: state})
	return err
}

// releaseUnderWay reports whether a plan's release is in progress. It returns an error if the release has another plan.
func releaseUnderWay(ctx context.Context, client *registry.Client, p *plan.Plan) (bool, error) {
	stored, err := client.Release(ctx, p.Name, true, true)
	var status *registry.StatusError
	if errors.As(err, &status) && status.StatusCode == http.StatusNotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if stored.Status.Phase.Finished() && stored.Status.HandledCommands >= len(stored.Commands) {
		return false, nil
	}
	if stored.PlanHash != p.Hash() {
		return false, fmt.Errorf("release %s is under way with another plan (%s, not %s): roll it back or let it finish first",
			p.Name, stored.PlanHash, p.Hash())
	}
	logger := releaseLogger(p.Name)
	logger.Info("release continues", "phase", stored.Status.Phase, "plan", stored.PlanHash)
	return true, nil
}

// configText reads a unit's configuration. Without --files it returns "", and the platform uses the unit's last configuration.
func (f *controllerFlags) configText(unit, config string) (string, error) {
	if f.configDir == "" {
		return "", nil
	}
	path := filepath.Join(f.configDir, filepath.Base(config))
	if unitPath := filepath.Join(path, filepath.Base(unit)); isFile(unitPath) {
		path = unitPath
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Size() > supervisor.MaxConfigBytes {
		return "", fmt.Errorf("%s: %d bytes, the limit is %d", path, info.Size(), supervisor.MaxConfigBytes)
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// prepareUnit returns a function that requests the hot-key controller to replicate on other servers the keys that only a given
// server serves. It returns nil if no hot-key controller is configured.
func (f *controllerFlags) prepareUnit() func(context.Context, string) (bool, error) {
	if f.hotKeyController == "" {
		return nil
	}
	client := &http.Client{Timeout: prepareTimeout}
	return func(ctx context.Context, uid string) (bool, error) {
		address := "http://" + f.hotKeyController + preparePath + "?uid=" + url.QueryEscape(uid)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
		if err != nil {
			return false, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return false, err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false, fmt.Errorf("hot-key controller: %s", resp.Status)
		}
		var status hotkey.DrainStatus
		err = json.NewDecoder(io.LimitReader(resp.Body, maxPrepareBytes)).Decode(&status)
		return status.Drained, err
	}
}

func newReleaseStart() *cobra.Command {
	flags := &controllerFlags{}
	command := &cobra.Command{
		Use:   "start PLAN",
		Short: "Starts a release and executes it until it is finished",
		Long: "start checks a plan against the fleet, writes the release to the log and executes it while it holds the lease\n" +
			"release/NAME. A second process with the same plan waits as a candidate and continues if the first one stops.\n" +
			"start continues a release in progress, but rejects an edited plan. The exit code is 0 when all units are updated.\n\n" +
			exitHelp,
		Example: "  milldeck release start plan.toml --platform 127.0.0.1:8540",
		Args:    exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			p, err := plan.Load(args[0])
			if err != nil {
				return err
			}
			return flags.runRelease(command.Context(), command.OutOrStdout(), p, func(inputs *releaseInputs) (*release.State, error) {
				return release.New(p, time.Now().UnixMilli(), inputs.ledger.Units, inputs.ledger.Budgets, inputs.platform)
			})
		},
	}
	flags.register(command)
	return command
}
