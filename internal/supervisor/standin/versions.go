// Package standin is the platform of the lab. It starts, stops and lists real processes by version, and simulates injected
// faults. Package core makes the decisions; this package implements the versions file, the processes and the HTTP
// interface. It owns the processes and their log and configuration files. The processes do not outlive the platform.
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

// Versions is the content of a versions file: the programs that a platform can run.
type Versions struct {
	MaxUnits int       `toml:"most_units"` // limit of listed units; 0: the core's default
	Versions []Version `toml:"version"`
}

// Version is a program. In Argv and the values of Env, the placeholders {name}, {listen}, {zone} and {version} stand for the
// unit's values, and {config} stands for the path of its configuration file.
type Version struct {
	Name        string            `toml:"name"`
	Kind        supervisor.Kind   `toml:"kind"`
	Argv        []string          `toml:"argv"`
	Env         map[string]string `toml:"env"`      // in addition to the platform's environment
	ReadyPath   string            `toml:"ready"`    // path of the readiness check at the unit's address; empty: ready once started
	GraceMS     int64             `toml:"grace_ms"` // from SIGTERM to SIGKILL; 0: the core's default
	MaxRestarts int               `toml:"restarts"` // limit of automatic restarts per incarnation
}

const (
	maxVersions = 256
	maxArgs     = 64
	maxRestarts = 1000
)

const configPlaceholder = "{config}"

// placeholders are the names of the placeholders, without braces.
var placeholders = []string{"name", "listen", "zone", "version", "config"}

// LoadVersions reads a versions file. Errors name the line and the key.
func LoadVersions(path string) (*Versions, error) {
	versions := &Versions{}
	file, err := config.Load(path, versions)
	if err != nil {
		return nil, err
	}
	if len(versions.Versions) == 0 || len(versions.Versions) > maxVersions {
		return nil, file.Errorf("version", "%d versions, expected 1 to %d", len(versions.Versions), maxVersions)
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

// id returns the version's identifier for the core.
func (v *Version) id() core.Version { return core.Version{Kind: v.Kind, Name: v.Name} }

// validate returns an error for the first invalid key of a version. known holds the previous versions of the file.
func (v *Version) validate(file *config.File, key string, known map[core.Version]bool) error {
	if err := supervisor.ValidateVersion(v.Kind, v.Name); err != nil {
		return file.Errorf(key+".name", "%w", err)
	}
	if known[v.id()] {
		return file.Errorf(key+".name", "%s %s is defined twice", v.Kind, v.Name)
	}
	if len(v.Argv) == 0 || len(v.Argv) > maxArgs || v.Argv[0] == "" {
		return file.Errorf(key+".argv", "%d parts, expected 1 to %d, starting with a program", len(v.Argv), maxArgs)
	}
	for _, arg := range v.Argv {
		if unknown := unknownPlaceholder(arg); unknown != "" {
			return file.Errorf(key+".argv", "unknown placeholder %s", unknown)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Env)) {
		if unknown := unknownPlaceholder(v.Env[name]); unknown != "" {
			return file.Errorf(key+".env."+name, "unknown placeholder %s", unknown)
		}
	}
	if v.ReadyPath != "" && v.ReadyPath[0] != '/' {
		return file.Errorf(key+".ready", "path %q does not begin with a slash", v.ReadyPath)
	}
	if v.GraceMS < 0 || v.GraceMS > supervisor.MaxGraceMS {
		return file.Errorf(key+".grace_ms", "%d is not within 0 to %d", v.GraceMS, supervisor.MaxGraceMS)
	}
	if v.MaxRestarts < 0 || v.MaxRestarts > maxRestarts {
		return file.Errorf(key+".restarts", "%d is not within 0 to %d", v.MaxRestarts, maxRestarts)
	}
	return nil
}

// unknownPlaceholder returns the first unknown placeholder of a text; "" if there is none.
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

// coreOptions returns the core's options for these versions.
func (v *Versions) coreOptions() core.Options {
	policies := make(map[core.Version]core.ProcessPolicy, len(v.Versions))
	for i := range v.Versions {
		version := &v.Versions[i]
		policies[version.id()] = core.ProcessPolicy{GraceMS: version.GraceMS, MaxRestarts: version.MaxRestarts}
	}
	return core.Options{Versions: policies, MaxUnits: v.MaxUnits}
}

// find returns the version of a kind and name, nil if there is none.
func (v *Versions) find(kind supervisor.Kind, name string) *Version {
	for i := range v.Versions {
		if v.Versions[i].Kind == kind && v.Versions[i].Name == name {
			return &v.Versions[i]
		}
	}
	return nil
}

// command returns a unit's command line and environment, and whether they refer to its configuration file.
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
