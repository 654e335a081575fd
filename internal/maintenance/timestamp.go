package maintenance

import "fmt"

// Timestamp is the time of an operation, Unix ms: by the clock of the controller when it wrote the operation, and
// by the clock of the leader when it accepted the operation, each with the uncertainty of the clock in ms.
type Timestamp struct {
	ControllerMS        int64 `json:"controller_ms"`
	UncertaintyMS       int64 `json:"uncertainty_ms"`
	LeaderMS            int64 `json:"leader_ms"`
	LeaderUncertaintyMS int64 `json:"leader_uncertainty_ms"`
}

// bounds returns the earliest and the latest true time that at least one of the clocks allows.
func (ts Timestamp) bounds() (earliest, latest int64) {
	earliest = min(ts.ControllerMS-ts.UncertaintyMS, ts.LeaderMS-ts.LeaderUncertaintyMS)
	latest = max(ts.ControllerMS+ts.UncertaintyMS, ts.LeaderMS+ts.LeaderUncertaintyMS)
	return earliest, latest
}

// clockFault returns why the timestamp cannot be trusted, or "". The text is stored: replicas of all versions
// must produce the same text.
func (ts Timestamp) clockFault() string {
	skewMS := max(ts.ControllerMS-ts.LeaderMS, ts.LeaderMS-ts.ControllerMS)
	uncertaintyMS := max(ts.UncertaintyMS, ts.LeaderUncertaintyMS)
	switch {
	case ts.ControllerMS <= 0 || ts.LeaderMS <= 0 || min(ts.UncertaintyMS, ts.LeaderUncertaintyMS) < 0:
		return "a clock is missing"
	case skewMS > MaxClockSkewMS:
		return fmt.Sprintf("the clocks of controller and leader are %d ms apart, at most %d", skewMS, MaxClockSkewMS)
	case uncertaintyMS > MaxClockUncertaintyMS:
		return fmt.Sprintf("a clock may be off by %d ms, at most %d", uncertaintyMS, MaxClockUncertaintyMS)
	}
	return ""
}

// timeBounds bounds the time at which an operation is applied: not before earliest and not after latest (Unix
// ms), unless clockFault says that the clocks cannot be trusted.
type timeBounds struct {
	earliest, latest int64
	uncertainty      int64 // of the less certain clock, ms
	timestamp        Timestamp
	clockFault       string
}

// trusted reports whether the clocks can be trusted and the bounds hold.
func (b timeBounds) trusted() bool { return b.clockFault == "" }

// boundTime converts a timestamp to time bounds, and checks it against the log time, which never runs backwards.
// If the clocks are not trusted, earliest is the log time: only that time is known to have passed.
func (t *Table) boundTime(timestamp Timestamp) timeBounds {
	earliest, latest := timestamp.bounds()
	now := timeBounds{
		earliest:    max(earliest, t.logTimeMS),
		latest:      max(latest, t.logTimeMS),
		uncertainty: max(timestamp.UncertaintyMS, timestamp.LeaderUncertaintyMS),
		timestamp:   timestamp,
		clockFault:  timestamp.clockFault(),
	}
	if now.trusted() && latest < t.logTimeMS {
		now.clockFault = fmt.Sprintf("the time is %d ms before what is logged", t.logTimeMS-latest)
	}
	if !now.trusted() {
		now.earliest = t.logTimeMS
	}
	return now
}
