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
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/controller"
	"milldeck/internal/release/plan"
	"milldeck/internal/sockets"
	"milldeck/internal/supervisor"
)

const (
	devReports  = "127.0.0.1:8530" // where a release's controller accepts load reports
	devPlatform = "127.0.0.1:8540"

	defaultMaxRequestDuration = 10 * time.Second
	defaultWarmUpTime         = time.Minute
	defaultStrata             = 32

	reportsTimeout     = 5 * time.Second // for the header of a request, and for open requests at the end
	reportsIdleTimeout = time.Minute     // of a connection between two reports

	prepareTimeout  = 2 * time.Second // for one request to the hot-key controller
	preparePath     = "/spread/leave" // of that request
	maxPrepareBytes = 1 << 10         // of its response
)

// controllerFlags are the flags of all commands that run a release's controller.
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
	flags.StringVar(&f.platform, "platform", devPlatform, "address of the platform that starts and stops processes")
	flags.StringVar(&f.listen, "listen", devReports, "address for sidecars' load reports, which agents forward")
	flags.StringVar(&f.hotKeyController, "spread", "",
		"address of the hot-key controller, which makes copies of keys before a server goes; none: there are none")
	flags.StringVar(&f.configDir, "files", "", "directory of configurations: CONFIG/UNIT, or CONFIG for all")
	flags.DurationVar(&f.maxRequestDuration, "longest", defaultMaxRequestDuration,
		"the longest that a request may take: the largest hard limit of the settings")
	flags.DurationVar(&f.warmUpTime, "warm-after", defaultWarmUpTime,
		"how long after it is ready a server counts as warm; 0: another process reports that")
	flags.IntVar(&f.strata, "strata", defaultStrata, "expected classes × zones, which share the judge's false-alarm rate")
}

// releaseInputs is what a release's initial state is made from, besides its plan.
type releaseInputs struct {
	ledger   disruption.View
	platform *supervisor.List
}

// newStateFunc makes a release's initial state.
type newStateFunc func(*releaseInputs) (*release.State, error)

// runRelease starts a release, unless it is under way, and carries it out until it is finished. Another process that runs
// the same is a candidate for its lease, and continues where this one stops.
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

// control campaigns for the release's lease and carries the release out under it. Meanwhile it accepts load reports.
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

// serveReports serves the load reports' HTTP until the function that it returns is called, which waits for open requests.
func serveReports(listener net.Listener, reports http.Handler) (stop func(context.Context) error) {
	mux := http.NewServeMux()
	mux.Handle("/reports", reports)
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

// printOutcome prints a finished release, and returns an error unless it is completed.
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

// startRelease writes a release's initial state to the log, unless it is under way by the same plan, or has a command that
// is not handled yet.
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

// releaseUnderWay reports whether a plan's release is under way. It is an error if it is by another plan.
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

// configText reads a unit's configuration. Without a directory it is empty: the platform has the unit's last one.
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

// prepareUnit returns the function that asks the hot-key controller to replicate what a server alone serves, nil where
// there is no such controller.
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
		Short: "Starts a release and carries it out until it is finished",
		Long: "start checks a plan against the fleet, writes the release to the log and carries it out, for as long as it holds\n" +
			"the lease release/NAME. Run it twice for a second candidate: whichever is left continues where the other stopped.\n" +
			"A plan that is under way continues; an edited one is rejected. The exit code is 0 when all units are updated.\n\n" + exitHelp,
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
