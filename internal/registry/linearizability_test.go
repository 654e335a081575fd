package registry_test

import (
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

// casInput is a read, or a write with compare-and-set, of one instance. The value of the instance is its boot_ms.
type casInput struct {
	write  bool
	value  int
	expect uint64 // revision; 0: it must not exist
}

// casOutput is the result of an operation.
type casOutput struct {
	ok       bool // the write was applied; of a read always true
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
		match := in.expect == s.revision
		switch {
		case out.ok:
			return match && out.revision > s.revision, casState{revision: out.revision, value: in.value}
		default:
			return !match, s
		}
	},
}

// The leader is killed 50 times during a stream of writes, at seeded moments: every acknowledged write is applied once,
// and the history is linearizable.
func TestLeaderKilledDuringWrites(t *testing.T) {
	env := startEnv(t, 3, false, "")
	const kills, writers = 50, 6
	ctx := env.ctx
	var stopping atomic.Bool // calls in flight are completed, so that their outcome is known
	var mutex sync.Mutex
	var operations []porcupine.Operation
	began := time.Now()
	acked := map[string]registry.Result{}
	var writersDone sync.WaitGroup
	for w := range writers {
		writersDone.Go(func() {
			client, err := env.cluster.Client()
			if err != nil {
				t.Error(err)
				return
			}
			defer client.Close()
			random := rand.New(rand.NewPCG(1, uint64(w)))
			uid, revision := fmt.Sprintf("shared-%d", w/3), uint64(0) // three writers contend for one instance
			for attempt := 1; !stopping.Load(); attempt++ {
				value := attempt*writers + w
				// A write without contention, with an idempotency key: applied once, whatever is lost.
				ownInstance := newInstance(fmt.Sprintf("own-%d-%d", w, attempt), value)
				if result, err := client.Register(ctx, registry.WriteOptions{}, ownInstance); err == nil {
					mutex.Lock()
					acked[ownInstance.UID] = result
					mutex.Unlock()
				}
				input := casInput{write: random.IntN(2) == 0, value: value, expect: revision}
				call := time.Since(began)
				var output casOutput
				if input.write {
					instance := newInstance(uid, 1)
					instance.BootMS = float64(value)
					instance.Capacity = 1
					result, err := client.Register(ctx, registry.WriteOptions{IfRevision: &input.expect}, instance)
					switch {
					case err == nil:
						output, revision = casOutput{ok: true, revision: result.Revision}, result.Revision
					case hasStatus(err, http.StatusConflict), hasStatus(err, http.StatusNotFound):
					default:
						t.Error(err)
						return
					}
				} else {
					instance, err := client.Get(ctx, uid, true)
					if err != nil && !hasStatus(err, http.StatusNotFound) {
						t.Error(err)
						return
					}
					output, revision = casOutput{ok: true, revision: instance.Revision, value: int(instance.BootMS)}, instance.Revision
				}
				mutex.Lock()
				operations = append(operations, porcupine.Operation{ClientId: w, Input: input, Call: int64(call), Output: output, Return: int64(time.Since(began))})
				mutex.Unlock()
			}
		})
	}
	random := rand.New(rand.NewPCG(2, 2))
	count := func() int { mutex.Lock(); defer mutex.Unlock(); return len(acked) }
	for range kills {
		after := count() + 1 + random.IntN(200) // a seeded moment during the writes
		env.eventually("writes go on", func() bool { return count() >= after })
		victim := env.leader()
		victim.Process.Kill()
		env.leader()
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		env.eventually("the killed replica follows again", func() bool { return env.status(victim).Leader != "" })
	}
	stopping.Store(true)
	writersDone.Wait()
	// A registration with a lower boot_ms than the entry's is rejected whatever the revision. Values grow per writer only,
	// so the model would take such a rejection for a conflict: rejections are left out of the history.
	byKey := map[int][]porcupine.Operation{}
	for _, op := range operations {
		byKey[op.ClientId/3] = append(byKey[op.ClientId/3], op)
	}
	for key, history := range byKey {
		if result := porcupine.CheckOperationsTimeout(casModel, withoutRejectedWrites(history), 20*time.Second); result != porcupine.Ok {
			t.Errorf("history of shared-%d with %d operations is not linearizable: %s", key, len(history), result)
		}
	}
	list, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]int{}
	for _, target := range list.Targets {
		there[target.UID]++
	}
	lost := 0
	for uid := range acked {
		if there[uid] != 1 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d acknowledged writes are not there, or twice", lost, len(acked))
	}
	t.Logf("%d kills, %d acknowledged writes, %d operations checked", kills, len(acked), len(operations))
}

// withoutRejectedWrites leaves out writes that were rejected: they have no effect, and may be rejected for the boot time
// instead of the revision.
func withoutRejectedWrites(ops []porcupine.Operation) []porcupine.Operation {
	return slices.DeleteFunc(slices.Clone(ops), func(op porcupine.Operation) bool {
		return op.Input.(casInput).write && !op.Output.(casOutput).ok
	})
}
