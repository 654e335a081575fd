package duty_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"milldeck/internal/duty/table"
	"milldeck/internal/registry"
)

// historyIn is one operation on a duty: seek, release, renew, checkpoint, write (of an instance, guarded by the token),
// read (of the duty) or value (of the instance).
type historyIn struct {
	op    string
	who   string
	token uint64
	value int
}

// historyOut is its answer: whether it counted, or what was read.
type historyOut struct {
	ok     bool
	holder string
	token  uint64
	queue  string
	value  int // of the checkpoint, or of the instance
}

// historyState is a duty as its specification has it. That a lease ends may come before any operation, so that several
// states are possible; the token that the next one then has is known only from what is read.
type historyState struct {
	holder string
	token  uint64 // 0: not read yet, and above over
	over   uint64 // the newest token that is known and counts no more
	queue  string // names with commas
	saved  int
	value  int
}

func (s historyState) pass() historyState {
	if s.token != 0 {
		s.over, s.token = s.token, 0
	}
	s.holder, s.queue, _ = strings.Cut(s.queue, ",")
	return s
}

func (s historyState) without(who string) historyState {
	q := slices.DeleteFunc(strings.Split(s.queue, ","), func(w string) bool { return w == who })
	s.queue = strings.Join(q, ",")
	return s
}

func (s historyState) waits(who string) bool {
	return slices.Contains(strings.Split(s.queue, ","), who)
}

// lapsed are all states that ends of leases can make of one.
func (s historyState) lapsed() []historyState {
	all := []historyState{s}
	for i := 0; i < len(all); i++ {
		var next []historyState
		if all[i].holder != "" {
			next = append(next, all[i].pass())
		}
		if all[i].queue != "" {
			for _, who := range strings.Split(all[i].queue, ",") {
				next = append(next, all[i].without(who))
			}
		}
		for _, n := range next {
			if !slices.Contains(all, n) {
				all = append(all, n)
			}
		}
	}
	return all
}

// step does an operation; false: it cannot have had this answer.
func (s historyState) step(in historyIn, out historyOut) (historyState, bool) {
	holds := s.holder != "" && s.holder == in.who && s.token != 0 && s.token == in.token
	switch in.op {
	case "seek":
		if s.holder == in.who || s.waits(in.who) {
			return s, true
		}
		if s.holder == "" {
			s.holder = in.who // and a token that nobody knows yet
			return s, true
		}
		s.queue = strings.Trim(s.queue+","+in.who, ",")
		return s, true
	case "release":
		switch {
		case holds:
			s = s.pass()
		case in.token == 0 && s.holder != in.who:
			s = s.without(in.who)
		}
		return s, true
	case "renew":
		return s, holds || !out.ok // one that is refused may be for an end that is on its way into the log
	case "checkpoint":
		if out.ok {
			s.saved = in.value
		}
		return s, out.ok == holds
	case "write":
		if out.ok {
			s.value = in.value
		}
		return s, out.ok == (s.holder != "" && s.token != 0 && s.token == in.token)
	case "value":
		return s, out.value == s.value
	}
	if out.holder != s.holder || out.queue != s.queue || out.value != s.saved {
		return s, false
	}
	if s.holder == "" {
		return s, true
	}
	if s.token == 0 && out.token > s.over {
		s.token = out.token
	}
	return s, out.token == s.token
}

var historyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{historyState{}} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, s := range state.(historyState).lapsed() {
			if n, ok := s.step(input.(historyIn), output.(historyOut)); ok && !slices.Contains(next, any(n)) {
				next = append(next, n)
			}
		}
		return next
	},
}

// history is what clients did with one duty, as they saw it.
type history struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
	lanes int
}

// add notes an operation. Each has a client of its own: a write's answer is the duty as it was read after it, which is a
// second operation in the same time.
func (h *history) add(call time.Time, in historyIn, out historyOut) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lanes++
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: h.lanes, Input: in, Call: int64(call.Sub(h.began)), Output: out, Return: int64(time.Since(h.began)),
	})
}

func (h *history) read(call time.Time, d table.Duty) {
	saved, _ := strconv.Atoi(string(d.Checkpoint)) // 0 where there is none yet
	out := historyOut{holder: d.Holder, token: d.Token, queue: strings.Join(d.Queue, ","), value: saved}
	h.add(call, historyIn{op: "read"}, out)
}

// refused tells a write that did not count from one of which nothing is known.
func refused(err error) bool {
	var status *registry.StatusError
	return errors.As(err, &status) && (status.Status == http.StatusConflict || status.Status == http.StatusNotFound)
}

// client does one random operation after another on a duty until it is told to end.
func (h *history) client(b *bed, client *registry.Client, rng *rand.Rand, duty, name string, ttl time.Duration, ending *atomic.Bool) error {
	lives, token, value := 0, uint64(0), 0
	who := name + "-0"
	for !ending.Load() {
		value++
		call := time.Now()
		ops := []string{"seek", "seek", "read"}
		if token != 0 {
			ops = []string{"release", "renew", "renew", "checkpoint", "checkpoint", "write", "write", "seek", "value"}
		}
		in := historyIn{op: ops[rng.IntN(len(ops))], who: who, token: token, value: value*10 + int(name[1]-'0')}
		d, err := table.Duty{}, error(nil)
		switch in.op {
		case "seek":
			d, err = client.Duty(b.ctx, table.Seek, duty, registry.DutyCall{Who: who, TTLMS: ttl.Milliseconds()})
		case "release":
			d, err = client.Duty(b.ctx, table.Release, duty, registry.DutyCall{Who: who, Token: token})
			if refused(err) { // nobody has sought the duty yet
				d, err = table.Duty{}, nil
			}
		case "renew":
			var lost []string
			lost, err = client.RenewDuties(b.ctx, who, []registry.DutyRenewal{{Name: duty, Token: token}})
			if err == nil && token != 0 {
				h.add(call, in, historyOut{ok: len(lost) == 0})
			}
		case "checkpoint":
			d, err = client.Duty(b.ctx, table.Checkpoint, duty, registry.DutyCall{Who: who, Token: token, Data: []byte(strconv.Itoa(in.value))})
		case "write":
			i := registry.Instance{Target: registry.Target{UID: duty, Endpoint: "127.0.0.1:9", State: registry.Ready, Capacity: float64(in.value) / 1000}}
			_, err = client.Register(b.ctx, registry.Write{Guard: &registry.Guard{Duty: duty, Token: token}}, i)
		case "read":
			d, err = client.GetDuty(b.ctx, duty)
		case "value":
			var i registry.Instance
			if i, err = client.Get(b.ctx, duty, true); refused(err) {
				err = nil
			}
			if err == nil {
				h.add(call, in, historyOut{value: int(i.Capacity*1000 + 0.5)})
			}
		}
		if err != nil && !refused(err) {
			return fmt.Errorf("%s %s: %w", who, in.op, err)
		}
		switch in.op {
		case "seek", "release", "checkpoint", "write":
			h.add(call, in, historyOut{ok: err == nil})
		}
		if d.Name != "" {
			h.read(call, d)
			if d.Holder == who {
				token = d.Token // and it keeps it once it counts no more: late writes are what has to be refused
			}
		}
		if in.op == "release" { // each life has a name of its own, as with processes; else it would be held down
			lives++
			who, token = fmt.Sprint(name, "-", lives), 0
		}
		if rng.IntN(40) == 0 { // longer than a lease, now and then
			time.Sleep(time.Duration(rng.Float64() * 1.5 * float64(ttl)))
		}
	}
	return nil
}

// What clients of several duties see of their operations while leaders are killed, frozen and restarted and leases end is
// what one table would have shown them, one operation after the other.
func TestHistoriesAreLinearizable(t *testing.T) {
	const duties, clients, faults, ttl = 4, 4, 6, 600 * time.Millisecond
	b := start(t)
	var ending atomic.Bool
	var around sync.WaitGroup
	histories := make([]*history, duties)
	for n := range duties {
		h := &history{began: time.Now()}
		histories[n] = h
		for i := range clients {
			around.Go(func() {
				client, err := b.c.Client()
				if err != nil {
					t.Error(err)
					return
				}
				defer client.Close()
				rng := rand.New(rand.NewPCG(uint64(n), uint64(i)))
				if err := h.client(b, client, rng, fmt.Sprint("d", n), fmt.Sprint("c", i), ttl, &ending); err != nil {
					t.Error(err)
				}
			})
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for n := range faults {
		r, err := b.c.Leader(b.ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond) // amid the operations
		if n%2 == 0 {
			r.Proc.Kill()
			err = r.Start()
		} else {
			err = r.Freeze()
			time.Sleep(time.Second) // until others have elected a leader, while it believes that it is the one
			err = errors.Join(err, r.Thaw())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.c.Leader(b.ctx); err != nil {
		t.Fatal(err)
	}
	ending.Store(true)
	around.Wait()
	counts := map[string]int{}
	for n, h := range histories {
		if res := porcupine.CheckOperationsTimeout(historyModel.ToModel(), h.ops, 20*time.Second); res != porcupine.Ok {
			t.Errorf("the history of d%d, %d operations, is not linearizable: %s", n, len(h.ops), res)
		}
		for _, op := range h.ops {
			if in, out := op.Input.(historyIn), op.Output.(historyOut); out.ok || out.holder != "" {
				counts[in.op]++
			}
		}
	}
	if counts["checkpoint"] == 0 || counts["write"] == 0 || counts["renew"] == 0 {
		t.Error("the histories show little")
	}
	t.Logf("operations that were done: %v", counts)
}

// The model tells a sound history from those that a registry with a bug would leave.
func TestHistoryModelFindsBugs(t *testing.T) {
	first := []porcupine.Operation{}
	then := func(ops []porcupine.Operation, in historyIn, out historyOut) []porcupine.Operation {
		at := int64(len(ops))
		return append(slices.Clone(ops), porcupine.Operation{ClientId: len(ops), Input: in, Call: 2 * at, Output: out, Return: 2*at + 1})
	}
	for _, o := range []struct {
		in  historyIn
		out historyOut
	}{
		{historyIn{op: "seek", who: "a"}, historyOut{ok: true}}, {historyIn{op: "seek", who: "b"}, historyOut{ok: true}},
		{historyIn{op: "read"}, historyOut{holder: "a", token: 5, queue: "b"}},
		{historyIn{op: "checkpoint", who: "a", token: 5, value: 1}, historyOut{ok: true}},
		{historyIn{op: "read"}, historyOut{holder: "b", token: 9, value: 1}}, // the lease of a has ended
	} {
		first = then(first, o.in, o.out)
	}
	model := historyModel.ToModel()
	for name, c := range map[string]struct {
		in   historyIn
		out  historyOut
		want bool
	}{
		"late write refused":        {historyIn{op: "checkpoint", who: "a", token: 5, value: 2}, historyOut{}, true},
		"late write counted":        {historyIn{op: "checkpoint", who: "a", token: 5, value: 2}, historyOut{ok: true}, false},
		"late guarded write":        {historyIn{op: "write", who: "a", token: 5, value: 2}, historyOut{ok: true}, false},
		"late renewal":              {historyIn{op: "renew", who: "a", token: 5}, historyOut{ok: true}, false},
		"old holder again":          {historyIn{op: "read"}, historyOut{holder: "a", token: 5, queue: "b", value: 1}, false},
		"token that falls":          {historyIn{op: "read"}, historyOut{holder: "b", token: 4, value: 1}, false},
		"checkpoint lost":           {historyIn{op: "read"}, historyOut{holder: "b", token: 9}, false},
		"write that nobody made":    {historyIn{op: "value"}, historyOut{value: 3}, false},
		"holder that nobody sought": {historyIn{op: "read"}, historyOut{holder: "c", token: 11, value: 1}, false},
	} {
		if got := porcupine.CheckOperations(model, then(first, c.in, c.out)); got != c.want {
			t.Errorf("%s: linearizable %v, want %v", name, got, c.want)
		}
	}
}
