package live

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"milldeck/internal/lab"
)

// replacementInterval is the time between two connections that replace the oldest ones.
const replacementInterval = 10 * time.Millisecond

// descriptorExhaustion keeps as many idle connections open to a sidecar as the sidecar may have sockets. The connections are
// bare descriptors, as nothing is read from or written to them: some thousands are opened or closed in an instant.
type descriptorExhaustion struct {
	ctx         context.Context // ends with the fault
	cancel      context.CancelFunc
	address     unix.SockaddrInet4
	limit       int
	descriptors []int
	done        chan struct{} // closed when all connections are closed
}

// exhaustionKey identifies a fault at a sidecar.
type exhaustionKey struct {
	fault   *lab.Fault
	sidecar int
}

// beginExhaustion opens the connections of a fault to a sidecar, and returns once it has opened, or tried to open, as many as
// the sidecar may have sockets. From then on it replaces one after the other, as new clients would, until endExhaustion.
func (f *fleet) beginExhaustion(ctx context.Context, sidecar *sidecarProcess, fault *lab.Fault) error {
	address, err := netip.ParseAddrPort(sidecar.address)
	if err != nil {
		return err
	}
	exhaustion := &descriptorExhaustion{
		address: unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()},
		limit:   f.plan.Experiment.Sidecars.Sockets, done: make(chan struct{}),
	}
	exhaustion.ctx, exhaustion.cancel = context.WithCancel(ctx)
	f.exhaustions.Store(exhaustionKey{fault, sidecar.number}, exhaustion)
	for range exhaustion.limit {
		exhaustion.open()
	}
	go exhaustion.replaceUntilEnd()
	return nil
}

// endExhaustion closes the connections of a fault to a sidecar.
func (f *fleet) endExhaustion(sidecar *sidecarProcess, fault *lab.Fault) {
	value, ok := f.exhaustions.LoadAndDelete(exhaustionKey{fault, sidecar.number})
	if !ok {
		return
	}
	exhaustion := value.(*descriptorExhaustion)
	exhaustion.cancel()
	<-exhaustion.done
}

// open opens one connection, and closes the oldest one if there are more than the limit. It does not wait for a sidecar that
// does not accept: the connection waits in the kernel.
func (e *descriptorExhaustion) open() {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return // tried again after replacementInterval
	}
	if err := unix.Connect(descriptor, &e.address); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(descriptor) // nothing was written to it
		return                     // refused: the sidecar is down
	}
	if e.descriptors = append(e.descriptors, descriptor); len(e.descriptors) > e.limit {
		_ = unix.Close(e.descriptors[0]) // nothing was written to it
		e.descriptors = e.descriptors[1:]
	}
}

// replaceUntilEnd opens new connections until the fault ends, and then closes all.
func (e *descriptorExhaustion) replaceUntilEnd() {
	defer close(e.done)
	for sleep(e.ctx, replacementInterval) {
		e.open()
	}
	for _, descriptor := range e.descriptors {
		_ = unix.Close(descriptor) // nothing was written to it
	}
}
