package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"milldeck/internal/registry"
)

const (
	// healthCheckInterval is between two looks at the sidecar: it takes longer to end and start again in good order.
	healthCheckInterval = 300 * time.Millisecond
	healthCheckTimeout  = time.Second // for its answer; a sidecar that needs longer serves nobody
	// renewalsPerLease come so many times in a lease: one may be lost.
	renewalsPerLease = 3
	// maxReportAge is how old a report may be to tell what the sidecar has in force; they come once a second.
	maxReportAge    = 3 * time.Second
	defaultLeaseTTL = 10 * time.Second
	minLeaseTTL     = time.Second // shorter ones do not outlive an election
	maxLeaseTTL     = time.Hour
)

// SidecarOptions is the sidecar beside an agent, as the fleet counts it: in the ledger, not in the list.
type SidecarOptions struct {
	Name     string
	Address  string // where the sidecar listens; loopback only
	Zone     string
	Tenant   string        // whose requests it takes, where the settings name none
	Version  string        // where the sidecar reports none itself
	LeaseTTL time.Duration // 0: 10 s
}

// Validate tells which field cannot be.
func (o *SidecarOptions) Validate() error {
	if o.Name == "" {
		return errors.New("name: it is empty")
	}
	if err := registry.CheckLoopback("address", o.Address); err != nil {
		return err
	}
	if ttl := cmp.Or(o.LeaseTTL, defaultLeaseTTL); ttl < minLeaseTTL || ttl > maxLeaseTTL {
		return fmt.Errorf("lease_ms: %v is not within %v to %v", ttl, minLeaseTTL, maxLeaseTTL)
	}
	return nil
}

// sidecarRegistration is what the registry is to be told of the sidecar. It is pure: looks and reports in, calls out.
type sidecarRegistration struct {
	opts         SidecarOptions
	observed     registry.Sidecar // as it was last found
	registered   registry.Sidecar // as the registry last took it
	registeredAt time.Time        // zero: never
}

// observe takes in whether the sidecar was found ready, and its newest report, nil where that is old or was never. One
// that is ready again has started again: a report is then of its former life until it tells otherwise.
func (s *sidecarRegistration) observe(wallMS int64, ready bool, report *reportedState) {
	if ready && !s.observed.Ready {
		s.observed.BootMS = float64(wallMS)
	}
	s.observed.Name, s.observed.Zone, s.observed.Tenant, s.observed.Ready = s.opts.Name, s.opts.Zone, s.opts.Tenant, ready
	s.observed.Version = cmp.Or(s.observed.Version, s.opts.Version)
	if report != nil {
		s.observed.Version = cmp.Or(report.version, s.opts.Version)
		s.observed.ListRevision, s.observed.PlacementRevision = report.listRev, report.placementRev
	}
}

// registrationDue tells whether the registry is to be told now: of what has changed, or that all is as it was before the lease ends.
func (s *sidecarRegistration) registrationDue(now time.Time) bool {
	same := s.observed.Ready == s.registered.Ready && s.observed.Version == s.registered.Version && s.observed.BootMS == s.registered.BootMS
	return s.registeredAt.IsZero() || !same || now.Sub(s.registeredAt) >= s.opts.LeaseTTL/renewalsPerLease
}

// markRegistered notes that the registry has taken a sidecar as told at a time.
func (s *sidecarRegistration) markRegistered(sidecar registry.Sidecar, at time.Time) {
	s.registered, s.registeredAt = sidecar, at
}

// maintainSidecarRegistration looks at the sidecar and keeps it registered until the agent ends. The lease is then left to run out: an
// agent that is replaced takes no sidecar out of the fleet.
func (a *Agent) maintainSidecarRegistration(opts SidecarOptions) {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: healthCheckTimeout}).DialContext, MaxIdleConnsPerHost: 1,
		DisableKeepAlives: true, // each look is a new connection: one that is kept would still answer while it ends
	}}
	opts.LeaseTTL = cmp.Or(opts.LeaseTTL, defaultLeaseTTL)
	registration := sidecarRegistration{opts: opts}
	for a.ctx.Err() == nil {
		registration.observe(time.Now().UnixMilli(), a.checkSidecarReady(client, opts.Address), a.forwarder.latest(opts.Name, time.Now()))
		if now := time.Now(); registration.registrationDue(now) {
			sidecar := registration.observed
			ctx, cancel := context.WithTimeout(a.ctx, opts.LeaseTTL/renewalsPerLease)
			_, err := a.client.RegisterSidecars(ctx, registry.SidecarRequest{TTLMS: opts.LeaseTTL.Milliseconds(), Sidecars: []registry.Sidecar{sidecar}})
			cancel()
			if err == nil {
				registration.markRegistered(sidecar, now)
			} else if a.ctx.Err() == nil {
				slog.Debug("sidecar not registered", "sidecar", opts.Name, "error", err)
			}
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(healthCheckInterval - rand.N(healthCheckInterval/4)): // many agents do not look in step
		}
	}
}

// checkSidecarReady asks the sidecar itself.
func (a *Agent) checkSidecarReady(client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+address+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.CopyN(io.Discard, response.Body, 1024)
	return response.StatusCode == http.StatusOK && (err == nil || err == io.EOF)
}
