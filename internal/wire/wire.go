// Package wire translates the simulator's binary frames and settings to the types of package balance, and actions back
// to frames. It takes no decisions and runs no instances: cmd/simadapter does.
//
// The simulator sends frames of records, numbers in big-endian order; each frame is answered by one reply frame. A frame
// has a header of 16 bytes: the number of records, the length of the frame, and its clock in milliseconds.
package wire

import "milldeck/balance"

// Codes of the records that the simulator sends. The comment is its own name for the record.
const (
	eventServerTable        = 1000 // sheet
	eventRequest            = 1010 // ask
	eventTimerFired         = 1020 // alarm
	eventStreamStarted      = 1030 // started
	eventEndpointUpdate     = 1040 // backends_changed
	eventGossip             = 1050 // heard
	eventInstanceKilled     = 1060 // down
	eventInstanceStarted    = 1070 // begin
	eventHealthCheckResult  = 1080 // probe_done
	eventOutcome            = 1090 // ended
	eventClientDisconnected = 1100 // hangup
)

// Codes of the actions in a reply.
const (
	actionSend                 = 1000
	actionReject               = 1010
	actionFail                 = 1020
	actionCancel               = 1030
	actionSetTimer             = 1040
	actionHealthCheck          = 1050
	actionCloseIdleConnections = 1060
	actionSendGossip           = 1070
	actionLog                  = 1080
	actionFault                = 1090
	actionWatchEndpoints       = 1100
	actionFetchEndpoints       = 1110
)

// Record is what a frame says of one instance. Exactly one of Started, Killed and Event is set.
type Record struct {
	Instance uint16
	Started  *InstanceStarted
	Killed   bool // its state is discarded
	Event    balance.Event
}

// InstanceStarted says that an instance starts without any state. Settings is for ParseSettings and valid during the call
// only.
type InstanceStarted struct {
	Seed     uint64
	Settings []byte
}

// empty reports whether a record is for no instance: a server table.
func (r *Record) empty() bool { return r.Started == nil && !r.Killed && r.Event == nil }
