package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// lastError holds the last error of concurrent writers.
type lastError struct{ pointer atomic.Pointer[error] }

func (l *lastError) record(err error) { l.pointer.Store(&err) }

// get returns the last error, or nil if there was none.
func (l *lastError) get() error {
	if err := l.pointer.Load(); err != nil {
		return *err
	}
	return nil
}

// measureWrites measures how many writes a second a cluster applies, and the 99th percentile of their latency. Each
// concurrent writer writes its own instance.
func (b *benchmark) measureWrites(ctx context.Context, replicas *cluster.Cluster) (perSecond, p99MS float64, err error) {
	client, err := replicas.Client()
	if err != nil {
		return 0, 0, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, b.options.WriteDuration)
	defer cancel()
	var mu sync.Mutex
	histogram := newHistogram()
	var writeErr error
	startedAt := time.Now()
	var writers sync.WaitGroup
	for writer := range b.options.Writers {
		writers.Go(func() {
			instance := newInstance(firstWriterOrdinal + writer)
			for sequence := 0; ctx.Err() == nil; sequence++ {
				instance.Capacity = 1 + float64(sequence%100)/100
				writtenAt := time.Now()
				_, err := client.Register(ctx, registry.WriteOptions{}, instance)
				latency := time.Since(writtenAt)
				mu.Lock()
				if err == nil {
					recordLatency(histogram, latency)
				} else if ctx.Err() == nil {
					writeErr = err
				}
				mu.Unlock()
			}
		})
	}
	writers.Wait()
	perSecond = float64(histogram.TotalCount()) / time.Since(startedAt).Seconds()
	return perSecond, quantileMS(histogram, 99), writeErr
}
