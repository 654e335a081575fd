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

// discovery stands in for discovery where lists are asked for: one service for all sidecars.
type discovery struct {
	log  *record
	list endpointList
	// turn is called when a call arrives. It returns how long the call waits in turn, and whether it fails then.
	turn func(caller string) (wait time.Duration, refused bool)

	mu       sync.Mutex
	calls    map[string]time.Time // the first call of each sidecar
	refusals map[string]time.Time // the end of the last call of each sidecar that was refused
	told     map[string]time.Time // when a sidecar was first sent the list
}

// startDiscovery starts a service for some sidecars and returns an address for each: as every sidecar reaches the service at an
// address of its own, the service knows who calls.
func startDiscovery(d *discovery, sidecars []string) (map[string]string, error) {
	d.calls, d.refusals, d.told = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	addresses := map[string]string{}
	for _, name := range sidecars {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses[name] = listener.Addr().String()
		server := &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, name) }),
			ReadHeaderTimeout: 10 * time.Second,
		}
		go func() {
			err := server.Serve(listener)
			d.log.detailf("discovery ended: %v", err)
		}()
	}
	return addresses, nil
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request, caller string) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.note(d.calls, caller, false)
	wait, refused := d.turn(caller)
	d.log.detailf("discovery: call %s of %s waits %v", r.URL.RequestURI(), caller, wait)
	if sleep(r.Context(), wait) != nil {
		d.log.detailf("discovery: %s has given its call up", caller)
		return
	}
	if refused {
		d.note(d.refusals, caller, true)
		d.log.detailf("discovery: %s is refused", caller)
		http.Error(w, "waited too long", http.StatusServiceUnavailable)
		return
	}
	d.stream(r.Context(), w, caller, r.URL.Query().Get("watch") != "")
}

// stream sends the whole list and, to a watch, an empty line every 2 s.
func (d *discovery) stream(ctx context.Context, w http.ResponseWriter, caller string, watch bool) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.list); err != nil {
		d.log.detailf("discovery: the list to %s: %v", caller, err)
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	d.note(d.told, caller, false)
	d.log.detailf("discovery: %s has the list", caller)
	for watch && sleep(ctx, emptyLineInterval) == nil {
		if _, err := fmt.Fprint(w, "\n"); err != nil || controller.Flush() != nil {
			return
		}
	}
}

// note stores the time for a sidecar; the first one stays unless replace is set.
func (d *discovery) note(times map[string]time.Time, caller string, replace bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, found := times[caller]; !found || replace {
		times[caller] = time.Now()
	}
}

// timeOf returns the time that note has stored for a sidecar, or the zero time.
func (d *discovery) timeOf(times map[string]time.Time, caller string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return times[caller]
}
