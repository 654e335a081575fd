package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// slowStartFleet is a fleet whose servers reject attempts beyond their current capacity and record the attempts that
// arrive during slow start.
type slowStartFleet struct {
	*simulatedFleet
	random            *rand.Rand
	servers           []Server
	capacity          float64 // of a server after slow start, in requests per ms
	rate              float64 // of all sidecars, in requests per ms
	cumulativeTraffic []float64
	queues            map[ServerID]*slowStartQueue
	keys              int // 0: requests have no key

	requested, served int
	arrivedAt         map[RequestID]float64 // of requests that are not sent yet
}

type slowStartQueue struct {
	busyUntil float64
	arrivals  []float64 // since the start of the server
}

// newSlowStartFleet gives each sidecar 8 requests a second on average; every sixth sidecar receives four times as
// many as the others. The requests use six tenths of the servers' capacity.
func newSlowStartFleet(t *testing.T, cfg Config, seed int64, sidecars, servers int) *slowStartFleet {
	f := &slowStartFleet{
		random: rand.New(rand.NewSource(seed)), servers: testServers(servers), queues: map[ServerID]*slowStartQueue{},
		rate: 0.008 * float64(sidecars), arrivedAt: map[RequestID]float64{},
	}
	f.capacity = f.rate / float64(servers) / 0.6
	cfg.AllowParallelAttempts = false
	f.simulatedFleet = newSimulatedFleet(t, cfg, sidecars, f.servers)
	sum := 0.0
	for i := range sidecars {
		share := 1.0
		if i%6 == 0 {
			share = 4
		}
		sum += share
		f.cumulativeTraffic = append(f.cumulativeTraffic, sum)
	}
	for _, s := range f.servers {
		f.queues[s.ID] = &slowStartQueue{}
	}
	f.serve = f.processAttempt
	f.onOutcome = func(_ int, o Outcome) {
		if o.Result == OK {
			f.served++
		}
	}
	return f
}

// currentCapacity returns the fraction of its capacity that a server has: the minimum that the settings allow.
func (f *slowStartFleet) currentCapacity(s ServerID) float64 {
	cfg, start := &f.balancers[0].config, f.servers[s-1].StartedAt
	if start == 0 {
		return 1
	}
	return math.Min(1, cfg.SlowStartMinCapacity+(1-cfg.SlowStartMinCapacity)*(f.now-start)/cfg.SlowStartDuration)
}

// processAttempt queues an attempt for at most 200 ms.
func (f *slowStartFleet) processAttempt(s ServerID) (Result, float64) {
	q, fraction := f.queues[s], f.currentCapacity(s)
	if fraction < 1 {
		q.arrivals = append(q.arrivals, f.now)
	}
	if q.busyUntil = math.Max(q.busyUntil, f.now); q.busyUntil > f.now+200 {
		return Overloaded, 1
	}
	q.busyUntil += 1 / (f.capacity * fraction)
	return OK, q.busyUntil - f.now + 5
}

// simulate sends requests at rateFactor times the usual rate until a time.
func (f *slowStartFleet) simulate(rateFactor, until float64) {
	for {
		next := f.now + f.random.ExpFloat64()/(f.rate*rateFactor)
		if next >= until {
			f.run(until)
			return
		}
		f.run(next)
		to, _ := slices.BinarySearch(f.cumulativeTraffic, f.random.Float64()*f.cumulativeTraffic[len(f.cumulativeTraffic)-1])
		key := uint64(0)
		if f.keys > 0 {
			key = 1 + uint64(float64(f.keys)*math.Pow(f.random.Float64(), 3))
		}
		f.requested++
		f.arrivedAt[f.lastID+1] = f.now
		f.request(to, key)
	}
}

// restartServers restarts the first n servers and updates all sidecars.
func (f *slowStartFleet) restartServers(n int) {
	for i := range n {
		f.servers[i].StartedAt = f.now
		f.queues[f.servers[i].ID] = &slowStartQueue{}
	}
	for i := range f.balancers {
		f.deliver(i, EndpointUpdate{Kind: UpdateFull, Servers: f.servers})
	}
}

// restartSidecars restarts the first n sidecars, which then know only the endpoint list.
func (f *slowStartFleet) restartSidecars(n int) {
	f.pending = slices.DeleteFunc(f.pending, func(e fleetEvent) bool { return e.to < n })
	heap.Init(&f.pending)
	for i := range n {
		f.balancers[i] = mustNew(f.t, f.balancers[i].config)
		f.execute(i, f.balancers[i].Start(f.now))
		f.deliver(i, EndpointUpdate{Kind: UpdateFull, Servers: f.servers})
	}
}

// worstOverload returns the maximum number of attempts that a server in slow start received in a window, divided by
// the number allowed in that window plus slack for chance.
func (f *slowStartFleet) worstOverload() (worstOverload float64, sends int) {
	return f.worstOverloadWith(func(allowed float64) float64 { return 2*math.Sqrt(allowed) + 2 })
}

// soakSlack is the excess that the fault soak attributes to chance.
func soakSlack(allowed float64) float64 {
	if allowed < 30 {
		return 3*math.Sqrt(allowed) + 3
	}
	return 2*math.Sqrt(allowed) + 2
}

func (f *slowStartFleet) worstOverloadWith(slack func(allowed float64) float64) (worstOverload float64, sends int) {
	cfg, now := &f.balancers[0].config, f.now
	for id, q := range f.queues {
		sends += len(q.arrivals)
		for i := range q.arrivals {
			n := 0
			for n < len(q.arrivals)-i && q.arrivals[i+n] < q.arrivals[i]+cfg.OverloadDuration {
				n++
			}
			f.now = q.arrivals[i]
			allowed := cfg.OverloadMultiple * f.capacity * f.currentCapacity(id) * cfg.OverloadDuration
			worstOverload = math.Max(worstOverload, float64(n)/(allowed+slack(allowed)))
		}
	}
	f.now = now
	return worstOverload, sends
}

// failThird makes all attempts at every third server fail.
func (f *slowStartFleet) failThird(result Result) {
	f.serve = func(s ServerID) (Result, float64) {
		if s%3 == 2 {
			return result, 5
		}
		return f.processAttempt(s)
	}
}

// slowStartScenarios are cases in which many servers are in slow start, or sidecars have accumulated
// tokens; see checkSlowStartBudget.
var slowStartScenarios = map[string]func(f *slowStartFleet){
	"six in ten": func(f *slowStartFleet) { f.restartServers(len(f.servers) * 6 / 10) },
	"all":        func(f *slowStartFleet) { f.restartServers(len(f.servers)) },
	"killed sidecars": func(f *slowStartFleet) {
		f.restartSidecars(len(f.balancers) * 7 / 10)
		f.restartServers(len(f.servers) * 6 / 10)
	},
	"little traffic": func(f *slowStartFleet) {
		f.rate, f.capacity = f.rate/8, f.capacity/8
		f.simulate(1, f.now+10000)
		f.restartServers(len(f.servers))
	},
	"all new": func(f *slowStartFleet) {
		f.restartSidecars(len(f.balancers))
		f.restartServers(len(f.servers))
	},
	"burst after quiet": burstAfterLowTraffic,
}

// Regardless of the number of sidecars, their traffic and their knowledge: in every window of
// OverloadDuration, all sidecars together must send a server in slow start no more than the settings allow,
// with slack for chance. The hard cases are those in which most servers are in slow start, as each then has
// a larger share, and those in which all sidecars have accumulated tokens.
func TestSlowStartBudgetHoldsInRareScenarios(t *testing.T) {
	for _, size := range [][2]int{{20, 12}, {30, 20}} {
		for name, scenario := range slowStartScenarios {
			checkSlowStartBudget(t, name, size, 200, scenario)
		}
		for _, keys := range []int{0, 200} {
			checkSlowStartBudget(t, "one", size, keys, func(f *slowStartFleet) { f.restartServers(1) })
			checkSlowStartBudget(t, "re-routes", size, keys, func(f *slowStartFleet) {
				f.restartServers(1)
				f.simulate(0.2, f.now+1000)
				f.failThird(Overloaded)
			})
		}
	}
}

// The scenarios of slowStartScenarios without key affinity, in large fleets as well. Without key affinity,
// a sidecar's rotation grows with its traffic, and a sidecar of a large fleet visits each server so rarely
// that it has budget for the server most of the time.
//
// Before the budget was corrected, 23 cases failed, the worst with 2.64 times the allowed attempts. A server's budget
// is its share of a sidecar's answers. Four faults made that share too large. The pool shrank with the servers in
// slow start, so that each server kept a full share when all were restarted. The pool also shrank with the health of
// overloaded servers and with ejected servers, though they had given the answers. A server that entered the rotation
// brought tokens of the time before. Answers lagged behind falling traffic. With all of 60 servers restarted under
// 300 sidecars, the sidecars sent 34,528 attempts in 12 s, in the worst window 1.86 times the allowed number. They
// now send 19,417 attempts, in the worst window 0.51 times the allowed number. In periods of 3 s they serve 0.37, 0.58,
// 0.77 and 0.86 of the requests; before, they served 0.42, 0.62, 0.82 and 0.96.
//
// The bound that holds with key affinity failed without key affinity: it compares weights over time, and
// the learned capacities of all servers rise and fall together. At the site clinic-results the weight sums
// of restarted sidecars fell to a tenth within ten seconds; 91 servers that were warm by then received 570
// attempts a second for five seconds, while the other 91 were congested.
func TestSlowStartBudgetHoldsWithoutKeyAffinity(t *testing.T) {
	for _, size := range [][2]int{{20, 12}, {30, 20}, {300, 60}} {
		for name, scenario := range slowStartScenarios {
			checkSlowStartBudget(t, name, size, 0, scenario)
		}
	}
}

// The scenarios of slowStartScenarios in other sizes and with other seeds, with the slack of the fault
// soak: if a server may receive only a handful of attempts in a window, the worst of hundreds of servers
// deviates more from the mean.
func TestSlowStartBudgetHoldsOnOtherDraws(t *testing.T) {
	for _, size := range [][2]int{{4, 8}, {12, 8}, {60, 40}, {120, 200}} {
		for name, scenario := range slowStartScenarios {
			for seed := int64(2); seed <= 4; seed++ {
				t.Run(fmt.Sprintf("%s/%d sidecars/seed %d", name, size[0], seed), func(t *testing.T) {
					cfg := baseConfig()
					cfg.OverloadMultiple, cfg.OverloadDuration, cfg.SlowStartMinCapacity = 4, 2000, 0.12
					f := newSlowStartFleet(t, cfg, seed, size[0], size[1])
					f.simulate(1, 5000)
					scenario(f)
					f.simulate(1, f.now+3000)
					if worst, sends := f.worstOverloadWith(soakSlack); worst > 1 || sends == 0 {
						t.Errorf("%d sends to servers in slow start, in a window %.2f times those allowed", sends, worst)
					}
				})
			}
		}
	}
}

func burstAfterLowTraffic(f *slowStartFleet) {
	f.restartServers(len(f.servers) / 3)
	f.simulate(0.1, f.now+4000)
	f.simulate(2.2, f.now+1000)
}

// checkSlowStartBudget simulates a scenario with two sets of settings. size is the number of sidecars and of servers.
func checkSlowStartBudget(t *testing.T, name string, size [2]int, keys int, scenario func(f *slowStartFleet)) {
	for k, rules := range []struct{ multiple, duration, minCapacity, objective float64 }{
		{4, 2000, 0.12, 300}, {2.5, 1000, 0.2, 1000},
	} {
		t.Run(fmt.Sprintf("%s/%d sidecars/%d keys/%d", name, size[0], keys, k), func(t *testing.T) {
			cfg := baseConfig()
			cfg.OverloadMultiple, cfg.OverloadDuration, cfg.SlowStartMinCapacity =
				rules.multiple, rules.duration, rules.minCapacity
			cfg.KeyAffinity, cfg.Classes[idempotentClass].LatencyObjective = keys > 0, rules.objective
			f := newSlowStartFleet(t, cfg, 1, size[0], size[1])
			f.keys = keys
			f.simulate(1, 5000)
			scenario(f)
			f.simulate(1, f.now+3000)
			if worst, sends := f.worstOverload(); worst > 1 || sends == 0 {
				t.Errorf("%d sends to servers in slow start, in a window %.2f times those allowed", sends, worst)
			}
		})
	}
}

// If all servers are in slow start, they serve as much as they can, the other requests are rejected in time, and the
// fraction served rises until all requests are served.
func TestFleetInSlowStartRampsUp(t *testing.T) {
	for _, sidecarsRestart := range []bool{false, true} {
		f := newSlowStartFleet(t, baseConfig(), 1, 30, 20)
		f.simulate(1, 5000)
		if sidecarsRestart {
			f.restartSidecars(30)
		}
		f.restartServers(20)
		class := f.balancers[0].config.Classes[idempotentClass]
		late := 0
		f.onAction = func(_ int, a Action) {
			switch a.Kind {
			case Send:
				delete(f.arrivedAt, a.Request)
			case Reject, Fail: // a waiting request is checked each twentieth of its objective
				if arrivedAt, unsent := f.arrivedAt[a.Request]; unsent && f.now > arrivedAt+class.LatencyObjective*1.05 {
					late++
				}
			}
		}
		var servedFractions []float64
		for range 6 {
			f.requested, f.served = 0, 0
			f.simulate(1, f.now+4000)
			servedFractions = append(servedFractions, float64(f.served)/float64(f.requested))
		}
		if servedFractions[0] < 0.2 || servedFractions[2] < 0.5 || servedFractions[5] < 0.95 ||
			!slices.IsSorted(servedFractions) || late > 0 {
			t.Errorf("sidecars restarted %v: fractions served %.2f in periods of 4 s, %d answered late",
				sidecarsRestart, servedFractions, late)
		}
	}
}
