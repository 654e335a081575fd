package registry

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/leaderelection/leasetable"
)

// electionMutant is a rule that the model breaks deliberately, to show that the model detects the violation.
type electionMutant int

const (
	noMutant           electionMutant = iota
	countsFromResponse                // the holder measures its lease from the response to a renewal, not from the request
	renewsUnverified                  // a leader renews leases without verifying its leadership
	ignoresTokens                     // the resource accepts every write
)

// electionModel simulates lease holders, registry leaders that are deposed, and a resource that checks fencing tokens,
// on a virtual clock. Messages are delayed, dropped and reordered. StateMachine and leaseTracker are those of the
// program; the holders follow the rules of leaderelection.Run.
type electionModel struct {
	t        *rapid.T
	mutant   electionMutant
	now      time.Duration
	queue    []scheduledEvent
	sequence int

	index         uint64
	state         *StateMachine
	leader        *leaseTracker          // tracker of the leader that the majority follows
	deposedLeader *leaseTracker          // tracker of a deposed leader that does not know of its successor; nil: none
	pendingOps    []leasetable.Operation // proposed by the leader, not applied yet
	holders       []*modelHolder
	newestToken   uint64 // token of the newest write that the resource accepted
	violation     string
	renewals      int
}

// scheduledEvent is an event of the simulation. Events of one time run in the order in which they were scheduled.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// modelHolder is a candidate for the lease, and at times its holder.
type modelHolder struct {
	name          string
	token         uint64
	leaseEnd      time.Duration
	pausedUntil   time.Duration // the candidate does nothing until then
	releasedToken uint64        // newest token that was released: a response in flight must not extend its lease
}

const modelTTL = 1000 * time.Millisecond

func (m *electionModel) clock() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

func (m *electionModel) after(delay time.Duration, run func()) {
	m.sequence++
	m.queue = append(m.queue, scheduledEvent{m.now + delay, m.sequence, run})
}

// sendMessage delivers a message after a delay, or drops it.
func (m *electionModel) sendMessage(deliver func()) {
	if rapid.IntRange(0, 9).Draw(m.t, "drop") > 0 {
		m.after(m.drawDuration("delay", 0, 700), deliver)
	}
}

func (m *electionModel) drawDuration(label string, lower, upper int) time.Duration {
	return time.Duration(rapid.IntRange(lower, upper).Draw(m.t, label)) * time.Millisecond
}

func (m *electionModel) apply(op leasetable.Operation) {
	m.index++
	m.state.Apply(m.index, &Record{Op: OpLease, Lease: &op})
	m.leader.refresh(m.clock(), m.state, op.Name)
}

// runHolder lets a candidate campaign, renew and write once, and schedules the next run.
func (m *electionModel) runHolder(holder *modelHolder) {
	defer m.after(modelTTL/3, func() { m.runHolder(holder) })
	if m.now < holder.pausedUntil {
		return
	}
	current, _ := m.state.Leases().Get("d") // as the watch of the candidate reports it
	if current.Holder != holder.name {
		m.sendMessage(func() {
			m.apply(leasetable.Operation{Kind: leasetable.Campaign, Name: "d", Candidate: holder.name, TTLMS: modelTTL.Milliseconds()})
		})
		if slices.Contains(current.Queue, holder.name) {
			m.sendMessage(func() { m.leader.renew(m.clock(), m.state, "d", holder.name, 0) })
		}
		return
	}
	token, sent := current.Token, m.now
	m.sendMessage(func() {
		leader := m.leader
		if m.deposedLeader != nil && rapid.Bool().Draw(m.t, "to the deposed leader") {
			if m.mutant != renewsUnverified {
				return // a deposed leader cannot verify its leadership, and grants nothing
			}
			leader = m.deposedLeader
		}
		if !leader.renew(m.clock(), m.state, "d", holder.name, token) {
			return
		}
		answered := m.now
		m.sendMessage(func() {
			start := sent
			if m.mutant == countsFromResponse {
				start = max(answered, m.now)
			}
			if token <= holder.releasedToken {
				return
			}
			holder.token, holder.leaseEnd = token, max(holder.leaseEnd, start+modelTTL-leasetable.SafetyMargin(modelTTL))
			m.renewals++
		})
	})
	if m.now < holder.leaseEnd { // the holder checks its lease now; the write is sent later and takes time
		token := holder.token
		m.after(m.drawDuration("pause", 0, 1500), func() { m.sendMessage(func() { m.write(token) }) })
	}
}

func (m *electionModel) write(token uint64) {
	if m.mutant != ignoresTokens && !m.state.Leases().TokenValid("d", token) {
		return
	}
	if token < m.newestToken {
		m.violation = fmt.Sprintf("at %v a write under token %d after one under %d", m.now, token, m.newestToken)
	}
	m.newestToken = max(m.newestToken, token)
}

// injectFault pauses a holder, deposes the leader, or releases or revokes a lease.
func (m *electionModel) injectFault() {
	defer m.after(m.drawDuration("until the next fault", 50, 800), m.injectFault)
	holder := m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(m.t, "holder")]
	switch rapid.IntRange(0, 4).Draw(m.t, "fault") {
	case 0:
		holder.pausedUntil = m.now + m.drawDuration("paused", 100, 2500)
	case 1:
		for _, op := range m.pendingOps { // only committed operations are applied before the next leader is established
			if rapid.Bool().Draw(m.t, "committed") {
				m.apply(op)
			}
		}
		m.pendingOps = nil
		m.deposedLeader, m.leader = m.leader, newLeaseTracker()
		m.leader.reset(m.clock(), m.state)
	case 2:
		if m.now < holder.leaseEnd { // the holder stops its work first
			holder.leaseEnd, holder.releasedToken = m.now, holder.token
			token := holder.token
			m.sendMessage(func() {
				m.apply(leasetable.Operation{Kind: leasetable.Release, Name: "d", Candidate: holder.name, Token: token})
			})
		}
	case 3:
		m.apply(leasetable.Operation{Kind: leasetable.Revoke, Name: "d"})
	}
}

func (m *electionModel) sweep() {
	defer m.after(100*time.Millisecond, m.sweep)
	for _, op := range m.leader.beginExpiry(m.clock()) {
		m.pendingOps = append(m.pendingOps, op)
		m.after(m.drawDuration("into the log", 0, 50), func() {
			if index := slices.IndexFunc(m.pendingOps, func(pending leasetable.Operation) bool {
				return pending.Candidate == op.Candidate && pending.Token == op.Token
			}); index >= 0 {
				m.pendingOps = slices.Delete(m.pendingOps, index, index+1)
				m.apply(op)
			}
		})
	}
}

func (m *electionModel) check() {
	activeHolders := []string{}
	for _, holder := range m.holders {
		if m.now < holder.leaseEnd {
			activeHolders = append(activeHolders, fmt.Sprintf("%s under %d until %v", holder.name, holder.token, holder.leaseEnd))
		}
	}
	if len(activeHolders) > 1 {
		m.violation = fmt.Sprintf("at %v two hold the lease: %v", m.now, activeHolders)
	}
}

// runElectionModel runs the simulation. It returns a violation, if any, and the number of lease renewals.
func runElectionModel(t *rapid.T, mutant electionMutant) (string, int) {
	model := &electionModel{t: t, mutant: mutant, state: NewStateMachine(), leader: newLeaseTracker()}
	for index := range rapid.IntRange(2, 3).Draw(t, "holders") {
		holder := &modelHolder{name: fmt.Sprint("h", index)}
		model.holders = append(model.holders, holder)
		model.after(0, func() { model.runHolder(holder) })
	}
	model.after(0, model.sweep)
	model.after(500*time.Millisecond, model.injectFault)
	for model.now < 15*time.Second && model.violation == "" {
		next := 0
		for index := range model.queue {
			if cmp.Or(cmp.Compare(model.queue[index].at, model.queue[next].at), cmp.Compare(model.queue[index].sequence, model.queue[next].sequence)) < 0 {
				next = index
			}
		}
		event := model.queue[next]
		model.queue = slices.Delete(model.queue, next, next+1)
		model.now = event.at
		event.run()
		model.check()
	}
	return model.violation, model.renewals
}

// runElectionExamples runs the simulation with a number of seeds, the same in each test, until the first violation.
func runElectionExamples(seeds int, mutant electionMutant) (violation string, renewals int) {
	for seed := range seeds {
		violation = rapid.Custom(func(t *rapid.T) string {
			found, n := runElectionModel(t, mutant)
			renewals += n
			return found
		}).Example(seed)
		if violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, violation), renewals
		}
	}
	return "", renewals
}

// Two candidates never hold the lease at the same time. After a write with a fencing token, the resource that the lease
// protects accepts no write with an older token.
func TestElectionModelSafety(t *testing.T) {
	violation, renewals := runElectionExamples(3000, noMutant)
	if violation != "" || renewals < 3000 {
		t.Errorf("renewed %d times: %s", renewals, violation)
	}
}

// The model detects the violation of each rule: a holder counts its lease from the request for renewal, a leader verifies
// its leadership, and the resource checks tokens.
func TestElectionModelDetectsMutants(t *testing.T) {
	for name, mutant := range map[string]electionMutant{"clock": countsFromResponse, "proof": renewsUnverified, "token": ignoresTokens} {
		t.Run(name, func(t *testing.T) {
			if violation, _ := runElectionExamples(5000, mutant); violation == "" {
				t.Error("no violation with 5000 seeds")
			}
		})
	}
}
