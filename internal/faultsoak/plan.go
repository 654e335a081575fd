package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"milldeck/internal/faultsoak/shim"
)

// faultKind names a kind of fault, as flag --only of milldeck lab soak takes it.
type faultKind string

const (
	faultTerminate            faultKind = "sidecar-terminate" // SIGTERM, then a new process
	faultKill                 faultKind = "sidecar-kill"      // SIGKILL, then a new process
	faultReload               faultKind = "sidecar-reload"    // SIGHUP with a configuration that names the other agent
	faultSuspend              faultKind = "sidecar-hold"      // SIGSTOP for up to 0.15 s
	faultClockStep            faultKind = "clock-step"        // a step of the wall clock that sidecars and servers share
	faultSystemCall           faultKind = "system-call"       // a share of the calls of one system call fails
	faultRestart              faultKind = "server-restart"    // killed and started again in slow start
	faultDrain                faultKind = "server-drain"      // published as terminating, perhaps removed, then ready again
	faultFreeze               faultKind = "server-freeze"     // SIGSTOP for a time
	faultErrors               faultKind = "server-errors"     // response 500, or 503 marked as not processed
	faultReset                faultKind = "server-reset"      // connections are reset during requests
	faultCut                  faultKind = "link-cut"          // the link transfers nothing
	faultResponses            faultKind = "responses"         // without a length, in pieces, in chunks, twice, cut short
	faultAgentDown            faultKind = "discovery-down"    // agents send nothing and get no changes
	faultWatchSilent          faultKind = "discovery-silent"  // open watches send nothing more
	faultWatchReset           faultKind = "discovery-reset"   // open watches are reset
	faultDisconnect           faultKind = "clients-leave"     // many clients disconnect early
	faultFlood                faultKind = "clients-flood"     // many clients send many requests at once and disconnect
	faultPipelining           faultKind = "clients-pipeline"  // many clients send several requests at once
	faultIdle                 faultKind = "clients-idle"      // many idle connections
	faultDescriptorExhaustion faultKind = "clients-crowd"     // idle connections use up the file descriptors
	faultLateErrors           faultKind = "late-errors"       // an error follows a complete response on its connection
	faultCrossing             faultKind = "clients-cross"     // requests cross the close of idle connections
	faultPartial              faultKind = "clients-partial"   // hundreds of clients send a part of a request, again and again
	faultFast                 faultKind = "clients-fast"      // a few clients send small requests at full speed
)

// allFaults are the kinds to draw from. Kinds that are listed twice are drawn twice as often.
var allFaults = []faultKind{
	faultTerminate, faultTerminate, faultKill, faultReload, faultSuspend, faultClockStep, faultSystemCall, faultSystemCall,
	faultRestart, faultDrain, faultFreeze, faultErrors, faultReset, faultCut, faultResponses,
	faultAgentDown, faultWatchSilent, faultWatchReset, faultDisconnect, faultFlood, faultPipelining, faultPipelining, faultIdle,
	faultDescriptorExhaustion,
}

// laterFaults are kinds that are drawn besides allFaults, from a generator of their own: each seed keeps its draws from allFaults.
var laterFaults = []faultKind{faultLateErrors, faultCrossing}

// crowdFaults are drawn like laterFaults, from a third generator.
var crowdFaults = []faultKind{faultPartial, faultFast}

// laterFaultShare is the number of faults of laterFaults, and of crowdFaults, for each fault of allFaults.
const laterFaultShare = 0.25

// parseFaultKinds returns the kinds with the given names, or all kinds for no names. The error names the first unknown kind.
func parseFaultKinds(names []string) ([]faultKind, error) {
	if len(names) == 0 {
		return slices.Concat(allFaults, laterFaults, crowdFaults), nil
	}
	var kinds []faultKind
	for _, name := range names {
		if !slices.Contains(slices.Concat(allFaults, laterFaults, crowdFaults), faultKind(name)) {
			return nil, fmt.Errorf("unknown kind of fault %q", name)
		}
		kinds = append(kinds, faultKind(name))
	}
	return kinds, nil
}

// fault is one planned fault of a run.
type fault struct {
	Kind    faultKind
	At      time.Duration // after the start of the load
	For     time.Duration
	Sidecar int
	Server  int
	Step    time.Duration // of a clock step
	Call    shim.Call
	Errno   syscall.Errno
	Share   float64 // share of the calls, responses or clients that the fault affects
	Removed bool    // of a drain: the server is removed before it is ready again
	Signals signalSequence
}

// String describes the fault.
func (f fault) String() string {
	text := fmt.Sprintf("%5.2fs +%.2fs %s sidecar %d server %d", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Sidecar, f.Server)
	switch f.Kind {
	case faultClockStep:
		text += fmt.Sprintf(" step %v", f.Step)
	case faultTerminate, faultReload:
		text += " " + string(f.Signals)
	case faultSystemCall:
		text += fmt.Sprintf(" %v %v share %.2f", f.Call, f.Errno, f.Share)
	}
	return text
}

// failingCall is a system call and an error that its manual page documents.
type failingCall struct {
	call  shim.Call
	errno syscall.Errno
}

var failingCalls = []failingCall{
	{shim.Accept, syscall.ECONNABORTED}, {shim.Accept, syscall.ENFILE}, {shim.Accept, syscall.EMFILE},
	{shim.Accept, syscall.ENOBUFS}, {shim.Accept, syscall.ENOMEM}, {shim.Accept, syscall.EPROTO}, {shim.Accept, syscall.EINTR},
	{shim.Accept, syscall.EHOSTUNREACH}, {shim.Accept, syscall.ENETDOWN},
	{shim.Socket, syscall.ENFILE}, {shim.Socket, syscall.ENOBUFS}, {shim.Socket, syscall.EMFILE},
	{shim.Connect, syscall.EADDRNOTAVAIL}, {shim.Connect, syscall.ENETUNREACH}, {shim.Connect, syscall.EAGAIN},
	{shim.RecvFrom, syscall.EINTR},
	{shim.OpenAt, syscall.ENFILE}, {shim.OpenAt, syscall.EMFILE},
}

// plan holds the settings and faults of a run that follow from its seed.
type plan struct {
	Seed     uint64
	Length   time.Duration // of the load
	Faults   []fault
	Push     bool // discovery "automatic", which pushes lists; else "subscribe"
	WarmKeys bool
	Classes  []class
	Limits   sidecarLimits
}

// DefaultFaultRate is the default number of faults per second. With this rate two or three faults overlap.
const DefaultFaultRate = 2.0

const (
	firstFaultAt   = 1500 * time.Millisecond // the sidecars have connected to the servers by then
	maxFaultLength = 2500 * time.Millisecond
	maxSuspension  = 150 * time.Millisecond // the users' acceptance test suspends a process for at most this long
	maxCallFailure = time.Second
)

// Values from which the settings of a run are drawn: the longest deadline of all classes, which may exceed maxDeadlineCounted,
// and the deduplication window of the class whose keys only one cell knows.
var (
	longestDeadlines = []time.Duration{1200 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4500 * time.Millisecond}
	shortWindows     = []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond}
)

// newPlan draws the plan of a run. faultRate is the number of faults per second.
func newPlan(seed uint64, length time.Duration, faultRate float64, kinds []faultKind) plan {
	random := rand.New(rand.NewPCG(seed, 0))
	drawn := plan{Seed: seed, Length: length, Push: random.IntN(2) == 0, WarmKeys: random.IntN(2) == 0}
	drawn.Classes = newClasses(longestDeadlines[random.IntN(len(longestDeadlines))], shortWindows[random.IntN(len(shortWindows))])
	limits := rand.New(rand.NewPCG(seed, 3))
	drawn.Limits = sidecarLimits{memoryLimitsMB[limits.IntN(len(memoryLimitsMB))], socketLimits[limits.IntN(len(socketLimits))]}
	earlier := kindsOf(kinds, allFaults)
	count := int(faultRate * (length - firstFaultAt).Seconds())
	laterCount := count
	if len(earlier) > 0 {
		drawn.Faults = drawFaults(random, length, earlier, count)
		laterCount = int(laterFaultShare * float64(count))
	}
	for i, group := range [][]faultKind{laterFaults, crowdFaults} {
		if chosen := kindsOf(kinds, group); len(chosen) > 0 {
			drawn.Faults = append(drawn.Faults, drawFaults(rand.New(rand.NewPCG(seed, uint64(i+1))), length, chosen, laterCount)...)
		}
	}
	return drawn
}

// kindsOf returns the kinds that belong to a group.
func kindsOf(kinds, group []faultKind) (chosen []faultKind) {
	for _, kind := range kinds {
		if slices.Contains(group, kind) {
			chosen = append(chosen, kind)
		}
	}
	return chosen
}

func drawFaults(random *rand.Rand, length time.Duration, kinds []faultKind, count int) (drawn []fault) {
	for range count {
		drawn = append(drawn, drawFault(random, length, kinds))
	}
	return drawn
}

func drawFault(random *rand.Rand, length time.Duration, kinds []faultKind) fault {
	drawn := fault{
		Kind:    kinds[random.IntN(len(kinds))],
		At:      firstFaultAt + time.Duration(random.Float64()*float64(length-firstFaultAt)),
		For:     time.Duration((0.2 + 0.8*random.Float64()) * float64(maxFaultLength)),
		Sidecar: random.IntN(sidecarCount),
		Server:  random.IntN(serverCount),
		Share:   0.3 + 0.7*random.Float64(),
	}
	switch drawn.Kind {
	case faultTerminate:
		drawn.Signals = terminationSequences[random.IntN(len(terminationSequences))]
	case faultReload:
		drawn.Signals = reloadSequences[random.IntN(len(reloadSequences))]
	case faultDrain:
		drawn.Removed = random.IntN(2) == 0
	case faultSuspend:
		drawn.For = time.Duration((0.5 + 0.5*random.Float64()) * float64(maxSuspension))
	case faultClockStep:
		steps := []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}
		drawn.Step = steps[random.IntN(len(steps))]
	case faultSystemCall:
		chosen := failingCalls[random.IntN(len(failingCalls))]
		drawn.Call, drawn.Errno = chosen.call, chosen.errno
		drawn.For = time.Duration((0.1 + 0.9*random.Float64()) * float64(maxCallFailure))
	}
	return drawn
}
