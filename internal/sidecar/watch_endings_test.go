package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/balance"
)

// meeting is how discovery meets one call: its connection comes up or does not, and then play has it.
type meeting struct {
	name   string
	dial   func(ctx context.Context) error
	play   func(far net.Conn)
	reset  bool // its end is a reset
	silent bool // it takes its time, and discovery may be back meanwhile; else discovery is back right after it
}

func closeAtOnce(far net.Conn) { far.Close() }

var failings = []meeting{
	{name: "refused", dial: func(context.Context) error { return syscall.ECONNREFUSED }},
	{name: "reset", play: closeAtOnce, reset: true},
	{name: "503", play: func(far net.Conn) {
		io.WriteString(far, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}},
	{name: "closed at once", play: closeAtOnce},
	{name: "silent", play: func(net.Conn) {}, silent: true},
	{name: "not coming up", silent: true, dial: func(ctx context.Context) error {
		select { // as the dialer does, which this stands in for
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(dialWait):
			return os.ErrDeadlineExceeded
		}
	}},
}

// resets reads a reset where its peer closed.
type resets struct{ net.Conn }

func (r resets) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err == io.EOF {
		err = syscall.ECONNRESET
	}
	return n, err
}

// follows runs a sidecar's loop under a fake clock against a discovery that meets call after call as the row says and
// the one after it with list 9. Before, it may have had a watch that was closed, or be moved from one that stood.
// follows returns when each call of the row came and when list 9 was in hand.
func follows(t *testing.T, mode, before string, seed int, row []meeting) (calls []time.Time, heard time.Time) {
	c := newConf("127.0.0.1:1").setting(`"subscribe"`, fmt.Sprintf(`%q, "peers_total": 80`, mode))
	c["seed"] = fmt.Sprintf("%x", seed)
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	bal, err := balance.New(cfg.balance)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		stood := make(chan net.Conn, 1)
		if before != "start" {
			row = append([]meeting{{play: func(far net.Conn) { io.WriteString(far, head+whole); stood <- far }}}, row...)
		}
		told := make(chan struct{})
		row := append(row, meeting{play: func(far net.Conn) {
			io.WriteString(far, head+strings.Replace(whole, "1", "9", 1))
			close(told)
		}})
		l := newLoop(cfg, bal, newUpstreams(cfg, 100, &budget{}))
		l.disc = newDiscovery(cfg.Discovery, l.post, func(f func()) { l.workers.Go(f) })
		var work sync.WaitGroup
		l.disc.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			meet := row[min(len(calls), len(row)-1)]
			calls = append(calls, time.Now())
			if meet.dial != nil {
				return nil, meet.dial(ctx)
			}
			near, far := net.Pipe()
			work.Go(func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					meet.play(far)
					io.Copy(io.Discard, far) // silent, until the sidecar gives the call up
				}
			})
			if meet.reset {
				return resets{near}, nil
			}
			return near, nil
		}
		ctx, end := context.WithCancel(t.Context())
		work.Go(func() { l.run(ctx) })
		if before != "start" {
			watch := <-stood
			synctest.Wait()
			if before == "moved" {
				l.post(moved{"127.0.0.1:2"})
			} else {
				watch.Close()
			}
		}
		select {
		case <-told:
		case <-time.After(5 * time.Minute):
		}
		heard = time.Now()
		if synctest.Wait(); l.disc.rev.Load() != 9 {
			t.Error("the list is not in hand")
		}
		end()
		work.Wait()
	})
	if before != "start" {
		calls = calls[1:]
	}
	return calls, heard
}

// However the last one or two calls fail, and after however many, what discovery has is in hand before it counts as
// told: 6 s after it can be reached. That is the instant of a call that failed at once, as discovery may be back right
// after it, and the beginning of one that was silent.
func TestFailedCallsAreOverBeforeItCounts(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		for _, before := range []string{"start", "closed", "moved"} {
			for _, outage := range []int{0, 6} { // calls refused before
				worst := map[string]time.Duration{}
				for x, last := range failings {
					for y, other := range append([]meeting{{name: ""}}, failings...) {
						row := make([]meeting, outage, outage+3)
						for i := range row {
							row[i] = failings[0]
						}
						from := outage
						if other.name != "" {
							row = append(row, other)
							if !other.silent && !last.silent {
								from++
							}
						}
						row = append(row, last)
						calls, heard := follows(t, mode, before, 10*x+y+1, row)
						took := heard.Sub(calls[from])
						if took >= toldWithin {
							t.Errorf("%s, %s, %d refused, then %q, then %q: %v", mode, before, outage, other.name, last.name, took)
						}
						kind := fmt.Sprintf("%d in a row, silent %v", len(row)-from, other.silent || last.silent)
						worst[kind] = max(worst[kind], took)
					}
				}
				t.Logf("worst, %s, %s, %d refused before: %v", mode, before, outage, worst)
			}
		}
	}
}

// Only an answer that refuses a call after a while tells the module of a queue at discovery. The third silent call in a
// row waits longer, as in a queue one given up goes to the end; after a sign of life the count begins anew.
func TestCallsThatWaitInTurn(t *testing.T) {
	refuse, waits := failings[2].play, 4*time.Second
	after := func(wait time.Duration, play func(net.Conn)) func(net.Conn) {
		return func(far net.Conn) { time.Sleep(wait); play(far) }
	}
	alive := func(far net.Conn) { io.WriteString(far, head+"\n") }
	hush := func(net.Conn) {}
	for name, c := range map[string]struct {
		scripts []func(net.Conn)
		queued  bool
		calls   int
	}{
		"refused at once":         {[]func(net.Conn){refuse}, false, 1},
		"refused after a wait":    {[]func(net.Conn){after(queueLeast, refuse)}, true, 1},
		"closed after a wait":     {[]func(net.Conn){after(queueLeast, closeAtOnce)}, false, 1},
		"stood, then closed":      {[]func(net.Conn){func(far net.Conn) { alive(far); after(queueLeast, closeAtOnce)(far) }}, false, 1},
		"the first of a queue":    {[]func(net.Conn){after(waits, refuse), refuse}, false, 2},
		"the third of a queue":    {[]func(net.Conn){hush, hush, after(waits, refuse)}, true, 3},
		"a silence after a watch": {[]func(net.Conn){hush, hush, alive, after(waits, refuse), refuse}, false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{scripts: c.scripts}
				heard := make(chan news, 1)
				var work sync.WaitGroup
				d := newDiscovery("127.0.0.1:1", func(ev any) { heard <- ev.(news) }, func(f func()) { work.Go(f) })
				d.client.Transport.(*http.Transport).DialContext = s.dial
				d.watch(t.Context())
				select {
				case n := <-heard:
					if n.kind != balance.ListFailed || n.unqueued == c.queued || s.calls != c.calls {
						t.Errorf("%+v after %d calls", n, s.calls)
					}
				case <-time.After(5 * time.Minute):
					t.Error("no report in five minutes")
				}
				d.stop()
				work.Wait()
				s.work.Wait()
			})
		})
	}
}
