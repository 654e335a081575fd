package release

import (
	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// View is an observation of the fleet at one moment. What could not be observed is nil or unknown, and is evidence of
// nothing.
type View struct {
	NowMS    int64                         // by the controller's clock
	Token    uint64                        // fencing token of the lease under which the controller writes
	Commands []Command                     // all that operators have given, oldest first
	Verdict  judge.Verdict                 // on the wave; without an outcome there is none
	Platform *supervisor.List              // nil: the platform did not answer
	Outcomes map[string]supervisor.Outcome // of platform requests, by request ID, as far as the controller knows them

	// DeniedPermits says why the ledger did not accept a request for a permit, by the permit's ID.
	DeniedPermits map[string]string
	// Permit looks up a permit. Those that have ended may be missing.
	Permit func(id string) (disruption.Permit, bool)
	// Unit looks up a unit in the ledger.
	Unit func(id string) (disruption.Unit, bool)
	// Prepared reports whether what only this unit serves is available elsewhere.
	Prepared func(id string) bool
	// Drained reports whether a server is proved to have no open request.
	Drained func(id string) bool
	// ReportedImage is what a sidecar itself reports to run.
	ReportedImage func(id string) (Image, bool)
	// ConfigRejection is why a sidecar rejected a configuration, empty where it did not.
	ConfigRejection func(id, config string) string
}
