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
	// Hello begins a life.
	Hello struct {
		Unit, Version string
		PID           int
	}
	// Welcome answers it.
	Welcome struct{ First bool } // the run has not begun yet
	// Begin tells of an attempt; Call is the server's number for it.
	Begin struct {
		Call, First, Last int64 // Unix ns
		ID                uint64
	}
	// Begun says what the request is.
	Begun struct {
		Known bool
		Job   lab.Job
	}
	// Pass asks that something go its way over the network, and is answered when it has.
	Pass struct {
		Call        int64
		Back, Fresh bool
	}
	// Over ends an attempt.
	Over struct {
		Call, At int64 // Unix ns
		How      string
	}
	// Ran tells that a request's work is done.
	Ran struct {
		Request uint64
		At      int64 // Unix ns
		Effect  bool
		Work    float64 // ms on a standard core that it took
		Key     uint64  // 0: none
		Met     bool    // its key was warm, or it has none
	}
	// Effect asks whether its group has had it.
	Effect struct {
		Class  int
		Effect uint64
	}
	// Fell tells that the server was pushed over.
	Fell struct {
		At   int64 // Unix ns
		Fall lab.SlowStartOverload
	}
)

// dialWithin bounds how long a server tries to reach its lab: both are on one machine.
const dialWithin = 5 * time.Second

// remote is the observer of a server that a lab watches from its own process.
type remote struct {
	p     *program
	c     *rpc.Client
	calls atomic.Int64
	once  sync.Once
}

// dialLab reaches the lab; first tells that the run has not begun.
func dialLab(p *program) (*remote, bool, error) {
	conn, err := net.DialTimeout("tcp4", p.file.Lab, dialWithin)
	if err != nil {
		return nil, false, fmt.Errorf("the lab: %w", err)
	}
	r := &remote{p: p, c: rpc.NewClient(conn)}
	var w Welcome
	if err := r.c.Call("Lab.Hello", Hello{p.unit.Name, p.unit.Version, os.Getpid()}, &w); err != nil {
		r.c.Close()
		return nil, false, fmt.Errorf("the lab: %w", err)
	}
	return r, w.First, nil
}

// ask calls the lab and waits. A lab that is gone answers nothing: whoever waits then goes without.
func (r *remote) ask(method string, args, reply any) bool {
	if err := r.c.Call("Lab."+method, args, reply); err != nil {
		slog.Debug("the lab does not answer", "method", method, "error", err)
		return false
	}
	return true
}

// say calls the lab and does not wait.
func (r *remote) say(method string, args any) {
	r.c.Go("Lab."+method, args, new(int), make(chan *rpc.Call, 1))
}

// remoteCall is an attempt of which the lab knows.
type remoteCall struct {
	r *remote
	n int64
	j lab.Job
}

func (r *remote) call(id uint64, x exchange) (call, bool) {
	c := &remoteCall{r: r, n: r.calls.Add(1)}
	var b Begun
	known := r.ask("Begin", Begin{c.n, x.first.UnixNano(), x.last.UnixNano(), id}, &b) && b.Known
	c.j = b.Job
	return c, known
}

func (c *remoteCall) job() lab.Job { return c.j }

func (c *remoteCall) arrives(ctx context.Context, fresh bool) bool {
	return c.pass(ctx, Pass{Call: c.n, Fresh: fresh})
}

func (c *remoteCall) returns(ctx context.Context) bool {
	return c.pass(ctx, Pass{Call: c.n, Back: true})
}

func (c *remoteCall) pass(ctx context.Context, p Pass) bool {
	var ok bool
	call := c.r.c.Go("Lab.Pass", p, &ok, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return false
	case <-call.Done:
		return call.Error == nil && ok
	}
}

func (c *remoteCall) over(how string) { c.r.say("Over", Over{c.n, time.Now().UnixNano(), how}) }

func (c *remoteCall) made() { c.r.ask("Made", c.n, new(int)) }

func (r *remote) count(add func(*lab.Counts)) {
	var c lab.Counts
	add(&c)
	r.say("Count", c)
}

func (r *remote) ready() { r.once.Do(func() { r.say("Ready", 0) }) }

func (r *remote) ends() { r.ask("Ends", 0, new(int)) }

func (r *remote) ran(at time.Time, e lab.JobCompletion) {
	r.say("Ran", Ran{e.Request, at.UnixNano(), e.EffectApplied, e.ActualWorkMS, e.Key, e.CacheHit})
}

func (r *remote) fell(at time.Time, fall *lab.SlowStartOverload) {
	r.ask("Fell", Fell{at.UnixNano(), *fall}, new(int))
}

// CheckAndRecord asks for the effects of the server's group, which the lab keeps for all of them.
func (r *remote) CheckAndRecord(_ float64, _ *lab.ServerPlan, _ *lab.ClassPlan, number int, effect uint64) bool {
	var seen bool
	return r.ask("Seen", Effect{number, effect}, &seen) && seen
}

func (r *remote) close() { r.c.Close() }
