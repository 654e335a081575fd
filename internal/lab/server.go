package lab

import (
	"math"
	"sync"

	"milldeck/balance"
)

// Job is one attempt as a server sees it.
type Job struct {
	Attempt         int64  // what the caller calls it; 0: work that nobody waits for, as of a handshake or probe
	Request         uint64 // its X-Request-ID
	Class           int
	Key             uint64  // 0: none
	EffectID        uint64  // names the effect that it has, which a repeat has again; 0: none
	WorkMS          float64 // ms on a standard core
	ExpiresAt       float64 // waiting work is dropped then; 0: never
	SenderInformed  bool    // its sender had been told of this server's start
	Tenant          string  // whose it is; "": nobody's
	FailImmediately bool    // at once, as a harmful version has it
}

// JobResult is how a job ended at its server.
type JobResult uint8

// The endings.
const (
	JobServed JobResult = iota
	JobFailed
	JobExpired // dropped while it waited: it never ran
)

// JobCompletion is the end of a job.
type JobCompletion struct {
	Job
	Result        JobResult
	EffectApplied bool // it had its effect, and was no repeat
	At            float64
	ActualWorkMS  float64 // ms on a standard core
	CacheHit      bool    // its key was warm here, or it has none
}

const (
	errorWorkMS       = 1.0 // ms that a quick failure or the answer to a repeat takes
	overloadTolerance = 1.1 // multiple of the cold budget that counts as overdone: arrivals vary by chance
	idleUtilisation   = 0.5 // part of its cores that a choked server may use to be idle
	overloadSlots     = 20  // parts of the window in which the cold budget is counted
)

// Server is the model of one server, the same in both modes. Cores take requests in the order of arrival; a
// request keeps a core for its work over the speed of that moment. It is pure: it knows time only as it is told,
// and the caller asks for Next to know when to call Advance.
type Server struct {
	Plan *ServerPlan

	seed    uint64
	rules   *RulesSpec
	effects EffectStore
	classes []ClassPlan

	startedAt   float64 // of its warm-up
	startedCold bool
	overloaded  bool

	running    []runningJob // a heap by time
	waiting    []Job
	cachedAt   map[uint64]float64 // when a key was met last
	cacheOrder []timedKey         // the same by age, for forgetting

	crowdedSince   float64 // since when too many wait; Inf: not
	congestedSince float64 // since when it is choked; Inf: not
	idleSince      float64 // since when it is idle though choked; Inf: not

	slowStartWork [overloadSlots]workSlot

	// What faults make of it, which lasts through its lives: Slow is the factor by which it is slower, at least 1;
	// Errors, Resets and Spoils are the parts of requests that it fails at once, or answers with a broken connection
	// or noise; Silent has it take requests and say nothing. The last three are for whoever sends its answers.
	Slowdown, ErrorShare, ResetShare, CorruptShare float64
	Unresponsive                                   bool

	AlwaysCached map[uint64]bool // keys that are always warm here; nil: none
}

type runningJob struct {
	endsAt        float64
	job           Job
	result        JobResult
	effectApplied bool
	actualWorkMS  float64
	cacheHit      bool
}

type timedKey struct {
	key uint64
	at  float64
}

// workSlot is the work that came within one part of the window.
type workSlot struct {
	slot               int
	work, informedWork float64
}

// NewServer makes the model of a server that is up and warm.
func NewServer(p *Plan, n int, stores EffectStore) *Server {
	s := &Server{
		Plan: &p.Servers[n], seed: mixHash(p.Seed, streamServers, uint64(n)), rules: &p.Experiment.Rules, effects: stores,
		classes: p.Classes,
	}
	s.Start(0, false)
	return s
}

// Start begins a new life at a time, with nothing of the one before. Faults that it suffers last.
func (s *Server) Start(now float64, cold bool) {
	s.startedAt, s.startedCold, s.overloaded = now, cold, false
	s.running, s.waiting = s.running[:0], s.waiting[:0]
	s.cachedAt, s.cacheOrder = map[uint64]float64{}, nil
	s.crowdedSince, s.congestedSince, s.idleSince = math.Inf(1), math.Inf(1), math.Inf(1)
	s.slowStartWork = [overloadSlots]workSlot{}
	s.Slowdown = max(s.Slowdown, 1)
}

// SetFault begins or ends a fault that makes the server answer badly; other faults are nothing to it.
func (s *Server) SetFault(f *Fault, on bool) {
	share, factor := 0.0, 1.0
	if on {
		share, factor = f.Probability, f.Factor
	}
	switch f.Kind {
	case FaultSlow:
		s.Slowdown = factor
	case FaultErrors:
		s.ErrorShare = share
	case FaultNoResponse:
		s.Unresponsive = on
	case FaultReset:
		s.ResetShare = share
	case FaultCorruptResponse:
		s.CorruptShare = share
	}
}

// Overloaded tells whether it was pushed over while it was cold; it stays down then.
func (s *Server) Overloaded() bool { return s.overloaded }

// capacityShare is the part of its capacity that a server has.
func (s *Server) capacityShare(now float64) float64 {
	if !s.startedCold || now >= s.startedAt+s.Plan.SlowStartMS {
		return 1
	}
	from := s.Plan.Spec.SlowStartFrom
	return from + (1-from)*(now-s.startedAt)/s.Plan.SlowStartMS
}

// IsWarmingUp tells whether it is still warming up.
func (s *Server) IsWarmingUp(now float64) bool {
	return s.startedCold && now < s.startedAt+s.Plan.SlowStartMS
}

// coreSpeed is that of a core now.
func (s *Server) coreSpeed(now float64) float64 {
	speed := s.Plan.Speed * s.capacityShare(now) / s.Slowdown
	if now >= s.congestedSince {
		speed /= s.Plan.Spec.CongestionSlowdown
	}
	return speed
}

// SlowStartOverload is how a cold server was pushed over.
type SlowStartOverload struct {
	WorkMS, BudgetMS float64 // ms of standard work within the window, and what it could bear
	InformedShare    float64 // part of the work whose senders had been told of its start
}

// Offer brings a request. It reports whether the server takes it: a full queue turns it away. A request that
// pushes a cold server over is lost with all that it held, and the fall is returned.
func (s *Server) Offer(now float64, job Job) (taken bool, overload *SlowStartOverload) {
	if overload := s.recordSlowStartWork(now, job); overload != nil {
		s.overloaded = true
		s.running, s.waiting = s.running[:0], s.waiting[:0]
		return false, overload
	}
	if len(s.running) < s.Plan.Spec.Cores {
		s.run(now, job)
		s.updateCongestion(now)
		return true, nil
	}
	if job.Attempt != 0 && len(s.waiting) >= s.Plan.Spec.QueueLength {
		return false, nil
	}
	s.waiting = append(s.waiting, job)
	s.updateCongestion(now)
	return true, nil
}

// recordSlowStartWork counts the work that a cold server is sent, whether it takes it or not.
func (s *Server) recordSlowStartWork(now float64, j Job) *SlowStartOverload {
	if !s.IsWarmingUp(now) || s.rules.OverloadWindowMS <= 0 {
		return nil
	}
	slotMS := s.rules.OverloadWindowMS / overloadSlots
	slot := int(now / slotMS)
	current := &s.slowStartWork[slot%overloadSlots]
	if current.slot != slot {
		*current = workSlot{slot: slot}
	}
	current.work += j.WorkMS
	if j.SenderInformed {
		current.informedWork += j.WorkMS
	}
	totalWork, informedWork := 0.0, 0.0
	for _, slotWork := range s.slowStartWork {
		if slotWork.slot > slot-overloadSlots {
			totalWork += slotWork.work
			informedWork += slotWork.informedWork
		}
	}
	capacity := s.Plan.Speed * s.capacityShare(now) * float64(s.Plan.Spec.Cores)
	budget := s.rules.OverloadMultiple * capacity * s.rules.OverloadWindowMS * overloadTolerance
	if totalWork <= budget {
		return nil
	}
	return &SlowStartOverload{totalWork, budget, informedWork / totalWork}
}

// run gives a job a core.
func (s *Server) run(now float64, job Job) {
	running := runningJob{job: job, cacheHit: true}
	work := job.WorkMS
	draw := hashFraction(s.seed, job.Request, uint64(job.Attempt))
	switch {
	case job.Attempt == 0:
	case job.FailImmediately || draw < s.ErrorShare:
		running.result, work = JobFailed, errorWorkMS
	case s.classes[job.Class].Idempotency == balance.IdempotentWithKey && s.effects.CheckAndRecord(now, s.Plan, &s.classes[job.Class], job.Class, job.EffectID):
		work = errorWorkMS // the answer to a repeat is at hand
	default:
		if draw < s.ErrorShare+s.Plan.Spec.ErrorRate {
			running.result = JobFailed // it runs whole and fails at the end
		}
		running.effectApplied = true
		if job.Key != 0 && s.Plan.Spec.CacheGain > 0 {
			if running.cacheHit = s.lookUpKey(now, job.Key); running.cacheHit {
				work *= 1 - s.Plan.Spec.CacheGain
			}
		}
	}
	running.actualWorkMS = work
	running.endsAt = now + work/s.coreSpeed(now)
	s.push(running)
}

// lookUpKey remembers a key and tells whether it was met lately.
func (s *Server) lookUpKey(now float64, key uint64) bool {
	spec := s.Plan.Spec
	for len(s.cacheOrder) > 0 && (now > s.cacheOrder[0].at+spec.CacheTTLMS || len(s.cacheOrder) > 2*max(spec.CacheKeys, 1)) {
		s.evictOldest()
	}
	if s.AlwaysCached[key] {
		return true
	}
	lastUse, known := s.cachedAt[key]
	s.cachedAt[key] = now
	s.cacheOrder = append(s.cacheOrder, timedKey{key, now})
	for len(s.cachedAt) > max(spec.CacheKeys, 1) {
		s.evictOldest()
	}
	return known && now <= lastUse+spec.CacheTTLMS
}

// evictOldest forgets the oldest entry; a key met again since has a younger one.
func (s *Server) evictOldest() {
	oldest := s.cacheOrder[0]
	s.cacheOrder = s.cacheOrder[1:]
	if s.cachedAt[oldest.key] == oldest.at {
		delete(s.cachedAt, oldest.key)
	}
}

// Next is when something happens by itself; Inf: nothing does.
func (s *Server) Next() float64 {
	if len(s.running) == 0 {
		return math.Inf(1)
	}
	return s.running[0].endsAt
}

// Advance lets time pass and hands on what ended up to now, in order.
func (s *Server) Advance(now float64, ended func(JobCompletion)) {
	for len(s.running) > 0 && s.running[0].endsAt <= now {
		finished := s.pop()
		endedAt := finished.endsAt
		for len(s.waiting) > 0 && len(s.running) < s.Plan.Spec.Cores {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			if next.ExpiresAt > 0 && endedAt >= next.ExpiresAt {
				ended(JobCompletion{Job: next, Result: JobExpired, At: endedAt})
				continue
			}
			s.run(endedAt, next)
		}
		s.updateCongestion(endedAt)
		if finished.job.Attempt != 0 {
			ended(JobCompletion{Job: finished.job, Result: finished.result, EffectApplied: finished.effectApplied, At: endedAt, ActualWorkMS: finished.actualWorkMS, CacheHit: finished.cacheHit})
		}
	}
	s.updateCongestion(now)
}

// Cancel gives waiting work up, as a caller that went away; what runs runs on.
func (s *Server) Cancel(now float64, attempt int64) (dropped bool) {
	for i := range s.waiting {
		if s.waiting[i].Attempt == attempt {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			dropped = true
			break
		}
	}
	s.updateCongestion(now)
	return dropped
}

// Load is how many requests it holds.
func (s *Server) Load() int { return len(s.running) + len(s.waiting) }

// Congested tells whether too much waiting work has slowed it down.
func (s *Server) Congested(now float64) bool { return now >= s.congestedSince }

// updateCongestion follows whether it is crowded, choked or idle again.
func (s *Server) updateCongestion(now float64) {
	spec := s.Plan.Spec
	if spec.CongestionQueuePerCore == 0 {
		return
	}
	if now >= s.congestedSince {
		if float64(len(s.running)) > idleUtilisation*float64(spec.Cores) || len(s.waiting) > 0 {
			s.idleSince = math.Inf(1)
		} else if math.IsInf(s.idleSince, 1) {
			s.idleSince = now
		}
		if now >= s.idleSince+spec.CongestionIdleMS || now >= s.congestedSince+spec.CongestionMaxMS && spec.CongestionMaxMS > 0 {
			s.congestedSince, s.crowdedSince = math.Inf(1), math.Inf(1)
		}
		return
	}
	if float64(len(s.waiting)) <= spec.CongestionQueuePerCore*float64(spec.Cores) {
		s.crowdedSince = math.Inf(1)
	} else if math.IsInf(s.crowdedSince, 1) {
		s.crowdedSince = now
	}
	if now >= s.crowdedSince+spec.CongestionAfterMS {
		s.congestedSince, s.idleSince = now, math.Inf(1)
	}
}

func (s *Server) push(e runningJob) {
	s.running = append(s.running, e)
	for i := len(s.running) - 1; i > 0; {
		parent := (i - 1) / 2
		if s.running[parent].endsAt <= s.running[i].endsAt {
			break
		}
		s.running[parent], s.running[i] = s.running[i], s.running[parent]
		i = parent
	}
}

func (s *Server) pop() runningJob {
	top := s.running[0]
	last := len(s.running) - 1
	s.running[0] = s.running[last]
	s.running = s.running[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && s.running[child+1].endsAt < s.running[child].endsAt {
			child++
		}
		if s.running[i].endsAt <= s.running[child].endsAt {
			break
		}
		s.running[i], s.running[child] = s.running[child], s.running[i]
		i = child
	}
	return top
}

// EffectStore is what a server asks for the effects that its group has had; Stores is it where all servers are in one
// process.
type EffectStore interface {
	CheckAndRecord(now float64, s *ServerPlan, class *ClassPlan, classIndex int, effect uint64) bool
}

// MemoryEffectStore is what groups of servers remember of the effects that they had, each for the window of its class.
// Servers use them concurrently.
type MemoryEffectStore struct {
	mu      sync.Mutex
	byScope map[effectScope]*effectWindow
}

type effectScope struct {
	class, group int
}

type effectWindow struct {
	appliedAt map[uint64]float64
	order     []timedKey
}

// NewMemoryEffectStore makes empty ones.
func NewMemoryEffectStore() *MemoryEffectStore {
	return &MemoryEffectStore{byScope: map[effectScope]*effectWindow{}}
}

// CheckAndRecord tells whether the group of a server has had an effect within the window, and remembers it. The number is the
// class's.
func (m *MemoryEffectStore) CheckAndRecord(now float64, s *ServerPlan, class *ClassPlan, classIndex int, effect uint64) bool {
	key := effectScope{class: classIndex}
	switch class.ClassSpec.DeduplicationScope {
	case "zone":
		key.group = s.Zone
	case "pod":
		key.group = s.Cell
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	window := m.byScope[key]
	if window == nil {
		window = &effectWindow{appliedAt: map[uint64]float64{}}
		m.byScope[key] = window
	}
	for len(window.order) > 0 && now > window.order[0].at+class.IdempotencyWindowMS {
		delete(window.appliedAt, window.order[0].key)
		window.order = window.order[1:]
	}
	if _, known := window.appliedAt[effect]; known {
		return true
	}
	window.appliedAt[effect] = now
	window.order = append(window.order, timedKey{effect, now})
	return false
}
