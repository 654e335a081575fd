package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restore-twice"] = playRestoreTwice }

const (
	registryWriters = 4
	writePause      = 20 * time.Millisecond
)

// operatorLink is a proxy between an operator's command and a replica.
type operatorLink struct {
	target string
	// links holds the address of the link to each replica, which takes the place of the replica's own in a redirect.
	links map[string]string
	// onAnswer is called when the answer to a restore has come from the replica. It reports whether the answer is passed on;
	// otherwise the connection stays open and silent.
	onAnswer func() bool
}

func (l *operatorLink) listen() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *operatorLink) serve(conn net.Conn) {
	defer conn.Close()
	onward, err := net.Dial("tcp", l.target)
	if err != nil {
		return // as if refused
	}
	defer onward.Close()
	var mu sync.Mutex
	restoring := false
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := conn.Read(buffer)
			mu.Lock()
			restoring = restoring || bytes.HasPrefix(buffer[:n], []byte("POST /registry/snapshot "))
			mu.Unlock()
			if n > 0 {
				if _, err := onward.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := onward.Read(buffer)
		mu.Lock()
		answered := restoring && bytes.HasPrefix(buffer[:n], []byte("HTTP/1.1 200"))
		mu.Unlock()
		if answered && !l.onAnswer() {
			time.Sleep(caseTimeout) // the machine has vanished: it says nothing more
			return
		}
		if n > 0 {
			if _, err := conn.Write(l.redirected(buffer[:n])); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// redirected returns an answer; a redirect to a replica leads to the link to it.
func (l *operatorLink) redirected(answer []byte) []byte {
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 307")) {
		return answer
	}
	for replica, link := range l.links {
		answer = bytes.Replace(answer, []byte("http://"+replica), []byte("http://"+link), 1)
	}
	return answer
}

// registryWrites are registrations at a registry, by several writers.
type registryWrites struct {
	log     *record
	cluster *registryCluster

	mu           sync.Mutex
	acknowledged map[string]time.Time // by uid, when the registration was sent
}

// write registers one server after the other until ctx ends. Each registration is repeated under its key until it is
// acknowledged or a few attempts have failed.
func (w *registryWrites) write(ctx context.Context, writer int) {
	for n := 0; ctx.Err() == nil; n++ {
		uid := fmt.Sprintf("w%d-%d", writer, n)
		target := endpoint{UID: uid, Address: fmt.Sprintf("127.0.0.1:%d", 20000+writer*5000+n), Zone: "a", Model: "m", State: "Ready", Capacity: 1}
		body := map[string]any{"id": "register-" + uid, "targets": []endpoint{target}}
		sentAt := time.Now()
		for attempt := range 10 {
			err := postJSON(ctx, "http://"+w.cluster.addresses[(writer+attempt)%replicas]+"/registry/instances", body)
			if err == nil {
				w.log.detailf("%s is acknowledged", uid)
				w.mu.Lock()
				w.acknowledged[uid] = sentAt
				w.mu.Unlock()
				break
			}
			if sleep(ctx, 5*writePause) != nil {
				return
			}
		}
		if sleep(ctx, writePause) != nil {
			return
		}
	}
}

// since returns the registrations that were sent after a time and acknowledged.
func (w *registryWrites) since(after time.Time) (uids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for uid, sentAt := range w.acknowledged {
		if sentAt.After(after) {
			uids = append(uids, uid)
		}
	}
	return uids
}

// playRestoreTwice restores a backup by the operator's command. With trouble, the machine of the leader is lost once it has
// applied the restore, and its answer with it.
func playRestoreTwice(ctx context.Context, r *run) error {
	cluster, err := r.startCluster(ctx)
	if err != nil {
		return err
	}
	backup := filepath.Join(r.scratch, "backup")
	if err := r.command(ctx, "registry", "snapshot", "save", backup, "--replicas", cluster.addresses[0]); err != nil {
		return err
	}
	leader, err := cluster.leader(ctx)
	if err != nil {
		return err
	}
	var once sync.Once
	var restoredAt time.Time
	onAnswer := func() (passedOn bool) {
		passedOn = true
		once.Do(func() {
			if passedOn = !r.trouble; r.trouble {
				if err := r.end(cluster.processes[leader], syscall.SIGKILL, 10*time.Second); err != nil {
					r.printf("%v", err)
				}
			}
			restoredAt = time.Now()
			r.printf("%.3f s: replica-%d has applied the restore; the answer is passed on: %v", r.at(restoredAt), leader, passedOn)
		})
		return passedOn
	}
	links := map[string]string{}
	var linkAddresses []string
	for _, replica := range cluster.addresses {
		address, err := (&operatorLink{replica, links, onAnswer}).listen()
		if err != nil {
			return err
		}
		links[replica], linkAddresses = address, append(linkAddresses, address)
	}
	writes := &registryWrites{log: r.record, cluster: cluster, acknowledged: map[string]time.Time{}}
	writing, stopWriting := context.WithCancel(ctx)
	defer stopWriting()
	var group sync.WaitGroup
	for i := range registryWriters {
		group.Go(func() { writes.write(writing, i) })
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	if err := r.command(ctx, "registry", "snapshot", "restore", backup, "--wait", "30s", "--replicas", strings.Join(linkAddresses, ",")); err != nil {
		return err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	stopWriting()
	group.Wait()
	if restoredAt.IsZero() {
		return fmt.Errorf("no answer to the restore was seen")
	}
	return r.judgeWrites(ctx, cluster, writes.since(restoredAt))
}

// judgeWrites judges that no acknowledged write is lost.
func (r *run) judgeWrites(ctx context.Context, cluster *registryCluster, acknowledged []string) error {
	var list endpointList
	if err := await(ctx, "the list of the leader", 10*time.Second, func() bool {
		leader, err := cluster.leader(ctx)
		return err == nil && getJSON(ctx, "http://"+cluster.addresses[leader]+"/registry/instances?fresh=1", &list) == nil
	}); err != nil {
		return err
	}
	listed := map[string]bool{}
	for i := range list.Targets {
		listed[list.Targets[i].UID] = true
	}
	missing := 0
	for _, uid := range acknowledged {
		if !listed[uid] {
			missing++
			r.detailf("LOST: %s", uid)
		}
	}
	r.printf("%d registrations were sent after the restore was applied and acknowledged, %d of them are gone", len(acknowledged), missing)
	if len(acknowledged) < 20 {
		return fmt.Errorf("too few registrations: the run shows nothing")
	}
	if missing > 0 {
		return errBroken
	}
	return nil
}
