package balance

import "math"

// maxUtilization bounds what a server may report of itself.
const maxUtilization = 1.5

// reportStats summarises the load reports of all servers.
type reportStats struct {
	busyFraction    float64 // recent fraction of reports of a server with anything in flight
	meanUtilization float64 // recent mean
}

// recordLoadReport records a server's load report and returns the wait that it implies: the queue length times the service
// time.
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

// freshReporters lists the servers of the rotation whose load report is fresh. They are few: a report is soon old.
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
