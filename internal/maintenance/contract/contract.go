// Package contract defines what a tenant has agreed to about maintenance: when its servers may be taken out of service,
// how many of them, and for how long. A contract is a strict TOML file written by operators, and JSON of the same fields
// in the replicated log. Its approved hours are computed by package calendar; package maintenance enforces it.
package contract

import (
	"errors"
	"time"

	"milldeck/internal/config"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/validation"
)

// Bounds of a contract.
const (
	MaxTenantLength = 128

	maxNotice            = 90 * 24 * time.Hour // beyond the planning horizon no window could be scheduled
	maxMinutesPerMonth   = 31 * 24 * 60
	maxConcurrentWindows = 1000
)

// OverrunPolicy is what follows when the servers of a window are not back at the close.
type OverrunPolicy string

// The overrun policies.
const (
	OverrunHaltsTenant OverrunPolicy = "halt"  // no server of the tenant is taken out until an operator resumes it
	OverrunCountsOnly  OverrunPolicy = "count" // the minutes are counted, nothing else
)

// Contract is the contract of one tenant.
type Contract struct {
	Tenant string `toml:"tenant" json:"tenant"`
	calendar.Spec
	Notice               string        `toml:"notice" json:"notice"`                   // from a proposal to its start, "24h", 0 to 90 days
	MinutesPerMonth      int           `toml:"minutes_a_month" json:"minutes_a_month"` // of windows, in a month of the time zone; at least 1
	MinAvailableShare    float64       `toml:"least_share" json:"least_share"`         // of the tenant's servers, 0 to below 1
	MaxConcurrentWindows int           `toml:"windows_at_once" json:"windows_at_once"` // at least 1
	OverrunPolicy        OverrunPolicy `toml:"on_overrun" json:"on_overrun"`
}

// NoticeMS is the notice in ms, 0 for a notice that is not valid.
func (c *Contract) NoticeMS() int64 {
	notice, _ := time.ParseDuration(c.Notice) // Validate has parsed it
	return notice.Milliseconds()
}

// Load reads a contract from a file and validates it. An error is one line that names file, line and key.
func Load(path string) (*Contract, error) {
	c := &Contract{}
	file, err := config.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, withPosition(file, c.Validate())
}

// Parse is Load for data at hand; path is for errors.
func Parse(path string, data []byte) (*Contract, error) {
	c := &Contract{}
	file, err := config.Parse(path, data, c)
	if err != nil {
		return nil, err
	}
	return c, withPosition(file, c.Validate())
}

// withPosition adds file and line to a validation error.
func withPosition(file *config.File, err error) error {
	var invalid *validation.Error
	if errors.As(err, &invalid) {
		return file.Errorf(invalid.Field, "%s", invalid.Reason)
	}
	return err
}

// Validate checks the contract. The error is a *validation.Error about the first key that is wrong.
func (c *Contract) Validate() error {
	notice, err := time.ParseDuration(c.Notice)
	switch {
	case c.Tenant == "" || len(c.Tenant) > MaxTenantLength:
		return validation.Errorf("tenant", "%d characters, wanted 1 to %d", len(c.Tenant), MaxTenantLength)
	case err != nil || notice < 0 || notice > maxNotice:
		return validation.Errorf("notice", "%q is not a time like 24h, 0s to %s", c.Notice, maxNotice)
	case c.MinutesPerMonth < 1 || c.MinutesPerMonth > maxMinutesPerMonth:
		return validation.Errorf("minutes_a_month", "%d is not within 1 to %d", c.MinutesPerMonth, maxMinutesPerMonth)
	case !(c.MinAvailableShare >= 0 && c.MinAvailableShare < 1): // also rejects NaN
		return validation.Errorf("least_share", "%v is not from 0 to below 1: at 1 no server could ever be taken out", c.MinAvailableShare)
	case c.MaxConcurrentWindows < 1 || c.MaxConcurrentWindows > maxConcurrentWindows:
		return validation.Errorf("windows_at_once", "%d is not within 1 to %d", c.MaxConcurrentWindows, maxConcurrentWindows)
	case c.OverrunPolicy != OverrunHaltsTenant && c.OverrunPolicy != OverrunCountsOnly:
		return validation.Errorf("on_overrun", "%q is not %q or %q", c.OverrunPolicy, OverrunHaltsTenant, OverrunCountsOnly)
	}
	_, err = c.Calendar()
	return err
}

// Calendar compiles the approved hours.
func (c *Contract) Calendar() (*calendar.Calendar, error) { return calendar.Compile(c.Spec) }
