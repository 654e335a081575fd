package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// backend is a server that counts its requests and connections. Each test defines how it responds.
type backend struct {
	net.Listener
	endpoint endpoint
	requests atomic.Int64
	conns    atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]bool
}

// serveFunc responds to one completely read request. If it returns false, the connection is closed.
type serveFunc func(conn net.Conn, req *http.Request, body string) bool

func newBackend(t *testing.T, uid string, serve serveFunc) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &backend{Listener: listener, open: map[net.Conn]bool{}, endpoint: readyEndpoint(uid, listener.Addr().String())}
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.conns.Add(1)
			server.mu.Lock()
			server.open[conn] = true
			server.mu.Unlock()
			handlers.Go(func() { server.handle(conn, serve) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		server.closeConns()
		handlers.Wait()
	})
	return server
}

func (server *backend) handle(conn net.Conn, serve serveFunc) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		server.requests.Add(1)
		if !serve(conn, req, string(body)) {
			return
		}
	}
}

// closeConns closes all connections, as the end of the server's process does.
func (server *backend) closeConns() {
	server.mu.Lock()
	defer server.mu.Unlock()
	for conn := range server.open {
		conn.Close()
	}
	clear(server.open)
}

func readyEndpoint(uid, address string) endpoint {
	return endpoint{UID: uid, Address: address, Zone: "z", Model: "k", PodGroup: 1, State: "Ready", CapacityHint: 1}
}

func serveOK(conn net.Conn, _ *http.Request, _ string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: busy=0.5,rate=7\r\n\r\ndone")
	return err == nil
}

// respondWith responds with a fixed text and then keeps the connection open or closes it.
func respondWith(text string, keepOpen bool) serveFunc {
	return func(conn net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil && keepOpen
	}
}
