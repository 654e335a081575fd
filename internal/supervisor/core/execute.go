package core

import (
	"fmt"

	"milldeck/internal/supervisor"
)

// rejection is the reason why a request is not executed.
type rejection struct {
	reason supervisor.RejectionReason
	detail string // one line
}

func rejectf(reason supervisor.RejectionReason, format string, args ...any) *rejection {
	return &rejection{reason, fmt.Sprintf(format, args...)}
}

// executeAll executes the requests of a call under a fault. noFault stands for no fault.
func (c *Core) executeAll(now int64, requests []request, fault FaultKind) Response {
	if !c.reserveRecords(len(requests)) {
		return Response{Failure: "too many requests are under way"}
	}
	count := len(requests)
	if count > 1 && fault.consume(FaultPartial) {
		count = (count + 1) / 2
	}
	var response Response
	for i := range count {
		response.Outcomes = append(response.Outcomes, c.execute(now, &requests[i], &fault))
	}
	if count < len(requests) {
		return Response{Failure: "the platform failed half-way"}
	}
	return response
}

// execute executes one request, or returns the recorded outcome of a repeated request. It clears the fault once the
// fault has acted.
func (c *Core) execute(now int64, r *request, fault *FaultKind) supervisor.Outcome {
	outcome := supervisor.Outcome{ID: r.ID, Unit: r.Unit, Epoch: c.epoch}
	if r.Epoch != c.epoch {
		outcome.Rejected, outcome.Detail = supervisor.EpochMismatch, fmt.Sprintf("this is memory %d, not %d", c.epoch, r.Epoch)
		return outcome
	}
	digest := r.Digest()
	if previous := c.records[r.ID]; previous != nil {
		if previous.digest != digest {
			outcome.Rejected, outcome.Detail = supervisor.RequestIDReused, "the id was used for another request"
			return outcome
		}
		return previous.outcome
	}
	if rejected := c.apply(now, r, fault); rejected != nil {
		outcome.Rejected, outcome.Detail = rejected.reason, rejected.detail
	}
	if u := c.units[r.Unit]; u != nil {
		outcome.Incarnation = u.Incarnation
		if u.pending != nil && r.Op == supervisor.Restart && outcome.Rejected == "" {
			outcome.Incarnation = u.pending.unit.Incarnation
		}
	}
	record := &requestRecord{r.ID, digest, outcome}
	c.records[r.ID] = record
	c.recordOrder = append(c.recordOrder, record)
	return outcome
}

// reserveRecords makes room for n more records by evicting the oldest records whose units are neither starting nor
// stopping. It returns false if it cannot evict enough records.
func (c *Core) reserveRecords(n int) bool {
	for remaining := len(c.recordOrder); len(c.recordOrder)+n > c.options.MaxRequestIDs; remaining-- {
		if remaining == 0 {
			return false
		}
		record := c.recordOrder[0]
		c.recordOrder = c.recordOrder[1:]
		if u := c.units[record.outcome.Unit]; u != nil && u.inTransition() {
			c.recordOrder = append(c.recordOrder, record)
			continue
		}
		delete(c.records, record.id)
	}
	return true
}

// apply executes a request's operation, or returns why it is rejected.
func (c *Core) apply(now int64, r *request, fault *FaultKind) *rejection {
	u := c.units[r.Unit]
	current := uint64(0)
	if u != nil {
		current = u.Incarnation
	}
	if r.Incarnation != current {
		return rejectf(supervisor.IncarnationMismatch, "it is incarnation %d, not %d", current, r.Incarnation)
	}
	switch r.Op {
	case supervisor.Start:
		return c.applyStart(now, u, r, fault)
	case supervisor.Stop:
		u.pending = nil
		c.stopUnit(now, u, r.GraceMS, fault)
	case supervisor.Restart:
		return c.applyRestart(now, u, r, fault)
	case supervisor.Reload:
		return c.applyReload(u, r, fault)
	}
	return nil
}

// applyStart starts a unit. u is nil if the unit is not listed.
func (c *Core) applyStart(now int64, u *unit, r *request, fault *FaultKind) *rejection {
	if rejected := c.checkVersion(r); rejected != nil {
		return rejected
	}
	if u != nil && u.State != supervisor.Exited {
		return rejectf(supervisor.InvalidState, "it is %s", u.State)
	}
	if u == nil && len(c.units) >= c.options.MaxUnits && !c.evictExitedUnit() {
		return rejectf(supervisor.LimitReached, "%d units are listed, none has exited", len(c.units))
	}
	if len(c.processes) >= 2*c.options.MaxUnits { // after a loss of state, processes of unlisted units run as well
		return rejectf(supervisor.LimitReached, "%d processes run", len(c.processes))
	}
	c.launch(now, c.newIncarnation(r), r.ConfigText, fault)
	return nil
}

// applyRestart stops a unit, and starts its new incarnation once the process has exited.
func (c *Core) applyRestart(now int64, u *unit, r *request, fault *FaultKind) *rejection {
	if rejected := c.checkVersion(r); rejected != nil {
		return rejected
	}
	next := c.newIncarnation(r)
	if u.State == supervisor.Exited {
		c.launch(now, next, r.ConfigText, fault)
		return nil
	}
	u.pending = &pendingLaunch{unit: next, configText: r.ConfigText}
	if fault.consume(FaultPartial) {
		u.pending = nil
	} else if fault.consume(FaultDuplicate) {
		u.pending.fault = FaultDuplicate
	}
	c.stopUnit(now, u, r.GraceMS, fault)
	return nil
}

// applyReload replaces a running unit's configuration and sends SIGHUP to its process.
func (c *Core) applyReload(u *unit, r *request, fault *FaultKind) *rejection {
	if u.State != supervisor.Running {
		return rejectf(supervisor.InvalidState, "it is %s", u.State)
	}
	u.ConfigName = r.ConfigName
	c.emit(RewriteConfig{u.Name, r.ConfigName, r.ConfigText})
	if !fault.consume(FaultPartial) {
		c.emit(Signal{u.process, Hangup})
	}
	return nil
}

// checkVersion rejects a request for a version that the platform does not have.
func (c *Core) checkVersion(r *request) *rejection {
	if _, ok := c.options.Versions[Version{r.Kind, r.Version}]; !ok {
		return rejectf(supervisor.UnknownVersion, "there is no %s of version %s", r.Kind, r.Version)
	}
	return nil
}
