package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/balance"
)

// toldWithin is after what time a silent watch counts as told of what it misses, whether it is or not.
const toldWithin = 6 * time.Second

const (
	head  = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	whole = `{"rev":1,"all":true,"targets":[]}` + "\n"
)

// scripted is a discovery under a fake clock: each call is played by the next script, the last one again and again.
type scripted struct {
	scripts []func(c net.Conn)
	calls   int
	work    sync.WaitGroup
}

func (s *scripted) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	play := s.scripts[min(s.calls, len(s.scripts)-1)]
	s.calls++
	s.work.Go(func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		play(far)
		io.Copy(io.Discard, far) // silent, until the sidecar gives the call up
	})
	return near, nil
}

// Where silence may begin; each script says in quiet when it did.
var silences = map[string]func(c net.Conn, quiet func()){
	"before the first byte": func(c net.Conn, quiet func()) { quiet() },
	"in the head":           func(c net.Conn, quiet func()) { quiet(); io.WriteString(c, head[:20]) },
	"after the head":        func(c net.Conn, quiet func()) { quiet(); io.WriteString(c, head) },
	"after the first list":  func(c net.Conn, quiet func()) { io.WriteString(c, head+whole); quiet() },
	"after an empty line": func(c net.Conn, quiet func()) {
		io.WriteString(c, head+whole)
		for range 3 {
			time.Sleep(2 * time.Second)
			io.WriteString(c, "\n")
		}
		quiet()
	},
	"in the middle of a line": func(c net.Conn, quiet func()) {
		io.WriteString(c, head+whole)
		quiet()
		io.WriteString(c, `{"rev":2,"all":fal`)
	},
	"by trickling bytes": func(c net.Conn, quiet func()) {
		io.WriteString(c, head+whole)
		quiet()
		for _, b := range []byte(`{"rev":2,"all":false,"targets":[{"uid":"a"}]`) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	},
	"by empty lines inside a list": func(c net.Conn, quiet func()) {
		io.WriteString(c, head+whole)
		quiet()
		for _, err := io.WriteString(c, "{\n"); err == nil; _, err = io.WriteString(c, "\n  \n") {
			time.Sleep(time.Second)
		}
	},
}

// outage plays a way of silence, calls that are silent from the start up to so many in a row, and then a discovery that answers at once, and returns the time from
// the beginning of the first silence to the next list in hand.
func outage(t *testing.T, way func(net.Conn, func()), row int, follow func(*discovery, context.Context)) time.Duration {
	var began, heard time.Time
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{}
		var once sync.Once
		quiet := func() { once.Do(func() { began = time.Now() }) }
		s.scripts = append(s.scripts, func(c net.Conn) { way(c, quiet) })
		for range row - 1 {
			s.scripts = append(s.scripts, func(net.Conn) {})
		}
		s.scripts = append(s.scripts, func(c net.Conn) {
			io.WriteString(c, head+strings.Replace(whole, "1", "9", 1))
		})
		ctx, cancel := context.WithCancel(t.Context())
		news9 := make(chan struct{})
		var work sync.WaitGroup
		d := newDiscovery("127.0.0.1:1", func(ev any) {
			if n := ev.(news); n.kind != balance.UpdateFailed && n.list.Rev == 9 && heard.IsZero() {
				heard = time.Now()
				close(news9)
			}
		}, func(f func()) { work.Go(f) })
		d.client.Transport.(*http.Transport).DialContext = s.dial
		follow(d, ctx)
		select {
		case <-news9:
		case <-time.After(time.Minute):
			t.Error("no list within a minute")
		}
		cancel()
		work.Wait()
		s.work.Wait()
	})
	return heard.Sub(began)
}

// Wherever a watch falls silent, and though the next calls do as well, the list is in hand before it counts as told.
func TestSilenceIsOverBeforeItCounts(t *testing.T) {
	worst := map[string]time.Duration{}
	for name, way := range silences {
		for row := 1; row <= 3; row++ {
			took := outage(t, way, row, (*discovery).subscribe)
			if took >= toldWithin {
				t.Errorf("pushed, silent %s, %d times in a row: %v", name, row, took)
			}
			key := fmt.Sprintf("pushed, %d in a row", row)
			worst[key] = max(worst[key], took)
		}
		for row := 1; row <= 2; row++ { // where lists are asked for a call may wait in turn, and has longer
			took := outage(t, way, row, (*discovery).watch)
			if took >= toldWithin {
				t.Errorf("asked for, silent %s, %d times in a row: %v", name, row, took)
			}
			key := fmt.Sprintf("asked for, %d in a row", row)
			worst[key] = max(worst[key], took)
		}
	}
	t.Log("worst:", worst)
}

// After a move the new service may be silent as well: what it has to tell counts 4 s after the move.
func TestMovedToASilentService(t *testing.T) {
	for _, name := range []string{"before the first byte", "in the head", "after the head"} { // else it has told
		took := outage(t, silences[name], 2, func(d *discovery, ctx context.Context) {
			d.move("127.0.0.1:2")
			d.subscribe(ctx)
		})
		if took >= 4*time.Second {
			t.Errorf("silent %s: %v", name, took)
		}
	}
}

// Lists may come indented: a whole one, the first of a watch and a change. Empty lines between them stay signs of life.
func TestIndentedLists(t *testing.T) {
	indented := func(rev int64, all bool) string {
		data, err := json.MarshalIndent(list{Rev: rev, All: all, Targets: []target{ready("a", "127.0.0.1:7")}}, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	r := newRegistry(t)
	d, heard := hearing(t, r.addr())
	d.fetch(t.Context())
	call := receive(t, "the call", r.calls)
	call.line(t, indented(7, true))
	if n := receive(t, "the list", heard); n.kind != balance.UpdateFull || n.list.Rev != 7 || len(n.list.Targets) != 1 {
		t.Errorf("%+v", n)
	}
	close(call.lines)
	d.watch(t.Context())
	call = receive(t, "the watch", r.calls)
	for rev := int64(8); rev < 12; rev++ {
		call.line(t, "\n"+indented(rev, rev == 8))
		call.line(t, "")
		if n := receive(t, "the change", heard); n.list.Rev != rev || (n.kind == balance.UpdateFull) != (rev == 8) {
			t.Errorf("%+v", n)
		}
	}
	call.line(t, indented(12, false)+indented(13, false)) // two at once, on one line
	for rev := int64(12); rev < 14; rev++ {
		if n := receive(t, "the change", heard); n.list.Rev != rev {
			t.Errorf("%+v", n)
		}
	}
}
