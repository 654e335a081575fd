// Command simadapter runs instances of the balancer for the simulator. It reads frames from standard input and writes
// one reply frame for each to standard output, until the input ends. It exits with status 1 after a malformed frame or an
// event for an instance that was not started or was killed.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"milldeck/balance"
	"milldeck/internal/wire"
)

const inputBufferBytes = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to frames until the input ends.
func run(in io.Reader, out io.Writer) error {
	host := instanceHost{instances: map[uint16]*balance.Balancer{}}
	reader := wire.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	for {
		host.reply.Reset()
		err := reader.Read(host.handle)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := host.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// instanceHost holds the instances of this process, which share no state, and the reply to the current frame.
type instanceHost struct {
	instances map[uint16]*balance.Balancer // nil: could not start; its events are ignored
	reply     wire.Reply
}

// handle adds the actions for a record to the reply. It reports a panic to the simulator as a fault of the instance.
func (h *instanceHost) handle(clock float64, record wire.Record) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.reply.Fault(record.Instance, fmt.Sprintf("panic: %v\n%s", panicked, debug.Stack()))
		}
	}()
	switch {
	case record.Started != nil:
		h.start(clock, record.Instance, record.Started)
	case record.Killed:
		delete(h.instances, record.Instance)
	default:
		return h.handleEvent(clock, record.Instance, record.Event)
	}
	return nil
}

func (h *instanceHost) start(clock float64, instance uint16, started *wire.InstanceStarted) {
	config, err := wire.ParseSettings(started.Seed, started.Settings)
	if err != nil {
		h.instances[instance] = nil
		h.reply.Fault(instance, err.Error())
		return
	}
	balancer, err := balance.New(config)
	if err != nil {
		h.instances[instance] = nil
		h.reply.Fault(instance, "settings: "+err.Error())
		return
	}
	h.instances[instance] = balancer
	h.reply.Add(instance, balancer.Start(clock))
}

func (h *instanceHost) handleEvent(clock float64, instance uint16, event balance.Event) error {
	balancer, started := h.instances[instance]
	if !started {
		return fmt.Errorf("event for instance %d, which was not started or was killed", instance)
	}
	if balancer == nil {
		return nil
	}
	actions, err := balancer.Handle(clock, event)
	if err != nil {
		h.reply.Fault(instance, err.Error())
		return nil
	}
	h.reply.Add(instance, actions)
	return nil
}
