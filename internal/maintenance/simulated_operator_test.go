package maintenance

import (
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
)

func (sim *simulation) applyOperator(op Operation) Outcome {
	operatorMS := sim.nowMS + sim.leaderClock.offsetMS
	return sim.applyEffect(Effect{Action: &op}, Timestamp{ControllerMS: operatorMS, UncertaintyMS: 250}, 0)
}

// dailyContract returns a contract with the same hours each day, and these hours in the form of the oracle.
func dailyContract(tenant, zone, start string, length time.Duration) (contract.Contract, agreedHours) {
	startTime, err := time.Parse("15:04", start)
	if err != nil {
		panic(err)
	}
	location, err := time.LoadLocation(zone)
	if err != nil {
		panic(err)
	}
	rule := calendar.Rule{Recurrence: "FREQ=DAILY", Start: start, Length: length.String(), FirstDay: "2020-01-01"}
	terms := contract.Contract{
		Tenant:               tenant,
		Spec:                 calendar.Spec{Zone: zone, ApprovedHours: []calendar.Rule{rule}},
		Notice:               "0s",
		MinutesPerMonth:      10_000,
		MinAvailableShare:    0.5,
		MaxConcurrentWindows: 2,
		OverrunPolicy:        contract.OverrunHaltsTenant,
	}
	agreed := agreedHours{
		location:      location,
		startMinute:   startTime.Hour()*60 + startTime.Minute(),
		lengthMinutes: int(length / time.Minute),
	}
	return terms, agreed
}

// haltLedger halts the disruption ledger for durationMS. The ledger grants no permit meanwhile, and revokes the
// grants that have not begun.
func (sim *simulation) haltLedger(durationMS int64) {
	op := disruption.Op{Kind: disruption.OpHalt, Owner: "operator/ops", Halt: &disruption.Halt{}}
	sim.revision++
	sim.ledger.Apply(sim.revision, &op)
	sim.schedule(durationMS, func() {
		op.Kind = disruption.OpResume
		sim.revision++
		sim.ledger.Apply(sim.revision, &op)
		sim.scheduleRun(sim.controller, 50)
	})
}

// setContract brings a contract and its budget into force, as the operator command does.
func (sim *simulation) setContract(newContract contract.Contract, agreed agreedHours) {
	planner := NewPlanner()
	active := &ActiveContract{Contract: newContract}
	approval := planner.Approval(active, sim.nowMS, 0)
	agreed.effectiveFromMS = sim.nowMS
	sim.oracle.agreed[newContract.Tenant] = append(sim.oracle.agreed[newContract.Tenant], agreed)
	sim.revision++
	sim.ledger.Apply(sim.revision, &disruption.Op{Kind: disruption.OpSetBudget, Budget: ContractBudget(&newContract), Owner: "operator/ops"})
	op := Operation{Kind: OpSetContract, Contract: &newContract, CurrentApproval: approval}
	if outcome := sim.applyOperator(op); outcome != OutcomeApplied {
		panic(outcome)
	}
}
