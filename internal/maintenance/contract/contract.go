// Package contract reads what a tenant has agreed to: when its servers may be taken out for maintenance, and how much
// of them. A contract is written by hand as a strict TOML file and kept in the log as JSON of the same fields.
package contract

import (
	"errors"
	"fmt"
	"time"

	"milldeck/internal/config"
	"milldeck/internal/maintenance/calendar"
)

// Bounds of a contract.
const (
	MaxTenantLength      = 128
	maxNotice            = 90 * 24 * time.Hour // who needs longer has no windows at all
	maxMinutesPerMonth   = 31 * 24 * 60        // of a month
	maxConcurrentWindows = 1000
)

// What a contract asks for when a window was not over at the close.
const (
	OverrunHaltsTenant = "halt"  // nothing of this tenant's is taken out until an operator resumes it
	OverrunCountsOnly  = "count" // the minutes are counted, no more
)

// Contract is one tenant's.
type Contract struct {
	Tenant string `toml:"tenant" json:"tenant"`
	calendar.Spec
	Notice               string  `toml:"notice" json:"notice"`                   // "24h", 0 to 90 days: from a proposal to its start
	MinutesPerMonth      int     `toml:"minutes_a_month" json:"minutes_a_month"` // of windows, in a month of the zone; at least 1
	MinAvailableShare    float64 `toml:"least_share" json:"least_share"`         // of its servers that stays, 0 to below 1
	MaxConcurrentWindows int     `toml:"windows_at_once" json:"windows_at_once"` // at least 1
	OverrunPolicy        string  `toml:"on_overrun" json:"on_overrun"`           // "halt" or "count"
}

// NoticeMS is the notice in ms.
func (c *Contract) NoticeMS() int64 {
	notice, _ := time.ParseDuration(c.Notice) // Check has seen that it can be read
	return notice.Milliseconds()
}

// Load reads a file; its error is one line that names file, line and key.
func Load(path string) (*Contract, error) {
	c := &Contract{}
	file, err := config.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, wrapPosition(file, c.Validate())
}

// Parse is Load for bytes at hand.
func Parse(path string, data []byte) (*Contract, error) {
	c := &Contract{}
	file, err := config.Parse(path, data, c)
	if err != nil {
		return nil, err
	}
	return c, wrapPosition(file, c.Validate())
}

func wrapPosition(file *config.File, err error) error {
	var field *calendar.FieldError
	if errors.As(err, &field) {
		return file.Errorf(field.Field, "%s", field.Reason)
	}
	return err
}

// Validate tells the first key that cannot be, as a *hours.FieldError.
func (c *Contract) Validate() error {
	notice, err := time.ParseDuration(c.Notice)
	invalid := func(field, format string, args ...any) error {
		return &calendar.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case c.Tenant == "" || len(c.Tenant) > MaxTenantLength:
		return invalid("tenant", "%d characters, wanted 1 to %d", len(c.Tenant), MaxTenantLength)
	case err != nil || notice < 0 || notice > maxNotice:
		return invalid("notice", "%q is no time like 24h, 0s to %s", c.Notice, maxNotice)
	case c.MinutesPerMonth < 1 || c.MinutesPerMonth > maxMinutesPerMonth:
		return invalid("minutes_a_month", "%d is not within 1 to %d", c.MinutesPerMonth, maxMinutesPerMonth)
	case !(c.MinAvailableShare >= 0 && c.MinAvailableShare < 1):
		return invalid("least_share", "%v is not from 0 to below 1: at 1 no server could ever be taken out", c.MinAvailableShare)
	case c.MaxConcurrentWindows < 1 || c.MaxConcurrentWindows > maxConcurrentWindows:
		return invalid("windows_at_once", "%d is not within 1 to %d", c.MaxConcurrentWindows, maxConcurrentWindows)
	case c.OverrunPolicy != OverrunHaltsTenant && c.OverrunPolicy != OverrunCountsOnly:
		return invalid("on_overrun", "%q is not %q or %q", c.OverrunPolicy, OverrunHaltsTenant, OverrunCountsOnly)
	}
	_, err = c.Calendar()
	return err
}

// Calendar are the approved hours, made ready.
func (c *Contract) Calendar() (*calendar.Calendar, error) { return calendar.Compile(c.Spec) }
