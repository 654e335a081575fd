package live

import (
	"context"
	"net"
	"syscall"

	"milldeck/internal/lab"
)

// restart ends a sidecar as a planned restart does and starts it again.
func (f *fleet) restart(n *node) {
	if f.control != nil {
		f.control.trouble("restart", f.control.restart(f.ctx, f.plan.Sidecars[n.n].Name))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), killAfter)
	defer cancel()
	if err := n.stop(ctx); err != nil {
		f.judge.SidecarCrashed(f.now(), n.n, err.Error())
	}
	f.again(n)
}

// again starts a sidecar that has ended and waits until it is ready: told to end sooner, it would not have its
// signals in hand yet.
func (f *fleet) again(n *node) {
	if f.ctx.Err() != nil {
		return
	}
	if f.control != nil {
		f.control.trouble("start of a sidecar", f.control.revive(f.ctx, f.plan.Sidecars[n.n].Name))
		return
	}
	err := n.start()
	if err == nil {
		err = n.ready(f.ctx)
	}
	failed("start of a sidecar", err)
}

// reload moves discovery and tells the sidecar with SIGHUP.
func (f *fleet) reload(n *node) {
	a := f.agents[n.n]
	if f.registry != nil {
		n.signal(syscall.SIGHUP) // an agent stays where it is
		return
	}
	a.mu.Lock()
	err := a.move()
	a.mu.Unlock()
	if err != nil {
		failed("reload", err)
		return
	}
	n.mu.Lock()
	err = n.write(f.configPath(n))
	n.mu.Unlock()
	if err != nil {
		failed("reload", err)
		return
	}
	n.signal(syscall.SIGHUP)
}

// fill holds as many connections to a sidecar as it has descriptors, and says nothing on them.
func (f *fleet) fill(ctx context.Context, n *node, ft *lab.Fault) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for f.now() < ft.EndMS && ctx.Err() == nil {
		c, err := net.DialTimeout("tcp4", n.addr, dialWait)
		if err != nil || len(held) >= f.plan.Experiment.Sidecars.Sockets {
			sleep(ctx, readyPoll)
		}
		if err != nil {
			continue
		}
		if held = append(held, c); len(held) > f.plan.Experiment.Sidecars.Sockets {
			held[0].Close()
			held = held[1:]
		}
	}
}
