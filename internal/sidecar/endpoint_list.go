package sidecar

import (
	"errors"
	"hash/fnv"
	"io"
	"net/netip"
	"slices"

	"milldeck/balance"
)

// maxCapacityHint is the largest capacity_hint that is taken as a size.
const maxCapacityHint = 1000

// States of an endpoint, as discovery writes them. A state that is not known here counts as Terminating.
const (
	stateReady   = "Ready"
	stateRemoved = "Gone"
)

var (
	errListWithoutTargets = errors.New("complete list without targets")
	errListUnusable       = errors.New("list without a usable endpoint")
)

// endpointList is one JSON object of discovery: the complete list, or a change of it.
type endpointList struct {
	Revision  int64      `json:"rev"`
	Complete  bool       `json:"all"`
	Endpoints []endpoint `json:"targets"`
}

// endpoint is an entry of an endpointList: one server.
type endpoint struct {
	UID          string  `json:"uid"`
	Address      string  `json:"endpoint"` // IP address and port
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"` // 1: the usual size
	BootMS       float64 `json:"boot_ms"`       // last start in Unix milliseconds; 0: long ago
}

// sanitize drops unusable entries and corrects invalid numbers. A list that would remove servers by mistake is an error:
// one without targets, or without any usable entry.
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

// dropUnusable removes the entries without a UID, and those without a usable address unless they withdraw a server, which
// is done by its name. Of several with the same UID the last stays.
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

// usableAddress reports whether an address is an IP address and a port; there is no DNS.
func usableAddress(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Port() > 0 && !addrPort.Addr().IsUnspecified() && !addrPort.Addr().IsMulticast()
}

// toServer converts an endpoint to a server of the balancer. A server's ID follows from its UID alone, so that a
// restarted sidecar ranks the servers as before.
func (cfg *Config) toServer(listed *endpoint) balance.Server {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, listed.UID) // a hash accepts any input
	server := balance.Server{
		ID:               balance.ServerID(hash.Sum64()),
		StartedAt:        listed.BootMS,
		RelativeCapacity: listed.CapacityHint,
		Cell:             listed.PodGroup,
		Zone:             cfg.zoneNumber(listed.Zone),
		Kind:             numberOrUnknown(cfg.kindNumbers, listed.Model),
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

// serverID is the ID of the server with a UID, whether it is listed or not.
func (cfg *Config) serverID(uid string) balance.ServerID { return cfg.toServer(&endpoint{UID: uid}).ID }

// zoneNumber is the number of a zone. Zones that the settings do not name have numbers below unknownNumber, each its own:
// servers of two of them are not in one zone.
func (cfg *Config) zoneNumber(name string) int {
	number := numberOrUnknown(cfg.zoneNumbers, name)
	if number != unknownNumber || name == "" {
		return number
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // a hash accepts any input
	return unknownNumber - 1 - int(hash.Sum32())
}

// unknownNumber is the number of a zone or kind that the settings lack.
const unknownNumber = -1

// numberOrUnknown is the number of a name, or unknownNumber.
func numberOrUnknown(numbers map[string]int, name string) int {
	if number, ok := numbers[name]; ok {
		return number
	}
	return unknownNumber
}
