package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const emptyLineInterval = 2 * time.Second

// discovery stands in for the discovery of one sidecar.
type discovery struct {
	log  *record
	list endpointList
	wait time.Duration // of each call in turn; a call that is given up has lost its turn

	mu               sync.Mutex
	calledAt, sentAt time.Time // the first call, and the first list that was sent
}

// startDiscovery starts a service and returns its address.
func startDiscovery(d *discovery) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		err := server.Serve(listener)
		d.log.detailf("discovery ended: %v", err)
	}()
	return listener.Addr().String(), nil
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.note(&d.calledAt)
	d.log.detailf("discovery: call %s waits %v", r.URL.RequestURI(), d.wait)
	if sleep(r.Context(), d.wait) != nil {
		d.log.detailf("discovery: the call is given up")
		return
	}
	d.stream(r.Context(), w, r.URL.Query().Get("watch") != "")
}

// stream sends the whole list and, to a watch, an empty line every 2 s.
func (d *discovery) stream(ctx context.Context, w http.ResponseWriter, watch bool) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.list); err != nil {
		d.log.detailf("discovery: the list: %v", err)
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	d.note(&d.sentAt)
	d.log.detailf("discovery: the list is sent")
	for watch && sleep(ctx, emptyLineInterval) == nil {
		if _, err := fmt.Fprint(w, "\n"); err != nil || controller.Flush() != nil {
			return
		}
	}
}

// note stores the time of a first event.
func (d *discovery) note(first *time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first.IsZero() {
		*first = time.Now()
	}
}

func (d *discovery) firstCall() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calledAt
}

func (d *discovery) firstList() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sentAt
}
