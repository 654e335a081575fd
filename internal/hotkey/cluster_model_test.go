package hotkey

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"milldeck/internal/hotkey/topk"
	"milldeck/internal/placement"
)

const (
	tickSeconds        = 0.05
	testServerCapacity = 1000 // ms of work per second
	testRequestWork    = 50   // ms
	manySidecars       = 300  // for benchmarks and the onset test
	fewSidecars        = 75   // for tests, with the same total load
	serverCount        = 300
	startTime          = 1e9 // Unix time of the virtual clock in s
)

// clusterModel simulates a fleet of sidecars with Poisson traffic, the placement and a planner on a virtual clock.
type clusterModel struct {
	t        testing.TB
	rng      *rand.Rand
	config   Config
	planner  *Planner
	now      float64 // time in s since the start
	sidecars []*sidecarModel
	servers  []Server

	requestRate    float64                       // of the fleet, requests per second
	drawKey        func() uint64                 // draws the key of a request that is not for a hot key
	hotShares      map[uint64]float64            // fractions of all requests, by key
	hotKeys        []uint64                      // the keys of hotShares, sorted
	lostReports    float64                       // fraction of the reports that are lost
	corruptReport  func(r *placement.LoadReport) // corrupts the first sidecar's reports; nil: they are correct
	injectDefect   func(*Planner)                // injects a defect into each new planner; may be nil
	corruptPlanner func(*Planner)                // injects a defect before each plan; may be nil
	plannerDown    bool
	planInterval   float64                       // s
	revision       uint64                        // of the placement
	published      map[uint64]publishedDirective // in force

	replicasStarted   int
	prematureShares   int            // replicas that got a share with less than half of the required responses
	warmupWork        float64        // ms of extra work that replicas actually did
	plannedWarmupWork float64        // ms of extra work that was planned
	budgetExceeded    bool           // by warmupWork or plannedWarmupWork, at any time
	timesReplicated   map[uint64]int // by key, how often a key without replicas got replicas
}

// publishedDirective is a directive with the expected number of responses of each replica since its publication.
type publishedDirective struct {
	placement.Directive
	warmupShare float64 // fraction of the load that a replica without a share gets
	responses   []*float64
}

type sidecarModel struct {
	name         string
	sketch       *topk.Sketch
	nextReport   float64 // time in s
	revision     uint64  // of the placement that the sidecar follows
	published    map[uint64]publishedDirective
	placementDue float64 // time in s at which the sidecar receives the current placement
}

func newClusterModel(t testing.TB, sidecarCount int, seed uint64, config Config) *clusterModel {
	m := &clusterModel{t: t, rng: rand.New(rand.NewPCG(seed, 7)), config: config, requestRate: 3000, hotShares: map[uint64]float64{}, planInterval: 0.25,
		published: map[uint64]publishedDirective{}, timesReplicated: map[uint64]int{}}
	m.drawKey = func() uint64 { return 1<<32 + m.rng.Uint64N(10_000) }
	for i := range sidecarCount {
		m.sidecars = append(m.sidecars, &sidecarModel{name: fmt.Sprint("sidecar-", i), sketch: newSketch(config), nextReport: m.rng.Float64()})
	}
	for i := range serverCount {
		m.servers = append(m.servers, Server{UID: fmt.Sprint("server-", i), Zone: fmt.Sprint("z", i%3), PodGroup: i / 4, Capacity: 1, Ready: true})
	}
	m.startPlanner()
	return m
}

func testConfig() Config { return DefaultConfig(testServerCapacity, testRequestWork) }

// startPlanner starts a new planner, which restores its state from the placement.
func (m *clusterModel) startPlanner() {
	m.planner = newPlanner(m.config) // without validation, because settings with an injected defect may be invalid
	if m.injectDefect != nil {
		m.injectDefect(m.planner)
	}
	m.planner.SetExpectedSidecars(len(m.sidecars))
	m.planner.SetServers(m.servers)
	var directives []placement.Directive
	for _, key := range slices.Sorted(maps.Keys(m.published)) {
		directives = append(directives, m.published[key].Directive)
	}
	m.planner.Restore(startTime+m.now, directives)
	m.plannerDown = false
}

// run simulates some seconds, or less if stop returns true, and returns the simulated time in s.
func (m *clusterModel) run(seconds float64, stop func() bool) float64 {
	began := m.now
	for m.now < began+seconds-tickSeconds/2 {
		m.step()
		if stop != nil && stop() {
			break
		}
	}
	return m.now - began
}

// step simulates one tick.
func (m *clusterModel) step() {
	previous := m.now
	m.now += tickSeconds
	m.hotKeys = slices.Sorted(maps.Keys(m.hotShares))
	for _, sidecar := range m.sidecars {
		if m.now >= sidecar.placementDue {
			sidecar.placementDue, sidecar.revision, sidecar.published = math.Inf(1), m.revision, m.published
		}
		for range m.poisson(m.requestRate / float64(len(m.sidecars)) * tickSeconds) {
			m.request(sidecar)
		}
		if m.now >= sidecar.nextReport {
			sidecar.nextReport++
			m.report(sidecar)
		}
	}
	for key, directive := range m.published {
		if float64(directive.ExpiresAtMS) < (startTime+m.now)*1000 {
			m.publish(func(directives map[uint64]publishedDirective) { delete(directives, key) })
		}
	}
	if !m.plannerDown && math.Floor(m.now/m.planInterval) > math.Floor(previous/m.planInterval) {
		m.plan()
	}
	if budget := m.warmupBudget() * (m.now + 1); m.warmupWork > budget || m.plannedWarmupWork > budget {
		m.budgetExceeded = true
	}
}

func (m *clusterModel) poisson(mean float64) int {
	n, p := 0, m.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= m.rng.Float64()
	}
	return n
}

// request draws a sidecar's request. Each replica's responses increase by its fraction of the request, the expected value,
// so that assertions do not depend on random routing.
func (m *clusterModel) request(sidecar *sidecarModel) {
	key, choice := m.drawKey(), m.rng.Float64()
	for _, hotKey := range m.hotKeys {
		if choice -= m.hotShares[hotKey]; choice < 0 {
			key = hotKey
			break
		}
	}
	sidecar.sketch.Add(m.now, key, testRequestWork*(0.5+m.rng.Float64()))
	directive, ok := sidecar.published[key]
	if !ok {
		return
	}
	for i, replica := range directive.Copies {
		share, responses := replica.LoadFraction, directive.responses[i]
		if share == 0 {
			share = directive.warmupShare
		}
		m.warmupWork += math.Max(math.Min(*responses+share, 3)-*responses, 0) * testRequestWork // the first three responses miss the cache
		*responses += share
	}
}

// report sends a sidecar's report, unless it is lost.
func (m *clusterModel) report(sidecar *sidecarModel) {
	top := sidecar.sketch.Top(m.now, placement.MaxHotKeys)
	report := placement.LoadReport{Sidecar: sidecar.name, PlacementRevision: sidecar.revision, IntervalMS: 1000, TotalKeyLoad: top.Total}
	for _, load := range top.Keys {
		report.HotKeys = append(report.HotKeys, placement.KeyLoad{KeyHash: FormatKey(load.Key), Load: load.Load, ErrorBound: load.Error})
	}
	if sidecar == m.sidecars[0] && m.corruptReport != nil {
		m.corruptReport(&report)
	}
	if m.rng.Float64() >= m.lostReports && !m.plannerDown {
		m.planner.AddReport(startTime+m.now, &report)
	}
}

// publish changes the placement. Each sidecar receives the change after a short delay.
func (m *clusterModel) publish(mutate func(map[uint64]publishedDirective)) {
	m.published = maps.Clone(m.published)
	mutate(m.published)
	m.revision++
	for _, sidecar := range m.sidecars {
		if math.IsInf(sidecar.placementDue, 1) || sidecar.placementDue == 0 {
			sidecar.placementDue = m.now + 0.02 + 0.1*m.rng.Float64() // delay of log, watch and agent
		}
	}
}

// plan runs the planner and publishes its changes.
func (m *clusterModel) plan() {
	if m.corruptPlanner != nil {
		m.corruptPlanner(m.planner)
	}
	for _, change := range m.planner.Plan(startTime + m.now) {
		if change.Set == nil {
			m.publish(func(directives map[uint64]publishedDirective) {
				maps.DeleteFunc(directives, func(_ uint64, d publishedDirective) bool { return d.ID == change.RemoveID })
			})
		} else {
			m.publishDirective(change.Set)
		}
		m.planner.Confirm(change.DirectiveID(), m.revision)
	}
}

// publishDirective checks a directive and publishes it.
func (m *clusterModel) publishDirective(directive *placement.Directive) {
	if err := directive.Validate(); err != nil {
		m.t.Errorf("%.2f s: %v", m.now, err)
	}
	key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
	if err != nil {
		m.t.Errorf("%.2f s: %v", m.now, err)
	}
	previous, known := m.published[key]
	if !known {
		m.timesReplicated[key]++
	}
	next := publishedDirective{Directive: *directive, warmupShare: perReplicaWarmupShare(&m.config, directive.Copies)}
	next.Revision = m.revision + 1
	totalShare := 0.0
	for _, replica := range directive.Copies {
		responses := m.responsesOf(&previous, replica.ServerUID)
		next.responses = append(next.responses, responses)
		if replica.LoadFraction > 0 && *responses < testConfig().WarmResponses/2 {
			m.prematureShares++
		}
		if totalShare += replica.LoadFraction; replica.LoadFraction == 0 {
			totalShare += next.warmupShare
		}
		if server := &m.servers[m.serverIndex(replica.ServerUID)]; !server.Ready || server.Excluded {
			m.t.Errorf("%.2f s: replica on %s, which is not ready or is excluded", m.now, replica.ServerUID)
		}
	}
	if totalShare > 1.001 {
		m.t.Errorf("%.2f s: shares add up to %v", m.now, totalShare)
	}
	m.publish(func(directives map[uint64]publishedDirective) { directives[key] = next })
}

// responsesOf returns the counter of a replica's responses: that of the previous directive, or a new one.
func (m *clusterModel) responsesOf(previous *publishedDirective, uid string) *float64 {
	i := slices.IndexFunc(previous.Copies, func(other placement.KeyCopy) bool { return other.ServerUID == uid })
	if i >= 0 {
		return previous.responses[i]
	}
	m.replicasStarted++
	m.plannedWarmupWork += m.config.WarmupWork
	return new(float64)
}

func (m *clusterModel) serverIndex(uid string) int {
	return slices.IndexFunc(m.servers, func(s Server) bool { return s.UID == uid })
}

// replicatedShare returns the fraction of a key's load that replicas take under the placement in force, and the number of
// active replicas.
func (m *clusterModel) replicatedShare(key uint64) (share float64, active int) {
	for _, replica := range m.published[key].Copies {
		share += replica.LoadFraction
		if replica.LoadFraction > 0 {
			active++
		}
	}
	return share, active
}

// checkInvariants fails the test if a replica got a share too early or the budget was exceeded.
func (m *clusterModel) checkInvariants(scenario string) {
	m.t.Helper()
	if m.prematureShares > 0 || m.budgetExceeded {
		m.t.Errorf("%s: %d of %d replicas got a share too early; budget exceeded: %v (%.0f ms planned, %.0f ms actual in %.1f s)",
			scenario, m.prematureShares, m.replicasStarted, m.budgetExceeded, m.plannedWarmupWork, m.warmupWork, m.now)
	}
}

func newSketch(config Config) *topk.Sketch { return topk.New(64, config.HalfLife) }

func (m *clusterModel) warmupBudget() float64 {
	return m.config.WarmupBudget * serverCount * testServerCapacity
}
