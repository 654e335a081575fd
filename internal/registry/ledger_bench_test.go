package registry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
)

// BenchmarkLedgerGrants requests permits from three replicas over loopback, with their logs on disk. It reports grants
// per second, and the 99th percentile of the time from the request to the grant in ms.
func BenchmarkLedgerGrants(b *testing.B) {
	block := proctest.ReserveAddressBlock(b)
	var members []registry.Member
	for ordinal := range 3 {
		members = append(members, registry.Member{HTTPAddr: block.Addr(200, ordinal, 8500), RaftAddr: block.Addr(200, ordinal, 8501)})
	}
	var addresses []string
	for _, member := range members {
		replica, err := registry.Open(registry.Options{HTTPAddr: member.HTTPAddr, RaftAddr: member.RaftAddr, DataDir: b.TempDir(), Members: members})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			if err := replica.Close(); err != nil {
				b.Error(err)
			}
		})
		addresses = append(addresses, member.HTTPAddr)
	}
	client, err := registry.NewClient(addresses)
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	const workers = 16
	var servers []registry.Instance
	for ordinal := range 1000 {
		instance := newInstance(fmt.Sprint("s", ordinal), ordinal)
		instance.Zone, instance.PodGroup = fmt.Sprint(ordinal%3), ordinal/4
		servers = append(servers, instance)
	}
	ctx := context.Background()
	if _, err := client.Register(ctx, registry.WriteOptions{}, servers...); err != nil {
		b.Fatal(err)
	}
	maxUnavailable := workers
	if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpSetBudget, Owner: operator,
		Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &maxUnavailable}}}); err != nil {
		b.Fatal(err)
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var next atomic.Int64
	var workersDone sync.WaitGroup
	b.ResetTimer()
	for worker := range workers {
		workersDone.Go(func() {
			for next.Add(1) <= int64(b.N) {
				id := registry.NewID()
				startedAt := time.Now()
				result, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, requestPermit(id, fmt.Sprint("s", worker*40)))
				latency := time.Since(startedAt)
				if err != nil || result.Permit.Stage != disruption.StageGranted {
					b.Errorf("%+v: %v", result.Permit, err)
					return
				}
				mu.Lock()
				latencies = append(latencies, latency)
				mu.Unlock()
				if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, permitOp(disruption.OpCancel, id)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	workersDone.Wait()
	b.StopTimer()
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "grants/s")
	b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
}
