package collect

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/placement"
)

// child has this program be a collector that others measure, until its standard input ends.
const child = "MILLDECK_COLLECT_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(child) == "" {
		os.Exit(m.Run())
	}
	c := New(Options{})
	c.SetOpen(true)
	mux := http.NewServeMux()
	mux.Handle("/reports", c)
	mux.HandleFunc("/cpu", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, int64(cpu()), c.Counts().Taken) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go http.Serve(ln, mux)
	fmt.Println(ln.Addr())
	io.Copy(io.Discard, os.Stdin)
}

// cpu is the time that this process has spent on all cores.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const fleet = 2000

// batches are what a fleet reports in a second, in batches of so many.
func batches(b *testing.B, per int, counts bool) (out [][]byte) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var all []placement.LoadReport
	for k := range fleet {
		all = append(all, usual(fmt.Sprint("sidecar-", k), rnd))
		if !counts {
			all[k].ClassCounts = nil
		}
	}
	for k := 0; k < fleet; k += per {
		out = append(out, body(b, all[k:k+per]...))
	}
	return out
}

// BenchmarkASecondOfAFleet is what 2,000 sidecars report in a second: core-seconds at the collector, by its handler
// alone, and in a process of its own with 2,000 connections.
func BenchmarkASecondOfAFleet(b *testing.B) {
	for _, counts := range []bool{false, true} {
		for _, per := range []int{1, 50} {
			name := fmt.Sprintf("counts=%v/batch=%d", counts, per)
			b.Run("handler/"+name, func(b *testing.B) {
				all := batches(b, per, counts)
				c := New(Options{})
				c.SetOpen(true)
				before := cpu()
				for b.Loop() {
					for _, data := range all {
						if code := post(b, c, data); code != http.StatusNoContent {
							b.Fatal(code)
						}
					}
				}
				b.ReportMetric((cpu()-before).Seconds()/float64(b.N), "core-s/fleet-s")
			})
			b.Run("process/"+name, func(b *testing.B) { overSockets(b, batches(b, per, counts)) })
		}
	}
}

func overSockets(b *testing.B, all [][]byte) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), child+"=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer cmd.Wait()
	defer in.Close()
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	addr = strings.TrimSpace(addr)
	spent := func() (ns, taken int64) {
		resp, err := http.Get("http://" + addr + "/cpu")
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := fmt.Fscan(resp.Body, &ns, &taken); err != nil {
			b.Fatal(err)
		}
		return ns, taken
	}
	conns := make([]net.Conn, len(all))
	for k, data := range all {
		if conns[k], err = net.Dial("tcp", addr); err != nil {
			b.Fatal(err)
		}
		defer conns[k].Close()
		all[k] = append(fmt.Appendf(nil, "POST /reports HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", addr, len(data)), data...)
	}
	before, _ := spent()
	for b.Loop() {
		var workers sync.WaitGroup
		const at = 16 // connections at a time
		for w := range at {
			workers.Go(func() {
				answer := make([]byte, 4096)
				for k := w; k < len(conns); k += at {
					if _, err := conns[k].Write(all[k]); err != nil {
						b.Error(err)
						return
					}
					n, err := conns[k].Read(answer)
					if err != nil || !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 204")) {
						b.Errorf("%v: %s", err, answer[:n])
						return
					}
				}
			})
		}
		workers.Wait()
	}
	after, taken := spent()
	if taken != int64(b.N)*fleet {
		b.Errorf("%d taken in %d rounds", taken, b.N)
	}
	b.ReportMetric(time.Duration(after-before).Seconds()/float64(b.N), "core-s/fleet-s")
}
