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
	endsAlive := func(far net.Conn) {
		alive(far)
		after(queueLeast, closeAtOnce)(far)
	}
	for name, c := range map[string]struct {
		scripts []func(net.Conn)
		queued  bool
		calls   int
	}{
		"refused at once":         {[]func(net.Conn){refuse}, false, 1},
		"refused after a wait":    {[]func(net.Conn){after(queueLeast, refuse)}, true, 1},
		"closed after a wait":     {[]func(net.Conn){after(queueLeast, closeAtOnce)}, false, 1},
		"stood, then closed":      {[]func(net.Conn){endsAlive}, false, 1},
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
					if n.kind != balance.UpdateFailed || n.unqueued == c.queued || s.calls != c.calls {
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

// A list that comes before the sidecar takes its first connection holds at once, whether the known one's rev is older or
// newer, and a drain in it is obeyed by the first request.
func TestListToldBeforeTheFirstRequest(t *testing.T) {
	for _, known := range []int64{1, 5, 900} {
		for _, all := range []bool{true, false} {
			a, b := newBackend(t, "a", ok), newBackend(t, "b", ok)
			r := newRegistry(t)
			c := newConf(r.addr())
			c["known"] = list{Rev: known, All: true, Targets: []target{a.target}}
			var serve func()
			s := start(t, c, func(s *Sidecar) {
				s.frontend.conns.mu.Lock() // no connection is taken before that
				serve = sync.OnceFunc(s.frontend.conns.mu.Unlock)
			})
			defer serve()
			answers := s.goDo(s.request("charge", 2*time.Second))
			watch := receive(t, "the watch", r.calls)
			if want := fmt.Sprintf("watch=1&after=%d", known); watch.query != want {
				t.Errorf("asked %q, want %q", watch.query, want)
			}
			told := toggled(6, a, b, "Terminating")
			told.All = all
			watch.send(t, told)
			until(t, "the list", func() bool { return s.loop.disc.rev.Load() == 6 })
			serve()
			if got := <-answers; got.status != 200 || a.requests.Load() != 0 || b.requests.Load() != 1 {
				t.Errorf("known %d, whole %v: %+v, %d sent to the one that drains", known, all, got, a.requests.Load())
			}
		}
	}
}

// A list and the first request come in one batch, in either order: with no server known the request has its answer, and
// after the news of a drain nothing begins there.
func TestListInOneBatchWithTheFirstRequest(t *testing.T) {
	for _, first := range []string{"list", "request"} {
		for _, known := range []bool{false, true} {
			a, b := newBackend(t, "a", ok), newBackend(t, "b", ok)
			held, release := make(chan struct{}), make(chan struct{})
			resume := sync.OnceFunc(func() { close(release) })
			defer resume()
			c := newConf(newRegistry(t).addr())
			if known {
				c["known"] = list{Rev: 1, All: true, Targets: []target{a.target}}
			}
			s := start(t, c, func(s *Sidecar) {
				s.loop.disc.start = func(func()) { // the loop stands still as it opens its watch
					close(held)
					<-release
				}
			})
			receive(t, "the loop to stand", held)
			var answers <-chan result
			for _, what := range []string{first, "the other"} {
				waiting := len(s.loop.inbox)
				if what == "list" || what == "the other" && first == "request" {
					s.loop.post(news{kind: balance.UpdateFull, list: toggled(2, a, b, "Terminating")})
				} else {
					answers = s.goDo(s.request("charge", time.Second))
				}
				until(t, what, func() bool { return len(s.loop.inbox) == waiting+1 })
			}
			resume()
			if got := <-answers; got.status != 200 || first == "list" && a.requests.Load() > 0 {
				t.Errorf("%s first, known %v: %+v, %d sent to the one that drains", first, known, got, a.requests.Load())
			}
		}
	}
}

// SIGHUP leads to another service and back, with and without a call there, and then names the same one again: the first
// is asked from the beginning, what the other one told late counts for nothing, and a watch that stands is left alone.
func TestMovedThereAndBack(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		for _, called := range []bool{true, false} {
			a, b := newBackend(t, "a", ok), newBackend(t, "b", ok)
			home, away := newRegistry(t), newRegistry(t)
			s := start(t, newConf(home.addr(), a.target).setting(`"subscribe"`, fmt.Sprintf("%q", mode)))
			watch := receive(t, "the watch", home.calls)
			watch.send(t, list{Rev: 5, All: true, Targets: []target{a.target}})
			until(t, "the list", func() bool { return s.loop.disc.rev.Load() == 5 })
			s.moveTo(away.addr())
			if called {
				call := receive(t, "the call elsewhere", away.calls)
				s.moveTo(home.addr())
				receive(t, "the call elsewhere to end", call.gone)
			} else {
				s.moveTo(home.addr())
			}
			receive(t, "the first watch to end", watch.gone)
			if watch = receive(t, "the watch again", home.calls); watch.query != "watch=1" {
				t.Errorf("asked %q", watch.query)
			}
			s.loop.post(news{gen: 1, list: toggled(9, a, b, "Gone")}) // queued from elsewhere
			watch.send(t, list{Rev: 3, Targets: []target{a.target}})
			until(t, "the list from the first", func() bool { return s.loop.disc.rev.Load() == 3 })
			s.moveTo(home.addr())
			if got := s.do(s.request("charge", time.Second)); got.status != 200 || a.requests.Load() != 1 {
				t.Errorf("%+v", got)
			}
			watch.send(t, toggled(4, a, b, "Terminating"))
			until(t, "the change", func() bool { return s.loop.disc.rev.Load() == 4 })
			if got := s.do(s.request("charge", time.Second)); got.status != 200 || b.requests.Load() != 1 || len(home.calls) > 0 {
				t.Errorf("%+v, %d more calls", got, len(home.calls))
			}
		}
	}
}
