package release

import (
	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// Effect is an action that the controller has to execute: an ApplyLedgerOp, CallPlatform, PrepareUnit, MarkTerminating,
// MarkReady or WriteDelta.
type Effect interface{ effect() }

// ApplyLedgerOp applies an operation to the disruption ledger.
type ApplyLedgerOp struct{ Op disruption.Op }

// CallPlatform sends a request to the platform. The controller adds the text of the configuration that the request names.
type CallPlatform struct{ Request supervisor.Request }

// PrepareUnit makes everything that only this unit serves available on other units. Unit is its ID in the ledger.
type PrepareUnit struct{ Unit string }

// MarkTerminating sets a server's state in the endpoint list to Terminating. Unit is its ID in the ledger.
type MarkTerminating struct{ Unit string }

// MarkReady sets a server's state in the endpoint list back to Ready. Unit is its ID in the ledger.
type MarkReady struct{ Unit string }

// WriteDelta writes the next state to the log, under the controller's fencing token. It is always the last effect.
type WriteDelta struct{ Delta Delta }

func (ApplyLedgerOp) effect()   {}
func (CallPlatform) effect()    {}
func (PrepareUnit) effect()     {}
func (MarkTerminating) effect() {}
func (MarkReady) effect()       {}
func (WriteDelta) effect()      {}
