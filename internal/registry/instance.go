package registry

import (
	"net/netip"

	"milldeck/internal/validation"
)

// Target is an instance in the format of the endpoint list that the platform's protocol specifies.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // IP address and port
	Zone     string  `json:"az"`
	Model    string  `json:"model"` // type of machine
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"` // relative to other instances, above 0
	BootMS   float64 `json:"boot_ms"`       // last start, Unix ms; 0: unknown, assumed to be long ago
}

// The states of an instance, as the platform's protocol names them. InstanceRemoved appears only in watch events.
const (
	InstanceReady       = "Ready"
	InstanceTerminating = "Terminating"
	InstanceRemoved     = "Gone"
)

// EndpointList is the endpoint list of the platform's protocol (Complete is true) or a watch event with the targets that
// changed. Epoch is an extension of the protocol: it identifies the history that Revision belongs to. Readers that do not
// know the field skip it.
type EndpointList struct {
	Revision uint64   `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []Target `json:"targets"`
	Epoch    uint64   `json:"epoch,omitempty"`
}

// Instance is a registered target.
type Instance struct {
	Target
	Version  string `json:"version,omitempty"` // version of the server's program; not part of the endpoint list
	TTLMS    int64  `json:"ttl_ms"`            // lease duration; 0: the registration never expires
	Revision uint64 `json:"rev"`               // of its last change
	Suspect  bool   `json:"suspect,omitempty"` // its lease has expired, but the expiry is held back
}

// Limits of a registration.
const (
	maxNameLength   = 128
	maxCapacityHint = 1000
	maxBootMS       = 1e15        // a larger number is not a time in Unix ms, as it is far in the future
	minTTLMS        = 100         // no heartbeat interval could keep up with a shorter lease
	maxTTLMS        = 3600 * 1000 // a longer lease would detect failures too late
	maxInstances    = 100_000
	maxBatchSize    = 10_000 // instances in one write
)

// validate returns a *validation.Error for the first invalid field.
func (i *Instance) validate() error {
	switch {
	case i.UID == "" || len(i.UID) > maxNameLength:
		return validation.Errorf("uid", "%d characters, wanted 1 to %d", len(i.UID), maxNameLength)
	case i.State != InstanceReady && i.State != InstanceTerminating:
		return invalidState(i.State)
	case !(i.Capacity > 0 && i.Capacity <= maxCapacityHint): // NaN is rejected, too
		return validation.Errorf("capacity_hint", "%v is not above 0 and at most %d", i.Capacity, maxCapacityHint)
	case !validBootMS(i.BootMS):
		return validation.Errorf("boot_ms", "%v is not a time in Unix ms", i.BootMS)
	case i.TTLMS != 0 && !validTTLMS(i.TTLMS):
		return validation.Errorf("ttl_ms", "%d is not 0 or within %d to %d", i.TTLMS, minTTLMS, maxTTLMS)
	}
	for _, label := range []struct{ field, value string }{{"az", i.Zone}, {"model", i.Model}, {"version", i.Version}} {
		if len(label.value) > maxNameLength {
			return validation.Errorf(label.field, "over %d characters", maxNameLength)
		}
	}
	return validateEndpoint(i.Endpoint)
}

func validBootMS(ms float64) bool { return ms >= 0 && ms < maxBootMS }

func validTTLMS(ms int64) bool { return ms >= minTTLMS && ms <= maxTTLMS }

func invalidState(state string) error {
	return validation.Errorf("state", "%q is not %s or %s", state, InstanceReady, InstanceTerminating)
}

func validateEndpoint(endpoint string) error {
	address, err := netip.ParseAddrPort(endpoint)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return validation.Errorf("endpoint", "%q is not an IP address and port", endpoint)
	}
	return nil
}
