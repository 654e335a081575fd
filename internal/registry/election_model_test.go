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

// electionMutant is what a mutant of the model leaves out, to show that the model would find it.
type electionMutant int

const (
	noMutant           electionMutant = iota
	countsFromResponse                // the holder counts its lease from the answer to its renewal, not from the question
	renewsUnverified                  // a leader renews without proof of its leadership
	ignoresTokens                     // the resource takes any write
)

// electionModel is holders, a registry with leaders that may be frozen and deposed, and a guarded resource, on a virtual
// clock: messages are delayed, dropped and reordered. State and leaseTracker are the program's own; the holders follow
// the rules of duty.Run.
type electionModel struct {
	t        *rapid.T
	mutant   electionMutant
	now      time.Duration
	queue    []scheduledEvent
	sequence int

	index         uint64
	state         *StateMachine
	leader        *leaseTracker          // of the leader that the majority follows
	deposedLeader *leaseTracker          // of one that was deposed and does not know it; nil: none
	pendingOps    []leasetable.Operation // entries of the leader that are not applied yet
	holders       []*modelHolder
	newestToken   uint64 // token of the newest write that the resource took
	violation     string
	renewals      int
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type modelHolder struct {
	name          string
	token         uint64
	leaseEnd      time.Duration
	frozenUntil   time.Duration // until when it does nothing
	releasedToken uint64        // the newest token that it released: an answer still under way changes nothing
}

const modelTTL = 1000 * time.Millisecond

func (w *electionModel) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func (w *electionModel) after(delay time.Duration, run func()) {
	w.sequence++
	w.queue = append(w.queue, scheduledEvent{w.now + delay, w.sequence, run})
}

// message arrives late, or not at all.
func (w *electionModel) message(deliver func()) {
	if rapid.IntRange(0, 9).Draw(w.t, "drop") > 0 {
		w.after(w.drawDuration("delay", 0, 700), deliver)
	}
}

func (w *electionModel) drawDuration(label string, lower, upper int) time.Duration {
	return time.Duration(rapid.IntRange(lower, upper).Draw(w.t, label)) * time.Millisecond
}

func (w *electionModel) apply(op leasetable.Operation) {
	w.index++
	w.state.Apply(w.index, &Record{Op: OpLease, Lease: &op})
	w.leader.refresh(w.clock(), w.state, op.Name)
}

// holder seeks, renews and works for ever.
func (w *electionModel) holder(holder *modelHolder) {
	defer w.after(modelTTL/3, func() { w.holder(holder) })
	if w.now < holder.frozenUntil {
		return
	}
	current, _ := w.state.Leases().Get("d") // its watch; a message later it would be as good
	if current.Holder != holder.name {
		w.message(func() {
			w.apply(leasetable.Operation{Kind: leasetable.Campaign, Name: "d", Candidate: holder.name, TTLMS: modelTTL.Milliseconds()})
		})
		if slices.Contains(current.Queue, holder.name) {
			w.message(func() { w.leader.renew(w.clock(), w.state, "d", holder.name, 0) })
		}
		return
	}
	token, sent := current.Token, w.now
	w.message(func() {
		leader := w.leader
		if w.deposedLeader != nil && rapid.Bool().Draw(w.t, "asks the old leader") {
			if w.mutant != renewsUnverified {
				return // it cannot prove its leadership any more, and promises nothing
			}
			leader = w.deposedLeader
		}
		if !leader.renew(w.clock(), w.state, "d", holder.name, token) {
			return
		}
		answered := w.now
		w.message(func() {
			start := sent
			if w.mutant == countsFromResponse {
				start = max(answered, w.now)
			}
			if token <= holder.releasedToken {
				return
			}
			holder.token, holder.leaseEnd = token, max(holder.leaseEnd, start+modelTTL-leasetable.SafetyMargin(modelTTL))
			w.renewals++
		})
	})
	if w.now < holder.leaseEnd { // the look at the lease; the write leaves later, and arrives later still
		token := holder.token
		w.after(w.drawDuration("pause", 0, 1500), func() { w.message(func() { w.write(token) }) })
	}
}

func (w *electionModel) write(token uint64) {
	if w.mutant != ignoresTokens && !w.state.Leases().TokenValid("d", token) {
		return
	}
	if token < w.newestToken {
		w.violation = fmt.Sprintf("at %v a write under token %d after one under %d", w.now, token, w.newestToken)
	}
	w.newestToken = max(w.newestToken, token)
}

// injectFault freezes holders, deposes leaders, releases and takes away.
func (w *electionModel) injectFault() {
	defer w.after(w.drawDuration("until the next trouble", 50, 800), w.injectFault)
	holder := w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "whom")]
	switch rapid.IntRange(0, 4).Draw(w.t, "trouble") {
	case 0:
		holder.frozenUntil = w.now + w.drawDuration("frozen", 100, 2500)
	case 1:
		for _, op := range w.pendingOps { // what the majority has is applied before the next leader counts, the rest never
			if rapid.Bool().Draw(w.t, "committed") {
				w.apply(op)
			}
		}
		w.pendingOps = nil
		w.deposedLeader, w.leader = w.leader, newLeaseTracker()
		w.leader.reset(w.clock(), w.state)
	case 2:
		if w.now < holder.leaseEnd { // it stops first
			holder.leaseEnd, holder.releasedToken = w.now, holder.token
			token := holder.token
			w.message(func() {
				w.apply(leasetable.Operation{Kind: leasetable.Release, Name: "d", Candidate: holder.name, Token: token})
			})
		}
	case 3:
		w.apply(leasetable.Operation{Kind: leasetable.Revoke, Name: "d"})
	}
}

func (w *electionModel) sweep() {
	defer w.after(100*time.Millisecond, w.sweep)
	for _, op := range w.leader.findExpired(w.clock()) {
		w.pendingOps = append(w.pendingOps, op)
		w.after(w.drawDuration("into the log", 0, 50), func() {
			if index := slices.IndexFunc(w.pendingOps, func(pending leasetable.Operation) bool {
				return pending.Candidate == op.Candidate && pending.Token == op.Token
			}); index >= 0 {
				w.pendingOps = slices.Delete(w.pendingOps, index, index+1)
				w.apply(op)
			}
		})
	}
}

func (w *electionModel) check() {
	believers := []string{}
	for _, holder := range w.holders {
		if w.now < holder.leaseEnd {
			believers = append(believers, fmt.Sprintf("%s under %d until %v", holder.name, holder.token, holder.leaseEnd))
		}
	}
	if len(believers) > 1 {
		w.violation = fmt.Sprintf("at %v two hold the duty: %v", w.now, believers)
	}
}

// play runs the world and returns what went wrong, and how often a duty was held.
func runElectionModel(t *rapid.T, mutant electionMutant) (string, int) {
	model := &electionModel{t: t, mutant: mutant, state: NewStateMachine(), leader: newLeaseTracker()}
	for index := range rapid.IntRange(2, 3).Draw(t, "holders") {
		holder := &modelHolder{name: fmt.Sprint("h", index)}
		model.holders = append(model.holders, holder)
		model.after(0, func() { model.holder(holder) })
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

// runElectionExamples plays the world on as many seeds, the same with each run, until something goes wrong.
func runElectionExamples(n int, mutant electionMutant) (violation string, renewals int) {
	for seed := range n {
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

// At no time two hold a duty, and the resource takes no write of an older token after one of a newer.
func TestElectionModelSafety(t *testing.T) {
	violation, renewals := runElectionExamples(3000, noMutant)
	if violation != "" || renewals < 3000 {
		t.Errorf("held %d times: %s", renewals, violation)
	}
}

// The model finds what is taken out: the rule of the clock, the proof of leadership, the token.
func TestElectionModelDetectsMutants(t *testing.T) {
	for name, mutant := range map[string]electionMutant{"clock": countsFromResponse, "proof": renewsUnverified, "token": ignoresTokens} {
		t.Run(name, func(t *testing.T) {
			if violation, _ := runElectionExamples(5000, mutant); violation == "" {
				t.Error("nothing was found in 5000 plays")
			}
		})
	}
}
