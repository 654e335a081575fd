package live

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"milldeck/internal/registry"
)

const (
	processPoll = 20 * time.Millisecond // nothing announces that another process has started one
	healthPoll  = 50 * time.Millisecond // a sidecar that drains says so for ten times as long
	unitEnv     = "LAB_UNIT"
	versionEnv  = "LAB_VERSION"
)

// seen is a process of a unit.
type seen struct{ unit, version string }

func lifeName(pid int) string { return strconv.Itoa(pid) }

// began notes a process of a unit, once.
func (c *control) began(unit string, pid int, version string) {
	c.sweep(unit) // the one before it may have ended since the last look
	c.mu.Lock()
	_, known := c.lives[pid]
	c.lives[pid] = &seen{unit, version}
	c.mu.Unlock()
	if known || c.over.Load() {
		return
	}
	c.judge.ProcessStarted(c.now(), unit, lifeName(pid), version)
	if n, is := c.beside[unit]; is {
		c.f.judge.SidecarRestarted(n)
	}
}

// ended notes its end, once.
func (c *control) ended(pid int) {
	c.mu.Lock()
	s := c.lives[pid]
	delete(c.lives, pid)
	c.mu.Unlock()
	if s != nil && !c.over.Load() {
		c.judge.ProcessExited(c.now(), s.unit, lifeName(pid))
	}
}

// watchProcesses looks which processes the platform has: it sees what runs, whatever the platform knows or says.
func (c *control) watchProcesses() {
	for sleep(c.ctx, processPoll) && !c.over.Load() {
		c.mu.Lock()
		p := c.platform
		c.mu.Unlock()
		for _, pid := range children(p.PID()) {
			unit, version := environ(pid)
			if unit == "" {
				continue // between its fork and its program, or ended meanwhile
			}
			c.began(unit, pid, version)
		}
		c.sweep("")
	}
}

// sweep notes which processes of a unit have ended, of all where it is "".
func (c *control) sweep(unit string) {
	c.mu.Lock()
	var over []int
	for pid, s := range c.lives {
		if (unit == "" || s.unit == unit) && !alive(pid) {
			over = append(over, pid)
		}
	}
	c.mu.Unlock()
	for _, pid := range over {
		c.ended(pid)
	}
}

// children are the processes that one has started and that have not been waited for.
func children(pid int) []int {
	var out []int
	lists, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid)) // the pattern is well-formed
	for _, path := range lists {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		for _, text := range strings.Fields(string(data)) {
			if n, err := strconv.Atoi(text); err == nil && alive(n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// alive tells whether a process runs; one that has ended and was not waited for does not.
func alive(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, found := strings.Cut(string(data), ") ")
	return found && rest != "" && rest[0] != 'Z' && rest[0] != 'X'
}

// environ is which unit a process is, on which version.
func environ(pid int) (unit, version string) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return "", ""
	}
	for entry := range strings.SplitSeq(string(data), "\x00") {
		switch key, value, _ := strings.Cut(entry, "="); key {
		case unitEnv:
			unit = value
		case versionEnv:
			version = value
		}
	}
	return unit, version
}

// signal sends a signal to all processes of a unit.
func (c *control) signal(unit string, sig syscall.Signal) {
	c.mu.Lock()
	var pids []int
	for pid, s := range c.lives {
		if s.unit == unit {
			pids = append(pids, pid)
		}
	}
	c.mu.Unlock()
	for _, pid := range pids {
		if u, _ := environ(pid); u == unit { // the number is not another's by now
			syscall.Kill(pid, sig) // an error is one that has ended
		}
	}
}

// newest is the process of a unit that runs, 0 if none does.
func (c *control) newest(unit string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pid := 0
	for p, s := range c.lives {
		if s.unit == unit {
			pid = max(pid, p)
		}
	}
	return pid
}

var healthClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status asks a process whether it is ready; 0: it does not answer.
func status(addr string) int {
	resp, err := healthClient.Get("http://" + addr + readyPath)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (c *control) answers(addr string) bool { return status(addr) == http.StatusOK }

// watchSidecars asks each sidecar whether it is ready. One that was and says that it is not any more was told to end.
func (c *control) watchSidecars() {
	for _, n := range c.f.nodes {
		unit := c.f.plan.Sidecars[n.n].Name
		c.around.Go(func() {
			was := 0 // the process that was ready
			for sleep(c.ctx, healthPoll) && !c.over.Load() {
				pid := c.newest(unit)
				if pid == 0 {
					continue
				}
				switch got := status(n.addr); {
				case got == http.StatusOK && was != pid:
					was = pid
					c.judge.ReadinessChanged(c.now(), unit, lifeName(pid), true)
				case got == http.StatusServiceUnavailable && was == pid:
					c.judge.TerminationRequested(c.now(), unit, lifeName(pid))
				}
			}
		})
	}
}

// watchList follows the list as the replicas tell it.
func (c *control) watchList() {
	l := c.f.registry
	for i := 0; c.ctx.Err() == nil; i++ {
		states := map[string]string{}
		err := l.client.WatchEndpoints(c.ctx, l.cluster.Replicas[i%len(l.cluster.Replicas)].HTTPAddr, 0, 0, func(list *registry.EndpointList, _ time.Duration) error {
			if list == nil || c.over.Load() {
				return nil
			}
			c.tookList(states, list)
			return nil
		})
		if err != nil {
			sleep(c.ctx, readyPoll)
		}
	}
}

// tookList tells the judge what a line of a watch changes.
func (c *control) tookList(states map[string]string, list *registry.EndpointList) {
	now := c.now()
	next := map[string]string{}
	for _, t := range list.Targets {
		next[t.UID] = t.State
	}
	if list.Full {
		for unit := range c.numbers {
			if _, there := next[unit]; !there {
				next[unit] = ""
			}
		}
	}
	for unit, state := range next {
		if old, known := states[unit]; known && old == state {
			continue
		}
		states[unit] = state
		c.judge.EndpointStateChanged(now, unit, state)
	}
}
