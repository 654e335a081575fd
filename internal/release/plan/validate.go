package plan

import (
	"fmt"
	"regexp"

	"milldeck/internal/config"
	"milldeck/internal/disruption"
)

// Bounds of a plan. They are far above practical values and keep the release's record in the log small.
const (
	maxWaves     = 64
	maxSeconds   = 30 * 24 * 3600
	maxNameBytes = 64
)

// Upper bounds of the guards.
const (
	maxShareTolerance  = 0.5
	maxMemoryTolerance = 10
	maxFalseAlarmRate  = 0.2
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// validate returns an error for the first invalid value, in the order of the file.
func (p *Plan) validate(file *config.File) error {
	if err := p.validateChange(file); err != nil {
		return err
	}
	switch {
	case len(p.Waves) == 0 || len(p.Waves) > maxWaves:
		return file.Errorf("wave", "%d waves, wanted 1 to %d", len(p.Waves), maxWaves)
	case p.OnHalt != OnHaltHold && p.OnHalt != OnHaltRollback:
		return file.Errorf("on_halt", "%q is not %q or %q", p.OnHalt, OnHaltHold, OnHaltRollback)
	case !(p.DeadlineSeconds > 0 && p.DeadlineSeconds <= maxSeconds): // the negation also rejects NaN
		return file.Errorf("deadline_s", "%v is not above 0 and at most %d", p.DeadlineSeconds, maxSeconds)
	}
	if err := p.validateWaves(file); err != nil {
		return err
	}
	if err := validateLimit(file, "limits.max_out", p.Limits.MaxUnavailable); err != nil {
		return err
	}
	if err := validateLimit(file, "limits.max_cold", p.Limits.MaxWarmingUp); err != nil {
		return err
	}
	return p.Guards.validate(file)
}

// validateChange validates the plan's name, change and selector.
func (p *Plan) validateChange(file *config.File) error {
	change := &p.Change
	switch {
	case len(p.Name) > maxNameBytes || !namePattern.MatchString(p.Name):
		return file.Errorf("name", "%q is not 1 to %d of a-z, 0-9, '.', '_', '-', beginning with a letter or digit",
			p.Name, maxNameBytes)
	case *change == Change{}:
		return file.Errorf("what", "nothing to release: server, sidecar or sidecar_config is needed")
	case change.ServerVersion != "" && (change.SidecarVersion != "" || change.SidecarConfig != ""):
		return file.Errorf("what.server", "servers and sidecars need separate releases, because a regression could not be attributed")
	case p.Selector.Kind != "" && p.Selector.Kind != p.Kind():
		return file.Errorf("select.kind", "%q, but the release changes units of kind %s", p.Selector.Kind, p.Kind())
	case p.Selector.Version != "":
		return file.Errorf("select.version", "a release changes versions, so its selector must not depend on them")
	}
	return nil
}

func (p *Plan) validateWaves(file *config.File) error {
	totalBakeSeconds := 0.0
	for i := range p.Waves {
		if err := p.Waves[i].validate(file, fmt.Sprintf("wave[%d].", i)); err != nil {
			return err
		}
		totalBakeSeconds += p.Waves[i].BakeSeconds
	}
	if totalBakeSeconds >= p.DeadlineSeconds {
		return file.Errorf("deadline_s", "%v s, but the waves alone bake for %v s", p.DeadlineSeconds, totalBakeSeconds)
	}
	return nil
}

func (w *Wave) validate(file *config.File, prefix string) error {
	switch {
	case w.Count != nil && w.Share != nil:
		return file.Errorf(prefix+"share", "only one of count and share may be set")
	case w.Count != nil && *w.Count < 1:
		return file.Errorf(prefix+"count", "%d is less than 1", *w.Count)
	case w.Share != nil && !(*w.Share > 0 && *w.Share <= 1):
		return file.Errorf(prefix+"share", "%v is not above 0 and at most 1", *w.Share)
	case !(w.BakeSeconds >= 0 && w.BakeSeconds <= maxSeconds):
		return file.Errorf(prefix+"bake_s", "%v is not within 0 to %d", w.BakeSeconds, maxSeconds)
	case w.MaxExtraUnits < 0:
		return file.Errorf(prefix+"widen", "%d is less than 0", w.MaxExtraUnits)
	}
	return nil
}

func validateLimit(file *config.File, key string, limit disruption.Limit) error {
	if limit.Count != nil && *limit.Count < 1 {
		return file.Errorf(key+".count", "%d is less than 1 and would allow no unit", *limit.Count)
	}
	if limit.Fraction != nil && !(*limit.Fraction > 0 && *limit.Fraction <= 1) {
		return file.Errorf(key+".share", "%v is not above 0 and at most 1", *limit.Fraction)
	}
	return nil
}

func (g *Guards) validate(file *config.File) error {
	for _, guard := range []struct {
		key     string
		value   *float64
		maximum float64
	}{
		{"served", g.ServedTolerance, maxShareTolerance},
		{"late", g.LateTolerance, maxShareTolerance},
		{"failed", g.FailedTolerance, maxShareTolerance},
		{"latency", g.LatencyTolerance, maxShareTolerance},
		{"restarts", g.RestartTolerance, maxShareTolerance},
		{"memory", g.MemoryTolerance, maxMemoryTolerance},
		{"false_alarms", g.FalseAlarmRate, maxFalseAlarmRate},
	} {
		if guard.value != nil && !(*guard.value > 0 && *guard.value <= guard.maximum) {
			return file.Errorf("guards."+guard.key, "%v is not above 0 and at most %v", *guard.value, guard.maximum)
		}
	}
	return nil
}
