// Package contract reads what a tenant has agreed to: when its servers may be taken out for maintenance, and how much
// of them. A contract is written by hand as a strict TOML file and kept in the log as JSON of the same fields.
package contract

import (
	"errors"
	"fmt"
	"time"

	"milldeck/internal/conf"
	"milldeck/internal/window/hours"
)

// Bounds of a contract.
const (
	MaxName    = 128
	maxNotice  = 90 * 24 * time.Hour // who needs longer has no windows at all
	maxMinutes = 31 * 24 * 60        // of a month
	maxAtOnce  = 1000
)

// What a contract asks for when a window was not over at the close.
const (
	HaltOthers = "halt"  // nothing of this tenant's is taken out until an operator resumes it
	CountOnly  = "count" // the minutes are counted, no more
)

// Contract is one tenant's.
type Contract struct {
	Tenant string `toml:"tenant" json:"tenant"`
	hours.Spec
	Notice        string  `toml:"notice" json:"notice"`                   // "24h", 0 to 90 days: from a proposal to its start
	MinutesAMonth int     `toml:"minutes_a_month" json:"minutes_a_month"` // of windows, in a month of the zone; at least 1
	LeastShare    float64 `toml:"least_share" json:"least_share"`         // of its servers that stays, 0 to below 1
	WindowsAtOnce int     `toml:"windows_at_once" json:"windows_at_once"` // at least 1
	OnOverrun     string  `toml:"on_overrun" json:"on_overrun"`           // "halt" or "count"
}

// NoticeMS is the notice in ms.
func (c *Contract) NoticeMS() int64 {
	d, _ := time.ParseDuration(c.Notice) // Check has seen that it can be read
	return d.Milliseconds()
}

// Load reads a file; its error is one line that names file, line and key.
func Load(path string) (*Contract, error) {
	c := &Contract{}
	f, err := conf.Load(path, c)
	if err != nil {
		return nil, err
	}
	return c, locate(f, c.Check())
}

// Parse is Load for bytes at hand.
func Parse(path string, data []byte) (*Contract, error) {
	c := &Contract{}
	f, err := conf.Parse(path, data, c)
	if err != nil {
		return nil, err
	}
	return c, locate(f, c.Check())
}

func locate(f *conf.File, err error) error {
	var field *hours.FieldError
	if errors.As(err, &field) {
		return f.Errorf(field.Field, "%s", field.Why)
	}
	return err
}

// Check tells the first key that cannot be, as a *hours.FieldError.
func (c *Contract) Check() error {
	notice, err := time.ParseDuration(c.Notice)
	fault := func(field, format string, args ...any) error {
		return &hours.FieldError{Field: field, Why: fmt.Sprintf(format, args...)}
	}
	switch {
	case c.Tenant == "" || len(c.Tenant) > MaxName:
		return fault("tenant", "%d characters, wanted 1 to %d", len(c.Tenant), MaxName)
	case err != nil || notice < 0 || notice > maxNotice:
		return fault("notice", "%q is no time like 24h, 0s to %s", c.Notice, maxNotice)
	case c.MinutesAMonth < 1 || c.MinutesAMonth > maxMinutes:
		return fault("minutes_a_month", "%d is not within 1 to %d", c.MinutesAMonth, maxMinutes)
	case !(c.LeastShare >= 0 && c.LeastShare < 1):
		return fault("least_share", "%v is not from 0 to below 1: at 1 no server could ever be taken out", c.LeastShare)
	case c.WindowsAtOnce < 1 || c.WindowsAtOnce > maxAtOnce:
		return fault("windows_at_once", "%d is not within 1 to %d", c.WindowsAtOnce, maxAtOnce)
	case c.OnOverrun != HaltOthers && c.OnOverrun != CountOnly:
		return fault("on_overrun", "%q is not %q or %q", c.OnOverrun, HaltOthers, CountOnly)
	}
	_, err = c.Hours()
	return err
}

// Hours are the approved hours, made ready.
func (c *Contract) Hours() (*hours.Hours, error) { return hours.Compile(c.Spec) }
