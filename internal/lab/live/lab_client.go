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

// The messages between a server process and the lab: arguments and replies of net/rpc calls. Each incarnation of a
// server has one connection, and ends when the connection closes. encoding/gob identifies fields by name, so the field
// names are part of the protocol.
type (
	// HelloRequest starts an incarnation.
	HelloRequest struct {
		Unit, Version string
		PID           int
	}
	// HelloReply answers a HelloRequest. First is set if the run has not started yet.
	HelloReply struct{ First bool }
	// BeginRequest reports an attempt. Call is the number that the server assigns to the attempt, ID is the request ID,
	// First and Last are the arrival times of the request's first and last byte.
	BeginRequest struct {
		Call, First, Last int64 // Unix ns
		ID                uint64
	}
	// BeginReply describes the request of an attempt. Known is false if no client has sent the request.
	BeginReply struct {
		Known bool
		Job   lab.Job
	}
	// TransitRequest models the transfer of a message: a response if Back is set, else a request, over a new connection
	// if Fresh is set. The lab replies when the message has arrived or is lost.
	TransitRequest struct {
		Call        int64
		Back, Fresh bool
	}
	// AttemptEndReport reports the end of an attempt. How is the result of the attempt.
	AttemptEndReport struct {
		Call, At int64 // Unix ns
		How      string
	}
	// ExecutionReport reports the work of a completed request.
	ExecutionReport struct {
		Request uint64
		At      int64   // Unix ns
		Effect  bool    // the request's effect was applied
		Work    float64 // ms on a standard core
		Key     uint64  // 0: none
		Met     bool    // the key was cached, or the request has no key
	}
	// EffectQuery asks whether the server's deduplication scope has applied an effect of a class's requests before.
	EffectQuery struct {
		Class  int
		Effect uint64
	}
	// OverloadReport reports that the server was overloaded during slow start.
	OverloadReport struct {
		At   int64 // Unix ns
		Fall lab.SlowStartOverload
	}
)

// The service and its methods, which are those of serverSession.
const (
	labService        = "Lab"
	methodHello       = labService + ".Hello"
	methodReady       = labService + ".Ready"
	methodTerminating = labService + ".Ends"
	methodBegin       = labService + ".Begin"
	methodTransit     = labService + ".Pass"
	methodEnd         = labService + ".Over"
	methodResponse    = labService + ".Made"
	methodEffect      = labService + ".Seen"
	methodExecution   = labService + ".Ran"
	methodOverload    = labService + ".Fell"
	methodCounts      = labService + ".Count"
)

// labDialTimeout bounds the connection setup to the lab, which is on the same machine.
const labDialTimeout = 5 * time.Second

// labClient is the observer that reports the events of a server process by RPC to the lab, which is another process.
type labClient struct {
	process   *serverProcess
	rpcClient *rpc.Client
	lastCall  atomic.Int64
	readyOnce sync.Once
}

// dialLab connects to the lab. The second result is true if the run has not started yet.
func dialLab(process *serverProcess) (*labClient, bool, error) {
	connection, err := net.DialTimeout("tcp4", process.config.LabAddress, labDialTimeout)
	if err != nil {
		return nil, false, fmt.Errorf("connect to the lab: %w", err)
	}
	client := &labClient{process: process, rpcClient: rpc.NewClient(connection)}
	var reply HelloReply
	hello := HelloRequest{Unit: process.unit.Name, Version: process.unit.Version, PID: os.Getpid()}
	if err := client.rpcClient.Call(methodHello, hello, &reply); err != nil {
		_ = client.rpcClient.Close() // the failed call is the error that counts
		return nil, false, fmt.Errorf("connect to the lab: %w", err)
	}
	return client, reply.First, nil
}

// call calls the lab and waits for the reply. It returns false, with reply unset, if the call fails.
func (c *labClient) call(method string, arguments, reply any) bool {
	if err := c.rpcClient.Call(method, arguments, reply); err != nil {
		slog.Debug("call to the lab failed", "method", method, "error", err)
		return false
	}
	return true
}

// notify calls the lab without waiting for the reply. It ignores errors: a report is lost only if the lab has exited.
func (c *labClient) notify(method string, arguments any) {
	c.rpcClient.Go(method, arguments, new(int), make(chan *rpc.Call, 1))
}

// remoteAttempt is an attempt that the lab in another process tracks.
type remoteAttempt struct {
	lab        *labClient
	number     int64
	requestJob lab.Job
}

func (c *labClient) beginAttempt(requestID uint64, received receivedRequest) (serverAttempt, bool) {
	attempt := &remoteAttempt{lab: c, number: c.lastCall.Add(1)}
	var reply BeginReply
	begin := BeginRequest{
		Call: attempt.number, ID: requestID, First: received.firstByteAt.UnixNano(), Last: received.lastByteAt.UnixNano(),
	}
	known := c.call(methodBegin, begin, &reply) && reply.Known
	attempt.requestJob = reply.Job
	return attempt, known
}

func (a *remoteAttempt) job() lab.Job { return a.requestJob }

func (a *remoteAttempt) deliverRequest(ctx context.Context, newConnection bool) bool {
	return a.transit(ctx, TransitRequest{Call: a.number, Fresh: newConnection})
}

func (a *remoteAttempt) deliverResponse(ctx context.Context) bool {
	return a.transit(ctx, TransitRequest{Call: a.number, Back: true})
}

// transit waits until a message has crossed the modelled network. It returns false if the message is lost, the call
// fails or ctx ends.
func (a *remoteAttempt) transit(ctx context.Context, request TransitRequest) bool {
	var ok bool
	call := a.lab.rpcClient.Go(methodTransit, request, &ok, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return false
	case <-call.Done:
		return call.Error == nil && ok
	}
}

func (a *remoteAttempt) ended(result string) {
	a.lab.notify(methodEnd, AttemptEndReport{Call: a.number, At: time.Now().UnixNano(), How: result})
}

func (a *remoteAttempt) responseProduced() { a.lab.call(methodResponse, a.number, new(int)) }

func (c *labClient) addCounts(apply func(*lab.Counts)) {
	var counts lab.Counts
	apply(&counts)
	c.notify(methodCounts, counts)
}

func (c *labClient) reportReady() { c.readyOnce.Do(func() { c.notify(methodReady, 0) }) }

func (c *labClient) reportTerminating() { c.call(methodTerminating, 0, new(int)) }

func (c *labClient) jobCompleted(at time.Time, completion lab.JobCompletion) {
	c.notify(methodExecution, ExecutionReport{
		Request: completion.Request, At: at.UnixNano(), Effect: completion.EffectApplied,
		Work: completion.ActualWorkMS, Key: completion.Key, Met: completion.CacheHit,
	})
}

func (c *labClient) overloaded(at time.Time, overload *lab.SlowStartOverload) {
	c.call(methodOverload, OverloadReport{At: at.UnixNano(), Fall: *overload}, new(int))
}

// CheckAndRecord asks the lab whether an effect has been applied before. The lab stores the effects of all servers of a
// deduplication scope.
func (c *labClient) CheckAndRecord(_ float64, _ *lab.ServerPlan, _ *lab.ClassPlan, number int, effect uint64) bool {
	var applied bool
	return c.call(methodEffect, EffectQuery{Class: number, Effect: effect}, &applied) && applied
}

func (c *labClient) close() {
	_ = c.rpcClient.Close() // fails only if the connection is closed already
}
