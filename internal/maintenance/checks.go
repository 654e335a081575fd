package maintenance

// checkHours checks that now is within the approved hours of all tenants of the window, and that requiredMS
// remain before each close.
func (t *Table) checkHours(window *Window, now timeBounds, requiredMS int64) error {
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		switch active := t.contractOf(approval); {
		case active == nil:
			return rejected(OutcomeStale, "the contract of %s has changed", approval.Tenant)
		case now.earliest < approval.OpensAtMS:
			return rejected(OutcomeOutsideHours, "the hours of %s open in %d ms", approval.Tenant, approval.OpensAtMS-now.earliest)
		case now.latest+requiredMS+CloseMarginMS > approval.ClosesAtMS:
			return rejected(OutcomeOutsideHours, "%d ms do not fit before the close of %s", requiredMS, approval.Tenant)
		}
	}
	return nil
}

// checkDrain checks all conditions for the start of a drain, except the permit.
func (t *Table) checkDrain(window *Window, now timeBounds) error {
	requiredMS := t.EstimatedTotalMS(window.WorkMS)
	if err := t.checkHours(window, now, requiredMS); err != nil {
		return err
	}
	if reason, halted := t.haltReason(window); halted {
		return rejected(OutcomeBlocked, "%s", reason)
	}
	for _, other := range t.windows {
		if other.OutOfService() && other.Name != window.Name && shareServer(other.ServerUIDs, window.ServerUIDs) {
			return rejected(OutcomeBlocked, "another window has one of its servers out of service")
		}
	}
	for i := range window.Approvals {
		if err := t.checkContractLimits(window, &window.Approvals[i], now, requiredMS); err != nil {
			return err
		}
	}
	return nil
}

// checkContractLimits checks the limits of one contract, which must be in force: its notice, concurrent windows,
// available share and minutes per month.
func (t *Table) checkContractLimits(window *Window, approval *Approval, now timeBounds, requiredMS int64) error {
	tenant := approval.Tenant
	active := t.contracts[tenant]
	if now.earliest < window.ProposedAtMS+active.NoticeMS() {
		return rejected(OutcomeOutsideHours, "the notice of %s is not over", tenant)
	}
	windowsOut, serversOut := t.countOutOfService(tenant)
	switch {
	case windowsOut+1 > active.MaxConcurrentWindows:
		return rejected(OutcomeBlocked, "%d windows of %s are out of service", windowsOut, tenant)
	case serversOut+len(window.ServerUIDs) > maxServersOut(approval.ServerCount, active.MinAvailableShare):
		return rejected(OutcomeBlocked, "less than the least share of %s would be available", tenant)
	}
	limitMS := int64(active.MinutesPerMonth) * minuteMS
	for _, month := range splitByMonth(approval, now.earliest, now.latest+requiredMS) {
		totalMS := t.committedMS(tenant, month.Name, now.latest) + month.EndMS - month.StartMS
		if totalMS > limitMS {
			return rejected(OutcomeBlocked, "%s would exceed its minutes of %s by %d ms", tenant, month.Name, totalMS-limitMS)
		}
	}
	return nil
}

// maxServersOut returns how many of a tenant's servers may be out of service at once.
func maxServersOut(serverCount int, minAvailableShare float64) int {
	const roundingTolerance = 1e-9 // at a share of 0.9, one of 10 servers may be out, although 10*(1-0.9) < 1
	return int(float64(serverCount)*(1-minAvailableShare) + roundingTolerance)
}

// countOutOfService returns the number of a tenant's windows that are out of service, and of the servers of these
// windows.
func (t *Table) countOutOfService(tenant string) (windowCount, serverCount int) {
	for _, window := range t.windows {
		if window.OutOfService() && window.involves(tenant) {
			windowCount++
			serverCount += len(window.ServerUIDs)
		}
	}
	return windowCount, serverCount
}
