package leaderelection_test

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

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

// leaseInput is one operation on a lease: seek (a campaign), release, renew, checkpoint, write (of an instance, guarded by
// the token), read (of the lease) or value (of the instance).
type leaseInput struct {
	operation string
	candidate string
	token     uint64
	value     int
}

// leaseOutput is its answer: whether it was accepted, or what was read.
type leaseOutput struct {
	accepted bool
	holder   string
	token    uint64
	queue    string
	value    int // of the checkpoint, or of the instance
}

// leaseModelState is a lease by its specification. It may expire before any operation, so that several states are possible;
// the token of the next holder is known only once it has been read.
type leaseModelState struct {
	holder          string
	token           uint64 // 0: not read yet; it is above supersededToken
	supersededToken uint64 // the newest known token that is no longer valid
	queue           string // names, joined with commas
	checkpoint      int
	value           int
}

func (s leaseModelState) handOver() leaseModelState {
	if s.token != 0 {
		s.supersededToken, s.token = s.token, 0
	}
	s.holder, s.queue, _ = strings.Cut(s.queue, ",")
	return s
}

func (s leaseModelState) removeFromQueue(candidate string) leaseModelState {
	remaining := slices.DeleteFunc(strings.Split(s.queue, ","), func(queued string) bool { return queued == candidate })
	s.queue = strings.Join(remaining, ",")
	return s
}

func (s leaseModelState) queued(candidate string) bool {
	return slices.Contains(strings.Split(s.queue, ","), candidate)
}

// reachableByExpiry are all states that ends of leases can make of one.
func (s leaseModelState) reachableByExpiry() []leaseModelState {
	reachable := []leaseModelState{s}
	for i := 0; i < len(reachable); i++ {
		var next []leaseModelState
		if reachable[i].holder != "" {
			next = append(next, reachable[i].handOver())
		}
		if reachable[i].queue != "" {
			for _, candidate := range strings.Split(reachable[i].queue, ",") {
				next = append(next, reachable[i].removeFromQueue(candidate))
			}
		}
		for _, state := range next {
			if !slices.Contains(reachable, state) {
				reachable = append(reachable, state)
			}
		}
	}
	return reachable
}

// apply does an operation; false: it cannot have had this answer.
func (s leaseModelState) apply(in leaseInput, out leaseOutput) (leaseModelState, bool) {
	isHolder := s.holder != "" && s.holder == in.candidate && s.token != 0 && s.token == in.token
	switch in.operation {
	case "seek":
		if s.holder == in.candidate || s.queued(in.candidate) {
			return s, true
		}
		if s.holder == "" {
			s.holder = in.candidate // and a token that nobody knows yet
			return s, true
		}
		s.queue = strings.Trim(s.queue+","+in.candidate, ",")
		return s, true
	case "release":
		switch {
		case isHolder:
			s = s.handOver()
		case in.token == 0 && s.holder != in.candidate:
			s = s.removeFromQueue(in.candidate)
		}
		return s, true
	case "renew":
		return s, isHolder || !out.accepted // a rejected renewal may be due to an expiry that is being written to the log
	case "checkpoint":
		if out.accepted {
			s.checkpoint = in.value
		}
		return s, out.accepted == isHolder
	case "write":
		if out.accepted {
			s.value = in.value
		}
		return s, out.accepted == (s.holder != "" && s.token != 0 && s.token == in.token)
	case "value":
		return s, out.value == s.value
	}
	if out.holder != s.holder || out.queue != s.queue || out.value != s.checkpoint {
		return s, false
	}
	if s.holder == "" {
		return s, true
	}
	if s.token == 0 && out.token > s.supersededToken {
		s.token = out.token
	}
	return s, out.token == s.token
}

var leaseModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseModelState{}} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, s := range state.(leaseModelState).reachableByExpiry() {
			if n, ok := s.apply(input.(leaseInput), output.(leaseOutput)); ok && !slices.Contains(next, any(n)) {
				next = append(next, n)
			}
		}
		return next
	},
}

// history is what clients did with one lease, as they saw it.
type history struct {
	mu           sync.Mutex
	startedAt    time.Time
	operations   []porcupine.Operation
	lastClientID int
}

// record adds an operation, each under a client ID of its own: a write is answered with the lease as read after it, which
// is a second operation at the same time.
func (h *history) record(calledAt time.Time, in leaseInput, out leaseOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastClientID++
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: h.lastClientID, Input: in, Call: int64(calledAt.Sub(h.startedAt)), Output: out, Return: int64(time.Since(h.startedAt)),
	})
}

func (h *history) recordRead(calledAt time.Time, state leasetable.Lease) {
	checkpoint, _ := strconv.Atoi(string(state.Checkpoint)) // 0 where there is none yet
	out := leaseOutput{holder: state.Holder, token: state.Token, queue: strings.Join(state.Queue, ","), value: checkpoint}
	h.record(calledAt, leaseInput{operation: "read"}, out)
}

// rejected tells a write that was rejected from one whose outcome is unknown.
func rejected(err error) bool {
	var status *registry.StatusError
	return errors.As(err, &status) && (status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound)
}

// runClient does one random operation after another on a lease until stopping is set.
func (h *history) runClient(tc *testCluster, runClient *registry.Client, rng *rand.Rand, leaseName, clientName string, ttl time.Duration, stopping *atomic.Bool) error {
	incarnation, token, value := 0, uint64(0), 0
	candidate := clientName + "-0"
	for !stopping.Load() {
		value++
		calledAt := time.Now()
		operations := []string{"seek", "seek", "read"}
		if token != 0 {
			operations = []string{"release", "renew", "renew", "checkpoint", "checkpoint", "write", "write", "seek", "value"}
		}
		in := leaseInput{operation: operations[rng.IntN(len(operations))], candidate: candidate, token: token, value: value*10 + int(clientName[1]-'0')}
		state, err := leasetable.Lease{}, error(nil)
		switch in.operation {
		case "seek":
			state, err = runClient.UpdateLease(tc.ctx, leasetable.Campaign, leaseName, registry.LeaseRequest{Candidate: candidate, TTLMS: ttl.Milliseconds()})
		case "release":
			state, err = runClient.UpdateLease(tc.ctx, leasetable.Release, leaseName, registry.LeaseRequest{Candidate: candidate, Token: token})
			if rejected(err) { // nobody has campaigned for the lease yet
				state, err = leasetable.Lease{}, nil
			}
		case "renew":
			var lost []string
			lost, err = runClient.RenewLeases(tc.ctx, candidate, []registry.LeaseRenewal{{Name: leaseName, Token: token}})
			if err == nil && token != 0 {
				h.record(calledAt, in, leaseOutput{accepted: len(lost) == 0})
			}
		case "checkpoint":
			state, err = runClient.UpdateLease(tc.ctx, leasetable.Checkpoint, leaseName, registry.LeaseRequest{Candidate: candidate, Token: token, Data: []byte(strconv.Itoa(in.value))})
		case "write":
			instance := registry.Instance{Target: registry.Target{UID: leaseName, Endpoint: "127.0.0.1:9", State: registry.InstanceReady, Capacity: float64(in.value) / 1000}}
			_, err = runClient.Register(tc.ctx, registry.WriteOptions{Guard: &registry.Guard{Lease: leaseName, Token: token}}, instance)
		case "read":
			state, err = runClient.Lease(tc.ctx, leaseName)
		case "value":
			var instance registry.Instance
			if instance, err = runClient.Get(tc.ctx, leaseName, true); rejected(err) {
				err = nil
			}
			if err == nil {
				h.record(calledAt, in, leaseOutput{value: int(instance.Capacity*1000 + 0.5)})
			}
		}
		if err != nil && !rejected(err) {
			return fmt.Errorf("%s %s: %w", candidate, in.operation, err)
		}
		switch in.operation {
		case "seek", "release", "checkpoint", "write":
			h.record(calledAt, in, leaseOutput{accepted: err == nil})
		}
		if state.Name != "" {
			h.recordRead(calledAt, state)
			if state.Holder == candidate {
				token = state.Token // it is used also once it is invalid: late writes have to be rejected
			}
		}
		if in.operation == "release" { // each incarnation has a name of its own, as processes have; else the hold-down would apply
			incarnation++
			candidate, token = fmt.Sprint(clientName, "-", incarnation), 0
		}
		if rng.IntN(40) == 0 { // sometimes for longer than a lease
			time.Sleep(time.Duration(rng.Float64() * 1.5 * float64(ttl)))
		}
	}
	return nil
}

// What clients of several leases see, while raft leaders are killed, frozen and restarted and leases expire, is what a single
// table would have shown them.
func TestHistoriesAreLinearizable(t *testing.T) {
	const leaseCount, clientsPerLease, faultCount, ttl = 4, 4, 6, 600 * time.Millisecond
	tc := startCluster(t)
	var stopping atomic.Bool
	var background sync.WaitGroup
	histories := make([]*history, leaseCount)
	for n := range leaseCount {
		h := &history{startedAt: time.Now()}
		histories[n] = h
		for i := range clientsPerLease {
			background.Go(func() {
				client, err := registry.NewClient(tc.cluster.HTTPAddrs())
				if err != nil {
					t.Error(err)
					return
				}
				defer client.Close()
				rng := rand.New(rand.NewPCG(uint64(n), uint64(i)))
				if err := h.runClient(tc, client, rng, fmt.Sprint("d", n), fmt.Sprint("c", i), ttl, &stopping); err != nil {
					t.Error(err)
				}
			})
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for n := range faultCount {
		replica, err := tc.cluster.AwaitLeader(tc.ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond) // amid the operations
		if n%2 == 0 {
			replica.Process.Kill()
			err = replica.Start()
		} else {
			err = replica.Pause()
			time.Sleep(time.Second) // until the others have elected another leader, while this one still believes to be it
			err = errors.Join(err, replica.Resume())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := tc.cluster.AwaitLeader(tc.ctx); err != nil {
		t.Fatal(err)
	}
	stopping.Store(true)
	background.Wait()
	counts := map[string]int{}
	for n, h := range histories {
		if verdict := porcupine.CheckOperationsTimeout(leaseModel.ToModel(), h.operations, 20*time.Second); verdict != porcupine.Ok {
			t.Errorf("the history of d%d, %d operations, is not linearizable: %s", n, len(h.operations), verdict)
		}
		for _, op := range h.operations {
			if in, out := op.Input.(leaseInput), op.Output.(leaseOutput); out.accepted || out.holder != "" {
				counts[in.operation]++
			}
		}
	}
	if counts["checkpoint"] == 0 || counts["write"] == 0 || counts["renew"] == 0 {
		t.Error("the histories show little")
	}
	t.Logf("operations that were done: %v", counts)
}

// The model tells a correct history from those that a registry with a bug would leave.
func TestHistoryModelFindsBugs(t *testing.T) {
	prefix := []porcupine.Operation{}
	appendOperation := func(operations []porcupine.Operation, in leaseInput, out leaseOutput) []porcupine.Operation {
		at := int64(len(operations))
		return append(slices.Clone(operations), porcupine.Operation{ClientId: len(operations), Input: in, Call: 2 * at, Output: out, Return: 2*at + 1})
	}
	for _, step := range []struct {
		in  leaseInput
		out leaseOutput
	}{
		{leaseInput{operation: "seek", candidate: "a"}, leaseOutput{accepted: true}}, {leaseInput{operation: "seek", candidate: "b"}, leaseOutput{accepted: true}},
		{leaseInput{operation: "read"}, leaseOutput{holder: "a", token: 5, queue: "b"}},
		{leaseInput{operation: "checkpoint", candidate: "a", token: 5, value: 1}, leaseOutput{accepted: true}},
		{leaseInput{operation: "read"}, leaseOutput{holder: "b", token: 9, value: 1}}, // the lease of a has expired
	} {
		prefix = appendOperation(prefix, step.in, step.out)
	}
	model := leaseModel.ToModel()
	for name, c := range map[string]struct {
		in   leaseInput
		out  leaseOutput
		want bool
	}{
		"late write rejected":          {leaseInput{operation: "checkpoint", candidate: "a", token: 5, value: 2}, leaseOutput{}, true},
		"late write accepted":          {leaseInput{operation: "checkpoint", candidate: "a", token: 5, value: 2}, leaseOutput{accepted: true}, false},
		"late guarded write":           {leaseInput{operation: "write", candidate: "a", token: 5, value: 2}, leaseOutput{accepted: true}, false},
		"late renewal":                 {leaseInput{operation: "renew", candidate: "a", token: 5}, leaseOutput{accepted: true}, false},
		"old holder again":             {leaseInput{operation: "read"}, leaseOutput{holder: "a", token: 5, queue: "b", value: 1}, false},
		"token that decreases":         {leaseInput{operation: "read"}, leaseOutput{holder: "b", token: 4, value: 1}, false},
		"checkpoint lost":              {leaseInput{operation: "read"}, leaseOutput{holder: "b", token: 9}, false},
		"value never written":          {leaseInput{operation: "value"}, leaseOutput{value: 3}, false},
		"holder that never campaigned": {leaseInput{operation: "read"}, leaseOutput{holder: "c", token: 11, value: 1}, false},
	} {
		if got := porcupine.CheckOperations(model, appendOperation(prefix, c.in, c.out)); got != c.want {
			t.Errorf("%s: linearizable %v, want %v", name, got, c.want)
		}
	}
}
