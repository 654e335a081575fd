package lab

import (
	"math"

	"milldeck/balance"
)

// Job is an attempt as a server sees it.
type Job struct {
	Attempt         int64  // the caller's identifier; 0: work without a waiting caller, such as a handshake or health check
	Request         uint64 // X-Request-ID of the request
	Class           int
	Key             uint64  // 0: none
	EffectID        uint64  // the same for all attempts of a request; 0: the request has no effect
	WorkMS          float64 // on a standard core
	ExpiresAt       float64 // when the server drops the job if it still waits in the queue; 0: never
	SenderInformed  bool    // the sidecar had been notified of this server's start
	Tenant          string  // "": none
	FailImmediately bool    // a regression makes the job fail without doing its work
}

// JobResult is how a job ended at its server.
type JobResult uint8

// The results of jobs.
const (
	JobServed JobResult = iota
	JobFailed
	JobExpired // the job was dropped from the queue and not executed
)

// JobCompletion is the end of a job.
type JobCompletion struct {
	Job
	Result        JobResult
	EffectApplied bool // the job was executed and was no repeat
	At            float64
	ActualWorkMS  float64 // on a standard core
	CacheHit      bool    // the key was cached, or the job has no key
}

const (
	errorWorkMS       = 1.0 // work of an immediate failure or of the response to a repeat
	overloadTolerance = 1.1 // multiple of the work limit that overloads a warming-up server; above 1 because arrivals vary randomly
	idleUtilisation   = 0.5 // share of busy cores up to which a congested server counts as idle
	overloadSlots     = 20  // slots of the window in which the work of a warming-up server is counted
)

// Server is the model of a server, for simulations and real processes alike. Cores take jobs in the order of arrival, and a
// job occupies a core for its work divided by the core's speed at its start.
//
// A server has no clock: callers pass the time, and call Next to learn when to call Advance. It may not be used concurrently.
type Server struct {
	Plan *ServerPlan

	seed    uint64
	rules   *RulesSpec
	effects EffectStore
	classes []ClassPlan

	startedAt    float64
	hasSlowStart bool // this incarnation has a slow start
	overloaded   bool

	running []runningJob // a heap by end
	waiting []Job

	cachedAt   map[uint64]float64 // last use of each cached key
	cacheOrder []timedKey         // uses by age, for eviction

	longQueueSince float64 // since when the queue has been too long; +Inf: it is not
	congestedSince float64 // since when the server has been congested; +Inf: it is not
	idleSince      float64 // since when the congested server has been idle; +Inf: it is not

	slowStartWork [overloadSlots]workSlot

	// Faults, which stay in effect across restarts.
	Slowdown     float64 // factor by which the server is slower, at least 1
	ErrorShare   float64 // share of the requests that fail without doing their work
	ResetShare   float64 // share of the responses that the caller replaces by a reset of the connection
	CorruptShare float64 // share of the responses that the caller corrupts
	Unresponsive bool    // the caller sends no response

	AlwaysCached map[uint64]bool // keys that never miss the cache; nil: none
}

// runningJob is a job that occupies a core.
type runningJob struct {
	endsAt        float64
	job           Job
	result        JobResult
	effectApplied bool
	actualWorkMS  float64
	cacheHit      bool
}

// timedKey is a key and the time of a use.
type timedKey struct {
	key uint64
	at  float64
}

// NewServer returns the model of a server of the plan that runs at full capacity.
func NewServer(p *Plan, index int, effects EffectStore) *Server {
	s := &Server{
		Plan: &p.Servers[index], seed: mixHash(p.Seed, streamServers, uint64(index)), rules: &p.Experiment.Rules, effects: effects,
		classes: p.Classes,
	}
	s.Start(0, false)
	return s
}

// Start begins a new incarnation with an empty queue and cache, and optionally a slow start. Faults stay in effect.
func (s *Server) Start(now float64, slowStart bool) {
	s.startedAt, s.hasSlowStart, s.overloaded = now, slowStart, false
	s.running, s.waiting = s.running[:0], s.waiting[:0]
	s.cachedAt, s.cacheOrder = map[uint64]float64{}, nil
	s.longQueueSince, s.congestedSince, s.idleSince = math.Inf(1), math.Inf(1), math.Inf(1)
	s.slowStartWork = [overloadSlots]workSlot{}
	s.Slowdown = max(s.Slowdown, 1)
}

// SetFault begins or ends a fault that affects how the server executes or responds. Other faults are ignored.
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

// Offer sends a job to the server and reports whether the server accepts it. A server with a full queue rejects it. If the job
// overloads a warming-up server, this job and all others are lost, and Offer returns the overload.
func (s *Server) Offer(now float64, job Job) (accepted bool, overload *SlowStartOverload) {
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

// run starts a job on a free core.
func (s *Server) run(now float64, job Job) {
	started := runningJob{job: job, cacheHit: true, actualWorkMS: job.WorkMS}
	if job.Attempt != 0 {
		s.execute(now, &started)
	}
	started.endsAt = now + started.actualWorkMS/s.coreSpeed(now)
	s.push(started)
}

// execute decides how a request ends and how much work it takes.
func (s *Server) execute(now float64, started *runningJob) {
	job := &started.job
	draw := hashFraction(s.seed, job.Request, uint64(job.Attempt))
	if job.FailImmediately || draw < s.ErrorShare {
		started.result, started.actualWorkMS = JobFailed, errorWorkMS
		return
	}
	class := &s.classes[job.Class]
	if class.Idempotency == balance.IdempotentWithKey &&
		s.effects.CheckAndRecord(now, s.Plan, class, job.Class, job.EffectID) {
		started.actualWorkMS = errorWorkMS // a repeat gets the response of the first execution
		return
	}
	if draw < s.ErrorShare+s.Plan.Spec.ErrorRate {
		started.result = JobFailed // the job fails after doing all of its work
	}
	started.effectApplied = true
	if job.Key == 0 || s.Plan.Spec.CacheGain <= 0 {
		return
	}
	started.cacheHit = s.checkCache(now, job.Key)
	if started.cacheHit {
		started.actualWorkMS *= 1 - s.Plan.Spec.CacheGain
	}
}

// coreSpeed returns the speed of a core; 1 is that of a standard core.
func (s *Server) coreSpeed(now float64) float64 {
	speed := s.Plan.Speed * s.capacityShare(now) / s.Slowdown
	if now >= s.congestedSince {
		speed /= s.Plan.Spec.CongestionSlowdown
	}
	return speed
}

// Next returns when the next running job ends; +Inf: none is running.
func (s *Server) Next() float64 {
	if len(s.running) == 0 {
		return math.Inf(1)
	}
	return s.running[0].endsAt
}

// Advance advances the server to a time and reports the jobs that have ended, in order.
func (s *Server) Advance(now float64, ended func(JobCompletion)) {
	for len(s.running) > 0 && s.running[0].endsAt <= now {
		finished := s.pop()
		endedAt := finished.endsAt
		s.startWaiting(endedAt, ended)
		s.updateCongestion(endedAt)
		if finished.job.Attempt != 0 {
			ended(JobCompletion{
				Job: finished.job, Result: finished.result, EffectApplied: finished.effectApplied, At: endedAt,
				ActualWorkMS: finished.actualWorkMS, CacheHit: finished.cacheHit,
			})
		}
	}
	s.updateCongestion(now)
}

// startWaiting starts waiting jobs on free cores and reports the waiting jobs that have expired.
func (s *Server) startWaiting(now float64, ended func(JobCompletion)) {
	for len(s.waiting) > 0 && len(s.running) < s.Plan.Spec.Cores {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if next.ExpiresAt > 0 && now >= next.ExpiresAt {
			ended(JobCompletion{Job: next, Result: JobExpired, At: now})
			continue
		}
		s.run(now, next)
	}
}

// Cancel removes an attempt from the queue because its caller has disconnected, and reports whether it was queued. A running
// job continues.
func (s *Server) Cancel(now float64, attempt int64) (removed bool) {
	for i := range s.waiting {
		if s.waiting[i].Attempt == attempt {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			removed = true
			break
		}
	}
	s.updateCongestion(now)
	return removed
}

// Load returns the number of jobs that are running or waiting.
func (s *Server) Load() int { return len(s.running) + len(s.waiting) }

// push adds a running job to the heap.
func (s *Server) push(started runningJob) {
	s.running = append(s.running, started)
	for i := len(s.running) - 1; i > 0; {
		parent := (i - 1) / 2
		if s.running[parent].endsAt <= s.running[i].endsAt {
			break
		}
		s.running[parent], s.running[i] = s.running[i], s.running[parent]
		i = parent
	}
}

// pop removes the running job that ends first from the heap.
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
