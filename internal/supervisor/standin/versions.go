// Package standin is the lab's platform: it starts, stops and lists real processes by version, and fails when a fault is
// injected. Package core decides; here are the versions' file, the processes and the HTTP form. It owns the processes and
// their log and configuration files; none of them outlives it.
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

// Versions is a versions' file: the programs that a platform can run.
type Versions struct {
	MaxUnits int       `toml:"most_units"` // listed at a time; 0: the core's default
	Versions []Version `toml:"version"`
}

// Version is a program. In Argv and the values of Env, {name}, {listen}, {zone}, {version} and {config}, the path of the
// configuration file, are replaced by the unit's.
type Version struct {
	Name        string            `toml:"name"`
	Kind        supervisor.Kind   `toml:"kind"`
	Argv        []string          `toml:"argv"`
	Env         map[string]string `toml:"env"`      // in addition to the platform's
	ReadyPath   string            `toml:"ready"`    // of the readiness check at the unit's address; empty: ready once started
	GraceMS     int64             `toml:"grace_ms"` // from SIGTERM to SIGKILL; 0: the core's default
	MaxRestarts int               `toml:"restarts"` // by the platform itself, of one incarnation
}

const (
	maxVersions = 256
	maxArgs     = 64
	maxRestarts = 1000
)

const configPlaceholder = "{config}"

// placeholders are the names that may stand between braces.
var placeholders = []string{"name", "listen", "zone", "version", "config"}

// LoadVersions reads a versions' file. Errors name the line and the key.
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
	known := map[core.Version]bool{}
	for i := range versions.Versions {
		version := &versions.Versions[i]
		if err := version.validate(file, fmt.Sprintf("version[%d]", i), known); err != nil {
			return nil, err
		}
		known[version.id()] = true
	}
	return versions, nil
}

// id is the version as the core knows it.
func (v *Version) id() core.Version { return core.Version{Kind: v.Kind, Name: v.Name} }

// validate returns what is invalid about a version, by the key of the file. known are the versions before it.
func (v *Version) validate(file *config.File, key string, known map[core.Version]bool) error {
	if err := supervisor.ValidateVersion(v.Kind, v.Name); err != nil {
		return file.Errorf(key+".name", "%w", err)
	}
	if known[v.id()] {
		return file.Errorf(key+".name", "%s %s stands twice", v.Kind, v.Name)
	}
	if len(v.Argv) == 0 || len(v.Argv) > maxArgs || v.Argv[0] == "" {
		return file.Errorf(key+".argv", "%d parts, a program and at most %d in all can be", len(v.Argv), maxArgs)
	}
	for _, arg := range v.Argv {
		if unknown := unknownPlaceholder(arg); unknown != "" {
			return file.Errorf(key+".argv", "%s stands for nothing", unknown)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Env)) {
		if unknown := unknownPlaceholder(v.Env[name]); unknown != "" {
			return file.Errorf(key+".env."+name, "%s stands for nothing", unknown)
		}
	}
	if v.ReadyPath != "" && v.ReadyPath[0] != '/' {
		return file.Errorf(key+".ready", "%q is not a path", v.ReadyPath)
	}
	if v.GraceMS < 0 || v.GraceMS > supervisor.MaxGraceMS {
		return file.Errorf(key+".grace_ms", "%d is not within 0 to %d", v.GraceMS, supervisor.MaxGraceMS)
	}
	if v.MaxRestarts < 0 || v.MaxRestarts > maxRestarts {
		return file.Errorf(key+".restarts", "%d is not within 0 to %d", v.MaxRestarts, maxRestarts)
	}
	return nil
}

// unknownPlaceholder returns the first placeholder of a text that has no meaning, "" where all have.
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

// coreOptions are the core's options for these versions.
func (v *Versions) coreOptions() core.Options {
	policies := make(map[core.Version]core.ProcessPolicy, len(v.Versions))
	for i := range v.Versions {
		version := &v.Versions[i]
		policies[version.id()] = core.ProcessPolicy{GraceMS: version.GraceMS, MaxRestarts: version.MaxRestarts}
	}
	return core.Options{Versions: policies, MaxUnits: v.MaxUnits}
}

// find returns a version, nil where there is none.
func (v *Versions) find(kind supervisor.Kind, name string) *Version {
	for i := range v.Versions {
		if v.Versions[i].Kind == kind && v.Versions[i].Name == name {
			return &v.Versions[i]
		}
	}
	return nil
}

// command returns a unit's command line and environment, and whether these name its configuration file.
func (v *Version) command(u *supervisor.Unit, configPath string) (argv, env []string, usesConfig bool) {
	replacer := strings.NewReplacer("{name}", u.Name, "{listen}", u.Listen, "{zone}", u.Zone, "{version}", u.Version,
		configPlaceholder, configPath)
	for _, arg := range v.Argv {
		argv = append(argv, replacer.Replace(arg))
		usesConfig = usesConfig || strings.Contains(arg, configPlaceholder)
	}
	for _, name := range slices.Sorted(maps.Keys(v.Env)) {
		env = append(env, name+"="+replacer.Replace(v.Env[name]))
		usesConfig = usesConfig || strings.Contains(v.Env[name], configPlaceholder)
	}
	return argv, env, usesConfig
}
