package release

import (
	"context"
	"fmt"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// fakeController is a controller that holds the release's lease, or wrongly believes that it does.
type fakeController struct {
	model         *clusterModel
	name          string
	token         uint64
	state         *State
	outcomes      map[string]supervisor.Outcome
	deniedPermits map[string]string

	pendingDeltas []Delta // deltas whose write an injected defect delays
}

// newController returns a controller under the next fencing token. It starts with the release's state in the log.
func (m *clusterModel) newController(name string) *fakeController {
	m.token++
	state, _ := m.table.Get(name)
	copied := *state
	copied.Units = slices.Clone(state.Units)
	return &fakeController{
		model:         m,
		name:          name,
		token:         m.token,
		state:         &copied,
		outcomes:      map[string]supervisor.Outcome{},
		deniedPermits: map[string]string{},
	}
}

// view returns the controller's present observation of the model.
func (c *fakeController) view() *View {
	model := c.model
	list, err := model.platform.List(context.Background())
	if err != nil {
		list = nil
	}
	if model.defects.trustsIncompleteList && list != nil {
		list.Complete = true
	}
	_, commands := model.table.Get(c.name)
	return &View{
		NowMS:         model.nowMS,
		Token:         c.token,
		Commands:      commands,
		Verdict:       model.verdict(c.state),
		Platform:      list,
		Outcomes:      c.outcomes,
		DeniedPermits: c.deniedPermits,
		Permit:        model.visiblePermit,
		Unit:          model.ledger.Unit,
		Prepared:      func(string) bool { return true },
		Drained: func(id string) bool {
			unit := model.units[id]
			return unit.terminating && model.nowMS-unit.drainingSinceMS >= drainMS
		},
		ReportedImage: func(id string) (Image, bool) {
			unit := model.units[id]
			return Image{unit.version, unit.config}, model.serves(unit)
		},
		ConfigRejection: func(id, config string) string {
			if model.units[id].rejectedConfig == config {
				return "no such class"
			}
			return ""
		},
	}
}

// visiblePermit looks up a permit in a view of the ledger. Some views lack permits that have ended.
func (m *clusterModel) visiblePermit(id string) (disruption.Permit, bool) {
	permit, known := m.ledger.Permit(id)
	if m.hidesEndedPermits && known && permitEnded(permit) {
		return disruption.Permit{}, false
	}
	return permit, known
}

// execute executes one effect. With answerLost the controller does not receive the outcome. Writes to the log and the
// ledger need the valid fencing token; the platform does not check tokens.
func (c *fakeController) execute(effect Effect, answerLost bool) {
	model := c.model
	valid := c.token == model.token
	switch effect := effect.(type) {
	case ApplyLedgerOp:
		if valid {
			c.executeLedgerOp(effect.Op, answerLost)
		}
	case CallPlatform:
		c.executeRequest(effect.Request, answerLost)
	case MarkTerminating:
		if unit := model.units[effect.Unit]; valid && !unit.terminating && model.alive(unit) {
			unit.terminating = true
			unit.drainingSinceMS = model.nowMS
		}
	case MarkReady:
		if valid {
			model.units[effect.Unit].terminating = false
		}
	case PrepareUnit:
	case WriteDelta:
		c.executeWrite(effect.Delta, valid, answerLost)
	}
}

func (c *fakeController) executeLedgerOp(op disruption.Op, answerLost bool) {
	if c.model.defects.rollbackAtRolloutPriority && op.Kind == disruption.OpRequest {
		permit := *op.Permit
		permit.Priority = disruption.PriorityRollout
		op.Permit = &permit
	}
	result := c.model.applyLedgerOp(&op)
	if op.Kind == disruption.OpRequest && result.Outcome != disruption.OutcomeApplied && !answerLost {
		c.deniedPermits[op.Permit.ID] = result.Reason
	}
}

func (c *fakeController) executeRequest(request supervisor.Request, answerLost bool) {
	id := request.ID
	if c.model.defects.requestIDsPerController {
		request.ID = fmt.Sprintf("%s-%d", request.ID, c.token)
	}
	if request.Op == supervisor.Reload {
		request.ConfigText = request.ConfigName
	}
	outcomes, err := c.model.callPlatform(request)
	if err == nil && !answerLost {
		c.outcomes[id] = outcomes[0]
	}
}

func (c *fakeController) executeWrite(delta Delta, valid, answerLost bool) {
	if c.model.defects.writesAfterEffects {
		c.applyToState(delta)
		c.pendingDeltas = append(c.pendingDeltas, delta)
		return
	}
	if !valid || c.model.apply(&Operation{Name: c.name, Delta: &delta}) != nil || answerLost {
		return
	}
	c.applyToState(delta)
	if written, _ := c.model.table.Get(c.name); c.state.Sequence != written.Sequence {
		c.model.t.Fatal("the controller's state differs from the state in the log")
	}
}

// applyToState applies a delta to the controller's own state, from which the delta was computed.
func (c *fakeController) applyToState(delta Delta) {
	if err := c.state.Apply(delta); err != nil {
		c.model.t.Fatal(err)
	}
}

// writePending writes the deltas that an injected defect has delayed. The log may reject them by now.
func (c *fakeController) writePending() {
	for _, delta := range c.pendingDeltas {
		if c.token == c.model.token {
			_ = c.model.apply(&Operation{Name: c.name, Delta: &delta}) // a rejection is an expected result of the defect
		}
	}
	c.pendingDeltas = nil
}

// crashMode is how a crash affects the effect at which it happens.
type crashMode string

const (
	crashBefore crashMode = "before" // the controller crashes before the effect
	crashAfter  crashMode = "after"  // the controller crashes after the effect, before it receives the outcome
	crashFrozen crashMode = "frozen" // the controller freezes, and later executes this and the remaining effects under a stale token
)

var crashModes = []crashMode{crashBefore, crashAfter, crashFrozen}

// frozenTicks is the number of ticks for which a controller freezes.
const frozenTicks = 12

// crash is a planned crash of the controller at one effect.
type crash struct {
	effectIndex      int // number of the effect in the whole run, from 0; below 0: no crash
	mode             crashMode
	effectsDone      int // number of effects so far in the run
	happened         bool
	resumeFrozen     func()
	ticksUntilResume int // 0: no controller is frozen
}

func noCrash() *crash { return &crash{effectIndex: -1} }

// firesAtNextEffect counts the next effect and reports whether the crash happens at it.
func (p *crash) firesAtNextEffect() bool {
	index := p.effectsDone
	p.effectsDone++
	if index != p.effectIndex || p.happened {
		return false
	}
	p.happened = true
	return true
}

// interrupt crashes a controller according to the mode. remaining are the controller's effects from the one at which the
// crash happens.
func (p *crash) interrupt(controller *fakeController, remaining []Effect) {
	switch p.mode {
	case crashBefore:
	case crashAfter:
		controller.execute(remaining[0], true)
	case crashFrozen:
		p.ticksUntilResume = frozenTicks
		p.resumeFrozen = func() {
			for _, effect := range remaining {
				controller.execute(effect, false)
			}
		}
	}
}

// advanceTick counts a tick of a frozen controller and resumes the controller after the last one.
func (p *crash) advanceTick() {
	if p.ticksUntilResume == 0 {
		return
	}
	p.ticksUntilResume--
	if p.ticksUntilResume == 0 {
		p.resumeFrozen()
	}
}

// run runs the release r until it is finished and its commands are handled, or until the ticks are over. It calls
// beforeTick before each tick, and returns the release and the number of effects.
func (m *clusterModel) run(planned *crash, ticks int, beforeTick func(tick int, state *State)) (*State, int) {
	const name = "r"
	current := m.newController(name)
	for tick := range ticks {
		state, _ := m.table.Get(name)
		if beforeTick != nil {
			beforeTick(tick, state)
		}
		state, commands := m.table.Get(name)
		handled := state.Status.HandledCommands == len(commands)
		if state.Status.Phase.Finished() && handled && planned.ticksUntilResume == 0 {
			return state, planned.effectsDone
		}
		effects := current.state.Reconcile(current.view())
		if tick%3 == 0 {
			current.writePending()
		}
		for i, effect := range effects {
			if planned.firesAtNextEffect() {
				planned.interrupt(current, effects[i:])
				current = m.newController(name)
				break
			}
			current.execute(effect, false)
		}
		planned.advanceTick()
		m.advance()
	}
	state, _ := m.table.Get(name)
	return state, planned.effectsDone
}
