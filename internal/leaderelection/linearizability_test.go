package leaderelection_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
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

// history records the operations of all clients on one lease, with the answers that they received.
type history struct {
	mu           sync.Mutex
	startedAt    time.Time
	operations   []porcupine.Operation
	lastClientID int
}

// record adds an operation under a client ID of its own. The answer to a write contains the lease as read after the write,
// which counts as a second operation at the same time.
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
	h.record(calledAt, leaseInput{operation: opRead}, out)
}

// isRejection reports whether an error is a rejection. After any other error, the outcome of a write is unknown.
func isRejection(err error) bool {
	var status *registry.StatusError
	return errors.As(err, &status) && (status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound)
}

// historyClient performs random operations on one lease and records them.
type historyClient struct {
	*history
	client    *registry.Client
	rng       *rand.Rand
	leaseName string
	name      string
	number    int // of the client; part of the values that it writes
	ttl       time.Duration

	incarnation int
	candidate   string // the name of this incarnation
	token       uint64 // the newest token received; used also once it is invalid, because late writes must be rejected
	value       int    // number of the last operation; part of the value that it writes
}

// run performs one operation after another until stopping is set.
func (c *historyClient) run(ctx context.Context, stopping *atomic.Bool) error {
	c.nextIncarnation()
	for !stopping.Load() {
		in := c.randomInput()
		calledAt := time.Now()
		state, err := c.perform(ctx, calledAt, in)
		if err != nil && !isRejection(err) {
			return fmt.Errorf("%s %s: %w", c.candidate, in.operation, err)
		}
		switch in.operation {
		case opCampaign, opRelease, opCheckpoint, opWrite:
			c.record(calledAt, in, leaseOutput{accepted: err == nil})
		}
		if state.Name != "" {
			c.recordRead(calledAt, state)
			if state.Holder == c.candidate {
				c.token = state.Token
			}
		}
		if in.operation == opRelease {
			c.nextIncarnation()
		}
		if c.rng.IntN(40) == 0 { // sometimes pauses for longer than the TTL
			time.Sleep(time.Duration(c.rng.Float64() * 1.5 * float64(c.ttl)))
		}
	}
	return nil
}

// nextIncarnation takes a new name, as a restarted process does. Under the old name the hold-down would apply.
func (c *historyClient) nextIncarnation() {
	c.candidate, c.token = fmt.Sprint(c.name, "-", c.incarnation), 0
	c.incarnation++
}

// randomInput returns a random operation with a value that no other operation writes.
func (c *historyClient) randomInput() leaseInput {
	operations := []leaseOperation{opCampaign, opCampaign, opRead}
	if c.token != 0 {
		operations = []leaseOperation{
			opRelease, opRenew, opRenew, opCheckpoint, opCheckpoint, opWrite, opWrite, opCampaign, opReadValue,
		}
	}
	c.value++
	operation := operations[c.rng.IntN(len(operations))]
	return leaseInput{operation: operation, candidate: c.candidate, token: c.token, value: c.value*10 + c.number}
}

// perform executes an operation. It returns the lease if the answer contains it, and records any other answer itself.
func (c *historyClient) perform(ctx context.Context, calledAt time.Time, in leaseInput) (leasetable.Lease, error) {
	request := registry.LeaseRequest{Candidate: in.candidate, Token: in.token}
	switch in.operation {
	case opCampaign:
		request = registry.LeaseRequest{Candidate: in.candidate, TTLMS: c.ttl.Milliseconds()}
		return c.client.UpdateLease(ctx, leasetable.Campaign, c.leaseName, request)
	case opRelease:
		state, err := c.client.UpdateLease(ctx, leasetable.Release, c.leaseName, request)
		if isRejection(err) { // nobody has campaigned for the lease yet
			return leasetable.Lease{}, nil
		}
		return state, err
	case opCheckpoint:
		request.Data = []byte(strconv.Itoa(in.value))
		return c.client.UpdateLease(ctx, leasetable.Checkpoint, c.leaseName, request)
	case opRead:
		return c.client.Lease(ctx, c.leaseName)
	case opRenew:
		lost, err := c.client.RenewLeases(ctx, in.candidate, []registry.LeaseRenewal{{Name: c.leaseName, Token: in.token}})
		if err == nil && in.token != 0 {
			c.record(calledAt, in, leaseOutput{accepted: len(lost) == 0})
		}
		return leasetable.Lease{}, err
	case opWrite:
		target := registry.Target{UID: c.leaseName, Endpoint: "127.0.0.1:9", State: registry.InstanceReady, Capacity: capacityOf(in.value)}
		guard := &registry.Guard{Lease: c.leaseName, Token: in.token}
		_, err := c.client.Register(ctx, registry.WriteOptions{Guard: guard}, registry.Instance{Target: target})
		return leasetable.Lease{}, err
	case opReadValue:
		instance, err := c.client.Get(ctx, c.leaseName, true)
		if err == nil || isRejection(err) { // rejected: no client has written the instance yet
			c.record(calledAt, in, leaseOutput{value: valueOf(instance.Capacity)})
			return leasetable.Lease{}, nil
		}
		return leasetable.Lease{}, err
	}
	return leasetable.Lease{}, fmt.Errorf("unknown operation %q", in.operation)
}

// capacityOf encodes a value as the capacity of an instance, and valueOf decodes it.
func capacityOf(value int) float64 { return float64(value) / 1000 }
func valueOf(capacity float64) int { return int(capacity*1000 + 0.5) }

// While raft leaders are killed, frozen and restarted and leases expire, clients of several leases must receive only answers
// that a single table could have given.
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
				c := &historyClient{
					history: h, client: client, rng: rand.New(rand.NewPCG(uint64(n), uint64(i))),
					leaseName: fmt.Sprint("d", n), name: fmt.Sprint("c", i), number: i, ttl: ttl,
				}
				if err := c.run(tc.ctx, &stopping); err != nil {
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
		time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond) // while clients perform operations
		if n%2 == 0 {
			replica.Process.Kill()
			err = replica.Start()
		} else {
			err = replica.Pause()
			time.Sleep(time.Second) // the other replicas elect a leader while this replica still considers itself the leader
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
	counts := map[leaseOperation]int{}
	for n, h := range histories {
		if verdict := porcupine.CheckOperationsTimeout(leaseModel.ToModel(), h.operations, 20*time.Second); verdict != porcupine.Ok {
			t.Errorf("the history of d%d, %d operations, is not linearizable: %s", n, len(h.operations), verdict)
		}
		for _, operation := range h.operations {
			if in, out := operation.Input.(leaseInput), operation.Output.(leaseOutput); out.accepted || out.holder != "" {
				counts[in.operation]++
			}
		}
	}
	if counts[opCheckpoint] == 0 || counts[opWrite] == 0 || counts[opRenew] == 0 {
		t.Error("the histories lack checkpoints, writes or renewals that were accepted")
	}
	t.Logf("accepted operations: %v", counts)
}
