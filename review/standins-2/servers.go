package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workTime is how long a server works on a request, unless a case sets another time.
const workTime = 4 * time.Millisecond

// endpoint is a server in an endpoint list.
type endpoint struct {
	UID      string  `json:"uid"`
	Address  string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// endpointList is an object of the discovery protocol.
type endpointList struct {
	Revision int64      `json:"rev"`
	Complete bool       `json:"all"`
	Targets  []endpoint `json:"targets"`
}

// attempt is a request that a server got.
type attempt struct {
	id string
	at time.Time // when its head had arrived, which is later than its first byte
}

// server stands in for a server that works as the protocol page says.
type server struct {
	endpoint
	log  *record
	http *http.Server
	work time.Duration // on a request

	mu       sync.Mutex
	attempts []attempt
}

const serverCount = 4

// startServers starts servers s1 to s4 on loopback addresses.
func startServers(log *record, zone, model string) ([]*server, error) {
	servers := make([]*server, 0, serverCount)
	for i := range serverCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		started := &server{log: log, work: workTime, endpoint: endpoint{
			UID: fmt.Sprintf("s%d", i+1), Address: listener.Addr().String(), Zone: zone, Model: model, PodGroup: i / 2, State: "Ready", Capacity: 1,
		}}
		started.http = &http.Server{Handler: started, ReadHeaderTimeout: 10 * time.Second}
		go func() {
			err := started.http.Serve(listener)
			log.detailf("%s ended: %v", started.UID, err)
		}()
		servers = append(servers, started)
	}
	return servers, nil
}

// ServeHTTP answers a request of a sidecar.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-ID")
	if id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	if !strings.Contains(id, "-") {
		http.Error(w, "no client has sent this id", http.StatusBadRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.attempts = append(s.attempts, attempt{id, now})
	s.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.log.detailf("%s: the body of %s: %v", s.UID, id, err)
		return // the request's last byte has not come, so it does not begin
	}
	s.log.detailf("%s begins %s", s.UID, id)
	time.Sleep(s.work)
	fmt.Fprintf(w, "%s by %s", id, s.UID)
}

// attemptsFrom returns the attempts of requests whose ID has a prefix that came after a time.
func (s *server) attemptsFrom(prefix string, after time.Time) []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []attempt
	for _, got := range s.attempts {
		if got.at.After(after) && strings.HasPrefix(got.id, prefix) {
			found = append(found, got)
		}
	}
	return found
}

// endpoints returns the servers as entries of a list.
func endpoints(servers []*server) []endpoint {
	listed := make([]endpoint, 0, len(servers))
	for _, s := range servers {
		listed = append(listed, s.endpoint)
	}
	return listed
}
