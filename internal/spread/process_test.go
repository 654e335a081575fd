package spread_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/internal/agent"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/spread"
)

func TestMain(m *testing.M) { proctest.Main(m) }

const key = uint64(0xfeedface)

// Replicas, two deciders and two agents as processes and sockets; thirty sidecars report a hot key to the agents, which
// nobody warms in truth. The decider that holds the duty is killed while it carries: the other goes on with its table.
func TestDecidersAsProcesses(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 90*time.Second)
	defer stop()
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	program := proctest.Program(t, "milldeck")
	dir := t.TempDir()
	c, err := cluster.Start(ctx, 3, cluster.Options{Program: program, Dir: dir, Block: block})
	t.Cleanup(func() { c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	client, err := c.Client()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var list []registry.Instance
	for i := range 60 {
		list = append(list, registry.Instance{Target: registry.Target{UID: fmt.Sprint("s", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone: fmt.Sprint("z", i%3), Pod: i / 4, State: registry.Ready, Capacity: 1}})
	}
	if _, err := client.Register(ctx, registry.Write{}, list...); err != nil {
		t.Fatal(err)
	}
	var deciders []*proc.Process
	var at []string
	for n := range 2 {
		addr := block.Addr(210, n, 8520)
		p, err := proc.Start(proc.Spec{Name: fmt.Sprint("decider ", n), Path: program, Log: filepath.Join(dir, fmt.Sprint("decider", n)),
			Args: []string{"spread", "serve", "--listen", addr, "--replicas", strings.Join(c.HTTPs(), ","), "--cold-for", "0s"}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		if _, err := p.WaitLog(ctx, "serves"); err != nil {
			t.Fatal(err)
		}
		deciders, at = append(deciders, p), append(at, addr)
		if n == 0 {
			if _, err := p.WaitLog(ctx, "what=acquired"); err != nil {
				t.Fatal(err)
			}
		}
	}
	var around sync.WaitGroup
	t.Cleanup(around.Wait)
	reporting, end := context.WithCancel(ctx)
	t.Cleanup(end)
	for n := range 2 {
		a, err := agent.Start(agent.Options{Listen: block.Addr(201, n, 8500), Replicas: c.HTTPs(), Reports: at})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { a.Close() })
		for i := range 15 {
			around.Go(func() { sidecar(reporting, a.Addr(), fmt.Sprint("car-", n, "-", i)) })
		}
	}
	carried := func() (part float64) {
		l, err := client.PlacementView(ctx, false)
		if err != nil {
			return 0
		}
		for _, e := range l.Entries {
			for _, c := range e.Copies {
				part += c.Share
			}
		}
		return part
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			select {
			case <-ctx.Done():
				t.Fatalf("not in time: %s\n%s\n%s", what, deciders[0].Log(), deciders[1].Log())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	until("copies carry", func() bool { return carried() > 0.5 })
	before := carried()
	deciders[0].Kill()
	if _, err := deciders[1].WaitLog(ctx, "what=acquired"); err != nil {
		t.Fatal(err)
	}
	var rows []spread.Row
	until("the other has the table", func() bool {
		resp, err := http.Get("http://" + at[1] + "/spread")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&rows) == nil && len(rows) == 1 && rows[0].Carrying > 0
	})
	if rows[0].Key != spread.Name(key) {
		t.Errorf("%+v", rows)
	}
	until("the successor prolongs the entry", func() bool {
		l, err := client.PlacementView(ctx, false)
		return err == nil && len(l.Entries) == 1 && l.Entries[0].UntilMS > time.Now().Add(10*time.Second).UnixMilli()
	})
	if now := carried(); now < 0.8*before {
		t.Errorf("%v is carried after the takeover, %v before", now, before)
	}
}

// sidecar reports a hot key once a second, and the revision that its agent has.
func sidecar(ctx context.Context, addr, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		var l placement.List
		if resp, err := http.Get("http://" + addr + "/registry/placement"); err == nil {
			_ = json.NewDecoder(resp.Body).Decode(&l) // nothing is known yet where it cannot be read
			resp.Body.Close()
		}
		data, _ := json.Marshal(placement.Report{Name: name, Rev: l.Rev, Epoch: l.Epoch, SpanMS: 1000, HeatAll: 900,
			Heat: []placement.Heat{{Key: spread.Name(key), Load: 300}}})
		if resp, err := http.Post("http://"+addr+"/registry/report", "application/json", bytes.NewReader(data)); err == nil {
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}
