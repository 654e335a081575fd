package live

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/lab"
)

// What a server's program and the lab say to each other: calls of net/rpc on one connection for each life of a server.
// Its end is the end of that life.
type (
	// HelloRequest begins a life.
	HelloRequest struct {
		Unit, Version string
		PID           int
	}
	// HelloReply answers it.
	HelloReply struct{ First bool } // the run has not begun yet
	// BeginRequest tells of an attempt; Call is the server's number for it.
	BeginRequest struct {
		Call, First, Last int64 // Unix ns
		ID                uint64
	}
	// BeginReply says what the request is.
	BeginReply struct {
		Known bool
		Job   lab.Job
	}
	// TransitRequest asks that something go its way over the network, and is answered when it has.
	TransitRequest struct {
		Call        int64
		Back, Fresh bool
	}
	// AttemptEndReport ends an attempt.
	AttemptEndReport struct {
		Call, At int64 // Unix ns
		How      string
	}
	// ExecutionReport tells that a request's work is done.
	ExecutionReport struct {
		Request uint64
		At      int64 // Unix ns
		Effect  bool
		Work    float64 // ms on a standard core that it took
		Key     uint64  // 0: none
		Met     bool    // its key was warm, or it has none
	}
	// EffectQuery asks whether its group has had it.
	EffectQuery struct {
		Class  int
		Effect uint64
	}
	// OverloadReport tells that the server was pushed over.
	OverloadReport struct {
		At   int64 // Unix ns
		Fall lab.SlowStartOverload
	}
)

// labDialTimeout bounds how long a server tries to reach its lab: both are on one machine.
const labDialTimeout = 5 * time.Second

// labClient is the observer of a server that a lab watches from its own process.
type labClient struct {
	process   *serverProcess
	rpcClient *rpc.Client
	lastCall  atomic.Int64
	readyOnce sync.Once
}

// dialLab reaches the lab; first tells that the run has not begun.
func dialLab(process *serverProcess) (*labClient, bool, error) {
	connection, err := net.DialTimeout("tcp4", process.config.LabAddress, labDialTimeout)
	if err != nil {
		return nil, false, fmt.Errorf("the lab: %w", err)
	}
	lab := &labClient{process: process, rpcClient: rpc.NewClient(connection)}
	var welcome HelloReply
	if err := lab.rpcClient.Call("Lab.Hello", HelloRequest{process.unit.Name, process.unit.Version, os.Getpid()}, &welcome); err != nil {
		lab.rpcClient.Close()
		return nil, false, fmt.Errorf("the lab: %w", err)
	}
	return lab, welcome.First, nil
}

// call calls the lab and waits. A lab that is gone answers nothing: whoever waits then goes without.
func (r *labClient) call(method string, arguments, reply any) bool {
	if err := r.rpcClient.Call("Lab."+method, arguments, reply); err != nil {
		slog.Debug("the lab does not answer", "method", method, "error", err)
		return false
	}
	return true
}

// notify calls the lab and does not wait.
func (r *labClient) notify(method string, arguments any) {
	r.rpcClient.Go("Lab."+method, arguments, new(int), make(chan *rpc.Call, 1))
}

// remoteAttempt is an attempt of which the lab knows.
type remoteAttempt struct {
	lab        *labClient
	number     int64
	requestJob lab.Job
}

func (r *labClient) beginAttempt(requestID uint64, received receivedRequest) (serverAttempt, bool) {
	attempt := &remoteAttempt{lab: r, number: r.lastCall.Add(1)}
	var begun BeginReply
	known := r.call("Begin", BeginRequest{attempt.number, received.firstByteAt.UnixNano(), received.lastByteAt.UnixNano(), requestID}, &begun) && begun.Known
	attempt.requestJob = begun.Job
	return attempt, known
}

func (c *remoteAttempt) job() lab.Job { return c.requestJob }

func (c *remoteAttempt) deliverRequest(ctx context.Context, newConnection bool) bool {
	return c.transit(ctx, TransitRequest{Call: c.number, Fresh: newConnection})
}

func (c *remoteAttempt) deliverResponse(ctx context.Context) bool {
	return c.transit(ctx, TransitRequest{Call: c.number, Back: true})
}

func (c *remoteAttempt) transit(ctx context.Context, request TransitRequest) bool {
	var ok bool
	call := c.lab.rpcClient.Go("Lab.Pass", request, &ok, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return false
	case <-call.Done:
		return call.Error == nil && ok
	}
}

func (c *remoteAttempt) ended(result string) {
	c.lab.notify("Over", AttemptEndReport{c.number, time.Now().UnixNano(), result})
}

func (c *remoteAttempt) responseProduced() { c.lab.call("Made", c.number, new(int)) }

func (r *labClient) addCounts(apply func(*lab.Counts)) {
	var counts lab.Counts
	apply(&counts)
	r.notify("Count", counts)
}

func (r *labClient) reportReady() { r.readyOnce.Do(func() { r.notify("Ready", 0) }) }

func (r *labClient) reportTerminating() { r.call("Ends", 0, new(int)) }

func (r *labClient) jobCompleted(at time.Time, completion lab.JobCompletion) {
	r.notify("Ran", ExecutionReport{completion.Request, at.UnixNano(), completion.EffectApplied, completion.ActualWorkMS, completion.Key, completion.CacheHit})
}

func (r *labClient) overloaded(at time.Time, overload *lab.SlowStartOverload) {
	r.call("Fell", OverloadReport{at.UnixNano(), *overload}, new(int))
}

// CheckAndRecord asks for the effects of the server's group, which the lab keeps for all of them.
func (r *labClient) CheckAndRecord(_ float64, _ *lab.ServerPlan, _ *lab.ClassPlan, number int, effect uint64) bool {
	var seen bool
	return r.call("Seen", EffectQuery{number, effect}, &seen) && seen
}

func (r *labClient) close() { r.rpcClient.Close() }
