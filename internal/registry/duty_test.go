package registry

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/duty/table"
)

// fault is what a mutant of the model leaves out, to show that the model would find it.
type fault int

const (
	sound         fault = iota
	countsAnswer        // the holder counts its lease from the answer to its renewal, not from the question
	unprovenRenew       // a leader renews without proof of its leadership
	noToken             // the resource takes any write
)

// dutyWorld is holders, a registry with leaders that may be frozen and deposed, and a guarded resource, on a virtual
// clock: messages are delayed, dropped and reordered. State and dutyLeases are the program's own; the holders follow
// the rules of duty.Run.
type dutyWorld struct {
	t      *rapid.T
	broken fault
	now    time.Duration
	queue  []todo
	seq    int

	index   uint64
	state   *State
	leader  *dutyLeases       // of the leader that the majority follows
	old     *dutyLeases       // of one that was deposed and does not know it; nil: none
	logged  []table.Operation // entries of the leader that are not applied yet
	holders []*modelHolder
	newest  uint64 // token of the newest write that the resource took
	wrong   string
	held    int
}

type todo struct {
	at  time.Duration
	seq int
	do  func()
}

type modelHolder struct {
	who    string
	token  uint64
	until  time.Duration
	frozen time.Duration // until when it does nothing
	over   uint64        // the newest token that it released: an answer still under way changes nothing
}

const modelTTL = 1000 * time.Millisecond

func (w *dutyWorld) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func (w *dutyWorld) after(d time.Duration, do func()) {
	w.seq++
	w.queue = append(w.queue, todo{w.now + d, w.seq, do})
}

// message arrives late, or not at all.
func (w *dutyWorld) message(do func()) {
	if rapid.IntRange(0, 9).Draw(w.t, "drop") > 0 {
		w.after(w.ms("delay", 0, 700), do)
	}
}

func (w *dutyWorld) ms(what string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(w.t, what)) * time.Millisecond
}

func (w *dutyWorld) apply(op table.Operation) {
	w.index++
	w.state.Apply(w.index, &Record{Op: OpDuty, Duty: &op})
	w.leader.follow(w.clock(), w.state, op.Name)
}

// holder seeks, renews and works for ever.
func (w *dutyWorld) holder(h *modelHolder) {
	defer w.after(modelTTL/3, func() { w.holder(h) })
	if w.now < h.frozen {
		return
	}
	d, _ := w.state.Duties().Get("d") // its watch; a message later it would be as good
	if d.Holder != h.who {
		w.message(func() {
			w.apply(table.Operation{Kind: table.Campaign, Name: "d", Candidate: h.who, TTLMS: modelTTL.Milliseconds()})
		})
		if slices.Contains(d.Queue, h.who) {
			w.message(func() { w.leader.renew(w.clock(), w.state, "d", h.who, 0) })
		}
		return
	}
	token, sent := d.Token, w.now
	w.message(func() {
		to := w.leader
		if w.old != nil && rapid.Bool().Draw(w.t, "asks the old leader") {
			if w.broken != unprovenRenew {
				return // it cannot prove its leadership any more, and promises nothing
			}
			to = w.old
		}
		if !to.renew(w.clock(), w.state, "d", h.who, token) {
			return
		}
		answered := w.now
		w.message(func() {
			from := sent
			if w.broken == countsAnswer {
				from = max(answered, w.now)
			}
			if token <= h.over {
				return
			}
			h.token, h.until = token, max(h.until, from+modelTTL-table.SafetyMargin(modelTTL))
			w.held++
		})
	})
	if w.now < h.until { // the look at the lease; the write leaves later, and arrives later still
		token := h.token
		w.after(w.ms("pause", 0, 1500), func() { w.message(func() { w.write(token) }) })
	}
}

func (w *dutyWorld) write(token uint64) {
	if w.broken != noToken && !w.state.Duties().TokenValid("d", token) {
		return
	}
	if token < w.newest {
		w.wrong = fmt.Sprintf("at %v a write under token %d after one under %d", w.now, token, w.newest)
	}
	w.newest = max(w.newest, token)
}

// trouble freezes holders, deposes leaders, releases and takes away.
func (w *dutyWorld) trouble() {
	defer w.after(w.ms("until the next trouble", 50, 800), w.trouble)
	h := w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "whom")]
	switch rapid.IntRange(0, 4).Draw(w.t, "trouble") {
	case 0:
		h.frozen = w.now + w.ms("frozen", 100, 2500)
	case 1:
		for _, op := range w.logged { // what the majority has is applied before the next leader counts, the rest never
			if rapid.Bool().Draw(w.t, "committed") {
				w.apply(op)
			}
		}
		w.logged = nil
		w.old, w.leader = w.leader, newDutyLeases()
		w.leader.reset(w.clock(), w.state)
	case 2:
		if w.now < h.until { // it stops first
			h.until, h.over = w.now, h.token
			token := h.token
			w.message(func() { w.apply(table.Operation{Kind: table.Release, Name: "d", Candidate: h.who, Token: token}) })
		}
	case 3:
		w.apply(table.Operation{Kind: table.Revoke, Name: "d"})
	}
}

func (w *dutyWorld) sweep() {
	defer w.after(100*time.Millisecond, w.sweep)
	for _, op := range w.leader.ended(w.clock()) {
		w.logged = append(w.logged, op)
		w.after(w.ms("into the log", 0, 50), func() {
			if i := slices.IndexFunc(w.logged, func(o table.Operation) bool { return o.Candidate == op.Candidate && o.Token == op.Token }); i >= 0 {
				w.logged = slices.Delete(w.logged, i, i+1)
				w.apply(op)
			}
		})
	}
}

func (w *dutyWorld) check() {
	believe := []string{}
	for _, h := range w.holders {
		if w.now < h.until {
			believe = append(believe, fmt.Sprintf("%s under %d until %v", h.who, h.token, h.until))
		}
	}
	if len(believe) > 1 {
		w.wrong = fmt.Sprintf("at %v two hold the duty: %v", w.now, believe)
	}
}

// play runs the world and returns what went wrong, and how often a duty was held.
func playDuty(t *rapid.T, broken fault) (string, int) {
	w := &dutyWorld{t: t, broken: broken, state: NewState(), leader: newDutyLeases()}
	for i := range rapid.IntRange(2, 3).Draw(t, "holders") {
		h := &modelHolder{who: fmt.Sprint("h", i)}
		w.holders = append(w.holders, h)
		w.after(0, func() { w.holder(h) })
	}
	w.after(0, w.sweep)
	w.after(500*time.Millisecond, w.trouble)
	for w.now < 15*time.Second && w.wrong == "" {
		next := 0
		for i := range w.queue {
			if cmp.Or(cmp.Compare(w.queue[i].at, w.queue[next].at), cmp.Compare(w.queue[i].seq, w.queue[next].seq)) < 0 {
				next = i
			}
		}
		e := w.queue[next]
		w.queue = slices.Delete(w.queue, next, next+1)
		w.now = e.at
		e.do()
		w.check()
	}
	return w.wrong, w.held
}

// examples plays the world on as many seeds, the same with each run, until something goes wrong.
func examples(n int, broken fault) (wrong string, held int) {
	for seed := range n {
		wrong = rapid.Custom(func(t *rapid.T) string {
			found, n := playDuty(t, broken)
			held += n
			return found
		}).Example(seed)
		if wrong != "" {
			return fmt.Sprintf("seed %d: %s", seed, wrong), held
		}
	}
	return "", held
}

// At no time two hold a duty, and the resource takes no write of an older token after one of a newer.
func TestDutyModel(t *testing.T) {
	wrong, held := examples(3000, sound)
	if wrong != "" || held < 3000 {
		t.Errorf("held %d times: %s", held, wrong)
	}
}

// The model finds what is taken out: the rule of the clock, the proof of leadership, the token.
func TestDutyModelFindsBugs(t *testing.T) {
	for name, broken := range map[string]fault{"clock": countsAnswer, "proof": unprovenRenew, "token": noToken} {
		t.Run(name, func(t *testing.T) {
			if wrong, _ := examples(5000, broken); wrong == "" {
				t.Error("nothing was found in 5000 plays")
			}
		})
	}
}
