package sidecar

import (
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
)

// loopEvent is an event that other goroutines post to the event loop. The types below implement it.
type loopEvent interface{ loopEventMarker() }

// requestArrived: the frontend has read a request.
type requestArrived struct{ call *call }

// clientDisconnected: the client has closed its connection, the drain deadline has passed, or the response is overdue. The
// call is already marked as answered.
type clientDisconnected struct{ call *call }

// attemptCompleted: an attempt has its outcome. Each attempt posts this event exactly once.
type attemptCompleted struct {
	attempt  *attempt
	exchange exchangeResult
}

// healthCheckDone: a health check has its result.
type healthCheckDone struct {
	upstream    *upstreamHost
	startedAtMS float64
	exchange    exchangeResult
}

// endpointUpdate: discovery has sent a list, or a call or watch has failed.
type endpointUpdate struct {
	generation int // of the discovery address; updates of earlier generations are ignored
	kind       balance.UpdateKind
	endpoints  endpointList
	// discoveryUnreachable is used with UpdateFailed only; see balance.EndpointUpdate.
	discoveryUnreachable bool
}

// discoveryAddressChanged: a reloaded configuration names another discovery address.
type discoveryAddressChanged struct{ address string }

// placementUpdate holds all placement directives that are in force at takenAt. If a load report is due, the event loop
// sends it on reportDue.
type placementUpdate struct {
	generation int // of the placement address; updates of earlier generations are ignored
	takenAt    time.Time
	placement  placement.Update
	reportDue  chan<- *placement.LoadReport
}

// configReloaded holds the settings, other than the discovery address, that a reload may change.
type configReloaded struct{ placementAddress, version string }

func (requestArrived) loopEventMarker()          {}
func (clientDisconnected) loopEventMarker()      {}
func (attemptCompleted) loopEventMarker()        {}
func (healthCheckDone) loopEventMarker()         {}
func (endpointUpdate) loopEventMarker()          {}
func (discoveryAddressChanged) loopEventMarker() {}
func (placementUpdate) loopEventMarker()         {}
func (configReloaded) loopEventMarker()          {}
