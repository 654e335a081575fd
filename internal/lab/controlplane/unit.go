package controlplane

import "milldeck/internal/disruption"

// never stands for a time that is never reached, in Unix ms.
const never = int64(1) << 60

// unit is the actual state of a server or sidecar, which may differ from the control plane's view. Times are true Unix ms.
type unit struct {
	disruption.Unit
	name                string
	version             string // version of the most recently started process
	bootMS              int64
	readyAtMS           int64 // when the most recently started process becomes ready, or never
	warmAtMS            int64 // when a server's warm-up ends
	unreachableUntilMS  int64 // end of a network partition
	underMaintenance    bool  // work of a maintenance window is in progress
	alive               bool  // a process runs
	missingSinceMS      int64 // when the unit's heartbeats stopped; 0 while the unit sends heartbeats
	registrationPending bool  // the registration has to be updated at the next tick
	decommissioned      bool  // the unit is drained permanently
	sidecar             *sidecarState
	observed            observation // the checker's view of the unit
}

// sidecarState is the part of a unit's state that only sidecars have.
type sidecarState struct {
	wallClock
	agentDownUntilMS  int64 // until when the sidecar's agent is unreachable
	pollDelayMS       int64
	placementRevision uint64
	placementEpoch    uint64
	endpointRevision  uint64
	exclusions        map[string]*exclusion // by directive ID
}

// exclusion is a directive that a sidecar applies: the sidecar routes a tenant's requests to other servers.
type exclusion struct {
	tenant    string
	startedMS int64
	expiresMS int64
	drainedMS int64 // when the last request in flight to the excluded servers ends
}

// wallClock is the actual error of a wall clock and the uncertainty that it reports, in ms.
type wallClock struct{ offsetMS, uncertaintyMS int64 }

// ready reports whether the unit's process runs and has become ready.
func (u *unit) ready(nowMS int64) bool { return u.alive && u.readyAtMS <= nowMS }

// agentReachable reports whether a sidecar reaches the registry through its agent. Servers use no agent.
func (u *unit) agentReachable(nowMS int64) bool {
	return u.sidecar == nil || u.sidecar.agentDownUntilMS <= nowMS
}

// starting reports whether the unit has yet to become ready or warm.
func (u *unit) starting(nowMS int64) bool {
	becomesReady := u.readyAtMS > nowMS && u.readyAtMS != never
	becomesWarm := u.warmAtMS > nowMS && u.warmAtMS != never
	return becomesReady || becomesWarm
}
