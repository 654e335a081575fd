package leaderelection_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
)

// leaseOperation is the kind of an operation that a client performs.
type leaseOperation string

const (
	opCampaign   leaseOperation = "campaign"
	opRelease    leaseOperation = "release"
	opRenew      leaseOperation = "renew"
	opCheckpoint leaseOperation = "checkpoint"
	opWrite      leaseOperation = "write" // of an instance, guarded by the token
	opRead       leaseOperation = "read"  // of the lease
	opReadValue  leaseOperation = "read value"
)

// leaseInput is one operation on a lease, or on the instance that is guarded by it.
type leaseInput struct {
	operation leaseOperation
	candidate string
	token     uint64
	value     int
}

// leaseOutput is the answer to an operation: whether it was accepted, or what was read.
type leaseOutput struct {
	accepted bool
	holder   string
	token    uint64
	queue    string
	value    int // of the checkpoint, or of the instance
}

// leaseModelState is the state of a lease by its specification. The lease may expire before any operation, so that several
// states are possible at a time. The token of a new holder is known only once a client has read it.
type leaseModelState struct {
	holder          string
	token           uint64 // 0: not read yet; it is above supersededToken
	supersededToken uint64 // the newest known token that is no longer valid
	queue           string // names, joined with commas
	checkpoint      int
	value           int
}

func (s leaseModelState) assignNext() leaseModelState {
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

// reachableByExpiry returns all states that s can reach by the expiry of holders and of places in the queue.
func (s leaseModelState) reachableByExpiry() []leaseModelState {
	reachable := []leaseModelState{s}
	for i := 0; i < len(reachable); i++ {
		var next []leaseModelState
		if reachable[i].holder != "" {
			next = append(next, reachable[i].assignNext())
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

// apply returns the state after an operation, and whether out is a possible answer to the operation in the state s.
func (s leaseModelState) apply(in leaseInput, out leaseOutput) (leaseModelState, bool) {
	isHolder := s.holder != "" && s.holder == in.candidate && s.token != 0 && s.token == in.token
	switch in.operation {
	case opCampaign:
		if s.holder == in.candidate || s.queued(in.candidate) {
			return s, true
		}
		if s.holder == "" {
			s.holder = in.candidate // its token is unknown until it is read
			return s, true
		}
		s.queue = strings.Trim(s.queue+","+in.candidate, ",")
		return s, true
	case opRelease:
		switch {
		case isHolder:
			s = s.assignNext()
		case in.token == 0 && s.holder != in.candidate:
			s = s.removeFromQueue(in.candidate)
		}
		return s, true
	case opRenew:
		return s, isHolder || !out.accepted // a renewal is also rejected while the expiry is being written to the log
	case opCheckpoint:
		if out.accepted {
			s.checkpoint = in.value
		}
		return s, out.accepted == isHolder
	case opWrite:
		if out.accepted {
			s.value = in.value
		}
		return s, out.accepted == (s.holder != "" && s.token != 0 && s.token == in.token)
	case opReadValue:
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

// The model accepts a correct history and rejects histories that a registry with a bug would produce.
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
		{leaseInput{operation: opCampaign, candidate: "a"}, leaseOutput{accepted: true}},
		{leaseInput{operation: opCampaign, candidate: "b"}, leaseOutput{accepted: true}},
		{leaseInput{operation: opRead}, leaseOutput{holder: "a", token: 5, queue: "b"}},
		{leaseInput{operation: opCheckpoint, candidate: "a", token: 5, value: 1}, leaseOutput{accepted: true}},
		{leaseInput{operation: opRead}, leaseOutput{holder: "b", token: 9, value: 1}}, // the lease of a has expired
	} {
		prefix = appendOperation(prefix, step.in, step.out)
	}
	model := leaseModel.ToModel()
	for name, test := range map[string]struct {
		in   leaseInput
		out  leaseOutput
		want bool
	}{
		"late write rejected":          {leaseInput{operation: opCheckpoint, candidate: "a", token: 5, value: 2}, leaseOutput{}, true},
		"late write accepted":          {leaseInput{operation: opCheckpoint, candidate: "a", token: 5, value: 2}, leaseOutput{accepted: true}, false},
		"late guarded write":           {leaseInput{operation: opWrite, candidate: "a", token: 5, value: 2}, leaseOutput{accepted: true}, false},
		"late renewal":                 {leaseInput{operation: opRenew, candidate: "a", token: 5}, leaseOutput{accepted: true}, false},
		"old holder again":             {leaseInput{operation: opRead}, leaseOutput{holder: "a", token: 5, queue: "b", value: 1}, false},
		"token that decreases":         {leaseInput{operation: opRead}, leaseOutput{holder: "b", token: 4, value: 1}, false},
		"checkpoint lost":              {leaseInput{operation: opRead}, leaseOutput{holder: "b", token: 9}, false},
		"value never written":          {leaseInput{operation: opReadValue}, leaseOutput{value: 3}, false},
		"holder that never campaigned": {leaseInput{operation: opRead}, leaseOutput{holder: "c", token: 11, value: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := porcupine.CheckOperations(model, appendOperation(prefix, test.in, test.out)); got != test.want {
				t.Errorf("linearizable %v, want %v", got, test.want)
			}
		})
	}
}
