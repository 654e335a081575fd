package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "restore": an operator restores the registry from a backup. The leader crashes between applying the restore and
// answering it. Servers go on registering meanwhile.

const (
	restoreWriters  = 4
	restoreInterval = 10 * time.Millisecond
	afterCommand    = 3 * time.Second
)

// restoreProxy passes the operator's calls to a replica. When the replica has applied a restore for the first time, it calls
// onRestored before it passes the answer on.
type restoreProxy struct {
	once       *sync.Once
	onRestored func() (answer bool)
}

// serve serves a proxy of a replica at an address until the process ends. Redirects name the proxies in place of the replicas.
func (p *restoreProxy) serve(address, replica string, proxies map[string]string) {
	target := &url.URL{Scheme: "http", Host: replica}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ModifyResponse = func(response *http.Response) error {
		if location, err := url.Parse(response.Header.Get("Location")); err == nil && proxies[location.Host] != "" {
			location.Host = proxies[location.Host]
			response.Header.Set("Location", location.String())
		}
		answer := true
		if response.Request.Method == http.MethodPost && response.StatusCode == http.StatusOK {
			p.once.Do(func() { answer = p.onRestored() })
		}
		if !answer {
			return errRuleBroken // the proxy breaks the connection
		}
		return nil
	}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	const headerTimeout = 5 * time.Second
	server := &http.Server{Addr: address, Handler: proxy, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.ListenAndServe() }() // a proxy that does not listen makes the command fail
}

// registrations are the registrations that the registry has acknowledged, with the times at which they were sent.
type registrations struct {
	mu           sync.Mutex
	acknowledged map[string]time.Time
}

// write registers one server after the other until stop is closed, at whichever replica takes it.
func (g *registrations) write(writer int, replicas []string, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(restoreInterval):
		}
		uid := fmt.Sprintf("w%d-%d", writer, n)
		body := fmt.Sprintf(`{"id":%q,"targets":[{"uid":%q,"endpoint":"127.0.0.1:9","az":"a","model":"m","pod_group":1}]}`, uid, uid)
		sentAt := time.Now()
		response, err := client.Post("http://"+replicas[n%len(replicas)]+"/registry/instances", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		var result struct {
			Outcome string `json:"outcome"`
		}
		if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(text, &result) != nil || result.Outcome != "done" {
			continue
		}
		g.mu.Lock()
		g.acknowledged[uid] = sentAt
		g.mu.Unlock()
	}
}

// leaderOf returns the index of the replica that leads.
func leaderOf(replicas []string) int {
	for i, address := range replicas {
		var status struct {
			Role string `json:"role"`
		}
		if callJSON(http.MethodGet, "http://"+address+"/registry/status", nil, &status) == nil && status.Role == "Leader" {
			return i
		}
	}
	return -1
}

// epochOf returns the epoch of a replica's state; each restore begins one.
func epochOf(replica string) uint64 {
	var status struct {
		Epoch uint64 `json:"epoch"`
	}
	if callJSON(http.MethodGet, "http://"+replica+"/registry/status", nil, &status) != nil {
		return 0
	}
	return status.Epoch
}

func restoreCase(r *run) error {
	replicas, err := r.startReplicas()
	if err != nil {
		return err
	}
	leader := leaderOf(replicas)
	if leader < 0 {
		return fmt.Errorf("no replica leads")
	}
	flag := " --replicas " + strings.Join(replicas, ",")
	for i := range serverCount {
		if err := r.command(fmt.Sprintf("registry register s%d 127.0.0.1:%d --zone a --model m --pod 1%s", i+1, i+1, flag)); err != nil {
			return err
		}
	}
	backup := filepath.Join(r.dir, "backup.snapshot")
	if err := r.command("registry snapshot save " + backup + flag); err != nil {
		return err
	}
	addresses, err := freeAddresses(len(replicas))
	if err != nil {
		return err
	}
	proxies := map[string]string{}
	for i, replica := range replicas {
		proxies[replica] = addresses[i]
	}
	var restoredAt time.Time
	proxy := &restoreProxy{once: &sync.Once{}, onRestored: func() bool {
		restoredAt = time.Now()
		r.note("the leader has applied the restore: epoch %d", epochOf(replicas[leader]))
		if r.trouble {
			r.note("the leader is killed before its answer leaves")
			r.processes[leader].signal(syscall.SIGKILL)
		}
		return !r.trouble
	}}
	for i, replica := range replicas {
		proxy.serve(addresses[i], replica, proxies)
	}
	written := &registrations{acknowledged: map[string]time.Time{}}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i := range restoreWriters {
		writers.Go(func() { written.write(i, replicas, stop) })
	}
	commandErr := r.command("registry snapshot restore " + backup + " --replicas " + strings.Join(addresses, ","))
	err = r.sleep(afterCommand)
	close(stop)
	writers.Wait()
	if commandErr != nil {
		return commandErr
	}
	if err != nil {
		return err
	}
	return r.judgeRestore(replicas, leader, written, restoredAt)
}

// judgeRestore checks that each registration that was sent after the restore had been applied, and was acknowledged, is in the
// list.
func (r *run) judgeRestore(replicas []string, leader int, written *registrations, restoredAt time.Time) error {
	if r.trouble {
		replicas = append(append([]string{}, replicas[:leader]...), replicas[leader+1:]...)
	}
	var uids map[string]string
	if err := r.wait("the list", toldLimit, func() bool {
		i := leaderOf(replicas)
		if i < 0 {
			return false
		}
		_, listed, err := listedServers(replicas[i])
		uids = listed
		return err == nil
	}); err != nil {
		return err
	}
	after, lost := 0, 0
	for uid, sentAt := range written.acknowledged {
		r.write("registration %s sent at %.3f s and acknowledged; in the list at the end: %v", uid, sentAt.Sub(r.started).Seconds(), uids[uid] != "")
		if sentAt.Before(restoredAt) {
			continue
		}
		after++
		if uids[uid] == "" {
			lost++
			r.note("lost: %s, sent %.3f s after the restore was applied, acknowledged", uid, sentAt.Sub(restoredAt).Seconds())
		}
	}
	r.note("at the end: epoch %d", epochOf(replicas[max(leaderOf(replicas), 0)]))
	r.note("registrations sent and acknowledged after the restore: %d; not in the list: %d", after, lost)
	if lost > 0 {
		return errRuleBroken
	}
	return nil
}
