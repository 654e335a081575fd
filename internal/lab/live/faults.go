package live

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab"
)

const (
	restartPause = 100 // ms between the end of a server and its new start, as in package sim
	excuseAfter  = 500 // ms after a freeze or cut in which answers may still be late
)

// inject begins and ends the faults at their times; it returns once none is under way.
func (f *fleet) inject(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := range f.plan.Faults {
		ft := &f.plan.Faults[i]
		all.Go(func() {
			if !sleep(ctx, millis(ft.StartMS-f.now())) {
				return
			}
			slog.Debug("fault begins", "fault", ft.Label)
			f.begin(ctx, ft)
			if ft.EndMS == 0 {
				return
			}
			sleep(ctx, millis(ft.EndMS-f.now()))
			f.end(ctx, ft) // also when the run is cut short: what is stopped must go on to be ended
		})
	}
	for _, s := range f.servers {
		if s.plan.StartMS > 0 {
			all.Go(func() {
				if sleep(ctx, millis(s.plan.StartMS-f.now())) {
					f.boot(s)
				}
			})
		}
		if s.plan.ReplacedMS > 0 {
			all.Go(func() {
				if sleep(ctx, millis(s.plan.ReplacedMS-f.now())) {
					f.retire(ctx, s, false)
				}
			})
		}
	}
}

// failed reports what the lab itself could not do.
func failed(what string, err error) {
	if err != nil {
		slog.Error("the lab cannot play a fault", "fault", what, "error", err)
	}
}

func (f *fleet) begin(ctx context.Context, ft *lab.Fault) {
	if f.control != nil {
		f.control.begin(ctx, ft)
	}
	for _, i := range ft.Servers {
		s := f.servers[i]
		if f.control != nil {
			f.control.befall(ctx, s, ft)
			continue
		}
		switch ft.Kind {
		case lab.FaultKill:
			s.die()
			f.unlist(s)
		case lab.FaultZoneOutage:
			f.net.change(func() { f.net.dark[i] = true })
			failed(ft.Label, s.hush(true))
			f.unlist(s)
		case lab.FaultRestart:
			go f.retire(ctx, s, true)
		case lab.FaultFreeze:
			f.net.change(func() { f.net.dark[i] = true })
		case lab.FaultConnectionRefused:
			for _, p := range s.ports {
				p.close()
			}
			s.lose()
		case lab.FaultDiscoveryFalseRemoval:
			if f.state(s) == ready {
				f.publish(s, gone)
			}
		default:
			s.suffer(ft, true)
		}
	}
	for _, i := range ft.Sidecars {
		n := f.nodes[i]
		switch ft.Kind {
		case lab.FaultKill:
			n.kill()
		case lab.FaultRestart:
			f.restarts.Go(func() { f.restart(n) })
		case lab.FaultFreeze:
			f.judge.ExcuseSidecar(i, f.now()-slackMS, ft.EndMS+excuseAfter)
			n.signal(syscall.SIGSTOP)
		case lab.FaultReload:
			f.reload(n)
		case lab.FaultDescriptorExhaustion:
			go f.fill(ctx, n, ft)
		}
	}
	switch ft.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		f.net.change(func() { f.net.faults = append(f.net.faults, ft) })
		if ft.Kind == lab.FaultPartition {
			f.cut(ft, true)
		}
	case lab.FaultRegistryDown:
		f.registry.kill()
	case lab.FaultDiscoveryDown:
		f.discoveryDown.Store(true)
	case lab.FaultDiscoveryDelay:
		f.listMu.Lock()
		f.discoveryLate += ft.DelayMS
		f.listMu.Unlock()
	}
}

func (f *fleet) end(ctx context.Context, ft *lab.Fault) {
	if f.control != nil {
		f.control.end(ctx, ft)
	}
	for _, i := range ft.Servers {
		s := f.servers[i]
		if f.control != nil {
			f.control.spare(ctx, s, ft)
			continue
		}
		switch ft.Kind {
		case lab.FaultKill:
			if !s.isUp() {
				f.boot(s)
			}
		case lab.FaultZoneOutage:
			s.lose()
			f.net.change(func() { delete(f.net.dark, i) })
			failed(ft.Label, s.hush(false))
			if s.plan.ReplacedMS == 0 || f.now() < s.plan.ReplacedMS {
				f.boot(s)
			}
		case lab.FaultFreeze:
			f.net.change(func() { delete(f.net.dark, i) })
		case lab.FaultConnectionRefused:
			failed(ft.Label, s.listen())
		case lab.FaultDiscoveryFalseRemoval:
			if f.state(s) == gone && s.isUp() {
				f.publish(s, ready)
			}
		default:
			s.suffer(ft, false)
		}
	}
	for _, i := range ft.Sidecars {
		n := f.nodes[i]
		switch {
		case ft.Kind == lab.FaultFreeze:
			n.signal(syscall.SIGCONT)
		case ft.Kind == lab.FaultKill && ctx.Err() == nil:
			f.restarts.Go(func() { f.again(n) })
		}
	}
	switch ft.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		f.net.change(func() {
			f.net.faults = slices.DeleteFunc(f.net.faults, func(g *lab.Fault) bool { return g == ft })
		})
		if ft.Kind == lab.FaultPartition {
			f.cut(ft, false)
		}
	case lab.FaultRegistryDown:
		failed(ft.Label, f.registry.startAgain())
	case lab.FaultDiscoveryDown:
		f.discoveryDown.Store(false)
	case lab.FaultDiscoveryDelay:
		f.listMu.Lock()
		f.discoveryLate -= ft.DelayMS
		f.listMu.Unlock()
	}
	if f.registry == nil {
		for _, a := range f.agents {
			a.catchUp()
		}
	}
}

// cut makes the ports between two parties silent, or lets them speak again, and excuses sidecars that are cut
// off from their own clients.
func (f *fleet) cut(ft *lab.Fault, on bool) {
	for i, n := range f.nodes {
		sidecar, client := lab.Endpoint{Kind: lab.SidecarEndpoint, Index: i}, lab.Endpoint{Kind: lab.ClientEndpoint, Index: i}
		if on && (ft.Affects(client, sidecar) || ft.Affects(sidecar, client)) {
			f.judge.ExcuseSidecar(n.n, f.now()-slackMS, ft.EndMS+excuseAfter)
		}
		for _, s := range f.servers {
			server := lab.Endpoint{Kind: lab.ServerEndpoint, Index: s.n}
			// Of a connection that comes up, both ways are needed.
			if ft.Affects(sidecar, server) || ft.Affects(server, sidecar) {
				failed(ft.Label, s.ports[i].hush(on))
			}
		}
	}
}

// boot starts a server anew, cold, and lists it.
func (f *fleet) boot(s *server) {
	s.mu.Lock()
	fallen := s.model.Overloaded()
	s.mu.Unlock()
	if fallen {
		return // it stays down
	}
	if err := s.start(f.now(), true); err != nil {
		failed("start of a server", err)
		return
	}
	f.publish(s, ready)
}

func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// unlist has discovery find out, late, that a server is gone.
func (f *fleet) unlist(s *server) {
	if f.registry != nil {
		return // its lease ends by itself
	}
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	silent := f.plan.Experiment.Discovery.FailureDetectionMS
	time.AfterFunc(millis((silent.Min+silent.Max)/2), func() {
		s.mu.Lock()
		same := s.life == life
		s.mu.Unlock()
		if same && f.ctx.Err() == nil && f.state(s) == ready {
			f.publish(s, gone)
		}
	})
}

// retire drains a server and ends it; again has it start anew.
func (f *fleet) retire(ctx context.Context, s *server, again bool) {
	if !s.isUp() || f.state(s) != ready {
		return
	}
	f.publish(s, terminating)
	if !sleep(ctx, millis(f.plan.DrainDurationMS())) || f.state(s) != terminating {
		return
	}
	s.die()
	if !again {
		f.publish(s, gone)
	} else if sleep(ctx, restartPause*time.Millisecond) {
		f.boot(s)
	}
}

// suffer begins or ends what makes a server answer badly.
func (s *server) suffer(ft *lab.Fault, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetFault(ft, on)
}
