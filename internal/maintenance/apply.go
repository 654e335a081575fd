package maintenance

// Apply applies an operation of the replicated log. The revision is that of the log record and increases with
// each call. A rejected operation returns a *RejectedError and changes nothing except the recorded clock fault.
func (t *Table) Apply(revision uint64, op *Operation, timestamp Timestamp) (Changes, error) {
	t.changes = Changes{}
	if op.Kind.RequiresToken() && (op.Token == 0 || op.Token < t.token) {
		return Changes{}, rejected(OutcomeStale, "token %d is superseded, token %d has written since", op.Token, t.token)
	}
	now := t.boundTime(timestamp)
	if now.clockFault != t.clockFault {
		t.clockFault = now.clockFault
		t.modRevision = revision
	}
	if !now.trusted() && (op.Kind.advancesWindow() || op.Kind == OpMarkOverrun) {
		return Changes{}, rejected(OutcomeClockFault, "%s", now.clockFault)
	}
	if err := t.execute(revision, op, now); err != nil {
		return Changes{}, err
	}
	if op.Kind.RequiresToken() {
		t.token = op.Token
	}
	if now.trusted() {
		t.logTimeMS = now.earliest
	}
	t.modRevision = revision
	t.evictFinished()
	return t.changes, nil
}

// execute applies an operation after Apply has accepted its token and time.
func (t *Table) execute(revision uint64, op *Operation, now timeBounds) error {
	switch op.Kind {
	case OpSetContract:
		return t.setContract(revision, op, now)
	case OpWithdrawContract:
		return t.withdrawContract(revision, op.Tenant, now)
	case OpHalt, OpResume:
		return t.applyHalt(revision, op, now)
	case OpPropose:
		return t.propose(revision, op, now)
	case OpResetEstimates:
		t.drainSamplesMS, t.returnSamplesMS = nil, nil
		return nil
	}
	previous := t.windows[op.Window]
	if previous == nil {
		return rejected(OutcomeNotFound, "there is no window %s", op.Window)
	}
	window := *previous // a copy: readers may hold the previous version
	if err := t.transition(&window, revision, op, now); err != nil {
		return err
	}
	t.store(revision, previous, &window)
	return nil
}
