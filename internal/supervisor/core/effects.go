package core

import "milldeck/internal/supervisor"

// Effect is an action that the caller of the core has to execute: Launch, Signal, RewriteConfig, UnitRemoved or
// DeferredResponse.
type Effect interface{ isEffect() }

// Launch starts a process.
type Launch struct {
	Process    uint64 // the process number, to be passed with the process's events
	Unit       supervisor.Unit
	ConfigText string // contents of the configuration file, written before the start; empty: the file is kept
}

// Signal sends a signal to a process.
type Signal struct {
	Process uint64
	Kind    SignalKind
}

// SignalKind is the kind of a signal.
type SignalKind int

// The signals: SIGTERM, SIGKILL and SIGHUP.
const (
	Terminate SignalKind = iota
	Kill
	Hangup
)

// RewriteConfig replaces a unit's configuration file.
type RewriteConfig struct{ Unit, ConfigName, ConfigText string }

// UnitRemoved says that an exited unit is no longer listed, so its files can be removed.
type UnitRemoved struct{ Unit string }

// DeferredResponse is the response to a call that FaultHang has deferred.
type DeferredResponse struct {
	Ticket uint64
	Response
}

func (Launch) isEffect()           {}
func (Signal) isEffect()           {}
func (RewriteConfig) isEffect()    {}
func (UnitRemoved) isEffect()      {}
func (DeferredResponse) isEffect() {}
