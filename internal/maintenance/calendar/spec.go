package calendar

import (
	"fmt"
	"time"

	"milldeck/internal/validation"
)

// Bounds of a Spec, far beyond what contracts need.
const (
	MaxRules      = 32
	MaxClosedDays = 400                // a year of entries for single days
	MaxLength     = 7 * 24 * time.Hour // of approved hours
	maxRuleLength = 512                // bytes of a recurrence
)

const (
	dateLayout = "2006-01-02"
	timeLayout = "15:04"

	// singleDay is the recurrence of a closed day that does not recur.
	singleDay = "FREQ=DAILY;COUNT=1"
)

// Spec is the part of a contract that says when maintenance is approved.
type Spec struct {
	Zone          string      `toml:"zone" json:"zone"` // IANA name of the time zone, as "America/Montevideo"
	ApprovedHours []Rule      `toml:"hours" json:"hours"`
	ClosedDays    []ClosedDay `toml:"closed" json:"closed,omitempty"`
}

// Rule approves Length from Start on, on each day of Recurrence, an RFC 5545 recurrence of whole days from
// FirstDay on.
type Rule struct {
	Recurrence string `toml:"rule" json:"rule"`     // FREQ=DAILY, WEEKLY, MONTHLY or YEARLY; no BYHOUR, BYMINUTE or BYSECOND
	Start      string `toml:"start" json:"start"`   // local time, "22:00"
	Length     string `toml:"length" json:"length"` // "6h", whole minutes, at most MaxLength; may cross midnight
	FirstDay   string `toml:"from" json:"from"`     // "2026-01-05"
}

// ClosedDay names days on which nothing is approved, from one local midnight to the next: either Day, or the days
// of Recurrence from FirstDay on.
type ClosedDay struct {
	Day        string `toml:"day" json:"day,omitempty"`
	Recurrence string `toml:"rule" json:"rule,omitempty"`
	FirstDay   string `toml:"from" json:"from,omitempty"`
	Reason     string `toml:"why" json:"why,omitempty"` // for operators
}

// Compile checks a Spec and compiles it. The error is a *validation.Error that names the key as written in the
// contract.
func Compile(spec Spec) (*Calendar, error) {
	location, err := time.LoadLocation(spec.Zone)
	if err != nil || spec.Zone == "" || spec.Zone == "Local" {
		return nil, validation.Errorf("zone", "%q is not the name of a time zone", spec.Zone)
	}
	switch {
	case len(spec.ApprovedHours) == 0:
		return nil, validation.Errorf("hours", "no approved hours")
	case len(spec.ApprovedHours) > MaxRules:
		return nil, validation.Errorf("hours", "%d rules, at most %d", len(spec.ApprovedHours), MaxRules)
	case len(spec.ClosedDays) > MaxClosedDays:
		return nil, validation.Errorf("closed", "%d entries, at most %d", len(spec.ClosedDays), MaxClosedDays)
	}
	calendar := &Calendar{location: location}
	for i := range spec.ApprovedHours {
		days, err := spec.ApprovedHours[i].compile(fmt.Sprintf("hours[%d]", i))
		if err != nil {
			return nil, err
		}
		calendar.approved = append(calendar.approved, days)
	}
	for i := range spec.ClosedDays {
		days, err := spec.ClosedDays[i].compile(fmt.Sprintf("closed[%d]", i))
		if err != nil {
			return nil, err
		}
		calendar.closed = append(calendar.closed, days)
	}
	return calendar, nil
}

// compile compiles the rule. Errors name field as its key.
func (r *Rule) compile(field string) (*daySeries, error) {
	start, err := time.Parse(timeLayout, r.Start)
	if err != nil {
		return nil, validation.Errorf(field+".start", "%q is not a time of day like 22:00", r.Start)
	}
	length, err := time.ParseDuration(r.Length)
	if err != nil || length < time.Minute || length > MaxLength || length%time.Minute != 0 {
		return nil, validation.Errorf(field+".length", "%q is not a length like 6h, of whole minutes, at most %s", r.Length, MaxLength)
	}
	days, err := newDaySeries(field, r.Recurrence, r.FirstDay)
	if err != nil {
		return nil, err
	}
	days.startOffset = int64(start.Hour()*3600 + start.Minute()*60)
	days.duration = int64(length / time.Second)
	return days, nil
}

// compile compiles the closed days. Errors name field as their key.
func (d *ClosedDay) compile(field string) (*daySeries, error) {
	recurrence, firstDay := d.Recurrence, d.FirstDay
	if d.Day != "" {
		if d.Recurrence != "" || d.FirstDay != "" {
			return nil, validation.Errorf(field, "a day or a rule, not both")
		}
		if _, err := parseDate(field+".day", d.Day); err != nil {
			return nil, err
		}
		recurrence, firstDay = singleDay, d.Day
	}
	days, err := newDaySeries(field, recurrence, firstDay)
	if err != nil {
		return nil, err
	}
	days.duration = secondsPerDay
	return days, nil
}

func parseDate(field, text string) (time.Time, error) {
	date, err := time.Parse(dateLayout, text)
	if err != nil || date.Year() < minYear || date.Year() >= maxYear {
		return date, validation.Errorf(field, "%q is not a day like 2026-01-05, of the years %d to %d", text, minYear, maxYear-1)
	}
	return date, nil
}
