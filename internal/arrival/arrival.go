// Package arrival tells when the bytes that a process reads from a TCP socket arrived at the machine. They may have waited
// in the kernel, if the process was suspended, was busy, or could not accept the connection.
package arrival

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// kernelTick is the most by which the kernel overstates how long bytes have waited, because it counts in ticks. Time
	// subtracts it, so that no request expires before its deadline.
	kernelTick = 10 * time.Millisecond
	// maxAge is longer than any request waits to be read. A longer waiting time from the kernel is invalid.
	maxAge = time.Minute
)

// Time returns the time at which the bytes that were just read from a socket arrived. If the kernel does not report the
// waiting time, Time returns the present time.
func Time(fd int) time.Time {
	now := time.Now()
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	waited := time.Duration(info.Last_data_recv) * time.Millisecond
	if waited > maxAge || waited <= kernelTick {
		return now
	}
	return now.Add(kernelTick - waited)
}

// ConnTime is Time for a connection. For a connection that has no socket or is closed, it returns the present time.
func ConnTime(connection net.Conn) time.Time {
	arrivedAt := time.Now()
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return arrivedAt
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return arrivedAt
	}
	_ = raw.Control(func(fd uintptr) { arrivedAt = Time(int(fd)) }) // fails only on a closed connection
	return arrivedAt
}
