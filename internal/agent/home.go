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
	// lookEvery is between two looks at the sidecar: it takes longer to end and start again in good order.
	lookEvery = 300 * time.Millisecond
	lookWait  = time.Second // for its answer; a sidecar that needs longer serves nobody
	// renewals come so many times in a lease: one may be lost.
	renewals = 3
	// reportFresh is how old a report may be to tell what the sidecar has in force; they come once a second.
	reportFresh  = 3 * time.Second
	defaultLease = 10 * time.Second
	leastLease   = time.Second // shorter ones do not outlive an election
	mostLease    = time.Hour
)

// Home is the sidecar beside an agent, as the fleet counts it: in the ledger, not in the list.
type Home struct {
	Name    string
	Address string // where the sidecar listens; loopback only
	Zone    string
	Tenant  string        // whose requests it takes, where the settings name none
	Version string        // where the sidecar reports none itself
	Lease   time.Duration // 0: 10 s
}

// Check tells which field cannot be.
func (h *Home) Check() error {
	if h.Name == "" {
		return errors.New("name: it is empty")
	}
	if err := registry.Loopback("address", h.Address); err != nil {
		return err
	}
	if l := cmp.Or(h.Lease, defaultLease); l < leastLease || l > mostLease {
		return fmt.Errorf("lease_ms: %v is not within %v to %v", l, leastLease, mostLease)
	}
	return nil
}

// homeCore is what the registry is to be told of the sidecar. It is pure: looks and reports in, calls out.
type homeCore struct {
	home   Home
	now    registry.Sidecar // as it was last found
	told   registry.Sidecar // as the registry last took it
	toldAt time.Time        // zero: never
}

// look takes in whether the sidecar was found ready, and its newest report, nil where that is old or was never. One
// that is ready again has started again: a report is then of its former life until it tells otherwise.
func (c *homeCore) look(wallMS int64, ready bool, r *heard) {
	if ready && !c.now.Ready {
		c.now.BootMS = float64(wallMS)
	}
	c.now.Name, c.now.Zone, c.now.Tenant, c.now.Ready = c.home.Name, c.home.Zone, c.home.Tenant, ready
	c.now.Version = cmp.Or(c.now.Version, c.home.Version)
	if r != nil {
		c.now.Version = cmp.Or(r.version, c.home.Version)
		c.now.ListRev, c.now.PlacementRev = r.list, r.rev
	}
}

// due tells whether the registry is to be told now: of what has changed, or that all is as it was before the lease ends.
func (c *homeCore) due(now time.Time) bool {
	same := c.now.Ready == c.told.Ready && c.now.Version == c.told.Version && c.now.BootMS == c.told.BootMS
	return c.toldAt.IsZero() || !same || now.Sub(c.toldAt) >= c.home.Lease/renewals
}

// took notes that the registry has taken a sidecar as told at a time.
func (c *homeCore) took(s registry.Sidecar, at time.Time) { c.told, c.toldAt = s, at }

// register looks at the sidecar and keeps it registered until the agent ends. The lease is then left to run out: an
// agent that is replaced takes no sidecar out of the fleet.
func (a *Agent) register(home Home) {
	client := &http.Client{Timeout: lookWait, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: lookWait}).DialContext, MaxIdleConnsPerHost: 1,
		DisableKeepAlives: true, // each look is a new connection: one that is kept would still answer while it ends
	}}
	home.Lease = cmp.Or(home.Lease, defaultLease)
	c := homeCore{home: home}
	for a.ctx.Err() == nil {
		c.look(time.Now().UnixMilli(), a.isReady(client, home.Address), a.reports.latest(home.Name, time.Now()))
		if now := time.Now(); c.due(now) {
			s := c.now
			ctx, cancel := context.WithTimeout(a.ctx, home.Lease/renewals)
			_, err := a.client.RegisterSidecars(ctx, registry.SidecarCall{TTLMS: home.Lease.Milliseconds(), Sidecars: []registry.Sidecar{s}})
			cancel()
			if err == nil {
				c.took(s, now)
			} else if a.ctx.Err() == nil {
				slog.Debug("sidecar not registered", "sidecar", home.Name, "error", err)
			}
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(lookEvery - rand.N(lookEvery/4)): // many agents do not look in step
		}
	}
}

// isReady asks the sidecar itself.
func (a *Agent) isReady(client *http.Client, address string) bool {
	req, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+address+"/health/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.CopyN(io.Discard, resp.Body, 1024)
	return resp.StatusCode == http.StatusOK && (err == nil || err == io.EOF)
}
