package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// fakeRegistry is a discovery service. The test receives each call and decides how it is answered.
type fakeRegistry struct {
	*httptest.Server
	calls chan registryCall
}

type registryCall struct {
	query        string
	lines        chan string // lines of the response, which ends when the channel is closed
	failWith     chan int    // an HTTP status to respond with in place of lines
	disconnected <-chan struct{}
}

func newFakeRegistry(t *testing.T) *fakeRegistry {
	registry := &fakeRegistry{calls: make(chan registryCall, 16)}
	registry.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := registryCall{
			query: req.URL.RawQuery, lines: make(chan string), failWith: make(chan int), disconnected: req.Context().Done(),
		}
		registry.calls <- call
		for {
			select {
			case <-call.disconnected:
				return
			case status := <-call.failWith:
				w.WriteHeader(status)
				return
			case line, open := <-call.lines:
				if !open {
					return
				}
				tryWrite(w, line+"\n")
				w.(http.Flusher).Flush()
			}
		}
	}))
	t.Cleanup(registry.Close)
	return registry
}

func (registry *fakeRegistry) address() string { return registry.Listener.Addr().String() }

func (call registryCall) sendList(t *testing.T, list endpointList) {
	t.Helper()
	data, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	call.sendLine(t, string(data))
}

func (call registryCall) sendLine(t *testing.T, text string) {
	t.Helper()
	select {
	case call.lines <- text:
	case <-time.After(testTimeout):
		t.Fatal("the line is not sent: the call has ended or is blocked")
	}
}
