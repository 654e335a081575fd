package sidecar

import (
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
)

// loopEvent is anything that other goroutines post to the event loop: one of the types below.
type loopEvent interface{ loopEventMarker() }

// requestArrived: the frontend has read a request.
type requestArrived struct{ call *call }

// clientDisconnected: the client has closed its connection, or its response is overdue. The call is already marked as
// answered.
type clientDisconnected struct{ call *call }

// attemptCompleted: an attempt has its outcome. Each attempt gets exactly one.
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
	generation int // of the discovery address; one of an earlier address is ignored
	kind       balance.UpdateKind
	endpoints  endpointList
	// discoveryUnreachable goes with UpdateFailed: see balance.EndpointUpdate.
	discoveryUnreachable bool
}

// discoveryAddressChanged: a reloaded configuration names another discovery address.
type discoveryAddressChanged struct{ address string }

// placementUpdate: all placement directives in force at a time. Where a report is due, the event loop sends it on
// reportDue.
type placementUpdate struct {
	generation int // of the placement address; one of an earlier address is ignored
	takenAt    time.Time
	placement  placement.Update
	reportDue  chan<- *placement.LoadReport
}

// configReloaded holds what a reload may change beside the discovery address.
type configReloaded struct{ placementAddress, version string }

func (requestArrived) loopEventMarker()          {}
func (clientDisconnected) loopEventMarker()      {}
func (attemptCompleted) loopEventMarker()        {}
func (healthCheckDone) loopEventMarker()         {}
func (endpointUpdate) loopEventMarker()          {}
func (discoveryAddressChanged) loopEventMarker() {}
func (placementUpdate) loopEventMarker()         {}
func (configReloaded) loopEventMarker()          {}
