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
	// healthCheckInterval is shorter than the time of a sidecar's graceful restart, so that the agent notices each restart.
	healthCheckInterval = 300 * time.Millisecond
	healthCheckTimeout  = time.Second // a sidecar that responds later cannot serve requests
	maxHealthBodyBytes  = 1024
	// renewalsPerLease is the number of renewals per TTL of the registration, so that one renewal may be lost.
	renewalsPerLease = 3
	// maxReportAge is the maximum age of a load report from which the agent takes the sidecar's version and revisions.
	// Sidecars report once a second.
	maxReportAge    = 3 * time.Second
	defaultLeaseTTL = 10 * time.Second
	minLeaseTTL     = time.Second // a shorter lease would expire during a raft election
	maxLeaseTTL     = time.Hour
)

// SidecarOptions describe the sidecar that the agent registers. A registered sidecar is a unit of the disruption ledger
// and not an instance of the list.
type SidecarOptions struct {
	Name     string
	Address  string // where the sidecar listens; loopback only
	Zone     string
	Tenant   string        // the tenant of the sidecar's requests, if the settings name no tenant
	Version  string        // registered until a load report contains the sidecar's own version
	LeaseTTL time.Duration // of the registration; 0: 10 s
}

// Validate returns an error for the first invalid field. The error names the field by its key in the configuration file.
func (o *SidecarOptions) Validate() error {
	if o.Name == "" {
		return validation.Errorf("name", "must not be empty")
	}
	if err := registry.CheckLoopback("address", o.Address); err != nil {
		return err
	}
	if ttl := cmp.Or(o.LeaseTTL, defaultLeaseTTL); ttl < minLeaseTTL || ttl > maxLeaseTTL {
		return validation.Errorf("lease_ms", "%v is not within %v to %v", ttl, minLeaseTTL, maxLeaseTTL)
	}
	return nil
}

// sidecarRegistration decides when the agent registers the sidecar, and with which values. It uses no clock and does no
// I/O.
type sidecarRegistration struct {
	opts         SidecarOptions
	observed     registry.Sidecar // at the last health check
	registered   registry.Sidecar // the last registration that the registry accepted
	registeredAt time.Time        // time of the registration in registered; zero: none yet
}

// observe records the result of a health check and the newest load report (nil: none is recent). A sidecar that becomes
// ready counts as restarted and gets a new start time.
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

// registrationDue reports whether the agent has to send a registration: at once after a change of readiness, version or
// start time, otherwise to renew the lease. Changed revisions of the list and the placement wait for the next renewal.
func (s *sidecarRegistration) registrationDue(now time.Time) bool {
	changed := s.observed.Ready != s.registered.Ready ||
		s.observed.Version != s.registered.Version ||
		s.observed.BootMS != s.registered.BootMS
	return s.registeredAt.IsZero() || changed || now.Sub(s.registeredAt) >= s.opts.LeaseTTL/renewalsPerLease
}

// markRegistered records a registration that the registry has accepted, and when it was sent.
func (s *sidecarRegistration) markRegistered(sidecar registry.Sidecar, at time.Time) {
	s.registered, s.registeredAt = sidecar, at
}

// maintainSidecarRegistration checks the sidecar's health and keeps the sidecar registered until ctx ends. It does not
// deregister the sidecar: the lease is left to expire, so that replacing an agent does not remove its sidecar from the
// fleet.
func (a *Agent) maintainSidecarRegistration(ctx context.Context, opts SidecarOptions) {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: healthCheckTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableKeepAlives:   true, // a sidecar that shuts down still responds on open connections
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
		pause(ctx, healthCheckInterval-rand.N(healthCheckInterval/4)) // the jitter desynchronizes many agents on a machine
	}
}

// registerSidecar sends one registration. After a failure, the registration is due again at the next health check.
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

// checkSidecarReady performs one health check and reports whether the sidecar is ready.
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
