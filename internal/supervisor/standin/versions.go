// Package standin is the lab's platform: it starts, stops and lists real processes by version, and fails when it is
// told to. What it decides stands in package core; here are the versions' file, the processes and the HTTP form.
package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"milldeck/internal/config"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// Versions are the programs that a platform can run.
type Versions struct {
	MaxUnits int       `toml:"most_units"` // listed at a time; 0: the core's default
	Versions []Version `toml:"version"`
}

// Version is one of them. In Argv and the values of Env, {name}, {listen}, {zone}, {version} and {config}, the path
// of the unit's configuration file, stand for the unit's own.
type Version struct {
	Name        string            `toml:"name"`
	Kind        supervisor.Kind   `toml:"kind"`
	Argv        []string          `toml:"argv"`
	Env         map[string]string `toml:"env"`      // beside the platform's
	ReadyPath   string            `toml:"ready"`    // path of the ready check at the unit's address; empty: ready once started
	GraceMS     int64             `toml:"grace_ms"` // 0: the core's default
	MaxRestarts int               `toml:"restarts"` // by the platform itself, of one incarnation
}

const (
	maxVersions = 256
	maxArgs     = 64
	maxRestarts = 1000
)

var placeholders = []string{"name", "listen", "zone", "version", "config"}

// LoadVersions reads a versions' file.
func LoadVersions(path string) (*Versions, error) {
	versions := &Versions{}
	file, err := config.Load(path, versions)
	if err != nil {
		return nil, err
	}
	if len(versions.Versions) == 0 || len(versions.Versions) > maxVersions {
		return nil, file.Errorf("version", "%d versions, 1 to %d can be", len(versions.Versions), maxVersions)
	}
	if versions.MaxUnits < 0 {
		return nil, file.Errorf("most_units", "%d is negative", versions.MaxUnits)
	}
	seen := map[core.Version]bool{}
	for i := range versions.Versions {
		version := &versions.Versions[i]
		field := func(key string) string { return fmt.Sprintf("version[%d].%s", i, key) }
		id := core.Version{Kind: version.Kind, Name: version.Name}
		if err := supervisor.ValidateVersion(version.Kind, version.Name); err != nil {
			return nil, file.Errorf(field("name"), "%w", err)
		}
		if seen[id] {
			return nil, file.Errorf(field("name"), "%s %s stands twice", version.Kind, version.Name)
		}
		seen[id] = true
		if len(version.Argv) == 0 || len(version.Argv) > maxArgs || version.Argv[0] == "" {
			return nil, file.Errorf(field("argv"), "%d parts, a program and at most %d in all can be", len(version.Argv), maxArgs)
		}
		for _, a := range version.Argv {
			if bad := unknownPlaceholder(a); bad != "" {
				return nil, file.Errorf(field("argv"), "%s stands for nothing", bad)
			}
		}
		for _, k := range slices.Sorted(maps.Keys(version.Env)) {
			if bad := unknownPlaceholder(version.Env[k]); bad != "" {
				return nil, file.Errorf(field("env")+"."+k, "%s stands for nothing", bad)
			}
		}
		if version.ReadyPath != "" && version.ReadyPath[0] != '/' {
			return nil, file.Errorf(field("ready"), "%q is no path", version.ReadyPath)
		}
		if version.GraceMS < 0 || version.GraceMS > supervisor.MaxGraceMS {
			return nil, file.Errorf(field("grace_ms"), "%d is not within 0 to %d", version.GraceMS, supervisor.MaxGraceMS)
		}
		if version.MaxRestarts < 0 || version.MaxRestarts > maxRestarts {
			return nil, file.Errorf(field("restarts"), "%d is not within 0 to %d", version.MaxRestarts, maxRestarts)
		}
	}
	return versions, nil
}

// unknownPlaceholder is the first placeholder of a text that stands for nothing.
func unknownPlaceholder(text string) string {
	for {
		_, rest, found := strings.Cut(text, "{")
		if !found {
			return ""
		}
		name, after, _ := strings.Cut(rest, "}")
		if !slices.Contains(placeholders, name) {
			return "{" + name + "}"
		}
		text = after
	}
}

// coreOptions are the core's.
func (v *Versions) coreOptions() core.Options {
	policies := make(map[core.Version]core.ProcessPolicy, len(v.Versions))
	for _, version := range v.Versions {
		policies[core.Version{Kind: version.Kind, Name: version.Name}] = core.ProcessPolicy{GraceMS: version.GraceMS, MaxRestarts: version.MaxRestarts}
	}
	return core.Options{Versions: policies, MaxUnits: v.MaxUnits}
}

// find is a version that the core knows.
func (v *Versions) find(k supervisor.Kind, name string) *Version {
	for i := range v.Versions {
		if v.Versions[i].Kind == k && v.Versions[i].Name == name {
			return &v.Versions[i]
		}
	}
	return nil
}

// command is a unit's command line and environment, and whether they name a configuration file.
func (version *Version) command(u *supervisor.Unit, configPath string) (argv, env []string, usesConfig bool) {
	replacer := strings.NewReplacer("{name}", u.Name, "{listen}", u.Listen, "{zone}", u.Zone, "{version}", u.Version, "{config}", configPath)
	for _, a := range version.Argv {
		argv = append(argv, replacer.Replace(a))
		usesConfig = usesConfig || strings.Contains(a, "{config}")
	}
	for _, k := range slices.Sorted(maps.Keys(version.Env)) {
		env = append(env, k+"="+replacer.Replace(version.Env[k]))
		usesConfig = usesConfig || strings.Contains(version.Env[k], "{config}")
	}
	return argv, env, usesConfig
}
