package core

import "milldeck/internal/supervisor"

// Effect is something that is to be done: Launch, Signal, RewriteConfig, UnitRemoved or DeferredResponse.
type Effect interface{ isEffect() }

// Launch starts a process.
type Launch struct {
	Process    uint64 // the number by which its events are reported
	Unit       supervisor.Unit
	ConfigText string // written before; empty: the file that is there
}

// Signal sends a signal to a process.
type Signal struct {
	Process uint64
	Kind    SignalKind
}

// SignalKind is a signal.
type SignalKind int

// The signals: SIGTERM, SIGKILL and SIGHUP.
const (
	Terminate SignalKind = iota
	Kill
	Hangup
)

// RewriteConfig replaces a unit's configuration file.
type RewriteConfig struct{ Unit, ConfigName, ConfigText string }

// UnitRemoved says that a unit that has exited is no longer listed: its files can be removed.
type UnitRemoved struct{ Unit string }

// DeferredResponse is the response to a call that hung.
type DeferredResponse struct {
	Ticket uint64
	Response
}

func (Launch) isEffect()           {}
func (Signal) isEffect()           {}
func (RewriteConfig) isEffect()    {}
func (UnitRemoved) isEffect()      {}
func (DeferredResponse) isEffect() {}
