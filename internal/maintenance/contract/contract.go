// Package contract defines the maintenance contract of a tenant: when the tenant's servers may be taken out of
// service, how many of them at once, and for how long. Operators write a contract as a TOML file, in which an
// unknown key is an error. The replicated log stores it as JSON with the same fields. Package calendar computes
// the approved hours, and package maintenance enforces the contract.
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

	maxNotice            = 90 * 24 * time.Hour // no window can be scheduled beyond the planning horizon
	maxMinutesPerMonth   = 31 * 24 * 60
	maxConcurrentWindows = 1000
)

// OverrunPolicy says what happens when the servers of a window are not back in service at the close of the
// approved hours.
type OverrunPolicy string

// The overrun policies.
const (
	OverrunHaltsTenant OverrunPolicy = "halt"  // no server of the tenant goes out of service until an operator resumes the tenant
	OverrunCountsOnly  OverrunPolicy = "count" // the overrun only counts towards the used minutes
)

// Contract is the contract of one tenant.
type Contract struct {
	Tenant string `toml:"tenant" json:"tenant"`
	calendar.Spec
	Notice               string        `toml:"notice" json:"notice"`                   // from proposal to start, "24h"; 0 to 90 days
	MinutesPerMonth      int           `toml:"minutes_a_month" json:"minutes_a_month"` // out of service for windows, per month in Zone; at least 1
	MinAvailableShare    float64       `toml:"least_share" json:"least_share"`         // of the tenant's servers; from 0 to below 1
	MaxConcurrentWindows int           `toml:"windows_at_once" json:"windows_at_once"` // at least 1
	OverrunPolicy        OverrunPolicy `toml:"on_overrun" json:"on_overrun"`
}

// NoticeMS returns the notice in ms, 0 if the notice is not valid.
func (c *Contract) NoticeMS() int64 {
	notice, _ := time.ParseDuration(c.Notice) // Validate rejects a notice that does not parse
	return notice.Milliseconds()
}

// Load reads a contract from a file and validates it. An error is one line that names the file, the line and the
// key.
func Load(path string) (*Contract, error) {
	c := &Contract{}
	file, err := config.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, withPosition(file, c.Validate())
}

// Parse is Load for data in memory. Errors name path as the file.
func Parse(path string, data []byte) (*Contract, error) {
	c := &Contract{}
	file, err := config.Parse(path, data, c)
	if err != nil {
		return nil, err
	}
	return c, withPosition(file, c.Validate())
}

// withPosition adds the file and the line to a validation error.
func withPosition(file *config.File, err error) error {
	var invalid *validation.Error
	if errors.As(err, &invalid) {
		return file.Errorf(invalid.Field, "%s", invalid.Reason)
	}
	return err
}

// Validate checks the contract. The error is a *validation.Error for the first invalid key.
func (c *Contract) Validate() error {
	notice, err := time.ParseDuration(c.Notice)
	switch {
	case c.Tenant == "" || len(c.Tenant) > MaxTenantLength:
		return validation.Errorf("tenant", "%d characters, wanted 1 to %d", len(c.Tenant), MaxTenantLength)
	case err != nil || notice < 0 || notice > maxNotice:
		return validation.Errorf("notice", "%q is not a duration like 24h, from 0s to %s", c.Notice, maxNotice)
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
