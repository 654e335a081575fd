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
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/controller"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

const (
	devReports  = "127.0.0.1:8530" // where a release's controller takes sidecars' reports
	devPlatform = "127.0.0.1:8540"
	reportsWait = 5 * time.Second // for the head of a request, and for what is under way at the end
	madeWait    = 2 * time.Second
)

// controlling is what all who run a controller say.
type controlling struct {
	replicas []string
	platform string
	listen   string
	spread   string
	files    string
	longest  time.Duration
	warm     time.Duration
	strata   int
}

func (f *controlling) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.replicas, "replicas", []string{devHTTP}, "HTTP addresses of the replicas")
	c.Flags().StringVar(&f.platform, "platform", devPlatform, "address of the platform that starts and stops processes")
	c.Flags().StringVar(&f.listen, "listen", devReports, "address for sidecars' reports, which agents pass on")
	c.Flags().StringVar(&f.spread, "spread", "", "address of the spreader, which makes copies of keys before a server goes; none: nothing does")
	c.Flags().StringVar(&f.files, "files", "", "directory of configurations: CONFIG/UNIT, or CONFIG for all")
	c.Flags().DurationVar(&f.longest, "longest", 10*time.Second, "the longest that a request may take: the largest hard limit of the settings")
	c.Flags().DurationVar(&f.warm, "warm-after", time.Minute, "how long after it is ready a server counts as warm; 0: somebody else finds that")
	c.Flags().IntVar(&f.strata, "strata", 32, "classes × zones, among which the judge's false alarms are shared")
}

// fleetView is what a release is drawn from.
type fleetView struct {
	ledger   disruption.View
	platform *supervisor.List
}

// run starts a release that draw makes, unless it is under way, and carries it out until it is over. Another process that
// runs the same is a candidate, and goes on where this one stops.
func (f *controlling) run(ctx context.Context, out io.Writer, p *plan.Plan, draw func(*fleetView) (*release.State, error)) error {
	name := p.Name
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
	err = begin(ctx, client, p, func() (*release.State, error) {
		ledger, err := client.LedgerView(ctx, true, true)
		if err != nil {
			return nil, err
		}
		list, err := platform.List(ctx)
		if err != nil {
			return nil, err
		}
		return draw(&fleetView{ledger, list})
	})
	if err != nil {
		return err
	}
	reports := loadreport.New(loadreport.Options{})
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/reports", reports)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: reportsWait, WriteTimeout: 2 * reportsWait, IdleTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	d := &controller.Controller{Name: name, Store: client, Platform: platform, Reports: reports, MaxRequestDuration: f.longest, WarmUpTime: f.warm, Strata: f.strata, ConfigText: f.file, PrepareUnit: f.made()}
	slog.Info("controls", "release", name, "reports", listener.Addr().String())
	err = leaderelection.Run(ctx, client, release.Owner(name), leaderelection.Options{OnEvent: func(e leaderelection.Event) {
		if e.Type != "renewed" {
			slog.Info("duty", "what", e.Type, "duty", e.Lease, "token", e.Token)
		}
	}}, d.Run)
	down, done := context.WithTimeout(context.WithoutCancel(ctx), reportsWait)
	defer done()
	if e := server.Shutdown(down); err == nil {
		err = e
	}
	if e := <-served; err == nil && !errors.Is(e, http.ErrServerClosed) {
		err = e
	}
	if err != nil || ctx.Err() != nil {
		return err
	}
	v, err := client.Release(ctx, name, false, true)
	if err != nil {
		return err
	}
	if err := writeRelease(out, v.State); err != nil {
		return err
	}
	if v.Status.Phase != release.PhaseCompleted {
		return fmt.Errorf("release %s is %s: %s", name, v.Status.Phase, v.Status.HaltReason)
	}
	return nil
}

// begin puts a release into the log, unless it is under way by the same plan, or was told something since it was over.
func begin(ctx context.Context, client *registry.Client, p *plan.Plan, draw func() (*release.State, error)) error {
	v, err := client.Release(ctx, p.Name, true, true)
	var status *registry.StatusError
	switch {
	case errors.As(err, &status) && status.StatusCode == http.StatusNotFound:
	case err != nil:
		return err
	case !v.Status.Phase.Finished() || v.Status.HandledCommands < len(v.Commands):
		if v.PlanHash != p.Hash() {
			return fmt.Errorf("release %s is under way with another plan (%s, not %s): send it back or let it end first", p.Name, v.PlanHash, p.Hash())
		}
		slog.Info("goes on", "release", p.Name, "phase", v.Status.Phase, "plan", v.PlanHash)
		return nil
	}
	s, err := draw()
	if err != nil {
		return err
	}
	_, err = client.WriteRelease(ctx, registry.WriteOptions{}, p.Name, release.Operation{Start: s})
	return err
}

// file reads a unit's configuration.
func (f *controlling) file(unit, config string) (string, error) {
	if f.files == "" {
		return "", nil // the unit's last one, where the platform has it
	}
	path := filepath.Join(f.files, filepath.Base(config))
	if one := filepath.Join(path, filepath.Base(unit)); isFile(one) {
		path = one
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Size() > supervisor.MaxConfigBytes {
		return "", fmt.Errorf("%s: %d bytes, at most %d are taken", path, info.Size(), supervisor.MaxConfigBytes)
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// made asks the spreader whether what a server carries is warm elsewhere.
func (f *controlling) made() func(context.Context, string) (bool, error) {
	if f.spread == "" {
		return nil
	}
	client := &http.Client{Timeout: madeWait}
	return func(ctx context.Context, uid string) (bool, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.spread+"/spread/leave?uid="+url.QueryEscape(uid), nil)
		if err != nil {
			return false, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return false, err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false, fmt.Errorf("the spreader: %s", resp.Status)
		}
		var is struct{ Ready bool }
		err = json.NewDecoder(io.LimitReader(resp.Body, 1<<10)).Decode(&is)
		return is.Ready, err
	}
}

func newReleaseStart() *cobra.Command {
	f := &controlling{}
	c := &cobra.Command{
		Use:   "start PLAN",
		Short: "Starts a release and carries it out until it is over",
		Long: "start checks a plan against the fleet, puts the release into the log and carries it out, for as long as it holds the\n" +
			"duty release/NAME. Run it twice for a second candidate: whoever is left goes on exactly there. A plan that is under\n" +
			"way goes on; an edited one is refused. It ends with exit code 0 when all units are on the new version.\n\n" + exitHelp,
		Example: "  milldeck release start plan.toml --platform 127.0.0.1:8540",
		Args:    exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := plan.Load(args[0])
			if err != nil {
				return err
			}
			return f.run(c.Context(), c.OutOrStdout(), p, func(v *fleetView) (*release.State, error) {
				return release.New(p, time.Now().UnixMilli(), v.ledger.Units, v.ledger.Budgets, v.platform)
			})
		},
	}
	f.flags(c)
	return c
}
