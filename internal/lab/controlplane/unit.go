package controlplane

import "milldeck/internal/disruption"

// never is a time that is not reached, in Unix ms.
const never = int64(1) << 60

// unit is the true state of a server or sidecar, whatever the control plane knows of it. Times are true Unix ms.
type unit struct {
	disruption.Unit
	name               string
	version            string // of the process that was started last
	bootMS             int64
	readyAtMS          int64 // when that process becomes ready; never: it does not
	warmAtMS           int64 // when a server has warmed up
	unreachableUntilMS int64 // end of a network partition
	underMaintenance   bool  // the work of a maintenance window is being done
	alive              bool  // a process runs
	missingSinceMS     int64 // since when it sends no heartbeats; 0: it sends them
	changing           bool  // its registration has to be updated at the next tick
	decommissioned     bool  // it is drained for good
	sidecar            *sidecarState
	observed           observation // by the checker
}

// sidecarState is what a sidecar knows. Servers have none.
type sidecarState struct {
	wallClock
	agentDownUntilMS  int64 // its agent reaches nobody until then
	pollDelayMS       int64
	placementRevision uint64
	placementEpoch    uint64
	endpointRevision  uint64
	exclusions        map[string]*exclusion // by placement directive
}

// exclusion is a directive that a sidecar follows: it sends a tenant's requests to other servers.
type exclusion struct {
	tenant    string
	startedMS int64
	expiresMS int64
	drainedMS int64 // when its last request to the excluded servers is answered
}

// wallClock is a wall clock: its true error and the uncertainty that it reports, in ms.
type wallClock struct{ offsetMS, uncertaintyMS int64 }

// ready tells whether the unit's process runs and has become ready.
func (u *unit) ready(nowMS int64) bool { return u.alive && u.readyAtMS <= nowMS }

// agentReachable tells whether a sidecar's agent reaches the registry. Servers have no agent between.
func (u *unit) agentReachable(nowMS int64) bool {
	return u.sidecar == nil || u.sidecar.agentDownUntilMS <= nowMS
}

// starting tells whether the unit will become ready or warm later.
func (u *unit) starting(nowMS int64) bool {
	becomesReady := u.readyAtMS > nowMS && u.readyAtMS != never
	becomesWarm := u.warmAtMS > nowMS && u.warmAtMS != never
	return becomesReady || becomesWarm
}
