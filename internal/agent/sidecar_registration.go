package agent

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/validation"
)

const (
	// healthCheckInterval is below the time in which a sidecar ends and starts again in good order, so that none is missed.
	healthCheckInterval = 300 * time.Millisecond
	healthCheckTimeout  = time.Second // a sidecar that answers later serves nobody
	maxHealthBodyBytes  = 1024
	// renewalsPerLease is how often the registration is renewed within its TTL: one renewal may be lost.
	renewalsPerLease = 3
	// maxReportAge is how old a load report may be to say what the sidecar has in force; they come once a second.
	maxReportAge    = 3 * time.Second
	defaultLeaseTTL = 10 * time.Second
	minLeaseTTL     = time.Second // a shorter lease would expire during a raft election
	maxLeaseTTL     = time.Hour
)

// SidecarOptions describe the sidecar that the agent registers. A sidecar is a unit of the disruption ledger, not an
// instance of the list.
type SidecarOptions struct {
	Name     string
	Address  string // where the sidecar listens; loopback only
	Zone     string
	Tenant   string        // whose requests it handles, where the settings name no tenant
	Version  string        // reported until the sidecar reports its own
	LeaseTTL time.Duration // of the registration; 0: 10 s
}

// Validate returns an error for the first invalid field, which it names as the configuration file does.
func (o *SidecarOptions) Validate() error {
	if o.Name == "" {
		return validation.Errorf("name", "it is empty")
	}
	if err := registry.CheckLoopback("address", o.Address); err != nil {
		return err
	}
	if ttl := cmp.Or(o.LeaseTTL, defaultLeaseTTL); ttl < minLeaseTTL || ttl > maxLeaseTTL {
		return validation.Errorf("lease_ms", "%v is not within %v to %v", ttl, minLeaseTTL, maxLeaseTTL)
	}
	return nil
}

// sidecarRegistration decides what the registry is sent about the sidecar, and when. It has no clock and does no I/O.
type sidecarRegistration struct {
	opts         SidecarOptions
	observed     registry.Sidecar // at the last health check
	registered   registry.Sidecar // as the registry last accepted it
	registeredAt time.Time        // zero: never
}

// observe records a health check and the newest load report, nil if there is no recent one. A sidecar that becomes ready
// has been restarted: its start time changes.
func (s *sidecarRegistration) observe(wallMS int64, ready bool, report *reportedState) {
	if ready && !s.observed.Ready {
		s.observed.BootMS = float64(wallMS)
	}
	s.observed.Name = s.opts.Name
	s.observed.Zone = s.opts.Zone
	s.observed.Tenant = s.opts.Tenant
	s.observed.Ready = ready
	s.observed.Version = cmp.Or(s.observed.Version, s.opts.Version)
	if report != nil {
		s.observed.Version = cmp.Or(report.version, s.opts.Version)
		s.observed.ListRevision = report.listRevision
		s.observed.PlacementRevision = report.placementRevision
	}
}

// registrationDue reports whether a registration is to be sent: at once after a change, else before the lease expires.
// New revisions of list and placement alone can wait for the renewal.
func (s *sidecarRegistration) registrationDue(now time.Time) bool {
	changed := s.observed.Ready != s.registered.Ready ||
		s.observed.Version != s.registered.Version ||
		s.observed.BootMS != s.registered.BootMS
	return s.registeredAt.IsZero() || changed || now.Sub(s.registeredAt) >= s.opts.LeaseTTL/renewalsPerLease
}

// markRegistered records that the registry has accepted a registration that was sent at a time.
func (s *sidecarRegistration) markRegistered(sidecar registry.Sidecar, at time.Time) {
	s.registered, s.registeredAt = sidecar, at
}

// maintainSidecarRegistration checks the sidecar's health and keeps it registered until ctx ends. It does not deregister
// it: the lease is left to expire, so that replacing an agent does not take its sidecar out of the fleet.
func (a *Agent) maintainSidecarRegistration(ctx context.Context, opts SidecarOptions) {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: healthCheckTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableKeepAlives:   true, // an open connection would still be answered while the sidecar shuts down
	}}
	opts.LeaseTTL = cmp.Or(opts.LeaseTTL, defaultLeaseTTL)
	registration := sidecarRegistration{opts: opts}
	for ctx.Err() == nil {
		checkedAtMS := time.Now().UnixMilli()
		ready := checkSidecarReady(ctx, client, opts.Address)
		registration.observe(checkedAtMS, ready, a.forwarder.latest(opts.Name, time.Now()))
		if now := time.Now(); registration.registrationDue(now) {
			a.registerSidecar(ctx, &registration, now)
		}
		pause(ctx, healthCheckInterval-rand.N(healthCheckInterval/4)) // jittered, for machines with many agents
	}
}

// registerSidecar sends one registration. One that fails is due again at the next health check.
func (a *Agent) registerSidecar(ctx context.Context, registration *sidecarRegistration, now time.Time) {
	sidecar, ttl := registration.observed, registration.opts.LeaseTTL
	callCtx, cancel := context.WithTimeout(ctx, ttl/renewalsPerLease)
	defer cancel()
	request := registry.SidecarRequest{TTLMS: ttl.Milliseconds(), Sidecars: []registry.Sidecar{sidecar}}
	_, err := a.client.RegisterSidecars(callCtx, request)
	switch {
	case err == nil:
		registration.markRegistered(sidecar, now)
	case ctx.Err() == nil:
		a.logger.Debug("sidecar registration failed", "sidecar", sidecar.Name, "error", err)
	}
}

// checkSidecarReady performs one health check.
func checkSidecarReady(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.CopyN(io.Discard, response.Body, maxHealthBodyBytes)
	return response.StatusCode == http.StatusOK && (err == nil || errors.Is(err, io.EOF))
}
