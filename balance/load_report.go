package balance

import "math"

// maxUtilization bounds the utilization that a server may report.
const maxUtilization = 1.5

// reportStats summarises the load reports of all servers.
type reportStats struct {
	busyFraction    float64 // recent fraction of load reports with requests in flight
	meanUtilization float64 // recent mean
}

// recordLoadReport records a server's load report and returns the wait that it implies: queue length × service time.
func (b *Balancer) recordLoadReport(s *server, report []float32) float64 {
	queueLength, serviceTime := 0.0, 0.0
	for i, field := range b.config.LoadReportFields {
		if i >= len(report) {
			continue
		}
		switch value := float64(report[i]); field {
		case FieldInFlight:
			b.recordReportedInFlight(s, value)
		case FieldUtilization:
			b.recordReportedUtilization(s, math.Min(value, maxUtilization))
		case FieldQueueLength:
			queueLength = value
		case FieldLatency:
			serviceTime = value
		case FieldUnknown, FieldRequestRate, FieldErrorRate: // not used
		}
	}
	return queueLength * serviceTime
}

func (b *Balancer) recordReportedInFlight(s *server, inFlight float64) {
	s.report.inFlight, s.report.receivedAt, s.report.sentSince = inFlight, b.now, 0
	if b.config.KeyAffinity && !s.report.listed {
		s.report.listed = true
		b.rotation.reporters = append(b.rotation.reporters, s)
	}
	b.reports.busyFraction += (math.Min(s.report.inFlight, 1) - b.reports.busyFraction) / averagingSamples
}

func (b *Balancer) recordReportedUtilization(s *server, utilization float64) {
	b.reports.meanUtilization += (utilization - b.reports.meanUtilization) / averagingSamples
	if s.report.utilization == 0 {
		s.report.utilization = b.reports.meanUtilization
	}
	s.report.utilization += (utilization - s.report.utilization) / assumedAnswers
}

// freshReporters returns the servers of the rotation with a fresh load report. They are few, because a report is
// fresh only briefly.
func (b *Balancer) freshReporters() []*server {
	fresh := b.rotation.reporters[:0]
	for _, s := range b.rotation.reporters {
		if s.report.listed = b.hasFreshReport(s); s.report.listed {
			fresh = append(fresh, s)
		}
	}
	b.rotation.reporters = fresh
	return fresh
}
