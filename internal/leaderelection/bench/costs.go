package bench

import (
	"context"
	"fmt"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

// longTTLMS is the TTL of leases that must not expire while costs are measured.
const longTTLMS = 600_000

// measureHandovers counts the log entries per handover for each queue length.
func (b *benchRun) measureHandovers(ctx context.Context) error {
	const handovers = 10
	for _, candidates := range b.opts.QueueLengths {
		name := fmt.Sprintf("queue-%d", candidates)
		for i := range candidates + handovers {
			request := registry.LeaseRequest{Candidate: fmt.Sprint("c", i), TTLMS: longTTLMS}
			if _, err := b.client.UpdateLease(ctx, leasetable.Campaign, name, request); err != nil {
				return err
			}
		}
		first, err := b.appliedIndex(ctx)
		if err != nil {
			return err
		}
		for range handovers {
			if err := b.releaseHolder(ctx, name); err != nil {
				return err
			}
		}
		last, err := b.appliedIndex(ctx)
		if err != nil {
			return err
		}
		cost := HandoverCost{candidates, float64(last-first) / handovers}
		b.result.HandoverCosts = append(b.result.HandoverCosts, cost)
		b.reportProgress("%d candidates: %.1f log entries per handover", candidates, cost.LogEntries)
	}
	return nil
}

// appliedIndex returns the log index up to which the raft leader has applied the log.
func (b *benchRun) appliedIndex(ctx context.Context) (uint64, error) {
	leader, err := b.cluster.AwaitLeader(ctx)
	if err != nil {
		return 0, err
	}
	status, err := b.client.ReplicaStatus(ctx, leader.HTTPAddr)
	return status.AppliedIndex, err
}

func (b *benchRun) releaseHolder(ctx context.Context, name string) error {
	lease, err := b.client.Lease(ctx, name)
	if err != nil {
		return err
	}
	_, err = b.client.UpdateLease(ctx, leasetable.Release, name, registry.LeaseRequest{Candidate: lease.Holder, Token: lease.Token})
	return err
}

// measureRenewals measures how many renewals per second one holder of many leases completes in batches.
func (b *benchRun) measureRenewals(ctx context.Context) error {
	if b.opts.BatchedRenewals == 0 {
		return nil
	}
	const holder = "one"
	var renewals []registry.LeaseRenewal
	for i := range b.opts.BatchedRenewals {
		request := registry.LeaseRequest{Candidate: holder, TTLMS: longTTLMS}
		lease, err := b.client.UpdateLease(ctx, leasetable.Campaign, fmt.Sprint("many-", i), request)
		if err != nil {
			return err
		}
		renewals = append(renewals, registry.LeaseRenewal{Name: lease.Name, Token: lease.Token})
	}
	requests, startedAt := 0, time.Now()
	for ; time.Since(startedAt) < time.Second; requests++ {
		lost, err := b.client.RenewLeases(ctx, holder, renewals)
		if err != nil {
			return fmt.Errorf("renew leases in a batch: %w", err)
		}
		if len(lost) > 0 {
			return fmt.Errorf("%d of %d leases were lost while they were renewed", len(lost), len(renewals))
		}
	}
	b.result.RenewalsPerSecond = float64(requests*len(renewals)) / time.Since(startedAt).Seconds()
	b.reportProgress("%.0f renewals per second", b.result.RenewalsPerSecond)
	return nil
}
