package sidecar

import (
	"errors"
	"hash/fnv"
	"io"
	"net/netip"
	"slices"

	"milldeck/balance"
)

// maxCapacityHint is the largest valid capacity_hint.
const maxCapacityHint = 1000

// States of an endpoint, as discovery sends them. Any other state, such as Terminating, counts as draining.
const (
	stateReady   = "Ready"
	stateRemoved = "Gone"
)

var (
	errListWithoutTargets = errors.New("complete endpoint list has no targets")
	errListUnusable       = errors.New("endpoint list has no usable endpoint")
)

// endpointList is one JSON object that discovery sends: the complete list, or the changed endpoints.
type endpointList struct {
	Revision  int64      `json:"rev"`
	Complete  bool       `json:"all"`
	Endpoints []endpoint `json:"targets"`
}

// endpoint is one server in an endpointList.
type endpoint struct {
	UID          string  `json:"uid"`
	Address      string  `json:"endpoint"` // IP address and port
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"` // relative capacity; 1: the usual one
	BootMS       float64 `json:"boot_ms"`       // last start in Unix milliseconds; 0: long ago
}

// sanitize drops unusable entries and corrects invalid numbers. A complete list without targets, and a list whose entries
// are all unusable, are errors, as they would remove servers by mistake.
func (l *endpointList) sanitize() error {
	if l.Complete && l.Endpoints == nil {
		return errListWithoutTargets
	}
	received := len(l.Endpoints)
	l.dropUnusable()
	if received > 0 && len(l.Endpoints) == 0 {
		return errListUnusable
	}
	if len(l.Endpoints) < received {
		discoveryLog.Warn("unusable endpoints ignored", "count", received-len(l.Endpoints))
	}
	for i := range l.Endpoints {
		entry := &l.Endpoints[i]
		if !(entry.CapacityHint > 0 && entry.CapacityHint <= maxCapacityHint) {
			entry.CapacityHint = 1
		}
		entry.BootMS = max(entry.BootMS, 0)
	}
	return nil
}

// dropUnusable removes entries without a UID, and entries without a usable address. An entry that withdraws a server needs
// no address, as the UID identifies the server. Of several entries with the same UID, the last stays.
func (l *endpointList) dropUnusable() {
	occurrences := make(map[string]int, len(l.Endpoints))
	for i := range l.Endpoints {
		occurrences[l.Endpoints[i].UID]++
	}
	l.Endpoints = slices.DeleteFunc(l.Endpoints, func(entry endpoint) bool {
		occurrences[entry.UID]--
		superseded := occurrences[entry.UID] > 0
		withdrawn := entry.State != stateReady && entry.State != ""
		return entry.UID == "" || superseded || !withdrawn && !usableAddress(entry.Address)
	})
}

// usableAddress reports whether an address is a usable IP address and port. Host names are not resolved.
func usableAddress(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Port() > 0 && !addrPort.Addr().IsUnspecified() && !addrPort.Addr().IsMulticast()
}

// toServer converts an endpoint to a server of the balancer. The server's ID is a hash of the UID alone, so that a
// restarted sidecar ranks the servers as before.
func (cfg *Config) toServer(listed *endpoint) balance.Server {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, listed.UID) // a hash.Hash never returns an error
	server := balance.Server{
		ID:               balance.ServerID(hash.Sum64()),
		StartedAt:        listed.BootMS,
		RelativeCapacity: listed.CapacityHint,
		Cell:             listed.PodGroup,
		Zone:             cfg.zoneID(listed.Zone),
		Kind:             indexOrUnknown(cfg.kindIndexes, listed.Model),
	}
	switch listed.State {
	case stateReady:
		server.State = balance.Ready
	case stateRemoved:
		server.State = balance.Removed
	default:
		server.State = balance.Draining
	}
	return server
}

// serverID returns the ID of the server with a UID, whether it is listed or not.
func (cfg *Config) serverID(uid string) balance.ServerID { return cfg.toServer(&endpoint{UID: uid}).ID }

// zoneID returns the balancer's ID of a zone: its index in the settings. Each zone that the settings do not name gets its
// own ID below unknownIndex, so that servers of two such zones do not count as being in the same zone.
func (cfg *Config) zoneID(name string) int {
	index := indexOrUnknown(cfg.zoneIndexes, name)
	if index != unknownIndex || name == "" {
		return index
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // a hash.Hash never returns an error
	return unknownIndex - 1 - int(hash.Sum32())
}

// unknownIndex is the index of a zone without a name, and of a kind that the settings do not name.
const unknownIndex = -1

// indexOrUnknown returns the index of a name, or unknownIndex if the settings do not have the name.
func indexOrUnknown(indexes map[string]int, name string) int {
	if index, ok := indexes[name]; ok {
		return index
	}
	return unknownIndex
}
