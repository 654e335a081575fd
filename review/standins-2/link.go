package main

import (
	"net"
	"sync/atomic"
)

// link is a proxy before the raft address of a replica.
type link struct {
	listener net.Listener
	target   string
	cut      atomic.Bool // bytes in either direction are dropped, and connections stay open
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

func (l *link) serve(conn net.Conn) {
	defer conn.Close()
	onward, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		defer conn.Close()
		defer onward.Close()
		l.pass(conn, onward)
	}()
	l.pass(onward, conn)
}

// pass passes bytes on until a side ends.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.cut.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
