// Package sidecar runs the decision module of package balance on real sockets: applications in front,
// servers behind, discovery beside. All decisions are the module's.
package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"time"

	"milldeck/balance"
	"milldeck/internal/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Name             string
	ListenAddress    string // where the application connects
	DiscoveryAddress string
	PlacementAddress string // where the placement is told and reports are taken; "": nowhere
	// Application is the calling application, which is the tenant of all requests where the settings name none.
	Application string
	Version     string // a label for reports
	Cores       float64
	MemoryMB    int // 0: no limit
	Sockets     int // descriptors in all

	settings         balance.Config
	classNumbers     map[string]int
	tenantNumbers    map[string]int // empty: the site has none
	zoneNumbers      map[string]int
	kindNumbers      map[string]int
	loadReportFields []string // of a load report's figures, in the order of balance.Config.Fields
	connIdleTimeout  time.Duration
	maxOpenRequests  int
	knownEndpoints   endpointList
	peers            *peerConfig // nil: no messages between sidecars
}

// defaultSockets holds where the configuration sets no limit.
const defaultSockets = 1024

// minSockets is the least of which clients get a third beside the reserve.
const minSockets = 5 * reservedDescriptors

type namedEntry struct {
	Name string `json:"name"`
}

// configFile is the configuration's JSON form.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	placementConfigFile
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	peerConfigFile
	Known    endpointList    `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// settingsNames is what the sidecar itself reads of the settings: names of what the module counts, and its limits.
type settingsNames struct {
	Classes []namedEntry `json:"classes"`
	Tenants []namedEntry `json:"tenants"`
	Zones   []string     `json:"zones"`
	Kinds   []string     `json:"kinds"`
	Report  struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		ConnIdle float64 `json:"conn_idle_ms"`
		MaxOpen  int     `json:"open_cap"`
	} `json:"limits"`
}

// LoadConfig reads the configuration file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN and
// NODE_DISCOVERY, where set, win over the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, field := range map[string]*string{
		"NODE_NAME": &file.Name, "NODE_LISTEN": &file.Listen, "NODE_DISCOVERY": &file.Discovery,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
	config, err := file.resolve()
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// ReloadConfig reads the file again while the sidecar runs. The environment is as old as the process, so for
// discovery the file's address holds.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return LoadConfig(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

func (f *configFile) resolve() (*Config, error) {
	for name, address := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if err := f.placementConfigFile.validate(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("no settings")
	}
	settings, err := wire.ParseSettings(seed, f.Settings)
	if err != nil {
		return nil, err
	}
	var names settingsNames
	if err := json.Unmarshal(f.Settings, &names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config := &Config{
		Name: f.Name, ListenAddress: f.Listen, DiscoveryAddress: f.Discovery,
		PlacementAddress: f.Placement, Application: f.Application, Version: f.Version,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		settings: settings, zoneNumbers: numberByName(names.Zones), kindNumbers: numberByName(names.Kinds), loadReportFields: names.Report.Fields,
		connIdleTimeout: durationFromMS(names.Limits.ConnIdle), maxOpenRequests: names.Limits.MaxOpen, knownEndpoints: f.Known,
	}
	if config.Sockets == 0 {
		config.Sockets = defaultSockets
	}
	if config.Sockets < minSockets || config.MemoryMB < 0 || config.Cores < 0 {
		return nil, fmt.Errorf("limits cannot be: %+v (at least %d sockets)", f.Limits, minSockets)
	}
	if err := config.knownEndpoints.sanitize(); err != nil {
		slog.Warn("the known list is not used", "error", err)
		config.knownEndpoints = endpointList{}
	}
	if config.settings.AllowGossip {
		if config.peers, err = f.peerConfigFile.resolve(f.Listen, settings.SidecarIndex, settings.SidecarCount); err != nil {
			return nil, err
		}
	}
	config.settings.AllowGossip = config.peers != nil
	if config.classNumbers, err = numberByUniqueName("classes", names.Classes); err != nil {
		return nil, err
	}
	if config.tenantNumbers, err = numberByUniqueName("tenants", names.Tenants); err != nil {
		return nil, err
	}
	return config, nil
}

func numberByName(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// numberByUniqueName also refuses names by which a request could not tell one class or tenant from another.
func numberByUniqueName(section string, entries []namedEntry) (map[string]int, error) {
	numbers := make(map[string]int, len(entries))
	for i, entry := range entries {
		if _, duplicate := numbers[entry.Name]; duplicate || entry.Name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d has no name of its own: %q", section, i, entry.Name)
		}
		numbers[entry.Name] = i
	}
	return numbers, nil
}

func durationFromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
