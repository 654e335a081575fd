package sidecar

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
	"milldeck/internal/sockets"
	"milldeck/internal/wire"
)

const (
	defaultSockets = 1024 // used if the configuration sets no limit
	// minSockets is the smallest valid limit of descriptors. It leaves enough unreserved descriptors for the connections of
	// clients to use a third of all descriptors.
	minSockets = 5 * reservedDescriptors
)

// Config is the validated configuration of a sidecar. LoadConfig creates it. It must not be modified afterwards.
type Config struct {
	Name             string
	ListenAddress    string // the address that the application connects to
	DiscoveryAddress string
	PlacementAddress string // of the agent that serves the placement and accepts load reports; "": none
	// Application is the calling application. If the settings name no tenants, it is the tenant of all requests.
	Application string
	Version     string  // a label in load reports
	Cores       float64 // processor cores; 0: no limit
	MemoryMB    int     // 0: no limit
	Sockets     int     // limit of file descriptors of the process

	settings balance.Config
	// Each map holds the indexes that the balancer uses in place of names.
	classIndexes  map[string]int
	tenantIndexes map[string]int // empty if the settings name no tenants
	zoneIndexes   map[string]int
	kindIndexes   map[string]int

	loadReportFields []string // the fields of servers' load reports, in the order of balance.Config.LoadReportFields
	connIdleTimeout  time.Duration
	maxOpenRequests  int // 0: no limit
	knownEndpoints   endpointList
	peers            *peerConfig // nil: no gossip
}

// configFile is the JSON form of the configuration file.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // hexadecimal
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

// placementConfigFile is the part of the configuration file that concerns the placement.
type placementConfigFile struct {
	Placement   string `json:"placement"`
	Application string `json:"application"`
	Version     string `json:"version"`
}

// sidecarOptions is the part of the settings that the sidecar itself uses: names that the balancer replaces by numbers,
// and limits on connections and requests.
type sidecarOptions struct {
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

type namedEntry struct {
	Name string `json:"name"`
}

// LoadConfig reads the configuration file whose path is in the environment variable NODE_CONFIG. The variables NODE_NAME,
// NODE_LISTEN and NODE_DISCOVERY override the file if they are set. Errors name the file and the key.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	var data []byte
	err := sockets.Retry(func() (err error) {
		data, err = os.ReadFile(path)
		return err
	})
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

// ReloadConfig is LoadConfig for a running sidecar. It ignores NODE_DISCOVERY, because the environment of a process does
// not change after its start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return LoadConfig(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// resolve validates the file and converts it to a Config.
func (f *configFile) resolve() (*Config, error) {
	if err := f.checkAddresses(); err != nil {
		return nil, err
	}
	settings, options, err := f.parseSettings()
	if err != nil {
		return nil, err
	}
	config := f.newConfig(settings, &options)
	if config.Sockets < minSockets || config.MemoryMB < 0 || config.Cores < 0 {
		return nil, fmt.Errorf("invalid limits: %+v (at least %d sockets)", f.Limits, minSockets)
	}
	if err := config.knownEndpoints.sanitize(); err != nil {
		configLog.Warn("known endpoint list ignored", "error", err)
		config.knownEndpoints = endpointList{}
	}
	if settings.AllowGossip {
		config.peers, err = f.resolvePeers(f.Listen, settings.SidecarIndex, settings.SidecarCount)
		if err != nil {
			return nil, err
		}
	}
	config.settings.AllowGossip = config.peers != nil
	if config.classIndexes, err = indexByUniqueName("classes", options.Classes); err != nil {
		return nil, err
	}
	if config.tenantIndexes, err = indexByUniqueName("tenants", options.Tenants); err != nil {
		return nil, err
	}
	return config, nil
}

// newConfig copies the values that need no further validation, and sets defaults.
func (f *configFile) newConfig(settings balance.Config, options *sidecarOptions) *Config {
	return &Config{
		Name:             f.Name,
		ListenAddress:    f.Listen,
		DiscoveryAddress: f.Discovery,
		PlacementAddress: f.Placement,
		Application:      f.Application,
		Version:          f.Version,
		Cores:            f.Limits.Cores,
		MemoryMB:         f.Limits.MemoryMB,
		Sockets:          cmp.Or(f.Limits.Sockets, defaultSockets),
		settings:         settings,
		zoneIndexes:      indexByName(options.Zones),
		kindIndexes:      indexByName(options.Kinds),
		loadReportFields: options.Report.Fields,
		connIdleTimeout:  durationFromMS(options.Limits.ConnIdle),
		maxOpenRequests:  options.Limits.MaxOpen,
		knownEndpoints:   f.Known,
	}
}

func (f *configFile) checkAddresses() error {
	for name, address := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return f.validatePlacement()
}

// validatePlacement checks the address, and the length of the names that load reports contain.
func (f *placementConfigFile) validatePlacement() error {
	for key, name := range map[string]string{"application": f.Application, "version": f.Version} {
		if len(name) > placement.MaxNameLength {
			return fmt.Errorf("%s: name has %d bytes, the limit is %d", key, len(name), placement.MaxNameLength)
		}
	}
	if f.Placement == "" {
		return nil
	}
	addrPort, err := netip.ParseAddrPort(f.Placement)
	if err == nil && addrPort.Port() == 0 {
		err = errors.New("port must not be 0")
	}
	if err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	return nil
}

// parseSettings parses the settings of the balancer, and the part of them that the sidecar itself uses.
func (f *configFile) parseSettings() (settings balance.Config, options sidecarOptions, err error) {
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return settings, options, fmt.Errorf("seed: %w", err)
	}
	if len(f.Settings) == 0 {
		return settings, options, errors.New("no settings")
	}
	settings, err = wire.ParseSettings(seed, f.Settings)
	if err != nil {
		return settings, options, err
	}
	if err := json.Unmarshal(f.Settings, &options); err != nil {
		return settings, options, fmt.Errorf("settings: %w", err)
	}
	return settings, options, nil
}

func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// indexByUniqueName is indexByName for entries that requests refer to. A missing or duplicate name is an error.
func indexByUniqueName(section string, entries []namedEntry) (map[string]int, error) {
	indexes := make(map[string]int, len(entries))
	for i, entry := range entries {
		if _, duplicate := indexes[entry.Name]; duplicate || entry.Name == "" {
			return nil, fmt.Errorf("settings: %s: entry %d has a missing or duplicate name: %q", section, i, entry.Name)
		}
		indexes[entry.Name] = i
	}
	return indexes, nil
}
