package controlplane

import (
	"math"
	"math/rand/v2"

	"milldeck/internal/release"
	"milldeck/internal/release/judge"
)

// traffic models the load reports of sidecars during a release of servers: counts of requests by class, zone and
// version. It does not simulate the requests themselves. It has its own random numbers.
type traffic struct {
	cluster    *cluster
	random     *rand.Rand
	regression Regression
}

// Regression describes how a version is worse than the previous one.
type Regression struct {
	Name          string
	FailureRates  [2]float64 // added share of failed requests, by class
	SlowUnderLoad bool       // slowRegression applies while the load is high
	MemoryGrowth  float64    // of a server per second of uptime, as a share of its initial memory
	RestartRate   float64    // share of the servers that restart per second
}

// Regressions are the regressions that rollouts are simulated with.
var Regressions = []Regression{
	{Name: "5% fail", FailureRates: [2]float64{0.05, 0.05}},
	{Name: "one class fails", FailureRates: [2]float64{0, 0.1}},
	{Name: "slower under load", SlowUnderLoad: true},
	{Name: "leaks", MemoryGrowth: 0.01},
	{Name: "restarts", RestartRate: 0.05},
}

// requestClasses are the classes of requests, each with its rate in requests per second at one server.
var requestClasses = [2]struct {
	name string
	rate float64
}{{"lookup", 40}, {"simulate", 10}}

// Groups of servers that the analysis compares.
const (
	baseline = iota // on the initial version
	canary          // on the new version
)

const (
	memoryPerServer = 100.0
	memoryDeviation = 0.02
	slowRegression  = 0.18 // added share of slow responses
	lateRate        = 0.01
	mediumRate      = 0.25 // share of medium responses among the responses that are not slow
)

// conditions are the load and the rates of failures and slow responses in a second, the same for servers of all versions.
type conditions struct {
	load        float64 // factor by which the request rate is multiplied
	failureRate float64
	slowRate    float64
}

// conditionsAt returns the conditions of a second: the load is high in 20 s of every 50 s, and failures are frequent in
// 20 s of every 170 s.
func conditionsAt(second int64) conditions {
	now := conditions{load: 1, failureRate: 0.003, slowRate: 0.18}
	if second%50 >= 30 {
		now.load, now.slowRate = 1.6, 0.25
	}
	if second%170 >= 150 {
		now.failureRate = 0.1
	}
	return now
}

// zoneServers are the servers of a zone that are in service.
type zoneServers struct {
	stats         [2]judge.UnitStats // by group
	canaryUptimeS float64            // uptime of the canaries in seconds, summed
}

// interval returns the load report of the last second, summed over all sidecars.
func (t *traffic) interval(state *release.State) judge.Interval {
	reports := len(t.cluster.sidecars)
	interval := judge.Interval{ExpectedReports: reports, ReceivedReports: reports}
	now := conditionsAt(t.cluster.nowMS / 1000)
	servers := t.serversByZone(state)
	for _, zone := range zones {
		stats := t.zoneStats(servers[zone])
		interval.Zones = append(interval.Zones, judge.ZoneSample{Zone: zone, Canary: stats[canary], Baseline: stats[baseline]})
		for class := range requestClasses {
			canaryCounts := t.counts(class, canary, stats[canary].Units, now)
			baselineCounts := t.counts(class, baseline, stats[baseline].Units, now)
			interval.Classes = append(interval.Classes, judge.ClassSample{
				Class:    requestClasses[class].name,
				Zone:     zone,
				Canary:   canaryCounts,
				Baseline: baselineCounts,
			})
		}
	}
	return interval
}

// serversByZone counts the servers of a release that are in service.
func (t *traffic) serversByZone(state *release.State) map[string]*zoneServers {
	byZone := map[string]*zoneServers{}
	for _, zone := range zones {
		byZone[zone] = &zoneServers{}
	}
	for index := range state.Units {
		member := t.cluster.unitsByID[state.Units[index].ID]
		if !member.observed.inService {
			continue
		}
		servers, group := byZone[member.Zone], baseline
		if member.version != initialVersion {
			group = canary
			servers.canaryUptimeS += float64(t.cluster.nowMS-member.bootMS) / 1000
		}
		servers.stats[group].Units++
	}
	return byZone
}

// zoneStats adds memory and restarts to the counts of a zone's servers.
func (t *traffic) zoneStats(servers *zoneServers) [2]judge.UnitStats {
	stats := servers.stats
	for group := range stats {
		stats[group].MeanMemory = memoryPerServer * (1 + memoryDeviation*t.random.NormFloat64())
	}
	growth := memoryPerServer * t.regression.MemoryGrowth * servers.canaryUptimeS
	stats[canary].MeanMemory += growth / math.Max(float64(stats[canary].Units), 1)
	stats[canary].Restarts = t.binomial(stats[canary].Units, t.regression.RestartRate)
	return stats
}

// counts draws the request counts of a class for a number of servers of a group. The latency histogram has three buckets:
// fast, medium and slow.
func (t *traffic) counts(class, group, servers int, now conditions) judge.Counts {
	failureRate, slowRate := now.failureRate, now.slowRate
	if group == canary {
		failureRate += t.regression.FailureRates[class]
		if t.regression.SlowUnderLoad && now.load > 1 {
			slowRate += slowRegression
		}
	}
	mean := float64(servers) * now.load * requestClasses[class].rate
	requests := t.binomial(int(2*mean), 0.5)
	failed := t.binomial(requests, failureRate)
	served := requests - failed
	slow := t.binomial(served, slowRate)
	medium := t.binomial(served-slow, mediumRate)
	late := t.binomial(served, lateRate)
	return judge.Counts{
		Served:           served,
		Late:             late,
		Failed:           failed,
		LatencyHistogram: []uint32{uint32(served - slow - medium), uint32(medium), uint32(slow)},
	}
}

// binomial draws the number of successes in a number of trials. It draws each trial if there are few trials or few expected
// successes, and uses the normal approximation otherwise.
func (t *traffic) binomial(trials int, probability float64) int {
	mean := float64(trials) * probability
	if trials < 60 || mean < 15 {
		successes := 0
		for range trials {
			if t.random.Float64() < probability {
				successes++
			}
		}
		return successes
	}
	deviation := math.Sqrt(mean * (1 - probability))
	successes := int(math.Round(mean + deviation*t.random.NormFloat64()))
	return min(max(successes, 0), trials)
}
