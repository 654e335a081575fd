package release

import (
	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor"
)

// View is an observation of the fleet at one moment. Anything that could not be observed is nil or unknown, and counts as
// evidence of nothing.
type View struct {
	NowMS    int64                         // by the controller's clock
	Token    uint64                        // fencing token of the lease under which the controller writes
	Commands []Command                     // all operators' commands to the release, oldest first
	Verdict  judge.Verdict                 // on the present wave; an empty outcome: no verdict yet
	Platform *supervisor.List              // nil: the platform did not answer
	Outcomes map[string]supervisor.Outcome // of platform requests, by request ID, as far as the controller knows them

	// DeniedPermits maps a permit's ID to the reason why the ledger denied the request for the permit.
	DeniedPermits map[string]string
	// Permit looks up a permit in the ledger. Permits that have ended may be missing.
	Permit func(id string) (disruption.Permit, bool)
	// Unit looks up a unit in the ledger.
	Unit func(id string) (disruption.Unit, bool)
	// Prepared reports whether everything that only this unit serves is available on other units.
	Prepared func(id string) bool
	// Drained reports whether a server is proved to have no open request.
	Drained func(id string) bool
	// ReportedImage returns the image that a sidecar itself reports to run.
	ReportedImage func(id string) (Image, bool)
	// ConfigRejection returns why a sidecar rejected a configuration, or "" if it did not.
	ConfigRejection func(id, config string) string
}
