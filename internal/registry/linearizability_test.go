package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"milldeck/internal/registry"
)

// casInput is a read, or a write with compare-and-set, of one instance. The value is the boot_ms of the instance.
type casInput struct {
	write            bool
	value            int
	expectedRevision uint64 // 0: the instance must not exist
}

// casOutput is the result of an operation.
type casOutput struct {
	ok       bool // whether the write was applied; always true for a read
	revision uint64
	value    int
}

// casState is the state of the instance.
type casState struct {
	revision uint64
	value    int
}

// casModel is a register with compare-and-set.
var casModel = porcupine.Model{
	Init: func() any { return casState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(casState), input.(casInput), output.(casOutput)
		if !in.write {
			return out.revision == s.revision && out.value == s.value, s
		}
		match := in.expectedRevision == s.revision
		switch {
		case out.ok:
			return match && out.revision > s.revision, casState{revision: out.revision, value: in.value}
		default:
			return !match, s
		}
	},
}

const (
	leaderKills              = 50
	casWriters               = 6
	writersPerSharedInstance = 3 // that contend for one instance
)

// The leader is killed 50 times during a stream of writes, at seeded moments: every acknowledged write is applied once,
// and the history is linearizable.
func TestLeaderKilledDuringWrites(t *testing.T) {
	env := startEnv(t, 3, false, "")
	history := &casHistory{startedAt: time.Now(), acked: map[string]registry.Result{}}
	var stopping atomic.Bool // writers complete their current calls, so that the outcomes are known
	var writers sync.WaitGroup
	for writer := range casWriters {
		writers.Go(func() { env.writeAndRead(writer, history, &stopping) })
	}
	random := rand.New(rand.NewPCG(2, 2))
	for range leaderKills {
		after := history.ackedCount() + 1 + random.IntN(200) // a seeded moment during the writes
		env.eventually("more writes are acknowledged", func() bool { return history.ackedCount() >= after })
		victim := env.awaitLeader()
		victim.Process.Kill()
		env.awaitLeader()
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		env.eventually("the killed replica follows again", func() bool { return env.status(victim).Leader != "" })
	}
	stopping.Store(true)
	writers.Wait()
	history.checkLinearizable(t)
	list, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	occurrences := map[string]int{}
	for _, target := range list.Targets {
		occurrences[target.UID]++
	}
	lost := 0
	for uid := range history.acked {
		if occurrences[uid] != 1 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d acknowledged writes are missing or listed twice", lost, len(history.acked))
	}
	t.Logf("%d kills, %d acknowledged writes, %d operations checked", leaderKills, len(history.acked), len(history.operations))
}

// casHistory records the operations of the writers.
type casHistory struct {
	startedAt time.Time

	mu         sync.Mutex
	acked      map[string]registry.Result // of writes without contention, by uid
	operations []porcupine.Operation      // on the contended instances
}

func (h *casHistory) ackedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acked)
}

func (h *casHistory) recordAcked(uid string, result registry.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked[uid] = result
}

// recordOperation records an operation that was called at a time since the start and has returned now.
func (h *casHistory) recordOperation(writer int, input casInput, output casOutput, call time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: writer, Input: input, Call: int64(call), Output: output, Return: int64(time.Since(h.startedAt)),
	})
}

// checkLinearizable checks the history of each contended instance.
func (h *casHistory) checkLinearizable(t *testing.T) {
	t.Helper()
	byInstance := map[int][]porcupine.Operation{}
	for _, operation := range h.operations {
		shared := operation.ClientId / writersPerSharedInstance
		byInstance[shared] = append(byInstance[shared], operation)
	}
	for shared, operations := range byInstance {
		// The registry rejects a registration with a lower boot_ms than that of the entry, whatever the revision.
		// Values increase per writer only, so the model would mistake such a rejection for a conflict. The history
		// therefore omits rejected writes.
		if result := porcupine.CheckOperationsTimeout(casModel, withoutRejectedWrites(operations), 20*time.Second); result != porcupine.Ok {
			t.Errorf("history of shared-%d with %d operations is not linearizable: %s", shared, len(operations), result)
		}
	}
}

// writeAndRead registers instances of its own, and writes and reads an instance that several writers contend for, until
// stopping is set.
func (e *testEnv) writeAndRead(writer int, history *casHistory, stopping *atomic.Bool) {
	client, err := e.cluster.Client()
	if err != nil {
		e.Error(err)
		return
	}
	defer client.Close()
	random := rand.New(rand.NewPCG(1, uint64(writer)))
	uid, revision := fmt.Sprintf("shared-%d", writer/writersPerSharedInstance), uint64(0)
	for attempt := 1; !stopping.Load(); attempt++ {
		value := attempt*casWriters + writer
		// A write without contention. Because of its idempotency key it is applied once, whatever message is lost.
		own := newInstance(fmt.Sprintf("own-%d-%d", writer, attempt), value)
		if result, err := client.Register(e.ctx, registry.WriteOptions{}, own); err == nil {
			history.recordAcked(own.UID, result)
		}
		input := casInput{write: random.IntN(2) == 0, value: value, expectedRevision: revision}
		call := time.Since(history.startedAt)
		output, err := applyCAS(e.ctx, client, uid, input)
		if err != nil {
			e.Error(err)
			return
		}
		if output.ok {
			revision = output.revision
		}
		history.recordOperation(writer, input, output, call)
	}
}

// applyCAS applies an operation to an instance. It returns no error for a rejected write.
func applyCAS(ctx context.Context, client *registry.Client, uid string, input casInput) (casOutput, error) {
	if !input.write {
		instance, err := client.Get(ctx, uid, true)
		if err != nil && !hasStatus(err, http.StatusNotFound) {
			return casOutput{}, err
		}
		return casOutput{ok: true, revision: instance.Revision, value: int(instance.BootMS)}, nil
	}
	instance := newInstance(uid, 1)
	instance.BootMS = float64(input.value)
	instance.Capacity = 1
	result, err := client.Register(ctx, registry.WriteOptions{IfRevision: &input.expectedRevision}, instance)
	switch {
	case err == nil:
		return casOutput{ok: true, revision: result.Revision}, nil
	case hasStatus(err, http.StatusConflict), hasStatus(err, http.StatusNotFound):
		return casOutput{}, nil
	}
	return casOutput{}, err
}

// withoutRejectedWrites returns the operations without rejected writes. Rejected writes have no effect, and the registry
// may have rejected them because of the boot time instead of the revision.
func withoutRejectedWrites(ops []porcupine.Operation) []porcupine.Operation {
	return slices.DeleteFunc(slices.Clone(ops), func(op porcupine.Operation) bool {
		return op.Input.(casInput).write && !op.Output.(casOutput).ok
	})
}
