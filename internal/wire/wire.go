// Package wire decodes the simulator's binary frames and its JSON settings to the types of package balance, and encodes
// actions as reply frames. It makes no balancing decisions and runs no instances: cmd/simadapter runs them.
//
// The simulator sends frames of records and gets one reply frame for each frame. All numbers are big-endian. A frame
// starts with a header of 16 bytes: the number of records (4 bytes), the length of the frame including the header
// (4 bytes), and the simulator's clock in milliseconds (a float64).
package wire

import "milldeck/balance"

// Codes of the records that the simulator sends. The comment beside a code is the simulator's name for the record.
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

// Record is a record for one instance. Exactly one of Started, Killed and Event is set.
type Record struct {
	Instance uint16
	Started  *InstanceStarted
	Killed   bool // the instance ends and loses its state
	Event    balance.Event
}

// InstanceStarted starts an instance without any earlier state. Settings is the JSON text for ParseSettings; it is valid
// only until the handle function of Reader.Read returns.
type InstanceStarted struct {
	Seed     uint64
	Settings []byte
}

// empty reports whether the record holds nothing for an instance, which is the case for a server table.
func (r *Record) empty() bool { return r.Started == nil && !r.Killed && r.Event == nil }
